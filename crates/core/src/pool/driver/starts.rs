//! Queueing, starting, refusing and stopping of runs.

use super::super::Uptime;
use super::super::job::{EndEvidence, RunEnd, RunId};
use super::super::msg::{NotStarted, Requirements, Start};
use super::super::room::Claim;
use super::speed::Progress;
use super::{
    ASSURED_LEASE, Action, Call, DomainState, Driver, Duration, HeartbeatState, MAX_QUEUED, Note,
    Run, SHORT_START_WINDOW, START_WINDOW, StartRefusal, State,
};
use crate::ids::NodeRef;

/// Time until a start that the worker refused for lack of capacity is sent again.
const CAPACITY_RETRY_DELAY: Duration = Duration::from_millis(15);

impl Driver {
    /// Handles an entry's request to start a run: starts, queues or refuses it.
    pub(super) fn on_start(
        &mut self,
        now: Uptime,
        owner: NodeRef,
        start: Start,
        claim: Claim,
        out: &mut Vec<Action>,
    ) {
        let run = start.run;
        self.ahead.note_start(start.needs);
        if self.runs.contains_key(&run) {
            return;
        }
        let queued = self.runs.values().filter(|r| r.state == State::Queued);
        let queue_full = queued.count() >= MAX_QUEUED;
        let ready = self
            .worker
            .as_ref()
            .is_some_and(|worker| worker.state == HeartbeatState::Ready);
        let other_run = self.runs.keys().any(|other| other.task == run.task);
        self.runs.insert(run, Run::new(now, owner, start, claim));
        if self.domain != DomainState::Open {
            out.push(Action::Note(Note::EvacuatedRefused { run }));
            self.refuse(run, NotStarted::NoWorker, out);
        } else if !ready || self.unresponsive || self.draining {
            self.refuse(run, NotStarted::NoWorker, out);
        } else if queue_full {
            self.refuse(run, NotStarted::NoRoom, out);
        } else if other_run {
            // A task must never run twice at the same time: the other run is stopped first, and the
            // entry may send this one again later.
            self.stop_others(now, run, out);
            self.refuse(run, NotStarted::NoRoom, out);
        } else {
            self.start_queued(now, out);
        }
        self.use_reservation(run.task, out);
    }

    /// Stops the other runs of the same task.
    fn stop_others(&mut self, now: Uptime, run: RunId, out: &mut Vec<Action>) {
        let others: Vec<RunId> = self
            .runs
            .keys()
            .filter(|other| other.task == run.task && **other != run)
            .copied()
            .collect();
        for other in others {
            self.stop(now, other, "another run of the task was requested", out);
        }
    }

    /// Starts the queued runs that fit, in order of their due time, and refuses those that have
    /// waited too long.
    pub(super) fn start_queued(&mut self, now: Uptime, out: &mut Vec<Action>) {
        self.refuse_unsuited(out);
        if !self.accepts_runs() {
            return;
        }
        loop {
            let free = self.free();
            let gate = self.gate(now);
            let admitted = |id: &RunId, run: &Run| {
                let longest = || self.ahead.longest(run.estimate);
                gate.is_none_or(|gate| gate.admits(*id, run.needs, longest()))
            };
            let ready = |run: &Run| run.state == State::Queued && run.start_at <= now;
            let next = self
                .runs
                .iter()
                .filter(|(id, run)| ready(run) && run.needs.fits(free) && admitted(id, run))
                .min_by_key(|(_, run)| run.due)
                .map(|(id, _)| *id);
            let Some(run) = next else { break };
            let Some(clock) = self.worker_clock(now) else {
                break;
            };
            self.send_start(now, run, clock, out);
        }
        self.announce_ready(now, out);
        self.refuse_overdue(now, out);
    }

    /// Refuses the queued runs that were meant for a worker of another kind.
    fn refuse_unsuited(&mut self, out: &mut Vec<Action>) {
        let Some(worker) = &self.worker else { return };
        let unsuited = |run: &Run| {
            let Requirements { pool, label } = &run.requires;
            run.state == State::Queued && !worker.info.suits(pool, label.as_ref())
        };
        let runs = self.runs.iter().filter(|(_, run)| unsuited(run));
        let runs: Vec<RunId> = runs.map(|(id, _)| *id).collect();
        for run in runs {
            self.refuse(run, NotStarted::OtherKind, out);
            self.use_reservation(run.task, out);
        }
    }

    /// Sends the start of a queued run. `clock` is a lower bound of the worker's present clock
    /// in milliseconds.
    fn send_start(&mut self, now: Uptime, id: RunId, clock: u64, out: &mut Vec<Action>) {
        let free = self.free();
        let is_assured = self
            .worker
            .as_ref()
            .is_some_and(|worker| worker.lease_until >= now + ASSURED_LEASE);
        let window = if is_assured {
            SHORT_START_WINDOW
        } else {
            START_WINDOW
        };
        let deadline_ms = clock + window.min(self.lease).as_millis() as u64;
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.state = State::Starting;
        run.start_deadline = deadline_ms;
        run.settled_by_stop = !is_assured;
        run.start_at = now;
        run.started = now;
        run.last_progress = now;
        let entry = run.owner.as_ref().map(|owner| owner.name.clone());
        out.push(Action::Note(Note::Starting {
            run: id,
            entry: entry.unwrap_or_else(|| "none".into()),
            free: free.minus(run.needs),
            waited: now.saturating_sub(run.received),
        }));
        let call = Call::Start {
            run: id,
            payload: run.payload.clone(),
            deadline_ms,
        };
        self.last_renewal = now;
        self.call(now, call, self.call_timeout(), out);
        self.use_reservation(id.task, out);
    }

