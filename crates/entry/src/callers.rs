//! Callers whose requests wait for the answer to a job.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use flume::{Receiver, Sender};
use indexmap::IndexMap;
use rw_core::answer::Answer;

/// The waiting callers of this entry. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct Callers(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    next_number: AtomicU64,
    waiting: AtomicUsize,
    by_number: Mutex<IndexMap<u64, Sender<Answer>>>,
}

/// A waiting caller. Dropping it removes the caller, which no longer counts towards the limit.
#[derive(Debug)]
pub struct Caller {
    /// Identifies the caller in [`Callers::answer`]; unique in this process.
    pub number: u64,
    /// Receives the answer to its job.
    pub rx: Receiver<Answer>,
    callers: Callers,
}

impl Callers {
    /// Adds a caller. Returns `None` if `max` callers are waiting already.
    pub fn add(&self, max: usize) -> Option<Caller> {
        if self.0.waiting.fetch_add(1, Ordering::AcqRel) >= max {
            self.0.waiting.fetch_sub(1, Ordering::AcqRel);
            return None;
        }
        let number = self.0.next_number.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = flume::bounded(1);
        self.0
            .by_number
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(number, tx);
        Some(Caller {
            number,
            rx,
            callers: self.clone(),
        })
    }

    /// Sends the answer to the caller with this number, if it still waits.
    pub fn answer(&self, number: u64, answer: Answer) {
        let tx = self
            .0
            .by_number
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .swap_remove(&number);
        if let Some(tx) = tx {
            let _ = tx.try_send(answer);
        }
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        let mut by_number = self
            .callers
            .0
            .by_number
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        by_number.swap_remove(&self.number);
        self.callers.0.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
