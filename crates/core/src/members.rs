//! Cluster membership and failure detection by probes and gossip over datagrams, after SWIM.
//!
//! Each process probes one other member per interval, first directly, then through other members. A
//! member that answers neither probe is suspected, and declared dead unless it refutes the
//! suspicion in time. Changed member records are piggybacked on the probes. Each datagram carries
//! the sender's configuration revision, so that a process with an older one learns of it from any
//! member.

mod probing;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fastrand::Rng;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::codec::encoded_len;
use crate::ids::{Name, NodeRef};
use crate::msg::Role;
use crate::pool::msg::WorkerInfo;

/// Interval between probes.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between pings of a suspected member.
pub const SUSPECT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between pings of the seeds while a process joins.
pub const JOIN_INTERVAL: Duration = Duration::from_millis(100);
/// Time after its start for which a process pings the seeds; it continues while it knows no other
/// live member.
///
/// When a whole cluster starts, its machines come up within 0.3 s, and the first replies of a seed
/// list only few members.
pub const JOIN_TIME: Duration = Duration::from_millis(1500);
/// Maximum number of new members that an entry pings on one tick, so that many new members cause no
/// burst of datagrams.
const MAX_NEW_MEMBER_PINGS: usize = 16;
/// Time without an answer after which other members are asked to relay a probe.
pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time that a suspected member has to refute the suspicion before it is declared dead.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time for which the record of a dead member is kept.
pub const TOMBSTONE_TIME: Duration = Duration::from_secs(900);
/// Number of members asked to relay a probe.
pub const INDIRECT_PROBES: usize = 2;
/// Number of members other than entries that are notified of a new revision at once.
pub const REVISION_FANOUT: usize = 3;
/// Number of entries that are notified of a new revision at once. Entries serve requests according
/// to it, so in a small cluster all of them are notified.
pub const REVISION_FANOUT_ENTRIES: usize = 12;
/// Maximum number of member records in one datagram.
pub const MAX_UPDATES: usize = 6;
/// Maximum encoded length of the member records in one datagram, in bytes.
const MAX_UPDATE_BYTES: usize = 6 * 1024;
/// Maximum encoded length of a member list in one message, in bytes.
pub const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;
/// Number of datagrams that carry a changed record, per doubling of the number of members.
const RETRANSMIT_FACTOR: u32 = 3;
/// A dead member or an unknown seed is pinged whenever the sequence number is a multiple of this.
const RECONNECT_EVERY: u64 = 4;

/// State of a member. For records of the same version, later variants override earlier ones.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Did not answer a probe; may still refute the suspicion.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
}

/// Record of one process of the cluster.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Member {
    /// Name and incarnation of the process.
    pub node: NodeRef,
    /// Raised by the process itself with each change of its record. Orders the records of one
    /// incarnation.
    pub version: u64,
    /// Kind of process.
    pub role: Role,
    /// Its failure domain.
    pub domain: Name,
    /// Address for gossip datagrams.
    pub gossip: SocketAddr,
    /// Address for TCP links from other processes.
    pub link: SocketAddr,
    /// Address of its HTTP server.
    pub http: SocketAddr,
    /// State as far as the sender of the record knows.
    pub state: MemberState,
    /// Whether the process has announced that it is shutting down.
    pub leaving: bool,
    /// Configuration revision up to which the process serves all registry shards placed on it.
    pub ready_for: u64,
    /// What the worker of an agent for pooled jobs offers; `None` for other processes.
    pub offers: Option<WorkerInfo>,
}

impl Member {
    fn supersedes(&self, other: &Self) -> bool {
        let rank = |m: &Self| (m.node.incarnation, m.version, m.state);
        rank(self) > rank(other)
    }
}

/// Returns the members that fit into one message, those that are not dead first. The receiver learns
/// of the others by gossip.
pub fn within_message(mut members: Vec<Member>) -> Vec<Member> {
    members.sort_by_key(|member| member.state == MemberState::Dead);
    let mut bytes = 0;
    let count = members.iter().take_while(|member| {
        bytes += encoded_len(*member);
        bytes <= MAX_LIST_BYTES
    });
    let count = count.count();
    members.truncate(count);
    members
}

