//! The workers as one entry sees them: room, speed, health.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::Uptime;
use super::job::{Resources, Step};
use super::msg::{Room, WorkerInfo};
use crate::ids::Name;

/// How much longer a task runs away from the rack of its data, before it was seen.
const OTHER_RACK_FACTOR: f64 = 1.5;
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
/// How much a worker that fails everything counts as slower than one that fails nothing.
const FAILING_WEIGHT: f64 = 2.0;
/// How much a full worker counts as slower than an empty one: beside nearly full fast workers, a
/// slow one is taken for tasks that still end in time there, which leaves the fast ones to others.
const FULL_WEIGHT: f64 = 1.2;
/// A task is sent only where it is expected to end within this share of the time to its aim.
const IN_TIME_SHARE: f64 = 0.97;
/// Time between two looks at the pace of all workers.
const REFRESH_EVERY: Duration = Duration::from_millis(40);
/// Of many workers only so many are compared at a time, so that entries do not all send to the few
/// best ones at once, and a choice costs the same at any size.
const SAMPLE: usize = 14;
/// Random share of the score, so that entries do not all choose the same worker.
const JITTER: f64 = 0.06;

/// One worker.
#[derive(Debug)]
pub struct Worker {
    /// What it is like; `None` until its agent told.
    pub info: Option<WorkerInfo>,
    /// The latest report.
    pub room: Room,
    /// When it came.
    pub reported: Uptime,
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
    /// Median pace by pool.
    medians: IndexMap<Name, f64>,
    next_refresh: Uptime,
}

/// A worker that was chosen for a task, with what decided.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The worker.
    pub worker: Name,
    /// The expected run time there.
    pub expected: Duration,
    /// The room that it was believed to have.
    pub free: Resources,
    /// Age of that belief.
    pub age: Duration,
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
        worker.room = room;
        worker.reported = now;
        worker.refused = false;
        worker.unseen.retain(|(number, _)| *number > room.seen);
        self.judge(now, name)
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
        let takes = self.workers.values().filter(|worker| worker.takes(now));
        takes.fold(Resources::default(), |most, worker| {
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

    /// Run time over estimate that is expected of a worker, against the median of its pool.
    fn slowdown(worker: &Worker, median_pace: f64) -> f64 {
        (f64::from(worker.room.pace) - median_pace).exp()
    }

    /// How much longer tasks run on a worker than on the median one of its pool.
    pub fn slowdown_of(&self, name: &Name, pool: &Name) -> f64 {
        let median_pace = self.median_pace(pool);
        self.workers
            .get(name)
            .map_or(1.0, |worker| Self::slowdown(worker, median_pace))
    }

    /// The median pace of a pool's workers, as of the last refresh.
    pub fn median_pace(&self, pool: &Name) -> f64 {
        self.medians.get(pool).copied().unwrap_or(0.0)
    }

    /// Works out the median paces anew, now and then: every choice asks for them.
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
            let pace = f64::from(median(paces));
            self.medians.insert(pool, pace);
        }
    }

    /// The best worker for a task: of those on which it is expected to end within `in_time`, if
    /// that is given, the one that is fast and has room.
    pub fn choose<F>(
        &self,
        now: Uptime,
        pool: &Name,
        step: &Step,
        in_time: Option<Duration>,
        allowed: F,
        rng: &mut fastrand::Rng,
    ) -> Option<Choice>
    where
        F: Fn(&Name) -> bool,
    {
        let chosen = if self.workers.len() > SAMPLE {
            let first = rng.usize(0..self.workers.len());
            self.choose_among(now, pool, step, in_time, &allowed, rng, first, SAMPLE)
        } else {
            None
        };
        chosen.or_else(|| {
            let all = self.workers.len();
            self.choose_among(now, pool, step, in_time, &allowed, rng, 0, all)
        })
    }

    /// The best of `count` workers from the one with number `first` on. Their order is that in
    /// which they were linked, so it differs among entries.
    #[expect(
        clippy::too_many_arguments,
        reason = "the question and the range to search"
    )]
    fn choose_among<F>(
        &self,
        now: Uptime,
        pool: &Name,
        step: &Step,
        in_time: Option<Duration>,
        allowed: &F,
        rng: &mut fastrand::Rng,
        first: usize,
        count: usize,
    ) -> Option<Choice>
    where
        F: Fn(&Name) -> bool,
    {
        let median_pace = self.median_pace(pool);
        let mut best: Option<(f64, Choice)> = None;
        let all = self.workers.len();
        let range = (first..first + count).filter_map(|i| self.workers.get_index(i % all));
        for (name, worker) in range.filter(|(_, w)| w.takes(now)) {
            let free = worker.free();
            let labelled = step.label.as_ref().is_none_or(|l| worker.has_label(l));
            if !worker.serves(pool) || !step.needs.fits(free) || !labelled || !allowed(name) {
                continue;
            }
            if !Self::may_try(now, worker) {
                continue;
            }
            let mut factor = Self::slowdown(worker, median_pace);
            if step
                .rack
                .as_ref()
                .is_some_and(|rack| !worker.has_label(rack))
            {
                factor *= OTHER_RACK_FACTOR;
            }
            let capacity = worker
                .info
                .as_ref()
                .map_or(1, |i| i.capacity.cpu_milli.max(1));
            let taken = 1.0 - f64::from(free.cpu_milli) / f64::from(capacity);
            let expected = step
                .estimate
                .mul_f64((factor * median_pace.exp()).min(100.0));
            if in_time.is_some_and(|time| expected > time.mul_f64(IN_TIME_SHARE)) {
                continue;
            }
            factor *= 1.0 + FAILING_WEIGHT * f64::from(worker.room.failing);
            let score = factor * (1.0 + FULL_WEIGHT * taken * taken) * (1.0 + JITTER * rng.f64());
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                let choice = Choice {
                    worker: name.clone(),
                    expected: step
                        .estimate
                        .mul_f64((factor * median_pace.exp()).min(100.0)),
                    free,
                    age: now.saturating_sub(worker.reported),
                };
                best = Some((score, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// An ejected worker gets one run at a time once its time is over.
    fn may_try(now: Uptime, worker: &Worker) -> bool {
        let Some(until) = worker.ejected_until else {
            return true;
        };
        now >= until && worker.runs == 0
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
