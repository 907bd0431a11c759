//! What a leader knows of another server, and how much it sends to one at a time.

use std::time::Instant;

use super::transfer::Outgoing;

/// Limits of what a leader sends to another server at a time.
///
/// Heartbeats wait behind longer messages on the same link, so a message takes far less time than an
/// election timeout, also on a slow link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SendLimits {
    /// Maximum encoded length of the entries in one [`Body::Append`](super::Body::Append), in bytes. A longer entry is
    /// sent alone.
    pub batch_bytes: usize,
    /// Encoded length in bytes of the entries sent and not yet acknowledged, from which on only
    /// heartbeats are sent.
    pub in_flight_bytes: usize,
    /// Maximum length of the data in one [`Body::Install`](super::Body::Install), in bytes.
    pub chunk_bytes: usize,
}

impl Default for SendLimits {
    fn default() -> Self {
        Self {
            batch_bytes: 128 * 1024,
            in_flight_bytes: 512 * 1024,
            chunk_bytes: 128 * 1024,
        }
    }
}

/// What a leader tracks for a voter or learner.
#[derive(Debug)]
pub(super) struct Progress {
    /// Index of the next entry to send.
    pub(super) next: u64,
    /// Index of the first entry that was sent and is not acknowledged; `next` if there is none.
    pub(super) unacked_from: u64,
    /// Index of the last entry known to be replicated.
    pub(super) matched: u64,
    /// Send time of the last acknowledged round.
    pub(super) acked_at: Option<Instant>,
    /// Number of the last acknowledged round.
    pub(super) acked_round: u64,
    /// Time of the last message from the server.
    pub(super) heard_at: Instant,
    /// The snapshot that is being sent to it, if one is.
    pub(super) snapshot: Option<Outgoing>,
}

impl Progress {
    /// Returns the progress of a server of which nothing is known, to which the entry `next` is
    /// sent first.
    pub(super) fn new(now: Instant, next: u64, acked_at: Option<Instant>) -> Self {
        Self {
            next,
            unacked_from: next,
            matched: 0,
            acked_at,
            acked_round: 0,
            heard_at: now,
            snapshot: None,
        }
    }
}
