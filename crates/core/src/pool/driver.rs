//! State machine of an agent that controls one worker through three calls: start a run, stop a run,
//! and list the running and ended runs. A list call also renews the worker's lease.
//!
//! The worker is the source of truth about what runs. It may still execute a start that was not
//! answered. Such a run is known not to start only once a list without it has arrived that was
//! either requested after a stop was answered, which blocks any later start of that attempt, or
//! states a clock beyond the start's deadline.

mod answers;
mod call;
mod cold;
mod evacuation;
mod lists;
mod note;
mod owners;
mod records;
mod reservations;
mod speed;
mod starts;
mod worker;

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::Uptime;
use super::job::{EndEvidence, Resources, RunEnd, RunId};
use super::msg::{NotStarted, ToEntry, WorkerInfo};
use super::room::Promises;
use crate::ids::{Name, NodeRef};

pub use call::{Call, CallTarget, EndedRow, Reply, RunningRow, StartRefusal};
pub use note::Note;
pub use worker::{Heartbeat, HeartbeatOutcome, HeartbeatState};

use evacuation::DomainState;
use records::{Candidate, Entry, PendingCall, Run, State, UndeliveredEnd, Worker};
use reservations::LookAhead;

/// A call times out after this multiple of the mean response time plus a margin for the scheduling
/// of both processes, clamped to the limits below. A start that timed out is followed by a stop.
const TIMEOUT_FACTOR: u32 = 6;
const TIMEOUT_MARGIN: Duration = Duration::from_millis(15);
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(25);
const MAX_CALL_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest time that the worker may delay the answer to a list call until a run ends. If the answer
/// is lost, ended runs stay unnoticed for at least this long.
const LIST_WAIT: Duration = Duration::from_millis(50);
/// As [`LIST_WAIT`], while calls go unanswered.
const LOSSY_LIST_WAIT: Duration = Duration::from_millis(20);
/// Time after an unanswered call during which further lost calls are expected.
const LOSSY_PERIOD: Duration = Duration::from_secs(3);
/// Deadline of a start, from the time it is sent. The worker refuses a start that arrives later. It
/// is also the lease of the run until the next renewal.
const START_WINDOW: Duration = Duration::from_millis(500);
/// Deadline of a start at a worker whose lease is assured for [`ASSURED_LEASE`]: an unanswered one
/// is soon known not to start.
const SHORT_START_WINDOW: Duration = Duration::from_millis(40);
/// Minimum time for which the worker's lease must last without the start.
const ASSURED_LEASE: Duration = Duration::from_millis(250);
/// Number of consecutive unanswered calls after which a worker counts as unresponsive and gets no
/// new runs.
const UNRESPONSIVE_CALLS: u32 = 3;
/// Minimum age of the last answer before a worker counts as unresponsive.
const UNRESPONSIVE_TIME: Duration = Duration::from_millis(80);
/// As [`UNRESPONSIVE_TIME`], for a worker that recently left calls unanswered and answered others:
/// a few lost calls in a row are then no sign that it does not run.
const FLAKY_UNRESPONSIVE_TIME: Duration = Duration::from_millis(300);
/// Pause after a list call whose connection was closed without an answer; doubles with each further
/// one in a row, up to [`MAX_LIST_PAUSE`]. A worker that closes each connection at once would
/// otherwise be called as fast as connections can be opened.
const MIN_LIST_PAUSE: Duration = Duration::from_millis(4);
/// Upper bound of that pause, well below the lease that the calls renew.
const MAX_LIST_PAUSE: Duration = Duration::from_millis(32);
/// Time between two list calls to an unresponsive worker.
const UNRESPONSIVE_LIST_INTERVAL: Duration = Duration::from_millis(150);
/// Time that entries have after an agent restart to claim runs found at the worker; unclaimed runs
/// are then stopped.
const ORPHAN_GRACE: Duration = Duration::from_millis(150);
/// Time for which the ends of runs are kept while their entry has no link to receive them.
const END_RETENTION: Duration = Duration::from_secs(3);
/// Maximum number of runs that wait at the agent for free resources.
const MAX_QUEUED: usize = 24;
/// Time from the report that a link takes no more starts to its end. Starts that were sent before
/// arrive meanwhile.
const RETIRE_GRACE: Duration = Duration::from_millis(500);
/// Minimum time between two reports of freed capacity to an entry with waiting jobs.
const WAITING_REPORT_INTERVAL: Duration = Duration::from_millis(12);
/// Minimum time between two reports after a large change of the free capacity, the pace or the
/// failure rate.
const REPORT_INTERVAL: Duration = Duration::from_millis(25);
/// Minimum time between two reports after a small change.
const SLOW_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// A change of the free CPU capacity is large if it is at least the worker's CPU capacity divided
/// by this.
const LARGE_CHANGE_DIVISOR: u32 = 6;
/// Time for which the learned pace of a worker stays in full effect after its last update.
const PACE_HOLD_TIME: Duration = Duration::from_secs(1);
/// Half-life of the learned pace after that time.
const PACE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Smoothing factor of the moving averages of a worker's pace and failure rate.
const LEARNING_RATE: f32 = 0.2;
/// Smoothing factor of the failure rate for a successful run on a worker with a high failure rate.
const RECOVERY_LEARNING_RATE: f32 = 0.4;
/// Failure rate above which [`RECOVERY_LEARNING_RATE`] applies.
const HIGH_FAILURE_RATE: f32 = 0.25;

