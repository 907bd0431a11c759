//! Which agents hold each shard of the job registry, and when a shard moves.

use std::time::Duration;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::config::{Change, ClusterState};
use crate::ids::{Digest, JobKey, Name, NodeRef, WallMs};
use crate::members::{Member, MemberState};
use crate::msg::Role;

/// Shards of the registry.
pub const SHARDS: usize = 16;
/// Replicas of each shard, in distinct failure domains.
pub const REPLICAS: usize = 3;
/// Clocks of callers and nodes differ by at most this.
pub const CLOCK_TOLERANCE: Duration = Duration::from_secs(5);

/// Placement of one shard.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Shard {
    /// Rises by one with each placement of this shard; 0 before the first.
    pub version: u64,
    /// The processes that hold it now.
    pub replicas: Vec<NodeRef>,
    /// The processes that held it at the version before.
    pub before: Vec<NodeRef>,
    /// Nothing is known of keys that were created before this time.
    pub knows_since: WallMs,
    /// Set when the knowledge of all earlier versions is surely lost unless one of `before` served:
    /// then nothing is known of keys that were created before this time.
    pub fallback_since: Option<WallMs>,
    /// The configuration's revision that placed this version.
    pub placed_at: u64,
    /// Whether a replica serves this version, so that no earlier version can grant a claim.
    pub settled: bool,
}

impl Shard {
    /// Replicas that make a majority.
    pub fn majority(&self) -> usize {
        self.replicas.len() / 2 + 1
    }

    /// Whether `node` is one of the replicas.
    pub fn has(&self, node: &NodeRef) -> bool {
        self.replicas.contains(node)
    }

    /// Whether records of the version before must be collected before this one serves.
    ///
    /// False for the first placement, and for one made after the old knowledge was surely lost.
    pub fn must_collect(&self) -> bool {
        !self.before.is_empty()
    }
}

/// The shard of `key`, if the registry is placed.
pub fn shard_of(state: &ClusterState, key: JobKey) -> Option<(u32, &Shard)> {
    let index = key.shard(state.shards.len());
    let shard = state.shards.get(index)?;
    (shard.version > 0).then_some((index as u32, shard))
}

/// The change that mends the placement, if one is needed.
///
/// A replica is replaced when it is not alive. When a majority of a shard's replicas is surely gone
/// (a newer process has the name, or an operator declared it), their knowledge is lost: the next
/// version starts empty and knows nothing of keys created before it.
pub fn plan(state: &ClusterState, members: &[Member], wall: WallMs) -> Option<Change> {
    let view = View {
        state,
        members,
        wall,
    };
    let candidates: Vec<&Member> = members.iter().filter(|m| view.is_candidate(m)).collect();
    let count = state.shards.len().max(SHARDS);
    let mut shards = Vec::new();
    for index in 0..count {
        let present = state.shards.get(index).cloned().unwrap_or_default();
        if let Some(next) = view.plan_shard(index, &present, &candidates) {
            shards.push((index as u32, next));
        }
    }
    (!shards.is_empty()).then_some(Change::Place { shards })
}

struct View<'a> {
    state: &'a ClusterState,
    members: &'a [Member],
    wall: WallMs,
}

impl View<'_> {
    fn is_candidate(&self, member: &Member) -> bool {
        member.role == Role::Agent
            && member.state == MemberState::Alive
            && !member.leaving
            && !self.state.drained.contains_key(&member.node.name)
    }

    fn plan_shard(&self, index: usize, present: &Shard, agents: &[&Member]) -> Option<Shard> {
        let serving = |node: &&NodeRef| agents.iter().any(|agent| agent.node == **node);
        let kept: Vec<&NodeRef> = present.replicas.iter().filter(serving).collect();
        if present.version > 0 && kept.len() == present.replicas.len() {
            return self.settle(present);
        }
        let replicas = choose(index, &kept, self.members, agents);
        if replicas.len() < REPLICAS {
            return self.settle(present);
        }
        let lost_until = self.wall.after(CLOCK_TOLERANCE * 2);
        let mut fallback_since = None;
        let (before, knows_since) = if present.version == 0 {
            (Vec::new(), WallMs::default())
        } else if self.is_lost(present) {
            (Vec::new(), lost_until)
        } else if self.can_hand_over(present) || self.must_fall_back(present) {
            let before_lost = self.majority_gone(&present.before);
            fallback_since = before_lost.then_some(lost_until);
            (present.replicas.clone(), present.knows_since)
        } else {
            return self.settle(present);
        };
        let settled = before.is_empty();
        Some(Shard {
            version: present.version + 1,
            replicas,
            before,
            knows_since,
            fallback_since,
            placed_at: self.state.revision + 1,
            settled,
        })
    }

    /// Records that a version is served.
    fn settle(&self, present: &Shard) -> Option<Shard> {
        let served = present
            .replicas
            .iter()
            .any(|node| self.is_ready(node, present));
        (present.version > 0 && !present.settled && served).then(|| Shard {
            settled: true,
            ..present.clone()
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

    /// Whether a later version can collect what this one knows, also when one more replica is lost.
    fn can_hand_over(&self, present: &Shard) -> bool {
        let reachable = present
            .replicas
            .iter()
            .filter(|node| self.reachable(node).is_some())
            .count();
        let ready = present
            .replicas
            .iter()
            .filter(|node| self.is_ready(node, present))
            .count();
        let last = ready > 0 && self.majority_gone(&present.before);
        let enough = ready >= present.majority() || last;
        present.settled && reachable >= present.majority() && enough
    }

    /// Whether no more replicas of this version can come to serve it, since the version before it is
    /// lost.
    fn must_fall_back(&self, present: &Shard) -> bool {
        let reachable = present
            .replicas
            .iter()
            .filter(|node| self.reachable(node).is_some());
        self.majority_gone(&present.before) && reachable.count() >= present.majority()
    }

    fn majority_gone(&self, nodes: &[NodeRef]) -> bool {
        nodes.iter().filter(|node| self.is_gone(node)).count() > nodes.len() / 2
    }

    /// Whether no version of the shard can grant a claim any more, and none can be asked.
    fn is_lost(&self, present: &Shard) -> bool {
        self.majority_gone(&present.replicas)
            && (present.settled || self.majority_gone(&present.before))
    }

    /// Whether the process has surely ended.
    fn is_gone(&self, node: &NodeRef) -> bool {
        let later = |m: &Member| m.node.name == node.name && m.node.incarnation > node.incarnation;
        let forgotten = self.state.forgotten.get(&node.name);
        self.members.iter().any(later) || forgotten.is_some_and(|last| *last >= node.incarnation)
    }
}

/// Keeps the serving replicas and adds agents from other failure domains, by rendezvous hashing.
fn choose(
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
