//! Calls to the worker: their time-outs, their answers, and what it means if there is none.

use super::super::{LEASE, MAX_CLOCK_DRIFT_PERCENT, Uptime};
use super::lists::ListSource;
use super::{
    Action, Call, CallTarget, Driver, Duration, FLAKY_UNRESPONSIVE_TIME, LOSSY_PERIOD,
    MAX_CALL_TIMEOUT, MAX_LIST_PAUSE, MIN_CALL_TIMEOUT, MIN_LIST_PAUSE, NotStarted, Note,
    PendingCall, Reply, TIMEOUT_FACTOR, TIMEOUT_MARGIN, UNRESPONSIVE_CALLS,
    UNRESPONSIVE_LIST_INTERVAL, UNRESPONSIVE_TIME,
};

impl Driver {
    /// Issues a call and records it until it is answered or times out.
    pub(super) fn call(
        &mut self,
        now: Uptime,
        call: Call,
        timeout: Duration,
        out: &mut Vec<Action>,
    ) {
        let Some(present) = &self.worker else { return };
        let target = match (&call, &self.candidate) {
            (Call::Identify { worker }, Some(candidate)) => CallTarget {
                worker: worker.clone(),
                // A false heartbeat must not raise the token that the present worker has seen.
                token: if present.is_proven {
                    present.token
                } else {
                    candidate.heartbeat.start_time_ms
                },
            },
            _ => CallTarget {
                worker: present.id.clone(),
                token: present.token,
            },
        };
        let id = self.next_call;
        self.next_call += 1;
        let pending = PendingCall {
            call: call.clone(),
            target,
            sent: now,
            timeout: now + timeout,
        };
        self.calls.insert(id, pending);
        out.push(Action::Call(id, call));
    }

    /// Returns the time to wait for the answer to a call.
    pub(super) fn call_timeout(&self) -> Duration {
        let timeout = self.mean_response_time * TIMEOUT_FACTOR + TIMEOUT_MARGIN;
        timeout.clamp(MIN_CALL_TIMEOUT, MAX_CALL_TIMEOUT)
    }

    /// Returns a lower bound of the worker's present clock in milliseconds, if its clock is known.
    pub(super) fn worker_clock(&self, now: Uptime) -> Option<u64> {
        let (clock, received) = self.worker.as_ref()?.clock?;
        let passed = now.saturating_sub(received) * (100 - MAX_CLOCK_DRIFT_PERCENT) / 100;
        Some(clock.saturating_add(passed.as_millis() as u64))
    }

    /// Handles the outcome of the call with this number. `clock_ms` is the worker's clock in
    /// milliseconds, if the answer states it. Outcomes of abandoned calls are ignored.
    pub fn on_reply(
        &mut self,
        now: Uptime,
        id: u64,
        reply: Reply,
        clock_ms: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.calls.swap_remove(&id) else {
            return;
        };
        if let Call::Identify { worker } = &pending.call {
            self.on_identified(now, worker, &reply, clock_ms, out);
        } else if reply == Reply::Fenced {
            self.on_fenced(now, &pending, out);
        } else if matches!(reply, Reply::NotSent | Reply::Unknown) {
            self.on_no_answer(now, &pending, reply == Reply::NotSent, out);
        } else {
            self.on_answer(now, pending, reply, clock_ms, out);
        }
        self.start_queued(now, out);
        self.request_list(now, out);
        self.report(now, out);
    }

    /// Handles the refusal of a call since the worker has seen a higher token: one that an earlier
    /// agent process sent, or a late call to a life that began later by a clock that was set back
    /// since. What is known of this life may be out of date, so nothing is started before a list.
    fn on_fenced(&mut self, now: Uptime, pending: &PendingCall, out: &mut Vec<Action>) {
        if let Some(worker) = &mut self.worker {
            worker.token = worker.token.saturating_add(self.token_step);
            worker.listed = false;
            if worker.is_proven {
                self.last_token = worker.token;
            }
        }
        self.token_step = self.token_step.saturating_mul(2);
        if let Call::Start { run, .. } = pending.call {
            self.refuse(run, NotStarted::Unanswered, out);
        } else {
            self.on_no_answer(now, pending, false, out);
        }
    }

