//! An agent's memory of what it started: no task starts twice here, and no superseded one starts.

use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::{Digest, JobKey, Name, WallMs};
use crate::msg::{RefusalReason, Start, TaskRef, TaskResult};
use crate::placement::CLOCK_TOLERANCE;

/// The most tasks that are remembered; more starts are refused.
pub const MAX_REMEMBERED_TASKS: usize = 200_000;

/// What is known of one task here.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskMemory {
    /// Started and not ended.
    Running(TaskRef, Digest),
    /// Ended.
    Done(TaskRef, Digest, TaskResult),
    /// Dispatches up to this number must not start.
    Barred(u64),
}

#[derive(Debug, Default)]
struct JobMemory {
    /// Starts of lower attempts are refused.
    min_attempt: u32,
    /// The entry that results go to.
    owner: Option<Name>,
    tasks: IndexMap<u16, TaskMemory>,
}

/// What to do with a start.
#[derive(Debug, PartialEq)]
pub enum Verdict {
    /// Start it; it is remembered as started.
    Start,
    /// It never started here and never will under this dispatch.
    Refuse(RefusalReason),
    /// It started before; this is what is known.
    Known(TaskMemory),
}

/// The memory of one agent process.
#[derive(Debug, Default)]
pub struct Fence {
    jobs: IndexMap<JobKey, JobMemory>,
    tasks: usize,
}

impl Fence {
    /// Number of remembered tasks.
    pub fn len(&self) -> usize {
        self.tasks
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.tasks == 0
    }

    /// Decides on a start before a slot is looked for. Does not remember it yet.
    pub fn check(&self, start: &Start, wall: WallMs, window: Duration) -> Verdict {
        let forgotten = start.key.created() < wall.before(window + CLOCK_TOLERANCE);
        if forgotten || self.tasks >= MAX_REMEMBERED_TASKS {
            return Verdict::Refuse(RefusalReason::TooLate);
        }
        let Some(job) = self.jobs.get(&start.key) else {
            return Verdict::Start;
        };
        if start.attempt < job.min_attempt {
            return Verdict::Refuse(RefusalReason::Superseded);
        }
        match job.tasks.get(&start.index) {
            None => Verdict::Start,
            Some(TaskMemory::Barred(last)) if start.dispatch > *last => Verdict::Start,
            Some(TaskMemory::Barred(_)) => Verdict::Refuse(RefusalReason::NeverArrived),
            Some(known) => Verdict::Known(known.clone()),
        }
    }

    /// Remembers a start.
    pub fn started(&mut self, owner: &Name, task: TaskRef, digest: Digest) {
        let job = self.jobs.entry(task.key).or_default();
        job.min_attempt = job.min_attempt.max(task.attempt);
        job.owner = Some(owner.clone());
        if job
            .tasks
            .insert(task.index, TaskMemory::Running(task, digest))
            .is_none()
        {
            self.tasks += 1;
        }
    }

    /// Remembers a result. Returns the entry that it goes to.
    pub fn ended(&mut self, task: TaskRef, digest: Digest, result: TaskResult) -> Option<Name> {
        let job = self.jobs.get_mut(&task.key)?;
        job.tasks
            .insert(task.index, TaskMemory::Done(task, digest, result));
        job.owner.clone()
    }

    /// Forgets a start that is proved not to have reached the backend server, and bars it.
    pub fn never_started(&mut self, task: TaskRef) -> Option<Name> {
        let job = self.jobs.get_mut(&task.key)?;
        job.tasks
            .insert(task.index, TaskMemory::Barred(task.dispatch));
        job.owner.clone()
    }

    /// Says what is known of a dispatch; one that did not arrive is barred for ever.
    pub fn query(&mut self, task: TaskRef) -> TaskMemory {
        let job = self.jobs.entry(task.key).or_default();
        let known = job.tasks.entry(task.index).or_insert_with(|| {
            self.tasks += 1;
            TaskMemory::Barred(task.dispatch)
        });
        if let TaskMemory::Barred(last) = known {
            *last = (*last).max(task.dispatch);
        }
        known.clone()
    }

    /// Bars all attempts below `attempt` and says what is known of the job.
    pub fn collect(
        &mut self,
        owner: &Name,
        key: JobKey,
        attempt: u32,
    ) -> Option<Vec<(u16, TaskMemory)>> {
        let job = self.jobs.entry(key).or_default();
        if attempt < job.min_attempt {
            return None;
        }
        job.min_attempt = attempt;
        job.owner = Some(owner.clone());
        Some(
            job.tasks
                .iter()
                .map(|(index, known)| (*index, known.clone()))
                .collect(),
        )
    }

    /// Drops what no entry asks about any more. Running tasks stay.
    pub fn expire(&mut self, wall: WallMs, window: Duration) {
        let oldest = wall.before(window + CLOCK_TOLERANCE * 2);
        let running = |job: &JobMemory| {
            job.tasks
                .values()
                .any(|known| matches!(known, TaskMemory::Running(..)))
        };
        self.jobs
            .retain(|key, job| key.created() >= oldest || running(job));
        self.tasks = self.jobs.values().map(|job| job.tasks.len()).sum();
        self.jobs.shrink_to(self.jobs.len() * 2);
    }
}
