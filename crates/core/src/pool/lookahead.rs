//! Looking ahead: when workers will have room, and room reserved for large waiting tasks.

use serde::{Deserialize, Serialize};

use super::job::{Resources, TaskId};

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
