//! Membership: which processes are alive, learned by probing and gossip over datagrams.
//!
//! Each process probes one other an interval, at first directly, then through others; a process
//! that answers neither is suspected, and declared dead unless it refutes in time. Changes travel
//! on the probes. Each datagram carries the sender's configuration revision, so that a process
//! that is behind finds out from anyone.

mod probing;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fastrand::Rng;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{Name, NodeRef};
use crate::msg::Role;

/// Time between two probes.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two pings of a suspect.
pub const SUSPECT_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two pings of the seeds while a process joins.
pub const JOIN_INTERVAL: Duration = Duration::from_millis(100);
/// A process pings the seeds for this long after its start, and for longer while it knows nobody:
/// where all start at once, the machines of a cluster come within 0.3 s, and the first replies of a
/// seed name few members.
pub const JOIN_TIME: Duration = Duration::from_millis(1500);
/// Members that an entry introduces itself to on one tick, so that many new ones cost no burst.
const INTRODUCTIONS: usize = 16;
/// Time until other members are asked to probe in our place.
pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time that a suspect has to refute.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time that a dead member is remembered.
pub const TOMBSTONE_TIME: Duration = Duration::from_secs(900);
/// Members asked to probe in our place.
pub const INDIRECT_PROBES: usize = 2;
/// Members told at once of a new revision.
pub const REVISION_FANOUT: usize = 3;
/// Entries told at once of a new revision: they serve by it, so all of a small cluster's are told.
pub const REVISION_FANOUT_ENTRIES: usize = 12;
/// Member records on one datagram.
pub const MAX_UPDATES: usize = 6;
/// A record travels on this many datagrams per doubling of the member count.
const SPREAD_FACTOR: u32 = 3;
/// Probes between two attempts to reach a dead member or a seed again.
const REVIVE_EVERY: u64 = 4;

/// What is known of a member's health. Later variants override earlier ones of the same version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed its probes; may still refute.
    Suspect,
    /// Did not refute in time.
    Dead,
}

/// One process of the cluster.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Member {
    /// The process.
    pub node: NodeRef,
    /// Raised by the process itself with each change of its record. Orders records of one process.
    pub version: u64,
    /// What it is.
    pub role: Role,
    /// Its failure domain.
    pub domain: Name,
    /// Where it takes datagrams.
    pub gossip: SocketAddr,
    /// Where it takes links.
    pub link: SocketAddr,
    /// Where it serves HTTP.
    pub http: SocketAddr,
    /// Its health.
    pub state: MemberState,
    /// Whether it is leaving by its own word.
    pub leaving: bool,
    /// All its shards of the registry are served up to this configuration revision.
    pub ready_for: u64,
}

impl Member {
    fn supersedes(&self, other: &Self) -> bool {
        let rank = |m: &Self| (m.node.incarnation, m.version, m.state);
        rank(self) > rank(other)
    }
}

/// What a datagram asks or answers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum Probe {
    /// Answer me.
    Ping,
    /// The answer.
    Ack,
    /// Ask this address in my place.
    Relay(SocketAddr),
}

/// A datagram between members.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Gossip {
    /// The sender.
    pub from: NodeRef,
    /// Pairs answers with questions.
    pub seq: u64,
    /// The question or answer.
    pub probe: Probe,
    /// The sender's configuration revision.
    pub revision: u64,
    /// Where the sender serves that configuration.
    pub link: SocketAddr,
    /// Changed member records, at most [`MAX_UPDATES`].
    pub updates: Vec<Member>,
}

/// A datagram to send.
pub type Outgoing = (SocketAddr, Gossip);

#[derive(Debug)]
struct Known {
    member: Member,
    /// When the state last changed here.
    since: Instant,
    /// Datagrams on which the record still travels.
    spread: u32,
    /// When it was last asked as a suspect.
    asked: Option<Instant>,
}

#[derive(Debug)]
struct Outstanding {
    seq: u64,
    target: Name,
    sent: Instant,
    indirect: bool,
}

