//! Starts and stops of runs.

use super::super::Uptime;
use super::super::job::RunId;
use super::super::msg::{NotStarted, Start};
use super::{
    Action, BeatState, Call, Driver, Duration, MAX_QUEUED, Note, Run, START_WINDOW, StartRefusal,
    State,
};
use crate::ids::NodeRef;

/// A run that the worker had no room for waits this long before it is tried again.
const ROOM_RETRY: Duration = Duration::from_millis(15);

impl Driver {
    /// An entry asks for a run.
    pub(super) fn on_start(
        &mut self,
        now: Uptime,
        owner: NodeRef,
        start: Start,
        out: &mut Vec<Action>,
    ) {
        let run = start.run;
        if self.runs.contains_key(&run) {
            return;
        }
        let queued = self.runs.values().filter(|r| r.state == State::Queued);
        let full = queued.count() >= MAX_QUEUED;
        let ready = self
            .worker
            .as_ref()
            .is_some_and(|worker| worker.state == BeatState::Ready);
        let known = self.runs.keys().any(|other| other.task == run.task);
        self.runs.insert(run, Run::new(now, owner, start));
        if !ready || self.silent || self.leaving {
            self.refuse(run, NotStarted::NoWorker, out);
        } else if full {
            self.refuse(run, NotStarted::NoRoom, out);
        } else if known {
            // Another run of the task is here: it goes first, and this one comes back later.
            self.stop_others(now, run, out);
            self.refuse(run, NotStarted::NoRoom, out);
        } else {
            self.start_queued(now, out);
        }
    }

    fn stop_others(&mut self, now: Uptime, run: RunId, out: &mut Vec<Action>) {
        let others: Vec<RunId> = self
            .runs
            .keys()
            .filter(|other| other.task == run.task && **other != run)
            .copied()
            .collect();
        for other in others {
            self.stop(now, other, "another run of the task came", out);
        }
    }

    /// Starts waiting runs that fit, the most urgent first.
    pub(super) fn start_queued(&mut self, now: Uptime, out: &mut Vec<Action>) {
        if !self.open() {
            return;
        }
        loop {
            let free = self.free();
            let ready = |run: &Run| run.state == State::Queued && run.ordered <= now;
            let next = self
                .runs
                .iter()
                .filter(|(_, run)| ready(run) && run.needs.fits(free))
                .min_by_key(|(_, run)| run.due)
                .map(|(id, _)| *id);
            let Some(run) = next else { break };
            let Some(clock) = self.worker_clock(now) else {
                break;
            };
            self.order(now, run, clock, out);
        }
        self.give_back_old(now, out);
    }

    fn order(&mut self, now: Uptime, id: RunId, clock: u64, out: &mut Vec<Action>) {
        let free = self.free();
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        run.state = State::Starting;
        run.ordered = now;
        run.started = now;
        run.advanced = now;
        let entry = run.owner.as_ref().map(|owner| owner.name.clone());
        out.push(Action::Note(Note::Starting {
            run: id,
            entry: entry.unwrap_or_else(|| "none".into()),
            free: free.minus(run.needs),
            waited: now.saturating_sub(run.arrived),
        }));
        let call = Call::Start {
            run: id,
            payload: run.payload.clone(),
            deadline_ms: clock + START_WINDOW.min(self.lease).as_millis() as u64,
        };
        self.lease_sent = now;
        self.call(now, call, self.call_timeout(), out);
    }

    /// Waiting runs that found no room for too long go back to their entry.
    fn give_back_old(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let old: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, run)| run.state == State::Queued && now >= run.arrived + run.patience)
            .map(|(id, _)| *id)
            .collect();
        for run in old {
            self.refuse(run, NotStarted::NoRoom, out);
        }
    }

    pub(super) fn on_started(&mut self, now: Uptime, id: RunId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if run.state == State::Starting {
            run.state = State::Running;
            run.started = now;
            run.advanced = now;
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
            StartRefusal::Room => {
                if let Some(run) = self.runs.get_mut(&id)
                    && run.state == State::Starting
                {
                    run.state = State::Queued;
                    run.ordered = now + ROOM_RETRY;
                    return;
                }
                self.refuse(id, NotStarted::NoRoom, out);
            }
            StartRefusal::Old => self.refuse(id, NotStarted::OldAttempt, out),
            StartRefusal::Late => self.refuse(id, NotStarted::Unanswered, out),
            StartRefusal::Unhealthy => {
                self.failing += super::LEARN * (1.0 - self.failing);
                self.refuse(id, NotStarted::Unhealthy, out);
            }
            StartRefusal::Malformed => self.refuse(id, NotStarted::Malformed, out),
        }
    }

    /// A start got no answer: a stop bars it, and the next list tells the truth.
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

    /// Orders a run to stop.
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
                self.refuse(id, NotStarted::NoRoom, out);
                return;
            }
            State::Running | State::Starting => run.state = State::Stopping,
            State::Unknown | State::Stopping => return,
        }
        run.next_stop = now;
        out.push(Action::Note(Note::Stopping { run: id, why }));
        self.retry_stops(now, out);
    }

    /// Sends stops that are due and not answered yet.
    pub(super) fn retry_stops(&mut self, now: Uptime, out: &mut Vec<Action>) {
        if self.worker.is_none() {
            return;
        }
        let due: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                matches!(run.state, State::Stopping | State::Unknown)
                    && run.stop_answered.is_none()
                    && !run.stop_call
                    && now >= run.next_stop
            })
            .map(|(id, _)| *id)
            .collect();
        let timeout = self.call_timeout();
        for id in due {
            if let Some(run) = self.runs.get_mut(&id) {
                run.stop_call = true;
                run.next_stop = now + timeout;
            }
            self.call(now, Call::Stop { run: id }, timeout, out);
        }
    }

    pub(super) fn on_stop_answered(&mut self, now: Uptime, id: RunId) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.stop_call = false;
            run.stop_answered = Some(now);
            self.next_look = now;
        }
    }
}

impl Run {
    fn new(now: Uptime, owner: NodeRef, start: Start) -> Self {
        let estimate = Duration::from_millis(start.estimate_ms.into());
        Self {
            owner: Some(owner),
            state: State::Queued,
            needs: start.needs,
            estimate,
            payload: start.payload,
            due: now + Duration::from_millis(start.due_ms.into()),
            patience: Duration::from_millis(start.patience_ms.into()),
            arrived: now,
            ordered: now,
            started: now,
            percent: 0,
            advanced: now,
            tell_behind: super::lists::first_behind(estimate),
            tell_still: now,
            judged: false,
            stop_answered: None,
            stop_call: false,
            next_stop: now,
        }
    }

    /// A run that was found at the worker.
    pub(super) fn found(now: Uptime) -> Self {
        Self {
            owner: None,
            state: State::Running,
            needs: super::Resources::default(),
            estimate: Duration::ZERO,
            payload: "".into(),
            due: now,
            patience: Duration::ZERO,
            arrived: now,
            ordered: now,
            started: now,
            percent: 0,
            advanced: now,
            tell_behind: Duration::MAX,
            tell_still: now,
            judged: true,
            stop_answered: None,
            stop_call: false,
            next_stop: now,
        }
    }
}
