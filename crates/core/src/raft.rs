//! The replicated log of control: terms, votes, majority commit, snapshots, pre-vote, leader lease
//! and one membership change at a time.
//!
//! The caller drives it with messages and the present time, makes the records of [`Effects`]
//! durable, and only then sends its messages and delivers its outcomes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use fastrand::Rng;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::config::{ChangeOutcome, ChangeRequest, ControlState};
use crate::ids::Name;
use crate::journal::Record;

/// Time between two heartbeats of a leader.
pub const HEARTBEAT: Duration = Duration::from_millis(100);
/// A server that heard from a leader within this time neither votes nor stands.
pub const ELECTION_MIN: Duration = Duration::from_millis(600);
/// A server that heard nothing for up to this time stands for election.
pub const ELECTION_MAX: Duration = Duration::from_millis(1200);
/// A leader whose heartbeats a majority acknowledged within this time is the only one.
pub const LEASE: Duration = Duration::from_millis(500);
/// Entries on one message.
pub const MAX_BATCH: usize = 256;
/// Applied entries that are kept before a snapshot replaces them.
pub const COMPACT_AFTER: usize = 1000;
/// A learner that is silent for this long is dropped.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(5);
/// Heartbeat rounds whose times are remembered.
const REMEMBERED_ROUNDS: usize = 64;

/// A server together with its disk. A server whose disk was lost comes back as another voter.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VoterId {
    /// The server's name.
    pub name: Name,
    /// Drawn at random when the disk's journal was made.
    pub disk: u64,
}

/// What an entry of the log does.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Command {
    /// Begins a leader's term.
    Noop,
    /// Sets the voters; in force as soon as it is in the log.
    Voters(Vec<VoterId>),
    /// Changes the configuration.
    Change(ChangeRequest),
}

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Its place, from 1.
    pub index: u64,
    /// The term of the leader that made it.
    pub term: u64,
    /// What it does.
    pub command: Command,
}

/// The state after all entries up to an index.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// The last entry that is in it.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The voters at that entry.
    pub voters: Vec<VoterId>,
    /// The state after it.
    pub state: ControlState,
}

/// A message between control servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RaftMsg {
    /// The sender.
    pub from: VoterId,
    /// The receiver; `None` when only its name is known.
    pub to: Option<VoterId>,
    /// The sender's term; for pre-votes the term it would stand in.
    pub term: u64,
    /// The rest.
    pub body: Body,
}

/// What a message says.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// Asks for a vote, or for the promise of one.
    Vote {
        /// Whether it only asks for the promise.
        pre: bool,
        /// Index of the last entry.
        last_index: u64,
        /// Term of the last entry.
        last_term: u64,
    },
    /// Answers a vote.
    VoteReply {
        /// Whether it was only the promise.
        pre: bool,
        /// The answer.
        granted: bool,
    },
    /// Appends entries, and is the heartbeat.
    Append {
        /// Index of the entry before the first.
        prev_index: u64,
        /// Its term.
        prev_term: u64,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// Number of the heartbeat round.
        round: u64,
    },
    /// Answers an append or a snapshot.
    AppendReply {
        /// Whether the entry before the first was there.
        ok: bool,
        /// The last entry that matches; on refusal, where to try next.
        matched: u64,
        /// The round that is answered.
        round: u64,
    },
    /// Replaces the receiver's log.
    Install {
        /// The state.
        snapshot: Box<Snapshot>,
        /// Number of the heartbeat round.
        round: u64,
    },
    /// A server that is no voter asks to be admitted.
    Join,
}

/// What the caller has to do, in this order.
#[derive(Debug, Default)]
pub struct Effects {
    /// To be made durable first.
    pub records: Vec<Record>,
    /// To be sent then.
    pub send: Vec<(Name, RaftMsg)>,
    /// Results of applied changes.
    pub outcomes: Vec<(Uuid, ChangeOutcome)>,
    /// Whether the journal should be written anew from [`Raft::journal`].
    pub compact: bool,
}

/// What a server is in its term.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would get votes.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

#[derive(Debug)]
struct Progress {
    /// The next entry to send.
    next: u64,
    /// The last entry known to be there.
    matched: u64,
    /// When the last acknowledged round was sent.
    acked: Option<Instant>,
    /// When the server was last heard from.
    heard: Instant,
}

