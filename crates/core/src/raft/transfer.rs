//! Transfer of a snapshot to a server in chunks, each acknowledged before the next one is sent.
//!
//! A chunk is an acknowledged heartbeat as well, so a long snapshot neither holds up the leader's
//! heartbeats nor has to be sent again as a whole if a link is lost.

use std::sync::Arc;

use super::{Body, Effects, Raft, Snapshot, VoterId};
use crate::journal::MAX_RECORD_BYTES;

/// A snapshot that is being sent to one server.
#[derive(Debug)]
pub(super) struct Outgoing {
    /// Index of the last log entry that the snapshot includes.
    pub(super) index: u64,
    /// The encoded snapshot.
    data: Arc<[u8]>,
    /// Number of bytes that the server has received.
    offset: usize,
    /// Heartbeat round in which the chunk at `offset` was sent, if it was.
    sent_in: Option<u64>,
}

impl Outgoing {
    fn new(snapshot: &Snapshot) -> Option<Self> {
        let data = postcard::to_stdvec(snapshot).ok()?;
        Some(Self {
            index: snapshot.index,
            data: data.into(),
            offset: 0,
            sent_in: None,
        })
    }

    /// Returns the next chunk, or an empty one while the server's acknowledgement is awaited.
    fn next_chunk(&mut self, round: u64, max_bytes: usize) -> &[u8] {
        if self.sent_in.is_some() {
            return &[];
        }
        self.sent_in = Some(round);
        let end = self.data.len().min(self.offset + max_bytes);
        &self.data[self.offset..end]
    }

    /// Notes how much the server has received, as acknowledged in a heartbeat round. Returns whether
    /// a chunk is due: the next one, or one that was lost. Messages on a link arrive in order, so an
    /// acknowledgement of a later round shows that the chunk did not arrive.
    fn on_received(&mut self, received: usize, round: u64) -> bool {
        let is_lost = self.sent_in.is_some_and(|sent| round > sent);
        if received == self.offset && !is_lost {
            return false;
        }
        self.offset = received.min(self.data.len());
        self.sent_in = None;
        true
    }
}

/// The part of a snapshot that this server has received.
#[derive(Debug)]
pub(super) struct Incoming {
    from: VoterId,
    /// Term of the sender.
    term: u64,
    index: u64,
    data: Vec<u8>,
}

/// One chunk of a snapshot, as received.
pub(super) struct Chunk {
    pub(super) index: u64,
    pub(super) total: u64,
    pub(super) offset: u64,
    pub(super) data: Vec<u8>,
    pub(super) round: u64,
}

impl Raft {
    /// Sends the next chunk of a snapshot to a server whose next log entries have been compacted.
    /// A snapshot that was begun is sent to its end, also if there is a later one.
    pub(super) fn send_snapshot(&mut self, peer: &VoterId, effects: &mut Effects) {
        let (round, max_bytes) = (self.round, self.send_limits.chunk_bytes);
        let Some(progress) = self.peers.get_mut(peer) else {
            return;
        };
        if progress.snapshot.is_none() {
            progress.snapshot = Outgoing::new(&self.snapshot);
        }
        let Some(outgoing) = &mut progress.snapshot else {
            return;
        };
        let body = Body::Install {
            index: outgoing.index,
            total: outgoing.data.len() as u64,
            offset: outgoing.offset as u64,
            data: outgoing.next_chunk(round, max_bytes).to_vec(),
            round,
        };
        self.send(peer, self.term, body, effects);
    }

    /// Handles the acknowledgement of a chunk.
    pub(super) fn on_chunk_received(
        &mut self,
        from: &VoterId,
        index: u64,
        received: u64,
        round: u64,
        effects: &mut Effects,
    ) {
        let outgoing = self
            .peers
            .get_mut(from)
            .and_then(|progress| progress.snapshot.as_mut())
            .filter(|outgoing| outgoing.index == index);
        if outgoing.is_some_and(|outgoing| outgoing.on_received(received as usize, round)) {
            self.send_snapshot(from, effects);
        }
    }

    /// Adds a chunk to the snapshot that is being received, and installs the snapshot once it is
    /// complete.
    pub(super) fn on_chunk(&mut self, from: &VoterId, chunk: Chunk, effects: &mut Effects) {
        let Chunk {
            index,
            total,
            offset,
            data,
            round,
        } = chunk;
        if index <= self.commit {
            self.incoming = None;
            self.acknowledge(from, index, round, effects);
            return;
        }
        let term = self.term;
        let is_same = |incoming: &Incoming| {
            incoming.from == *from && incoming.term == term && incoming.index == index
        };
        let mut incoming = self
            .incoming
            .take()
            .filter(is_same)
            .unwrap_or_else(|| Incoming {
                from: from.clone(),
                term,
                index,
                data: Vec::new(),
            });
        let fits = offset as usize == incoming.data.len()
            && incoming.data.len() + data.len() <= MAX_RECORD_BYTES;
        if fits {
            incoming.data.extend_from_slice(&data);
        }
        let received = incoming.data.len() as u64;
        if received == total
            && let Ok(snapshot) = postcard::from_bytes(&incoming.data)
        {
            self.install(snapshot, effects);
            self.acknowledge(from, index, round, effects);
            return;
        }
        self.incoming = Some(incoming);
        let body = Body::InstallReply {
            index,
            received,
            round,
        };
        self.send(from, self.term, body, effects);
    }

    /// Replaces the log up to the snapshot's index by the snapshot.
    fn install(&mut self, snapshot: Snapshot, effects: &mut Effects) {
        let keep = self.term_at(snapshot.index) == Some(snapshot.term);
        if keep {
            self.drop_through(snapshot.index);
        } else {
            self.log.truncate(0);
        }
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.state = snapshot.state.clone();
        self.snapshot = snapshot;
        self.voters = self.voters_in_log();
        effects.compact = true;
    }
}