/// An action that the caller of the driver has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a message to the entry of this name.
    Send(Name, ToEntry),
    /// Calls the worker. The number identifies the call in [`Driver::on_reply`].
    Call(u64, Call),
    /// Abandons the call of this number: its answer is no longer expected and its connection is
    /// closed.
    DropCall(u64),
    /// Closes the link to the entry of this name, so that it learns that its runs are stopped.
    DropLink(Name),
    /// Logs an event and updates the metrics.
    Note(Note),
}

/// The state machine of one agent and its worker.
///
/// It does no input or output: events go in with the present time, and the [`Action`]s to carry out
/// are appended to `out`.
#[derive(Debug)]
pub struct Driver {
    /// When the agent process started.
    started_at: Uptime,
    /// Length of the lease that is requested from the worker.
    lease: Duration,
    /// Moving average of the time to the answer of a start or stop.
    mean_response_time: Duration,
    /// When a call last failed or timed out.
    last_lost_call: Option<Uptime>,
    /// Until when the worker counts as one that answers only some calls.
    flaky_until: Option<Uptime>,
    worker: Option<Worker>,
    candidate: Option<Candidate>,
    /// Pools of the catalogue in force; `None` before the first one.
    pools: Option<IndexSet<Name>>,
    runs: IndexMap<RunId, Run>,
    entries: IndexMap<Name, Entry>,
    /// Calls in flight, by number.
    calls: IndexMap<u64, PendingCall>,
    next_call: u64,
    /// Fencing token of the last life of a worker that has answered.
    last_token: u64,
    /// How far the token rises with the next refusal as too low.
    token_step: u64,
    /// When a call that extends the worker's lease was last sent.
    last_renewal: Uptime,
    /// Consecutive unanswered calls.
    unanswered: u32,
    last_answer: Uptime,
    /// Whether the worker counts as unresponsive.
    unresponsive: bool,
    /// Earliest time of the next list call while the worker is unresponsive.
    next_list: Uptime,
    /// Number of list calls in a row whose connections were closed without an answer.
    closed_lists: u32,
    /// Earliest time of the next list call after such a call.
    list_pause_until: Uptime,
    /// When the next report is due, unless something changes before; `None` if all are up to date.
    next_report: Option<Uptime>,
    /// Free room that is promised to single entries.
    promises: Promises,
    /// Ends that were not delivered.
    undelivered_ends: IndexMap<RunId, UndeliveredEnd>,
    /// Moving average of the natural logarithm of run time over estimate; above 0 is slow.
    pace: f32,
    pace_updated: Uptime,
    /// When the pace was last moved by the progress of runs.
    pace_stepped: Uptime,
    /// When the progress of runs last showed that the worker had turned slower.
    slowed: Option<Uptime>,
    /// Moving average of the share of runs that fail, from 0 to 1.
    failure_rate: f32,
    /// Whether the process is shutting down.
    draining: bool,
    domain: DomainState,
    /// Factor on the run time of tasks on a cold worker.
    cold_factor: f32,
    /// Reserved room and what forecasts are made from.
    ahead: LookAhead,
}

