//! Raft consensus between the control servers: elections with pre-vote, log replication, snapshots,
//! a leader lease and single-server membership changes.
//!
//! [`Raft`] does no I/O and reads no clock. The caller passes in messages and the current time,
//! makes the records of [`Effects`] durable, and only then sends its messages and delivers its
//! outcomes.

mod election;
mod log;
mod msg;
mod progress;
mod replicate;
mod transfer;
mod voters;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use fastrand::Rng;
use indexmap::{IndexMap, IndexSet};
use serde::Serialize;
use uuid::Uuid;

use crate::config::{ChangeOutcome, ChangeRequest, ControlState};
use crate::ids::Name;
use crate::journal::Record;

pub use msg::{Body, Command, Entry, RaftMsg, Snapshot, VoterId};
pub use progress::SendLimits;

use log::Log;
use progress::Progress;
use transfer::{Chunk, Incoming};

/// Interval between a leader's heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(75);
/// Minimum election timeout. A server that heard from a leader within this time neither votes nor
/// starts an election.
pub const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(300);
/// Maximum election timeout. The actual timeout is drawn uniformly from [`ELECTION_TIMEOUT_MIN`] to
/// this.
pub const ELECTION_TIMEOUT_MAX: Duration = Duration::from_millis(600);
/// Duration of the leader lease: a leader whose heartbeats a majority acknowledged within this time
/// is the only leader. Covers two heartbeats and a round trip.
///
/// Acknowledgements are not persisted, so a restarted server withholds its vote for this long.
pub const LEASE: Duration = Duration::from_millis(170);
/// Base interval of pre-vote requests in the start-up window; the actual interval is one to two
/// times this. A few round trips are enough, as no record is written for a pre-vote.
const STARTUP_PRE_VOTE_INTERVAL: Duration = Duration::from_millis(40);
/// Length of the start-up window, in which a server that has not heard from a leader requests
/// pre-votes at short intervals. After a power loss all servers of a cluster start within it.
const STARTUP_WINDOW: Duration = Duration::from_secs(2);
/// Maximum number of log entries in one [`Body::Append`].
pub const MAX_BATCH: usize = 256;
/// Default number of log entries above which the applied ones are replaced by a snapshot.
pub const COMPACT_AFTER: usize = 1000;
/// Time without contact after which a learner is dropped.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without contact after which a voter is removed while the number of voters is odd. Longer
/// than a restart takes.
const VOTER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without contact after which a voter is removed while the number of voters is even.
const EVEN_VOTER_TIMEOUT: Duration = Duration::from_secs(2);
/// A silent voter is removed only while there are more voters than this, since fewer tolerate no
/// failure. A cluster that tolerates more than one lost disk keeps more; see
/// [`Raft::set_tolerated_losses`].
const MIN_VOTERS: usize = 3;
/// Time for which the leader of a new cluster waits for control servers that nobody has heard of yet.
/// Longer than the servers of a cluster take to start and to find one another.
const FOUNDING_TIME: Duration = Duration::from_secs(3);
/// Maximum number of voters.
const MAX_VOTERS: usize = 9;
/// Number of heartbeat rounds whose send times are kept.
const MAX_TRACKED_ROUNDS: usize = 64;

/// Work for the caller, to be carried out in the order of the fields.
#[derive(Debug, Default)]
pub struct Effects {
    /// Records to make durable before anything else.
    pub records: Vec<Record>,
    /// Messages to send once the records are durable, with the receiver's name.
    pub send: Vec<(Name, RaftMsg)>,
    /// Outcomes of applied changes, by request id.
    pub outcomes: Vec<(Uuid, ChangeOutcome)>,
    /// Whether to replace the journal by the records of [`Raft::journal`].
    pub compact: bool,
}

/// A heartbeat round that confirms a linearizable read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadRound {
    term: u64,
    round: u64,
}

/// A server's Raft role in its current term.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RaftRole {
    /// Follows a leader or waits for one.
    Follower,
    /// Requests pre-votes.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Accepts changes and replicates its log.
    Leader,
}

/// The Raft state machine of one control server.
#[derive(Debug)]
pub struct Raft {
    me: VoterId,
    /// Names of the servers that may become voters.
    allowed: Vec<Name>,
    term: u64,
    voted_for: Option<VoterId>,
    snapshot: Snapshot,
    /// The snapshot that is being received, if one is.
    incoming: Option<Incoming>,
    /// Entries after `snapshot`, without gaps.
    log: Log,
    voters: Vec<VoterId>,
    /// Number of disks that may be lost at a time without the loss of a committed change.
    tolerated_losses: usize,
    /// Invariant: `snapshot.index <= applied <= commit <= last_index()`.
    commit: u64,
    applied: u64,
    state: ControlState,
    role: RaftRole,
    leader: Option<VoterId>,
    leader_heard_at: Option<Instant>,
    /// When this server became the leader, if it is.
    leading_since: Instant,
    election_at: Instant,
    heartbeat_at: Instant,
    granted: IndexSet<VoterId>,
    peers: IndexMap<VoterId, Progress>,
    round: u64,
    rounds: VecDeque<(u64, Instant)>,
    /// Whether the state has caught up with a leader since the start.
    caught_up: bool,
    compact_after: usize,
    send_limits: SendLimits,
    /// Time until which no vote is granted: a restarted server does not know which leader's lease
    /// it acknowledged.
    no_vote_until: Instant,
    /// End of the start-up window, in which pre-votes are requested at short intervals until a
    /// leader is heard from.
    startup_until: Instant,
    rng: Rng,
}

