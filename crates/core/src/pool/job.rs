//! Pooled jobs, their steps, tasks and runs.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::Name;

/// The most tasks that a job may hold.
pub const MAX_TASKS: usize = 410;
/// The most steps that a job may hold.
pub const MAX_STEPS: usize = 64;

/// A job's id, chosen by its caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One task of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The step's number.
    pub step: u16,
    /// The task's number in its step.
    pub index: u16,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.step, self.index)
    }
}

/// One run of a task. Attempts of one task rise by at least one with each start.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// The attempt, from 1.
    pub attempt: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.attempt)
    }
}

/// Amounts of what a worker offers and a task takes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MiB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Whether this fits into `room`.
    pub fn fits(self, room: Self) -> bool {
        self.cpu_milli <= room.cpu_milli
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }

    /// The sum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The larger amount of each resource.
    #[must_use]
    pub fn largest(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The difference, not below 0.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// Tasks of a job that are alike.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// Number of tasks.
    pub count: u16,
    /// What each takes.
    pub needs: Resources,
    /// How long each runs by the caller's word; a prior.
    pub estimate: Duration,
    /// Earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// A label that the worker must have.
    pub label: Option<Name>,
    /// The rack at which the data is; elsewhere the task takes longer.
    pub rack: Option<Name>,
    /// At most this many of the step's tasks run on one worker; 0 is no limit.
    pub per_worker: u16,
}

/// A job as it was submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// What the caller calls this request, for logs; a job that comes again has another one.
    pub request: Name,
    /// Given to the worker with each task.
    pub payload: Arc<str>,
    /// Its steps.
    pub steps: Vec<Step>,
}

impl Job {
    /// The longest chain of estimated work over steps that wait for one another.
    pub fn longest_chain(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begun = step.after.iter().filter_map(|i| ends.get(usize::from(*i)));
            let begun = begun.max().copied().unwrap_or_default();
            ends.push(begun + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Tasks over all steps.
    pub fn tasks(&self) -> usize {
        self.steps.iter().map(|step| usize::from(step.count)).sum()
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunEnd {
    /// Done.
    Done,
    /// Failed through its own fault or the worker's.
    Failed,
    /// Stopped, lapsed, lost with its worker, or surely never started. Not a failed attempt.
    Gone,
}
