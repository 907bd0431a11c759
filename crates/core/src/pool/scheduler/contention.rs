//! Pools whose queues differ in priority: order of their waiting jobs under overload, refusal of
//! jobs whose turn comes too late, and the load reported to the other entries.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::super::catalog::{Catalog, Queue};
use super::super::fleet::Need;
use super::super::floors::SizeClass;
use super::super::job::Job;
use super::super::msg::Peer;
use super::super::overload::{Candidate, Room, Share, Times};
use super::super::shares::{Demand, LoadReport, QueueLoad, max_min};
use super::super::{Uptime, seconds};
use super::load::{PoolLoad, RANKING_INTERVAL};
use super::place::Candidates;
use super::{Action, Answer, JobId, Name, Note, OpenJob, Order, Rank, Scheduler, Tier};

/// Shortest and longest time over which the returns of refused callers are spread.
const RETRY_SPREAD: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(5));

/// The queues of the catalogue in force.
#[derive(Clone, Debug, Default)]
pub(super) struct QueueRanks {
    /// Pool and priority of each queue.
    queues: IndexMap<Name, (Name, u32)>,
    /// Pools whose queues differ in priority.
    contended: IndexSet<Name>,
}

impl QueueRanks {
    fn new(queues: &[Queue]) -> Self {
        let mut ranks = Self::default();
        let mut first: IndexMap<&Name, u32> = IndexMap::new();
        for queue in queues {
            if *first.entry(&queue.pool).or_insert(queue.priority) != queue.priority {
                ranks.contended.insert(queue.pool.clone());
            }
            let rank = (queue.pool.clone(), queue.priority);
            ranks.queues.insert(queue.name.clone(), rank);
        }
        ranks
    }

    /// Returns whether queues of different priority compete for the pool.
    pub(super) fn is_contended(&self, pool: &Name) -> bool {
        self.contended.contains(pool)
    }

    fn priority(&self, queue: &Queue) -> u32 {
        let rank = self.queues.get(&queue.name);
        rank.map_or(queue.priority, |(_, priority)| *priority)
    }

    /// Returns the queues of a pool.
    fn of<'a>(&'a self, pool: &'a Name) -> impl Iterator<Item = &'a Name> {
        let queues = self.queues.iter();
        let queues = queues.filter(move |(_, (of, _))| of == pool);
        queues.map(|(queue, _)| queue)
    }

    fn is_of(&self, queue: &Name, pool: &Name) -> bool {
        self.queues.get(queue).is_some_and(|(of, _)| of == pool)
    }
}

/// What the latest ranking found out about a contended pool.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolView {
    room: Room,
    /// Work of this entry's waiting jobs that is still within their queue's share, for each queue
    /// that asks for more than its share, in core-milliseconds.
    left: IndexMap<Name, f64>,
}

impl PoolView {
    /// Returns the share of a further job of this queue, and counts its work.
    fn claim(&mut self, queue: &Name, work: f64) -> Share {
        match self.left.get_mut(queue) {
            Some(left) if *left <= 0.0 => Share::Above,
            Some(left) => {
                *left -= work;
                Share::Within
            }
            None => Share::Whole,
        }
    }
}

impl Scheduler {
    /// Sets the queues of the catalogue in force.
    pub fn set_catalog(&mut self, catalog: &Catalog) {
        self.queues = QueueRanks::new(&catalog.queues);
        self.shares
            .retain_pools(|pool| self.queues.is_contended(pool));
        for (pool, load) in &mut self.loads {
            load.floors.retain(|queue| self.queues.is_of(queue, pool));
        }
    }

    /// Records a job that callers submit, and returns its size class.
    pub(super) fn on_asked(&mut self, now: Uptime, spec: &Job, queue: &Queue) -> SizeClass {
        if !self.queues.is_contended(&queue.pool) {
            return SizeClass::default();
        }
        let work = spec.work();
        let load = self.loads.entry(queue.pool.clone()).or_default();
        load.asked.add(now, &queue.name, work);
        load.floors.arrived(&queue.name, work)
    }

