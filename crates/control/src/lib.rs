//! The control node: holds the replicated log of the configuration.
//!
//! [`run`] is the daemon with the product's own interface; [`pooled`] adds a port through which
//! operators publish the catalogue of pooled work, and a first start without `--init`.

mod api;
mod duty;
pub mod operations;
pub mod pooled;
mod settings;
mod store;

pub use duty::{ControlError, run};
