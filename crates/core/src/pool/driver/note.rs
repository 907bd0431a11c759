//! Events of the driver that are logged and counted.

use std::time::Duration;

use super::super::job::{EndEvidence, Resources, RunEnd, RunId, TaskId};
use super::super::msg::NotStarted;
use super::super::room::Claim;
use super::HeartbeatState;
use crate::ids::Name;

/// A decision or observation that is logged and counted.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// The start of a run is sent to the worker.
    Starting {
        /// The run.
        run: RunId,
        /// The entry that asked for it, or `none`.
        entry: Name,
        /// Resources that are free after this start.
        free: Resources,
        /// Time between its arrival at the agent and its start.
        waited: Duration,
    },
    /// A run ended.
    Ended {
        /// The run.
        run: RunId,
        /// How it ended.
        end: RunEnd,
        /// What the end was concluded from.
        evidence: EndEvidence,
        /// Its run time as the agent saw it.
        ran: Duration,
        /// Time since the last call that extended the worker's lease was sent.
        since_renewal: Duration,
    },
    /// A run was not started, and the worker cannot start it any more.
    Refused {
        /// The run.
        run: RunId,
        /// Why it was not started.
        reason: NotStarted,
        /// Whether the room for it was promised to its entry.
        claim: Claim,
    },
    /// A run is to be stopped.
    Stopping {
        /// The run.
        run: RunId,
        /// Why it is stopped.
        why: &'static str,
    },
    /// A start call was not answered, so its outcome is unknown.
    StartUnanswered {
        /// The run.
        run: RunId,
        /// Time since the call was sent.
        waited: Duration,
    },
    /// A worker, or a new incarnation of it, sent its first heartbeat.
    WorkerFound {
        /// Its id.
        id: Name,
        /// Its start time in Unix milliseconds as stated in its heartbeat; 0 if not stated.
        start_time_ms: u64,
    },
    /// The worker is forgotten.
    WorkerGone {
        /// Its id.
        id: Name,
        /// Its start time in Unix milliseconds; 0 if not stated.
        start_time_ms: u64,
        /// The message that it was concluded from.
        why: &'static str,
        /// Number of its runs.
        runs: usize,
        /// Time since the last call that extended its lease was sent.
        since_renewal: Duration,
    },
    /// A heartbeat named an incarnation that does not serve the worker's address.
    CandidateDenied {
        /// Its id.
        id: Name,
        /// Its start time in Unix milliseconds; 0 if not stated.
        start_time_ms: u64,
    },
    /// The state in the worker's heartbeats changed.
    WorkerState {
        /// Its id.
        id: Name,
        /// The new state.
        state: HeartbeatState,
    },
    /// The worker counts as unresponsive.
    WorkerUnresponsive {
        /// Number of consecutive unanswered calls.
        calls: u32,
        /// Time since its last answer.
        since: Duration,
    },
    /// The agent's own failure domain was evacuated, or taken back.
    DomainEvacuated {
        /// Whether it is evacuated.
        evacuated: bool,
        /// Number of runs that the worker had.
        runs: usize,
    },
    /// A start was refused since the agent's own failure domain is evacuated, or no cluster state
    /// says yet that it is not.
    EvacuatedRefused {
        /// The run.
        run: RunId,
    },
    /// An unresponsive worker answered again.
    WorkerRecovered,
    /// Room is reserved for a large waiting task.
    Reserved {
        /// The task.
        task: TaskId,
        /// The entry that asked for it.
        entry: Name,
        /// The reserved resources.
        needs: Resources,
        /// Time after which the room should be free even if runs take long.
        after: Duration,
    },
    /// A reservation was refused or ended.
    ReservationEnded {
        /// The task.
        task: TaskId,
        /// Why.
        why: &'static str,
    },
    /// Nothing was received from an entry for too long, and its runs are stopped.
    EntryLost {
        /// The entry.
        entry: Name,
        /// Time since the last message.
        silence: Duration,
        /// Number of its runs.
        runs: usize,
    },
}