    /// Returns the waiting work of each contended queue that is placed before late jobs. Jobs that
    /// arrive at this moment were not tried yet and do not count.
    fn waiting_by_queue(&self, now: Uptime) -> IndexMap<Name, f64> {
        let mut waiting: IndexMap<Name, f64> = IndexMap::new();
        for (tier, _, id) in &self.waiting {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let is_tried = *tier != Tier::Late && job.arrived < now;
            if is_tried && self.queues.is_contended(&job.queue.pool) {
                let work = waiting.entry(job.queue.name.clone()).or_default();
                *work += job.ready_work();
            }
        }
        waiting
    }

    /// Works out room, overload and shares of each contended pool.
    fn update_views(&mut self, now: Uptime, out: &mut Vec<Action>) {
        self.shares.expire(now);
        let others = self.shares.others(now);
        let waiting = self.waiting_by_queue(now);
        for (pool, load) in &mut self.loads {
            if !self.queues.is_contended(pool) {
                continue;
            }
            load.decay(now);
            let (mut own_sum, mut other_sum) = (Demand::default(), Demand::default());
            let mut demands = IndexMap::new();
            for queue in self.queues.of(pool) {
                let own = Demand {
                    asked: load.asked.of(queue),
                    sent: load.sent.of(queue),
                    waiting: waiting.get(queue).copied().unwrap_or(0.0),
                };
                let other = others.get(queue).copied().unwrap_or_default();
                own_sum = own_sum.plus(own);
                other_sum = other_sum.plus(other);
                demands.insert(queue.clone(), own.plus(other));
            }
            let part = self.shares.part(now, pool, own_sum.asked, other_sum.asked);
            let room = Room {
                rate: load.rate().max(self.fleet.free_cpu(now, pool) * part),
                asked: own_sum.asked,
                in_time: own_sum.waiting,
            };
            let own_wait = seconds(room.in_time / room.rate);
            let all_wait =
                seconds((own_sum.waiting + other_sum.waiting) / (room.rate + other_sum.sent));
            if load.gate.update(now, own_wait.max(all_wait)) {
                out.push(Action::Note(Note::OverloadChanged {
                    pool: pool.clone(),
                    overloaded: load.gate.is_overloaded(),
                    own_wait,
                    all_wait,
                    reports: self.shares.heard(now),
                }));
            }
            let mut left = share_left(&demands);
            left.values_mut().for_each(|work| *work *= part);
            load.view = PoolView { room, left };
        }
    }

    /// Updates the rank of all waiting jobs of contended pools.
    pub(super) fn rank_contended(&mut self, now: Uptime, out: &mut Vec<Action>) {
        if self.queues.contended.is_empty() {
            return;
        }
        self.update_views(now, out);
        for pool in self.queues.contended.clone() {
            let is_overloaded = |load: &PoolLoad| load.gate.is_overloaded();
            if self.loads.get(&pool).is_some_and(is_overloaded) {
                self.rank_overloaded(now, &pool);
            } else {
                self.rank_by_aim(now, &pool);
            }
        }
    }

    fn waiting_of(&self, pool: &Name) -> Vec<JobId> {
        let ids = self.waiting.iter().map(|rank| rank.2);
        let of_pool = |id: &JobId| self.jobs.get(id).is_some_and(|job| job.queue.pool == *pool);
        ids.filter(of_pool).collect()
    }

