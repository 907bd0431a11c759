//! The replicated log of control: terms, votes, majority commit, snapshots, pre-vote, leader lease
//! and one membership change at a time.
//!
//! The caller drives it with messages and the present time, makes the records of [`Effects`]
//! durable, and only then sends its messages and delivers its outcomes.

mod election;
mod replicate;
mod voters;

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
pub const HEARTBEAT: Duration = Duration::from_millis(75);
/// A server that heard from a leader within this time neither votes nor stands.
pub const ELECTION_MIN: Duration = Duration::from_millis(300);
/// A server that heard nothing for up to this time stands for election.
pub const ELECTION_MAX: Duration = Duration::from_millis(600);
/// A leader whose heartbeats a majority acknowledged within this time is the only one: two heartbeats
/// and a round trip. A server that starts may have forgotten that it acknowledged one, and does not
/// vote for as long.
pub const LEASE: Duration = Duration::from_millis(170);
/// A server that has heard no leader since it started asks again for pre-votes after this time, and
/// up to twice of it: a few round trips, as no record is written for a pre-vote.
const FIRST_PRE_VOTE: Duration = Duration::from_millis(40);
/// It does so for this long: all servers of a cluster start within it after a loss of power.
const EAGER_TIME: Duration = Duration::from_secs(2);
/// Entries on one message.
pub const MAX_BATCH: usize = 256;
/// Applied entries that are kept before a snapshot replaces them.
pub const COMPACT_AFTER: usize = 1000;
/// A learner that is silent for this long is dropped.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(5);
/// Of an odd number of voters one that is silent for this long leaves; a restart takes less.
const GONE_AFTER: Duration = Duration::from_secs(10);
/// Of an even number of voters one that is silent for this long leaves.
const SPARE_GONE_AFTER: Duration = Duration::from_secs(2);
/// Fewer voters than this bear no loss, so none of them is removed for its silence.
const MIN_VOTERS: usize = 3;
/// The most voters.
const MAX_VOTERS: usize = 9;
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

/// A round that was begun to confirm a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadRound {
    term: u64,
    round: u64,
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
    /// The last acknowledged round.
    acked_round: u64,
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
    compact_after: usize,
    /// A restarted server forgot which leader it heard, so it votes for none at first.
    votes_from: Instant,
    /// Until then it asks for pre-votes at short intervals, unless it heard a leader.
    eager_until: Instant,
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
            compact_after: COMPACT_AFTER,
            votes_from: now + LEASE,
            eager_until: now + EAGER_TIME,
            rng,
        };
        for record in records {
            raft.restore(record);
        }
        raft.commit = raft.base.index;
        raft.applied = raft.base.index;
        raft.state = raft.base.state.clone();
        raft.voters = raft.voters_in_log();
        raft.expect_pre_vote(now + LEASE);
        raft
    }

    /// Sets how many applied entries are kept before a snapshot replaces them.
    pub fn set_compact_after(&mut self, entries: usize) {
        self.compact_after = entries;
    }

    /// The first records of a new cluster whose only voter is `me`.
    pub fn first_records(me: &VoterId) -> Vec<Record> {
        let first = Entry {
            index: 1,
            term: 1,
            command: Command::Voters(vec![me.clone()]),
        };
        vec![
            Record::Identity(me.clone()),
            Record::Vote {
                term: 1,
                voted_for: None,
            },
            Record::Append(first),
        ]
    }

    /// The first records of a new cluster whose voters all found it, each with the same records.
    pub fn founding_records(me: &VoterId, voters: &[VoterId]) -> Vec<Record> {
        let first = Entry {
            index: 1,
            term: 1,
            command: Command::Voters(voters.to_vec()),
        };
        vec![
            Record::Identity(me.clone()),
            Record::Vote {
                term: 1,
                voted_for: None,
            },
            Record::Append(first),
        ]
    }

    /// Sets the names that may become voters, and that a new server asks to be admitted.
    pub fn set_allowed(&mut self, allowed: Vec<Name>) {
        self.allowed = allowed;
    }

    /// Begins a round that shows whether this server still leads. `None` unless it seems to.
    pub fn begin_read(&mut self, now: Instant, fx: &mut Effects) -> Option<ReadRound> {
        if !self.is_leader() || !self.term_committed() {
            return None;
        }
        self.broadcast(now, fx);
        Some(ReadRound {
            term: self.term,
            round: self.round,
        })
    }

    /// Whether a majority answered the round or a later one, so that the state at its beginning
    /// was the newest. `None` when this server no longer leads in that term.
    pub fn is_read_confirmed(&self, read: ReadRound) -> Option<bool> {
        if !self.is_leader() || self.term != read.term {
            return None;
        }
        let acked = |voter: &VoterId| {
            *voter == self.me
                || self
                    .peers
                    .get(voter)
                    .is_some_and(|progress| progress.acked_round >= read.round)
        };
        Some(self.is_majority(acked))
    }

    /// Replaces all applied entries by a snapshot now.
    pub fn compact_now(&mut self, fx: &mut Effects) {
        if self.applied > self.base.index {
            self.compact();
            fx.compact = true;
        }
    }

    /// All records that a new journal needs.
    pub fn journal(&self) -> Vec<Record> {
        let mut records = vec![Record::Identity(self.me.clone())];
        if self.base.index > 0 {
            records.push(Record::Snapshot(Box::new(self.base.clone())));
        }
        records.push(Record::Vote {
            term: self.term,
            voted_for: self.voted_for.clone(),
        });
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
        if self.log.len() > self.compact_after && self.applied > self.base.index {
            self.compact();
            fx.compact = true;
        }
    }

    /// Handles a message.
    pub fn on_msg(&mut self, now: Instant, msg: RaftMsg, fx: &mut Effects) {
        if msg.to.as_ref().is_some_and(|to| *to != self.me) || msg.from.name == self.me.name {
            return;
        }
        if let Body::Vote {
            pre,
            last_index,
            last_term,
        } = msg.body
        {
            self.on_vote(now, &msg.from, msg.term, pre, (last_term, last_index), fx);
            return;
        }
        if matches!(msg.body, Body::Join) {
            self.on_join(now, &msg.from, fx);
            return;
        }
        let promise = matches!(
            msg.body,
            Body::VoteReply {
                pre: true,
                granted: true
            }
        );
        if msg.term > self.term && !promise {
            self.become_follower(now, msg.term, fx);
        }
        match msg.body {
            Body::VoteReply { pre, granted } => {
                self.on_vote_reply(now, msg.from, msg.term, pre, granted, fx);
            }
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                if self.accept_leader(now, &msg.from, msg.term, round, fx) {
                    self.on_append(
                        &msg.from,
                        (prev_index, prev_term),
                        entries,
                        commit,
                        round,
                        fx,
                    );
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

    fn send(&self, to: &VoterId, term: u64, body: Body, fx: &mut Effects) {
        let msg = RaftMsg {
            from: self.me.clone(),
            to: Some(to.clone()),
            term,
            body,
        };
        fx.send.push((to.name.clone(), msg));
    }
}
