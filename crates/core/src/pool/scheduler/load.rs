//! Load of each pool as seen by this entry, and the resulting order of waiting jobs.
//!
//! As long as all jobs can meet their aims, the job with the earliest aim goes first. Under
//! overload, ordering by aim alone would make all jobs late. Queues that use no more than an equal
//! share of the pool then go first, so that the shortage falls on the queues with the heaviest
//! load.

use std::time::Duration;

use indexmap::IndexMap;

use super::super::{Uptime, scaled, seconds};
use super::{Action, Answer, JobId, Name, Note, OpenJob, Rank, Scheduler, Tier};

/// Time constant of the exponential decay of the work sent to a pool.
const DECAY_TIME: Duration = Duration::from_secs(1);
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
const RANKING_INTERVAL: Duration = Duration::from_millis(5);
/// Lower bound of the rate of work sent to a pool, in core-milliseconds per second: one core.
const MIN_RATE: f64 = 1000.0;

/// Work that this entry sent to one pool recently, by queue, in core-milliseconds with exponential
/// decay.
#[derive(Debug, Default)]
pub(super) struct PoolLoad {
    queues: IndexMap<Name, f64>,
    /// Time of the last decay.
    decayed_at: Uptime,
}

impl PoolLoad {
    fn decay(&mut self, now: Uptime) {
        let elapsed = now.saturating_sub(self.decayed_at).as_secs_f64();
        let remaining = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        self.queues.retain(|_, work| {
            *work *= remaining;
            *work > 1.0
        });
        self.decayed_at = now;
    }

    /// Adds work that is sent now, in core-milliseconds.
    pub(super) fn add(&mut self, now: Uptime, queue: &Name, work: f64) {
        self.decay(now);
        *self.queues.entry(queue.clone()).or_default() += work;
    }

    /// Multiplies the recent work by a share of the workers that is left.
    pub(super) fn reduce(&mut self, share: f64) {
        for work in self.queues.values_mut() {
            *work *= share;
        }
    }

    fn total(&self) -> f64 {
        self.queues.values().sum()
    }

    /// Returns the rate of work sent, in core-milliseconds per second.
    fn rate(&self) -> f64 {
        (self.total() / DECAY_TIME.as_secs_f64()).max(MIN_RATE)
    }

    /// Returns whether a queue uses more than an equal share of the pool.
    fn is_above_share(&self, queue: &Name) -> bool {
        let own = self.queues.get(queue).copied().unwrap_or(0.0);
        own * self.queues.len() as f64 > self.total()
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
        let ranks: Vec<Rank> = self.waiting.iter().copied().collect();
        let mut refused = Vec::new();
        for rank in ranks {
            let id = rank.2;
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let pool = &job.queue.pool;
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
            self.set_tier(id, tier);
        }
        for (id, wait) in refused {
            self.refuse_overload(now, id, wait, out);
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

    fn set_tier(&mut self, id: JobId, tier: Tier) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let rank = (tier, job.rank.1, id);
        if rank != job.rank {
            self.waiting.remove(&job.rank);
            job.rank = rank;
            self.waiting.insert(rank);
        }
    }

    fn backlogs(&mut self, now: Uptime) -> IndexMap<Name, Backlog> {
        let mut backlogs: IndexMap<Name, Backlog> = IndexMap::new();
        for (tier, _, id) in &self.waiting {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
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
        let factor = self.fleet.median_factor(&job.queue.pool);
        let expected = job.ready_estimate();
        let expected = scaled(expected, factor.clamp(0.2, 5.0) * RUN_MARGIN);
        now + expected > job.aim
    }
}

impl OpenJob {
    /// Returns the time after which an answer is of little use to the caller.
    fn useful_until(&self) -> Uptime {
        self.arrived + scaled(self.aim.saturating_sub(self.arrived), USEFUL_AIM_FACTOR)
    }

    /// Returns the work of the ready tasks, in core-milliseconds.
    fn ready_work(&self) -> f64 {
        let ready = self.tasks.iter().filter(|task| self.is_ready(task));
        let work = ready.map(|task| {
            let step = self.step(task);
            step.estimate.as_secs_f64() * f64::from(step.needs.cpu_milli)
        });
        work.sum()
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
    fn should_refuse(&self, now: Uptime, time_to_clear: Duration) -> bool {
        let waited = now.saturating_sub(self.arrived);
        let max_wait = scaled(self.deadline.saturating_sub(self.arrived), LATE_WAIT_SHARE);
        self.unplaced_tier == Some(Tier::Late)
            && (time_to_clear > MAX_LATE_BACKLOG || waited > max_wait)
    }
}
