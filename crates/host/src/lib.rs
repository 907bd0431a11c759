//! Adapters between the core and the operating system that the redwingwick programs share: clocks,
//! sockets, HTTP, signals, settings files, logs and metrics.

pub mod clock;
pub mod cluster;
pub mod daemon;
pub mod dial;
pub mod http;
pub mod json;
pub mod link;
pub mod logging;
pub mod metrics;
pub mod net;
pub mod panics;
pub mod peers;
pub mod pooled;
pub mod program;
pub mod settings;