/// One control server's part in the replicated log.
#[derive(Debug)]
pub struct Raft {
    me: VoterId,
    /// Names that may become voters.
    allowed: Vec<Name>,
    term: u64,
    voted_for: Option<VoterId>,
    base: Snapshot,
    /// Entries after `base`, without gaps.
    log: Vec<Entry>,
    voters: Vec<VoterId>,
    /// Invariant: `base.index <= applied <= commit <= last_index()`.
    commit: u64,
    applied: u64,
    state: ControlState,
    standing: Standing,
    leader: Option<VoterId>,
    leader_heard: Option<Instant>,
    election_at: Instant,
    heartbeat_at: Instant,
    granted: IndexSet<VoterId>,
    peers: IndexMap<VoterId, Progress>,
    round: u64,
    rounds: VecDeque<(u64, Instant)>,
    current: bool,
    /// A restarted server forgot which leader it heard, so it votes for none at first.
    votes_from: Instant,
    rng: Rng,
}

impl Raft {
    /// Restores a server from its journal's records. A journal without entries waits to join.
    pub fn new<I>(me: VoterId, allowed: Vec<Name>, records: I, now: Instant, rng: Rng) -> Self
    where
        I: IntoIterator<Item = Record>,
    {
        let mut raft = Self {
            me,
            allowed,
            term: 0,
            voted_for: None,
            base: Snapshot::default(),
            log: Vec::new(),
            voters: Vec::new(),
            commit: 0,
            applied: 0,
            state: ControlState::default(),
            standing: Standing::Follower,
            leader: None,
            leader_heard: None,
            election_at: now,
            heartbeat_at: now,
            granted: IndexSet::new(),
            peers: IndexMap::new(),
            round: 0,
            rounds: VecDeque::new(),
            current: false,
            votes_from: now + ELECTION_MIN,
            rng,
        };
        for record in records {
            raft.restore(record);
        }
        raft.commit = raft.base.index;
        raft.applied = raft.base.index;
        raft.state = raft.base.state.clone();
        raft.voters = raft.voters_in_log();
        raft.reset_election(now);
        raft
    }

    /// The first records of a new cluster whose only voter is `me`.
    pub fn first_records(me: &VoterId) -> Vec<Record> {
        let first = Entry { index: 1, term: 1, command: Command::Voters(vec![me.clone()]) };
        vec![Record::Identity(me.clone()), Record::Vote { term: 1, voted_for: None }, Record::Append(first)]
    }

    fn restore(&mut self, record: Record) {
        match record {
            Record::Identity(_) => {}
            Record::Vote { term, voted_for } => {
                self.term = term;
                self.voted_for = voted_for;
            }
            Record::Append(entry) => {
                self.truncate(entry.index);
                self.log.push(entry);
            }
            Record::Snapshot(snapshot) => {
                self.drop_until(snapshot.index);
                self.base = *snapshot;
            }
        }
    }

    /// All records that a new journal needs.
    pub fn journal(&self) -> Vec<Record> {
        let mut records = vec![Record::Identity(self.me.clone())];
        if self.base.index > 0 {
            records.push(Record::Snapshot(Box::new(self.base.clone())));
        }
        records.push(Record::Vote { term: self.term, voted_for: self.voted_for.clone() });
        records.extend(self.log.iter().cloned().map(Record::Append));
        records
    }

    /// The state after all applied entries.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Whether the state has caught up with a leader since the start, so that it may be served.
    pub fn is_current(&self) -> bool {
        self.current
    }

    /// The leader as far as this server knows.
    pub fn leader(&self) -> Option<&VoterId> {
        self.leader.as_ref()
    }

    /// What this server is in its term.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// The present voters.
    pub fn voters(&self) -> &[VoterId] {
        &self.voters
    }

    /// Term, commit index and last index.
    pub fn position(&self) -> (u64, u64, u64) {
        (self.term, self.commit, self.last_index())
    }

    /// This server.
    pub fn me(&self) -> &VoterId {
        &self.me
    }

    /// Whether this server is surely the only leader now, so that its state is the newest.
    pub fn has_lease(&self, now: Instant) -> bool {
        self.is_leader() && self.term_committed() && self.acked_since(now, LEASE)
    }

