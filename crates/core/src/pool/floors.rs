//! Floors under overload: large jobs are served at least half as often as their queue, and a queue
//! that is within its share at least half as often as the others.
//!
//! The order by least work alone would refuse all large jobs. Jobs are counted by queue and by
//! size class, as begun or as given up, over about the last five seconds. Those of a class that
//! falls below its floor are placed first until it is back above it.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use super::Uptime;
use crate::ids::Name;

/// Time constant of the exponential decay of the counts.
const DECAY_TIME: Duration = Duration::from_secs(5);
/// Number of recent jobs of a queue by whose work its size classes are divided.
const SAMPLES: usize = 200;
/// Number of jobs of a queue before which it has no size classes.
const MIN_SAMPLES: usize = 20;
/// Number of jobs after which the bounds of the size classes are worked out again.
const BOUNDS_INTERVAL: u32 = 16;
/// Jobs of a class that are begun less often than this multiple of the share of the whole are
/// placed first. Callers need a half; some of the jobs that are begun fail.
const FLOOR: f64 = 0.6;

/// Size of a job among those of its queue.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SizeClass {
    /// The smaller four tenths.
    #[default]
    Small,
    /// The three tenths below the large ones.
    Middle,
    /// The fifth below the largest tenth.
    Large,
    /// The largest tenth.
    Largest,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    begun: f64,
    lost: f64,
}

impl Counts {
    fn total(self) -> f64 {
        self.begun + self.lost
    }

    /// Returns the share of jobs that were begun; 1 if there was none.
    fn share(self) -> f64 {
        if self.total() > 0.0 {
            self.begun / self.total()
        } else {
            1.0
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            begun: self.begun + other.begun,
            lost: self.lost + other.lost,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct QueueFloors {
    samples: VecDeque<f64>,
    /// Number of jobs since the bounds were worked out.
    unsorted: u32,
    /// Least work of the size classes above the smallest, in the order of the variants.
    bounds: Option<[f64; 3]>,
    /// Counts by size class, in the order of the variants.
    counts: [Counts; 4],
    decayed_at: Uptime,
}

impl QueueFloors {
    fn arrived(&mut self, work: f64) -> SizeClass {
        let class = match self.bounds {
            Some([_, _, least]) if work >= least => SizeClass::Largest,
            Some([_, least, _]) if work >= least => SizeClass::Large,
            Some([least, ..]) if work >= least => SizeClass::Middle,
            _ => SizeClass::Small,
        };
        if self.samples.len() >= SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(work);
        self.unsorted += 1;
        let is_due = self.bounds.is_none() || self.unsorted >= BOUNDS_INTERVAL;
        if self.samples.len() >= MIN_SAMPLES && is_due {
            let mut sorted: Vec<f64> = self.samples.iter().copied().collect();
            sorted.sort_by(f64::total_cmp);
            self.bounds = Some([4, 7, 9].map(|tenths| sorted[sorted.len() * tenths / 10]));
            self.unsorted = 0;
        }
        class
    }

    fn decay(&mut self, now: Uptime) {
        let elapsed = now.saturating_sub(self.decayed_at).as_secs_f64();
        let remaining = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        for counts in &mut self.counts {
            counts.begun *= remaining;
            counts.lost *= remaining;
        }
        self.decayed_at = now;
    }

    fn whole(&self) -> Counts {
        let counts = self.counts.iter();
        counts.fold(Counts::default(), |sum, counts| sum.plus(*counts))
    }
}

/// The floors of the queues of one pool.
#[derive(Clone, Debug, Default)]
pub struct Floors {
    queues: IndexMap<Name, QueueFloors>,
}

impl Floors {
    /// Records a job that arrives, with its work, and returns its size class.
    pub fn arrived(&mut self, queue: &Name, work: f64) -> SizeClass {
        self.queues.entry(queue.clone()).or_default().arrived(work)
    }

    /// Records that a job was begun.
    pub fn begun(&mut self, now: Uptime, queue: &Name, class: SizeClass) {
        let queue = self.queues.entry(queue.clone()).or_default();
        queue.decay(now);
        queue.counts[class as usize].begun += 1.0;
    }

    /// Records that a job was given up before it was begun.
    pub fn lost(&mut self, now: Uptime, queue: &Name, class: SizeClass) {
        let queue = self.queues.entry(queue.clone()).or_default();
        queue.decay(now);
        queue.counts[class as usize].lost += 1.0;
    }

    /// Forgets the queues that are not in the catalogue any more.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.queues.retain(|queue, _| keep(queue));
    }

    /// Returns whether jobs of this size are served too rarely, compared with their queue.
    pub fn is_size_owed(&self, queue: &Name, class: SizeClass) -> bool {
        let Some(own) = self.queues.get(queue) else {
            return false;
        };
        let share = own.counts[class as usize].share();
        class != SizeClass::Small && share < FLOOR * own.whole().share()
    }

    /// Returns whether the queue is served too rarely, compared with the one served most often.
    pub fn is_queue_owed(&self, queue: &Name) -> bool {
        let Some(own) = self.queues.get(queue) else {
            return false;
        };
        let shares = self.queues.values().map(|queue| queue.whole().share());
        own.whole().share() < FLOOR * shares.fold(0.0, f64::max)
    }
}
