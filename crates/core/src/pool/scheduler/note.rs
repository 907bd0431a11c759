//! What an entry answers, does, logs and counts.

use std::time::Duration;

use super::super::fleet::Choice;
use super::super::job::{JobId, RunEnd, RunId};
use super::super::msg::{NotStarted, Peer, ToAgent};
use crate::ids::Name;

/// The answer to a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// All tasks are done.
    Completed,
    /// A task failed for good, or could never run.
    Failed(&'static str),
    /// No task was started.
    NotRun {
        /// Why.
        reason: &'static str,
        /// When to come back.
        retry_after: Duration,
    },
    /// Tasks were started and the outcome is not known; the caller's connection is broken off.
    Broken(&'static str),
}

/// What the entry's adapter has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send to the agent of this name.
    Send(Name, ToAgent),
    /// Send to the entry of this name.
    Peer(Name, Peer),
    /// Send to all linked entries.
    Peers(Peer),
    /// Answer a caller.
    Answer(u64, Answer),
    /// End all links, since the others may have given this process up.
    DropLinks,
    /// Log and count.
    Note(Note),
}

/// One run that was sent, with what decided.
#[derive(Clone, Debug)]
pub struct Placed {
    /// The run.
    pub run: RunId,
    /// The choice with its inputs.
    pub choice: Choice,
    /// Time that the task waited.
    pub waited: Duration,
}

/// Decisions and observations that are logged and counted.
#[derive(Clone, Debug)]
pub enum Note {
    /// A job was taken in.
    Accepted {
        /// The job.
        job: JobId,
        /// The request that brought it.
        request: Name,
        /// Its queue.
        queue: Name,
        /// Tasks.
        tasks: usize,
        /// Time from now to its aim.
        aim: Duration,
        /// Time from now to the caller's deadline.
        deadline: Duration,
        /// The entry that must yield it first.
        waits_for: Option<Name>,
    },
    /// A job came again while it is open here.
    Joined {
        /// The job.
        job: JobId,
        /// The request that brought it again.
        request: Name,
    },
    /// A job was not taken in.
    Declined {
        /// The job.
        job: JobId,
        /// The request that brought it.
        request: Name,
        /// Why.
        reason: &'static str,
    },
    /// Runs of a job were sent to workers.
    Placed {
        /// The job.
        job: JobId,
        /// The queue.
        queue: Name,
        /// The runs.
        runs: Vec<Placed>,
    },
    /// A run ended or never started.
    RunOver {
        /// The run.
        run: RunId,
        /// The worker.
        worker: Name,
        /// How it ended.
        end: Option<RunEnd>,
        /// Why it was not started.
        refused: Option<NotStarted>,
        /// Its run time in milliseconds.
        ran_ms: u32,
    },
    /// A run is stopped so that it starts anew elsewhere.
    Moved {
        /// The run.
        run: RunId,
        /// The worker that it leaves.
        worker: Name,
        /// Its expected time to the end there; `None` if it stands still.
        left_ms: Option<u32>,
        /// What a new run is expected to take.
        fresh: Duration,
    },
    /// A job was answered.
    Answered {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: Name,
        /// The answer.
        answer: Answer,
        /// Time since it came.
        took: Duration,
        /// Time to its aim, or past it.
        aim: Duration,
        /// Starts sent.
        starts: u32,
    },
    /// The caller went away.
    Abandoned {
        /// The job.
        job: JobId,
        /// Time since it came.
        took: Duration,
    },
    /// A job was given up for another entry.
    GivenUp {
        /// The job.
        job: JobId,
        /// The entry that asked.
        to: Name,
    },
    /// A job is refused since too much waits before it.
    Overload {
        /// The job.
        job: JobId,
        /// Expected time until its turn.
        wait: Duration,
    },
    /// A worker fails far more than its peers.
    Ejected {
        /// The worker.
        worker: Name,
        /// Its share of failures.
        failing: f32,
    },
    /// This process stood still.
    Frozen {
        /// For how long.
        time: Duration,
        /// Jobs that were broken off.
        jobs: usize,
    },
}
