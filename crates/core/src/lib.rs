//! The core logic of redwingwick, as state machines without I/O.
//!
//! Nothing in this crate does I/O, starts a thread or reads a clock. The functions that make
//! decisions take the present time as an argument and return typed actions for the caller to carry
//! out.

pub mod agent;
pub mod answer;
pub mod claim;
pub mod codec;
pub mod config;
pub mod dispatcher;
pub mod fence;
pub mod fleet;
pub mod grants;
pub mod ids;
pub mod job;
pub mod journal;
pub mod linking;
pub mod members;
pub mod msg;
pub mod placement;
pub mod pool;
pub mod queue;
pub mod quota;
pub mod raft;
pub mod registry;