    fn on_answer(
        &mut self,
        now: Uptime,
        pending: PendingCall,
        reply: Reply,
        clock_ms: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        self.unanswered = 0;
        self.closed_lists = 0;
        self.last_answer = now;
        let lossy = self
            .last_lost_call
            .is_some_and(|at| now < at + LOSSY_PERIOD);
        if lossy && !self.unresponsive {
            self.flaky_until = Some(now + LOSSY_PERIOD);
        }
        if std::mem::take(&mut self.unresponsive) {
            out.push(Action::Note(Note::WorkerRecovered));
        }
        if reply == Reply::OtherWorker {
            let why = "another incarnation answered a call";
            self.worker_gone(now, why, out);
            return;
        }
        if !matches!(pending.call, Call::List { .. }) {
            let took = now.saturating_sub(pending.sent);
            self.mean_response_time = (self.mean_response_time * 7 + took) / 8;
        }
        if let (Some(worker), Some(clock)) = (&mut self.worker, clock_ms) {
            worker.clock = Some((clock, now));
        }
        self.note_lease(&pending, &reply, clock_ms);
        match (pending.call, reply) {
            (Call::Start { run, .. }, Reply::Started) => self.on_started(now, run),
            (Call::Start { run, .. }, Reply::Refused(why)) => {
                self.on_start_refused(now, run, why, out);
            }
            (Call::Stop { run }, _) => self.on_stop_answered(now, run),
            (
                Call::List { .. },
                Reply::Lists {
                    start_time_ms,
                    running,
                    is_complete,
                    ended,
                },
            ) => {
                let source = ListSource {
                    requested: pending.sent,
                    clock_ms,
                    is_complete,
                };
                self.on_lists(now, source, start_time_ms, &running, &ended, out);
            }
            (Call::Start { run, .. }, _) => self.on_start_unanswered(now, run, pending.sent, out),
            (Call::List { .. } | Call::Identify { .. }, _) => {}
        }
    }

    /// Records how long the worker's lease lasts at least after an answered call. The clock that the
    /// answer states was read after the call was sent.
    fn note_lease(&mut self, pending: &PendingCall, reply: &Reply, clock_ms: Option<u64>) {
        let deadline = match (&pending.call, reply) {
            (Call::Start { deadline_ms, .. }, Reply::Started) => Some(*deadline_ms),
            (Call::List { deadline_ms, .. }, Reply::Lists { .. }) => *deadline_ms,
            _ => None,
        };
        if let (Some(worker), Some(deadline), Some(clock)) = (&mut self.worker, deadline, clock_ms)
        {
            let left = Duration::from_millis(deadline.saturating_sub(clock));
            worker.lease_until = worker.lease_until.max(pending.sent + left.min(LEASE));
        }
    }

    fn on_no_answer(
        &mut self,
        now: Uptime,
        pending: &PendingCall,
        not_sent: bool,
        out: &mut Vec<Action>,
    ) {
        self.unanswered += 1;
        self.last_lost_call = Some(now);
        let is_flaky = self.flaky_until.is_some_and(|until| now < until);
        let limit = if is_flaky {
            FLAKY_UNRESPONSIVE_TIME
        } else {
            UNRESPONSIVE_TIME
        };
        // A refused connection proves at once that no process is listening.
        let silent = not_sent || now.saturating_sub(self.last_answer) >= limit;
        if !self.unresponsive && self.unanswered >= UNRESPONSIVE_CALLS && silent {
            self.unresponsive = true;
            self.next_list = now + UNRESPONSIVE_LIST_INTERVAL / 3;
            out.push(Action::Note(Note::WorkerUnresponsive {
                calls: self.unanswered,
                since: now.saturating_sub(self.last_answer),
            }));
            self.refuse_queued(NotStarted::NoWorker, out);
        }
        match &pending.call {
            Call::Start { run, .. } if not_sent => {
                self.refuse(*run, NotStarted::NoWorker, out);
            }
            Call::Start { run, .. } => self.on_start_unanswered(now, *run, pending.sent, out),
            Call::Stop { run } => {
                if let Some(run) = self.runs.get_mut(run) {
                    run.stop_in_flight = false;
                }
            }
            Call::List { .. } if now < pending.timeout => {
                let pause = MIN_LIST_PAUSE * 2_u32.saturating_pow(self.closed_lists.min(8));
                self.list_pause_until = now + pause.min(MAX_LIST_PAUSE);
                self.closed_lists += 1;
            }
            Call::List { .. } | Call::Identify { .. } => {}
        }
    }

    pub(super) fn expire_calls(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let expired: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, pending)| now >= pending.timeout)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            out.push(Action::DropCall(id));
            if let Some(pending) = self.calls.swap_remove(&id)
                && !matches!(pending.call, Call::Identify { .. })
            {
                self.on_no_answer(now, &pending, false, out);
            }
        }
    }
}
