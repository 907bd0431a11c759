//! Calls to the worker and their answers, independent of the protocol that carries them.

use std::sync::Arc;
use std::time::Duration;

use super::super::job::{RunEnd, RunId};
use crate::ids::Name;

/// A call to the worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Starts a run.
    Start {
        /// The run.
        run: RunId,
        /// The job's payload, passed on unchanged.
        payload: Arc<str>,
        /// Time in milliseconds on the worker's clock after which the worker refuses the start. It
        /// also extends the worker's lease to that time.
        deadline_ms: u64,
    },
    /// Stops a run and blocks later starts of its task with this attempt or a lower one.
    Stop {
        /// The run.
        run: RunId,
    },
    /// Lists the running and the ended runs, and may renew the lease.
    List {
        /// Highest sequence number of an ended run that was received. The worker may drop the
        /// records of the ends up to it.
        last_end_number: u64,
        /// New end of the lease in milliseconds on the worker's clock; `None` leaves the lease as
        /// it is.
        deadline_ms: Option<u64>,
        /// Longest time that the worker may delay its answer until a run ends.
        wait: Duration,
    },
    /// Asks whether the worker of this identity serves the worker's address. Answered like
    /// [`Call::List`]; leaves the lease and the records of ended runs as they are.
    Identify {
        /// The worker's id.
        worker: Name,
    },
}

/// The worker that a call is meant for, as it was known when the call was decided.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallTarget {
    /// The worker's id. Another worker does not execute the call.
    pub worker: Name,
    /// Fencing token, which rises with each life of the worker, so that a call to the life before
    /// that arrives late has no effect on the next one.
    pub token: u64,
}

/// A running run in the answer to [`Call::List`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunningRow {
    /// The run.
    pub run: RunId,
    /// Progress in percent, from 0 to 100.
    pub percent: u8,
}

/// An ended run in the answer to [`Call::List`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndedRow {
    /// Sequence number, rising with each end of a run in one incarnation.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub end: RunEnd,
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartRefusal {
    /// Not enough free resources.
    NoCapacity,
    /// The worker has already ended or stopped a run of the task with this attempt or a higher one.
    OldAttempt,
    /// The start arrived after its deadline.
    DeadlinePassed,
    /// The worker is unhealthy and did not start the run.
    Unhealthy,
    /// The worker cannot parse the call.
    Malformed,
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The run was started or already runs.
    Started,
    /// The run was not started.
    Refused(StartRefusal),
    /// The worker accepted the stop and blocks later starts of the run.
    Stopped,
    /// The answer to [`Call::List`] or [`Call::Identify`].
    Lists {
        /// Start time of the worker's incarnation in Unix milliseconds, if stated.
        start_time_ms: Option<u64>,
        /// The running runs.
        running: Vec<RunningRow>,
        /// Whether `running` holds all of them. It does not if a row cannot be parsed.
        is_complete: bool,
        /// The runs that ended after [`Call::List`]'s `last_end_number`.
        ended: Vec<EndedRow>,
    },
    /// Another incarnation of the worker answered; the call had no effect.
    OtherWorker,
    /// The worker has seen a higher fencing token; the call had no effect.
    Fenced,
    /// No connection was made, so the call did not reach the worker.
    NotSent,
    /// The connection ended without an answer, or the answer cannot be parsed. The worker may have
    /// executed the call.
    Unknown,
}
