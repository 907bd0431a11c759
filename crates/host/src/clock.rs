//! The clocks, read only at the adapters' edge.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rw_core::dispatcher::Now;
use rw_core::ids::WallMs;

/// The wall clock.
pub fn wall() -> WallMs {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallMs(since.as_millis() as u64)
}

/// Both clocks.
pub fn now() -> Now {
    Now {
        mono: Instant::now(),
        wall: wall(),
    }
}

/// Time since the machine started, counting the time that it was suspended.
pub fn uptime() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
