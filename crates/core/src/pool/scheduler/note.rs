//! Output of the scheduler: answers, actions, and events to log and count.

use std::time::Duration;

use super::super::fleet::{Basis, Choice};
use super::super::job::{EndEvidence, JobId, Resources, RunEnd, RunId, TaskId};
use super::super::msg::{NotStarted, Peer, ToAgent};
use super::super::overload::{Room, Tier};
use super::CancelAnswer;
use crate::ids::Name;

/// The answer to a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// All tasks were completed.
    Completed,
    /// A task failed as often as allowed, was malformed, or fits no worker. Holds the reason.
    Failed(&'static str),
    /// No task was started.
    NotRun {
        /// The reason, as sent to the caller.
        reason: &'static str,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
    /// Another job with the same id is open, of which this says nothing. Holds the reason.
    OtherJobOpen(&'static str),
    /// Tasks were started and the outcome is unknown: the caller's connection is closed without an
    /// answer. Holds the reason.
    OutcomeUnknown(&'static str),
}

/// An action that the caller of the scheduler has to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to the named agent.
    Send(Name, ToAgent),
    /// Send a message to the named entry.
    Peer(Name, Peer),
    /// Send a message to all linked entries.
    Peers(Peer),
    /// Answer the caller with this connection id.
    Answer(u64, Answer),
    /// Answer the cancel of the caller with this connection id.
    CancelAnswer(u64, CancelAnswer),
    /// Close all links, since the other processes may have treated this one as lost.
    DropLinks,
    /// Log and count an event.
    Note(Note),
}

/// A run that was sent to a worker, with the inputs of the decision.
#[derive(Clone, Debug)]
pub struct Placed {
    /// The run.
    pub run: RunId,
    /// The chosen worker and what was known of it.
    pub choice: Choice,
    /// Time that the task waited for a worker.
    pub waited: Duration,
}

/// What a change of the evacuated failure domains meant for an entry.
#[derive(Clone, Copy, Debug)]
pub struct EvacuationEffect {
    /// CPU capacity of the linked workers that could get runs before, in thousandths of a core.
    pub cpu_before: f64,
    /// The same after it.
    pub cpu_after: f64,
    /// Number of jobs refused because only evacuated workers could run them.
    pub refused: usize,
}

/// A decision or observation to log and count.
#[derive(Clone, Debug)]
pub enum Note {
    /// A job was accepted.
    Accepted {
        /// The job.
        job: JobId,
        /// The request that submitted it.
        request: Name,
        /// Its queue.
        queue: Name,
        /// Number of tasks.
        tasks: usize,
        /// Time from its arrival to its aim.
        aim: Duration,
        /// Time from its arrival to the caller's deadline.
        deadline: Duration,
        /// The entry that must yield it before it starts.
        waits_for: Option<Name>,
    },
    /// A job was submitted again while it was open here.
    Resubmitted {
        /// The job.
        job: JobId,
        /// The request that submitted it again.
        request: Name,
    },
    /// A job was refused on arrival.
    Declined {
        /// The job.
        job: JobId,
        /// The request that submitted it.
        request: Name,
        /// The reason.
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
    /// A job no longer waits for another entry, whose link was lost for so long that its runs have
    /// ended.
    OwnerLost {
        /// The job.
        job: JobId,
        /// The other entry.
        entry: Name,
    },
    /// A run ended.
    RunEnded {
        /// The run.
        run: RunId,
        /// The worker.
        worker: Name,
        /// How it ended.
        end: RunEnd,
        /// What the end was concluded from.
        evidence: EndEvidence,
        /// Its run time in milliseconds; 0 if unknown.
        ran_ms: u32,
    },
    /// An agent refused a run.
    RunRefused {
        /// The run.
        run: RunId,
        /// The worker.
        worker: Name,
        /// Why it was not started.
        reason: NotStarted,
        /// Why room for it was expected; `None` if its job is no longer open.
        basis: Option<Basis>,
    },
    /// An agent is asked to reserve room for a large waiting task.
    Reserving {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: Name,
        /// What the task needs.
        needs: Resources,
        /// Expected time until the worker has the room.
        after: Duration,
    },
    /// A reservation has ended.
    ReservationEnded {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: Name,
        /// Why.
        why: &'static str,
    },
    /// An agent was told to stop a run so that its task starts again on another worker.
    Moved {
        /// The run.
        run: RunId,
        /// The worker of the stopped run.
        worker: Name,
        /// Expected time to its end there, in milliseconds; `None` if it makes no progress.
        left_ms: Option<u32>,
        /// Expected run time of a new run; `None` if no worker has room for it now.
        fresh: Option<Duration>,
    },
    /// A job was answered.
    Answered {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: Name,
        /// The answer.
        answer: Answer,
        /// Time since its arrival.
        took: Duration,
        /// Time from its arrival to its aim.
        aim: Duration,
        /// Number of starts sent to agents.
        starts: u32,
    },
    /// A cancel was answered.
    CancelAnswered {
        /// The job.
        job: JobId,
        /// The answer.
        answer: CancelAnswer,
        /// Time that the cancel waited for other entries.
        waited: Duration,
    },
    /// The last caller of a job disconnected.
    Abandoned {
        /// The job.
        job: JobId,
        /// Time since its arrival.
        took: Duration,
    },
    /// A job was yielded to another entry.
    Yielded {
        /// The job.
        job: JobId,
        /// The entry that asked for it.
        to: Name,
    },
    /// A job was refused because of overload.
    Overload {
        /// The job.
        job: JobId,
        /// Expected time until the backlog of its pool is cleared.
        wait: Duration,
    },
    /// A job of a pool whose queues differ in priority was refused.
    Hopeless {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: Name,
        /// Place among the waiting jobs.
        tier: Tier,
        /// Time since its arrival.
        waited: Duration,
        /// Expected time until its turn.
        wait: Duration,
        /// Work placed before it, in core-milliseconds.
        before: f64,
        /// What was known of the pool.
        room: Room,
        /// Number of other entries that had reported their load, and age of the oldest report.
        reports: (usize, Duration),
    },
    /// A pool became overloaded, or is no longer.
    OverloadChanged {
        /// The pool.
        pool: Name,
        /// The new state.
        overloaded: bool,
        /// Time that the waiting work of this entry takes to clear.
        own_wait: Duration,
        /// Time that the waiting work of all entries takes to clear.
        all_wait: Duration,
        /// Number of other entries that had reported their load, and age of the oldest report.
        reports: (usize, Duration),
    },
    /// A worker was ejected because it fails far more often than its peers.
    Ejected {
        /// The worker.
        worker: Name,
        /// Its share of failed runs, 0 to 1.
        failing: f32,
    },
    /// The evacuated failure domains changed.
    EvacuationChanged(EvacuationEffect),
    /// This process was suspended or not scheduled for a long time.
    Stalled {
        /// Duration of the stall.
        time: Duration,
        /// Number of jobs that were aborted.
        jobs: usize,
    },
    /// The jobs held since the stall were released: the jobs of the other entries are known, or are
    /// not waited for any longer.
    Acquainted {
        /// Time since the stall.
        waited: Duration,
        /// Number of jobs that were held.
        held: usize,
        /// Number of live entries that were not heard from.
        unheard: usize,
    },
}
