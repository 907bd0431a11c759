//! Which worker a task goes to.

use std::time::Duration;

use super::super::Uptime;
use super::super::job::{Resources, Step};
use super::{Fleet, Worker};
use crate::ids::Name;

/// How much longer a task runs away from the rack of its data, before it was seen.
const OTHER_RACK_FACTOR: f64 = 1.5;
/// How much a worker that fails everything counts as slower than one that fails nothing.
const FAILING_WEIGHT: f64 = 2.0;
/// How much a full worker counts as slower than an empty one: beside nearly full fast workers, a
/// slow one is taken for tasks that still end in time there, which leaves the fast ones to others.
const FULL_WEIGHT: f64 = 1.2;
/// A task is sent only where it is expected to end within this share of the time to its aim.
const IN_TIME_SHARE: f64 = 0.97;
/// Of many workers only so many are compared at a time, so that entries do not all send to the few
/// best ones at once, and a choice costs the same at any size.
const SAMPLE: usize = 14;
/// Random share of the score, so that entries do not all choose the same worker: with 0.06 and with
/// 0.60 eight days of rushes gave less.
const JITTER: f64 = 0.30;
/// Run time over estimate is counted up to this.
const MAX_RUN_FACTOR: f64 = 100.0;

/// What a task needs of a worker.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// The pool that its queue is served by.
    pub pool: &'a Name,
    /// The task's step.
    pub step: &'a Step,
    /// It is to end within this time; `None` if it may go to any worker.
    pub in_time: Option<Duration>,
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
    /// The best worker for a task: of those on which it is expected to end in time, the one that is
    /// fast and has room.
    pub fn choose<F>(
        &self,
        now: Uptime,
        need: Need<'_>,
        allowed: F,
        rng: &mut fastrand::Rng,
    ) -> Option<Choice>
    where
        F: Fn(&Name) -> bool,
    {
        let all = self.workers.len();
        if all > SAMPLE {
            // The order of workers is that in which they were linked, so it differs among entries.
            let first = rng.usize(0..all);
            let sample = (first..first + SAMPLE).filter_map(|i| self.workers.get_index(i % all));
            let chosen = self.best_of(now, need, sample, &allowed, rng);
            if chosen.is_some() {
                return chosen;
            }
        }
        self.best_of(now, need, self.workers.iter(), &allowed, rng)
    }

    /// The same among a few workers.
    pub fn choose_on<F>(
        &self,
        now: Uptime,
        need: Need<'_>,
        names: &[Name],
        allowed: F,
        rng: &mut fastrand::Rng,
    ) -> Option<Choice>
    where
        F: Fn(&Name) -> bool,
    {
        let among = names
            .iter()
            .filter_map(|name| self.workers.get_key_value(name));
        self.best_of(now, need, among, &allowed, rng)
    }

    fn best_of<'a, F, I>(
        &self,
        now: Uptime,
        need: Need<'_>,
        among: I,
        allowed: &F,
        rng: &mut fastrand::Rng,
    ) -> Option<Choice>
    where
        F: Fn(&Name) -> bool,
        I: Iterator<Item = (&'a Name, &'a Worker)>,
    {
        let median = self.median_factor(need.pool);
        let mut best: Option<(f64, &Name, &Worker)> = None;
        for (name, worker) in among {
            if !worker.takes(now) || !worker.may_hold(now, need) || !allowed(name) {
                continue;
            }
            let factor = worker.factor_of(need.step);
            let expected = need.step.estimate.mul_f64(factor);
            if need
                .in_time
                .is_some_and(|time| expected > time.mul_f64(IN_TIME_SHARE))
            {
                continue;
            }
            let jitter = 1.0 + JITTER * rng.f64();
            let score = factor / median * worker.burden() * jitter;
            if best.is_none_or(|(least, ..)| score < least) {
                best = Some((score, name, worker));
            }
        }
        best.map(|(_, name, worker)| Choice {
            worker: name.clone(),
            expected: need.step.estimate.mul_f64(worker.factor_of(need.step)),
            free: worker.free(),
            age: now.saturating_sub(worker.reported),
        })
    }
}

impl Worker {
    /// Whether it has room for the task and is one that may run it.
    fn may_hold(&self, now: Uptime, need: Need<'_>) -> bool {
        need.step.needs.fits(self.free())
            && self.serves(need.pool)
            && need.step.label.as_ref().is_none_or(|l| self.has_label(l))
            && self.may_be_tried(now)
    }

    /// An ejected worker gets one run at a time once its time is over.
    fn may_be_tried(&self, now: Uptime) -> bool {
        self.ejected_until
            .is_none_or(|until| now >= until && self.runs == 0)
    }

    /// Run time over estimate that is expected of a task here.
    fn factor_of(&self, step: &Step) -> f64 {
        let away = step.rack.as_ref().is_some_and(|rack| !self.has_label(rack));
        let factor = if away { OTHER_RACK_FACTOR } else { 1.0 };
        (self.run_factor * factor).min(MAX_RUN_FACTOR)
    }

    /// How much less it is preferred for its failures and for being full.
    fn burden(&self) -> f64 {
        let capacity = self
            .info
            .as_ref()
            .map_or(1, |info| info.capacity.cpu_milli.max(1));
        let taken = 1.0 - f64::from(self.free().cpu_milli) / f64::from(capacity);
        let failing = 1.0 + FAILING_WEIGHT * f64::from(self.room.failing);
        failing * (1.0 + FULL_WEIGHT * taken * taken)
    }
}
