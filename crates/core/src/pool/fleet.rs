//! The workers as one entry sees them: room, speed, health.

mod choice;

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::Uptime;
use super::job::{Resources, Step};
use super::msg::{Room, WorkerInfo};
use crate::ids::Name;

pub use choice::{Choice, Need};

/// A worker whose share of failures is above this, and far above its peers', is ejected.
const EJECT_ABOVE: f32 = 0.5;
/// A worker is ejected only if it fails this many times as often as the median of its peers.
const EJECT_TIMES_PEERS: f32 = 3.0;
/// At most this share of a pool's workers is ejected.
const MAX_EJECTED_SHARE: f64 = 0.34;
/// Time for which a worker is left alone after a refusal that was not for its room; doubles with
/// each in a row.
const FIRST_AVOID: Duration = Duration::from_millis(20);
const MAX_AVOID: Duration = Duration::from_secs(1);
/// Time until an ejected worker is tried with one run; doubles with each return to ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(3);
/// Time between two looks at the pace of all workers.
const REFRESH_EVERY: Duration = Duration::from_millis(40);
/// One worker.
#[derive(Debug)]
pub struct Worker {
    /// What it is like; `None` until its agent told.
    pub info: Option<WorkerInfo>,
    /// The latest report.
    pub room: Room,
    /// When it came.
    pub reported: Uptime,
    /// Run time over estimate, by the latest report.
    run_factor: f64,
    /// When its agent's link was lost; `None` while it is up.
    pub down_since: Option<Uptime>,
    /// Starts sent on the present link.
    sent: u64,
    /// Starts that the latest report does not count yet: number and needs.
    unseen: Vec<(u64, Resources)>,
    /// Runs of this entry there.
    pub runs: u32,
    ejected_until: Option<Uptime>,
    ejection: Duration,
    /// Whether it had no room for a start; until the next report.
    refused: bool,
    /// Refusals for other reasons in a row.
    refusals: u32,
    /// It gets nothing before this time after such a refusal.
    avoid_until: Uptime,
}

impl Worker {
    /// Room that is surely not taken.
    pub fn free(&self) -> Resources {
        let unseen = self.unseen.iter();
        unseen.fold(self.room.free, |free, (_, needs)| free.minus(*needs))
    }

    fn takes(&self, now: Uptime) -> bool {
        let left_alone = self.refused || now < self.avoid_until;
        self.down_since.is_none() && self.room.open && !left_alone && self.info.is_some()
    }

    fn serves(&self, pool: &Name) -> bool {
        self.info
            .as_ref()
            .is_some_and(|info| info.pool.as_ref() == Some(pool))
    }

    fn has_label(&self, label: &Name) -> bool {
        self.info
            .as_ref()
            .is_some_and(|info| info.labels.contains(label))
    }
}

/// All workers that this entry has heard of.
#[derive(Debug, Default)]
pub struct Fleet {
    workers: IndexMap<Name, Worker>,
    /// Median run time over estimate, by pool.
    medians: IndexMap<Name, f64>,
    /// Workers that have more room than before, or take runs again, since they were last asked for.
    grown: Vec<Name>,
    next_refresh: Uptime,
}

