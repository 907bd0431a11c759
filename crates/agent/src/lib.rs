//! The agent: the process that runs tasks on the backend servers or the worker of one VM.
//!
//! [`run`] is the daemon with this project's own HTTP interface. [`pooled`] is the daemon for
//! pooled jobs, which controls one worker through a [`pooled::WorkerProtocol`].

mod announce;
mod calls;
mod event_loop;
pub mod pooled;
mod replicas;
mod settings;
mod stats;

pub use event_loop::{StartError, run};
