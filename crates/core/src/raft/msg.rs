//! Messages between control servers, and the log entries and snapshots that they carry.

use serde::{Deserialize, Serialize};

use crate::config::{ChangeRequest, ControlState};
use crate::ids::Name;

/// Identity of a control server and its disk. A server that lost its disk returns as a different
/// voter, since its votes and log entries are gone.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VoterId {
    /// The server's name.
    pub name: Name,
    /// Random number, drawn when the journal on the disk was created.
    pub disk: u64,
}

/// The operation of a log entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Command {
    /// Does nothing. Appended by a new leader, as only entries of its own term can be committed by
    /// counting replicas.
    Noop,
    /// Replaces the set of voters. Takes effect when appended to the log, not when committed.
    Voters(Vec<VoterId>),
    /// Changes the configuration.
    Change(ChangeRequest),
}

/// A log entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Position in the log, starting at 1.
    pub index: u64,
    /// Term of the leader that created it.
    pub term: u64,
    /// The operation.
    pub command: Command,
}

/// The replicated state after all entries up to an index, which replaces those entries.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// Index of the last entry included.
    pub index: u64,
    /// Term of the last entry included.
    pub term: u64,
    /// Voters as of the last entry included.
    pub voters: Vec<VoterId>,
    /// State after the last entry included.
    pub state: ControlState,
}

/// A message between control servers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RaftMsg {
    /// The sender.
    pub from: VoterId,
    /// The receiver; `None` if only its name is known. Other receivers ignore the message.
    pub to: Option<VoterId>,
    /// The sender's term. For a pre-vote request and its grant, the term of the proposed election.
    pub term: u64,
    /// The kind of message and its contents.
    pub body: Body,
}

/// Contents of a [`RaftMsg`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// Requests a vote or a pre-vote.
    Vote {
        /// Whether this is a pre-vote, which changes no persistent state.
        pre: bool,
        /// Index of the sender's last log entry.
        last_index: u64,
        /// Term of the sender's last log entry.
        last_term: u64,
    },
    /// Reply to [`Body::Vote`].
    VoteReply {
        /// Whether it answers a pre-vote.
        pre: bool,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Appends log entries; also serves as the heartbeat.
    Append {
        /// Index of the entry that precedes `entries`.
        prev_index: u64,
        /// Term of the entry that precedes `entries`.
        prev_term: u64,
        /// Consecutive entries, at most [`MAX_BATCH`](super::MAX_BATCH) and [`SendLimits::batch_bytes`](super::SendLimits::batch_bytes).
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// Number of the heartbeat round.
        round: u64,
    },
    /// Reply to [`Body::Append`], and to the [`Body::Install`] that completes a snapshot.
    AppendReply {
        /// Whether the preceding entry matched, so that the entries were accepted.
        ok: bool,
        /// Index of the last entry that matches the leader's log. On rejection, the index to try
        /// as the next preceding entry.
        matched: u64,
        /// Number of the heartbeat round that is acknowledged.
        round: u64,
    },
    /// Chunk of a snapshot, which replaces log entries that the leader no longer has; also serves as
    /// the heartbeat.
    Install {
        /// Index of the last log entry that the snapshot includes.
        index: u64,
        /// Length of the encoded snapshot in bytes.
        total: u64,
        /// Position of `data` in it.
        offset: u64,
        /// At most [`SendLimits::chunk_bytes`](super::SendLimits::chunk_bytes); empty while the previous chunk is not acknowledged.
        data: Vec<u8>,
        /// Number of the heartbeat round.
        round: u64,
    },
    /// Reply to [`Body::Install`] while the snapshot is not complete.
    InstallReply {
        /// Index of the last log entry that the snapshot includes.
        index: u64,
        /// Number of bytes of the encoded snapshot that have been received, from its start.
        received: u64,
        /// Number of the heartbeat round that is acknowledged.
        round: u64,
    },
    /// Request of a server that is not a voter to become one.
    Join,
}