/// The request or reply in a datagram.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum Probe {
    /// Requests an acknowledgement.
    Ping,
    /// Acknowledges a ping.
    Ack,
    /// Requests that the receiver ping this address and pass the acknowledgement on.
    Relay(SocketAddr),
}

/// A datagram between members.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Gossip {
    /// The sender; in a relayed acknowledgement, the member that was probed.
    pub from: NodeRef,
    /// Sequence number that matches replies to requests.
    pub seq: u64,
    /// The request or reply.
    pub probe: Probe,
    /// The sender's configuration revision.
    pub revision: u64,
    /// Link address from which that configuration can be fetched.
    pub link: SocketAddr,
    /// Changed member records, at most [`MAX_UPDATES`].
    pub updates: Vec<Member>,
}

/// A datagram to send, with the receiver's address.
pub type Outgoing = (SocketAddr, Gossip);

#[derive(Debug)]
struct TrackedMember {
    member: Member,
    /// Time at which the state last changed in this table.
    since: Instant,
    /// Number of further datagrams that are to carry the record.
    retransmits: u32,
    /// Time of the last ping as a suspect.
    pinged_at: Option<Instant>,
}

/// A direct probe that awaits its acknowledgement.
#[derive(Debug)]
struct OutstandingProbe {
    seq: u64,
    target: Name,
    sent: Instant,
    indirect: bool,
}

/// The member table of one process.
#[derive(Debug)]
pub struct Members {
    me: Member,
    /// Configuration revision of this process.
    revision: u64,
    seeds: Vec<SocketAddr>,
    table: IndexMap<Name, TrackedMember>,
    probe_order: Vec<Name>,
    next_seq: u64,
    outstanding: Option<OutstandingProbe>,
    /// Relayed probes by own sequence number: the requester's address, its sequence number and the
    /// time of the request.
    relays: IndexMap<u64, (SocketAddr, u64, Instant)>,
    next_probe: Option<Instant>,
    next_join: Option<Instant>,
    /// End of [`JOIN_TIME`]; set by the first tick.
    join_until: Option<Instant>,
    /// Addresses of agents and entries that may not know this entry yet and have to connect to it.
    unpinged_addresses: Vec<SocketAddr>,
    generation: u64,
    rng: Rng,
}

impl Members {
    /// Creates a table that holds only `me`.
    pub fn new(me: Member, seeds: Vec<SocketAddr>, rng: Rng) -> Self {
        Self {
            me,
            revision: 0,
            seeds,
            table: IndexMap::new(),
            probe_order: Vec::new(),
            next_seq: 1,
            outstanding: None,
            relays: IndexMap::new(),
            next_probe: None,
            next_join: None,
            join_until: None,
            unpinged_addresses: Vec::new(),
            generation: 1,
            rng,
        }
    }

    /// Returns a counter that rises with each change of the table.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the record of this process.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the configuration revision of this process.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all members, dead ones and this process included.
    pub fn list(&self) -> Vec<Member> {
        let others = self.table.values().map(|known| known.member.clone());
        std::iter::once(self.me.clone()).chain(others).collect()
    }

    /// Changes the record of this process, which each of its datagrams carries.
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

    /// Sets the configuration revision of this process. Returns pings that notify some members if
    /// the revision is newer; an older one has no effect.
    pub fn set_revision(&mut self, revision: u64) -> Vec<Outgoing> {
        if revision <= self.revision {
            return Vec::new();
        }
        self.revision = revision;
        let (entries, others): (Vec<&Member>, Vec<&Member>) =
            self.live_members().partition(|m| m.role == Role::Entry);
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

    /// Sets the gossip addresses through which unknown members are found.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Merges a member list from another process into the table.
    pub fn merge(&mut self, now: Instant, members: Vec<Member>) {
        for member in members {
            self.merge_record(now, member);
        }
    }

    /// Performs the probes and state changes that are due at `now`.
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        let mut out = self.check_outstanding(now);
        self.check_suspects(now);
        self.relays
            .retain(|_, (_, _, sent)| now.duration_since(*sent) < PROBE_INTERVAL * 2);
        out.extend(self.join(now));
        out.extend(self.ping_new_members());
        out.extend(self.ping_suspects(now));
        if self.next_probe.is_none_or(|at| now >= at) {
            self.next_probe = Some(now + PROBE_INTERVAL);
            out.extend(self.probe(now));
        }
        out
    }

