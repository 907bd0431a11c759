//! The workers known to one entry: free capacity, speed and health.

mod ahead;
mod choice;
mod cold;
mod evacuated;
mod room;
mod verdict;

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::Uptime;
use super::job::{Resources, Step};
use super::lookahead::Forecast;
use super::msg::{CapacityReport, WorkerInfo};
use crate::ids::Name;

pub use ahead::Prospect;
pub use choice::{Basis, Choice, Need};
pub use room::Room;
pub use verdict::{CandidateRow, WorkerVerdict};

/// Minimum share of failed runs, 0 to 1, for a worker to be ejected. Below half of it the ejection
/// ends.
const EJECT_MIN_FAILING: f32 = 0.5;
/// A worker is ejected only if its share of failed runs is at least this multiple of the median of
/// its peers.
const EJECT_PEER_FACTOR: f32 = 3.0;
/// Maximum share of a pool's workers that is ejected at once; in a pool of two or more workers, one
/// may always be ejected.
const MAX_EJECTED_SHARE: f64 = 0.34;
/// Time for which a worker gets no runs after a refusal for a reason other than lack of capacity;
/// doubles with each further one in a row.
const MIN_AVOID_TIME: Duration = Duration::from_millis(20);
/// Upper bound of that time.
const MAX_AVOID_TIME: Duration = Duration::from_secs(1);
/// Time until an ejected worker is tried with one run; doubles with each such run.
const MIN_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Upper bound of that time.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(3);
/// Interval between updates of the median run time factors.
const REFRESH_INTERVAL: Duration = Duration::from_millis(40);

/// A worker as known to one entry.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its pool, capacity and labels; `None` until its agent has reported them.
    pub info: Option<WorkerInfo>,
    /// Latest report of its free capacity and health.
    pub report: CapacityReport,
    /// Time at which that report arrived.
    pub reported: Uptime,
    /// Ratio of run time to estimate, from the latest report.
    run_factor: f64,
    /// For how long it is slow after its start; `None` if it is warm.
    cold: Option<cold::ColdStart>,
    /// The failure domain of its agent; `None` if it is not known.
    pub domain: Option<Name>,
    /// Whether that domain is evacuated.
    evacuated: bool,
    /// Time at which its agent's link was lost; `None` while it is up.
    pub down_since: Option<Uptime>,
    /// Number of starts sent on the present link.
    starts_sent: u64,
    /// Starts that the latest report does not include yet: number and needs.
    unreported: Vec<(u64, Resources)>,
    /// Number of runs of this entry on the worker, including those being stopped.
    pub runs: u32,
    /// Time from which an ejected worker may be tried again; `None` if it is not ejected.
    ejected_until: Option<Uptime>,
    /// Present interval between tries of an ejected worker.
    retry_interval: Duration,
    /// Whether it refused a start for lack of capacity since its latest report.
    out_of_capacity: bool,
    /// Number of consecutive refusals for other reasons.
    refusals: u32,
    /// Time before which it gets no runs because of such a refusal.
    avoid_until: Uptime,
    /// Latest forecast of its room, and when it arrived.
    forecast: Option<(Uptime, Forecast)>,
}

impl Worker {
    /// Returns the reported free capacity less the starts that the report does not include.
    pub fn free(&self) -> Resources {
        let unreported = self.unreported.iter();
        unreported.fold(self.report.free, |free, (_, needs)| free.minus(*needs))
    }

    /// Returns the room that this entry may use: the free capacity without what other entries wait
    /// for, or what is promised to it, which may be ahead of the next end of a run.
    pub fn obtainable(&self) -> Resources {
        let shared = self.free().minus(self.report.reserved);
        shared.largest(self.promised())
    }

    /// Returns the room that is promised to this entry.
    pub fn promised(&self) -> Resources {
        let unreported = self.unreported.iter();
        unreported.fold(self.report.promised, |room, (_, needs)| room.minus(*needs))
    }

    /// Returns whether it may be sent runs now.
    fn accepts_runs(&self, now: Uptime) -> bool {
        let refusing = self.out_of_capacity || now < self.avoid_until;
        let linked = self.down_since.is_none() && self.info.is_some();
        linked && self.report.open && !refusing && !self.evacuated
    }

    fn serves(&self, pool: &Name) -> bool {
        self.info
            .as_ref()
            .is_some_and(|info| info.pool.as_ref() == Some(pool))
    }

