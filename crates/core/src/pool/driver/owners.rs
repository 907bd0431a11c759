//! The entries that own runs: their links, their timeouts and the reports sent to them.

use super::super::Uptime;
use super::super::job::{EndEvidence, Resources, RunEnd, RunId};
use super::super::msg::{CapacityReport, ToAgent, ToEntry};
use super::super::room::News;
use super::super::{PING_EVERY, SILENCE_TIMEOUT};
use super::{
    Action, Driver, Duration, Entry, LARGE_CHANGE_DIVISOR, Name, Note, REPORT_INTERVAL,
    RETIRE_GRACE, SLOW_REPORT_INTERVAL, State, WAITING_REPORT_INTERVAL,
};
use crate::ids::NodeRef;

/// Number of runs on a worker from which on room is promised for one start ahead of the next end.
const MIN_RUNS_TO_QUEUE: usize = 4;
/// Change of the pace that is not reported on its own.
const SMALL_PACE_CHANGE: f32 = 0.05;
/// Change of the failure rate that is not reported on its own.
const SMALL_FAILING_CHANGE: f32 = 0.02;

impl Driver {
    /// Handles a new link to an entry process. If an earlier process had the same name, its runs
    /// are stopped.
    pub fn entry_up(&mut self, now: Uptime, node: NodeRef, out: &mut Vec<Action>) {
        let name = node.name.clone();
        let replaced = self
            .entries
            .get(&name)
            .is_some_and(|entry| entry.node != node);
        if replaced {
            self.stop_runs_of(now, &name, "its entry process was replaced", out);
        }
        self.promises.remove(&name);
        self.entries.insert(
            name,
            Entry {
                node,
                linked: true,
                last_received: now,
                starts_received: 0,
                waiting_jobs: 0,
                last_report: None,
                info_sent: false,
                cold_sent: None,
                retiring_since: None,
                news: News::default(),
            },
        );
        self.report(now, out);
    }

    /// Sets the entries whose links are to be closed. They are told that the worker takes no more
    /// runs; a link is closed once none of its runs is left.
    pub fn set_retiring(&mut self, now: Uptime, names: &[Name]) {
        for (name, entry) in &mut self.entries {
            entry.retiring_since = if names.contains(name) {
                Some(entry.retiring_since.unwrap_or(now))
            } else {
                None
            };
        }
    }

    /// Closes the links that are to be closed and have no runs.
    pub(super) fn close_retired(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let runs = &self.runs;
        self.entries.retain(|name, entry| {
            let due = entry
                .retiring_since
                .is_some_and(|since| now >= since + RETIRE_GRACE);
            let owns_runs = || {
                runs.values()
                    .any(|run| run.owner.as_ref() == Some(&entry.node))
            };
            let closes = due && entry.linked && !owns_runs();
            if closes {
                out.push(Action::DropLink(name.clone()));
            }
            !closes
        });
    }