    /// Handles a datagram received from the address `from`, to which replies are sent.
    pub fn on_gossip(&mut self, now: Instant, from: SocketAddr, gossip: Gossip) -> Vec<Outgoing> {
        for member in gossip.updates {
            self.merge_record(now, member);
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
        if let Some((requester, requester_seq, _)) = self.relays.swap_remove(&seq) {
            let mut ack = self.reply(requester_seq, &from.name);
            ack.from = from.clone();
            return vec![(requester, ack)];
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

    /// Stores a record if it is newer than the one in the table.
    fn merge_record(&mut self, now: Instant, member: Member) {
        if member.node.name == self.me.node.name {
            self.refute(&member);
            return;
        }
        let retransmits = self.retransmit_count();
        let newer = match self.table.get(&member.node.name) {
            None => true,
            Some(known) => member.supersedes(&known.member),
        };
        if newer {
            self.generation += 1;
            let connects_to_entries = matches!(member.role, Role::Agent | Role::Entry);
            let alive = member.state == MemberState::Alive;
            let unknown = self
                .table
                .get(&member.node.name)
                .is_none_or(|known| known.member.node != member.node);
            if self.me.role == Role::Entry && connects_to_entries && alive && unknown {
                self.unpinged_addresses.push(member.gossip);
            }
            let known = TrackedMember {
                member,
                since: now,
                retransmits,
                pinged_at: None,
            };
            self.table.insert(known.member.node.name.clone(), known);
        }
    }

    fn refute(&mut self, received: &Member) {
        if received.node.incarnation > self.me.node.incarnation {
            // Incarnations come from the wall clock, which was set back between two starts of this
            // process.
            self.me.node.incarnation = received.node.incarnation + 1;
            self.generation += 1;
            return;
        }
        let is_current_incarnation = received.node == self.me.node;
        if is_current_incarnation
            && received.state != MemberState::Alive
            && received.version >= self.me.version
        {
            self.me.version = received.version + 1;
            self.generation += 1;
        }
    }

    fn ping(&mut self, receiver: Option<&Name>) -> Gossip {
        let seq = self.next_seq;
        self.next_seq += 1;
        let updates = self.take_updates(receiver);
        self.datagram(seq, Probe::Ping, updates)
    }

    fn reply(&mut self, seq: u64, receiver: &Name) -> Gossip {
        let updates = self.take_updates(Some(receiver));
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

    /// Selects the records for a datagram: that of this process, that of the receiver unless alive,
    /// and the changed records that were sent least often.
    fn take_updates(&mut self, receiver: Option<&Name>) -> Vec<Member> {
        let mut updates = vec![self.me.clone()];
        if let Some(known) = receiver.and_then(|name| self.table.get(name))
            && known.member.state != MemberState::Alive
        {
            updates.push(known.member.clone());
        }
        let mut pending: Vec<usize> = (0..self.table.len())
            .filter(|i| self.table[*i].retransmits > 0)
            .collect();
        pending.sort_by_key(|i| std::cmp::Reverse(self.table[*i].retransmits));
        let mut bytes = encoded_len(&updates);
        for i in pending {
            bytes += encoded_len(&self.table[i].member);
            if updates.len() >= MAX_UPDATES || bytes > MAX_UPDATE_BYTES {
                break;
            }
            self.table[i].retransmits -= 1;
            updates.push(self.table[i].member.clone());
        }
        updates
    }

    fn live_members(&self) -> impl Iterator<Item = &Member> {
        let alive = |member: &&Member| member.state != MemberState::Dead;
        self.table.values().map(|known| &known.member).filter(alive)
    }

    fn retransmit_count(&self) -> u32 {
        RETRANSMIT_FACTOR * (self.table.len() as u32 + 2).ilog2().max(1)
    }
}
