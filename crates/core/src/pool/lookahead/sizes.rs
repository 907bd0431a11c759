//! Sizes of recent tasks, which tell whether a task is large.

use std::collections::VecDeque;

use super::super::job::Resources;

/// Number of recent tasks that are remembered.
const REMEMBERED: usize = 128;
/// Number of tasks from which sizes are compared; the median of fewer says little.
const MIN_TASKS: usize = 16;
/// A task is large from this multiple of the median size on. Smaller ones find room as soon as one or
/// two usual tasks end, so that room reserved for them would only stand idle.
pub const LARGE_FACTOR: f64 = 2.0;
/// Share of tasks that are at most as large as the usual large one.
const USUAL_QUANTILE: f64 = 0.95;

/// Needs of recent tasks.
#[derive(Clone, Debug, Default)]
pub struct Sizes {
    /// Latest last; at most [`REMEMBERED`].
    recent: VecDeque<Resources>,
}

impl Sizes {
    /// Records a task.
    pub fn add(&mut self, needs: Resources) {
        if self.recent.len() >= REMEMBERED {
            self.recent.pop_front();
        }
        self.recent.push_back(needs);
    }

    /// Returns the share of a worker from which a task is large: [`LARGE_FACTOR`] times that of the
    /// median of recent tasks. `None` before there are enough of them.
    pub fn large_share(&self, capacity: Resources) -> Option<f64> {
        let median = self.at(0.5, capacity)?;
        Some(LARGE_FACTOR * median.share_of(capacity))
    }

    fn is_large(&self, needs: Resources, capacity: Resources) -> bool {
        self.large_share(capacity)
            .is_some_and(|share| needs.share_of(capacity) >= share)
    }

    /// Returns the needs that few recent tasks exceed, if those are large.
    pub fn usual_large(&self, capacity: Resources) -> Option<Resources> {
        let needs = self.at(USUAL_QUANTILE, capacity)?;
        self.is_large(needs, capacity).then_some(needs)
    }

    /// Returns the needs of the largest recent task, if it is large.
    pub fn largest(&self, capacity: Resources) -> Option<Resources> {
        let needs = self.at(1.0, capacity)?;
        self.is_large(needs, capacity).then_some(needs)
    }

    /// Returns the needs at a quantile by size.
    fn at(&self, quantile: f64, capacity: Resources) -> Option<Resources> {
        if self.recent.len() < MIN_TASKS {
            return None;
        }
        let mut sorted: Vec<Resources> = self.recent.iter().copied().collect();
        sorted.sort_by(|a, b| a.share_of(capacity).total_cmp(&b.share_of(capacity)));
        let index = (sorted.len() as f64 * quantile) as usize;
        sorted.get(index.min(sorted.len() - 1)).copied()
    }
}
