//! Shares of a pool among its queues, counted over all entries.
//!
//! While work waits, entries report to one another what callers asked of each queue, what was sent
//! to workers and what waits. From these reports each entry works out the max-min share of each
//! queue: room is divided equally, and what a queue does not need goes to the others.
//!
//! A report counts in full for three intervals, then less and less, and after six no longer. An
//! entry that hears from nobody keeps the part of the load that it last had among all entries.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{KeepAlive, Uptime};
use crate::ids::Name;

/// Maximum number of rows of a report; bounds its size.
pub const MAX_ROWS: usize = 16;
/// Maximum number of entries whose reports are kept.
const MAX_REPORTS: usize = 256;
/// Time constant of the exponential decay of the work counted for a queue.
const DECAY_TIME: Duration = Duration::from_secs(1);
/// Number of intervals for which a report counts in full.
const FULL_INTERVALS: f64 = 3.0;
/// Number of intervals after which a report no longer counts.
const MAX_INTERVALS: f64 = 6.0;
/// Work below which a queue's count is dropped, in core-milliseconds.
const MIN_WORK: f64 = 1.0;

/// The recent load of one entry, by queue.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// One row for each queue with recent work.
    pub queues: Vec<QueueLoad>,
}

/// The recent load of one queue at one entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueueLoad {
    /// The queue.
    pub queue: Name,
    /// Work that callers submitted, in thousandths of a core.
    pub asked_milli: u32,
    /// Work that was sent to workers, in thousandths of a core.
    pub sent_milli: u32,
    /// Work that waits, in core-milliseconds.
    pub waiting: u32,
}

impl LoadReport {
    /// Returns whether work waits at the sender.
    pub fn has_waiting(&self) -> bool {
        self.queues.iter().any(|row| row.waiting > 0)
    }

    /// Keeps the rows with the most work if there are more than [`MAX_ROWS`].
    #[must_use]
    pub fn within_limits(mut self) -> Self {
        if self.queues.len() > MAX_ROWS {
            let work = |row: &QueueLoad| u64::from(row.asked_milli) + u64::from(row.waiting);
            self.queues.sort_by_key(|row| std::cmp::Reverse(work(row)));
            self.queues.truncate(MAX_ROWS);
        }
        self
    }
}

/// Work by queue over about the last second, in core-milliseconds per second, with exponential
/// decay.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    queues: IndexMap<Name, f64>,
    decayed_at: Uptime,
}

impl Rates {
    /// Lets the counts decay until now.
    pub fn decay(&mut self, now: Uptime) {
        let elapsed = now.saturating_sub(self.decayed_at).as_secs_f64();
        let remaining = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        self.queues.retain(|_, work| {
            *work *= remaining;
            *work > MIN_WORK
        });
        self.decayed_at = now;
    }

    /// Adds work of this moment, in core-milliseconds; negative work is taken back.
    pub fn add(&mut self, now: Uptime, queue: &Name, work: f64) {
        self.decay(now);
        let sum = self.queues.entry(queue.clone()).or_default();
        *sum = (*sum + work).max(0.0);
    }

    /// Multiplies the work of all queues by a factor.
    pub fn scale(&mut self, factor: f64) {
        for work in self.queues.values_mut() {
            *work *= factor;
        }
    }

    /// Returns the rate of a queue as of the last decay.
    pub fn of(&self, queue: &Name) -> f64 {
        self.queues.get(queue).copied().unwrap_or(0.0) / DECAY_TIME.as_secs_f64()
    }

    /// Returns the rate of all queues as of the last decay.
    pub fn total(&self) -> f64 {
        self.queues.values().sum::<f64>() / DECAY_TIME.as_secs_f64()
    }

    /// Returns the number of queues with recent work.
    pub fn queues(&self) -> usize {
        self.queues.len()
    }
}

/// Load of a queue, at one entry or at several.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Work that callers submitted, in core-milliseconds per second.
    pub asked: f64,
    /// Work that was sent to workers, in core-milliseconds per second.
    pub sent: f64,
    /// Work that waits, in core-milliseconds.
    pub waiting: f64,
}

impl Demand {
    /// Returns the sum of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            sent: self.sent + other.sent,
            waiting: self.waiting + other.waiting,
        }
    }
}

/// Divides `capacity` by weighted max-min among claims of weight and demand: nobody gets more than
/// its demand, and nobody who gets less could get more without another who has no more per weight
/// losing. Weights are above 0.
pub fn max_min(capacity: f64, claims: &[(f64, f64)]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    let level = |i: &usize| claims[*i].1 / claims[*i].0;
    order.sort_by(|a, b| level(a).total_cmp(&level(b)));
    let mut left = capacity.max(0.0);
    let mut weights: f64 = claims.iter().map(|(weight, _)| weight).sum();
    let mut shares = vec![0.0; claims.len()];
    for i in order {
        let (weight, demand) = claims[i];
        shares[i] = demand.min(left * weight / weights).max(0.0);
        left -= shares[i];
        weights -= weight;
    }
    shares
}

