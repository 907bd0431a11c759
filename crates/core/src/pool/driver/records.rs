//! What the driver knows of its runs, entries, workers and calls.

use std::sync::Arc;
use std::time::Duration;

use super::super::Uptime;
use super::super::job::{EndEvidence, Resources, RunEnd};
use super::super::msg::{CapacityReport, Requirements, WorkerInfo};
use super::super::room::{Claim, News};
use super::call::{Call, CallTarget};
use super::speed::Progress;
use super::worker::{Heartbeat, HeartbeatState};
use crate::ids::{Name, NodeRef};

#[derive(Clone, Debug, PartialEq)]
pub(super) enum State {
    /// Waits at the agent for free resources.
    Queued,
    /// The start call was sent and has not been answered.
    Starting,
    /// The worker reported that it runs.
    Running,
    /// The start was not answered, so it may or may not run.
    Unknown,
    /// To be stopped; its end has not been reported yet.
    Stopping,
}

#[derive(Debug)]
pub(super) struct Run {
    /// The entry process that asked for the run; `None` for a run that was found at the worker and
    /// not claimed yet.
    pub(super) owner: Option<NodeRef>,
    pub(super) state: State,
    pub(super) needs: Resources,
    /// What its worker must be, as long as it was not sent to one.
    pub(super) requires: Requirements,
    pub(super) estimate: Duration,
    pub(super) payload: Arc<str>,
    /// When the job's aim is missed. Queued runs are started in this order.
    pub(super) due: Uptime,
    /// Whether the room for it was promised to its entry.
    pub(super) claim: Claim,
    /// Longest time in [`State::Queued`].
    pub(super) max_queue_time: Duration,
    /// When the agent received it.
    pub(super) received: Uptime,
    /// Earliest time at which the start may be sent; after the start, when it was sent.
    pub(super) start_at: Uptime,
    /// When the worker reported that it runs; when the start was sent until then.
    pub(super) started: Uptime,
    /// Reported progress in percent.
    pub(super) percent: u8,
    /// When the progress last rose.
    pub(super) last_progress: Uptime,
    /// Progress over the last observed window.
    pub(super) progress: Progress,
    /// Run time after which the entry is next notified that the run is behind its estimate.
    pub(super) next_behind_report: Duration,
    /// Earliest time of the next message to the entry that the run makes no progress.
    pub(super) next_stall_report: Uptime,
    /// Whether the worker's pace was already updated from this run.
    pub(super) pace_counted: bool,
    /// Deadline of the start on the worker's clock, in milliseconds; 0 if another agent process sent
    /// it.
    pub(super) start_deadline: u64,
    /// Whether the outcome of an unanswered start is settled by a stop, since its deadline is far or
    /// the run is no longer wanted.
    pub(super) settled_by_stop: bool,
    /// When a stop was answered. Lists requested later reliably show whether the run exists.
    pub(super) stop_answered: Option<Uptime>,
    /// Whether a stop call is in flight.
    pub(super) stop_in_flight: bool,
    /// Earliest time of the next stop call.
    pub(super) next_stop: Uptime,
}

#[derive(Debug)]
pub(super) struct Entry {
    pub(super) node: NodeRef,
    pub(super) linked: bool,
    /// When the last message arrived.
    pub(super) last_received: Uptime,
    /// Number of starts received on the present link.
    pub(super) starts_received: u64,
    /// Number of jobs with waiting tasks at the entry.
    pub(super) waiting_jobs: u32,
    /// The last report and when it was sent; `None` if a report is due at once.
    pub(super) last_report: Option<(Uptime, CapacityReport)>,
    /// Whether the current [`WorkerInfo`] was sent to it.
    pub(super) info_sent: bool,
    /// Until when the worker is cold, as it was sent to the entry; `None` if warm.
    pub(super) cold_sent: Option<Uptime>,
    /// Since when the link is to be closed; `None` if it stays.
    pub(super) retiring_since: Option<Uptime>,
    /// Changes of its promise since the last report.
    pub(super) news: News,
}

#[derive(Debug)]
pub(super) struct Worker {
    pub(super) id: Name,
    /// Start time in Unix milliseconds as stated in its heartbeat; 0 if not stated.
    pub(super) start_time_ms: u64,
    pub(super) info: WorkerInfo,
    pub(super) state: HeartbeatState,
    /// Sequence number of the latest heartbeat.
    pub(super) last_heartbeat: u64,
    /// The worker's clock in milliseconds, and when it was received. At that time the clock showed
    /// at least this value.
    pub(super) clock: Option<(u64, Uptime)>,
    /// Until when its lease is assured by an answered call.
    pub(super) lease_until: Uptime,
    /// Highest sequence number of an ended run in the lists received so far.
    pub(super) last_end_number: u64,
    /// Whether at least one list was received.
    pub(super) listed: bool,
    /// Whether it gave notice that it shuts down.
    pub(super) is_leaving: bool,
    /// Whether it has answered a call, which proves that it serves the worker's address.
    pub(super) is_proven: bool,
    /// Until when it is slow after its start; `None` if it is warm.
    pub(super) cold_until: Option<Uptime>,
    /// Fencing token of the calls to it: its start time in Unix milliseconds, or more if a token was
    /// as high before.
    pub(super) token: u64,
}

/// Another incarnation that sent a heartbeat and has not answered a call yet.
#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) heartbeat: Heartbeat,
    /// Earliest time of the next call to it.
    pub(super) next_call: Uptime,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct UndeliveredEnd {
    pub(super) end: RunEnd,
    pub(super) evidence: EndEvidence,
    /// Run time in milliseconds.
    pub(super) ran_ms: u32,
    /// When the end became known.
    pub(super) at: Uptime,
}

#[derive(Clone, Debug)]
pub(super) struct PendingCall {
    pub(super) call: Call,
    pub(super) target: CallTarget,
    pub(super) sent: Uptime,
    pub(super) timeout: Uptime,
}
