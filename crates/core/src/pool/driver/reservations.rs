//! Room reserved for large waiting tasks, and forecasts of room.
//!
//! A worker's agent holds at most one reservation. While it stands, other runs start only if they
//! leave its room free at the time it is due, or are nearly certain to have ended by then.

use indexmap::IndexMap;

use super::super::Uptime;
use super::super::job::{Resources, RunId, TaskId};
use super::super::lookahead::{Forecast, RESERVATION_LEASE, Ratios, Reservation, Sizes};
use super::super::msg::ToEntry;
use super::{Action, Driver, Duration, Name, Note, Run, State};
use crate::ids::NodeRef;

/// Minimum time between two forecasts to an entry.
const FORECAST_INTERVAL: Duration = Duration::from_millis(50);
/// Change of a time in a forecast that is not sent on its own.
const SMALL_TIME_CHANGE: Duration = Duration::from_millis(20);
/// A change of the CPU in a forecast is notable above this part of the worker's capacity.
const NOTABLE_CHANGE_DIVISOR: u32 = 16;
/// Number of times that the room of a reservation may fail to be free when it was promised.
const MAX_SLIPS: u8 = 2;
/// Margin of the promised time; a run that ends this much later is no sign of a wrong forecast.
const PROMISE_MARGIN: Duration = Duration::from_millis(50);
/// Expected time until the reserved room is free at which the owner is told, so that the start has
/// arrived by then: time for a message each way.
const READY_AHEAD: Duration = Duration::from_millis(20);
/// Share of its run time so far that a run which exceeds its expected time takes at least longer.
const OVERDUE_SHARE: f64 = 0.2;
/// Progress in percent from which the rate of progress tells more of the end than the estimate.
const TELLING_PERCENT: u8 = 10;

/// Room that is reserved on the worker.
#[derive(Debug)]
struct Held {
    task: TaskId,
    needs: Resources,
    /// The entry process that asked for it.
    owner: NodeRef,
    /// When it lapses unless it is renewed.
    lease_until: Uptime,
    /// When its room should be free even if runs take long.
    promised: Uptime,
    /// How often its room was not free then.
    slips: u8,
    /// Whether its owner was told that the room is free.
    ready: bool,
}

/// What the agent looks ahead with.
#[derive(Debug, Default)]
pub(super) struct LookAhead {
    /// Whether forecasts are sent.
    forecasts_on: bool,
    held: Option<Held>,
    /// Needs of the runs that were asked for.
    sizes: Sizes,
    ratios: Ratios,
    /// The last forecast to each entry, and when it was sent.
    forecasts: IndexMap<Name, (Uptime, Forecast)>,
}

/// What other runs must leave to the reserved task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Gate {
    task: TaskId,
    /// Time until the reserved room is expected to be free.
    due: Duration,
    /// Room that is free beside it from then on.
    beside: Resources,
}

impl Gate {
    /// Returns whether a run may start now. `at_most` is the time that it nearly certainly takes
    /// at most.
    pub(super) fn admits(&self, id: RunId, needs: Resources, at_most: Duration) -> bool {
        id.task == self.task || needs.fits(self.beside) || at_most <= self.due
    }
}

impl LookAhead {
    /// Records the needs of a run that an entry asks for.
    pub(super) fn note_start(&mut self, needs: Resources) {
        self.sizes.add(needs);
    }

    /// Records the run time of a completed run.
    pub(super) fn note_run_time(&mut self, estimate: Duration, ran: Duration) {
        self.ratios.add(estimate, ran);
    }

    /// Returns whether room is reserved.
    pub(super) fn is_reserved(&self) -> bool {
        self.held.is_some()
    }

    /// Returns the time that a new run nearly certainly takes at most.
    pub(super) fn longest(&self, estimate: Duration) -> Duration {
        self.ratios.cautious(estimate)
    }

    /// Returns the time until a run's end: that which half of such runs exceed, and that which few
    /// exceed.
    fn time_left(&self, now: Uptime, run: &Run) -> (Duration, Duration) {
        let ran = now.saturating_sub(run.started);
        let left = |total: Duration| {
            let least = ran.mul_f64(OVERDUE_SHARE);
            total.saturating_sub(ran).max(least)
        };
        let (median, cautious) = (
            left(self.ratios.median(run.estimate)),
            left(self.ratios.cautious(run.estimate)),
        );
        if run.percent < TELLING_PERCENT {
            return (median, cautious);
        }
        let by_progress = run.time_left(now);
        (by_progress, by_progress.max(cautious))
    }
}

