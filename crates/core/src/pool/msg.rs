//! Messages about pooled jobs, on links between entries and agents and among entries.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

use super::job::{JobId, Resources, RunEnd, RunId};
use crate::ids::Name;

/// Any message about pooled jobs.
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
    /// The label under which the message is counted.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::ToAgent(ToAgent::Start(_)) => "pool-start",
            Self::ToAgent(ToAgent::Stop { .. }) => "pool-stop",
            Self::ToAgent(ToAgent::Resume { .. }) => "pool-resume",
            Self::ToAgent(ToAgent::Waiting { .. }) => "pool-waiting",
            Self::ToEntry(ToEntry::Worker(_)) => "pool-worker",
            Self::ToEntry(ToEntry::Room(_)) => "pool-room",
            Self::ToEntry(ToEntry::Ended { .. }) => "pool-ended",
            Self::ToEntry(ToEntry::Refused { .. }) => "pool-refused",
            Self::ToEntry(ToEntry::Behind { .. }) => "pool-behind",
            Self::Peer(_) => "pool-peer",
        }
    }
}

/// From an entry to an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ToAgent {
    /// Start a run now, or as soon as there is room.
    Start(Start),
    /// Stop a run, or forget it if it waits.
    Stop {
        /// The run.
        run: RunId,
    },
    /// After a new link: runs that the entry still wants. All others of this entry are stopped.
    Resume {
        /// The runs with what they take.
        runs: Vec<(RunId, Resources)>,
    },
    /// How many tasks wait at the entry; agents tell a waiting entry at once of freed room.
    Waiting {
        /// Tasks.
        tasks: u32,
    },
}

/// Asks for one run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Start {
    /// The run.
    pub run: RunId,
    /// What it takes.
    pub needs: Resources,
    /// Estimated run time in milliseconds.
    pub estimate_ms: u32,
    /// Milliseconds until the job's aim is missed; orders waiting runs.
    pub due_ms: u32,
    /// Milliseconds that the run may wait at the agent for room; 0 while other workers have some.
    pub max_queue_ms: u32,
    /// Given to the worker.
    pub payload: Arc<str>,
}

/// Why a run was not started.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum NotStarted {
    /// The worker is leaving, gone, or not heard of.
    NoWorker,
    /// The worker refused it for its health.
    Unhealthy,
    /// No room, and none expected soon.
    NoRoom,
    /// The worker has ended a run of that task with this attempt or a higher one.
    OldAttempt,
    /// The worker cannot read it.
    Malformed,
    /// The order got no answer and surely has no effect any more.
    Unanswered,
}

/// What a worker is like.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkerInfo {
    /// The pool that it serves.
    pub pool: Option<Name>,
    /// All that it offers.
    pub capacity: Resources,
    /// Its kind, its rack and other marks.
    pub labels: Vec<Name>,
}

/// From an agent to an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ToEntry {
    /// What the worker is like; sent on a new link and with each change.
    Worker(WorkerInfo),
    /// What room there is.
    Room(Room),
    /// A run ended.
    Ended {
        /// The run.
        run: RunId,
        /// How.
        end: RunEnd,
        /// Its run time in milliseconds.
        ran_ms: u32,
    },
    /// A run was surely not started and never will be.
    Refused {
        /// The run.
        run: RunId,
        /// Why.
        reason: NotStarted,
    },
    /// A run is much slower than estimated, or stands still.
    Behind {
        /// The run.
        run: RunId,
        /// Its run time so far in milliseconds.
        ran_ms: u32,
        /// Expected time to its end in milliseconds; `None` when it stands still.
        left_ms: Option<u32>,
    },
}

/// A worker's room and health.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Room {
    /// Starts of this entry on this link that are counted in `free`.
    pub seen: u64,
    /// Whether the worker takes new runs.
    pub open: bool,
    /// Room that no run takes or waits for.
    pub free: Resources,
    /// Runs that wait at the agent.
    pub queued: u32,
    /// Mean natural logarithm of run time over estimate, of late.
    pub pace: f32,
    /// Share of runs that failed, of late.
    pub failing: f32,
}

/// Between entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Peer {
    /// Jobs that this entry began to run since its last such message.
    Began {
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// Asks the other entry to give a job up, since its caller came here.
    Yield {
        /// The job.
        job: JobId,
    },
    /// Nothing of the job runs there any more.
    Yielded {
        /// The job.
        job: JobId,
    },
    /// The caller cancels a job that the other entry runs.
    Cancel {
        /// The job.
        job: JobId,
    },
}
