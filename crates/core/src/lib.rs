//! The deciding core of redwingwick.
//!
//! Nothing in this crate does I/O, starts a thread or reads a clock: each function that decides
//! takes the present time as an argument and returns what is to be done as typed actions.

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
