//! What happens to the machines: silences, restarts, lost disks, replaced and added machines.

use std::time::{Duration, Instant};

use rw_core::ids::Name;
use rw_core::journal::Record;
use rw_core::raft::VoterId;

use super::{Losses, LostDisk};

/// Longest silence of a machine.
const MAX_SILENCE: Duration = Duration::from_secs(90);
/// Time that a planned successor is up before the machine that it replaces ends.
const SUCCESSOR_LEAD: Duration = Duration::from_secs(4);
/// Longest pause between two disturbances.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Number of machines that may be added to the initial ones.
const ADDED_MACHINES: usize = 2;
/// Time that the loss of a machine counts at least, since a server that was heard from a moment ago
/// may still be admitted.
const LEAST_LOSS_TIME: Duration = Duration::from_secs(4);
/// Longest time that a machine is down before it comes back.
const MAX_DOWN_TIME: Duration = Duration::from_secs(3);

impl Losses {
    /// Disturbs the cluster in one way, drawn at random, and lets some time pass.
    pub fn disturb(&mut self) {
        match self.rng.u32(0..12) {
            0..=2 => self.silence(),
            3 => self.wipe(),
            4 => self.replace(Duration::ZERO),
            5 => self.replace(SUCCESSOR_LEAD),
            6 => self.add_machine(),
            7 => self.end_added_machine(),
            8 => self.restart(1),
            9 => self.restart(self.machines.len()),
            10 => self.end_some_silences(),
            _ => {
                // Takes as many of the disks that a change has just come to rest on as it may.
                if self.publishes() {
                    self.wipe_latest_holders(self.outlived);
                }
            }
        }
        let pause = self.duration(MAX_PAUSE);
        self.run(pause);
    }

    fn pick(&mut self) -> Name {
        let at = self.rng.usize(0..self.machines.len());
        self.machines
            .get_index(at)
            .expect("within its length")
            .0
            .clone()
    }

    /// Lets a machine stand still or be cut off.
    fn silence(&mut self) {
        let name = self.pick();
        let time = if self.rng.bool() {
            self.duration(MAX_SILENCE)
        } else {
            self.duration(MAX_PAUSE)
        };
        let is_cut = self.rng.bool();
        let machine = &mut self.machines[&name];
        if machine.back_at.is_none() {
            machine.back_at = Some(self.now + time);
            machine.is_cut = is_cut;
        }
    }

    fn end_some_silences(&mut self) {
        for machine in self.machines.values_mut() {
            if machine.back_at.is_some() && self.rng.bool() {
                machine.back_at = Some(self.now);
            }
        }
    }

    /// Ends the processes of some machines; their disks stay.
    fn restart(&mut self, count: usize) {
        for _ in 0..count {
            let name = self.pick();
            let down = self.duration(MAX_DOWN_TIME);
            let machine = &mut self.machines[&name];
            machine.raft = None;
            machine.back_at = Some(machine.back_at.unwrap_or(self.now) + down);
        }
    }

    /// Returns whether one more disk may be lost.
    pub(super) fn may_lose(&self) -> bool {
        self.lost.len() < self.outlived
    }

    /// Returns whether a disk has replaced another one of the same machine and is not in use yet, so
    /// that its loss does not count again.
    fn is_unused(&self, id: &VoterId) -> bool {
        let mut lost = self.lost.iter();
        lost.any(|lost| lost.successor.as_ref() == Some(id) && lost.id.name == id.name)
    }

    /// Notes that a disk is lost, and which one replaces it. It counts as lost until a time at least.
    fn note_loss(&mut self, id: VoterId, successor: Option<VoterId>, until: Instant) {
        for lost in &mut self.lost {
            if lost.successor.as_ref() == Some(&id) {
                lost.successor.clone_from(&successor);
            }
        }
        self.lost.push(LostDisk {
            id,
            successor,
            until,
        });
    }

    fn wipe(&mut self) {
        let name = self.pick();
        if self.may_lose() || self.is_unused(&self.machines[&name].id) {
            self.lose_disk(&name);
        }
    }

    /// The machine comes back at its address with an empty disk.
    pub(super) fn lose_disk(&mut self, name: &Name) {
        let id = self.new_disk_id(name.clone());
        let down = self.duration(MAX_DOWN_TIME);
        let old = self.machines[name].id.clone();
        let was_unused = self.is_unused(&old);
        self.note_loss(old, Some(id.clone()), self.now);
        if was_unused {
            self.lost.pop();
        }
        self.add(id.clone(), vec![Record::Identity(id)], down);
    }

    /// A machine ends for good, and an empty one starts at another address: soon after, or so much
    /// earlier.
    fn replace(&mut self, lead: Duration) {
        let name = self.pick();
        if !self.may_lose() || self.machines[&name].ends_at.is_some() {
            return;
        }
        let id = self.new_machine_id();
        let down = if lead.is_zero() {
            self.duration(MAX_DOWN_TIME)
        } else {
            Duration::ZERO
        };
        let old = self.machines[&name].id.clone();
        let end = self.now + lead;
        self.machines[&name].ends_at = Some(end);
        self.note_loss(old, Some(id.clone()), end + LEAST_LOSS_TIME);
        self.add(id.clone(), vec![Record::Identity(id)], down);
    }

    fn add_machine(&mut self) {
        if self.machines.len() < self.size + ADDED_MACHINES {
            let id = self.new_machine_id();
            self.add(id.clone(), vec![Record::Identity(id)], Duration::ZERO);
        }
    }

    /// Ends a machine for good that has no successor, if there are more than at the start.
    fn end_added_machine(&mut self) {
        let name = self.pick();
        let staying = self.machines.values().filter(|m| m.ends_at.is_none());
        let is_spare = staying.count() > self.size && self.machines[&name].ends_at.is_none();
        if is_spare && self.may_lose() {
            let id = self.machines[&name].id.clone();
            self.machines[&name].ends_at = Some(self.now);
            self.note_loss(id, None, self.now + LEAST_LOSS_TIME);
        }
    }

    /// All machines are heard again.
    pub fn end_disturbances(&mut self) {
        for machine in self.machines.values_mut() {
            machine.back_at = machine.back_at.and(Some(self.now));
        }
    }

    /// Lets followers stand still for good.
    pub fn silence_followers(&mut self, count: usize) {
        let leader = self.leader().map(|raft| raft.me().name.clone());
        let followers = self.machines.iter_mut();
        let followers = followers.filter(|(name, _)| leader.as_ref() != Some(*name));
        for (_, machine) in followers.take(count) {
            machine.back_at = Some(self.now + Duration::from_secs(3600));
        }
    }

    /// Keeps the servers that are no founders from starting.
    pub fn silence_joiners(&mut self) {
        for machine in self.machines.values_mut().skip(3) {
            machine.back_at = Some(self.now + Duration::from_secs(3600));
        }
    }

    /// Leaves only the founders, with which fewer lost disks are outlived than the servers are told.
    pub fn remove_joiners(&mut self) {
        self.machines.truncate(3);
        self.outlived = 1;
    }
}