    /// Proposes a change. `false` unless this server leads.
    pub fn propose(&mut self, now: Instant, req: ChangeRequest, fx: &mut Effects) -> bool {
        if !self.is_leader() {
            return false;
        }
        self.append_own(Command::Change(req), fx);
        self.broadcast(now, fx);
        self.advance_commit(fx);
        true
    }

    /// Acts on the passing of time.
    pub fn tick(&mut self, now: Instant, fx: &mut Effects) {
        match self.standing {
            Standing::Leader => self.tick_leader(now, fx),
            _ if now >= self.election_at => self.on_election_timeout(now, fx),
            _ => {}
        }
        if self.log.len() > COMPACT_AFTER && self.applied > self.base.index {
            self.compact();
            fx.compact = true;
        }
    }

    /// Handles a message.
    pub fn on_msg(&mut self, now: Instant, msg: RaftMsg, fx: &mut Effects) {
        if msg.to.as_ref().is_some_and(|to| *to != self.me) || msg.from.name == self.me.name {
            return;
        }
        if let Body::Vote { pre, last_index, last_term } = msg.body {
            self.on_vote(now, &msg.from, msg.term, pre, (last_term, last_index), fx);
            return;
        }
        if matches!(msg.body, Body::Join) {
            self.on_join(now, msg.from, fx);
            return;
        }
        let promise = matches!(msg.body, Body::VoteReply { pre: true, granted: true });
        if msg.term > self.term && !promise {
            self.become_follower(now, msg.term, fx);
        }
        match msg.body {
            Body::VoteReply { pre, granted } => {
                self.on_vote_reply(now, msg.from, msg.term, pre, granted, fx);
            }
            Body::Append { prev_index, prev_term, entries, commit, round } => {
                if self.accept_leader(now, &msg.from, msg.term, round, fx) {
                    self.on_append(&msg.from, (prev_index, prev_term), entries, commit, round, fx);
                }
            }
            Body::Install { snapshot, round } => {
                if self.accept_leader(now, &msg.from, msg.term, round, fx) {
                    self.on_install(&msg.from, *snapshot, round, fx);
                }
            }
            Body::AppendReply { ok, matched, round } => {
                if msg.term == self.term {
                    self.on_append_reply(now, &msg.from, ok, matched, round, fx);
                }
            }
            Body::Vote { .. } | Body::Join => {}
        }
    }

    fn is_leader(&self) -> bool {
        self.standing == Standing::Leader
    }

    fn is_voter(&self) -> bool {
        self.voters.contains(&self.me)
    }

    fn last_index(&self) -> u64 {
        self.base.index + self.log.len() as u64
    }

    fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    fn entry(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.log.get(offset as usize)
    }

    fn last_position(&self) -> (u64, u64) {
        let index = self.last_index();
        (self.term_at(index).unwrap_or(0), index)
    }

    fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.base.index + 1);
        self.log.truncate(keep as usize);
    }

    fn drop_until(&mut self, index: u64) {
        let count = index.saturating_sub(self.base.index).min(self.log.len() as u64);
        self.log.drain(..count as usize);
    }

    fn voters_in_log(&self) -> Vec<VoterId> {
        let latest = self.log.iter().rev().find_map(|entry| match &entry.command {
            Command::Voters(voters) => Some(voters.clone()),
            _ => None,
        });
        latest.unwrap_or_else(|| self.base.voters.clone())
    }

    fn is_majority<F>(&self, holds: F) -> bool
    where
        F: Fn(&VoterId) -> bool,
    {
        let count = self.voters.iter().filter(|voter| holds(voter)).count();
        count > self.voters.len() / 2
    }

    fn term_committed(&self) -> bool {
        self.term_at(self.commit) == Some(self.term)
    }

    fn acked_since(&self, now: Instant, time: Duration) -> bool {
        self.is_majority(|voter| {
            let acked = self.peers.get(voter).and_then(|progress| progress.acked);
            *voter == self.me || acked.is_some_and(|at| now.duration_since(at) < time)
        })
    }

    fn reset_election(&mut self, now: Instant) {
        let spread = (ELECTION_MAX - ELECTION_MIN).as_millis() as u64;
        self.election_at = now + ELECTION_MIN + Duration::from_millis(self.rng.u64(0..=spread));
    }

    fn save_vote(&self, fx: &mut Effects) {
        fx.records.push(Record::Vote { term: self.term, voted_for: self.voted_for.clone() });
    }

    fn send(&self, to: &VoterId, term: u64, body: Body, fx: &mut Effects) {
        let msg = RaftMsg { from: self.me.clone(), to: Some(to.clone()), term, body };
        fx.send.push((to.name.clone(), msg));
    }

    fn become_follower(&mut self, now: Instant, term: u64, fx: &mut Effects) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
            self.save_vote(fx);
        }
        self.standing = Standing::Follower;
        self.leader = None;
        self.peers.clear();
        self.reset_election(now);
    }

    fn on_election_timeout(&mut self, now: Instant, fx: &mut Effects) {
        self.leader = None;
        self.reset_election(now);
        if self.is_voter() {
            self.stand(now, true, fx);
        } else {
            self.ask_to_join(fx);
        }
    }

    fn ask_to_join(&self, fx: &mut Effects) {
        for name in self.allowed.iter().filter(|name| **name != self.me.name) {
            let msg = RaftMsg { from: self.me.clone(), to: None, term: self.term, body: Body::Join };
            fx.send.push((name.clone(), msg));
        }
    }

    fn stand(&mut self, now: Instant, pre: bool, fx: &mut Effects) {
        self.granted.clear();
        self.granted.insert(self.me.clone());
        if pre {
            self.standing = Standing::PreCandidate;
        } else {
            self.standing = Standing::Candidate;
            self.term += 1;
            self.voted_for = Some(self.me.clone());
            self.save_vote(fx);
        }
        let term = if pre { self.term + 1 } else { self.term };
        let (last_term, last_index) = self.last_position();
        for voter in self.voters.iter().filter(|voter| **voter != self.me) {
            self.send(voter, term, Body::Vote { pre, last_index, last_term }, fx);
        }
        self.count_votes(now, fx);
    }

    fn count_votes(&mut self, now: Instant, fx: &mut Effects) {
        if !self.is_majority(|voter| self.granted.contains(voter)) {
            return;
        }
        match self.standing {
            Standing::PreCandidate => self.stand(now, false, fx),
            Standing::Candidate => self.become_leader(now, fx),
            Standing::Follower | Standing::Leader => {}
        }
    }

    fn on_vote(
        &mut self,
        now: Instant,
        from: &VoterId,
        term: u64,
        pre: bool,
        last: (u64, u64),
        fx: &mut Effects,
    ) {
        let recent = |at: Instant| now.duration_since(at) < ELECTION_MIN;
        let led = self.is_leader() && self.acked_since(now, ELECTION_MIN)
            || self.leader.is_some() && self.leader_heard.is_some_and(recent);
        if led || now < self.votes_from {
            return;
        }
        if term > self.term && !pre {
            self.become_follower(now, term, fx);
        }
        let up_to_date = last >= self.last_position();
        let free = pre && term > self.term
            || term == self.term && self.voted_for.as_ref().is_none_or(|voted| voted == from);
        let granted = up_to_date && free;
        if granted && !pre {
            self.voted_for = Some(from.clone());
            self.save_vote(fx);
            self.reset_election(now);
        }
        let reply_term = if granted { term } else { self.term };
        self.send(from, reply_term, Body::VoteReply { pre, granted }, fx);
    }

    fn on_vote_reply(
        &mut self,
        now: Instant,
        from: VoterId,
        term: u64,
        pre: bool,
        granted: bool,
        fx: &mut Effects,
    ) {
        let asked = match self.standing {
            Standing::PreCandidate => pre && term == self.term + 1,
            Standing::Candidate => !pre && term == self.term,
            Standing::Follower | Standing::Leader => false,
        };
        if asked && granted {
            self.granted.insert(from);
            self.count_votes(now, fx);
        }
    }

    fn become_leader(&mut self, now: Instant, fx: &mut Effects) {
        self.standing = Standing::Leader;
        self.leader = Some(self.me.clone());
        self.rounds.clear();
        self.peers.clear();
        self.sync_peers(now);
        self.append_own(Command::Noop, fx);
        self.broadcast(now, fx);
        self.advance_commit(fx);
    }

    /// Keeps a progress for each voter besides the learners.
    fn sync_peers(&mut self, now: Instant) {
        let next = self.last_index() + 1;
        for voter in self.voters.clone() {
            if voter != self.me {
                self.peers.entry(voter).or_insert(Progress { next, matched: 0, acked: Some(now), heard: now });
            }
        }
        let voters = &self.voters;
        self.peers.retain(|peer, progress| {
            voters.contains(peer) || now.duration_since(progress.heard) < LEARNER_TIMEOUT
        });
    }

    fn append_own(&mut self, command: Command, fx: &mut Effects) {
        let entry = Entry { index: self.last_index() + 1, term: self.term, command };
        if let Command::Voters(voters) = &entry.command {
            self.voters.clone_from(voters);
        }
        fx.records.push(Record::Append(entry.clone()));
        self.log.push(entry);
    }

    fn tick_leader(&mut self, now: Instant, fx: &mut Effects) {
        if !self.acked_since(now, ELECTION_MAX) {
            self.become_follower(now, self.term, fx);
            return;
        }
        if now < self.heartbeat_at {
            return;
        }
        self.sync_peers(now);
        self.admit_learner(now, fx);
        self.broadcast(now, fx);
        self.advance_commit(fx);
    }

    fn on_join(&mut self, now: Instant, from: VoterId, fx: &mut Effects) {
        if !self.is_leader() || self.voters.contains(&from) || !self.allowed.contains(&from.name) {
            return;
        }
        let next = self.last_index() + 1;
        let progress =
            self.peers.entry(from.clone()).or_insert(Progress { next, matched: 0, acked: None, heard: now });
        progress.heard = now;
        self.send_append(&from, fx);
    }

    /// Admits a learner that has caught up: first its lost predecessor leaves, then it enters.
    fn admit_learner(&mut self, now: Instant, fx: &mut Effects) {
        let pending = (self.commit + 1..=self.last_index())
            .filter_map(|index| self.entry(index))
            .any(|entry| matches!(entry.command, Command::Voters(_)));
        if pending || !self.term_committed() {
            return;
        }
        let ready = |(peer, progress): &(&VoterId, &Progress)| {
            !self.voters.contains(*peer)
                && progress.matched >= self.commit
                && now.duration_since(progress.heard) < ELECTION_MIN
        };
        let Some((learner, _)) = self.peers.iter().find(ready) else { return };
        let learner = learner.clone();
        let mut voters = self.voters.clone();
        let before = voters.len();
        voters.retain(|voter| voter.name != learner.name);
        if voters.len() == before {
            voters.push(learner);
        }
        self.append_own(Command::Voters(voters), fx);
        self.sync_peers(now);
    }

    fn broadcast(&mut self, now: Instant, fx: &mut Effects) {
        self.heartbeat_at = now + HEARTBEAT;
        self.round += 1;
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > REMEMBERED_ROUNDS {
            self.rounds.pop_front();
        }
        for peer in self.peers.keys().cloned().collect::<Vec<_>>() {
            self.send_append(&peer, fx);
        }
    }

    fn send_append(&mut self, peer: &VoterId, fx: &mut Effects) {
        let Some(progress) = self.peers.get(peer) else { return };
        let prev_index = progress.next - 1;
        let round = self.round;
        let Some(prev_term) = self.term_at(prev_index).filter(|_| prev_index >= self.base.index)
        else {
            let snapshot = Box::new(self.base.clone());
            self.send(peer, self.term, Body::Install { snapshot, round }, fx);
            return;
        };
        let offset = (prev_index - self.base.index) as usize;
        let entries: Vec<Entry> = self.log[offset..].iter().take(MAX_BATCH).cloned().collect();
        let sent = entries.len() as u64;
        let body = Body::Append { prev_index, prev_term, entries, commit: self.commit, round };
        self.send(peer, self.term, body, fx);
        if let Some(progress) = self.peers.get_mut(peer) {
            progress.next += sent;
        }
    }

    fn accept_leader(
        &mut self,
        now: Instant,
        from: &VoterId,
        term: u64,
        round: u64,
        fx: &mut Effects,
    ) -> bool {
        if term < self.term {
            let body = Body::AppendReply { ok: false, matched: self.last_index(), round };
            self.send(from, self.term, body, fx);
            return false;
        }
        self.standing = Standing::Follower;
        self.leader = Some(from.clone());
        self.leader_heard = Some(now);
        self.reset_election(now);
        true
    }

    fn on_append(
        &mut self,
        from: &VoterId,
        prev: (u64, u64),
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
        fx: &mut Effects,
    ) {
        let (prev_index, prev_term) = prev;
        let matches = prev_index < self.base.index || self.term_at(prev_index) == Some(prev_term);
        if !matches {
            let matched = self.last_index().min(prev_index.saturating_sub(1));
            let body = Body::AppendReply { ok: false, matched, round };
            self.send(from, self.term, body, fx);
            return;
        }
        let matched = prev_index + entries.len() as u64;
        for entry in entries {
            self.store(entry, fx);
        }
        self.commit = self.commit.max(commit.min(matched));
        self.current |= commit <= self.commit;
        self.apply(fx);
        self.send(from, self.term, Body::AppendReply { ok: true, matched, round }, fx);
    }

    /// Stores an entry of the leader, in place of what an earlier leader left there.
    fn store(&mut self, entry: Entry, fx: &mut Effects) {
        if entry.index <= self.base.index || self.term_at(entry.index) == Some(entry.term) {
            return;
        }
        self.truncate(entry.index);
        fx.records.push(Record::Append(entry.clone()));
        self.log.push(entry);
        self.voters = self.voters_in_log();
    }

    fn on_install(&mut self, from: &VoterId, snapshot: Snapshot, round: u64, fx: &mut Effects) {
        let matched = snapshot.index;
        if snapshot.index > self.commit {
            let keep = self.term_at(snapshot.index) == Some(snapshot.term);
            if keep {
                self.drop_until(snapshot.index);
            } else {
                self.log.clear();
            }
            self.commit = snapshot.index;
            self.applied = snapshot.index;
            self.state = snapshot.state.clone();
            self.base = snapshot;
            self.voters = self.voters_in_log();
            fx.compact = true;
        }
        self.send(from, self.term, Body::AppendReply { ok: true, matched, round }, fx);
    }

    fn on_append_reply(
        &mut self,
        now: Instant,
        from: &VoterId,
        ok: bool,
        matched: u64,
        round: u64,
        fx: &mut Effects,
    ) {
        let sent = self.rounds.iter().find(|(number, _)| *number == round).map(|(_, at)| *at);
        let last_index = self.last_index();
        let Some(progress) = self.peers.get_mut(from) else { return };
        progress.heard = now;
        progress.acked = progress.acked.max(sent);
        if ok {
            progress.matched = progress.matched.max(matched);
            progress.next = progress.next.max(progress.matched + 1);
        } else {
            progress.next = (matched + 1).clamp(progress.matched + 1, last_index + 1);
        }
        let behind = progress.next <= last_index;
        if behind {
            self.send_append(from, fx);
        }
        self.advance_commit(fx);
    }

    fn advance_commit(&mut self, fx: &mut Effects) {
        if !self.is_leader() {
            return;
        }
        let held = |index: u64| {
            self.is_majority(|voter| {
                *voter == self.me || self.peers.get(voter).is_some_and(|p| p.matched >= index)
            })
        };
        let newest = (self.commit + 1..=self.last_index())
            .rev()
            .find(|index| self.term_at(*index) == Some(self.term) && held(*index));
        if let Some(index) = newest {
            self.commit = index;
        }
        self.current |= self.term_committed();
        self.apply(fx);
    }

    fn apply(&mut self, fx: &mut Effects) {
        while self.applied < self.commit {
            self.applied += 1;
            let Some(entry) = self.entry(self.applied) else { break };
            if let Command::Change(req) = &entry.command {
                let req = req.clone();
                let id = req.request_id;
                fx.outcomes.push((id, self.state.apply(req)));
            }
        }
    }

    /// Replaces all applied entries by a snapshot.
    fn compact(&mut self) {
        let index = self.applied;
        let term = self.term_at(index).unwrap_or(self.base.term);
        let kept = index - self.base.index;
        let voters = self.log[..kept as usize].iter().rev().find_map(|entry| match &entry.command {
            Command::Voters(voters) => Some(voters.clone()),
            _ => None,
        });
        let voters = voters.unwrap_or_else(|| self.base.voters.clone());
        self.drop_until(index);
        self.base = Snapshot { index, term, voters, state: self.state.clone() };
    }
}