impl Raft {
    /// Restores a server from the records of its journal.
    ///
    /// Without any log entry or snapshot the server is not a voter and asks the `allowed` servers
    /// for admission.
    pub fn new<I>(me: VoterId, allowed: Vec<Name>, records: I, now: Instant, rng: Rng) -> Self
    where
        I: IntoIterator<Item = Record>,
    {
        let mut raft = Self {
            me,
            allowed,
            term: 0,
            voted_for: None,
            snapshot: Snapshot::default(),
            incoming: None,
            log: Log::default(),
            voters: Vec::new(),
            tolerated_losses: 0,
            commit: 0,
            applied: 0,
            state: ControlState::default(),
            role: RaftRole::Follower,
            leader: None,
            leader_heard_at: None,
            leading_since: now,
            election_at: now,
            heartbeat_at: now,
            granted: IndexSet::new(),
            peers: IndexMap::new(),
            round: 0,
            rounds: VecDeque::new(),
            caught_up: false,
            compact_after: COMPACT_AFTER,
            send_limits: SendLimits::default(),
            no_vote_until: now + LEASE,
            startup_until: now + STARTUP_WINDOW,
            rng,
        };
        for record in records {
            raft.restore(record);
        }
        raft.commit = raft.snapshot.index;
        raft.applied = raft.snapshot.index;
        raft.state = raft.snapshot.state.clone();
        raft.voters = raft.voters_in_log();
        raft.schedule_pre_vote(now + LEASE);
        raft
    }

    /// Sets the number of log entries above which the applied ones are replaced by a snapshot.
    pub fn set_compact_after(&mut self, entries: usize) {
        self.compact_after = entries;
    }

    /// Sets the number of disks that may be lost at a time without the loss of a committed change; 0
    /// by default, and at most as many as a majority of the maximum number of voters leaves.
    ///
    /// Silent voters are removed only while more than twice as many voters remain, and a new cluster
    /// accepts its first change only once it has that many.
    pub fn set_tolerated_losses(&mut self, disks: usize) {
        self.tolerated_losses = disks.min(MAX_VOTERS / 2);
    }

    /// Sets the limits of what is sent to another server at a time.
    pub fn set_send_limits(&mut self, limits: SendLimits) {
        self.send_limits = limits;
    }

