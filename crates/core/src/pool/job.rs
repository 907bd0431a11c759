//! Pooled jobs and their steps, tasks and runs.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::Name;

/// Maximum number of tasks of a job.
pub const MAX_TASKS: usize = 410;
/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 64;

/// Maximum length of a job's payload, in bytes. Each of its tasks carries it to an agent, and what all
/// of them carry is within what may wait on one link.
pub const MAX_PAYLOAD_BYTES: usize = 16 * 1024;

/// Number of hexadecimal digits of a job's id.
const ID_DIGITS: usize = 16;

/// Id of a job, chosen by its caller. Displayed as 16 hexadecimal digits in lower case, and parsed
/// from 16 digits of any case: ids that differ only in case are the same.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The text is not the id of a job.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("an id has {ID_DIGITS} hexadecimal digits")]
pub struct InvalidJobId;

impl FromStr for JobId {
    type Err = InvalidJobId;

    fn from_str(text: &str) -> Result<Self, InvalidJobId> {
        // `from_str_radix` would accept a sign.
        if text.len() != ID_DIGITS || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(InvalidJobId);
        }
        let id = u64::from_str_radix(text, 16).map_err(|_| InvalidJobId)?;
        Ok(Self(id))
    }
}

/// Id of a task. Displayed as `job.step.index`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Number of the step in the job, from 0.
    pub step: u16,
    /// Number of the task in its step, from 0.
    pub index: u16,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.step, self.index)
    }
}

/// Id of one run of a task. The attempt rises by at least one with each start of the task.
/// Displayed as `job.step.index#attempt`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.attempt)
    }
}

/// Amounts of resources that a worker offers or a task needs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// CPU in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MiB.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Returns whether no amount exceeds that of `available`.
    pub fn fits(self, available: Self) -> bool {
        self.cpu_milli <= available.cpu_milli
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
    }

    /// Returns the largest share of a resource of `capacity`; above 1 if it does not fit.
    pub fn share_of(self, capacity: Self) -> f64 {
        let share = |amount: u32, of: u32| f64::from(amount) / f64::from(of.max(1));
        share(self.cpu_milli, capacity.cpu_milli)
            .max(share(self.memory_mb, capacity.memory_mb))
            .max(share(self.accelerators, capacity.accelerators))
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn smallest(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns how many times it fits into `available`.
    pub fn times_in(self, available: Self) -> u32 {
        let times = |amount: u32, of: u32| of.checked_div(amount).unwrap_or(u32::MAX);
        times(self.cpu_milli, available.cpu_milli)
            .min(times(self.memory_mb, available.memory_mb))
            .min(times(self.accelerators, available.accelerators))
    }

    /// Returns the sum of each resource, saturating.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub fn largest(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns a multiple of each resource, saturating.
    #[must_use]
    pub fn times(self, factor: u32) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(factor),
            memory_mb: self.memory_mb.saturating_mul(factor),
            accelerators: self.accelerators.saturating_mul(factor),
        }
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn common(self, other: Self) -> Self {
        self.minus(self.minus(other))
    }

    /// Returns the difference of each resource, not below 0.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// A step of a job: a number of tasks with equal requirements.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// Number of tasks.
    pub count: u16,
    /// Resources that each task needs.
    pub needs: Resources,
    /// Run time of each task as estimated by the caller.
    pub estimate: Duration,
    /// Numbers of the earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// A label that the worker must have.
    pub label: Option<Name>,
    /// Label of the rack that has the data; tasks take longer on workers without it.
    pub rack: Option<Name>,
    /// Maximum number of the step's tasks on one worker at a time; 0 for no limit.
    pub per_worker: u16,
}

impl Step {
    /// Returns the estimated work of one task, in core-milliseconds.
    pub fn work(&self) -> f64 {
        self.estimate.as_secs_f64() * f64::from(self.needs.cpu_milli)
    }
}

/// A job as it was submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Its id, the same in each submission.
    pub id: JobId,
    /// Id of the request, given by the caller for logs; differs when the job is submitted again.
    pub request: Name,
    /// Data that is passed to the worker with each task.
    pub payload: Arc<str>,
    /// Its steps; each depends only on earlier ones.
    pub steps: Vec<Step>,
}

impl Job {
    /// Returns the length of the critical path: the longest sum of estimates over dependent steps.
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let ready_at = step.after.iter().filter_map(|i| ends.get(usize::from(*i)));
            let ready_at = ready_at.max().copied().unwrap_or_default();
            ends.push(ready_at + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns whether `other` is another submission of this job.
    pub fn is_same(&self, other: &Self) -> bool {
        self.id == other.id && self.payload == other.payload && self.steps == other.steps
    }

    /// Returns the estimated work of all tasks, in core-milliseconds.
    pub fn work(&self) -> f64 {
        let steps = self.steps.iter();
        steps.map(|step| step.work() * f64::from(step.count)).sum()
    }

    /// Returns the number of tasks of all steps.
    pub fn tasks(&self) -> usize {
        self.steps.iter().map(|step| usize::from(step.count)).sum()
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunEnd {
    /// The task was completed.
    Done,
    /// The run failed through a fault of the task or of the worker.
    Failed,
    /// The run was stopped, lost its lease or its worker, or certainly never started. Does not
    /// count as a failed run.
    Gone,
}

/// What the end of a run was concluded from.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndEvidence {
    /// The worker listed the end.
    Listed,
    /// The run is missing from a list of the worker.
    NotListed,
    /// Another incarnation of the worker took its place.
    WorkerReplaced,
    /// The worker did not answer until its lease had expired.
    LeaseExpired,
    /// The run was withdrawn while it was queued at the agent.
    Withdrawn,
    /// The agent does not know the run.
    Unknown,
    /// The agent's link was lost for so long that its runs have ended.
    AgentLost,
}

impl EndEvidence {
    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Listed => "listed",
            Self::NotListed => "not-listed",
            Self::WorkerReplaced => "worker-replaced",
            Self::LeaseExpired => "lease-expired",
            Self::Withdrawn => "withdrawn",
            Self::Unknown => "unknown-to-agent",
            Self::AgentLost => "agent-lost",
        }
    }
}
