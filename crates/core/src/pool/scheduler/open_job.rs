//! A job that is not answered yet: its tasks, what delays its start, and its rank among waiting
//! jobs.

use std::sync::Arc;
use std::time::Duration;

use super::super::catalog::Queue;
use super::super::fleet::Basis;
use super::super::floors::SizeClass;
use super::super::job::{Job, JobId, RunId, Step, TaskId};
use super::super::overload::{Order, Tier};
use super::super::{MAX_TIME, Uptime, scaled};
use crate::ids::Name;

/// Time in which an agent refuses a run that finds no room, with the way of the messages.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(250);

/// State of a task.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum TaskState {
    /// Waiting for earlier steps or for a worker.
    Waiting,
    /// Sent to a worker; `stopping` if the agent was told to stop the run so that
    /// the task moves to another worker.
    Sent { worker: Name, stopping: bool },
    /// Completed successfully.
    Done,
}

/// One task with its retry state.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) step: u16,
    pub(super) index: u16,
    pub(super) state: TaskState,
    /// Latest attempt; 0 before the first.
    pub(super) attempt: u32,
    /// The next attempt is greater than this.
    pub(super) attempt_floor: u32,
    /// Number of runs that failed.
    pub(super) failures: u32,
    /// Number of runs that were stopped to start again on another worker.
    pub(super) moves: u32,
    pub(super) waiting_since: Uptime,
    /// When the latest run was sent.
    pub(super) sent_at: Uptime,
    /// Why room was expected for the latest run.
    pub(super) basis: Basis,
}

/// What delays the start of a job.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Hold {
    /// Nothing: the job may start.
    None,
    /// The named entry may still run it and was asked to yield it.
    Yield(Name),
    /// Earlier runs of it are being stopped at this entry.
    Stopping,
    /// Another entry may run it: this one has stood still and does not know their jobs yet.
    Unacquainted,
}

/// A job that is not answered yet.
#[derive(Clone, Debug)]
pub(super) struct OpenJob {
    pub(super) spec: Job,
    pub(super) queue: Arc<Queue>,
    /// Connections that wait for the answer.
    pub(super) callers: Vec<u64>,
    pub(super) arrived: Uptime,
    /// Answers after this time are late.
    pub(super) aim: Uptime,
    /// Latest time at which a caller still waits.
    pub(super) deadline: Uptime,
    pub(super) hold: Hold,
    pub(super) tasks: Vec<Task>,
    /// Number of tasks that are not done, by step.
    pub(super) left: Vec<u16>,
    /// Number of starts sent to agents.
    pub(super) starts: u32,
    /// Number of those that the agent or its worker refused, which certainly did not run.
    pub(super) refused_starts: u32,
    pub(super) rank: Rank,
    pub(super) size: SizeClass,
    /// Tier in which the job last found no worker.
    pub(super) unplaced_tier: Option<Tier>,
}

/// Position among waiting jobs: by tier, then by order, then by id.
pub(super) type Rank = (Tier, Order, JobId);

impl OpenJob {
    /// Returns the id of the task's latest attempt.
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

    /// Returns whether the task waits and all steps that it depends on are done.
    pub(super) fn is_ready(&self, task: &Task) -> bool {
        let step = self.step(task);
        task.state == TaskState::Waiting
            && step
                .after
                .iter()
                .all(|i| self.left.get(usize::from(*i)) == Some(&0))
    }

    /// Returns whether a task of it may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.starts > self.refused_starts
    }

    /// Returns whether a task is done or was sent so long ago that it does not wait at an agent any
    /// more.
    pub(super) fn has_run(&self, now: Uptime) -> bool {
        self.tasks.iter().any(|task| match task.state {
            TaskState::Waiting => false,
            TaskState::Sent { .. } => now >= task.sent_at + MAX_REFUSAL_TIME,
            TaskState::Done => true,
        })
    }

    /// Returns whether a task is at a worker or done.
    pub(super) fn is_begun(&self) -> bool {
        self.tasks
            .iter()
            .any(|task| task.state != TaskState::Waiting)
    }

    pub(super) fn has_ready(&self) -> bool {
        self.tasks.iter().any(|task| self.is_ready(task))
    }
}
/// Returns the time from a job's arrival after which its answer is late.
pub(super) fn aim_of(spec: &Job, queue: &Queue) -> Duration {
    scaled(spec.critical_path(), queue.slack) + queue.aim.min(MAX_TIME)
}