    /// Returns the initial journal records of a new cluster whose only voter is `me`.
    pub fn bootstrap_records(me: &VoterId) -> Vec<Record> {
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

    /// Returns the initial journal records of a new cluster that starts with several voters.
    ///
    /// Each of the voters has to start with the same `voters`.
    pub fn bootstrap_records_with_voters(me: &VoterId, voters: &[VoterId]) -> Vec<Record> {
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

    /// Sets the names of the servers that may become voters. A server that is not a voter asks them
    /// for admission.
    pub fn set_allowed(&mut self, allowed: Vec<Name>) {
        self.allowed = allowed;
    }

    /// Starts a heartbeat round that confirms that this server still leads.
    ///
    /// Returns `None` if this server is not the leader or has not yet committed an entry of its
    /// term.
    pub fn begin_read(&mut self, now: Instant, effects: &mut Effects) -> Option<ReadRound> {
        if !self.is_leader() || !self.term_committed() {
            return None;
        }
        self.broadcast(now, effects);
        Some(ReadRound {
            term: self.term,
            round: self.round,
        })
    }

    /// Returns whether a majority acknowledged the round or a later one, so that the state at the
    /// start of the round was the latest. `None` if this server no longer leads in that term.
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

    /// Replaces all applied entries by a snapshot, regardless of their number.
    pub fn compact_now(&mut self, effects: &mut Effects) {
        if self.applied > self.snapshot.index {
            self.compact();
            effects.compact = true;
        }
    }

    /// Returns the records of a journal that restores the present state and no older one.
    pub fn journal(&self) -> Vec<Record> {
        let mut records = vec![Record::Identity(self.me.clone())];
        if self.snapshot.index > 0 {
            records.push(Record::Snapshot(Box::new(self.snapshot.clone())));
        }
        records.push(Record::Vote {
            term: self.term,
            voted_for: self.voted_for.clone(),
        });
        records.extend(self.log.iter().cloned().map(Record::Append));
        records
    }

    /// Returns the state after all applied entries.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Returns whether the state has caught up with a leader since the start, so that it may be
    /// served to readers.
    pub fn is_current(&self) -> bool {
        self.caught_up
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<&VoterId> {
        self.leader.as_ref()
    }

    /// Returns the server's Raft role in its current term.
    pub fn role(&self) -> RaftRole {
        self.role
    }

    /// Returns the voters as of the last log entry, committed or not.
    pub fn voters(&self) -> &[VoterId] {
        &self.voters
    }

    /// Returns the term, the commit index and the index of the last log entry.
    pub fn position(&self) -> (u64, u64, u64) {
        (self.term, self.commit, self.last_index())
    }

    /// Returns the identity of this server.
    pub fn me(&self) -> &VoterId {
        &self.me
    }

    /// Returns whether this server holds the leader lease, so that no other server leads at `now`
    /// and its state is the latest.
    pub fn has_lease(&self, now: Instant) -> bool {
        self.is_leader() && self.term_committed() && self.acked_since(now, LEASE)
    }

    /// Returns how many more servers this leader of a new cluster has to admit before it accepts the
    /// first change; 0 if the cluster has accepted one.
    ///
    /// A change that fewer voters commit would rest on too few disks to outlive the tolerated losses.
    /// A cluster that has no further servers accepts changes after a few seconds all the same.
    pub fn missing_voters(&self, now: Instant) -> usize {
        if !self.state.recent.is_empty() {
            return 0;
        }
        // A server that has lost its disk may be listed with its former disk as well.
        let servers: IndexSet<&Name> = self.voters.iter().map(|voter| &voter.name).collect();
        let is_complete = self.allowed.iter().all(|name| servers.contains(name));
        if is_complete && now >= self.leading_since + FOUNDING_TIME {
            return 0;
        }
        self.full_size().saturating_sub(servers.len())
    }

    /// Appends a change to the log. Returns `false`, with no effect, if this server is not the
    /// leader or the cluster does not have enough voters yet.
    pub fn propose(&mut self, now: Instant, req: ChangeRequest, effects: &mut Effects) -> bool {
        if !self.is_leader() || self.missing_voters(now) > 0 {
            return false;
        }
        self.append_local(Command::Change(req), effects);
        self.broadcast(now, effects);
        self.advance_commit(effects);
        true
    }

    /// Handles election timeouts, heartbeats and compaction that are due at `now`.
    pub fn tick(&mut self, now: Instant, effects: &mut Effects) {
        match self.role {
            RaftRole::Leader => self.tick_leader(now, effects),
            _ if now >= self.election_at => self.on_election_timeout(now, effects),
            _ => {}
        }
        if self.log.len() > self.compact_after && self.applied > self.snapshot.index {
            self.compact();
            effects.compact = true;
        }
    }

    /// Handles a message from another server.
    pub fn on_msg(&mut self, now: Instant, msg: RaftMsg, effects: &mut Effects) {
        if msg.to.as_ref().is_some_and(|to| *to != self.me) || msg.from.name == self.me.name {
            return;
        }
        if let Body::Vote {
            pre,
            last_index,
            last_term,
        } = msg.body
        {
            self.on_vote(
                now,
                &msg.from,
                msg.term,
                pre,
                (last_term, last_index),
                effects,
            );
            return;
        }
        if matches!(msg.body, Body::Join) {
            self.on_join(now, &msg.from, effects);
            return;
        }
        let pre_vote_granted = matches!(
            msg.body,
            Body::VoteReply {
                pre: true,
                granted: true
            }
        );
        if msg.term > self.term && !pre_vote_granted {
            self.become_follower(now, msg.term, effects);
        }
        match msg.body {
            Body::VoteReply { pre, granted } => {
                self.on_vote_reply(now, msg.from, msg.term, pre, granted, effects);
            }
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                if self.accept_leader(now, &msg.from, msg.term, round, effects) {
                    self.on_append(
                        &msg.from,
                        (prev_index, prev_term),
                        entries,
                        commit,
                        round,
                        effects,
                    );
                }
            }
            Body::Install {
                index,
                total,
                offset,
                data,
                round,
            } => {
                if self.accept_leader(now, &msg.from, msg.term, round, effects) {
                    let chunk = Chunk {
                        index,
                        total,
                        offset,
                        data,
                        round,
                    };
                    self.on_chunk(&msg.from, chunk, effects);
                }
            }
            Body::AppendReply { ok, matched, round } => {
                if msg.term == self.term {
                    self.note_acked_round(now, &msg.from, round);
                    self.on_append_reply(&msg.from, ok, matched, effects);
                }
            }
            Body::InstallReply {
                index,
                received,
                round,
            } => {
                if msg.term == self.term {
                    self.note_acked_round(now, &msg.from, round);
                    self.on_chunk_received(&msg.from, index, received, round, effects);
                }
            }
            Body::Vote { .. } | Body::Join => {}
        }
    }

    fn is_leader(&self) -> bool {
        self.role == RaftRole::Leader
    }

    fn send(&self, to: &VoterId, term: u64, body: Body, effects: &mut Effects) {
        let msg = RaftMsg {
            from: self.me.clone(),
            to: Some(to.clone()),
            term,
            body,
        };
        effects.send.push((to.name.clone(), msg));
    }
}
