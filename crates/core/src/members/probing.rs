//! Failure detection: selection of probe targets, suspicion, and pings that join or rejoin members.

use std::net::SocketAddr;
use std::time::Instant;

use super::{
    DIRECT_TIMEOUT, INDIRECT_PROBES, JOIN_INTERVAL, JOIN_TIME, MAX_NEW_MEMBER_PINGS, MemberState,
    Members, Outgoing, OutstandingProbe, PROBE_INTERVAL, Probe, RECONNECT_EVERY, SUSPECT_INTERVAL,
    SUSPECT_TIMEOUT, TOMBSTONE_TIME, TrackedMember,
};
use crate::ids::Name;

impl Members {
    pub(super) fn check_outstanding(&mut self, now: Instant) -> Vec<Outgoing> {
        let Some(probe) = &mut self.outstanding else {
            return Vec::new();
        };
        let waited = now.duration_since(probe.sent);
        if waited >= PROBE_INTERVAL {
            let target = probe.target.clone();
            self.outstanding = None;
            self.mark_suspect(now, &target);
            return Vec::new();
        }
        if waited < DIRECT_TIMEOUT || probe.indirect {
            return Vec::new();
        }
        probe.indirect = true;
        let (seq, target) = (probe.seq, probe.target.clone());
        let Some(address) = self.table.get(&target).map(|known| known.member.gossip) else {
            return Vec::new();
        };
        let mut helpers: Vec<SocketAddr> = self
            .live_members()
            .filter(|m| m.node.name != target)
            .map(|m| m.gossip)
            .collect();
        self.rng.shuffle(&mut helpers);
        helpers.truncate(INDIRECT_PROBES);
        let relay = |to| (to, self.datagram(seq, Probe::Relay(address), Vec::new()));
        helpers.into_iter().map(relay).collect()
    }

    pub(super) fn mark_suspect(&mut self, now: Instant, name: &Name) {
        let retransmits = self.retransmit_count();
        if let Some(known) = self.table.get_mut(name)
            && known.member.state == MemberState::Alive
        {
            known.member.state = MemberState::Suspect;
            known.since = now;
            known.retransmits = retransmits;
            self.generation += 1;
        }
    }

    pub(super) fn check_suspects(&mut self, now: Instant) {
        let retransmits = self.retransmit_count();
        let mut changed = false;
        for known in self.table.values_mut() {
            let waited = now.duration_since(known.since);
            if known.member.state == MemberState::Suspect && waited >= SUSPECT_TIMEOUT {
                known.member.state = MemberState::Dead;
                known.since = now;
                known.retransmits = retransmits;
                changed = true;
            }
        }
        let before = self.table.len();
        self.table.retain(|_, known| {
            known.member.state != MemberState::Dead
                || now.duration_since(known.since) < TOMBSTONE_TIME
        });
        if changed || self.table.len() != before {
            self.generation += 1;
        }
    }

    pub(super) fn probe(&mut self, now: Instant) -> Vec<Outgoing> {
        let mut out = Vec::new();
        if self.next_seq.is_multiple_of(RECONNECT_EVERY) || self.live_members().next().is_none() {
            out.extend(self.ping_unreachable());
        }
        if self.outstanding.is_some() {
            return out;
        }
        while let Some(name) = self.next_target() {
            let Some(known) = self.table.get(&name) else {
                continue;
            };
            if known.member.state == MemberState::Dead {
                continue;
            }
            let to = known.member.gossip;
            let ping = self.ping(Some(&name));
            self.outstanding = Some(OutstandingProbe {
                seq: ping.seq,
                target: name,
                sent: now,
                indirect: false,
            });
            out.push((to, ping));
            break;
        }
        out
    }

    /// Returns the next member of a round over all live members in random order.
    fn next_target(&mut self) -> Option<Name> {
        if self.probe_order.is_empty() {
            self.probe_order = self.live_members().map(|m| m.node.name.clone()).collect();
            self.rng.shuffle(&mut self.probe_order);
        }
        self.probe_order.pop()
    }

    /// Pings suspected members with the record that suspects them, repeatedly until their time is
    /// over, so that a live one can refute it in time even if datagrams are lost.
    pub(super) fn ping_suspects(&mut self, now: Instant) -> Vec<Outgoing> {
        let mut due = Vec::new();
        for (name, known) in &mut self.table {
            let recently_pinged = known
                .pinged_at
                .is_some_and(|at| now < at + SUSPECT_INTERVAL);
            if known.member.state == MemberState::Suspect && !recently_pinged {
                known.pinged_at = Some(now);
                due.push((name.clone(), known.member.gossip));
            }
        }
        due.into_iter()
            .map(|(name, to)| (to, self.ping(Some(&name))))
            .collect()
    }

    /// Pings all seeds for [`JOIN_TIME`] after the start and while no other live member is known,
    /// so that processes that start at the same time find each other quickly.
    pub(super) fn join(&mut self, now: Instant) -> Vec<Outgoing> {
        let recently_started = now < *self.join_until.get_or_insert(now + JOIN_TIME);
        let joining = recently_started || self.live_members().next().is_none();
        if !joining || self.next_join.is_some_and(|at| now < at) {
            return Vec::new();
        }
        self.next_join = Some(now + JOIN_INTERVAL);
        let me = self.me.gossip;
        let seeds: Vec<SocketAddr> = self.seeds.iter().copied().filter(|s| *s != me).collect();
        seeds.into_iter().map(|to| (to, self.ping(None))).collect()
    }

    /// Pings members that this entry has just learned of: they connect to it once they have its
    /// record.
    pub(super) fn ping_new_members(&mut self) -> Vec<Outgoing> {
        let count = self.unpinged_addresses.len().min(MAX_NEW_MEMBER_PINGS);
        let new: Vec<SocketAddr> = self.unpinged_addresses.drain(..count).collect();
        new.into_iter().map(|to| (to, self.ping(None))).collect()
    }

    /// Pings one dead member or unknown seed, chosen at random, so that the two sides of a healed
    /// partition find each other again.
    pub(super) fn ping_unreachable(&mut self) -> Vec<Outgoing> {
        let dead = |known: &&TrackedMember| known.member.state == MemberState::Dead;
        let mut targets: Vec<(Option<Name>, SocketAddr)> = self
            .table
            .values()
            .filter(dead)
            .map(|known| (Some(known.member.node.name.clone()), known.member.gossip))
            .collect();
        let unknown_seed = |seed: &&SocketAddr| {
            **seed != self.me.gossip && !self.table.values().any(|k| k.member.gossip == **seed)
        };
        targets.extend(
            self.seeds
                .iter()
                .filter(unknown_seed)
                .map(|seed| (None, *seed)),
        );
        let Some((name, to)) = self.rng.choice(targets) else {
            self.next_seq += 1;
            return Vec::new();
        };
        vec![(to, self.ping(name.as_ref()))]
    }
}
