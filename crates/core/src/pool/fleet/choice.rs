//! Choice of the worker for a task.

use std::time::Duration;

use super::super::job::{Resources, Step};
use super::super::{Uptime, scaled};
use super::{Fleet, Worker, WorkerVerdict};
use crate::ids::Name;

/// Factor on the run time of a task on a worker outside the rack of its data, if none is set.
pub(super) const OTHER_RACK_FACTOR: f64 = 1.5;
/// Weight of the share of failed runs in a worker's score: one that fails every run counts as
/// slower by this multiple of its run time.
const FAILURE_WEIGHT: f64 = 2.0;
/// Weight of the square of the CPU utilization in a worker's score. Tasks that still end in time on
/// a slow worker go there when the fast ones are nearly full, which leaves the fast ones to other
/// tasks.
const UTILIZATION_WEIGHT: f64 = 1.2;
/// Utilization that a worker counts as having for a small task that would leave room for fewer large
/// tasks there. With [`UTILIZATION_WEIGHT`], this exceeds a full worker's score by just over
/// [`JITTER`], so that a worker of the same speed with other room comes first and a much slower one
/// does not.
const SPLITTING_UTILIZATION: f64 = 1.25;
/// Share of the time to its aim within which a task must be expected to end on a worker.
pub(super) const IN_TIME_SHARE: f64 = 0.97;
/// Maximum number of workers compared at first. Sampling keeps entries from all sending to the same
/// few best workers, and bounds the cost of a choice in a large cluster.
const SAMPLE_SIZE: usize = 14;
/// Maximum random increase of a score, so that entries do not all choose the same worker. Values of
/// 0.06 and 0.60 gave worse results over eight days of load peaks.
const JITTER: f64 = 0.30;
/// Room for so many tasks of the same needs is safe to use without a promise: other entries hardly
/// take all of it before the start arrives.
const AMPLE_TASKS: u32 = 6;
/// With room for so many such tasks a start is tried without a promise. With less, the agent
/// promises room soon after the entry announces that jobs wait.
const FEW_TASKS: u32 = 3;
/// Upper bound of the ratio of run time to estimate.
const MAX_RUN_FACTOR: f64 = 100.0;

/// What a task requires of a worker.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// The pool that serves its queue.
    pub pool: &'a Name,
    /// The task's step.
    pub step: &'a Step,
    /// Time within which it should end; `None` if run time does not restrict the choice.
    pub in_time: Option<Duration>,
    /// Whether agents know that jobs wait here, and promise room to this entry in turn.
    pub announced: bool,
}

/// On what grounds room was expected at a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Basis {
    /// It was promised to this entry.
    Promised,
    /// There is room for several such tasks.
    Ample,
    /// There is room that other entries may use first.
    #[default]
    Contended,
}

impl Basis {
    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Promised => "promised",
            Self::Ample => "ample",
            Self::Contended => "contended",
        }
    }
}

/// A worker chosen for a task, with the inputs of the decision.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The worker.
    pub worker: Name,
    /// Expected run time of the task on it.
    pub expected: Duration,
    /// Free capacity assumed for it before the task.
    pub free: Resources,
    /// Age of the report behind `free`.
    pub age: Duration,
    /// Why the room is expected to be there when the start arrives.
    pub basis: Basis,
}

