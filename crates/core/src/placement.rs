//! Placement of the job registry's shards on agents, and when it changes.

use std::time::Duration;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::config::{Change, ClusterState};
use crate::ids::{Digest, JobKey, Name, NodeRef, WallMs};
use crate::members::{Member, MemberState};
use crate::msg::Role;

/// Number of shards of the registry.
pub const SHARDS: usize = 16;
/// Number of replicas of each shard, placed in distinct failure domains.
pub const REPLICAS: usize = 3;
/// Maximum tolerated difference between the clocks of callers and nodes.
pub const CLOCK_TOLERANCE: Duration = Duration::from_secs(5);

/// Placement of one shard.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Shard {
    /// Number of placements of this shard so far; 0 if it has never been placed.
    pub version: u64,
    /// Processes that hold the shard at this version.
    pub replicas: Vec<NodeRef>,
    /// Processes from which records are collected: the replicas of the previous version. Empty if
    /// there is nothing to collect.
    pub before: Vec<NodeRef>,
    /// The registry cannot decide claims of keys created before this time, since earlier records
    /// were lost.
    pub knows_since: WallMs,
    /// Set if the records of all earlier versions are certainly lost unless a process in `before`
    /// served. If none of them did, claims of keys created before this time cannot be decided.
    pub fallback_since: Option<WallMs>,
    /// Configuration revision that made this placement.
    pub placed_at: u64,
    /// Whether a replica is known to serve this version, so that no earlier version can grant a
    /// claim.
    pub settled: bool,
}

impl Shard {
    /// Returns the number of replicas that form a majority.
    pub fn majority(&self) -> usize {
        self.replicas.len() / 2 + 1
    }

    /// Returns whether `node` is one of the replicas.
    pub fn has(&self, node: &NodeRef) -> bool {
        self.replicas.contains(node)
    }

    /// Returns whether records of the previous version must be collected before this one is served.
    ///
    /// False for the first placement, and for one made after the earlier records were certainly
    /// lost.
    pub fn must_collect(&self) -> bool {
        !self.before.is_empty()
    }
}

/// Returns the number and placement of the shard of `key`, or `None` if the shard has not been
/// placed.
pub fn shard_of(state: &ClusterState, key: JobKey) -> Option<(u32, &Shard)> {
    let index = key.shard(state.shards.len());
    let shard = state.shards.get(index)?;
    (shard.version > 0).then_some((index as u32, shard))
}

/// Returns a change that repairs the placement, if one is needed and possible.
///
/// A replica is replaced if it is not alive, is leaving or was drained. If a majority of a shard's
/// replicas has certainly ended (a newer process has the name, or an operator declared it ended),
/// their records are lost: the next version starts empty and cannot decide claims of keys created
/// before it.
pub fn plan(state: &ClusterState, members: &[Member], wall: WallMs) -> Option<Change> {
    let planner = Planner {
        state,
        members,
        wall,
    };
    let candidates: Vec<&Member> = members.iter().filter(|m| planner.is_candidate(m)).collect();
    let count = state.shards.len().max(SHARDS);
    let mut shards = Vec::new();
    for index in 0..count {
        let current = state.shards.get(index).cloned().unwrap_or_default();
        if let Some(next) = planner.plan_shard(index, &current, &candidates) {
            shards.push((index as u32, next));
        }
    }
    (!shards.is_empty()).then_some(Change::Place { shards })
}

/// Inputs of [`plan`].
struct Planner<'a> {
    state: &'a ClusterState,
    members: &'a [Member],
    wall: WallMs,
}

