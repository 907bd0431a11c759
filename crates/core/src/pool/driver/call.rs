//! Calls to the worker and their answers, whatever wire carries them.

use std::sync::Arc;
use std::time::Duration;

use super::super::job::{RunEnd, RunId};

/// A call to the worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Start a run.
    Start {
        /// The run.
        run: RunId,
        /// Given with it.
        payload: Arc<str>,
        /// On the worker's clock; later it is refused. Also extends the worker's lease.
        deadline_ms: u64,
    },
    /// Stop a run, and bar it.
    Stop {
        /// The run.
        run: RunId,
    },
    /// List what runs and what ended.
    List {
        /// Ends up to this number were taken note of.
        seen_end: u64,
        /// The new end of the worker's lease on its clock.
        deadline_ms: Option<u64>,
        /// The answer may wait this long for an end.
        wait: Duration,
    },
}

/// One row of what runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunningRow {
    /// The run.
    pub run: RunId,
    /// Share of its work that is done, in percent.
    pub percent: u8,
}

/// One row of what ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndedRow {
    /// Rises with each end of one incarnation.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub end: RunEnd,
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartRefusal {
    /// It does not fit.
    Room,
    /// That attempt or a higher one ended there.
    Old,
    /// The deadline had passed.
    Late,
    /// It is unhealthy and did nothing.
    Unhealthy,
    /// It cannot read the call.
    Malformed,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The run is there.
    Started,
    /// The run is not there.
    Refused(StartRefusal),
    /// The run stops, and is barred.
    Stopped,
    /// The lists.
    Lists {
        /// Start of the worker by its own word.
        born: Option<u64>,
        /// What runs.
        running: Vec<RunningRow>,
        /// What ended.
        ended: Vec<EndedRow>,
    },
    /// Another incarnation answered.
    OtherWorker,
    /// The call did not reach the worker: no connection.
    NotSent,
    /// The connection ended, or the answer makes no sense; the call may have been carried out.
    Unknown,
}
