//! Load of each pool as seen by this entry, the resulting order of waiting jobs, and refusals of
//! those that wait too long.
//!
//! As long as all jobs can meet their aims, the job with the earliest aim goes first. Under
//! overload, ordering by aim alone would make all jobs late. Queues that use no more than an equal
//! share of the pool then go first, so that the shortage falls on the queues with the heaviest
//! load.

use std::time::Duration;

use indexmap::IndexMap;

use super::super::floors::{Floors, SizeClass};
use super::super::overload::OverloadGate;
use super::super::shares::Rates;
use super::super::{Uptime, scaled, seconds};
use super::contention::PoolView;
use super::{Action, Answer, JobId, Name, Note, OpenJob, Order, Rank, Scheduler, TaskState, Tier};

/// A pool is overloaded if its backlog takes longer than this to clear.
const OVERLOAD_BACKLOG: Duration = Duration::from_millis(50);
/// Factor on the expected run time of a task when it is checked against the aim.
const RUN_MARGIN: f64 = 1.15;
/// Late jobs that found no worker are refused at once if the backlog takes longer than this to
/// clear.
const MAX_LATE_BACKLOG: Duration = Duration::from_millis(100);
/// Share of the time from arrival to deadline after which a late job that was not started is
/// refused.
const LATE_WAIT_SHARE: f64 = 0.20;
/// Multiple of the time from arrival to aim after which an answer is of little use to its caller.
const USEFUL_AIM_FACTOR: f64 = 3.0;
/// Minimum interval between two rankings of all waiting jobs.
pub(super) const RANKING_INTERVAL: Duration = Duration::from_millis(5);
/// Lower bound of the rate of work sent to a pool, in core-milliseconds per second: one core.
const MIN_RATE: f64 = 1000.0;

/// Recent load of one pool at this entry.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolLoad {
    /// Work that callers submitted.
    pub(super) asked: Rates,
    /// Work that was sent to workers.
    pub(super) sent: Rates,
    pub(super) floors: Floors,
    pub(super) gate: OverloadGate,
    pub(super) view: PoolView,
}

impl PoolLoad {
    pub(super) fn decay(&mut self, now: Uptime) {
        self.asked.decay(now);
        self.sent.decay(now);
    }

    /// Adds work that is sent now, in core-milliseconds.
    pub(super) fn sent(&mut self, now: Uptime, queue: &Name, work: f64) {
        self.sent.add(now, queue, work);
    }

    /// Multiplies the recent work by a share of the workers that is left.
    pub(super) fn reduce(&mut self, share: f64) {
        self.sent.scale(share);
    }

    /// Takes back work that an agent refused, in core-milliseconds.
    pub(super) fn returned(&mut self, now: Uptime, queue: &Name, work: f64) {
        self.sent.add(now, queue, -work);
    }

    /// Records the first start of a job.
    pub(super) fn begun(&mut self, now: Uptime, queue: &Name, size: SizeClass) {
        self.floors.begun(now, queue, size);
    }

    /// Records a job that is given up before its first start.
    pub(super) fn lost(&mut self, now: Uptime, queue: &Name, size: SizeClass) {
        self.floors.lost(now, queue, size);
    }

    /// Returns the rate of work sent, in core-milliseconds per second.
    pub(super) fn rate(&self) -> f64 {
        self.sent.total().max(MIN_RATE)
    }

    /// Returns whether a queue uses more than an equal share of the pool.
    fn is_above_share(&self, queue: &Name) -> bool {
        self.sent.of(queue) * self.sent.queues() as f64 > self.sent.total()
    }
}

/// Waiting work of one pool, in core-milliseconds.
#[derive(Debug, Default)]
struct Backlog {
    /// Work of jobs that can still meet their aims, and of late jobs that were started.
    in_time: f64,
    /// Work of jobs in [`Tier::Late`].
    late: f64,
}

impl Scheduler {
    /// Updates the rank of all waiting jobs and refuses late ones that would wait too long.
    pub(super) fn rank_waiting(&mut self, now: Uptime, out: &mut Vec<Action>) {
        if self.waiting.is_empty() || now < self.next_ranking {
            return;
        }
        self.next_ranking = now + RANKING_INTERVAL;
        let backlogs = self.backlogs(now);
        self.rank_contended(now, out);
        let ranks: Vec<Rank> = self.waiting.iter().copied().collect();
        let mut refused = Vec::new();
        for rank in ranks {
            let id = rank.2;
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let pool = &job.queue.pool;
            if self.queues.is_contended(pool) {
                continue;
            }
            let (Some(load), Some(backlog)) = (self.loads.get(pool), backlogs.get(pool)) else {
                continue;
            };
            let rate = load.rate().max(self.fleet.free_cpu(now, pool));
            let time_to_clear = |work: f64| seconds(work / rate);
            let tier = if self.is_late(now, job) && job.starts > 0 && now < job.useful_until() {
                Tier::Started
            } else if self.is_late(now, job) {
                if job.starts == 0
                    && job.should_refuse(now, time_to_clear(backlog.in_time + backlog.late))
                {
                    refused.push((id, time_to_clear(backlog.in_time + backlog.late)));
                }
                Tier::Late
            } else if time_to_clear(backlog.in_time) > OVERLOAD_BACKLOG
                && load.is_above_share(&job.queue.name)
            {
                Tier::AboveShare
            } else {
                Tier::InTime
            };
            let order = Order::by_time(job.aim);
            self.set_rank(id, tier, order);
        }
        for (id, wait) in refused {
            self.refuse_overload(now, id, wait, out);
        }
    }

