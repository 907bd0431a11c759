//! Workers that are slow for a time after their start: they count as slower, and get few runs at
//! first.

use std::time::Duration;

use super::super::Uptime;
use super::super::msg::Cold;
use super::{Fleet, Worker};
use crate::ids::Name;

/// Upper bound of the factor that an agent may state.
const MAX_FACTOR: f32 = 100.0;

/// What is known of a cold worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdStart {
    /// Until when it is slow.
    until: Uptime,
    /// Factor on run times until then, at least 1.
    factor: f64,
    /// Number of runs of this entry that it may have at a time; rises with each completed run.
    max_runs: u32,
}

impl Fleet {
    /// Handles an agent's report of how long its worker is cold.
    pub fn on_cold(&mut self, now: Uptime, name: &Name, cold: Cold) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let max_runs = worker.cold(now).map_or(1, |known| known.max_runs);
        let factor = if cold.factor.is_nan() {
            1.0
        } else {
            cold.factor
        };
        worker.cold = (cold.left_ms > 0).then(|| ColdStart {
            until: now + Duration::from_millis(cold.left_ms.into()),
            factor: f64::from(factor.clamp(1.0, MAX_FACTOR)),
            max_runs,
        });
    }
}

impl Worker {
    fn cold(&self, now: Uptime) -> Option<&ColdStart> {
        self.cold.as_ref().filter(|cold| now < cold.until)
    }

    /// Returns the ratio of run time to estimate: the learned one or, while the worker is cold, the
    /// larger of it and the stated factor. The pace of a cold worker shows part of that already.
    pub(super) fn present_run_factor(&self, now: Uptime) -> f64 {
        self.cold(now)
            .map_or(self.run_factor, |cold| self.run_factor.max(cold.factor))
    }

    /// Returns whether it is warm, or has fewer runs of this entry than a cold worker may have.
    pub(super) fn is_warm_enough(&self, now: Uptime) -> bool {
        self.cold(now).is_none_or(|cold| self.runs < cold.max_runs)
    }

    /// Records a completed run of a worker that may be cold.
    pub(super) fn warm_up(&mut self) {
        if let Some(cold) = &mut self.cold {
            cold.max_runs = cold.max_runs.saturating_add(1);
        }
    }
}
