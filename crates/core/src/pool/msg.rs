//! Messages about pooled jobs on links between entries and agents, and between entries.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

use super::job::{EndEvidence, JobId, Resources, RunEnd, RunId, Step, TaskId};
use super::lookahead::{Forecast, Reservation};
use super::shares::LoadReport;
use crate::ids::Name;

/// A message about pooled jobs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PoolMsg {
    /// From an entry to an agent.
    ToAgent(ToAgent),
    /// From an agent to an entry.
    ToEntry(ToEntry),
    /// Between entries.
    Peer(Peer),
}

impl PoolMsg {
    /// Returns the metric label under which the message is counted.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::ToAgent(ToAgent::Start(_)) => "pool-start",
            Self::ToAgent(ToAgent::Stop { .. }) => "pool-stop",
            Self::ToAgent(ToAgent::Resume { .. }) => "pool-resume",
            Self::ToAgent(ToAgent::Waiting { .. }) => "pool-waiting",
            Self::ToAgent(ToAgent::Reserve(_) | ToAgent::Unreserve { .. }) => "pool-reserve",
            Self::ToEntry(ToEntry::Worker(_)) => "pool-worker",
            Self::ToEntry(ToEntry::Capacity(_)) => "pool-room",
            Self::ToEntry(ToEntry::Ended { .. }) => "pool-ended",
            Self::ToEntry(ToEntry::Refused { .. }) => "pool-refused",
            Self::ToEntry(ToEntry::Behind { .. }) => "pool-behind",
            Self::ToEntry(ToEntry::Forecast(_)) => "pool-forecast",
            Self::ToEntry(ToEntry::Reserved { .. }) => "pool-reserved",
            Self::ToEntry(ToEntry::Cold(_)) => "pool-cold",
            Self::Peer(Peer::Load(_)) => "pool-load",
            Self::Peer(_) => "pool-peer",
        }
    }
}

/// A message from an entry to an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ToAgent {
    /// Start a run now, or as soon as there is capacity.
    Start(Start),
    /// Stop a run, or drop it if it is still queued.
    Stop {
        /// The run.
        run: RunId,
    },
    /// Sent on a new link: the runs that the entry still expects. The agent stops all other runs of
    /// this entry.
    Resume {
        /// The runs and the resources that they need.
        runs: Vec<(RunId, Resources)>,
    },
    /// Whether jobs wait at the entry. While some do, agents promise room to it first.
    Waiting {
        /// Number of jobs with waiting tasks.
        tasks: u32,
    },
    /// Reserves room for a large task, or renews the reservation.
    Reserve(Reservation),
    /// Gives up the reservation for a task.
    Unreserve {
        /// The task.
        task: TaskId,
    },
}

/// A request to start one run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Start {
    /// The run.
    pub run: RunId,
    /// Resources that it needs.
    pub needs: Resources,
    /// What the worker must be. The agent checks it again: its worker may have been replaced since
    /// the entry chose it.
    pub requires: Requirements,
    /// Estimated run time in milliseconds.
    pub estimate_ms: u32,
    /// Milliseconds until the job's aim is missed; agents order queued runs by it.
    pub due_ms: u32,
    /// Milliseconds that the run may wait at the agent for capacity; 0 while no job waits at the
    /// entry.
    pub max_queue_ms: u32,
    /// Number of jobs with waiting tasks at the entry.
    pub waiting_jobs: u32,
    /// Data that is passed to the worker.
    pub payload: Arc<str>,
}

/// What a worker must be to run a task, whatever its room.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Requirements {
    /// The pool that it must serve.
    pub pool: Name,
    /// A label that it must have.
    pub label: Option<Name>,
}

impl Requirements {
    /// Returns those of a task of the step, whose queue is served by the pool.
    pub fn of(pool: &Name, step: &Step) -> Self {
        Self {
            pool: pool.clone(),
            label: step.label.clone(),
        }
    }
}

/// Why a run was not started.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum NotStarted {
    /// The worker is draining, unresponsive or unknown, or the agent is shutting down.
    NoWorker,
    /// The worker serves another pool or lacks the label that the task requires.
    OtherKind,
    /// The worker refused it because it is unhealthy.
    Unhealthy,
    /// The worker has no capacity, and none is expected in time.
    NoRoom,
    /// The worker has already ended a run of that task with this attempt or a higher one.
    OldAttempt,
    /// The worker cannot parse the request.
    Malformed,
    /// The worker did not answer the request or received it too late; the run certainly does not
    /// start any more.
    Unanswered,
}

/// Pool, capacity and labels of a worker.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkerInfo {
    /// The pool that it serves.
    pub pool: Option<Name>,
    /// Resources that it offers in total.
    pub capacity: Resources,
    /// Its kind, its rack and other labels.
    pub labels: Vec<Name>,
}

