//! The clocks, read only at the adapters' edge.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

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
