//! An agent's record of task starts, which prevents it from starting a task twice or starting a
//! task of a superseded attempt.

use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::{Digest, JobKey, Name, WallMs};
use crate::msg::{RefusalReason, Start, TaskRef, TaskResult};
use crate::placement::CLOCK_TOLERANCE;

/// Maximum number of recorded tasks; while it is reached, further starts are refused.
pub const MAX_RECORDED_TASKS: usize = 200_000;

/// The state of one task on this agent.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskRecord {
    /// Started under this dispatch and not ended.
    Running(TaskRef, Digest),
    /// Ended with this result.
    Done(TaskRef, Digest, TaskResult),
    /// Not started; dispatches up to this number must not start.
    Blocked(u64),
}

/// The tasks of one job.
#[derive(Debug, Default)]
struct JobRecord {
    /// Starts of lower attempts are refused.
    min_attempt: u32,
    /// The entry that results are sent to.
    owner: Option<Name>,
    /// Tasks by their index in the job.
    tasks: IndexMap<u16, TaskRecord>,
}

/// The decision on a start.
#[derive(Debug, PartialEq)]
pub enum StartDecision {
    /// The task may start; the caller then calls [`Fence::record_start`].
    Start,
    /// The task did not start on this agent and never will under this dispatch.
    Refuse(RefusalReason),
    /// The task had already started; its state.
    AlreadyStarted(TaskRecord),
}

/// Record of the task starts of one agent process.
#[derive(Debug, Default)]
pub struct Fence {
    jobs: IndexMap<JobKey, JobRecord>,
    /// Number of tasks over all jobs.
    tasks: usize,
}

impl Fence {
    /// Returns the number of recorded tasks.
    pub fn len(&self) -> usize {
        self.tasks
    }

    /// Returns whether no task is recorded.
    pub fn is_empty(&self) -> bool {
        self.tasks == 0
    }

    /// Decides on a start without recording it.
    ///
    /// Starts of keys older than `window` plus [`CLOCK_TOLERANCE`] are refused, because their
    /// records may have expired.
    pub fn check(&self, start: &Start, wall: WallMs, window: Duration) -> StartDecision {
        let may_have_expired = start.key.created() < wall.before(window + CLOCK_TOLERANCE);
        if may_have_expired || self.tasks >= MAX_RECORDED_TASKS {
            return StartDecision::Refuse(RefusalReason::TooLate);
        }
        let Some(job) = self.jobs.get(&start.key) else {
            return StartDecision::Start;
        };
        if start.attempt < job.min_attempt {
            return StartDecision::Refuse(RefusalReason::Superseded);
        }
        match job.tasks.get(&start.index) {
            None => StartDecision::Start,
            Some(TaskRecord::Blocked(last)) if start.dispatch > *last => StartDecision::Start,
            Some(TaskRecord::Blocked(_)) => StartDecision::Refuse(RefusalReason::NeverArrived),
            Some(record) => StartDecision::AlreadyStarted(record.clone()),
        }
    }

    /// Records a start; the results of its job are sent to `owner` from now on.
    pub fn record_start(&mut self, owner: &Name, task: TaskRef, digest: Digest) {
        let job = self.jobs.entry(task.key).or_default();
        job.min_attempt = job.min_attempt.max(task.attempt);
        job.owner = Some(owner.clone());
        if job
            .tasks
            .insert(task.index, TaskRecord::Running(task, digest))
            .is_none()
        {
            self.tasks += 1;
        }
    }

    /// Records a result. Returns the entry to send it to, or `None` for a job without a record.
    pub fn record_result(
        &mut self,
        task: TaskRef,
        digest: Digest,
        result: TaskResult,
    ) -> Option<Name> {
        let job = self.jobs.get_mut(&task.key)?;
        job.tasks
            .insert(task.index, TaskRecord::Done(task, digest, result));
        job.owner.clone()
    }

    /// Blocks a dispatch that provably did not reach the backend server, so that only a later one
    /// can start the task. Returns the entry to notify.
    pub fn record_not_started(&mut self, task: TaskRef) -> Option<Name> {
        let job = self.jobs.get_mut(&task.key)?;
        job.tasks
            .insert(task.index, TaskRecord::Blocked(task.dispatch));
        job.owner.clone()
    }

    /// Returns the state of a task. A dispatch that has not arrived is blocked, so that it never
    /// starts.
    pub fn query_or_block(&mut self, task: TaskRef) -> TaskRecord {
        let job = self.jobs.entry(task.key).or_default();
        let record = job.tasks.entry(task.index).or_insert_with(|| {
            self.tasks += 1;
            TaskRecord::Blocked(task.dispatch)
        });
        if let TaskRecord::Blocked(last) = record {
            *last = (*last).max(task.dispatch);
        }
        record.clone()
    }

    /// Blocks all attempts below `attempt` and returns the job's tasks by index.
    ///
    /// Results go to `owner` from now on. Returns `None` if a higher attempt is known.
    pub fn block_and_collect(
        &mut self,
        owner: &Name,
        key: JobKey,
        attempt: u32,
    ) -> Option<Vec<(u16, TaskRecord)>> {
        let job = self.jobs.entry(key).or_default();
        if attempt < job.min_attempt {
            return None;
        }
        job.min_attempt = attempt;
        job.owner = Some(owner.clone());
        Some(
            job.tasks
                .iter()
                .map(|(index, record)| (*index, record.clone()))
                .collect(),
        )
    }

    /// Removes jobs that are too old for any entry to ask about.
    ///
    /// Their keys are older than `window` plus twice [`CLOCK_TOLERANCE`]. Jobs with running tasks
    /// stay.
    pub fn expire(&mut self, wall: WallMs, window: Duration) {
        let oldest = wall.before(window + CLOCK_TOLERANCE * 2);
        let running = |job: &JobRecord| {
            job.tasks
                .values()
                .any(|record| matches!(record, TaskRecord::Running(..)))
        };
        self.jobs
            .retain(|key, job| key.created() >= oldest || running(job));
        self.tasks = self.jobs.values().map(|job| job.tasks.len()).sum();
        self.jobs.shrink_to(self.jobs.len() * 2);
    }
}
