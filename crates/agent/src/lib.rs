//! The agent: the process beside each backend server.
//!
//! [`run`] is the daemon with the product's own interface; [`pooled`] the one that drives a worker of
//! pooled jobs through a port.

mod announce;
mod calls;
mod duty;
pub mod pooled;
mod replicas;
mod settings;
mod stats;

pub use duty::{StartError, run};