/// Maximum length in bytes of all names in a description that the member list carries; several
/// records must fit into one datagram.
const MAX_LISTED_NAME_BYTES: usize = 400;

impl WorkerInfo {
    /// Returns whether the worker serves the pool and has the label, if one is required.
    pub fn suits(&self, pool: &Name, label: Option<&Name>) -> bool {
        self.pool.as_ref() == Some(pool) && label.is_none_or(|label| self.labels.contains(label))
    }

    /// Returns whether the description is short enough for the member list.
    pub fn fits_member_list(&self) -> bool {
        let names = self.pool.iter().chain(&self.labels);
        names.map(|name| name.len() + 2).sum::<usize>() <= MAX_LISTED_NAME_BYTES
    }
}

/// A message from an agent to an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ToEntry {
    /// Pool, capacity and labels of the worker; sent on a new link and after each change.
    Worker(WorkerInfo),
    /// Free capacity and health of the worker.
    Capacity(CapacityReport),
    /// A run ended.
    Ended {
        /// The run.
        run: RunId,
        /// How it ended.
        end: RunEnd,
        /// What the end was concluded from.
        evidence: EndEvidence,
        /// Its run time in milliseconds.
        ran_ms: u32,
    },
    /// A run was certainly not started and never will be.
    Refused {
        /// The run.
        run: RunId,
        /// The reason.
        reason: NotStarted,
    },
    /// A run is much slower than estimated or makes no progress.
    Behind {
        /// The run.
        run: RunId,
        /// Its run time so far in milliseconds.
        ran_ms: u32,
        /// Expected time to its end in milliseconds; `None` if it makes no progress.
        left_ms: Option<u32>,
    },
    /// Room that the worker is expected to have later.
    Forecast(Forecast),
    /// Reply to [`ToAgent::Reserve`]; also sent when the reserved room is about to be free and when the
    /// reservation ends.
    Reserved {
        /// The task.
        task: TaskId,
        /// Whether the room is reserved.
        granted: bool,
        /// Whether the reserved room is free or about to be, so that the task can be sent.
        ready: bool,
    },
    /// The worker is slow for a time after its start. Sent on a new link and when the time differs
    /// from what was sent before.
    Cold(Cold),
}

/// For how long a worker is slow after its start, and by which factor.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Cold {
    /// Time left in milliseconds; 0 if it is warm.
    pub left_ms: u32,
    /// Factor on run times meanwhile.
    pub factor: f32,
}

/// Free capacity and health of a worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CapacityReport {
    /// Number of starts of this entry on this link that `free` takes into account.
    pub starts_received: u64,
    /// Whether the worker accepts new runs.
    pub open: bool,
    /// Capacity that no run uses or is queued for.
    pub free: Resources,
    /// Room that is promised to this entry: a part of `free`, or ahead of the next end of a run.
    pub promised: Resources,
    /// Room that is promised at a time: that of the largest task started recently.
    pub unit: Resources,
    /// Part of `free` that is promised to other entries, whose jobs wait for it.
    pub reserved: Resources,
    /// Number of runs queued at the agent.
    pub queued: u32,
    /// Recent mean of the natural logarithm of the ratio of run time to estimate.
    pub pace: f32,
    /// Recent share of failed runs, 0 to 1.
    pub failing: f32,
}

/// Largest absolute value of a pace; a factor of about 150 on run times.
const MAX_PACE: f32 = 5.0;

impl CapacityReport {
    /// Returns the free room without what other entries wait for, or what is promised to this one.
    pub fn obtainable(&self) -> Resources {
        self.free.minus(self.reserved).largest(self.promised)
    }

    /// Returns the report with its numbers limited to their ranges; values that are not numbers
    /// become 0.
    #[must_use]
    pub fn within_limits(self) -> Self {
        let limit = |value: f32, min: f32, max: f32| {
            if value.is_nan() {
                0.0
            } else {
                value.clamp(min, max)
            }
        };
        Self {
            pace: limit(self.pace, -MAX_PACE, MAX_PACE),
            failing: limit(self.failing, 0.0, 1.0),
            ..self
        }
    }
}

/// A message between entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Peer {
    /// The jobs that the sender started since its last such message.
    JobsStarted {
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// Asks the receiver to give up a job that was submitted to the sender.
    Yield {
        /// The job.
        job: JobId,
    },
    /// Reply to [`Peer::Yield`]: no run of the job is left at the sender.
    Yielded {
        /// The job.
        job: JobId,
    },
    /// Cancels a job at the receiver, as requested by the caller at the sender.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Reply to [`Peer::Cancel`]: no task of the job runs, and none will be started for it.
    Cancelled {
        /// The job.
        job: JobId,
        /// Whether the sender knew the job.
        known: bool,
    },
    /// The sender's recent load.
    Load(LoadReport),
}