impl Fleet {
    /// Returns the worker with the best score (speed, free CPU, failures) among those that have the
    /// capacity for the task and on which it is expected to end in time; `None` if there is none.
    ///
    /// Workers with room that is promised or ample come first, then those with room for a few such
    /// tasks, or where the task is larger than what is promised at a time. A random sample of workers
    /// is tried before all of them. `allowed` can exclude workers.
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
        let needs = need.step.needs;
        if all > SAMPLE_SIZE {
            // Workers are in the order in which they were linked, which differs between entries.
            let first = rng.usize(0..all);
            let sample =
                (first..first + SAMPLE_SIZE).filter_map(|i| self.workers.get_index(i % all));
            let safe = sample.filter(|(_, worker)| worker.is_safe(needs));
            let chosen = self.best_of(now, need, safe, &allowed, rng);
            if chosen.is_some() {
                return chosen;
            }
        }
        let safe = self.workers.iter().filter(|(_, w)| w.is_safe(needs));
        self.best_of(now, need, safe, &allowed, rng).or_else(|| {
            let others = self.workers.iter().filter(|(_, w)| w.may_be_asked(needs));
            self.best_of(now, need, others, &allowed, rng)
        })
    }

    /// Returns the best of the named workers, as [`Fleet::choose`] does.
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
        let needs = need.step.needs;
        let candidates = names
            .iter()
            .filter_map(|name| self.workers.get_key_value(name))
            .filter(|(_, w)| !need.announced || w.is_safe(needs) || !needs.fits(w.report.unit));
        self.best_of(now, need, candidates, &allowed, rng)
    }

    fn best_of<'a, F, I>(
        &self,
        now: Uptime,
        need: Need<'_>,
        candidates: I,
        allowed: &F,
        rng: &mut fastrand::Rng,
    ) -> Option<Choice>
    where
        F: Fn(&Name) -> bool,
        I: Iterator<Item = (&'a Name, &'a Worker)>,
    {
        let measures = self.measures(need);
        let mut best: Option<(f64, Duration, &Name, &Worker)> = None;
        for (name, worker) in candidates {
            let verdict = worker.verdict(now, need, measures);
            let WorkerVerdict::Suitable { score, expected } = verdict else {
                continue;
            };
            if !allowed(name) {
                continue;
            }
            let score = score * (1.0 + JITTER * rng.f64());
            if best.is_none_or(|(least, ..)| score < least) {
                best = Some((score, expected, name, worker));
            }
        }
        best.map(|(_, expected, name, worker)| Choice {
            worker: name.clone(),
            expected,
            free: worker.free(),
            age: now.saturating_sub(worker.reported),
            basis: worker.basis(need.step.needs),
        })
    }
}

impl Worker {
    /// Returns whether it accepts runs and suits the task, whatever its room.
    pub(super) fn may_start(&self, now: Uptime, need: Need<'_>) -> bool {
        self.accepts_runs(now)
            && self.suits(need)
            && self.may_be_tried(now)
            && self.is_warm_enough(now)
    }

    /// Returns the expected run time of a task on this worker.
    pub(super) fn expected(&self, now: Uptime, step: &Step, other_rack_factor: f64) -> Duration {
        scaled(
            step.estimate,
            self.expected_run_factor(now, step, other_rack_factor),
        )
    }

    /// Returns on what grounds there is room for a task.
    fn basis(&self, needs: Resources) -> Basis {
        if needs.fits(self.promised()) {
            Basis::Promised
        } else if needs.times(AMPLE_TASKS).fits(self.obtainable()) {
            Basis::Ample
        } else {
            Basis::Contended
        }
    }

    /// Returns whether a start is worth a try without a promise.
    pub(super) fn may_be_asked(&self, needs: Resources) -> bool {
        needs.times(FEW_TASKS).fits(self.obtainable()) || !needs.fits(self.report.unit)
    }

    /// Returns whether a start is hardly refused for lack of room.
    pub(super) fn is_safe(&self, needs: Resources) -> bool {
        self.basis(needs) != Basis::Contended
    }

    /// Returns whether it is not ejected, or is due for a try. An ejected worker gets one run at a
    /// time.
    pub(super) fn may_be_tried(&self, now: Uptime) -> bool {
        self.ejected_until
            .is_none_or(|until| now >= until && self.runs == 0)
    }

    /// Returns the expected ratio of run time to estimate of a task on this worker.
    pub(super) fn expected_run_factor(
        &self,
        now: Uptime,
        step: &Step,
        other_rack_factor: f64,
    ) -> f64 {
        let other_rack = step.rack.as_ref().is_some_and(|rack| !self.has_label(rack));
        let rack_factor = if other_rack { other_rack_factor } else { 1.0 };
        (self.present_run_factor(now) * rack_factor).min(MAX_RUN_FACTOR)
    }

    /// Returns the factor, at least 1, by which failures and utilization worsen its score. `large` are
    /// the needs of the large tasks for which room is to be left.
    pub(super) fn score_factor(&self, needs: Resources, large: Option<Resources>) -> f64 {
        let capacity = self
            .info
            .as_ref()
            .map_or(1, |info| info.capacity.cpu_milli.max(1));
        let utilization = match large.map(|large| self.beside_large(needs, large)) {
            Some(None) => SPLITTING_UTILIZATION,
            Some(Some(beside)) => 1.0 - f64::from(beside) / f64::from(capacity),
            None => 1.0 - f64::from(self.free().cpu_milli) / f64::from(capacity),
        };
        let failing = 1.0 + FAILURE_WEIGHT * f64::from(self.report.failing);
        failing * (1.0 + UTILIZATION_WEIGHT * utilization * utilization)
    }
}
