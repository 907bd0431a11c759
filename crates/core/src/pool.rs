//! Pooled jobs: tasks that declare resource needs and run under leases on workers that report their
//! runs.
//!
//! An entry accepts a job from a caller and chooses workers for its tasks ([`scheduler`]). An agent
//! controls one worker and is the only process that calls it ([`driver`]). The caller gets the
//! answer when the job ends. A job may run again from the start after a lost connection, but no
//! task of it ever runs twice at the same time.
//!
//! Times are [`Uptime`]s, which include suspended time, so that a process can tell how long it was
//! suspended.

pub mod acquaintance;
pub mod catalog;
pub mod driver;
pub mod fleet;
pub mod floors;
pub mod job;
pub mod lookahead;
pub mod msg;
pub mod overload;
pub mod owners;
pub mod question;
pub mod reach;
pub mod room;
pub mod scheduler;
pub mod shares;
pub mod subset;

use std::time::Duration;

/// Time since the machine started, including the time that it was suspended.
pub type Uptime = Duration;

/// Time without messages after which a link is closed, and an agent stops the runs of the entry at
/// its other end.
///
/// An agent that is killed before it detects the timeout leaves the runs to the worker's lease.
/// This time and the lease must together be shorter than 1,300 ms, the earliest time after a broken
/// connection at which a caller sends a job again.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval between keep-alive messages on an idle link; three may be lost before the link times
/// out.
pub const PING_EVERY: Duration = Duration::from_millis(200);
/// The timing of keep-alive messages on a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeepAlive {
    /// Time since the last message after which one is sent.
    pub ping_every: Duration,
    /// Time without messages after which the link is closed.
    pub silence_timeout: Duration,
}

impl KeepAlive {
    /// On links between entries and agents.
    pub const AGENT: Self = Self {
        ping_every: PING_EVERY,
        silence_timeout: SILENCE_TIMEOUT,
    };
    /// Number of entries up to which their links are kept alive as those with agents.
    pub const FEW_ENTRIES: usize = 16;
    /// Between entries, if there are more: each has a link to all others, whose pings would cost
    /// more than its work. No permission rests on these links; the loss of an entry is only noticed
    /// later by those that wait for a job of it.
    ///
    /// The interval is below the shorter timeout, which a process that knows of few entries may use.
    pub const MANY_ENTRIES: Self = Self {
        ping_every: Duration::from_millis(500),
        silence_timeout: Duration::from_millis(1750),
    };

    /// Returns the timing on links between entries in a cluster with this number of entries.
    pub fn between_entries(entries: usize) -> Self {
        if entries <= Self::FEW_ENTRIES {
            Self::AGENT
        } else {
            Self::MANY_ENTRIES
        }
    }
}

/// Lease that agents request from workers: long enough that several renewals may be lost, short
/// enough that runs on a lost worker are soon known to have ended.
pub const LEASE: Duration = Duration::from_millis(500);
/// By how many percent a worker's clock may be slow. It is never fast.
pub const MAX_CLOCK_DRIFT_PERCENT: u32 = 2;
/// Maximum time that a worker's tasks run without a lease renewal, on a clock that is as slow as it
/// may be.
pub const WORKER_LEASE: Duration =
    Duration::from_micros(LEASE.as_micros() as u64 * 100 / (100 - MAX_CLOCK_DRIFT_PERCENT as u64));
/// Allowance for messages in transit and late timers, added when waiting for a lease to expire.
pub const LEASE_EXPIRY_MARGIN: Duration = Duration::from_millis(150);
/// Upper bound of computed times, about 100 years; sums of a few of them do not overflow.
pub const MAX_TIME: Duration = Duration::from_secs(100 * 365 * 24 * 3600);

/// Returns a time of so many seconds, between 0 and [`MAX_TIME`]; 0 for a number that is not one.
pub fn seconds(seconds: f64) -> Duration {
    if seconds.is_nan() {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_TIME.as_secs_f64()))
}

/// Returns a time multiplied by a factor, between 0 and [`MAX_TIME`].
///
/// Callers and operators choose estimates and factors, which [`Duration::mul_f64`] would panic on.
pub fn scaled(time: Duration, factor: f64) -> Duration {
    seconds(time.as_secs_f64() * factor)
}

/// Returns whole milliseconds, at most [`u32::MAX`].
pub fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
