//! Jobs whose tasks wait at an entry for a slot of one service.
//!
//! Between tenants, start-time fair queueing by weight; within a tenant, the job that would be
//! finished soonest had it been served since its arrival, so that nearly finished jobs end first
//! and old ones age.

use std::collections::BTreeSet;
use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::{JobKey, Name};
use crate::job::Class;

/// Jobs of one tenant that are looked at for one start.
const JOBS_PER_LANE: usize = 4;

/// Orders jobs of one tenant; the least goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank(pub u64);

impl Rank {
    /// The rank of a job that arrived `arrived` after the entry's start and needs `rest` of slot
    /// time on `slots` slots.
    pub fn new(arrived: Duration, rest: Duration, slots: u32) -> Self {
        let rest = rest / slots.max(1);
        Self((arrived + rest).as_micros() as u64)
    }
}

#[derive(Debug, Default)]
struct Lane {
    /// Virtual time at which the tenant's next task starts.
    next: f64,
    jobs: BTreeSet<(Rank, JobKey)>,
}

/// The waiting jobs of one service and class.
#[derive(Debug, Default)]
struct Lanes {
    /// Virtual time of the last start.
    now: f64,
    tenants: IndexMap<Name, Lane>,
    tasks: u32,
}

/// The waiting jobs of one service.
#[derive(Debug, Default)]
pub struct ServiceQueue {
    classes: [Lanes; 2],
    /// Whether tenants share by weight; otherwise all wait in one lane.
    pub fair: bool,
}

impl ServiceQueue {
    /// A queue that is fair between tenants, or not.
    pub fn new(fair: bool) -> Self {
        Self {
            classes: Default::default(),
            fair,
        }
    }

    /// Waiting tasks of a class.
    pub fn tasks(&self, class: Class) -> u32 {
        self.classes[class as usize].tasks
    }

    /// Waiting tasks of both classes.
    pub fn total(&self) -> u32 {
        Class::ALL.iter().map(|class| self.tasks(*class)).sum()
    }

    /// Adds a job with `tasks` waiting tasks.
    pub fn insert(&mut self, class: Class, tenant: &Name, rank: Rank, key: JobKey, tasks: u32) {
        let tenant = self.lane_name(tenant);
        let lanes = &mut self.classes[class as usize];
        lanes.tasks += tasks;
        let now = lanes.now;
        let lane = lanes.tenants.entry(tenant).or_default();
        if lane.jobs.is_empty() {
            lane.next = lane.next.max(now);
        }
        lane.jobs.insert((rank, key));
    }

    /// Removes a job whose `tasks` waited.
    pub fn remove(&mut self, class: Class, tenant: &Name, rank: Rank, key: JobKey, tasks: u32) {
        let tenant = self.lane_name(tenant);
        let lanes = &mut self.classes[class as usize];
        if let Some(lane) = lanes.tenants.get_mut(&tenant)
            && lane.jobs.remove(&(rank, key))
        {
            lanes.tasks = lanes.tasks.saturating_sub(tasks);
        }
    }

    /// The jobs to look at for the next start, best first, at most `limit`.
    pub fn candidates(&self, class: Class, limit: usize) -> Vec<JobKey> {
        let lanes = &self.classes[class as usize];
        let mut waiting: Vec<&Lane> = lanes
            .tenants
            .values()
            .filter(|lane| !lane.jobs.is_empty())
            .collect();
        waiting.sort_unstable_by(|a, b| a.next.total_cmp(&b.next));
        let of_lane = |lane: &&Lane| {
            lane.jobs
                .iter()
                .take(JOBS_PER_LANE)
                .map(|(_, key)| *key)
                .collect::<Vec<_>>()
        };
        waiting.iter().flat_map(of_lane).take(limit).collect()
    }

    /// Charges a tenant for a started task of `cost` seconds, and moves its job to a new rank.
    pub fn charge(&mut self, class: Class, tenant: &Name, cost: f64, weight: u32) {
        let tenant = self.lane_name(tenant);
        let lanes = &mut self.classes[class as usize];
        let Some(lane) = lanes.tenants.get_mut(&tenant) else {
            return;
        };
        lanes.now = lanes.now.max(lane.next);
        lane.next = lanes.now.max(lane.next) + cost / f64::from(weight.max(1));
    }

    /// Forgets tenants without waiting jobs whose time has been caught up with.
    pub fn tidy(&mut self) {
        for lanes in &mut self.classes {
            let now = lanes.now;
            lanes
                .tenants
                .retain(|_, lane| !lane.jobs.is_empty() || lane.next > now);
        }
    }

    fn lane_name(&self, tenant: &Name) -> Name {
        if self.fair {
            tenant.clone()
        } else {
            Name::from("")
        }
    }
}