    /// Refuses the queued runs whose maximum queue time has passed.
    fn refuse_overdue(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let overdue: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                run.state == State::Queued && now >= run.received + run.max_queue_time
            })
            .map(|(id, _)| *id)
            .collect();
        for run in overdue {
            self.refuse(run, NotStarted::NoRoom, out);
            self.use_reservation(run.task, out);
        }
    }

    pub(super) fn on_started(&mut self, now: Uptime, id: RunId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if run.state == State::Starting {
            run.state = State::Running;
            run.started = now;
            run.last_progress = now;
            run.progress = Progress::new(now);
        }
    }

    pub(super) fn on_start_refused(
        &mut self,
        now: Uptime,
        id: RunId,
        why: StartRefusal,
        out: &mut Vec<Action>,
    ) {
        match why {
            // Nothing would take the run from the queue while the domain is evacuated.
            StartRefusal::NoCapacity if self.domain != DomainState::Open => {
                self.refuse(id, NotStarted::NoWorker, out);
            }
            StartRefusal::NoCapacity => {
                if let Some(run) = self.runs.get_mut(&id)
                    && run.state == State::Starting
                {
                    run.state = State::Queued;
                    run.start_at = now + CAPACITY_RETRY_DELAY;
                    return;
                }
                self.refuse(id, NotStarted::NoRoom, out);
            }
            StartRefusal::OldAttempt => self.refuse(id, NotStarted::OldAttempt, out),
            StartRefusal::DeadlinePassed => self.refuse(id, NotStarted::Unanswered, out),
            StartRefusal::Unhealthy => {
                self.failure_rate += super::LEARNING_RATE * (1.0 - self.failure_rate);
                self.refuse(id, NotStarted::Unhealthy, out);
            }
            StartRefusal::Malformed => self.refuse(id, NotStarted::Malformed, out),
        }
    }

    /// Handles an unanswered start. If its deadline is near, the lists show the outcome; otherwise
    /// the run is stopped, which blocks a later start of it.
    pub(super) fn on_start_unanswered(
        &mut self,
        now: Uptime,
        id: RunId,
        sent: Uptime,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if run.state != State::Starting && run.state != State::Stopping {
            return;
        }
        run.state = State::Unknown;
        run.next_stop = now;
        let waited = now.saturating_sub(sent);
        out.push(Action::Note(Note::StartUnanswered { run: id, waited }));
        self.retry_stops(now, out);
    }

    /// Stops a run, or ends it at once if it is still queued. `why` is for the log.
    pub(super) fn stop(
        &mut self,
        now: Uptime,
        id: RunId,
        why: &'static str,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        match run.state {
            State::Queued => {
                // Not a refusal for lack of room: the entry would take the worker for full.
                self.end(now, id, (RunEnd::Gone, EndEvidence::Withdrawn), out);
                return;
            }
            State::Running | State::Starting => run.state = State::Stopping,
            State::Unknown if !run.settled_by_stop => run.settled_by_stop = true,
            State::Unknown | State::Stopping => return,
        }
        run.next_stop = now;
        out.push(Action::Note(Note::Stopping { run: id, why }));
        self.retry_stops(now, out);
    }

    /// Sends the stop calls that are due.
    pub(super) fn retry_stops(&mut self, now: Uptime, out: &mut Vec<Action>) {
        if self.worker.is_none() {
            return;
        }
        let due: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                let is_stopped = run.state == State::Stopping
                    || run.state == State::Unknown && run.settled_by_stop;
                is_stopped
                    && run.stop_answered.is_none()
                    && !run.stop_in_flight
                    && now >= run.next_stop
            })
            .map(|(id, _)| *id)
            .collect();
        let timeout = self.call_timeout();
        for id in due {
            if let Some(run) = self.runs.get_mut(&id) {
                run.stop_in_flight = true;
                run.next_stop = now + timeout;
            }
            self.call(now, Call::Stop { run: id }, timeout, out);
        }
    }

    pub(super) fn on_stop_answered(&mut self, now: Uptime, id: RunId) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.stop_in_flight = false;
            run.stop_answered = Some(now);
            self.next_list = now;
        }
    }
}

impl Run {
    fn new(now: Uptime, owner: NodeRef, start: Start, claim: Claim) -> Self {
        let estimate = Duration::from_millis(start.estimate_ms.into());
        Self {
            owner: Some(owner),
            state: State::Queued,
            needs: start.needs,
            requires: start.requires,
            estimate,
            payload: start.payload,
            due: now + Duration::from_millis(start.due_ms.into()),
            claim,
            max_queue_time: Duration::from_millis(start.max_queue_ms.into()),
            received: now,
            start_at: now,
            started: now,
            percent: 0,
            last_progress: now,
            progress: Progress::new(now),
            next_behind_report: super::lists::MIN_BEHIND_RUN_TIME,
            next_stall_report: now,
            pace_counted: false,
            start_deadline: 0,
            settled_by_stop: true,
            stop_answered: None,
            stop_in_flight: false,
            next_stop: now,
        }
    }

    /// Creates the record of a run that this process did not start, with unknown resources and
    /// estimate.
    pub(super) fn adopted(now: Uptime) -> Self {
        Self {
            owner: None,
            state: State::Running,
            needs: super::Resources::default(),
            requires: Requirements::default(),
            estimate: Duration::ZERO,
            payload: "".into(),
            due: now,
            claim: Claim::Unpromised,
            max_queue_time: Duration::ZERO,
            received: now,
            start_at: now,
            started: now,
            percent: 0,
            last_progress: now,
            progress: Progress::new(now),
            next_behind_report: Duration::MAX,
            next_stall_report: now,
            pace_counted: true,
            start_deadline: 0,
            settled_by_stop: true,
            stop_answered: None,
            stop_in_flight: false,
            next_stop: now,
        }
    }
}
