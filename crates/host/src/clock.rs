//! The system clocks. Only the adapters read them; the core is given the time.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rw_core::dispatcher::Now;
use rw_core::ids::WallMs;

/// Returns the wall-clock time in milliseconds since the Unix epoch, 0 before the epoch.
pub fn wall() -> WallMs {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    WallMs(since_epoch.as_millis() as u64)
}

/// Returns the readings of the monotonic and the wall clock.
pub fn now() -> Now {
    Now {
        mono: Instant::now(),
        wall: wall(),
    }
}

/// Returns the time since boot, including time spent suspended (`CLOCK_BOOTTIME`).
pub fn uptime() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
