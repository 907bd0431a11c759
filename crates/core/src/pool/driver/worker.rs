//! The worker's heartbeats: its incarnation, its capacity, and whether it drains or shuts down.

use std::time::Duration;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use super::super::Uptime;
use super::super::job::{EndEvidence, Resources, RunEnd, RunId};
use super::super::msg::{NotStarted, WorkerInfo};
use super::cold::cold_until;
use super::{
    Action, Call, Candidate, Driver, MAX_CALL_TIMEOUT, Name, Note, PendingCall, Reply, State,
    UNRESPONSIVE_LIST_INTERVAL, Worker,
};

/// Maximum length in bytes of a worker's id, pool and labels.
const MAX_NAME_BYTES: usize = 256;
/// Maximum number of a worker's labels.
const MAX_LABELS: usize = 32;
/// Maximum difference between the clocks of a worker and its agent, in milliseconds: one day.
const MAX_CLOCK_ERROR_MS: u64 = 24 * 3600 * 1000;
/// Maximum number of heartbeats, far above those of any outage, that may be missed between two.
const MAX_MISSED_HEARTBEATS: u64 = 100_000_000;

/// The state that a worker states in its heartbeats.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HeartbeatState {
    /// Accepts new runs.
    Ready,
    /// Will shut down soon and accepts no new runs.
    Draining,
}

/// A periodic message of a worker about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The worker's id.
    pub id: Name,
    /// Start time of this incarnation in Unix milliseconds, by the worker's clock; 0 if not stated.
    pub start_time_ms: u64,
    /// Sequence number, rising with each heartbeat of one incarnation.
    pub number: u64,
    /// The pool that the worker belongs to.
    pub pool: Name,
    /// Whether it accepts new runs.
    pub state: HeartbeatState,
    /// Its total resources, used or free.
    pub capacity: Resources,
    /// Its kind, rack and other labels.
    pub labels: Vec<Name>,
    /// The worker's clock in milliseconds, if stated.
    pub clock_ms: Option<u64>,
    /// How much longer the worker is slow after its start; 0 if it is warm or states nothing.
    pub cold_left: Duration,
}

/// The result of [`Driver::on_heartbeat`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// The heartbeat is the newest of the newest incarnation and was applied.
    Applied,
    /// The heartbeat names another incarnation, which is asked whether it serves the worker's
    /// address.
    Unconfirmed,
    /// The heartbeat is out of date or of an earlier incarnation and was ignored.
    Outdated,
    /// The heartbeat cannot come from a worker of this cluster, for the given reason, and was
    /// ignored.
    Odd(&'static str),
}

impl Heartbeat {
    /// Returns why no worker of the cluster can have sent the heartbeat at this time, in Unix
    /// milliseconds; `None` if one can.
    fn oddity(&self, wall_ms: u64) -> Option<&'static str> {
        let named = |name: &Name| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        if !named(&self.id) || !named(&self.pool) {
            return Some("the id or the pool is empty or too long");
        }
        let too_long = |label: &Name| label.len() > MAX_NAME_BYTES;
        if self.labels.len() > MAX_LABELS || self.labels.iter().any(too_long) {
            return Some("there are too many labels, or one is too long");
        }
        if self.start_time_ms > wall_ms.saturating_add(MAX_CLOCK_ERROR_MS) {
            return Some("the start time is in the future");
        }
        (self.capacity.cpu_milli == 0).then_some("there is no capacity")
    }
}

impl Driver {
    /// Sets the pools of the catalogue in force. A worker of another pool is forgotten if nothing
    /// runs on it, so that it does not stand in the way of one that is configured.
    pub fn set_pools(&mut self, pools: IndexSet<Name>) {
        let serves = |worker: &Worker| {
            let pool = worker.info.pool.as_ref();
            pool.is_some_and(|pool| pools.contains(pool))
        };
        if self.runs.is_empty()
            && self.calls.is_empty()
            && !self.worker.as_ref().is_some_and(serves)
        {
            self.worker = None;
        }
        self.pools = Some(pools);
    }

