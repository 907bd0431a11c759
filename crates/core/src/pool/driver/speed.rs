//! The worker's present speed, from the progress of what runs on it.
//!
//! Run times of ended runs tell of a slowdown only once runs have ended, so that a worker that
//! turns slow takes further runs meanwhile. The progress of several runs tells of it within a few
//! lists.

use super::super::Uptime;
use super::{Driver, Duration, Run, State};

/// Minimum time between the two observations from which the rate of progress is worked out.
const MIN_WINDOW: Duration = Duration::from_millis(60);
/// Age after which a rate of progress says nothing of the present speed.
const RATE_RETENTION: Duration = Duration::from_millis(150);
/// Minimum number of runs whose progress is compared with their estimates. Single estimates are
/// often far off.
const MIN_RUNS: usize = 5;
/// Difference of the natural logarithm of the pace from which progress overrides what was learned:
/// a factor of 2.5. Estimates that are off by half, and long runs among few, stay below it.
const STEP: f32 = 0.9;
/// Share of the difference by which the learned pace moves with one list.
const STEP_RATE: f32 = 0.5;
/// Minimum time between two such updates.
const STEP_INTERVAL: Duration = Duration::from_millis(40);
/// Time after such an update for which a worker counts as one that has turned slow.
const SLOWED_PERIOD: Duration = Duration::from_secs(1);

/// Progress of a run over the last observed window.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// Percent at the begin of the present window.
    from_percent: u8,
    /// Begin of the present window.
    from: Uptime,
    /// Run time for each percent in the last complete window, and when that window ended.
    per_percent: Option<(Duration, Uptime)>,
}

impl Progress {
    /// Creates the progress of a run that is about to start.
    pub(super) fn new(now: Uptime) -> Self {
        Self {
            from_percent: 0,
            from: now,
            per_percent: None,
        }
    }

    /// Records the progress that a list states. A run without progress counts as one that is about
    /// to gain a percent.
    fn observe(&mut self, now: Uptime, percent: u8) {
        let passed = now.saturating_sub(self.from);
        if passed < MIN_WINDOW {
            return;
        }
        let gained = percent.saturating_sub(self.from_percent).max(1);
        *self = Self {
            from_percent: percent,
            from: now,
            per_percent: Some((passed / u32::from(gained), now)),
        };
    }

    /// Returns the run time for each percent, if it was observed recently.
    pub(super) fn recent(&self, now: Uptime) -> Option<Duration> {
        let (per_percent, at) = self.per_percent?;
        (now <= at + RATE_RETENTION).then_some(per_percent)
    }
}

impl Driver {
    /// Moves the learned pace towards the median of what the progress of the runs tells, if the two
    /// differ by a large factor. Returns whether it moved.
    pub(super) fn learn_from_progress(&mut self, now: Uptime) -> bool {
        if now < self.pace_stepped + STEP_INTERVAL {
            return false;
        }
        let mut ratios: Vec<f32> = self
            .runs
            .values()
            .filter_map(|run| run.present_ratio(now))
            .collect();
        if ratios.len() < MIN_RUNS {
            return false;
        }
        ratios.sort_by(f32::total_cmp);
        let difference = ratios[ratios.len() / 2] - self.pace(now);
        if difference.abs() < STEP {
            return false;
        }
        self.pace = self.pace(now) + STEP_RATE * difference;
        self.pace_updated = now;
        self.pace_stepped = now;
        if difference > 0.0 {
            self.slowed = Some(now);
        }
        true
    }
}

impl Driver {
    /// Returns whether the worker has recently turned slow, so that its runs are to be judged by
    /// their present rate of progress.
    pub(super) fn has_slowed(&self, now: Uptime) -> bool {
        let recent = self.slowed.is_some_and(|at| now < at + SLOWED_PERIOD);
        recent && self.pace(now) > STEP
    }
}

impl Run {
    /// Records the progress that a list states.
    pub(super) fn observe_progress(&mut self, now: Uptime, percent: u8) {
        if percent > self.percent {
            self.percent = percent;
            self.last_progress = now;
        }
        self.progress.observe(now, percent);
    }

    /// Returns the natural logarithm of the ratio of its run time, at the present rate of progress,
    /// to its estimate.
    fn present_ratio(&self, now: Uptime) -> Option<f32> {
        if self.state != State::Running || self.estimate.is_zero() {
            return None;
        }
        let total = self.progress.recent(now)? * 100;
        Some(
            (total.as_secs_f32() / self.estimate.as_secs_f32())
                .ln()
                .clamp(-3.0, 3.0),
        )
    }

    /// Returns the expected time to its end: at the present rate of progress or, if that is not
    /// known, at the average rate.
    pub(super) fn time_left(&self, now: Uptime) -> Duration {
        let percent = u32::from(self.percent.clamp(1, 100));
        let average = now.saturating_sub(self.started) / percent;
        self.progress.recent(now).unwrap_or(average) * (100 - percent)
    }
}
