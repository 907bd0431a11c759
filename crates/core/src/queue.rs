//! Jobs whose tasks are queued at an entry for a slot of one service.
//!
//! Tenants share by start-time fair queueing, by weight. Within a tenant, jobs are ordered by
//! arrival time plus remaining work, so that nearly finished jobs end first and old jobs gain
//! priority.

use std::collections::BTreeSet;
use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::{JobKey, Name};
use crate::job::Class;

/// Maximum number of one tenant's jobs that are tried for one dispatch.
const MAX_CANDIDATES_PER_TENANT: usize = 4;

/// Position of a job among its tenant's jobs; the lowest is served first.
///
/// The value is the job's arrival, since the entry's start, plus its remaining run time on the
/// held slots, in microseconds.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank(pub u64);

impl Rank {
    /// Returns the rank of a job that arrived `arrived` after the entry's start and still needs
    /// `remaining` of run time, spread over `slots` slots (0 counts as 1).
    pub fn new(arrived: Duration, remaining: Duration, slots: u32) -> Self {
        let remaining = remaining / slots.max(1);
        Self((arrived + remaining).as_micros() as u64)
    }
}

/// The queued jobs of one tenant.
#[derive(Debug, Default)]
struct TenantQueue {
    /// Virtual time at which the tenant's next task starts.
    next_start: f64,
    jobs: BTreeSet<(Rank, JobKey)>,
}

/// The queued jobs of one service and class.
#[derive(Debug, Default)]
struct ClassQueue {
    /// Virtual time of the last started task.
    virtual_time: f64,
    tenants: IndexMap<Name, TenantQueue>,
    tasks: u32,
}

/// The queued jobs of one service.
#[derive(Debug, Default)]
pub struct ServiceQueue {
    classes: [ClassQueue; 2],
    /// Whether tenants share by weight; otherwise all jobs are in one queue.
    pub fair: bool,
}

impl ServiceQueue {
    /// Returns an empty queue; `fair` is whether tenants share by weight.
    pub fn new(fair: bool) -> Self {
        Self {
            classes: Default::default(),
            fair,
        }
    }

    /// Returns the number of queued tasks of a class.
    pub fn tasks(&self, class: Class) -> u32 {
        self.classes[class as usize].tasks
    }

    /// Returns the number of queued tasks of both classes.
    pub fn total(&self) -> u32 {
        Class::ALL.iter().map(|class| self.tasks(*class)).sum()
    }

    /// Inserts a job with `tasks` queued tasks.
    pub fn insert(&mut self, class: Class, tenant: &Name, rank: Rank, key: JobKey, tasks: u32) {
        let tenant = self.tenant_key(tenant);
        let class_queue = &mut self.classes[class as usize];
        class_queue.tasks += tasks;
        let virtual_time = class_queue.virtual_time;
        let tenant_queue = class_queue.tenants.entry(tenant).or_default();
        if tenant_queue.jobs.is_empty() {
            tenant_queue.next_start = tenant_queue.next_start.max(virtual_time);
        }
        tenant_queue.jobs.insert((rank, key));
    }

    /// Removes a job with `tasks` queued tasks. The rank must be the one that it was inserted with.
    pub fn remove(&mut self, class: Class, tenant: &Name, rank: Rank, key: JobKey, tasks: u32) {
        let tenant = self.tenant_key(tenant);
        let class_queue = &mut self.classes[class as usize];
        if let Some(tenant_queue) = class_queue.tenants.get_mut(&tenant)
            && tenant_queue.jobs.remove(&(rank, key))
        {
            class_queue.tasks = class_queue.tasks.saturating_sub(tasks);
        }
    }

    /// Returns the jobs to try for the next dispatch, best first, at most `limit`.
    pub fn candidates(&self, class: Class, limit: usize) -> Vec<JobKey> {
        let class_queue = &self.classes[class as usize];
        let mut waiting: Vec<&TenantQueue> = class_queue
            .tenants
            .values()
            .filter(|tenant_queue| !tenant_queue.jobs.is_empty())
            .collect();
        waiting.sort_unstable_by(|a, b| a.next_start.total_cmp(&b.next_start));
        let first_jobs = |tenant_queue: &&TenantQueue| {
            tenant_queue
                .jobs
                .iter()
                .take(MAX_CANDIDATES_PER_TENANT)
                .map(|(_, key)| *key)
                .collect::<Vec<_>>()
        };
        waiting.iter().flat_map(first_jobs).take(limit).collect()
    }

    /// Advances a tenant's virtual time for a started task that is expected to run `cost` seconds.
    pub fn charge(&mut self, class: Class, tenant: &Name, cost: f64, weight: u32) {
        let tenant = self.tenant_key(tenant);
        let class_queue = &mut self.classes[class as usize];
        let Some(tenant_queue) = class_queue.tenants.get_mut(&tenant) else {
            return;
        };
        class_queue.virtual_time = class_queue.virtual_time.max(tenant_queue.next_start);
        tenant_queue.next_start =
            class_queue.virtual_time.max(tenant_queue.next_start) + cost / f64::from(weight.max(1));
    }

    /// Drops tenants without queued jobs whose virtual time is not ahead of that of the queue.
    pub fn evict_idle_tenants(&mut self) {
        for class_queue in &mut self.classes {
            let virtual_time = class_queue.virtual_time;
            class_queue.tenants.retain(|_, tenant_queue| {
                !tenant_queue.jobs.is_empty() || tenant_queue.next_start > virtual_time
            });
        }
    }

    fn tenant_key(&self, tenant: &Name) -> Name {
        if self.fair {
            tenant.clone()
        } else {
            Name::from("")
        }
    }
}
