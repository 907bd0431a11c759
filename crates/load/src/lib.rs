//! Tools for tests and benchmarks: a test cluster of real processes on loopback, fault injection,
//! simulated callers, recorded load, the benchmarks, and the ideal scheduler to which their
//! response times are compared.

pub mod bench;
pub mod bounds;
pub mod caller;
pub mod cluster;
pub mod flood;
pub mod forwarder;
pub mod ideal;
pub mod replay;
pub mod slopes;
pub mod soak;
pub mod workload;
