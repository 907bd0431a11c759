//! The links between entries and agents and between entries.

use std::collections::VecDeque;

use rw_core::ids::Name;
use rw_core::pool::msg::{Peer, ToAgent, ToEntry};
use rw_core::pool::{PING_EVERY, SILENCE_TIMEOUT, Uptime};

use super::{Duration, Simulation};

/// Time from the end of a link until it is dialled again.
pub const REDIAL_AFTER: Duration = Duration::from_millis(100);

/// The link between an entry and an agent or between two entries. Index 0 of the pairs is the
/// entry, or the entry with the lower number.
#[derive(Clone, Debug, Default)]
pub struct Link {
    pub(super) up: bool,
    pub(super) cut_until: [Uptime; 2],
    last_received: [Uptime; 2],
    pinged: [Uptime; 2],
    pub(super) next_dial: Uptime,
    /// Messages in transit with their time of arrival, by sender.
    in_transit: [VecDeque<(Uptime, Payload)>; 2],
    /// Whether each side still has to be notified that the link is down.
    to_notify: [bool; 2],
}

#[derive(Clone, Debug)]
pub enum Payload {
    Ping,
    ToAgent(ToAgent),
    ToEntry(ToEntry),
    Peer(Peer),
}

impl Simulation {
    pub(super) fn reset(&mut self, e: usize, a: usize, survivor: usize) {
        Self::reset_link(&mut self.links[e][a], self.now, survivor);
    }

    pub(super) fn reset_link(link: &mut Link, now: Uptime, survivor: usize) {
        if link.up {
            link.up = false;
            link.to_notify = [false; 2];
            link.to_notify[survivor] = true;
            link.in_transit = [VecDeque::new(), VecDeque::new()];
        }
        link.next_dial = now + REDIAL_AFTER;
    }

    pub(super) fn send(&mut self, e: usize, a: usize, side: usize, payload: Payload) {
        let delay = Duration::from_millis(self.rng.u64(1..4));
        let link = &mut self.links[e][a];
        if link.up {
            let at = link.in_transit[side].back().map_or(self.now, |(at, _)| *at);
            link.in_transit[side].push_back(((self.now + delay).max(at), payload));
        }
    }

    pub(super) fn step_links(&mut self) {
        for e in 0..self.entries.len() {
            for a in 0..self.agents.len() {
                self.step_link(e, a);
            }
            for other in e + 1..self.entries.len() {
                self.step_peer_link(e, other);
            }
        }
    }

    fn running(&self, e: usize, a: usize) -> [bool; 2] {
        [
            self.now >= self.entries[e].suspended_until,
            self.now >= self.agents[a].suspended_until,
        ]
    }

    fn step_link(&mut self, e: usize, a: usize) {
        let now = self.now;
        let running = self.running(e, a);
        let mut link = std::mem::take(&mut self.links[e][a]);
        let name: Name = self.entries[e].node.name.clone();
        let agent_name: Name = format!("a{a}").into();
        Self::close_if_silent(&mut link, now, running);
        if link.to_notify[0] && running[0] {
            link.to_notify[0] = false;
            self.entries[e].scheduler.agent_down(now, &agent_name);
        }
        if link.to_notify[1] && running[1] {
            link.to_notify[1] = false;
            self.agents[a].driver.entry_down(&name);
        }
        let cut = link.cut_until.iter().any(|until| now < *until);
        let notified = !link.to_notify[0] && !link.to_notify[1];
        if !link.up && notified && !cut && running == [true, true] && now >= link.next_dial {
            link.up = true;
            link.last_received = [now; 2];
            link.in_transit = [VecDeque::new(), VecDeque::new()];
            self.links[e][a] = link;
            let mut out = Vec::new();
            self.entries[e].scheduler.observe(now, &mut out);
            self.apply_entry(e, out);
            let mut out = Vec::new();
            let node = self.entries[e].node.clone();
            self.agents[a].driver.tick(now, &mut out);
            self.agents[a].driver.entry_up(now, node, &mut out);
            self.apply_agent(a, out);
            let mut out = Vec::new();
            self.entries[e]
                .scheduler
                .agent_up(now, &agent_name, &mut out);
            self.apply_entry(e, out);
            return;
        }
        let arrived = Self::deliver(&mut link, now, running);
        self.links[e][a] = link;
        for (side, payload) in arrived {
            self.receive(e, a, side, payload);
        }
    }

    /// Closes a link, which both sides notice, and lets it be dialled again after a pause.
    pub(super) fn close_for(link: &mut Link, now: Uptime, pause: Duration) {
        if link.up {
            link.up = false;
            link.to_notify = [true; 2];
            link.in_transit = [VecDeque::new(), VecDeque::new()];
            link.next_dial = now + pause;
        }
    }

