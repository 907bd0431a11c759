//! The control node: maintains the replicated log of the cluster's configuration.
//!
//! [`run`] is the daemon with the product's own interface. [`pooled`] is the daemon for pooled
//! work: operators also publish its catalogue, over an HTTP protocol that the caller supplies, and
//! a new cluster starts without `--init`.

mod api;
mod event_loop;
pub mod operations;
pub mod pooled;
mod settings;
mod store;

pub use event_loop::{ControlError, run};
