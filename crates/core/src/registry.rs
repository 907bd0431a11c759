//! A replica's share of the job registry: which entry runs which key.
//!
//! Safety rests on three rules. A claim counts only when a majority of the shard's replicas at one
//! version granted it. A replica that is asked for its records by a later version refuses every
//! claim at an earlier one from then on. A replica serves a version only after it merged the sealed
//! records of a majority of the version before, one of which served that version.

use std::time::Duration;

use indexmap::map::Entry;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::config::ClusterState;
use crate::ids::{Digest, JobKey, NodeRef, WallMs};
use crate::msg::{Claim, ClaimReply};
use crate::placement::{CLOCK_TOLERANCE, Shard, shard_of};

/// The most records that one replica holds over all shards.
pub const MAX_RECORDS: usize = 500_000;

/// One key's holder.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The entry process that runs the job.
    pub owner: NodeRef,
    /// Its attempt; the highest one that was granted here.
    pub attempt: u32,
    /// The request's digest.
    pub digest: Digest,
    /// Whether the attempt never started anything and no later one may.
    pub closed: bool,
    /// Whether replicas of an earlier version told of different holders, so that it is not known
    /// which one had a majority. Only a higher attempt may hold the key then.
    pub contested: bool,
}

/// A shard's records as one replica sealed them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SealedShard {
    /// The replica.
    pub from: NodeRef,
    /// The shard.
    pub shard: u32,
    /// The version that asked.
    pub version: u64,
    /// Whether the replica served the version before.
    pub served: bool,
    /// Its records.
    pub records: Vec<(JobKey, Record)>,
}

/// A request to collect a shard's records from these processes.
#[derive(Clone, Debug, PartialEq)]
pub struct Collect {
    /// The shard.
    pub shard: u32,
    /// The version that is to be served.
    pub version: u64,
    /// The replicas of the version before.
    pub from: Vec<NodeRef>,
}

#[derive(Debug, Default)]
struct ShardState {
    /// Claims below this version are refused for ever.
    sealed_below: u64,
    /// The version that this replica serves, if it is ready.
    serves: Option<u64>,
    /// The last version that it served.
    served_last: Option<u64>,
    /// The version that it collects for, with the processes that answered.
    collecting: Option<(u64, IndexSet<NodeRef>, bool)>,
    /// Nothing is known of keys created before this time.
    knows_since: WallMs,
    records: IndexMap<JobKey, Record>,
}

/// The shards that one agent process holds.
#[derive(Debug)]
pub struct Registry {
    me: NodeRef,
    shards: IndexMap<u32, ShardState>,
}

impl Registry {
    /// An empty registry of a process that just started.
    pub fn new(me: NodeRef) -> Self {
        Self {
            me,
            shards: IndexMap::new(),
        }
    }

