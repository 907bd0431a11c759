//! Looking ahead: when workers will have room, and room reserved for large waiting tasks.

mod ratios;
mod sizes;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::job::{Resources, TaskId};
use super::millis;

pub use ratios::Ratios;
pub use sizes::Sizes;

/// Maximum number of rows of a [`Forecast`].
pub const MAX_STEPS: usize = 4;
/// Time for which a reservation stands unless it is renewed. Shorter than the time after which an
/// agent gives up a silent entry, since idle room costs other callers.
pub const RESERVATION_LEASE: Duration = Duration::from_millis(400);
/// Interval between renewals; one may be lost or late.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(150);

/// Room that a worker is expected to have later.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Forecast {
    /// Free capacity from certain times on, earliest first; few rows.
    pub steps: Vec<ForecastStep>,
}

/// One row of a [`Forecast`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForecastStep {
    /// Milliseconds from the report on.
    pub after_ms: u32,
    /// Free capacity from then on, if nothing else starts.
    pub free: Resources,
}

/// A request to keep room for a large task.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reservation {
    /// The task.
    pub task: TaskId,
    /// Resources that it needs.
    pub needs: Resources,
    /// Milliseconds for which the reservation stands unless it is renewed.
    pub lease_ms: u32,
}

impl Forecast {
    /// Creates the forecast of a worker that has `free` now and from each of the times of `ends`,
    /// which are in order, the amount beside it in addition.
    ///
    /// It has rows for the times from which the amounts of `wanted` fit, and for the last end.
    pub fn new(free: Resources, ends: &[(Duration, Resources)], wanted: &[Resources]) -> Self {
        let mut steps = vec![ForecastStep { after_ms: 0, free }];
        let mut wanted: Vec<Resources> = wanted.to_vec();
        wanted.truncate(MAX_STEPS - 2);
        let mut total = free;
        wanted.retain(|needs| !needs.fits(total));
        for (i, (after, freed)) in ends.iter().enumerate() {
            total = total.plus(*freed);
            let before = wanted.len();
            wanted.retain(|needs| !needs.fits(total));
            if wanted.len() < before || i + 1 == ends.len() {
                steps.push(ForecastStep {
                    after_ms: millis(*after),
                    free: total,
                });
            }
        }
        Self { steps }
    }

    /// Returns the time from which the room is expected to suffice; `None` if it is not by the last
    /// row.
    pub fn available_after(&self, needs: Resources) -> Option<Duration> {
        let fitting = self.steps.iter().find(|step| needs.fits(step.free))?;
        Some(Duration::from_millis(fitting.after_ms.into()))
    }

    /// Returns whether some row differs by more than `time` or by more than `cpu_milli` from that of
    /// a forecast made `age` before.
    pub fn differs_notably(
        &self,
        earlier: &Self,
        age: Duration,
        time: Duration,
        cpu_milli: u32,
    ) -> bool {
        self.steps.len() != earlier.steps.len()
            || self.steps.iter().zip(&earlier.steps).any(|(new, old)| {
                let expected = u64::from(old.after_ms).saturating_sub(millis(age).into());
                u64::from(new.after_ms).abs_diff(expected) > millis(time).into()
                    || new.free.cpu_milli.abs_diff(old.free.cpu_milli) > cpu_milli
            })
    }
}
