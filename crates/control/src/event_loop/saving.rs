//! Saving of the log's records before anything that follows from them is sent.
//!
//! While a write fails, as on a full disk, the node takes no part in the log: it handles no message
//! of it, answers no change and confirms no read, as if it were suspended. It goes on to serve what
//! it knows and repeats the write until it succeeds.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rw_core::msg::Msg;
use rw_core::raft::Effects;
use rw_host::metrics;

use super::{ControlError, EventLoop};
use crate::api::ChangeReply;
use crate::store::StoreError;

/// Number of bytes appended to the journal above which it is compacted to a snapshot. The limit is
/// a twelfth of a small disk.
const MAX_APPENDED_BYTES: u64 = 10 * 1024 * 1024;
/// Pause between two attempts to save the same records.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two log lines about records that cannot be saved.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Effects that wait until their records are saved.
pub(super) struct Unsaved {
    effects: Effects,
    /// When the first attempt failed.
    since: Instant,
    next_attempt: Instant,
    next_log: Instant,
}

impl EventLoop {
    /// Makes records durable, then sends messages and delivers outcomes, so that nothing is
    /// acknowledged before it is on disk.
    pub(super) fn apply_effects(
        &mut self,
        now: Instant,
        mut effects: Effects,
    ) -> Result<(), ControlError> {
        if self.unsaved.is_some() {
            return Ok(());
        }
        match self.save(&mut effects) {
            Ok(()) => self.deliver(effects),
            Err(e) if e.is_temporary() => {
                log::error!(error:% = e; "records not saved; this node takes no part in the log");
                self.unsaved = Some(Unsaved {
                    effects,
                    since: now,
                    next_attempt: now + RETRY_INTERVAL,
                    next_log: now + LOG_INTERVAL,
                });
            }
            Err(e) => return Err(e.into()),
        }
        Ok(())
    }

    /// Tries again to save the records that could not be saved, once it is time.
    pub(super) fn retry_saving(&mut self, now: Instant) -> Result<(), ControlError> {
        let Some(mut unsaved) = self.unsaved.take_if(|unsaved| now >= unsaved.next_attempt) else {
            return Ok(());
        };
        match self.save(&mut unsaved.effects) {
            Ok(()) => {
                let stalled = now.duration_since(unsaved.since);
                log::info!(stalled_ms = stalled.as_millis() as u64; "records saved again");
                self.deliver(unsaved.effects);
                return Ok(());
            }
            Err(e) if e.is_temporary() => {
                if now >= unsaved.next_log {
                    unsaved.next_log = now + LOG_INTERVAL;
                    log::error!(error:% = e; "records still not saved");
                }
            }
            Err(e) => return Err(e.into()),
        }
        unsaved.next_attempt = now + RETRY_INTERVAL;
        self.unsaved = Some(unsaved);
        Ok(())
    }

    /// Makes the records of the effects durable, and compacts the journal if it has grown long.
    /// After an error, what is left in `effects` has still to be saved.
    fn save(&mut self, effects: &mut Effects) -> Result<(), StoreError> {
        if !effects.compact && !effects.records.is_empty() {
            self.store.append(&effects.records)?;
            effects.records.clear();
        }
        if !effects.compact && self.store.appended_bytes() > MAX_APPENDED_BYTES {
            self.raft.compact_now(effects);
        }
        if effects.compact {
            self.store.rewrite(&self.raft.journal())?;
            effects.compact = false;
        }
        Ok(())
    }

    /// Sends the messages of saved effects, delivers their outcomes, and publishes the state.
    fn deliver(&mut self, effects: Effects) {
        for (name, msg) in effects.send {
            if let Some(link) = self
                .control_links
                .get(&name)
                .and_then(|id| self.links.get(id))
            {
                link.send(Msg::Raft(msg));
            }
        }
        for (id, outcome) in effects.outcomes {
            for reply in self.pending_changes.swap_remove(&id).unwrap_or_default() {
                let _ = reply.try_send(ChangeReply::Outcome(outcome.clone()));
            }
        }
        if !self.raft.is_current() {
            return;
        }
        self.ready.store(true, Ordering::Release);
        let state = self.raft.state().cluster.clone();
        metrics::HELD
            .with_label_values(&["revision"])
            .set(state.revision as i64);
        metrics::HELD
            .with_label_values(&["waiting_changes"])
            .set(self.pending_changes.len() as i64);
        if state.revision > 0 {
            self.cluster.set_state(state);
        }
    }
}