impl Fleet {
    /// The workers by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Worker)> {
        self.workers.iter()
    }

    /// One worker.
    pub fn get(&self, name: &str) -> Option<&Worker> {
        self.workers.get(name)
    }

    /// Whether any worker may be sent runs.
    pub fn any_open(&self, now: Uptime) -> bool {
        self.workers.values().any(|worker| worker.takes(now))
    }

    /// An agent's link is up; its starts count anew.
    pub fn up(&mut self, now: Uptime, name: &Name) {
        let worker = self.workers.entry(name.clone()).or_insert_with(|| Worker {
            info: None,
            room: Room::default(),
            reported: now,
            run_factor: 1.0,
            down_since: None,
            sent: 0,
            unseen: Vec::new(),
            runs: 0,
            ejected_until: None,
            ejection: FIRST_EJECTION,
            refused: false,
            refusals: 0,
            avoid_until: now,
        });
        worker.down_since = None;
        worker.sent = 0;
        worker.unseen.clear();
        worker.room.open = false;
        worker.refused = false;
    }

    /// An agent's link is lost.
    pub fn down(&mut self, now: Uptime, name: &Name) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.down_since = Some(now);
            worker.room.open = false;
        }
    }

    /// Forgets workers that were away for `time` and hold no run.
    pub fn tidy(&mut self, now: Uptime, time: Duration) {
        self.workers.retain(|_, worker| {
            worker.runs > 0 || worker.down_since.is_none_or(|since| now < since + time)
        });
    }

    /// An agent told what its worker is like.
    pub fn on_info(&mut self, name: &Name, info: WorkerInfo) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.info = Some(info);
        }
    }

    /// An agent told its worker's room. Returns whether the worker was ejected now.
    pub fn on_room(&mut self, now: Uptime, name: &Name, room: Room) -> bool {
        let Some(worker) = self.workers.get_mut(name) else {
            return false;
        };
        let before = worker.takes(now).then(|| worker.free());
        worker.room = room;
        worker.reported = now;
        worker.run_factor = f64::from(room.pace).exp();
        worker.refused = false;
        worker.unseen.retain(|(number, _)| *number > room.seen);
        let more = before.is_none_or(|before| !worker.free().fits(before));
        if more && worker.takes(now) && !self.grown.contains(name) {
            self.grown.push(name.clone());
        }
        self.judge(now, name)
    }

    /// Workers that have more room than before, or take runs again, since the last call.
    pub fn take_grown(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.grown)
    }

    /// Ejects a worker that fails far more than its peers, and lets one back that no longer does.
    fn judge(&mut self, now: Uptime, name: &Name) -> bool {
        let Some(worker) = self.workers.get(name) else {
            return false;
        };
        let Some(pool) = worker.info.as_ref().and_then(|info| info.pool.clone()) else {
            return false;
        };
        let failing = worker.room.failing;
        let was_ejected = worker.ejected_until.is_some();
        if failing < EJECT_ABOVE / 2.0 {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.ejected_until = None;
                worker.ejection = FIRST_EJECTION;
            }
            return false;
        }
        if was_ejected || failing < EJECT_ABOVE {
            return false;
        }
        let peers: Vec<f32> = self
            .peers(&pool)
            .filter(|(other, _)| *other != name)
            .map(|(_, peer)| peer.room.failing)
            .collect();
        if failing < EJECT_TIMES_PEERS * median(peers) || !self.may_eject(&pool) {
            return false;
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.ejected_until = Some(now + worker.ejection);
        }
        true
    }

    fn peers<'a>(&'a self, pool: &'a Name) -> impl Iterator<Item = (&'a Name, &'a Worker)> {
        let open = move |worker: &Worker| worker.down_since.is_none() && worker.serves(pool);
        self.workers.iter().filter(move |(_, worker)| open(worker))
    }

    fn may_eject(&self, pool: &Name) -> bool {
        let all = self.peers(pool).count();
        let ejected = self
            .peers(pool)
            .filter(|(_, worker)| worker.ejected_until.is_some())
            .count();
        (ejected + 1) as f64 <= (all as f64 * MAX_EJECTED_SHARE).max(1.0) && all > 1
    }

    /// Free room over a pool's workers in thousandths of a core: work in core-milliseconds that it
    /// could take on each second.
    pub fn free_cpu(&self, now: Uptime, pool: &Name) -> f64 {
        let takes = self.peers(pool).filter(|(_, worker)| worker.takes(now));
        takes
            .map(|(_, worker)| f64::from(worker.free().cpu_milli))
            .sum()
    }

    /// The most of each resource that is free on any one worker that takes runs: what does not fit
    /// into it has no place, and need not be looked for worker by worker.
    pub fn most_free(&self, now: Uptime) -> Resources {
        Self::most_free_of(now, self.workers.values())
    }

    /// The same among a few workers.
    pub fn most_free_on(&self, now: Uptime, names: &[Name]) -> Resources {
        Self::most_free_of(now, names.iter().filter_map(|name| self.workers.get(name)))
    }

    fn most_free_of<'a, I>(now: Uptime, workers: I) -> Resources
    where
        I: Iterator<Item = &'a Worker>,
    {
        workers
            .filter(|worker| worker.takes(now))
            .fold(Resources::default(), |most, worker| {
                most.largest(worker.free())
            })
    }

    /// Whether any worker of the pool that was ever heard of could hold one task of the step.
    pub fn could_ever_run(&self, pool: &Name, step: &Step) -> bool {
        let mut known = false;
        for worker in self.workers.values().filter(|worker| worker.serves(pool)) {
            known = true;
            let capacity = worker.info.as_ref().map(|info| info.capacity);
            let fits = step.needs.fits(capacity.unwrap_or_default());
            let labelled = step.label.as_ref().is_none_or(|l| worker.has_label(l));
            if fits && labelled {
                return true;
            }
        }
        !known
    }

    /// How much longer tasks run on a worker than on the median one of its pool.
    pub fn slowdown_of(&self, name: &Name, pool: &Name) -> f64 {
        let median = self.median_factor(pool);
        self.workers
            .get(name)
            .map_or(1.0, |worker| worker.run_factor / median)
    }

    /// The median run time over estimate of a pool's workers, as of the last refresh.
    pub fn median_factor(&self, pool: &Name) -> f64 {
        self.medians.get(pool).copied().unwrap_or(1.0)
    }

    /// Works out the medians anew, now and then: every choice asks for them.
    pub fn refresh(&mut self, now: Uptime) {
        if now < self.next_refresh {
            return;
        }
        self.next_refresh = now + REFRESH_EVERY;
        let pools = self
            .workers
            .values()
            .filter_map(|w| w.info.as_ref()?.pool.clone());
        let pools: IndexSet<Name> = pools.collect();
        for pool in pools {
            let paces = self
                .peers(&pool)
                .map(|(_, worker)| worker.room.pace)
                .collect();
            let factor = f64::from(median(paces)).exp();
            self.medians.insert(pool, factor);
        }
    }

    /// Counts a start that is sent now.
    pub fn sent(&mut self, now: Uptime, name: &Name, needs: Resources) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.sent += 1;
            worker.unseen.push((worker.sent, needs));
            worker.runs += 1;
            if worker.ejected_until.is_some() {
                worker.ejection = (worker.ejection * 2).min(MAX_EJECTION);
                worker.ejected_until = Some(now + worker.ejection);
            }
        }
    }

    /// A run there is over.
    pub fn over(&mut self, name: &Name) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.runs = worker.runs.saturating_sub(1);
        }
    }

    /// A start found no room: the worker gets nothing more before its next report.
    pub fn no_room(&mut self, name: &Name) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.refused = true;
        }
    }

    /// A start was refused for another reason. A worker that refuses looks empty and would draw all
    /// work again and again, so it is left alone for a time that grows until it completes a run.
    pub fn refused(&mut self, now: Uptime, name: &Name) {
        if let Some(worker) = self.workers.get_mut(name) {
            let pause = FIRST_AVOID * 2_u32.saturating_pow(worker.refusals.min(8));
            worker.avoid_until = now + pause.min(MAX_AVOID);
            worker.refusals += 1;
        }
    }

    /// A run was completed there. An ejected worker is tried again at once.
    pub fn completed(&mut self, now: Uptime, name: &Name) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.refusals = 0;
            if worker.ejected_until.is_some() {
                worker.ejected_until = Some(now);
                worker.ejection = FIRST_EJECTION;
                self.grown.push(name.clone());
            }
        }
    }

    /// Ejected workers.
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
