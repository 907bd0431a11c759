//! Pooled jobs: tasks that ask for resources and run under leases on workers that tell what runs.
//!
//! The entry owns a job and chooses workers ([`scheduler`]); the agent drives one worker and is the
//! only one that calls it ([`driver`]). Such a job is answered when it ends and may run again from
//! the start after a lost connection, but no task of it ever runs twice at the same time.
//!
//! The present time is an [`Uptime`], so that a suspended process finds out how long it was away.

pub mod catalog;
pub mod driver;
pub mod fleet;
pub mod job;
pub mod msg;
pub mod owners;
pub mod scheduler;

use std::time::Duration;

/// Time since the machine started, counting the time that it was suspended.
pub type Uptime = Duration;

/// An agent that hears nothing of an entry for this long stops the entry's runs.
///
/// A caller sends a job again 1,300 ms after its connection broke at the earliest. An agent that is
/// killed before it noticed the silence leaves the runs to the worker's lease, so that both times
/// must fit into that.
pub const SILENCE: Duration = Duration::from_millis(700);
/// Time between two messages on a link that has nothing else to say; three may be lost.
pub const PING_EVERY: Duration = Duration::from_millis(200);
/// The lease that agents ask of workers: several renewals may be lost before it lapses, and what a
/// lost worker ran is known to have ended soon after.
pub const LEASE: Duration = Duration::from_millis(500);
/// The longest time that a worker's tasks run on without a renewal: its clock may be 2% slow.
pub const WORKER_LEASE: Duration = Duration::from_millis(510);
/// Time for messages on their way and late timers when a lapse is waited for.
pub const LAPSE_MARGIN: Duration = Duration::from_millis(150);
