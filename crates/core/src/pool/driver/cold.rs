//! Workers that are slow for a time after their start, as their heartbeats state it.

use std::time::Duration;

use super::super::msg::{Cold, ToEntry};
use super::super::{Uptime, millis};
use super::{Driver, Entry};

/// Factor on run times on a cold worker if the settings state none.
pub(super) const DEFAULT_FACTOR: f32 = 2.0;
/// Upper bound of that factor.
const MAX_FACTOR: f64 = 100.0;
/// Upper bound of the time for which a worker counts as cold after a heartbeat.
const MAX_COLD_TIME: Duration = Duration::from_secs(600);
/// Smallest difference from what was sent for which entries are told of another time. Heartbeats
/// arrive with varying delays.
const MIN_DIFFERENCE: Duration = Duration::from_millis(500);

/// Returns until when a worker is cold whose heartbeat arrives now; `None` if it is warm.
pub(super) fn cold_until(now: Uptime, left: Duration) -> Option<Uptime> {
    (!left.is_zero()).then(|| now + left.min(MAX_COLD_TIME))
}

impl Driver {
    /// Sets the factor on the run time of tasks on a cold worker, at least 1.
    pub fn set_cold_factor(&mut self, factor: f64) {
        if factor.is_finite() {
            self.cold_factor = factor.clamp(1.0, MAX_FACTOR) as f32;
        }
    }

    /// Forgets the pace of a worker that was cold: it says nothing of the warm worker.
    pub(super) fn end_cold(&mut self, now: Uptime) {
        if let Some(worker) = &mut self.worker
            && worker.cold_until.is_some_and(|until| now >= until)
        {
            worker.cold_until = None;
            self.pace = self.pace.min(0.0);
        }
    }
}

impl Entry {
    /// Returns what the entry is to be told of the time for which the worker is cold, if it differs
    /// from what was sent.
    pub(super) fn cold_news(
        &mut self,
        now: Uptime,
        cold_until: Option<Uptime>,
        factor: f32,
    ) -> Option<ToEntry> {
        let until = cold_until.unwrap_or(now).max(now);
        let sent = self.cold_sent.unwrap_or(now).max(now);
        if until.abs_diff(sent) < MIN_DIFFERENCE {
            return None;
        }
        self.cold_sent = cold_until;
        Some(ToEntry::Cold(Cold {
            left_ms: millis(until.saturating_sub(now)),
            factor,
        }))
    }
}
