//! How far run times are from their estimates.

use std::time::Duration;

use super::super::scaled;

/// Smoothing factor of the mean and of the variance.
const LEARNING_RATE: f64 = 0.05;
/// Variance before anything was learned: estimates may be off by a factor of two.
const FIRST_VARIANCE: f64 = 0.25;
/// Number of standard deviations above the mean below which nearly all run times are; 95% of a
/// normal distribution.
const CAUTIOUS_DEVIATIONS: f64 = 1.65;
/// Largest absolute value of the logarithm of a ratio.
const MAX_LOG: f64 = 3.0;

/// Running mean and variance of the natural logarithm of the ratio of run time to estimate.
#[derive(Debug)]
pub struct Ratios {
    mean: f64,
    variance: f64,
}

impl Default for Ratios {
    fn default() -> Self {
        Self {
            mean: 0.0,
            variance: FIRST_VARIANCE,
        }
    }
}

impl Ratios {
    /// Records a run that was completed.
    pub fn add(&mut self, estimate: Duration, ran: Duration) {
        if estimate.is_zero() || ran.is_zero() {
            return;
        }
        let log = (ran.as_secs_f64() / estimate.as_secs_f64()).ln();
        let difference = log.clamp(-MAX_LOG, MAX_LOG) - self.mean;
        self.mean += LEARNING_RATE * difference;
        self.variance += LEARNING_RATE * (difference * difference - self.variance);
    }

    /// Returns the run time that about half of the runs with this estimate exceed.
    pub fn median(&self, estimate: Duration) -> Duration {
        scaled(estimate, self.mean.exp())
    }

    /// Returns the run time that few runs with this estimate exceed.
    pub fn cautious(&self, estimate: Duration) -> Duration {
        let log = self.mean + CAUTIOUS_DEVIATIONS * self.variance.sqrt();
        scaled(estimate, log.exp())
    }
}
