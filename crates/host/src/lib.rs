//! Adapters that redwingwick's programs share: links, datagrams, settings, logs, metrics, HTTP.

pub mod clock;
pub mod cluster;
pub mod daemon;
pub mod dial;
pub mod http;
pub mod link;
pub mod logging;
pub mod metrics;
pub mod net;
pub mod peers;
pub mod pooled;
pub mod program;
pub mod settings;