    /// Returns whether it is of the kind that the task requires.
    fn suits(&self, need: choice::Need<'_>) -> bool {
        let label = need.step.label.as_ref();
        self.info
            .as_ref()
            .is_some_and(|info| info.suits(need.pool, label))
    }

    fn has_label(&self, label: &Name) -> bool {
        self.info
            .as_ref()
            .is_some_and(|info| info.labels.contains(label))
    }
}

/// All workers known to one entry.
#[derive(Clone, Debug)]
pub struct Fleet {
    workers: IndexMap<Name, Worker>,
    /// Median ratio of run time to estimate, by pool.
    medians: IndexMap<Name, f64>,
    /// Needs of the usual large task, by pool, where tasks differ in size.
    large_needs: IndexMap<Name, Resources>,
    /// Capacities and labels of the workers of all agents by the member list, linked or not, but for
    /// those in evacuated failure domains.
    offers: Vec<WorkerInfo>,
    /// As `offers`, of the agents in evacuated failure domains.
    evacuated_offers: Vec<WorkerInfo>,
    /// Failure domains whose workers get no new runs.
    evacuated: IndexSet<Name>,
    /// Workers that have gained capacity, or accept runs again, since the last
    /// [`Fleet::take_freed`].
    freed: Vec<Name>,
    next_refresh: Uptime,
    /// Factor on the run time of a task on a worker outside the rack of its data, 1 or more.
    other_rack_factor: f64,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            workers: IndexMap::new(),
            medians: IndexMap::new(),
            large_needs: IndexMap::new(),
            offers: Vec::new(),
            evacuated_offers: Vec::new(),
            evacuated: IndexSet::new(),
            freed: Vec::new(),
            next_refresh: Uptime::ZERO,
            other_rack_factor: choice::OTHER_RACK_FACTOR,
        }
    }
}

