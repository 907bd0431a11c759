//! The entries that own runs here: their links, their silence, their reports.

use super::super::Uptime;
use super::super::job::{Resources, RunId};
use super::super::msg::{Room, ToAgent, ToEntry};
use super::super::{PING_EVERY, SILENCE};
use super::{Action, Driver, Entry, Name, Note, REPORT_EVERY, State};
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
        let free = self.free();
        let queued_runs = self.runs.values().filter(|run| run.state == State::Queued);
        let free = queued_runs
            .clone()
            .fold(free, |free, run| free.minus(run.needs));
        let queued = queued_runs.count() as u32;
        let info = self.worker.as_ref().map(|worker| worker.info.clone());
        for (name, entry) in self.entries.iter_mut().filter(|(_, e)| e.linked) {
            if let Some(info) = info.as_ref().filter(|_| !entry.told_info) {
                entry.told_info = true;
                out.push(Action::Send(name.clone(), ToEntry::Worker(info.clone())));
            }
            let room = Room {
                seen: entry.seen,
                open,
                free,
                queued,
                pace: self.pace,
                failing: self.failing,
            };
            if entry.should_report(now, &room) {
                entry.reported = Some((now, room));
                out.push(Action::Send(name.clone(), ToEntry::Room(room)));
            }
        }
    }
}

impl Entry {
    fn should_report(&self, now: Uptime, room: &Room) -> bool {
        let Some((at, last)) = &self.reported else {
            return true;
        };
        let moved = last.free != room.free || last.seen != room.seen;
        if last.open != room.open || moved && self.waiting > 0 {
            return true;
        }
        let changed = moved
            || (last.pace - room.pace).abs() > 0.05
            || (last.failing - room.failing).abs() > 0.02;
        changed && now >= *at + REPORT_EVERY || now >= *at + PING_EVERY * 4
    }
}