    /// Number of records, over all shards.
    pub fn len(&self) -> usize {
        self.shards.values().map(|shard| shard.records.len()).sum()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Follows a new placement. Returns what must be collected before shards can be served.
    pub fn on_config(&mut self, state: &ClusterState) -> Vec<Collect> {
        let mut collects = Vec::new();
        for (index, shard) in state.shards.iter().enumerate() {
            if shard.has(&self.me) {
                collects.extend(self.follow(index as u32, shard));
            } else if let Some(held) = self.shards.get_mut(&(index as u32)) {
                held.seal(shard.version);
            }
        }
        collects
    }

    fn follow(&mut self, index: u32, shard: &Shard) -> Option<Collect> {
        let held = self.shards.entry(index).or_default();
        if held.serves == Some(shard.version) || held.sealed_below > shard.version {
            return None;
        }
        held.knows_since = held.knows_since.max(shard.knows_since);
        if !shard.must_collect() {
            held.serve(shard.version);
            return None;
        }
        let collect = Collect {
            shard: index,
            version: shard.version,
            from: shard.before.clone(),
        };
        if held
            .collecting
            .as_ref()
            .is_none_or(|(version, ..)| *version != shard.version)
        {
            held.collecting = Some((shard.version, IndexSet::new(), false));
        }
        Some(collect)
    }

    /// Whether all shards that are placed here are served.
    pub fn is_ready(&self, state: &ClusterState) -> bool {
        state
            .shards
            .iter()
            .enumerate()
            .filter(|(_, shard)| shard.has(&self.me))
            .all(|(index, shard)| {
                self.shards
                    .get(&(index as u32))
                    .is_some_and(|held| held.serves == Some(shard.version))
            })
    }

    /// Answers a later version's question: seals the shard and gives its records.
    pub fn seal(&mut self, index: u32, version: u64) -> SealedShard {
        let held = self.shards.entry(index).or_default();
        let served = held.served_last.is_some_and(|last| last + 1 >= version);
        held.seal(version);
        let records = held
            .records
            .iter()
            .map(|(key, record)| (*key, record.clone()))
            .collect();
        SealedShard {
            from: self.me.clone(),
            shard: index,
            version,
            served,
            records,
        }
    }

    /// Takes in the records of one replica of the version before. Returns whether the shard is now
    /// served.
    pub fn on_sealed(&mut self, sealed: SealedShard, shard: &Shard) -> bool {
        let Some(held) = self.shards.get_mut(&sealed.shard) else {
            return false;
        };
        let Some((version, answered, served)) = &mut held.collecting else {
            return false;
        };
        if *version != sealed.version || !shard.before.contains(&sealed.from) {
            return false;
        }
        answered.insert(sealed.from);
        *served |= sealed.served;
        let (version, served) = (*version, *served);
        let majority = answered.len() > shard.before.len() / 2;
        let enough = majority && (served || shard.fallback_since.is_some());
        for (key, record) in sealed.records {
            held.merge(key, record);
        }
        if enough {
            if !served {
                held.knows_since = held
                    .knows_since
                    .max(shard.fallback_since.unwrap_or_default());
            }
            held.serve(version);
        }
        enough
    }

    /// Decides on a claim.
    pub fn claim(&mut self, state: &ClusterState, claim: &Claim) -> ClaimReply {
        let Some((index, _)) = shard_of(state, claim.key) else {
            return ClaimReply::Busy;
        };
        let full = self.len() >= MAX_RECORDS;
        let Some(held) = self.shards.get_mut(&index) else {
            return ClaimReply::Busy;
        };
        if claim.replica != self.me || held.serves != Some(claim.version) {
            return ClaimReply::Busy;
        }
        // A record from before the loss may be a minority's.
        if claim.key.created() < held.knows_since {
            return ClaimReply::Forgotten;
        }
        if let Some(record) = held.records.get(&claim.key) {
            if record.contested && record.closed {
                return ClaimReply::Forgotten;
            }
            let same = record.is_of(&claim.owner, claim.attempt) && !record.contested;
            let older = !same && claim.attempt <= record.attempt;
            let reopens = record.closed && !claim.closed;
            if older || reopens || record.digest != claim.digest {
                return record.as_held();
            }
        } else if full {
            return ClaimReply::Busy;
        }
        let record = Record {
            owner: claim.owner.clone(),
            attempt: claim.attempt,
            digest: claim.digest,
            closed: claim.closed,
            contested: false,
        };
        held.records.insert(claim.key, record);
        ClaimReply::Granted
    }

    /// Drops records of keys that no entry accepts any more.
    pub fn expire(&mut self, wall: WallMs, window: Duration) {
        let oldest = wall.before(window + CLOCK_TOLERANCE * 2);
        for held in self.shards.values_mut() {
            held.records.retain(|key, _| key.created() >= oldest);
            held.records.shrink_to(held.records.len() * 2);
        }
    }
}

impl Record {
    fn is_of(&self, owner: &NodeRef, attempt: u32) -> bool {
        self.owner == *owner && self.attempt == attempt
    }

    /// Joins what another replica knew of the same key.
    fn merge(&mut self, other: Self) {
        let same = self.is_of(&other.owner, other.attempt);
        let contested = self.contested || other.contested;
        if same || self.closed || other.closed || self.attempt == other.attempt {
            self.closed |= other.closed;
            self.contested = contested || !same;
            self.attempt = self.attempt.max(other.attempt);
        } else if other.attempt > self.attempt {
            *self = other;
        }
    }

    fn as_held(&self) -> ClaimReply {
        ClaimReply::Held {
            owner: self.owner.clone(),
            attempt: self.attempt,
            digest: self.digest,
            closed: self.closed,
        }
    }
}

impl ShardState {
    fn seal(&mut self, version: u64) {
        self.sealed_below = self.sealed_below.max(version);
        if self.serves.is_some_and(|serves| serves < version) {
            self.serves = None;
        }
    }

    fn serve(&mut self, version: u64) {
        self.sealed_below = version;
        self.serves = Some(version);
        self.served_last = Some(version);
        self.collecting = None;
    }

    fn merge(&mut self, key: JobKey, record: Record) {
        match self.records.entry(key) {
            Entry::Vacant(entry) => {
                entry.insert(record);
            }
            Entry::Occupied(mut entry) => entry.get_mut().merge(record),
        }
    }
}