/// The member table of one process.
#[derive(Debug)]
pub struct Members {
    me: Member,
    /// The configuration revision in force here.
    revision: u64,
    seeds: Vec<SocketAddr>,
    table: IndexMap<Name, Known>,
    order: Vec<Name>,
    next_seq: u64,
    outstanding: Option<Outstanding>,
    /// Relayed probes: our number, and whom to tell under which number.
    relays: IndexMap<u64, (SocketAddr, u64, Instant)>,
    next_probe: Option<Instant>,
    next_join: Option<Instant>,
    /// End of the time in which the seeds are pinged; set at the first tick.
    join_until: Option<Instant>,
    /// Agents and entries that may not have heard of this entry yet, and have to link to it.
    introduce: Vec<SocketAddr>,
    generation: u64,
    rng: Rng,
}

impl Members {
    /// A table that holds only `me`.
    pub fn new(me: Member, seeds: Vec<SocketAddr>, rng: Rng) -> Self {
        Self {
            me,
            revision: 0,
            seeds,
            table: IndexMap::new(),
            order: Vec::new(),
            next_seq: 1,
            outstanding: None,
            relays: IndexMap::new(),
            next_probe: None,
            next_join: None,
            join_until: None,
            introduce: Vec::new(),
            generation: 1,
            rng,
        }
    }

    /// Rises with each change of the table.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// This process's own record.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The configuration revision in force here.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All members, this process included.
    pub fn list(&self) -> Vec<Member> {
        let others = self.table.values().map(|known| known.member.clone());
        std::iter::once(self.me.clone()).chain(others).collect()
    }

    /// Changes this process's own record and spreads it.
    pub fn update_me<F>(&mut self, change: F)
    where
        F: FnOnce(&mut Member),
    {
        let before = self.me.clone();
        change(&mut self.me);
        if self.me != before {
            self.me.version += 1;
            self.generation += 1;
        }
    }

    /// Sets the own revision; a new one is told to a few members at once.
    pub fn set_revision(&mut self, revision: u64) -> Vec<Outgoing> {
        if revision <= self.revision {
            return Vec::new();
        }
        self.revision = revision;
        let (entries, others): (Vec<&Member>, Vec<&Member>) =
            self.living().partition(|m| m.role == Role::Entry);
        let mut entries: Vec<SocketAddr> = entries.iter().map(|m| m.gossip).collect();
        let mut targets: Vec<SocketAddr> = others.iter().map(|m| m.gossip).collect();
        self.rng.shuffle(&mut entries);
        self.rng.shuffle(&mut targets);
        entries.truncate(REVISION_FANOUT_ENTRIES);
        targets.truncate(REVISION_FANOUT);
        targets.extend(entries);
        targets
            .into_iter()
            .map(|to| (to, self.ping(None)))
            .collect()
    }

    /// Sets the addresses through which unknown members are found.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Takes in a member list from another process.
    pub fn merge(&mut self, now: Instant, members: Vec<Member>) {
        for member in members {
            self.learn(now, member);
        }
    }