impl Planner<'_> {
    fn is_candidate(&self, member: &Member) -> bool {
        member.role == Role::Agent
            && member.state == MemberState::Alive
            && !member.leaving
            && !self.state.drained.contains_key(&member.node.name)
    }

    fn plan_shard(&self, index: usize, current: &Shard, agents: &[&Member]) -> Option<Shard> {
        let serving = |node: &&NodeRef| agents.iter().any(|agent| agent.node == **node);
        let kept: Vec<&NodeRef> = current.replicas.iter().filter(serving).collect();
        if current.version > 0 && kept.len() == current.replicas.len() {
            return self.settle(current);
        }
        let replicas = choose_replicas(index, &kept, self.members, agents);
        if replicas.len() < REPLICAS {
            return self.settle(current);
        }
        let lost_until = self.wall.after(CLOCK_TOLERANCE * 2);
        let mut fallback_since = None;
        let (before, knows_since) = if current.version == 0 {
            (Vec::new(), WallMs::default())
        } else if self.is_lost(current) {
            (Vec::new(), lost_until)
        } else if self.can_hand_over(current) || self.must_fall_back(current) {
            let before_lost = self.majority_ended(&current.before);
            fallback_since = before_lost.then_some(lost_until);
            (current.replicas.clone(), current.knows_since)
        } else {
            return self.settle(current);
        };
        let settled = before.is_empty();
        Some(Shard {
            version: current.version + 1,
            replicas,
            before,
            knows_since,
            fallback_since,
            placed_at: self.state.revision + 1,
            settled,
        })
    }

    /// Returns the placement marked as settled, if it is served and not yet marked.
    fn settle(&self, current: &Shard) -> Option<Shard> {
        let served = current
            .replicas
            .iter()
            .any(|node| self.is_ready(node, current));
        (current.version > 0 && !current.settled && served).then(|| Shard {
            settled: true,
            ..current.clone()
        })
    }

    fn is_ready(&self, node: &NodeRef, shard: &Shard) -> bool {
        self.reachable(node)
            .is_some_and(|member| member.ready_for >= shard.placed_at)
    }

    fn reachable(&self, node: &NodeRef) -> Option<&Member> {
        self.members
            .iter()
            .find(|m| m.node == *node && m.state != MemberState::Dead)
    }

    /// Returns whether a later version can collect the records of this one, even if one more
    /// replica is lost.
    fn can_hand_over(&self, current: &Shard) -> bool {
        let reachable = current
            .replicas
            .iter()
            .filter(|node| self.reachable(node).is_some())
            .count();
        let ready = current
            .replicas
            .iter()
            .filter(|node| self.is_ready(node, current))
            .count();
        let no_further_ready = ready > 0 && self.majority_ended(&current.before);
        let enough = ready >= current.majority() || no_further_ready;
        current.settled && reachable >= current.majority() && enough
    }

    /// Returns whether no further replica of this version can begin to serve it, since a majority
    /// of the previous version is lost, while a majority of this version is reachable.
    fn must_fall_back(&self, current: &Shard) -> bool {
        let reachable = current
            .replicas
            .iter()
            .filter(|node| self.reachable(node).is_some());
        self.majority_ended(&current.before) && reachable.count() >= current.majority()
    }

    fn majority_ended(&self, nodes: &[NodeRef]) -> bool {
        nodes.iter().filter(|node| self.has_ended(node)).count() > nodes.len() / 2
    }

    /// Returns whether no version of the shard can grant a claim any more, and none can be asked
    /// for its records.
    fn is_lost(&self, current: &Shard) -> bool {
        self.majority_ended(&current.replicas)
            && (current.settled || self.majority_ended(&current.before))
    }

    /// Returns whether the process has certainly ended.
    fn has_ended(&self, node: &NodeRef) -> bool {
        let later = |m: &Member| m.node.name == node.name && m.node.incarnation > node.incarnation;
        let forgotten = self.state.forgotten.get(&node.name);
        self.members.iter().any(later) || forgotten.is_some_and(|last| *last >= node.incarnation)
    }
}

/// Keeps the replicas in `kept` and adds agents from other failure domains, ranked by rendezvous
/// hashing, up to [`REPLICAS`].
fn choose_replicas(
    index: usize,
    kept: &[&NodeRef],
    members: &[Member],
    candidates: &[&Member],
) -> Vec<NodeRef> {
    let domain_of = |node: &NodeRef| -> Option<Name> {
        members
            .iter()
            .find(|m| m.node == *node)
            .map(|m| m.domain.clone())
    };
    let mut chosen: Vec<NodeRef> = kept.iter().map(|node| (*node).clone()).collect();
    let mut domains: IndexSet<Name> = chosen.iter().filter_map(domain_of).collect();
    let mut ranked: Vec<&&Member> = candidates.iter().collect();
    ranked.sort_by_key(|m| Digest::of(&[&index.to_le_bytes(), m.node.name.as_bytes()]).0);
    for member in ranked {
        if chosen.len() >= REPLICAS {
            break;
        }
        if domains.insert(member.domain.clone()) {
            chosen.push(member.node.clone());
        }
    }
    chosen
}