impl Driver {
    /// Returns the expected ends of the started runs, in order, with what each frees.
    fn ends(&self, now: Uptime, cautious: bool) -> Vec<(Duration, Resources)> {
        let started = self.runs.values().filter(|run| run.state != State::Queued);
        let mut ends: Vec<(Duration, Resources)> = started
            .map(|run| {
                let (median, high) = self.ahead.time_left(now, run);
                (if cautious { high } else { median }, run.needs)
            })
            .collect();
        ends.sort_by_key(|(end, _)| *end);
        ends
    }

    /// Returns the time until the room is free, and what is then free; `None` if the worker is too
    /// small.
    fn room_for(
        &self,
        now: Uptime,
        needs: Resources,
        cautious: bool,
    ) -> Option<(Duration, Resources)> {
        let mut free = self.free();
        if needs.fits(free) {
            return Some((Duration::ZERO, free));
        }
        for (after, freed) in self.ends(now, cautious) {
            free = free.plus(freed);
            if needs.fits(free) {
                return Some((after, free));
            }
        }
        None
    }

    /// Returns what new runs must leave to the reserved task, if there is one.
    pub(super) fn gate(&self, now: Uptime) -> Option<Gate> {
        let held = self.ahead.held.as_ref()?;
        let (due, free) = self.room_for(now, held.needs, false)?;
        Some(Gate {
            task: held.task,
            due,
            beside: free.minus(held.needs),
        })
    }

    /// Returns what is offered of the free room: runs of any length may use it.
    pub(super) fn offered(&self, now: Uptime, free: Resources) -> Resources {
        self.gate(now)
            .map_or(free, |gate| free.smallest(gate.beside))
    }

    /// Handles an entry's request to reserve room, or to keep it reserved.
    pub(super) fn on_reserve(
        &mut self,
        now: Uptime,
        owner: &NodeRef,
        wanted: Reservation,
        out: &mut Vec<Action>,
    ) {
        let lease = Duration::from_millis(wanted.lease_ms.into()).min(RESERVATION_LEASE);
        let is_own = |held: &&mut Held| held.task == wanted.task && held.owner == *owner;
        if let Some(held) = self.ahead.held.as_mut().filter(is_own) {
            held.lease_until = now + lease;
            return;
        }
        let room = self.room_for(now, wanted.needs, true);
        let refused = if !self.accepts_runs() {
            Some("the worker takes no runs")
        } else if self.ahead.held.is_some() {
            Some("another reservation stands")
        } else if room.is_none() {
            Some("the worker is too small")
        } else {
            None
        };
        let granted = refused.is_none();
        if let Some((after, _)) = room.filter(|_| granted) {
            out.push(Action::Note(Note::Reserved {
                task: wanted.task,
                entry: owner.name.clone(),
                needs: wanted.needs,
                after,
            }));
            self.ahead.held = Some(Held {
                task: wanted.task,
                needs: wanted.needs,
                owner: owner.clone(),
                lease_until: now + lease,
                promised: now + after + PROMISE_MARGIN,
                slips: 0,
                ready: false,
            });
        }
        if let Some(why) = refused {
            let task = wanted.task;
            out.push(Action::Note(Note::ReservationEnded { task, why }));
        }
        let reply = ToEntry::Reserved {
            task: wanted.task,
            granted,
            ready: false,
        };
        self.send(owner, reply, out);
        self.announce_ready(now, out);
    }

    /// Handles an entry's message that it gives up a reservation.
    pub(super) fn on_unreserve(
        &mut self,
        now: Uptime,
        owner: &NodeRef,
        task: TaskId,
        out: &mut Vec<Action>,
    ) {
        let held = self.ahead.held.as_ref();
        if held.is_some_and(|held| held.task == task && held.owner == *owner) {
            self.end_reservation("given up by its entry", out);
            self.start_queued(now, out);
        }
    }

    /// Ends the reservation of a task unless its run is queued.
    pub(super) fn use_reservation(&mut self, task: TaskId, out: &mut Vec<Action>) {
        let mut runs = self.runs.iter();
        let is_queued = runs.any(|(id, run)| id.task == task && run.state == State::Queued);
        let held = self.ahead.held.as_ref();
        if !is_queued && held.is_some_and(|held| held.task == task) {
            self.ahead.held = None;
            self.ahead.forecasts.clear();
            let why = "its run arrived";
            out.push(Action::Note(Note::ReservationEnded { task, why }));
        }
    }

    fn end_reservation(&mut self, why: &'static str, out: &mut Vec<Action>) {
        let Some(held) = self.ahead.held.take() else {
            return;
        };
        // Entries know of no room here while it stood.
        self.ahead.forecasts.clear();
        let task = held.task;
        out.push(Action::Note(Note::ReservationEnded { task, why }));
        let msg = ToEntry::Reserved {
            task,
            granted: false,
            ready: false,
        };
        self.send(&held.owner, msg, out);
    }

