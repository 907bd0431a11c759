//! Completion of jobs: answers, and what is retained of ended jobs.

use std::sync::Arc;

use crate::answer::{Answer, Failure, FailureKind, RunCertainty};
use crate::ids::JobKey;
use crate::msg::PeerMsg;

use super::{
    Action, Dispatcher, EndedJob, Job, MAX_RETAINED_BYTES, MetricEvent, Now, Phase, TaskState,
    Waiter,
};

impl Dispatcher {
    /// Answers a job once all tasks have results.
    pub(super) fn finish_if_done(&mut self, now: Now, key: JobKey, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        if job.done < job.tasks.len() {
            return;
        }
        let results: Option<Vec<Arc<[u8]>>> = job.tasks.iter().map(result_of).collect();
        if let Some(results) = results {
            self.finish(now, key, Ok(results.into()), out);
        }
    }

    /// Fails a job as a whole. "Not run" is answered only if it is proved; for a keyed job the key
    /// is closed first.
    pub(super) fn fail(
        &mut self,
        now: Now,
        key: JobKey,
        mut failure: Failure,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let unstarted = job.started == 0 && failure.kind != FailureKind::TakenOver;
        let waits = matches!(job.phase, Phase::Running);
        failure.ran = if unstarted && !job.spec.keyed {
            RunCertainty::NotRun
        } else {
            RunCertainty::Unknown
        };
        if unstarted && job.spec.keyed && waits {
            failure.ran = RunCertainty::NotRun;
            self.close_key(now, key, failure, out);
        } else {
            self.finish(now, key, Err(failure), out);
        }
    }

    /// Removes a job, answers all its waiters, and retains the answer for resubmissions.
    pub(super) fn finish(&mut self, now: Now, key: JobKey, answer: Answer, out: &mut Vec<Action>) {
        self.dequeue(key);
        let Some(job) = self.jobs.swap_remove(&key) else {
            return;
        };
        if job.admitted {
            self.quotas
                .release(&job.spec.tenant, job.tasks.len() as u32);
        }
        out.push(Action::Metric(MetricEvent::JobEnded {
            tenant: job.spec.tenant.clone(),
            class: job.spec.class,
            time: now.mono.duration_since(job.arrived),
            failure: answer
                .as_ref()
                .err()
                .map(|failure| (failure.kind, failure.ran)),
        }));
        for waiter in &job.waiters {
            out.push(match waiter {
                Waiter::Caller(caller) => Action::Answer(*caller, answer.clone()),
                Waiter::Entry(entry) => {
                    let answer = Some(answer.clone());
                    Action::Peer(entry.clone(), PeerMsg::Attached { key, answer })
                }
            });
        }
        self.retain_answer(key, &job, answer);
    }

    /// Retains the final answer of a keyed job, so that it can be repeated.
    fn retain_answer(&mut self, key: JobKey, job: &Job, answer: Answer) {
        if !job.spec.keyed || !job.is_final(&answer) {
            return;
        }
        let bytes = match &answer {
            Ok(results) => results
                .iter()
                .map(|result| result.len() + size_of::<Arc<[u8]>>())
                .sum(),
            Err(failure) => failure.detail.len(),
        };
        let ended = EndedJob {
            tenant: job.spec.tenant.clone(),
            digest: job.digest,
            attempt: job.attempt,
            answer: Some(answer),
            bytes,
        };
        self.retained_bytes += bytes;
        if let Some(before) = self.ended.insert(key, ended) {
            self.retained_bytes -= before.bytes;
        }
        self.drop_oldest_answers();
    }

    /// Drops the oldest answers, down to half the limit, once it is exceeded. Their keys stay, so
    /// that a resubmission collects the results again and runs nothing twice.
    fn drop_oldest_answers(&mut self) {
        if self.retained_bytes <= MAX_RETAINED_BYTES {
            return;
        }
        for ended in self.ended.values_mut() {
            if self.retained_bytes <= MAX_RETAINED_BYTES / 2 {
                break;
            }
            if ended.answer.take().is_some() {
                self.retained_bytes -= ended.bytes;
                ended.bytes = 0;
            }
        }
    }
}

impl Job {
    /// Returns whether the answer is final. The results of a job with an unknown outcome may still be
    /// collected later.
    fn is_final(&self, answer: &Answer) -> bool {
        match answer {
            Ok(_) => true,
            Err(failure) if failure.ran == RunCertainty::NotRun => {
                failure.kind != FailureKind::KeyConflict
            }
            Err(failure) => self.started > 0 && failure.kind != FailureKind::TakenOver,
        }
    }

    /// Records the number of dispatches of a task that is queued again.
    pub(super) fn set_tries(&mut self, index: u16, tries: u32) {
        self.tries.insert(index, tries);
    }
}

fn result_of(state: &TaskState) -> Option<Arc<[u8]>> {
    match state {
        TaskState::Done(result) => Some(result.clone()),
        TaskState::Queued | TaskState::Sent { .. } => None,
    }
}
