//! An entry's claim of a job's key, granted by a majority of the shard's replicas.

use std::time::{Duration, Instant};

use indexmap::IndexSet;

use crate::ids::{Digest, NodeRef};
use crate::msg::ClaimReply;
use crate::placement::Shard;

/// Interval at which the claim is sent again to all linked replicas that have not granted it.
pub const CLAIM_RETRY: Duration = Duration::from_millis(50);

/// The state of a round of claims.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimState {
    /// More replies are needed.
    Waiting,
    /// A majority granted the claim.
    Granted,
    /// Another owner or a higher attempt holds the key; the holder with the highest attempt seen.
    Held(Holder),
    /// A replica cannot decide the claim, so the registry cannot tell whether the job ran.
    Undecidable,
}

/// The holder of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// The entry process.
    pub owner: NodeRef,
    /// The attempt at which it holds the key.
    pub attempt: u32,
    /// Digest of its request.
    pub digest: Digest,
    /// Whether it closed the key, so that the job never runs under it.
    pub closed: bool,
}

/// One round of claims at one attempt and one placement version.
#[derive(Debug)]
pub struct ClaimRound {
    /// The attempt that is claimed.
    pub attempt: u32,
    /// The placement version that is claimed at.
    pub version: u64,
    /// Whether the claim is to close the key.
    pub closed: bool,
    replicas: Vec<NodeRef>,
    granted: IndexSet<NodeRef>,
    held: Option<Holder>,
    undecidable: usize,
    answered: IndexSet<NodeRef>,
    asked_at: Option<Instant>,
}

impl ClaimRound {
    /// Returns a round at a shard's present placement.
    pub fn new(attempt: u32, shard: &Shard, closed: bool) -> Self {
        Self {
            attempt,
            version: shard.version,
            closed,
            replicas: shard.replicas.clone(),
            granted: IndexSet::new(),
            held: None,
            undecidable: 0,
            answered: IndexSet::new(),
            asked_at: None,
        }
    }

    fn majority(&self) -> usize {
        self.replicas.len() / 2 + 1
    }

    /// Returns the replicas to send the claim to now.
    ///
    /// The first call returns linked replicas up to a majority. Calls at least [`CLAIM_RETRY`]
    /// later return all linked replicas that have not granted the claim; calls in between return
    /// none.
    pub fn replicas_to_ask<F>(&mut self, now: Instant, is_linked: F) -> Vec<NodeRef>
    where
        F: Fn(&NodeRef) -> bool,
    {
        if self
            .asked_at
            .is_some_and(|at| now.duration_since(at) < CLAIM_RETRY)
        {
            return Vec::new();
        }
        let first = self.asked_at.is_none();
        self.asked_at = Some(now);
        let pending = self
            .replicas
            .iter()
            .filter(|node| !self.granted.contains(*node));
        let linked = pending.filter(|node| is_linked(node)).cloned();
        if first {
            linked.take(self.majority()).collect()
        } else {
            linked.collect()
        }
    }

    /// Records a reply and returns the new state; replies from nodes that are not replicas of the
    /// shard are ignored.
    pub fn on_reply(&mut self, from: &NodeRef, reply: ClaimReply) -> ClaimState {
        if !self.replicas.contains(from) {
            return ClaimState::Waiting;
        }
        match reply {
            ClaimReply::Granted => {
                self.granted.insert(from.clone());
            }
            ClaimReply::Held {
                owner,
                attempt,
                digest,
                closed,
            } => {
                let higher = self.held.as_ref().is_none_or(|held| attempt > held.attempt);
                if higher {
                    self.held = Some(Holder {
                        owner,
                        attempt,
                        digest,
                        closed,
                    });
                }
            }
            ClaimReply::Undecidable => self.undecidable += 1,
            ClaimReply::Busy => return ClaimState::Waiting,
        }
        self.answered.insert(from.clone());
        self.state()
    }

    fn state(&self) -> ClaimState {
        if self.granted.len() >= self.majority() {
            return ClaimState::Granted;
        }
        if let Some(holder) = &self.held {
            return ClaimState::Held(holder.clone());
        }
        if self.undecidable > 0 {
            ClaimState::Undecidable
        } else {
            ClaimState::Waiting
        }
    }
}