    /// Probes, suspects and buries as time passes.
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        let mut out = self.check_outstanding(now);
        self.check_suspects(now);
        self.relays
            .retain(|_, (_, _, sent)| now.duration_since(*sent) < PROBE_INTERVAL * 2);
        out.extend(self.join(now));
        out.extend(self.introductions());
        out.extend(self.ask_suspects(now));
        if self.next_probe.is_none_or(|at| now >= at) {
            self.next_probe = Some(now + PROBE_INTERVAL);
            out.extend(self.probe(now));
        }
        out
    }

    /// Handles a datagram. The sender's address is where replies go.
    pub fn on_gossip(&mut self, now: Instant, from: SocketAddr, gossip: Gossip) -> Vec<Outgoing> {
        for member in gossip.updates {
            self.learn(now, member);
        }
        match gossip.probe {
            Probe::Ping => {
                let reply = self.reply(gossip.seq, &gossip.from.name);
                vec![(from, reply)]
            }
            Probe::Relay(target) => {
                let ping = self.ping(None);
                self.relays.insert(ping.seq, (from, gossip.seq, now));
                vec![(target, ping)]
            }
            Probe::Ack => self.on_ack(now, gossip.seq, &gossip.from),
        }
    }

    fn on_ack(&mut self, now: Instant, seq: u64, from: &NodeRef) -> Vec<Outgoing> {
        if let Some((asker, their_seq, _)) = self.relays.swap_remove(&seq) {
            let mut ack = self.reply(their_seq, &from.name);
            ack.from = from.clone();
            return vec![(asker, ack)];
        }
        if self.outstanding.as_ref().is_some_and(|o| o.seq == seq) {
            self.outstanding = None;
        }
        if let Some(known) = self.table.get_mut(&from.name)
            && known.member.node == *from
            && known.member.state == MemberState::Suspect
        {
            known.member.state = MemberState::Alive;
            known.since = now;
            self.generation += 1;
        }
        Vec::new()
    }

    /// Takes in one record if it is newer than what is known.
    fn learn(&mut self, now: Instant, member: Member) {
        if member.node.name == self.me.node.name {
            self.refute(&member);
            return;
        }
        let spread = self.spread_count();
        let newer = match self.table.get(&member.node.name) {
            None => true,
            Some(known) => member.supersedes(&known.member),
        };
        if newer {
            self.generation += 1;
            let links = matches!(member.role, Role::Agent | Role::Entry);
            let alive = member.state == MemberState::Alive;
            let unknown = self
                .table
                .get(&member.node.name)
                .is_none_or(|known| known.member.node != member.node);
            if self.me.role == Role::Entry && links && alive && unknown {
                self.introduce.push(member.gossip);
            }
            let known = Known {
                member,
                since: now,
                spread,
                asked: None,
            };
            self.table.insert(known.member.node.name.clone(), known);
        }
    }

    fn refute(&mut self, claimed: &Member) {
        if claimed.node.incarnation > self.me.node.incarnation {
            // The wall clock was set back between two starts of this process.
            self.me.node.incarnation = claimed.node.incarnation + 1;
            self.generation += 1;
            return;
        }
        let about_me = claimed.node == self.me.node;
        if about_me && claimed.state != MemberState::Alive && claimed.version >= self.me.version {
            self.me.version = claimed.version + 1;
            self.generation += 1;
        }
    }

    fn ping(&mut self, about: Option<&Name>) -> Gossip {
        let seq = self.next_seq;
        self.next_seq += 1;
        let updates = self.take_updates(about);
        self.datagram(seq, Probe::Ping, updates)
    }

    fn reply(&mut self, seq: u64, about: &Name) -> Gossip {
        let updates = self.take_updates(Some(about));
        self.datagram(seq, Probe::Ack, updates)
    }

    fn datagram(&self, seq: u64, probe: Probe, updates: Vec<Member>) -> Gossip {
        Gossip {
            from: self.me.node.clone(),
            seq,
            probe,
            revision: self.revision,
            link: self.me.link,
            updates,
        }
    }

    /// The own record, what is said of the receiver, and the records that travelled least.
    fn take_updates(&mut self, about: Option<&Name>) -> Vec<Member> {
        let mut updates = vec![self.me.clone()];
        if let Some(known) = about.and_then(|name| self.table.get(name))
            && known.member.state != MemberState::Alive
        {
            updates.push(known.member.clone());
        }
        let mut travelling: Vec<usize> = (0..self.table.len())
            .filter(|i| self.table[*i].spread > 0)
            .collect();
        travelling.sort_by_key(|i| std::cmp::Reverse(self.table[*i].spread));
        for i in travelling.into_iter().take(MAX_UPDATES - updates.len()) {
            self.table[i].spread -= 1;
            updates.push(self.table[i].member.clone());
        }
        updates
    }

    fn living(&self) -> impl Iterator<Item = &Member> {
        let alive = |member: &&Member| member.state != MemberState::Dead;
        self.table.values().map(|known| &known.member).filter(alive)
    }

    fn spread_count(&self) -> u32 {
        SPREAD_FACTOR * (self.table.len() as u32 + 2).ilog2().max(1)
    }
}