/// The reports of the other entries, and when this entry reports.
#[derive(Clone, Debug)]
pub struct Shares {
    interval: Duration,
    entries: usize,
    reports: IndexMap<Name, (Uptime, LoadReport)>,
    next_report: Uptime,
    /// Last time at which work waited here or, by a report, at another entry.
    busy_at: Option<Uptime>,
    /// This entry's part of the work asked of all entries, by pool, when it last heard from others.
    known_parts: IndexMap<Name, f64>,
}

impl Default for Shares {
    fn default() -> Self {
        Self {
            interval: KeepAlive::AGENT.ping_every,
            entries: 1,
            reports: IndexMap::new(),
            next_report: Uptime::ZERO,
            busy_at: None,
            known_parts: IndexMap::new(),
        }
    }
}

impl Shares {
    /// Sets the number of entries, this one included, and the interval between reports.
    pub fn set_entries(&mut self, entries: usize, interval: Duration) {
        self.entries = entries.max(1);
        self.interval = interval;
    }

    /// Handles the report of another entry.
    pub fn on_report(&mut self, now: Uptime, entry: &Name, report: LoadReport) {
        if report.has_waiting() {
            self.busy_at = Some(now);
        }
        if self.reports.len() < MAX_REPORTS || self.reports.contains_key(entry) {
            let report = report.within_limits();
            self.reports.insert(entry.clone(), (now, report));
        }
    }

    /// Returns how much a report of this age counts, 0 to 1.
    fn weight(&self, age: Duration) -> f64 {
        let intervals = age.as_secs_f64() / self.interval.as_secs_f64().max(1e-3);
        ((MAX_INTERVALS - intervals) / (MAX_INTERVALS - FULL_INTERVALS)).clamp(0.0, 1.0)
    }

    /// Forgets the pools that are not in the catalogue any more.
    pub fn retain_pools<F>(&mut self, keep: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.known_parts.retain(|pool, _| keep(pool));
    }

    /// Forgets reports that no longer count.
    pub fn expire(&mut self, now: Uptime) {
        let max_age = self.interval.mul_f64(MAX_INTERVALS);
        self.reports.retain(|_, (at, _)| now < *at + max_age);
    }

    /// Returns the load at the other entries by queue; older reports count less.
    pub fn others(&self, now: Uptime) -> IndexMap<Name, Demand> {
        let mut queues: IndexMap<Name, Demand> = IndexMap::new();
        for (at, report) in self.reports.values() {
            let weight = self.weight(now.saturating_sub(*at));
            for row in report.queues.iter().filter(|_| weight > 0.0) {
                let demand = Demand {
                    asked: weight * f64::from(row.asked_milli),
                    sent: weight * f64::from(row.sent_milli),
                    waiting: weight * f64::from(row.waiting),
                };
                let sum = queues.entry(row.queue.clone()).or_default();
                *sum = sum.plus(demand);
            }
        }
        queues
    }

    /// Returns the number of reports that count and the age of the oldest of them.
    pub fn heard(&self, now: Uptime) -> (usize, Duration) {
        let ages = self.reports.values().map(|(at, _)| now.saturating_sub(*at));
        let ages = ages.filter(|age| self.weight(*age) > 0.0);
        ages.fold((0, Duration::ZERO), |(count, oldest), age| {
            (count + 1, oldest.max(age))
        })
    }

    /// Returns this entry's part of the load of a pool, 0 to 1.
    ///
    /// `own` and `others` are what callers asked of this entry and of the others there. Without reports
    /// that count in full, it is the part last known, and at first an equal one.
    pub fn part(&mut self, now: Uptime, pool: &Name, own: f64, others: f64) -> f64 {
        let full = self.interval.mul_f64(FULL_INTERVALS);
        let is_fresh = self.reports.values().any(|(at, _)| now < *at + full);
        if is_fresh && own + others > 0.0 {
            let part = own / (own + others);
            self.known_parts.insert(pool.clone(), part);
        }
        let equal = 1.0 / self.entries as f64;
        self.known_parts.get(pool).copied().unwrap_or(equal)
    }

    /// Returns whether this entry is to report its load now. It does while work waits, here or at
    /// another entry, and for three intervals after that.
    pub fn is_report_due(&mut self, now: Uptime, waits: bool) -> bool {
        if waits {
            self.busy_at = Some(now);
        }
        let quiet_after = self.interval.mul_f64(FULL_INTERVALS);
        let is_busy = self.busy_at.is_some_and(|at| now <= at + quiet_after);
        if !is_busy || now < self.next_report {
            return false;
        }
        self.next_report = now + self.interval;
        true
    }
}