    /// Answers jobs whose deadline has passed, and those not started whose deadline is nearer than
    /// half of their estimated work.
    pub(super) fn answer_overdue(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let overdue = |job: &OpenJob| {
            let work = if job.starts == 0 {
                job.spec.critical_path()
            } else {
                Duration::ZERO
            };
            now + work / 2 >= job.deadline
        };
        let ids: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| overdue(job))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.abort(now, id, "the deadline is too near", out);
        }
    }

    fn refuse_overload(&mut self, now: Uptime, id: JobId, wait: Duration, out: &mut Vec<Action>) {
        out.push(Action::Note(Note::Overload { job: id, wait }));
        let answer = Answer::NotRun {
            reason: "more work waits than can be served in time",
            retry_after: wait,
        };
        self.answer(now, id, &answer, out);
    }

    pub(super) fn set_rank(&mut self, id: JobId, tier: Tier, order: Order) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let rank = (tier, order, id);
        if rank != job.rank {
            if self.waiting.remove(&job.rank) {
                self.waiting.insert(rank);
            }
            job.rank = rank;
        }
    }

    fn backlogs(&mut self, now: Uptime) -> IndexMap<Name, Backlog> {
        let mut backlogs: IndexMap<Name, Backlog> = IndexMap::new();
        for (tier, _, id) in &self.waiting {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            if self.queues.is_contended(&job.queue.pool) {
                continue;
            }
            let work: f64 = job.ready_work();
            if !self.loads.contains_key(&job.queue.pool) {
                self.loads
                    .insert(job.queue.pool.clone(), PoolLoad::default());
            }
            let backlog = backlogs.entry(job.queue.pool.clone()).or_default();
            if *tier == Tier::Late {
                backlog.late += work;
            } else {
                backlog.in_time += work;
            }
        }
        for load in self.loads.values_mut() {
            load.decay(now);
        }
        backlogs
    }

    /// Returns whether the job's ready tasks are expected to miss its aim if they are sent now.
    fn is_late(&self, now: Uptime, job: &OpenJob) -> bool {
        now + self.expected_run(job) > job.aim
    }

    /// Returns the expected run time of the job's ready tasks, with a margin.
    pub(super) fn expected_run(&self, job: &OpenJob) -> Duration {
        let factor = self.fleet.median_factor(&job.queue.pool);
        scaled(job.ready_estimate(), factor.clamp(0.2, 5.0) * RUN_MARGIN)
    }
}

impl OpenJob {
    /// Returns the time after which an answer is of little use to the caller.
    pub(super) fn useful_until(&self) -> Uptime {
        self.arrived + scaled(self.aim.saturating_sub(self.arrived), USEFUL_AIM_FACTOR)
    }

    /// Returns the work of the ready tasks, in core-milliseconds.
    pub(super) fn ready_work(&self) -> f64 {
        let ready = self.tasks.iter().filter(|task| self.is_ready(task));
        ready.map(|task| self.step(task).work()).sum()
    }

    /// Returns the work of all tasks that were not sent, in core-milliseconds.
    pub(super) fn unsent_work(&self) -> f64 {
        let unsent = self.tasks.iter();
        let unsent = unsent.filter(|task| task.state == TaskState::Waiting);
        unsent.map(|task| self.step(task).work()).sum()
    }

    /// Returns the longest estimate among the ready tasks.
    fn ready_estimate(&self) -> Duration {
        let ready = self.tasks.iter().filter(|task| self.is_ready(task));
        let longest = ready.map(|task| self.step(task).estimate).max();
        longest.unwrap_or_default()
    }

    /// Returns whether a late job that was not started is to be refused.
    ///
    /// `time_to_clear` is the expected time until the backlog is cleared.
    pub(super) fn should_refuse(&self, now: Uptime, time_to_clear: Duration) -> bool {
        let waited = now.saturating_sub(self.arrived);
        let max_wait = scaled(self.deadline.saturating_sub(self.arrived), LATE_WAIT_SHARE);
        self.unplaced_tier == Some(Tier::Late)
            && (time_to_clear > MAX_LATE_BACKLOG || waited > max_wait)
    }
}
