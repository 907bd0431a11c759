//! Whether the workers known to an entry will soon be full, from how much of them is in use and how
//! fast that grows.

use std::time::Duration;

use super::super::Uptime;

/// Interval between two looks at the workers.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Time constant of the smoothed growth.
const SLOPE_TIME: Duration = Duration::from_millis(500);
/// How far ahead the use is expected to grow on: the time in which links are opened and judged.
const LOOK_AHEAD: Duration = Duration::from_millis(200);
/// Share in use from which on the room left is less than one job of several tasks for each of the
/// entries that share it.
const HIGH: f64 = 0.92;
/// Looks in a row that must show a high use, so that a single large job does not count.
const MIN_HIGH_SAMPLES: u32 = 3;
/// Share in use below which there is no pressure any more.
const LOW: f64 = 0.85;

/// Use of the known workers over time.
#[derive(Debug, Default)]
pub(super) struct Pressure {
    /// Time and share in use, 0 to 1, of the last look.
    last: Option<(Uptime, f64)>,
    /// Smoothed growth of the share in use per second.
    slope: f64,
    /// Number of looks in a row that showed a high use.
    high_samples: u32,
    is_high: bool,
}

impl Pressure {
    /// Returns whether a look at the workers is due.
    pub(super) fn is_due(&self, now: Uptime) -> bool {
        self.last.is_none_or(|(at, _)| now >= at + SAMPLE_INTERVAL)
    }

    /// Records the share of the known workers that is in use now.
    pub(super) fn sample(&mut self, now: Uptime, used: f64) {
        if let Some((at, before)) = self.last {
            let passed = now.saturating_sub(at).as_secs_f64();
            let weight = 1.0 - (-passed / SLOPE_TIME.as_secs_f64()).exp();
            self.slope += weight * ((used - before) / passed.max(0.001) - self.slope);
        }
        self.last = Some((now, used));
        let expected = used + self.slope.max(0.0) * LOOK_AHEAD.as_secs_f64();
        self.high_samples = if expected >= HIGH {
            self.high_samples + 1
        } else {
            0
        };
        self.is_high = if self.is_high {
            expected >= LOW
        } else {
            self.high_samples >= MIN_HIGH_SAMPLES
        };
    }

    /// Returns whether the known workers are, or will soon be, nearly full.
    pub(super) fn is_high(&self) -> bool {
        self.is_high
    }

    /// Returns the share in use at the last look.
    pub(super) fn used(&self) -> f64 {
        self.last.map_or(0.0, |(_, used)| used)
    }
}
