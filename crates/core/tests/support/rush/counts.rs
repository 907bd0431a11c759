//! What became of jobs and starts.

use std::time::Duration;

/// What became of jobs and starts since the last [`Rush::take_counts`].
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub starts: usize,
    /// Starts that agents sent to their workers.
    pub begun: usize,
    /// Starts refused for lack of room.
    pub no_room: usize,
    pub completed: usize,
    pub in_aim: usize,
    pub not_run: usize,
    /// Sum of the times from a job's arrival to the start of each of its tasks at an agent.
    pub until_start: Duration,
}

impl Counts {
    pub fn rejected_share(&self) -> f64 {
        self.no_room as f64 / self.starts.max(1) as f64
    }

    pub fn add(&mut self, other: &Self) {
        self.starts += other.starts;
        self.begun += other.begun;
        self.no_room += other.no_room;
        self.completed += other.completed;
        self.in_aim += other.in_aim;
        self.not_run += other.not_run;
        self.until_start += other.until_start;
    }

    pub fn mean_until_start(&self) -> Duration {
        self.until_start / self.begun.max(1) as u32
    }
}
