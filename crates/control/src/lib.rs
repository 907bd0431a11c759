//! The control node: maintains the replicated log of the cluster's configuration.
//!
//! [`run`] is the daemon with redwingwick's own HTTP interface. [`pooled`] is the daemon for pooled
//! jobs: operators also publish the catalogue, over an HTTP protocol that the caller supplies, and
//! a new cluster starts without `--init`.

mod api;
mod doors;
mod event_loop;
pub mod operations;
pub mod pooled;
mod settings;
mod store;

pub use event_loop::{ControlError, run};
