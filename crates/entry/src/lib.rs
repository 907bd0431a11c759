//! The entry: accepts jobs from callers and dispatches their tasks.
//!
//! [`run`] is the daemon with this project's own HTTP interface. [`pooled`] is the daemon for
//! pooled jobs, whose callers' protocol is a [`pooled::CallerProtocol`].

mod api;
mod callers;
mod event_loop;
pub mod pooled;
mod request;
mod settings;
mod stats;

pub use event_loop::{StartError, run};
