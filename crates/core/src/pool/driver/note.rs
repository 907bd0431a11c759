//! What an agent logs and counts.

use std::time::Duration;

use super::super::job::{Resources, RunEnd, RunId};
use super::super::msg::NotStarted;
use super::BeatState;
use crate::ids::Name;

/// Decisions and observations that are logged and counted.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A run is ordered to start.
    Starting {
        /// The run.
        run: RunId,
        /// Its entry.
        entry: Name,
        /// Room left beside it.
        free: Resources,
        /// Time that it waited here.
        waited: Duration,
    },
    /// A run ended.
    Ended {
        /// The run.
        run: RunId,
        /// How.
        end: RunEnd,
        /// Its run time.
        ran: Duration,
    },
    /// A run was surely not started.
    Refused {
        /// The run.
        run: RunId,
        /// Why.
        reason: NotStarted,
    },
    /// A run is ordered to stop.
    Stopping {
        /// The run.
        run: RunId,
        /// Why.
        why: &'static str,
    },
    /// A start got no answer.
    StartUnanswered {
        /// The run.
        run: RunId,
        /// Time waited.
        waited: Duration,
    },
    /// Another incarnation of the worker.
    Worker {
        /// Its id.
        id: Name,
        /// Its start by its own word.
        born: u64,
        /// Runs of the one before that are lost.
        lost: usize,
    },
    /// The worker's word on itself changed.
    WorkerState {
        /// Its id.
        id: Name,
        /// What it says.
        state: BeatState,
    },
    /// The worker does not answer.
    Silent {
        /// Calls without an answer.
        calls: u32,
        /// Time since its last answer.
        since: Duration,
    },
    /// The worker answers again.
    Heard,
    /// An entry was not heard of and its runs are stopped.
    EntryLost {
        /// The entry.
        entry: Name,
        /// Time since its last word.
        silence: Duration,
        /// Its runs.
        runs: usize,
    },
}
