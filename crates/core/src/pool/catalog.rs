//! The catalogue: queues that accept pooled jobs, the pools that serve them, limits for callers.
//!
//! Operators publish it whole under a version of their own. The highest version is in force.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use thiserror::Error;

use crate::ids::Name;

/// Why a catalogue cannot be put in force.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum CatalogError {
    /// A queue names a pool that is not in the catalogue.
    #[error("queue {queue:?} names pool {pool:?}, which is not in the catalogue")]
    UnknownPool {
        /// The queue.
        queue: Name,
        /// The pool.
        pool: Name,
    },
    /// Two queues cannot be told apart.
    #[error("queues {first:?} and {second:?} share host and path prefix")]
    SamePlace {
        /// One.
        first: Name,
        /// The other.
        second: Name,
    },
    /// A queue gives its callers no time.
    #[error("queue {0:?} has a timeout of 0")]
    NoTimeout(Name),
    /// Two objects have one name.
    #[error("two {what} are named {name:?}")]
    SameName {
        /// What they are.
        what: &'static str,
        /// Their name.
        name: Name,
    },
    /// A path prefix is no path.
    #[error("path prefix {prefix:?} of queue {queue:?} does not begin with '/'")]
    BadPrefix {
        /// The queue.
        queue: Name,
        /// Its prefix.
        prefix: Name,
    },
}

/// A queue: where callers reach it, who serves it, what it aims at.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Queue {
    /// Its name, unique in the catalogue.
    pub name: Name,
    /// The host that callers name.
    pub host: Name,
    /// How the caller's path begins.
    pub prefix: Name,
    /// The pool whose workers run its tasks.
    pub pool: Name,
    /// How long one call may take.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
    /// What is added to the job's longest chain of work for its aim.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "aim_ms")]
    pub aim: Duration,
    /// By how much the longest chain of work is stretched for the aim.
    pub slack: f64,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Runs of one task that may end as failed before the job has failed.
    pub max_failures: u32,
    /// Whether only workers that an adviser approves may run its tasks.
    pub advised: bool,
}

/// A pool of workers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pool {
    /// Its name.
    pub name: Name,
    /// The path at which its workers tell their health.
    pub health_path: Name,
    /// Connections that a worker takes.
    pub max_connections: u32,
    /// Whether its workers refuse what does not fit.
    pub guards_room: bool,
    /// Whether its machines are switched off.
    pub standby: bool,
}

/// Limits for callers' connections; `None` leaves the product's default in force.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: Option<u32>,
    /// Bytes of a request's body.
    pub body_bytes: Option<u32>,
    /// Time for a request's head to arrive.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "head_ms")]
    pub head_time: Option<Duration>,
    /// Time that a connection may idle.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "idle_ms")]
    pub idle_time: Option<Duration>,
}

/// All that operators publish at once.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Catalog {
    /// The operators' version.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// The text that was published, told to operators who read it back.
    pub document: Arc<str>,
}

impl Catalog {
    /// Checks what one field alone cannot show.
    pub fn check(&self) -> Result<(), CatalogError> {
        let mut pools = IndexSet::new();
        for pool in &self.pools {
            if !pools.insert(&pool.name) {
                return Err(CatalogError::SameName {
                    what: "pools",
                    name: pool.name.clone(),
                });
            }
        }
        let mut names = IndexSet::new();
        let mut places = IndexMap::new();
        for queue in &self.queues {
            check_queue(queue, &pools)?;
            if !names.insert(&queue.name) {
                return Err(CatalogError::SameName {
                    what: "queues",
                    name: queue.name.clone(),
                });
            }
            if let Some(first) = places.insert((&queue.host, &queue.prefix), &queue.name) {
                return Err(CatalogError::SamePlace {
                    first: first.clone(),
                    second: queue.name.clone(),
                });
            }
        }
        Ok(())
    }
}

fn check_queue(queue: &Queue, pools: &IndexSet<&Name>) -> Result<(), CatalogError> {
    if !pools.contains(&queue.pool) {
        return Err(CatalogError::UnknownPool {
            queue: queue.name.clone(),
            pool: queue.pool.clone(),
        });
    }
    if queue.timeout.is_zero() {
        return Err(CatalogError::NoTimeout(queue.name.clone()));
    }
    if !queue.prefix.starts_with('/') {
        return Err(CatalogError::BadPrefix {
            queue: queue.name.clone(),
            prefix: queue.prefix.clone(),
        });
    }
    Ok(())
}

/// Finds the queue of a request.
#[derive(Clone, Debug, Default)]
pub struct QueueTable {
    /// Queues by host, longest prefix first.
    by_host: IndexMap<Name, Vec<Arc<Queue>>>,
}

impl QueueTable {
    /// The table of a catalogue.
    pub fn new(catalog: &Catalog) -> Self {
        let mut by_host: IndexMap<Name, Vec<Arc<Queue>>> = IndexMap::new();
        for queue in &catalog.queues {
            let queues = by_host.entry(queue.host.clone()).or_default();
            queues.push(Arc::new(queue.clone()));
        }
        for queues in by_host.values_mut() {
            queues.sort_by_key(|queue| std::cmp::Reverse(queue.prefix.len()));
        }
        Self { by_host }
    }

    /// The queue whose host matches and whose prefix is the longest that `path` begins with.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Queue>> {
        let queues = self.by_host.get(host)?;
        queues.iter().find(|queue| path.starts_with(&*queue.prefix))
    }
}