impl Fleet {
    /// Returns all workers with their names.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Worker)> {
        self.workers.iter()
    }

    /// Returns the worker with this name, if it is known.
    pub fn get(&self, name: &str) -> Option<&Worker> {
        self.workers.get(name)
    }

    /// Returns whether any worker may be sent runs now.
    pub fn any_accepts_runs(&self, now: Uptime) -> bool {
        self.workers.values().any(|worker| worker.accepts_runs(now))
    }

    /// Handles a new link to an agent. Starts are numbered from 1 again, and the worker gets no
    /// runs before its first report.
    pub fn link_up(&mut self, now: Uptime, name: &Name) {
        let worker = self.workers.entry(name.clone()).or_insert_with(|| Worker {
            info: None,
            report: CapacityReport::default(),
            reported: now,
            run_factor: 1.0,
            cold: None,
            domain: None,
            evacuated: false,
            down_since: None,
            starts_sent: 0,
            unreported: Vec::new(),
            runs: 0,
            ejected_until: None,
            retry_interval: MIN_EJECTION_TIME,
            out_of_capacity: false,
            refusals: 0,
            avoid_until: now,
            forecast: None,
        });
        worker.forecast = None;
        worker.down_since = None;
        worker.starts_sent = 0;
        worker.unreported.clear();
        worker.cold = None;
        worker.report.open = false;
        worker.out_of_capacity = false;
    }

    /// Handles the loss of an agent's link.
    pub fn link_down(&mut self, now: Uptime, name: &Name) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.down_since = Some(now);
            worker.report.open = false;
        }
    }

    /// Removes workers that have been disconnected for `retention` and have no runs of this entry.
    pub fn remove_stale(&mut self, now: Uptime, retention: Duration) {
        self.workers.retain(|_, worker| {
            worker.runs > 0
                || worker
                    .down_since
                    .is_none_or(|since| now < since + retention)
        });
    }

    /// Handles an agent's report of its worker's pool, capacity and labels.
    pub fn on_info(&mut self, name: &Name, info: WorkerInfo) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.info = Some(info);
        }
    }

    /// Handles an agent's report of free capacity and health. Returns whether it caused the
    /// worker's ejection.
    pub fn on_capacity_report(&mut self, now: Uptime, name: &Name, report: CapacityReport) -> bool {
        let Some(worker) = self.workers.get_mut(name) else {
            return false;
        };
        let before = worker.accepts_runs(now).then(|| worker.obtainable());
        let report = report.within_limits();
        worker.report = report;
        worker.reported = now;
        worker.run_factor = f64::from(report.pace).exp();
        worker.out_of_capacity = false;
        worker
            .unreported
            .retain(|(number, _)| *number > report.starts_received);
        let gained = before.is_none_or(|before| !worker.obtainable().fits(before));
        if gained && worker.accepts_runs(now) && !self.freed.contains(name) {
            self.freed.push(name.clone());
        }
        self.update_ejection(now, name)
    }

    /// Returns the workers that have gained capacity, or accept runs again, since the last call.
    pub fn take_freed(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.freed)
    }

    /// Ejects a worker that fails far more often than its peers, or ends its ejection once it no
    /// longer fails often. Returns whether the worker was ejected by this call.
    fn update_ejection(&mut self, now: Uptime, name: &Name) -> bool {
        let Some(worker) = self.workers.get(name) else {
            return false;
        };
        let Some(pool) = worker.info.as_ref().and_then(|info| info.pool.clone()) else {
            return false;
        };
        let failing = worker.report.failing;
        let was_ejected = worker.ejected_until.is_some();
        if failing < EJECT_MIN_FAILING / 2.0 {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.ejected_until = None;
                worker.retry_interval = MIN_EJECTION_TIME;
            }
            return false;
        }
        if was_ejected || failing < EJECT_MIN_FAILING {
            return false;
        }
        let peers: Vec<f32> = self
            .peers(&pool)
            .filter(|(other, _)| *other != name)
            .map(|(_, peer)| peer.report.failing)
            .collect();
        if failing < EJECT_PEER_FACTOR * median(peers) || !self.may_eject(&pool) {
            return false;
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.ejected_until = Some(now + worker.retry_interval);
        }
        true
    }

    /// Returns the connected workers of a pool outside evacuated domains.
    fn peers<'a>(&'a self, pool: &'a Name) -> impl Iterator<Item = (&'a Name, &'a Worker)> {
        let connected = move |worker: &Worker| {
            worker.down_since.is_none() && !worker.evacuated && worker.serves(pool)
        };
        self.workers
            .iter()
            .filter(move |(_, worker)| connected(worker))
    }

    /// Returns whether the pool has a connected worker beside the named one.
    pub fn has_other(&self, name: &Name, pool: &Name) -> bool {
        self.peers(pool).any(|(other, _)| other != name)
    }

    fn may_eject(&self, pool: &Name) -> bool {
        let all = self.peers(pool).count();
        let ejected = self
            .peers(pool)
            .filter(|(_, worker)| worker.ejected_until.is_some())
            .count();
        (ejected + 1) as f64 <= (all as f64 * MAX_EJECTED_SHARE).max(1.0) && all > 1
    }

    /// Returns the free CPU capacity of a pool in thousandths of a core, which is also the work in
    /// core-milliseconds that it can accept per second.
    pub fn free_cpu(&self, now: Uptime, pool: &Name) -> f64 {
        let available = self
            .peers(pool)
            .filter(|(_, worker)| worker.accepts_runs(now));
        available
            .map(|(_, worker)| f64::from(worker.free().cpu_milli))
            .sum()
    }

    /// Returns the largest obtainable amount of each resource on any worker that accepts runs. A task
    /// that needs more cannot be placed, so that no search over the workers is needed.
    pub fn most_free(&self, now: Uptime) -> Resources {
        Self::most_free_of(now, self.workers.values())
    }

    /// Returns the same as [`Fleet::most_free`] for the named workers.
    pub fn most_free_on(&self, now: Uptime, names: &[Name]) -> Resources {
        Self::most_free_of(now, names.iter().filter_map(|name| self.workers.get(name)))
    }

    fn most_free_of<'a, I>(now: Uptime, workers: I) -> Resources
    where
        I: Iterator<Item = &'a Worker>,
    {
        workers
            .filter(|worker| worker.accepts_runs(now))
            .fold(Resources::default(), |most, worker| {
                most.largest(worker.obtainable())
            })
    }

    /// Sets the factor on the run time of a task on a worker outside the rack of its data. One that
    /// is below 1 or no number counts as 1.
    pub fn set_other_rack_factor(&mut self, factor: f64) {
        self.other_rack_factor = factor.max(1.0);
    }

    /// Replaces the descriptions of the workers of all agents, linked or not.
    pub fn set_offers(&mut self, offers: Vec<WorkerInfo>) {
        self.offers = offers;
    }

    /// Replaces the descriptions of the workers of all agents in evacuated domains.
    pub fn set_evacuated_offers(&mut self, offers: Vec<WorkerInfo>) {
        self.evacuated_offers = offers;
    }

    /// Returns whether a known worker of the pool, linked or not, has the capacity and label for a
    /// task of the step.
    ///
    /// Returns `true` if no worker of the pool is known.
    pub fn could_ever_run(&self, pool: &Name, step: &Step) -> bool {
        let linked = self.workers.values().filter_map(|w| w.info.as_ref());
        let offers = self.offers.iter().chain(&self.evacuated_offers);
        let mut known = false;
        for info in linked.chain(offers) {
            known |= info.pool.as_ref() == Some(pool);
            if info.could_run(pool, step) {
                return true;
            }
        }
        !known
    }

    /// Returns a worker's run time factor relative to the median of its pool; above 1 is slower.
    ///
    /// Returns 1 for an unknown worker.
    pub fn slowdown_of(&self, name: &Name, pool: &Name) -> f64 {
        let median = self.median_factor(pool);
        self.workers
            .get(name)
            .map_or(1.0, |worker| worker.run_factor / median)
    }

    /// Returns the median ratio of run time to estimate of a pool's workers, as of the last
    /// refresh; 1 for an unknown pool.
    pub fn median_factor(&self, pool: &Name) -> f64 {
        self.medians.get(pool).copied().unwrap_or(1.0)
    }

    /// Updates the medians at intervals. They are cached because every choice of a worker reads
    /// them.
    pub fn refresh(&mut self, now: Uptime) {
        if now < self.next_refresh {
            return;
        }
        self.next_refresh = now + REFRESH_INTERVAL;
        let pools = self
            .workers
            .values()
            .filter_map(|w| w.info.as_ref()?.pool.clone());
        let pools: IndexSet<Name> = pools.collect();
        for pool in pools {
            let paces = self
                .peers(&pool)
                .map(|(_, worker)| worker.report.pace)
                .collect();
            let factor = f64::from(median(paces)).exp();
            self.medians.insert(pool, factor);
        }
    }

    /// Records a start that is sent to a worker now.
    pub fn start_sent(&mut self, now: Uptime, name: &Name, needs: Resources) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.starts_sent += 1;
            worker.unreported.push((worker.starts_sent, needs));
            worker.runs += 1;
            if worker.ejected_until.is_some() {
                worker.retry_interval = (worker.retry_interval * 2).min(MAX_EJECTION_TIME);
                worker.ejected_until = Some(now + worker.retry_interval);
            }
        }
    }

    /// Records the end of a run on a worker.
    pub fn run_ended(&mut self, name: &Name) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.runs = worker.runs.saturating_sub(1);
        }
    }

    /// Records a refusal for lack of capacity: the worker gets no runs before its next report.
    pub fn capacity_refused(&mut self, name: &Name) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.out_of_capacity = true;
        }
    }

    /// Records a refusal for another reason. A worker that refuses starts appears idle and would
    /// attract all work repeatedly, so it gets no runs for a time that doubles until it completes a
    /// run.
    pub fn start_refused(&mut self, now: Uptime, name: &Name) {
        if let Some(worker) = self.workers.get_mut(name) {
            let avoid_time = MIN_AVOID_TIME * 2_u32.saturating_pow(worker.refusals.min(8));
            worker.avoid_until = now + avoid_time.min(MAX_AVOID_TIME);
            worker.refusals += 1;
        }
    }

    /// Records a completed run. An ejected worker may be tried again at once.
    pub fn run_completed(&mut self, now: Uptime, name: &Name) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.refusals = 0;
            worker.warm_up();
            if worker.ejected_until.is_some() {
                worker.ejected_until = Some(now);
                worker.retry_interval = MIN_EJECTION_TIME;
                self.freed.push(name.clone());
            }
        }
    }

    /// Returns the number of ejected workers.
    pub fn ejected(&self) -> usize {
        let ejected = |worker: &&Worker| worker.ejected_until.is_some();
        self.workers.values().filter(ejected).count()
    }
}

fn median(mut values: Vec<f32>) -> f32 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f32::total_cmp);
    values[values.len() / 2]
}
