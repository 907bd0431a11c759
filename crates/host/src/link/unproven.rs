//! Incoming links that have not proved the cluster's key yet: their number is bounded, and so is the
//! time that each may take while others wait.

use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::metrics;

/// Time after which a link without a proof is closed if another one needs its place.
const PROOF_TIME: Duration = Duration::from_millis(500);
/// Time after which a link without a proof is closed in any case.
const MAX_PROOF_TIME: Duration = Duration::from_secs(10);

/// The incoming links without a proof, oldest first.
#[derive(Debug)]
pub struct Unproven {
    max: usize,
    links: Mutex<Links>,
}

#[derive(Debug, Default)]
struct Links {
    next_id: u64,
    open: IndexMap<u64, (Instant, Arc<TcpStream>)>,
}

/// Held by a link until it has proved the key.
#[derive(Debug)]
pub(super) struct AwaitedProof {
    unproven: Arc<Unproven>,
    id: u64,
}

impl Unproven {
    /// Returns an empty list of at most `max` links.
    pub fn new(max: usize) -> Arc<Self> {
        Arc::new(Self {
            max,
            links: Mutex::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a link and closes those that have taken too long; `None` if there is no place.
    pub(super) fn register(
        self: &Arc<Self>,
        now: Instant,
        stream: &Arc<TcpStream>,
    ) -> Option<AwaitedProof> {
        let mut links = self.lock();
        while let Some((_, (since, oldest))) = links.open.first() {
            let is_full = links.open.len() >= self.max;
            let limit = if is_full { PROOF_TIME } else { MAX_PROOF_TIME };
            if now.duration_since(*since) < limit {
                break;
            }
            let _ = oldest.shutdown(Shutdown::Both);
            count("time");
            links.open.shift_remove_index(0);
        }
        if links.open.len() >= self.max {
            count("connections");
            return None;
        }
        let id = links.next_id;
        links.next_id += 1;
        links.open.insert(id, (now, stream.clone()));
        let unproven = self.clone();
        Some(AwaitedProof { unproven, id })
    }
}

fn count(cause: &str) {
    metrics::STRANGERS_CLOSED
        .with_label_values(&["link", cause])
        .inc();
}

impl Drop for AwaitedProof {
    fn drop(&mut self) {
        self.unproven.lock().open.shift_remove(&self.id);
    }
}
