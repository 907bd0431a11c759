//! The end of an entry process: jobs that would not be completed before it are returned as not run, so
//! that their callers have time to ask another entry.

use std::time::Duration;

use super::super::Uptime;
use super::super::job::Job;
use super::{Action, Answer, JobId, OpenJob, RETRY_AFTER, Scheduler};

/// Why a job is returned.
pub(super) const REASON: &str = "this entry ends before the job would be completed";
/// Time before the end of the process by which all jobs without a run are returned, so that their
/// answers are written.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// Returns the answer to a job that is returned for [`REASON`].
pub(super) fn refusal() -> Answer {
    Answer::NotRun {
        reason: REASON,
        retry_after: RETRY_AFTER,
    }
}

impl Scheduler {
    /// Tells when the process ends, whichever jobs are open then.
    pub fn set_end(&mut self, end: Uptime) {
        self.ends_at = Some(end);
    }

    /// Returns whether the process ends before a job that starts now would be completed.
    pub(super) fn ends_before(&self, now: Uptime, job: &Job) -> bool {
        self.ends_at
            .is_some_and(|end| now + job.critical_path() + ANSWER_TIME >= end)
    }

    /// Returns whether a job would not be completed any more and has no run, but for starts that an
    /// agent may still refuse. Its tasks are not sent again, so that it can be returned.
    pub(super) fn is_to_be_returned(&self, now: Uptime, id: JobId) -> bool {
        let is_late = |job: &OpenJob| self.ends_before(now, &job.spec) && !job.has_run(now);
        self.ends_at.is_some() && self.jobs.get(&id).is_some_and(is_late)
    }

    /// Returns the jobs without a run that would not be completed any more.
    pub(super) fn return_jobs(&mut self, now: Uptime, out: &mut Vec<Action>) {
        if self.ends_at.is_none() {
            return;
        }
        let is_late = |job: &OpenJob| !job.may_have_run() && self.ends_before(now, &job.spec);
        let late = self.jobs.iter().filter(|(_, job)| is_late(job));
        let late: Vec<JobId> = late.map(|(id, _)| *id).collect();
        for id in late {
            self.answer(now, id, &refusal(), out);
        }
    }
}
