//! The shards of the job registry that one replica holds. The registry records which entry owns
//! each job key.
//!
//! Safety rests on three rules:
//!
//! - A claim is valid only if a majority of the shard's replicas granted it at the same placement
//!   version.
//! - Once a replica has been asked for its records on behalf of a later version, it refuses every
//!   claim at an earlier one.
//! - A replica serves a version only after it has merged the sealed records of a majority of the
//!   previous version's replicas, at least one of which served the previous version.

use std::time::Duration;

use indexmap::map::Entry;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::config::ClusterState;
use crate::ids::{Digest, JobKey, NodeRef, WallMs};
use crate::msg::{Claim, ClaimReply};
use crate::placement::{CLOCK_TOLERANCE, Shard, shard_of};

/// Maximum number of records that one replica holds, over all shards. Claims of new keys beyond it
/// are answered [`ClaimReply::Busy`].
pub const MAX_RECORDS: usize = 500_000;

/// Maximum number of records in one [`SealedShard`], so that it fits into one message.
pub const MAX_SEALED_RECORDS: usize = 50_000;

/// The owner of one job key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The entry process that runs the job.
    pub owner: NodeRef,
    /// The highest attempt that this replica granted.
    pub attempt: u32,
    /// Digest of the job request.
    pub digest: Digest,
    /// Whether the key is closed: no task of the job was started, and none may be by a later
    /// attempt.
    pub closed: bool,
    /// Whether replicas of an earlier version reported different owners, so that it is not known
    /// which one had a majority. Only a higher attempt may then claim the key.
    pub contested: bool,
}

/// The records of a shard on one replica, sealed against claims at earlier versions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SealedShard {
    /// The replica that sealed them.
    pub from: NodeRef,
    /// Number of the shard.
    pub shard: u32,
    /// Version on whose behalf they were requested.
    pub version: u64,
    /// Whether the replica served the previous version or a later one.
    pub served: bool,
    /// Records of the replica for the shard, sorted by key.
    pub records: Vec<(JobKey, Record)>,
    /// Whether no records with higher keys follow.
    pub is_last: bool,
}

/// Instruction to collect a shard's records from the previous replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Collect {
    /// Number of the shard.
    pub shard: u32,
    /// Version that is to be served.
    pub version: u64,
    /// Replicas of the previous version.
    pub from: Vec<NodeRef>,
}

/// One shard as held by this replica.
#[derive(Debug, Default)]
struct ShardState {
    /// Claims below this version are refused permanently.
    sealed_below: u64,
    /// Version that this replica serves, if any.
    serves: Option<u64>,
    /// Last version that this replica served.
    served_last: Option<u64>,
    /// Version for which records are being collected, the replicas that answered, and whether one
    /// of them served the previous version.
    collecting: Option<(u64, IndexSet<NodeRef>, bool)>,
    /// Claims of keys created before this time cannot be decided.
    knows_since: WallMs,
    records: IndexMap<JobKey, Record>,
}

/// The registry shards that one agent process holds.
#[derive(Debug)]
pub struct Registry {
    me: NodeRef,
    shards: IndexMap<u32, ShardState>,
}

impl Registry {
    /// Creates an empty registry, as a process holds at its start.
    pub fn new(me: NodeRef) -> Self {
        Self {
            me,
            shards: IndexMap::new(),
        }
    }

