//! Load reports that entries exchange, so that each can work out its share of a pool.

use serde::{Deserialize, Serialize};

use crate::ids::Name;

/// The recent load of one entry, by queue.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// One row for each queue with recent work.
    pub queues: Vec<QueueLoad>,
}

/// The recent load of one queue at one entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueueLoad {
    /// The queue.
    pub queue: Name,
    /// Work that callers submitted, in thousandths of a core.
    pub asked_milli: u32,
    /// Work that was sent to workers, in thousandths of a core.
    pub sent_milli: u32,
    /// Work that waits, in core-milliseconds.
    pub waiting: u32,
}