    fn rank_by_aim(&mut self, now: Uptime, pool: &Name) {
        for id in self.waiting_of(pool) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let tier = if now + self.expected_run(job) <= job.aim {
                Tier::InTime
            } else if job.may_have_run() && now < job.useful_until() {
                Tier::Started
            } else {
                Tier::Late
            };
            let order = Order::by_time(job.aim);
            self.set_rank(id, tier, order);
        }
    }

    fn rank_overloaded(&mut self, now: Uptime, pool: &Name) {
        let mut candidates: Vec<(JobId, Candidate)> = Vec::new();
        for id in self.waiting_of(pool) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let latest_start = job.aim.saturating_sub(self.expected_run(job));
            let is_late = now > latest_start;
            let tier = match (job.is_begun(), is_late) {
                (true, false) => Tier::Begun,
                (true, true) => Tier::BegunLate,
                (false, true) => Tier::Late,
                (false, false) => {
                    candidates.push((id, self.candidate(now, job, latest_start)));
                    continue;
                }
            };
            self.set_rank(id, tier, Order::by_time(latest_start));
        }
        // What is left of a share goes to the smallest jobs of its queue.
        candidates.sort_by_key(|(_, candidate)| (candidate.size(), candidate.latest_start));
        for (id, mut candidate) in candidates {
            let queue = self.jobs.get(&id).map(|job| job.queue.name.clone());
            if let (Some(queue), Some(load)) = (queue, self.loads.get_mut(pool)) {
                candidate.share = load.view.claim(&queue, candidate.work);
            }
            let (tier, order) = candidate.rank();
            self.set_rank(id, tier, order);
        }
    }

    fn candidate(&self, now: Uptime, job: &OpenJob, latest_start: Uptime) -> Candidate {
        let queue = &job.queue.name;
        let is_owed = |load: &PoolLoad| {
            let is_limited = load.view.left.contains_key(queue);
            load.floors.is_size_owed(queue, job.size)
                || !is_limited && load.floors.is_queue_owed(queue)
        };
        Candidate {
            share: Share::Whole,
            is_owed: self.loads.get(&job.queue.pool).is_some_and(is_owed),
            work: job.unsent_work(),
            priority: self.queues.priority(&job.queue),
            waited: now.saturating_sub(job.arrived),
            slack: latest_start.saturating_sub(now),
            latest_start,
        }
    }

    /// Refuses the waiting jobs of contended pools whose turn comes too late, if they have just been
    /// ranked.
    pub(super) fn refuse_hopeless(&mut self, now: Uptime, out: &mut Vec<Action>) {
        if self.queues.contended.is_empty() || self.next_ranking != now + RANKING_INTERVAL {
            return;
        }
        let mut before: IndexMap<Name, f64> = IndexMap::new();
        let order: Vec<Rank> = self.waiting.iter().copied().collect();
        for (_, _, id) in order {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if !self.queues.is_contended(&job.queue.pool) {
                continue;
            }
            let work = job.ready_work();
            let before = before.entry(job.queue.pool.clone()).or_default();
            if !self.refuse_if_hopeless(now, id, *before, out) {
                *before += work;
            }
        }
    }

    /// Refuses a job that was not begun if its turn comes too late, unless a worker has room for it
    /// now. Returns whether it does not wait any more.
    fn refuse_if_hopeless(
        &mut self,
        now: Uptime,
        id: JobId,
        before: f64,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.may_have_run()) else {
            return false;
        };
        let Some(load) = self.loads.get(&job.queue.pool) else {
            return false;
        };
        let (room, tier) = (load.view.room, job.rank.0);
        let wait = if load.gate.is_overloaded() && self.reach_exhausted {
            let run = self.expected_run(job);
            let useful_until = job.useful_until().min(job.deadline);
            let times = Times {
                slack: job.aim.saturating_sub(now + run),
                useful: useful_until.saturating_sub(now + run),
            };
            room.too_late(before, times).filter(|_| tier > Tier::InTime)
        } else {
            let wait = seconds(before / room.rate.max(1.0));
            (tier == Tier::Late && job.should_refuse(now, wait)).then_some(wait)
        };
        let Some(wait) = wait else {
            return false;
        };
        if self.has_room_now(now, id) {
            self.set_rank(id, Tier::Late, Order::by_time(Uptime::ZERO));
            let most_free = self.fleet.most_free(now);
            self.place_job(now, id, Candidates::All, most_free, out);
            return self.jobs.get(&id).is_none_or(|job| !job.has_ready());
        }
        let Some(job) = self.jobs.get(&id) else {
            return true;
        };
        out.push(Action::Note(Note::Hopeless {
            job: id,
            queue: job.queue.name.clone(),
            tier,
            waited: now.saturating_sub(job.arrived),
            wait,
            before,
            room,
            reports: self.shares.heard(now),
        }));
        if let Some(load) = self.loads.get_mut(&job.queue.pool) {
            load.gate.refused(now);
        }
        let answer = Answer::NotRun {
            reason: "its turn would come too late to be of use",
            retry_after: self.spread_return(wait),
        };
        self.answer(now, id, &answer, out);
        true
    }

    /// Returns whether workers have room for all tasks of the job that are ready.
    fn has_room_now(&mut self, now: Uptime, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let ready = job.tasks.iter().filter(|task| job.is_ready(task));
        let steps: Vec<_> = ready.map(|task| job.step(task)).collect();
        let cpu: f64 = steps
            .iter()
            .map(|step| f64::from(step.needs.cpu_milli))
            .sum();
        let Some(step) = steps.first() else {
            return false;
        };
        let most_free = self.fleet.most_free(now);
        if !step.needs.fits(most_free) || cpu > self.fleet.free_cpu(now, &job.queue.pool) {
            return false;
        }
        let need = Need {
            pool: &job.queue.pool,
            step,
            in_time: None,
            announced: false,
        };
        let choice = self.fleet.choose(now, need, |_| true, &mut self.rng);
        choice.is_some()
    }

    /// Returns a time for the caller's return: after the wait, spread so that refused callers do
    /// not come back together.
    fn spread_return(&mut self, wait: Duration) -> Duration {
        let (shortest, longest) = RETRY_SPREAD;
        let wait = wait.min(longest);
        wait + wait.max(shortest).mul_f64(self.rng.f64())
    }

    /// Reports this entry's load to the others, if that is due.
    pub(super) fn report_load(&mut self, now: Uptime, out: &mut Vec<Action>) {
        if self.queues.contended.is_empty() {
            return;
        }
        if self.waiting.is_empty() {
            self.update_views(now, out);
        }
        let waiting = self.waiting_by_queue(now);
        if !self.shares.is_report_due(now, !waiting.is_empty()) {
            return;
        }
        let mut report = LoadReport::default();
        for (queue, (pool, _)) in &self.queues.queues {
            let Some(load) = self.loads.get_mut(pool) else {
                continue;
            };
            load.decay(now);
            let row = QueueLoad {
                queue: queue.clone(),
                asked_milli: load.asked.of(queue) as u32,
                sent_milli: load.sent.of(queue) as u32,
                waiting: waiting.get(queue).copied().unwrap_or(0.0) as u32,
            };
            if self.queues.contended.contains(pool) && row.asked_milli + row.waiting > 0 {
                report.queues.push(row);
            }
        }
        out.push(Action::Peers(Peer::Load(report.within_limits())));
    }
}

/// Returns what is left of its max-min share to each queue that asks for more: the work of about
/// a second by which what was sent is below the share, in core-milliseconds.
fn share_left(demands: &IndexMap<Name, Demand>) -> IndexMap<Name, f64> {
    let sent: f64 = demands.values().map(|demand| demand.sent).sum();
    let asked: Vec<(f64, f64)> = demands.values().map(|demand| (1.0, demand.asked)).collect();
    let shares = max_min(sent, &asked);
    let limited = demands.iter().zip(shares);
    let limited = limited.filter(|((_, demand), share)| *share < demand.asked);
    limited
        .map(|((queue, demand), share)| (queue.clone(), (share - demand.sent).max(0.0)))
        .collect()
}