    /// Returns the number of records over all shards.
    pub fn len(&self) -> usize {
        self.shards.values().map(|shard| shard.records.len()).sum()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adopts the placement of a new configuration. Returns the records to collect before the
    /// shards that were placed here can be served.
    pub fn on_config(&mut self, state: &ClusterState) -> Vec<Collect> {
        let mut collects = Vec::new();
        for (index, shard) in state.shards.iter().enumerate() {
            if shard.has(&self.me) {
                collects.extend(self.adopt_placement(index as u32, shard));
            } else if let Some(local) = self.shards.get_mut(&(index as u32)) {
                local.seal(shard.version);
            }
        }
        collects
    }

    fn adopt_placement(&mut self, index: u32, shard: &Shard) -> Option<Collect> {
        let local = self.shards.entry(index).or_default();
        if local.serves == Some(shard.version) || local.sealed_below > shard.version {
            return None;
        }
        local.knows_since = local.knows_since.max(shard.knows_since);
        if !shard.must_collect() {
            local.serve(shard.version);
            return None;
        }
        let collect = Collect {
            shard: index,
            version: shard.version,
            from: shard.before.clone(),
        };
        if local
            .collecting
            .as_ref()
            .is_none_or(|(version, ..)| *version != shard.version)
        {
            local.collecting = Some((shard.version, IndexSet::new(), false));
        }
        Some(collect)
    }

    /// Returns whether all shards that are placed here are served.
    pub fn is_ready(&self, state: &ClusterState) -> bool {
        state
            .shards
            .iter()
            .enumerate()
            .filter(|(_, shard)| shard.has(&self.me))
            .all(|(index, shard)| {
                self.shards
                    .get(&(index as u32))
                    .is_some_and(|local| local.serves == Some(shard.version))
            })
    }

    /// Seals a shard below `version` and returns its records with keys above `after`, up to
    /// `max_records`, at the request of a replica of that version. A sealed shard gets no new records.
    pub fn seal(
        &mut self,
        index: u32,
        version: u64,
        after: Option<JobKey>,
        max_records: usize,
    ) -> SealedShard {
        let local = self.shards.entry(index).or_default();
        let served = local.served_last.is_some_and(|last| last + 1 >= version);
        local.seal(version);
        let mut records: Vec<(JobKey, Record)> = local
            .records
            .iter()
            .filter(|(key, _)| after.is_none_or(|after| **key > after))
            .map(|(key, record)| (*key, record.clone()))
            .collect();
        records.sort_unstable_by_key(|(key, _)| *key);
        let is_last = records.len() <= max_records;
        records.truncate(max_records);
        SealedShard {
            from: self.me.clone(),
            shard: index,
            version,
            served,
            records,
            is_last,
        }
    }

    /// Merges records of one replica of the previous version, which counts once its last ones have
    /// arrived. Returns whether this completes the collection, so that the shard is now served.
    pub fn on_sealed(&mut self, sealed: SealedShard, shard: &Shard) -> bool {
        let Some(local) = self.shards.get_mut(&sealed.shard) else {
            return false;
        };
        let Some((version, answered, served)) = &mut local.collecting else {
            return false;
        };
        if *version != sealed.version || !shard.before.contains(&sealed.from) {
            return false;
        }
        if !sealed.is_last {
            for (key, record) in sealed.records {
                local.merge(key, record);
            }
            return false;
        }
        answered.insert(sealed.from);
        *served |= sealed.served;
        let (version, served) = (*version, *served);
        let majority = answered.len() > shard.before.len() / 2;
        let enough = majority && (served || shard.fallback_since.is_some());
        for (key, record) in sealed.records {
            local.merge(key, record);
        }
        if enough {
            if !served {
                local.knows_since = local
                    .knows_since
                    .max(shard.fallback_since.unwrap_or_default());
            }
            local.serve(version);
        }
        enough
    }

    /// Decides a claim, and records it if it is granted.
    pub fn claim(&mut self, state: &ClusterState, claim: &Claim) -> ClaimReply {
        let Some((index, _)) = shard_of(state, claim.key) else {
            return ClaimReply::Busy;
        };
        let full = self.len() >= MAX_RECORDS;
        let Some(local) = self.shards.get_mut(&index) else {
            return ClaimReply::Busy;
        };
        if claim.replica != self.me || local.serves != Some(claim.version) {
            return ClaimReply::Busy;
        }
        // A record from before the loss of a majority may be one that only a minority granted.
        if claim.key.created() < local.knows_since {
            return ClaimReply::Undecidable;
        }
        if let Some(record) = local.records.get(&claim.key) {
            if record.contested && record.closed {
                return ClaimReply::Undecidable;
            }
            let same = record.is_owned_by(&claim.owner, claim.attempt) && !record.contested;
            let older = !same && claim.attempt <= record.attempt;
            let reopens = record.closed && !claim.closed;
            if older || reopens || record.digest != claim.digest {
                return record.to_held_reply();
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
        local.records.insert(claim.key, record);
        ClaimReply::Granted
    }

    /// Drops the records of keys older than `window`, which no entry accepts any more. Twice the
    /// clock tolerance is added.
    pub fn expire(&mut self, wall: WallMs, window: Duration) {
        let oldest = wall.before(window + CLOCK_TOLERANCE * 2);
        for local in self.shards.values_mut() {
            local.records.retain(|key, _| key.created() >= oldest);
            local.records.shrink_to(local.records.len() * 2);
        }
    }
}

impl Record {
    fn is_owned_by(&self, owner: &NodeRef, attempt: u32) -> bool {
        self.owner == *owner && self.attempt == attempt
    }

    /// Merges another replica's record of the same key.
    fn merge(&mut self, other: Self) {
        let same = self.is_owned_by(&other.owner, other.attempt);
        let contested = self.contested || other.contested;
        if same || self.closed || other.closed || self.attempt == other.attempt {
            self.closed |= other.closed;
            self.contested = contested || !same;
            self.attempt = self.attempt.max(other.attempt);
        } else if other.attempt > self.attempt {
            *self = other;
        }
    }

    fn to_held_reply(&self) -> ClaimReply {
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
