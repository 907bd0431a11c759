//! An entry's claim of a job's key at a majority of the shard's replicas.

use std::time::{Duration, Instant};

use indexmap::IndexSet;

use crate::ids::{Digest, NodeRef};
use crate::msg::ClaimReply;
use crate::placement::Shard;

/// Time after which a replica that did not answer is asked again, and the others too.
pub const CLAIM_RETRY: Duration = Duration::from_millis(50);

/// What a round of claims came to.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimState {
    /// Answers are missing.
    Waiting,
    /// A majority granted it.
    Won,
    /// Another owner or attempt holds it; the highest attempt seen.
    Held(Holder),
    /// The registry cannot know whether the key ran.
    Forgotten,
}

/// Who holds a key.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// The entry process.
    pub owner: NodeRef,
    /// Its attempt.
    pub attempt: u32,
    /// Its request's digest.
    pub digest: Digest,
    /// Whether it closed the key.
    pub closed: bool,
}

/// One round of claims at one attempt and one placement version.
#[derive(Debug)]
pub struct ClaimRound {
    /// The attempt that is claimed.
    pub attempt: u32,
    /// The placement version that is claimed at.
    pub version: u64,
    /// Whether the key is to be closed.
    pub closed: bool,
    replicas: Vec<NodeRef>,
    granted: IndexSet<NodeRef>,
    held: Option<Holder>,
    forgotten: usize,
    answered: IndexSet<NodeRef>,
    asked_at: Option<Instant>,
}

impl ClaimRound {
    /// A round at a shard's present placement.
    pub fn new(attempt: u32, shard: &Shard, closed: bool) -> Self {
        Self {
            attempt,
            version: shard.version,
            closed,
            replicas: shard.replicas.clone(),
            granted: IndexSet::new(),
            held: None,
            forgotten: 0,
            answered: IndexSet::new(),
            asked_at: None,
        }
    }

    fn majority(&self) -> usize {
        self.replicas.len() / 2 + 1
    }

    /// The replicas to ask now: at first just a majority of those linked, later all that are open.
    pub fn to_ask<F>(&mut self, now: Instant, is_linked: F) -> Vec<NodeRef>
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
        let open = self
            .replicas
            .iter()
            .filter(|node| !self.granted.contains(*node));
        let linked = open.filter(|node| is_linked(node)).cloned();
        if first {
            linked.take(self.majority()).collect()
        } else {
            linked.collect()
        }
    }

    /// Takes in a replica's reply.
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
            ClaimReply::Forgotten => self.forgotten += 1,
            ClaimReply::Busy => return ClaimState::Waiting,
        }
        self.answered.insert(from.clone());
        self.state()
    }

    fn state(&self) -> ClaimState {
        if self.granted.len() >= self.majority() {
            return ClaimState::Won;
        }
        if let Some(holder) = &self.held {
            return ClaimState::Held(holder.clone());
        }
        if self.forgotten > 0 {
            ClaimState::Forgotten
        } else {
            ClaimState::Waiting
        }
    }
}
