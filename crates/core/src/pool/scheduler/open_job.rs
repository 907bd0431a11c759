//! A job that is not answered yet: its tasks, what holds it back, its rank among those that wait.

use std::sync::Arc;

use super::super::Uptime;
use super::super::catalog::Queue;
use super::super::job::{Job, JobId, RunId, Step, TaskId};
use crate::ids::Name;

/// What a task is doing.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum TaskState {
    /// Waits for earlier steps, or for a worker.
    Waiting,
    /// Sent to a worker.
    Sent { worker: Name, stopping: bool },
    /// Done.
    Done,
}

#[derive(Debug)]
pub(super) struct Task {
    pub(super) step: u16,
    pub(super) index: u16,
    pub(super) state: TaskState,
    /// The latest attempt; 0 before the first.
    pub(super) attempt: u32,
    /// The next attempt is above this.
    pub(super) floor: u32,
    /// Runs that ended as failed.
    pub(super) failures: u32,
    /// Runs that were stopped to start elsewhere.
    pub(super) moves: u32,
    pub(super) waiting_since: Uptime,
}

/// Why a job does not start yet.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Hold {
    /// Nothing holds it.
    None,
    /// Another entry has to yield it.
    Yield(Name),
    /// Earlier runs of it here are being stopped.
    Stopping,
}

#[derive(Debug)]
pub(super) struct OpenJob {
    pub(super) spec: Job,
    pub(super) queue: Arc<Queue>,
    pub(super) callers: Vec<u64>,
    pub(super) arrived: Uptime,
    /// Answers after this are late.
    pub(super) aim: Uptime,
    /// The caller waits until then.
    pub(super) deadline: Uptime,
    pub(super) hold: Hold,
    pub(super) tasks: Vec<Task>,
    /// Tasks not done, by step.
    pub(super) left: Vec<u16>,
    /// Starts sent.
    pub(super) starts: u32,
    pub(super) rank: Rank,
    /// The tier in which it last found no worker.
    pub(super) missed: Option<Tier>,
}

/// How waiting jobs are told apart; the first goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Tier {
    /// Can meet its aim.
    InTime,
    /// Will be late, but part of it was sent: to end it costs less than to begin another job.
    Begun,
    /// Can meet its aim, but its queue takes more than its share of an overloaded pool.
    AboveShare,
    /// Is expected to miss its aim.
    Late,
}

/// Order of waiting jobs: by tier, then by aim.
pub(super) type Rank = (Tier, Uptime, JobId);

impl OpenJob {
    pub(super) fn run(&self, task: &Task) -> RunId {
        RunId {
            task: TaskId {
                job: self.spec.id,
                step: task.step,
                index: task.index,
            },
            attempt: task.attempt,
        }
    }

    pub(super) fn step(&self, task: &Task) -> &Step {
        &self.spec.steps[usize::from(task.step)]
    }

    pub(super) fn is_ready(&self, task: &Task) -> bool {
        let step = self.step(task);
        task.state == TaskState::Waiting
            && step
                .after
                .iter()
                .all(|i| self.left.get(usize::from(*i)) == Some(&0))
    }

    pub(super) fn has_ready(&self) -> bool {
        self.tasks.iter().any(|task| self.is_ready(task))
    }
}