    /// Returns why the heartbeat is not one of the worker or of a successor; `None` if it may be.
    fn oddity(&self, wall_ms: u64, heartbeat: &Heartbeat) -> Option<&'static str> {
        let oddity = heartbeat.oddity(wall_ms);
        if oddity.is_some() {
            return oddity;
        }
        if self
            .pools
            .as_ref()
            .is_some_and(|pools| !pools.contains(&heartbeat.pool))
        {
            return Some("the pool is not configured");
        }
        let last = self
            .worker
            .as_ref()
            .map_or(0, |worker| worker.last_heartbeat);
        let number_too_high = heartbeat.number > last.saturating_add(MAX_MISSED_HEARTBEATS);
        number_too_high.then_some("the sequence number is too high")
    }

    /// Handles a heartbeat as [`Self::on_heartbeat`] does, unless it is odd. `wall_ms` is the
    /// present time in Unix milliseconds.
    pub fn on_heartbeat_at(
        &mut self,
        now: Uptime,
        wall_ms: u64,
        heartbeat: Heartbeat,
        out: &mut Vec<Action>,
    ) -> HeartbeatOutcome {
        match self.oddity(wall_ms, &heartbeat) {
            Some(reason) => HeartbeatOutcome::Odd(reason),
            None => self.on_heartbeat(now, heartbeat, out),
        }
    }

    /// Handles a heartbeat. One of another incarnation replaces the worker only once that
    /// incarnation has answered a call.
    pub fn on_heartbeat(
        &mut self,
        now: Uptime,
        heartbeat: Heartbeat,
        out: &mut Vec<Action>,
    ) -> HeartbeatOutcome {
        let outcome = match &self.worker {
            Some(worker)
                if heartbeat.start_time_ms < worker.start_time_ms && heartbeat.id == worker.id =>
            {
                HeartbeatOutcome::Outdated
            }
            Some(worker)
                if heartbeat.start_time_ms == worker.start_time_ms && heartbeat.id == worker.id =>
            {
                if heartbeat.number <= worker.last_heartbeat {
                    HeartbeatOutcome::Outdated
                } else {
                    self.update_worker(now, heartbeat, out);
                    HeartbeatOutcome::Applied
                }
            }
            Some(_) => {
                self.candidate = Some(Candidate {
                    heartbeat,
                    next_call: now,
                });
                HeartbeatOutcome::Unconfirmed
            }
            None => {
                self.set_worker(now, heartbeat, out);
                HeartbeatOutcome::Applied
            }
        };
        self.retry_stops(now, out);
        self.identify_candidate(now, out);
        self.request_list(now, out);
        self.report(now, out);
        outcome
    }

    /// Asks the candidate for its identity if this is due. The answer proves which incarnation
    /// serves the worker's address; a heartbeat proves nothing about the present worker. Without a
    /// present worker the candidate takes its place.
    pub(super) fn identify_candidate(&mut self, now: Uptime, out: &mut Vec<Action>) {
        if self.worker.is_none()
            && let Some(candidate) = self.candidate.take()
        {
            self.set_worker(now, candidate.heartbeat, out);
        }
        let in_flight = |pending: &PendingCall| matches!(pending.call, Call::Identify { .. });
        let Some(candidate) = &mut self.candidate else {
            return;
        };
        if now < candidate.next_call || self.calls.values().any(in_flight) {
            return;
        }
        candidate.next_call = now + UNRESPONSIVE_LIST_INTERVAL;
        let call = Call::Identify {
            worker: candidate.heartbeat.id.clone(),
        };
        self.call(now, call, MAX_CALL_TIMEOUT, out);
    }

    /// Handles the answer to [`Call::Identify`]. Without an answer the candidate is asked again.
    pub(super) fn on_identified(
        &mut self,
        now: Uptime,
        worker: &Name,
        reply: &Reply,
        clock_ms: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        let is_other = |candidate: &Candidate| candidate.heartbeat.id != *worker;
        if self.candidate.as_ref().is_none_or(is_other) {
            return;
        }
        let stated = match reply {
            Reply::Lists { start_time_ms, .. } => *start_time_ms,
            Reply::OtherWorker => {
                self.deny_candidate(out);
                return;
            }
            _ => return,
        };
        let Some(candidate) = self.candidate.take() else {
            return;
        };
        let start_time_ms = candidate.heartbeat.start_time_ms;
        if stated.is_some_and(|stated| stated != start_time_ms) {
            self.candidate = Some(candidate);
            self.deny_candidate(out);
            return;
        }
        let mut heartbeat = candidate.heartbeat;
        heartbeat.clock_ms = clock_ms.or(heartbeat.clock_ms);
        let restarted = self.worker_id() == Some(&heartbeat.id);
        if restarted {
            self.keep_runs_for_next_life(now, out);
        } else {
            self.worker_gone(now, "another incarnation serves its address", out);
        }
        self.set_worker(now, heartbeat, out);
        self.note_proof();
        self.retry_stops(now, out);
    }

    fn deny_candidate(&mut self, out: &mut Vec<Action>) {
        if let Some(candidate) = self.candidate.take() {
            out.push(Action::Note(Note::CandidateDenied {
                id: candidate.heartbeat.id,
                start_time_ms: candidate.heartbeat.start_time_ms,
            }));
        }
    }

    /// Updates the present worker from its heartbeat.
    fn update_worker(&mut self, now: Uptime, heartbeat: Heartbeat, out: &mut Vec<Action>) {
        let clock = self.clock_of_heartbeat(now, heartbeat.clock_ms);
        let Some(worker) = &mut self.worker else {
            return;
        };
        worker.clock = clock;
        worker.cold_until = cold_until(now, heartbeat.cold_left);
        worker.last_heartbeat = heartbeat.number;
        worker.is_leaving = false;
        let info = WorkerInfo {
            pool: Some(heartbeat.pool),
            capacity: heartbeat.capacity,
            labels: heartbeat.labels,
        };
        if worker.info != info {
            worker.info = info;
            for entry in self.entries.values_mut() {
                entry.info_sent = false;
            }
        }
        if worker.state != heartbeat.state {
            worker.state = heartbeat.state;
            out.push(Action::Note(Note::WorkerState {
                id: worker.id.clone(),
                state: heartbeat.state,
            }));
        }
        if worker.state == HeartbeatState::Draining {
            self.refuse_queued(NotStarted::NoWorker, out);
        }
    }

    /// Returns the lower bound of the worker's clock, and when it held, after a heartbeat that
    /// states this clock. The bound of an idle worker's clock falls behind without it.
    fn clock_of_heartbeat(&self, now: Uptime, stated: Option<u64>) -> Option<(u64, Uptime)> {
        let known = self.worker.as_ref().and_then(|worker| worker.clock);
        let (Some(stated), Some((clock, received)), Some(bound)) =
            (stated, known, self.worker_clock(now))
        else {
            return known.or(stated.map(|clock| (clock, now)));
        };
        // A clock is never fast. One that says so is not that of the worker.
        let at_full_speed = clock.saturating_add(now.saturating_sub(received).as_millis() as u64);
        let stated = stated.min(at_full_speed);
        if stated > bound {
            Some((stated, now))
        } else {
            known
        }
    }

    /// Sets the worker of a heartbeat, which gets no runs before it has answered a list call.
    fn set_worker(&mut self, now: Uptime, heartbeat: Heartbeat, out: &mut Vec<Action>) {
        out.push(Action::Note(Note::WorkerFound {
            id: heartbeat.id.clone(),
            start_time_ms: heartbeat.start_time_ms,
        }));
        self.worker = Some(Worker {
            id: heartbeat.id,
            start_time_ms: heartbeat.start_time_ms,
            info: WorkerInfo {
                pool: Some(heartbeat.pool),
                capacity: heartbeat.capacity,
                labels: heartbeat.labels,
            },
            state: heartbeat.state,
            last_heartbeat: heartbeat.number,
            clock: heartbeat.clock_ms.map(|clock| (clock, now)),
            lease_until: Uptime::ZERO,
            last_end_number: 0,
            listed: false,
            is_leaving: false,
            is_proven: false,
            cold_until: cold_until(now, heartbeat.cold_left),
            token: heartbeat.start_time_ms,
        });
        self.pace = 0.0;
        self.failure_rate = 0.0;
        self.unresponsive = false;
        self.unanswered = 0;
        for entry in self.entries.values_mut() {
            entry.info_sent = false;
        }
    }

    /// Handles a list that shows that the worker has started again under its id.
    pub(super) fn next_life(
        &mut self,
        now: Uptime,
        start_time_ms: u64,
        clock_ms: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        self.keep_runs_for_next_life(now, out);
        self.candidate = None;
        if let Some(worker) = &mut self.worker {
            worker.start_time_ms = start_time_ms;
            worker.last_heartbeat = 0;
            worker.clock = clock_ms.map(|clock| (clock, now));
            worker.lease_until = Uptime::ZERO;
            worker.last_end_number = 0;
            worker.listed = false;
            worker.is_leaving = false;
            worker.is_proven = false;
            worker.token = start_time_ms;
            out.push(Action::Note(Note::WorkerFound {
                id: worker.id.clone(),
                start_time_ms,
            }));
        }
        self.note_proof();
    }

    /// Records that the present life of the worker has answered. Its token is above those of the lives
    /// before, also if the wall clock of its machine stepped back.
    pub(super) fn note_proof(&mut self) {
        let Some(worker) = self.worker.as_mut().filter(|worker| !worker.is_proven) else {
            return;
        };
        worker.is_proven = true;
        worker.token = worker.token.max(self.last_token.saturating_add(1));
        self.last_token = worker.token;
        self.token_step = 1;
    }

    /// Prepares the runs for the next life of the worker under the same id. A start that was sent to
    /// the life before may be carried out by the next one until that one has seen its token, so no
    /// run ends before a list of the next life. Starts without an answer are barred there first.
    fn keep_runs_for_next_life(&mut self, now: Uptime, out: &mut Vec<Action>) {
        self.drop_calls(out);
        self.refuse_queued(NotStarted::NoWorker, out);
        for run in self.runs.values_mut() {
            if run.state != State::Running {
                run.state = State::Unknown;
                run.start_deadline = 0;
                run.settled_by_stop = true;
                run.stop_answered = None;
                run.stop_in_flight = false;
                run.next_stop = now;
            }
        }
        self.last_renewal = now;
    }

    /// Handles the message of the worker with this id that it shuts down now. Ignored for another
    /// id.
    ///
    /// The message may be late and of an earlier incarnation, so it only ends the starts of runs.
    /// Those at work end by the worker's lists, or with its lease.
    pub fn on_leave(&mut self, now: Uptime, id: &str, out: &mut Vec<Action>) {
        let Some(worker) = self.worker.as_mut().filter(|worker| &*worker.id == id) else {
            return;
        };
        worker.state = HeartbeatState::Draining;
        worker.is_leaving = true;
        self.refuse_queued(NotStarted::NoWorker, out);
        self.forget_left_worker(now, out);
        self.report(now, out);
    }

    /// Forgets a worker that is shutting down once it has no runs.
    pub(super) fn forget_left_worker(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let is_leaving = |worker: &Worker| worker.is_leaving;
        if self.runs.is_empty() && self.worker.as_ref().is_some_and(is_leaving) {
            self.drop_worker(now, "it gave notice that it shuts down", out);
        }
    }

    /// Handles the proof that another incarnation has taken the worker's place: ends its runs.
    /// `why` is for the log.
    ///
    /// A worker that never answered is only forgotten: runs that an entry expects may be
    /// at work at the one that serves the address.
    pub(super) fn worker_gone(&mut self, now: Uptime, why: &'static str, out: &mut Vec<Action>) {
        let Some(worker) = &self.worker else { return };
        let was_proven = worker.is_proven;
        self.drop_worker(now, why, out);
        if !was_proven {
            return;
        }
        let runs: Vec<RunId> = self.runs.keys().copied().collect();
        for run in runs {
            self.end(now, run, (RunEnd::Gone, EndEvidence::WorkerReplaced), out);
        }
    }

    /// Forgets the worker, drops all calls and refuses the queued runs. The others end with the
    /// lease unless the worker is found again.
    fn drop_worker(&mut self, now: Uptime, why: &'static str, out: &mut Vec<Action>) {
        let Some(worker) = self.worker.take() else {
            return;
        };
        out.push(Action::Note(Note::WorkerGone {
            id: worker.id,
            start_time_ms: worker.start_time_ms,
            why,
            runs: self.runs.len(),
            since_renewal: now.saturating_sub(self.last_renewal),
        }));
        self.drop_calls(out);
        self.refuse_queued(NotStarted::NoWorker, out);
    }

    fn drop_calls(&mut self, out: &mut Vec<Action>) {
        for (id, _) in std::mem::take(&mut self.calls) {
            out.push(Action::DropCall(id));
        }
        for run in self.runs.values_mut() {
            run.stop_in_flight = false;
        }
    }
}
