//! The catalogue: the queues that accept pooled jobs, the pools that serve them, and limits for
//! callers.
//!
//! Operators publish the whole catalogue under a version number of their choice. The highest
//! version is in force.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use thiserror::Error;

use crate::ids::Name;

/// The reason why a catalogue is invalid.
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
    /// Two queues have the same host and path prefix.
    #[error("queues {first:?} and {second:?} share host and path prefix")]
    SameAddress {
        /// The queue that is listed first.
        first: Name,
        /// The queue that is listed later.
        second: Name,
    },
    /// A queue has a timeout of 0.
    #[error("queue {0:?} has a timeout of 0")]
    NoTimeout(Name),
    /// Two queues or two pools have the same name.
    #[error("two {what} are named {name:?}")]
    SameName {
        /// The kind: `queues` or `pools`.
        what: &'static str,
        /// The name.
        name: Name,
    },
    /// A path prefix does not begin with `/`.
    #[error("path prefix {prefix:?} of queue {queue:?} does not begin with '/'")]
    BadPrefix {
        /// The queue.
        queue: Name,
        /// The path prefix.
        prefix: Name,
    },
}

/// A queue: its address for callers, the pool that serves it, and its time limits.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Queue {
    /// Its name, unique in the catalogue.
    pub name: Name,
    /// Host name in the caller's request.
    pub host: Name,
    /// Prefix of the path in the caller's request; begins with `/`.
    pub prefix: Name,
    /// The pool whose workers run its tasks.
    pub pool: Name,
    /// Maximum time for one call; not 0.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
    /// Constant part of a job's aim: the aim is the critical path times `slack`, plus this time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "aim_ms")]
    pub aim: Duration,
    /// Factor by which the critical path is multiplied in a job's aim.
    pub slack: f64,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs of one task after which the job fails; 0 counts as 1.
    pub max_failures: u32,
    /// Whether its tasks may run only on workers approved by an adviser.
    pub advised: bool,
}

/// A pool of workers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pool {
    /// Its name, unique in the catalogue.
    pub name: Name,
    /// Path of the health endpoint of its workers.
    pub health_path: Name,
    /// Maximum number of connections to a worker.
    pub max_connections: u32,
    /// Whether its workers refuse runs that exceed their free capacity.
    pub guards_room: bool,
    /// Whether its machines are switched off.
    pub standby: bool,
}

/// Limits for callers' connections; `None` selects the default.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub head_bytes: Option<u32>,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: Option<u32>,
    /// Maximum time for a request's head to arrive.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "head_ms")]
    pub head_time: Option<Duration>,
    /// Maximum time that a connection may be idle.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "idle_ms")]
    pub idle_time: Option<Duration>,
}

/// A catalogue as published by operators.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Catalog {
    /// Version number, chosen by the operators.
    pub version: u64,
    /// Queues, with distinct names and addresses.
    pub queues: Vec<Queue>,
    /// Pools, with distinct names.
    pub pools: Vec<Pool>,
    /// Limits for callers' connections.
    pub limits: CallerLimits,
    /// The published text, returned to operators who read the catalogue.
    pub document: Arc<str>,
}

impl Catalog {
    /// Checks that the catalogue is valid, and returns the first violation otherwise.
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
        let mut addresses = IndexMap::new();
        for queue in &self.queues {
            check_queue(queue, &pools)?;
            if !names.insert(&queue.name) {
                return Err(CatalogError::SameName {
                    what: "queues",
                    name: queue.name.clone(),
                });
            }
            if let Some(first) = addresses.insert((&queue.host, &queue.prefix), &queue.name) {
                return Err(CatalogError::SameAddress {
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

/// Lookup table from the host and path of a request to its queue.
#[derive(Clone, Debug, Default)]
pub struct QueueTable {
    /// Queues by host, those with the longest path prefix first.
    by_host: IndexMap<Name, Vec<Arc<Queue>>>,
}

impl QueueTable {
    /// Creates the table of a catalogue.
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

    /// Returns the queue with this name.
    pub fn named(&self, name: &str) -> Option<&Arc<Queue>> {
        let mut queues = self.by_host.values().flatten();
        queues.find(|queue| &*queue.name == name)
    }

    /// Returns the queue of `host` with the longest path prefix that `path` begins with.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Queue>> {
        let queues = self.by_host.get(host)?;
        queues.iter().find(|queue| path.starts_with(&*queue.prefix))
    }
}