    /// Handles the loss of an entry's link. Its runs continue until nothing was received from the
    /// entry for [`SILENCE_TIMEOUT`].
    pub fn entry_down(&mut self, name: &Name) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.linked = false;
        }
    }

    /// Records that a message or keep-alive arrived from an entry.
    pub fn on_entry_activity(&mut self, now: Uptime, name: &Name) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.last_received = now;
        }
    }

    /// Handles a message from a linked entry.
    pub fn on_entry(&mut self, now: Uptime, name: &Name, msg: ToAgent, out: &mut Vec<Action>) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        entry.last_received = now;
        let owner = entry.node.clone();
        match msg {
            ToAgent::Start(start) => {
                entry.starts_received += 1;
                if entry.waiting_jobs > 0 {
                    entry.waiting_jobs = start.waiting_jobs.max(1);
                }
                let claim = self.promises.started(now, name, start.needs);
                self.on_start(now, owner, start, claim, out);
            }
            ToAgent::Stop { run } => {
                if self
                    .runs
                    .get(&run)
                    .is_some_and(|run| run.owner.as_ref() == Some(&owner))
                {
                    self.stop(now, run, "requested by its entry", out);
                } else {
                    self.report_end(run, &owner, out);
                }
            }
            ToAgent::Resume { runs } => self.on_resume(now, &owner, runs, out),
            ToAgent::Waiting { tasks } => entry.waiting_jobs = tasks,
            ToAgent::Reserve(wanted) => self.on_reserve(now, &owner, wanted, out),
            ToAgent::Unreserve { task } => self.on_unreserve(now, &owner, task, out),
        }
        self.request_list(now, out);
        self.report(now, out);
    }

    /// Reports the end of a run that is no longer known: as recorded, or else
    /// [`RunEnd::Gone`].
    fn report_end(&mut self, run: RunId, owner: &NodeRef, out: &mut Vec<Action>) {
        let (end, evidence, ran_ms) = match self.undelivered_ends.swap_remove(&run) {
            Some(known) => (known.end, known.evidence, known.ran_ms),
            None => (RunEnd::Gone, EndEvidence::Unknown, 0),
        };
        let msg = ToEntry::Ended {
            run,
            end,
            evidence,
            ran_ms,
        };
        self.send(owner, msg, out);
    }

    /// Handles the list of runs that an entry sends on a new link: assigns these runs to the entry
    /// and stops its other runs.
    fn on_resume(
        &mut self,
        now: Uptime,
        owner: &NodeRef,
        wanted: Vec<(RunId, Resources)>,
        out: &mut Vec<Action>,
    ) {
        let unwanted: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(id, run)| {
                run.owner.as_ref() == Some(owner) && !wanted.iter().any(|(run, _)| run == *id)
            })
            .map(|(id, _)| *id)
            .collect();
        for run in unwanted {
            self.stop(now, run, "its entry no longer needs it", out);
        }
        for (id, needs) in wanted {
            if let Some(run) = self.runs.get_mut(&id) {
                if run.owner.is_none() {
                    run.owner = Some(owner.clone());
                    run.needs = needs;
                }
                continue;
            }
            if self.undelivered_ends.contains_key(&id) {
                self.report_end(id, owner, out);
                continue;
            }
            // The worker may still execute a start that an earlier agent process sent.
            let mut run = super::Run::adopted(now);
            run.owner = Some(owner.clone());
            run.needs = needs;
            run.state = State::Unknown;
            self.runs.insert(id, run);
        }
        self.retry_stops(now, out);
    }

    /// Removes the entries from which nothing was received for [`SILENCE_TIMEOUT`] and stops their
    /// runs.
    pub(super) fn expire_entries(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let expired: Vec<Name> = self
            .entries
            .iter()
            .filter(|(_, entry)| now >= entry.last_received + SILENCE_TIMEOUT)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            let Some(entry) = self.entries.swap_remove(&name) else {
                continue;
            };
            let owned = |run: &&super::Run| run.owner.as_ref() == Some(&entry.node);
            out.push(Action::Note(Note::EntryLost {
                entry: name.clone(),
                silence: now.saturating_sub(entry.last_received),
                runs: self.runs.values().filter(owned).count(),
            }));
            out.push(Action::DropLink(name.clone()));
            self.stop_runs_of(now, &name, "nothing received from its entry", out);
        }
    }

    /// Stops the runs of all processes of the entry of this name.
    fn stop_runs_of(&mut self, now: Uptime, name: &Name, why: &'static str, out: &mut Vec<Action>) {
        let owned: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, run)| run.owner.as_ref().is_some_and(|owner| owner.name == *name))
            .map(|(id, _)| *id)
            .collect();
        for id in owned {
            self.stop(now, id, why, out);
        }
    }

    /// Sends the worker's description and its free capacity to the entries for which a report is
    /// due.
    pub(super) fn report(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let open = self.accepts_runs();
        let queued_runs = self.runs.values().filter(|run| run.state == State::Queued);
        let queued = queued_runs.clone().count() as u32;
        let free = queued_runs.fold(self.free(), |free, run| free.minus(run.needs));
        let free = self.offered(now, free);
        let info = self.worker.as_ref().map(|worker| worker.info.clone());
        let cold_until = self.worker.as_ref().and_then(|worker| worker.cold_until);
        let large_change = info
            .as_ref()
            .map_or(0, |info| info.capacity.cpu_milli / LARGE_CHANGE_DIVISOR);
        let pace = self.pace(now);
        let room = if open { free } else { Resources::default() };
        self.next_report = self.allot(now, room, queued);
        let unit = info.as_ref().map_or(Resources::default(), |info| {
            self.promises.unit(info.capacity)
        });
        for (name, entry) in &mut self.entries {
            if !entry.linked {
                continue;
            }
            if let Some(info) = info.as_ref().filter(|_| !entry.info_sent) {
                entry.info_sent = true;
                out.push(Action::Send(name.clone(), ToEntry::Worker(info.clone())));
            }
            if let Some(msg) = entry.cold_news(now, cold_until, self.cold_factor) {
                out.push(Action::Send(name.clone(), msg));
            }
            let report = CapacityReport {
                starts_received: entry.starts_received,
                open: open && entry.retiring_since.is_none(),
                free,
                promised: self.promises.promised(name),
                unit,
                reserved: self.promises.reserved_for_others(now, name),
                queued,
                pace,
                failing: self.failure_rate,
            };
            let news = self.promises.take_news(name);
            entry.news.granted |= news.granted;
            entry.news.revoked |= news.revoked;
            let change = entry.change(&report, large_change);
            if entry.is_due(now, change) {
                entry.news = News::default();
                entry.last_report = Some((now, report));
                out.push(Action::Send(name.clone(), ToEntry::Capacity(report)));
            } else if change != Change::None {
                let due = entry.report_due(change);
                self.next_report = Some(self.next_report.map_or(due, |next| next.min(due)));
            }
        }
    }

    /// Promises the free room to the entries. Returns when to do so again at the latest, if nothing
    /// changes before.
    fn allot(&mut self, now: Uptime, free: Resources, queued: u32) -> Option<Uptime> {
        let takes_starts = |entry: &Entry| entry.linked && entry.retiring_since.is_none();
        let entries = self.entries.iter().filter(|(_, entry)| takes_starts(entry));
        let entries = entries.map(|(name, entry)| (name, entry.waiting_jobs));
        self.promises.set_entries(now, entries);
        let capacity = self.worker.as_ref()?.info.capacity;
        // With several runs, one ends within the time that a start may be queued.
        let may_queue =
            queued == 0 && self.runs.len() >= MIN_RUNS_TO_QUEUE && !self.ahead.is_reserved();
        self.promises.allot(now, free, capacity, may_queue)
    }
}