impl Driver {
    /// Creates the state of an agent process that just started. `lease` is the longest lease that
    /// the worker grants.
    pub fn new(now: Uptime, lease: Duration) -> Self {
        Self {
            started_at: now,
            lease: lease.min(super::LEASE),
            mean_response_time: Duration::from_millis(1),
            last_lost_call: None,
            flaky_until: None,
            worker: None,
            candidate: None,
            pools: None,
            runs: IndexMap::new(),
            entries: IndexMap::new(),
            calls: IndexMap::new(),
            next_call: 1,
            last_token: 0,
            token_step: 1,
            last_renewal: now,
            unanswered: 0,
            last_answer: now,
            unresponsive: false,
            next_list: now,
            closed_lists: 0,
            list_pause_until: now,
            next_report: None,
            promises: Promises::default(),
            undelivered_ends: IndexMap::new(),
            pace: 0.0,
            pace_updated: now,
            pace_stepped: now,
            slowed: None,
            failure_rate: 0.0,
            draining: false,
            domain: DomainState::Open,
            cold_factor: cold::DEFAULT_FACTOR,
            ahead: LookAhead::default(),
        }
    }

    /// Returns the worker's id, or `None` before the first heartbeat of a worker.
    pub fn worker_id(&self) -> Option<&Name> {
        self.worker.as_ref().map(|worker| &worker.id)
    }

    /// Returns the pool, capacity and labels of the worker, or `None` without a worker.
    pub fn worker_info(&self) -> Option<&WorkerInfo> {
        self.worker.as_ref().map(|worker| &worker.info)
    }

    /// Returns the fencing token of calls to the present worker.
    pub fn fencing_token(&self) -> u64 {
        self.worker
            .as_ref()
            .map_or(self.last_token, |worker| worker.token)
    }

    /// Returns which worker a call is meant for; `None` if it was abandoned and must not be sent.
    pub fn call_target(&self, call: u64) -> Option<&CallTarget> {
        self.calls.get(&call).map(|pending| &pending.target)
    }

    /// Returns whether no run is queued or running.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns the number of queued and running runs.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns the free room of the worker, and what of it is promised to single entries.
    pub fn room(&self) -> (Resources, Resources) {
        (self.free(), self.promises.total())
    }

    /// Prepares for shutdown: refuses queued runs and every further start.
    pub fn drain(&mut self, out: &mut Vec<Action>) {
        self.draining = true;
        self.refuse_queued(NotStarted::NoWorker, out);
    }

    /// Handles timeouts and other work that is due, then sends reports to entries.
    pub fn tick(&mut self, now: Uptime, out: &mut Vec<Action>) {
        self.expire_calls(now, out);
        self.expire_entries(now, out);
        self.close_retired(now, out);
        self.end_runs_of_expired_lease(now, out);
        self.stop_orphans(now, out);
        self.retry_stops(now, out);
        self.end_cold(now);
        self.check_reservation(now, out);
        self.start_queued(now, out);
        self.send_forecasts(now, out);
        self.forget_left_worker(now, out);
        self.identify_candidate(now, out);
        self.request_list(now, out);
        self.undelivered_ends
            .retain(|_, end| now < end.at + END_RETENTION);
        self.report(now, out);
    }

    /// Returns the longest time until [`Driver::tick`] has to be called again.
    pub fn next_tick(&self, now: Uptime) -> Duration {
        if self.runs.is_empty() && self.calls.is_empty() {
            let until_report = self.next_report.map(|at| at.saturating_sub(now));
            return until_report.map_or(super::PING_EVERY, |time| time.min(super::PING_EVERY));
        }
        let next_timeout = self.calls.values().map(|pending| pending.timeout).min();
        let limit = WAITING_REPORT_INTERVAL;
        next_timeout.map_or(limit, |at| at.saturating_sub(now).min(limit))
    }

    /// Returns the resources that no started run uses.
    fn free(&self) -> Resources {
        let Some(worker) = &self.worker else {
            return Resources::default();
        };
        let running = self.runs.values().filter(|run| run.state != State::Queued);
        running.fold(worker.info.capacity, |free, run| free.minus(run.needs))
    }

    /// Returns whether new runs may be started on the worker.
    fn accepts_runs(&self) -> bool {
        let ready = |worker: &Worker| worker.listed && worker.state == HeartbeatState::Ready;
        !self.draining
            && self.domain == DomainState::Open
            && !self.unresponsive
            && !self.has_orphans()
            && self.worker.as_ref().is_some_and(ready)
    }

    /// Returns whether there are runs of an earlier agent process that no entry has claimed.
    fn has_orphans(&self) -> bool {
        self.runs.values().any(|run| run.owner.is_none())
    }

