//! Tools for tests and measurements: a laboratory of real processes on loopback, callers, recorded
//! load, the ideal that response times are compared with, and the benchmarks.

pub mod bench;
pub mod bounds;
pub mod caller;
pub mod flood;
pub mod forwarder;
pub mod ideal;
pub mod lab;
pub mod replay;
pub mod slopes;
pub mod soak;
pub mod workload;