impl CapacityReport {
    /// Returns whether `newer` differs in more than a fading of what was learned, which entries
    /// need not follow closely.
    fn is_outdated(&self, newer: &Self) -> bool {
        let counted = |report: &Self| {
            let room = (report.free, report.promised, report.reserved);
            (report.starts_received, room, report.queued)
        };
        counted(self) != counted(newer)
            || (self.pace - newer.pace).abs() > SMALL_PACE_CHANGE
            || (self.failing - newer.failing).abs() > SMALL_FAILING_CHANGE
    }
}

/// The difference between the present state and the last report to an entry, which decides how soon
/// the next report is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Change {
    /// There was no report yet, or whether the worker accepts runs has changed.
    Availability,
    /// Room for a task was promised to the entry, which had none.
    Promised,
    /// There is more that the entry may use, and jobs wait there; or a promise was revoked.
    Freed,
    /// The free capacity, the pace or the failure rate changed by a large amount.
    Large,
    /// Any of the values changed by a smaller amount.
    Small,
    /// Nothing changed.
    None,
}

impl Entry {
    fn change(&self, report: &CapacityReport, large_change: u32) -> Change {
        let Some((_, last)) = &self.last_report else {
            return Change::Availability;
        };
        let (before, after) = (last.obtainable().cpu_milli, report.obtainable().cpu_milli);
        let learned_change =
            (last.pace - report.pace).abs() > 0.2 || (last.failing - report.failing).abs() > 0.1;
        if last.open != report.open {
            Change::Availability
        } else if self.news.granted {
            Change::Promised
        } else if after > before && self.waiting_jobs > 0 || self.news.revoked {
            Change::Freed
        } else if before.abs_diff(after) >= large_change.max(1) || learned_change {
            Change::Large
        } else if last.is_outdated(report) {
            Change::Small
        } else {
            Change::None
        }
    }

    fn is_due(&self, now: Uptime, change: Change) -> bool {
        now >= self.report_due(change)
    }

    /// Returns when a report of the change is due.
    fn report_due(&self, change: Change) -> Uptime {
        let interval = match change {
            Change::Availability | Change::Promised => Duration::ZERO,
            Change::Freed => WAITING_REPORT_INTERVAL,
            Change::Large => REPORT_INTERVAL,
            Change::Small => SLOW_REPORT_INTERVAL,
            Change::None => PING_EVERY * 4,
        };
        self.last_report
            .map_or(Uptime::ZERO, |(at, _)| at + interval)
    }
}
