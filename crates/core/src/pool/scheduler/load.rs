//! Load of a pool as this entry sees it, and the order of waiting jobs that follows from it.
//!
//! While all can be served in time, the job whose aim is nearest goes first. Once the backlog would
//! take long to clear, serving by aim alone makes everything late; then queues that take less than
//! their equal share of the pool go first, and the heaviest queue bears the shortage.

use std::time::Duration;

use indexmap::IndexMap;

use super::super::Uptime;
use super::{Action, Answer, JobId, Name, Note, OpenJob, Rank, Scheduler, Tier};

/// What was sent to a pool is forgotten with this time constant.
const MEMORY: Duration = Duration::from_secs(1);
/// A backlog that takes longer than this to clear is an overload.
const OVERLOAD: Duration = Duration::from_millis(50);
/// A task is expected to miss its aim if this many times its expected run time do not fit.
const RUN_MARGIN: f64 = 1.15;
/// Late jobs are refused at once while those before them take longer than this to clear.
const LATE_BACKLOG: Duration = Duration::from_millis(100);
/// A late job that was not started is refused after this share of the time that its caller waits.
const LATE_SHARE: f64 = 0.20;
/// Callers have little use of an answer after this many times the time to the aim.
const USEFUL_AIMS: f64 = 3.0;
/// Time between two rankings of all waiting jobs.
const RANK_EVERY: Duration = Duration::from_millis(5);
/// Work sent to a pool per second before any was, in core-milliseconds: a core.
const LEAST_RATE: f64 = 1000.0;

/// What this entry sent to one pool of late, in core-milliseconds with exponential decay.
#[derive(Debug, Default)]
pub(super) struct PoolLoad {
    queues: IndexMap<Name, f64>,
    at: Uptime,
}

impl PoolLoad {
    fn decay(&mut self, now: Uptime) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-passed / MEMORY.as_secs_f64()).exp();
        self.queues.retain(|_, work| {
            *work *= kept;
            *work > 1.0
        });
        self.at = now;
    }

    /// Counts work that is sent now.
    pub(super) fn sent(&mut self, now: Uptime, queue: &Name, work: f64) {
        self.decay(now);
        *self.queues.entry(queue.clone()).or_default() += work;
    }

    fn total(&self) -> f64 {
        self.queues.values().sum()
    }

    /// Work a second, in core-milliseconds.
    fn rate(&self) -> f64 {
        (self.total() / MEMORY.as_secs_f64()).max(LEAST_RATE)
    }

    /// Whether a queue takes more than its equal share.
    fn is_above_share(&self, queue: &Name) -> bool {
        let own = self.queues.get(queue).copied().unwrap_or(0.0);
        own * self.queues.len() as f64 > self.total()
    }
}

/// Work that waits for one pool, in core-milliseconds.
#[derive(Debug, Default)]
struct Backlog {
    in_time: f64,
    late: f64,
}

impl Scheduler {
    /// Ranks all waiting jobs anew and refuses those that will not be served.
    pub(super) fn rank_waiting(&mut self, now: Uptime, out: &mut Vec<Action>) {
        if self.waiting.is_empty() || now < self.next_rank {
            return;
        }
        self.next_rank = now + RANK_EVERY;
        let backlogs = self.backlogs(now);
        let ids: Vec<Rank> = self.waiting.iter().copied().collect();
        let mut refused = Vec::new();
        for rank in ids {
            let id = rank.2;
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let pool = &job.queue.pool;
            let (Some(load), Some(backlog)) = (self.loads.get(pool), backlogs.get(pool)) else {
                continue;
            };
            let rate = load.rate().max(self.fleet.free_cpu(now, pool));
            let clears = |work: f64| Duration::from_secs_f64(work / rate);
            let tier = if self.is_late(now, job) && job.starts > 0 && now < job.worthless() {
                Tier::Begun
            } else if self.is_late(now, job) {
                if job.starts == 0 && job.is_hopeless(now, clears(backlog.in_time + backlog.late)) {
                    refused.push((id, clears(backlog.in_time + backlog.late)));
                }
                Tier::Late
            } else if clears(backlog.in_time) > OVERLOAD && load.is_above_share(&job.queue.name) {
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

    /// Whether tasks of the job that are sent now are expected to miss its aim.
    fn is_late(&self, now: Uptime, job: &OpenJob) -> bool {
        let factor = self.fleet.median_factor(&job.queue.pool);
        let expected = job
            .ready_estimate()
            .mul_f64(factor.clamp(0.2, 5.0) * RUN_MARGIN);
        now + expected > job.aim
    }
}

impl OpenJob {
    /// After this time an answer is of little use to its caller.
    fn worthless(&self) -> Uptime {
        self.arrived + self.aim.saturating_sub(self.arrived).mul_f64(USEFUL_AIMS)
    }

    /// Work of the tasks that may be sent, in core-milliseconds.
    fn ready_work(&self) -> f64 {
        let ready = self.tasks.iter().filter(|task| self.is_ready(task));
        let work = ready.map(|task| {
            let step = self.step(task);
            step.estimate.as_secs_f64() * f64::from(step.needs.cpu_milli)
        });
        work.sum()
    }

    /// The longest estimate among the tasks that may be sent.
    fn ready_estimate(&self) -> Duration {
        let ready = self.tasks.iter().filter(|task| self.is_ready(task));
        let longest = ready.map(|task| self.step(task).estimate).max();
        longest.unwrap_or_default()
    }

    /// Whether a late job that was not started should be refused, given the time until its turn.
    fn is_hopeless(&self, now: Uptime, turn: Duration) -> bool {
        let waited = now.saturating_sub(self.arrived);
        let patience = self
            .deadline
            .saturating_sub(self.arrived)
            .mul_f64(LATE_SHARE);
        self.missed == Some(Tier::Late) && (turn > LATE_BACKLOG || waited > patience)
    }
}