    /// Removes a run and reports to its owner that it was not started.
    fn refuse(&mut self, run: RunId, reason: NotStarted, out: &mut Vec<Action>) {
        let Some(removed) = self.runs.swap_remove(&run) else {
            return;
        };
        let claim = removed.claim;
        out.push(Action::Note(Note::Refused { run, reason, claim }));
        if let Some(owner) = removed.owner {
            // The entry acted on an outdated report, so the next report is sent at once.
            if let Some(entry) = self.entries.get_mut(&owner.name) {
                entry.last_report = None;
            }
            self.send(&owner, ToEntry::Refused { run, reason }, out);
        }
    }

    fn refuse_queued(&mut self, reason: NotStarted, out: &mut Vec<Action>) {
        let queued = |(_, run): &(&RunId, &Run)| run.state == State::Queued;
        let runs: Vec<RunId> = self.runs.iter().filter(queued).map(|(id, _)| *id).collect();
        for run in runs {
            self.refuse(run, reason, out);
        }
    }

    /// Removes a run and reports its end to its owner, or keeps the end if the owner is not linked.
    fn end(
        &mut self,
        now: Uptime,
        run: RunId,
        (end, evidence): (RunEnd, EndEvidence),
        out: &mut Vec<Action>,
    ) {
        let Some(removed) = self.runs.swap_remove(&run) else {
            return;
        };
        let ran = now.saturating_sub(removed.started);
        self.learn(now, &removed, end, ran);
        out.push(Action::Note(Note::Ended {
            run,
            end,
            evidence,
            ran,
            since_renewal: now.saturating_sub(self.last_renewal),
        }));
        let ran_ms = ran.as_millis() as u32;
        let msg = ToEntry::Ended {
            run,
            end,
            evidence,
            ran_ms,
        };
        let delivered = removed
            .owner
            .is_some_and(|owner| self.send(&owner, msg, out));
        if !delivered {
            let undelivered = UndeliveredEnd {
                end,
                evidence,
                ran_ms,
                at: now,
            };
            self.undelivered_ends.insert(run, undelivered);
        }
    }

    /// Updates the failure rate and, unless this run was counted before, the pace.
    fn learn(&mut self, now: Uptime, run: &Run, end: RunEnd, ran: Duration) {
        let failed = match end {
            RunEnd::Done => 0.0,
            RunEnd::Failed => 1.0,
            RunEnd::Gone => return,
        };
        // A worker with a high failure rate gets few runs, so each success has more weight.
        let recovers = end == RunEnd::Done && self.failure_rate > HIGH_FAILURE_RATE;
        let rate = if recovers {
            RECOVERY_LEARNING_RATE
        } else {
            LEARNING_RATE
        };
        self.failure_rate += rate * (failed - self.failure_rate);
        if end == RunEnd::Done {
            self.ahead.note_run_time(run.estimate, ran);
        }
        if end == RunEnd::Done && !run.pace_counted {
            self.learn_pace(now, run.estimate, ran);
        }
    }

    /// Returns the learned pace. It decays while there are no new samples, so that a worker that
    /// was slow is given runs again.
    fn pace(&self, now: Uptime) -> f32 {
        let idle = now
            .saturating_sub(self.pace_updated)
            .saturating_sub(PACE_HOLD_TIME);
        let half_lives = idle.as_secs_f32() / PACE_HALF_LIFE.as_secs_f32();
        self.pace * 0.5_f32.powf(half_lives)
    }

    fn learn_pace(&mut self, now: Uptime, estimate: Duration, ran: Duration) {
        if estimate.is_zero() || ran.is_zero() {
            return;
        }
        let ratio = (ran.as_secs_f32() / estimate.as_secs_f32()).ln();
        self.pace = self.pace(now);
        self.pace_updated = now;
        self.pace += LEARNING_RATE * (ratio.clamp(-3.0, 3.0) - self.pace);
    }

    /// Sends a message to an entry process. Returns `false` if that process is not linked.
    fn send(&self, to: &NodeRef, msg: ToEntry, out: &mut Vec<Action>) -> bool {
        let linked = self
            .entries
            .get(&to.name)
            .is_some_and(|entry| entry.linked && entry.node == *to);
        if linked {
            out.push(Action::Send(to.name.clone(), msg));
        }
        linked
    }
}