    fn close_if_silent(link: &mut Link, now: Uptime, running: [bool; 2]) {
        for (side, running) in running.into_iter().enumerate() {
            if running && now >= link.last_received[side] + SILENCE_TIMEOUT {
                Self::close_for(link, now, REDIAL_AFTER);
            }
        }
    }

    /// Returns the messages that arrive now at sides that are not suspended, with the receiving
    /// side.
    fn deliver(link: &mut Link, now: Uptime, running: [bool; 2]) -> Vec<(usize, Payload)> {
        let mut arrived = Vec::new();
        for sender in 0..2 {
            let receiver = 1 - sender;
            if link.up && running[sender] && now >= link.pinged[sender] + PING_EVERY {
                link.pinged[sender] = now;
                link.in_transit[sender].push_back((now, Payload::Ping));
            }
            // During a cut, messages are delayed; they arrive afterwards if the link is still up.
            if !running[receiver] || now < link.cut_until[sender] {
                continue;
            }
            while link.in_transit[sender]
                .front()
                .is_some_and(|(at, _)| now >= *at)
            {
                if let Some((_, payload)) = link.in_transit[sender].pop_front() {
                    link.last_received[receiver] = now;
                    arrived.push((receiver, payload));
                }
            }
        }
        arrived
    }

    fn receive(&mut self, e: usize, a: usize, side: usize, payload: Payload) {
        let now = self.now;
        match payload {
            Payload::ToAgent(msg) => {
                let mut out = Vec::new();
                let name = self.entries[e].node.name.clone();
                self.agents[a].driver.tick(now, &mut out);
                self.agents[a].driver.on_entry(now, &name, msg, &mut out);
                self.apply_agent(a, out);
            }
            Payload::Ping if side == 1 => {
                let name = self.entries[e].node.name.clone();
                let mut out = Vec::new();
                self.agents[a].driver.tick(now, &mut out);
                self.agents[a].driver.on_entry_activity(now, &name);
                self.apply_agent(a, out);
            }
            Payload::ToEntry(msg) => {
                let mut out = Vec::new();
                self.entries[e].scheduler.observe(now, &mut out);
                let name: Name = format!("a{a}").into();
                self.entries[e]
                    .scheduler
                    .on_agent(now, &name, msg, &mut out);
                self.entries[e].scheduler.place_waiting(now, &mut out);
                self.apply_entry(e, out);
            }
            Payload::Ping | Payload::Peer(_) => {}
        }
    }

    fn step_peer_link(&mut self, low: usize, high: usize) {
        let now = self.now;
        let running = [
            now >= self.entries[low].suspended_until,
            now >= self.entries[high].suspended_until,
        ];
        let sides = [low, high];
        let mut up = Vec::new();
        let mut link = std::mem::take(&mut self.peers[low][high]);
        Self::close_if_silent(&mut link, now, running);
        for side in 0..2 {
            if link.to_notify[side] && running[side] {
                link.to_notify[side] = false;
                let other = self.entries[sides[1 - side]].node.name.clone();
                self.entries[sides[side]].scheduler.peer_down(now, &other);
            }
        }
        let cut = link.cut_until.iter().any(|until| now < *until);
        let notified = !link.to_notify[0] && !link.to_notify[1];
        if !link.up && notified && !cut && running == [true, true] && now >= link.next_dial {
            link.up = true;
            link.last_received = [now; 2];
            link.in_transit = [VecDeque::new(), VecDeque::new()];
            for side in 0..2 {
                let other = self.entries[sides[1 - side]].node.name.clone();
                let mut out = Vec::new();
                self.entries[sides[side]]
                    .scheduler
                    .peer_up(&other, &mut out);
                up.push((sides[side], out));
            }
        }
        let arrived = Self::deliver(&mut link, now, running);
        self.peers[low][high] = link;
        for (e, out) in up {
            self.apply_entry(e, out);
        }
        for (side, payload) in arrived {
            if let Payload::Peer(msg) = payload {
                let other = self.entries[sides[1 - side]].node.name.clone();
                let mut out = Vec::new();
                self.entries[sides[side]].scheduler.observe(now, &mut out);
                self.entries[sides[side]]
                    .scheduler
                    .on_peer(now, &other, msg, &mut out);
                self.apply_entry(sides[side], out);
            }
        }
    }

    pub(super) fn send_peer(&mut self, from: usize, to: usize, msg: Peer) {
        let (low, high) = (from.min(to), from.max(to));
        let side = usize::from(from == high);
        let link = &mut self.peers[low][high];
        if link.up {
            link.in_transit[side].push_back((self.now, Payload::Peer(msg)));
        }
    }
}
