//! Names, keys and incarnations.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// A shared immutable name of a node, tenant, service or preset.
pub type Name = Arc<str>;

/// Wall-clock time in milliseconds since the Unix epoch.
///
/// Used only for ages of keys and incarnations, never for leases or timeouts.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct WallMs(pub u64);

impl WallMs {
    /// The time `d` later.
    #[must_use]
    pub fn after(self, d: Duration) -> Self {
        Self(self.0.saturating_add(d.as_millis() as u64))
    }

    /// The time `d` earlier, not before the epoch.
    #[must_use]
    pub fn before(self, d: Duration) -> Self {
        Self(self.0.saturating_sub(d.as_millis() as u64))
    }
}

/// One start of one process: a node's name and the time at which this process began.
///
/// Invariant: of two processes with the same name, the later one has the higher incarnation.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct NodeRef {
    /// The node's name, unique in the cluster.
    pub name: Name,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

impl fmt::Display for NodeRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}

/// A job's key: the caller's `UUIDv7`, unique per tenant, or one that the entry made.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct JobKey(pub u128);

impl JobKey {
    /// Reads a caller's key; `None` unless it is a `UUIDv7`.
    pub fn parse(text: &str) -> Option<Self> {
        let id = Uuid::parse_str(text).ok()?;
        (id.get_version_num() == 7).then_some(Self(id.as_u128()))
    }

    /// Makes the key with this creation time and these random bits.
    pub fn new(created: WallMs, random: u128) -> Self {
        let time = u128::from(created.0 & 0xFFFF_FFFF_FFFF) << 80;
        let low = random & 0x0000_0000_0000_0FFF_3FFF_FFFF_FFFF_FFFF;
        Self(time | low | (7 << 76) | (0b10 << 62))
    }

    /// The creation time that the key carries.
    pub fn created(self) -> WallMs {
        WallMs((self.0 >> 80) as u64)
    }

    /// The shard of the registry that holds this key.
    pub fn shard(self, shards: usize) -> usize {
        let mixed = (self.0 as u64) ^ ((self.0 >> 64) as u64);
        (mixed.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) as usize % shards.max(1)
    }
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Uuid::from_u128(self.0).fmt(f)
    }
}

/// A short digest that ties a result to the request it answers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Digest(pub u64);

impl Digest {
    /// The digest of these byte strings, each with its length.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut word = [0; 8];
        word.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(word))
    }
}
