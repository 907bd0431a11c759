//! The entry: accepts jobs from callers and dispatches their tasks.
//!
//! [`run`] is the daemon with the product's own interface; [`pooled`] the one for pooled jobs, whose
//! callers are served through a port.

mod api;
mod callers;
mod duty;
pub mod pooled;
mod request;
mod settings;
mod stats;

pub use duty::{StartError, run};