    /// Ends the reservation if it has lapsed, has slipped too often or has lost its entry or worker,
    /// and tells its owner when the room is free.
    pub(super) fn check_reservation(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let Some(held) = &self.ahead.held else { return };
        let (needs, is_over) = (held.needs, now >= held.promised && !held.ready);
        let owner = self.entries.get(&held.owner.name);
        let has_owner = owner.is_some_and(|entry| entry.node == held.owner && entry.linked);
        if now >= held.lease_until {
            self.end_reservation("it was not renewed", out);
        } else if !has_owner {
            self.end_reservation("its entry is gone", out);
        } else if !self.accepts_runs() {
            self.end_reservation("the worker takes no runs", out);
        } else if is_over && !needs.fits(self.free()) {
            self.slip(now, needs, out);
        }
        self.announce_ready(now, out);
    }

    /// Handles that the reserved room is not free although it was promised.
    fn slip(&mut self, now: Uptime, needs: Resources, out: &mut Vec<Action>) {
        let room = self.room_for(now, needs, true);
        let Some(held) = &mut self.ahead.held else {
            return;
        };
        held.slips += 1;
        match room {
            Some((after, _)) if held.slips < MAX_SLIPS => {
                held.promised = now + after + PROMISE_MARGIN;
            }
            _ => self.end_reservation("its room was late too often", out),
        }
    }

    /// Tells the owner of the reservation once that its room is free or is about to be.
    pub(super) fn announce_ready(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let is_due = |gate: Gate| gate.due <= READY_AHEAD;
        let is_due = self.gate(now).is_some_and(is_due);
        let Some(held) = &mut self.ahead.held else {
            return;
        };
        if held.ready || !is_due || now >= held.lease_until {
            return;
        }
        held.ready = true;
        let (owner, task) = (held.owner.clone(), held.task);
        let msg = ToEntry::Reserved {
            task,
            granted: true,
            ready: true,
        };
        self.send(&owner, msg, out);
    }

    /// Switches forecasts of room on.
    #[must_use]
    pub fn with_forecasts(mut self) -> Self {
        self.ahead.forecasts_on = true;
        self
    }

    /// Sends forecasts to the entries with waiting jobs, if they are switched on and tasks differ in size on this worker.
    pub(super) fn send_forecasts(&mut self, now: Uptime, out: &mut Vec<Action>) {
        if !self.ahead.forecasts_on {
            return;
        }
        let entries = &self.entries;
        let waits = |name: &Name| {
            entries
                .get(name)
                .is_some_and(|entry| entry.linked && entry.waiting_jobs > 0)
        };
        self.ahead.forecasts.retain(|name, _| waits(name));
        let due: Vec<Name> = entries
            .keys()
            .filter(|name| waits(name))
            .filter(|name| {
                let last = self.ahead.forecasts.get(*name);
                last.is_none_or(|(at, _)| now >= *at + FORECAST_INTERVAL)
            })
            .cloned()
            .collect();
        if due.is_empty() || !self.accepts_runs() {
            return;
        }
        let Some(forecast) = self.forecast(now) else {
            return;
        };
        let capacity = self.worker.as_ref().map(|worker| worker.info.capacity);
        let notable = capacity.unwrap_or_default().cpu_milli / NOTABLE_CHANGE_DIVISOR;
        for name in due {
            let last = self.ahead.forecasts.get(&name);
            let is_notable = last.is_none_or(|(at, earlier)| {
                let age = now.saturating_sub(*at);
                forecast.differs_notably(earlier, age, SMALL_TIME_CHANGE, notable)
            });
            if is_notable {
                let sent = (now, forecast.clone());
                self.ahead.forecasts.insert(name.clone(), sent);
                let msg = ToEntry::Forecast(forecast.clone());
                out.push(Action::Send(name, msg));
            }
        }
    }

    /// Returns the forecast; without rows while the worker can be reserved for no further task.
    /// `None` if tasks do not differ in size.
    fn forecast(&self, now: Uptime) -> Option<Forecast> {
        let capacity = self.worker.as_ref()?.info.capacity;
        let largest = self.ahead.sizes.largest(capacity)?;
        let usual = self.ahead.sizes.usual_large(capacity).unwrap_or(largest);
        if self.ahead.held.is_some() {
            return Some(Forecast::default());
        }
        let ends = self.ends(now, false);
        Some(Forecast::new(self.free(), &ends, &[usual, largest]))
    }
}
