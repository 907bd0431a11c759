//! The entries that own runs here: their links, their silence, their reports.

use super::super::Uptime;
use super::super::job::{Resources, RunId};
use super::super::msg::{Room, ToAgent, ToEntry};
use super::super::{PING_EVERY, SILENCE};
use super::{
    Action, Driver, Entry, MUCH_ROOM, Name, Note, REPORT_EVERY, REPORT_SLOWLY, REPORT_WAITING,
    State, TELL_AT_ONCE,
};
use crate::ids::NodeRef;

impl Driver {
    /// An entry's link is up. An earlier process of that name is gone.
    pub fn entry_up(&mut self, now: Uptime, node: NodeRef, out: &mut Vec<Action>) {
        let name = node.name.clone();
        let replaced = self
            .entries
            .get(&name)
            .is_some_and(|entry| entry.node != node);
        if replaced {
            self.stop_runs_of(now, &name, "its entry ended", out);
        }
        self.entries.insert(
            name,
            Entry {
                node,
                linked: true,
                heard: now,
                seen: 0,
                waiting: 0,
                reported: None,
                told_info: false,
            },
        );
        self.report(now, out);
    }

    /// An entry's link is lost. Its runs go on until it was silent for too long.
    pub fn entry_down(&mut self, name: &Name) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.linked = false;
        }
    }

    /// Something arrived from an entry.
    pub fn heard(&mut self, now: Uptime, name: &Name) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.heard = now;
        }
    }

    /// Handles a message of a linked entry.
    pub fn on_entry(&mut self, now: Uptime, name: &Name, msg: ToAgent, out: &mut Vec<Action>) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        entry.heard = now;
        let owner = entry.node.clone();
        match msg {
            ToAgent::Start(start) => {
                entry.seen += 1;
                self.on_start(now, owner, start, out);
            }
            ToAgent::Stop { run } => {
                if self
                    .runs
                    .get(&run)
                    .is_some_and(|run| run.owner.as_ref() == Some(&owner))
                {
                    self.stop(now, run, "its entry asked", out);
                } else {
                    self.tell_end(run, &owner, out);
                }
            }
            ToAgent::Resume { runs } => self.on_resume(now, &owner, runs, out),
            ToAgent::Waiting { tasks } => entry.waiting = tasks,
        }
        self.look(now, out);
        self.report(now, out);
    }

    /// Tells what is known of a run that is not here.
    fn tell_end(&mut self, run: RunId, owner: &NodeRef, out: &mut Vec<Action>) {
        let (end, ran_ms) = match self.ended.swap_remove(&run) {
            Some((end, ran_ms, _)) => (end, ran_ms),
            None => (super::RunEnd::Gone, 0),
        };
        self.send(owner, ToEntry::Ended { run, end, ran_ms }, out);
    }

    /// After a new link: keeps what the entry wants and stops the rest of what it owns.
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
            self.stop(now, run, "its entry no longer wants it", out);
        }
        for (id, needs) in wanted {
            if let Some(run) = self.runs.get_mut(&id) {
                if run.owner.is_none() {
                    run.owner = Some(owner.clone());
                    run.needs = needs;
                }
                continue;
            }
            if self.ended.contains_key(&id) {
                self.tell_end(id, owner, out);
                continue;
            }
            // Not known here: an order of an earlier process may still be carried out.
            let mut run = super::Run::found(now);
            run.owner = Some(owner.clone());
            run.needs = needs;
            run.state = State::Unknown;
            self.runs.insert(id, run);
        }
        self.retry_stops(now, out);
    }

    /// Stops the runs of entries that were not heard of for too long.
    pub(super) fn drop_silent_entries(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let silent: Vec<Name> = self
            .entries
            .iter()
            .filter(|(_, entry)| now >= entry.heard + SILENCE)
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            let Some(entry) = self.entries.swap_remove(&name) else {
                continue;
            };
            let owned = |run: &&super::Run| run.owner.as_ref() == Some(&entry.node);
            out.push(Action::Note(Note::EntryLost {
                entry: name.clone(),
                silence: now.saturating_sub(entry.heard),
                runs: self.runs.values().filter(owned).count(),
            }));
            out.push(Action::DropLink(name.clone()));
            self.stop_runs_of(now, &name, "its entry is silent", out);
        }
    }

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

    /// Reports the worker and its room to entries that should know.
    pub(super) fn report(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let open = self.open();
        let queued_runs = self.runs.values().filter(|run| run.state == State::Queued);
        let queued = queued_runs.clone().count() as u32;
        let free = queued_runs.fold(self.free(), |free, run| free.minus(run.needs));
        let info = self.worker.as_ref().map(|worker| worker.info.clone());
        let much = info
            .as_ref()
            .map_or(0, |info| info.capacity.cpu_milli / MUCH_ROOM);
        let pace = self.pace(now);
        let mut at_once = TELL_AT_ONCE;
        let count = self.entries.len();
        for i in 0..count {
            let at = (self.turn + i) % count;
            let Some((name, entry)) = self.entries.get_index_mut(at) else {
                continue;
            };
            if !entry.linked {
                continue;
            }
            if let Some(info) = info.as_ref().filter(|_| !entry.told_info) {
                entry.told_info = true;
                out.push(Action::Send(name.clone(), ToEntry::Worker(info.clone())));
            }
            let room = Room {
                seen: entry.seen,
                open,
                free,
                queued,
                pace,
                failing: self.failing,
            };
            let news = entry.news(&room, much);
            let first = news == News::Freed && entry.waiting > 0 && at_once > 0;
            if first || entry.is_due(now, news) {
                if first {
                    at_once -= 1;
                    self.turn = at + 1;
                }
                entry.reported = Some((now, room));
                out.push(Action::Send(name.clone(), ToEntry::Room(room)));
            }
        }
    }
}

/// How much an entry would learn from a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum News {
    /// It knows nothing, or whether the worker takes runs has changed.
    All,
    /// There is more room.
    Freed,
    /// The room, or what is learned of the worker, changed a lot.
    Much,
    /// Something changed.
    Some,
    None,
}

impl Entry {
    fn news(&self, room: &Room, much: u32) -> News {
        let Some((_, last)) = &self.reported else {
            return News::All;
        };
        let (before, after) = (last.free.cpu_milli, room.free.cpu_milli);
        let learned =
            (last.pace - room.pace).abs() > 0.2 || (last.failing - room.failing).abs() > 0.1;
        if last.open != room.open {
            News::All
        } else if after > before && self.waiting > 0 {
            News::Freed
        } else if before.abs_diff(after) >= much.max(1) || learned {
            News::Much
        } else if last != room {
            News::Some
        } else {
            News::None
        }
    }

    fn is_due(&self, now: Uptime, news: News) -> bool {
        let since = self
            .reported
            .map_or(Uptime::MAX, |(at, _)| now.saturating_sub(at));
        match news {
            News::All => true,
            News::Freed => since >= REPORT_WAITING,
            News::Much => since >= REPORT_EVERY,
            News::Some => since >= REPORT_SLOWLY,
            News::None => since >= PING_EVERY * 4,
        }
    }
}
