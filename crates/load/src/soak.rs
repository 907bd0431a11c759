//! Soak test: steady load on a cluster of real processes while overlapping faults are injected from
//! outside.
//!
//! The seed determines which faults are injected, and when. The guarantees are checked against what
//! callers, operators and backend servers observe. Steps of the wall clock and lost datagrams are
//! not injected: they need more than the rights of an ordinary user, or support by the programs.
//! The models of the core cover them.

mod callers;
mod checks;
mod faults;
mod operators;

use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use fastrand::Rng;
use indexmap::IndexMap;
use serde::Serialize;

use crate::cluster::{ClusterPlan, TestCluster};

use callers::Callers;
use faults::FaultInjector;
use operators::Operators;

/// Size of the cluster: small, but the loss of one process of any kind leaves others of that kind.
const CONTROLS: usize = 3;
const ENTRIES: usize = 2;
const WORKERS: usize = 6;
const DOMAINS: usize = 3;
/// Interval at which faults are injected and ended.
const STEP_INTERVAL: Duration = Duration::from_millis(5);
/// Time within which the cluster must serve again after all faults have ended. Links and membership
/// detect a change within 3 s, a shard moves within a further 0.5 s, and a process that is in doubt
/// waits for leases of 2 s to expire.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Parameters of one soak test.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    /// Seed of the load and of the faults.
    pub seed: u64,
    /// Duration of the fault injection.
    pub time: Duration,
    /// Whether to print the list of faults even if no guarantee was violated.
    pub trace: bool,
}

/// Result of a soak test.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Number of submitted jobs.
    pub jobs: usize,
    /// Number of jobs whose last answer was complete and correct.
    pub whole: usize,
    /// Number of jobs whose last submission failed with an unknown outcome, got an incorrect
    /// answer, or got none.
    pub unknown: usize,
    /// Number of jobs whose last answer was a refusal that states that no task was run.
    pub not_run: usize,
    /// Number of acknowledged configuration changes.
    pub changes: usize,
    /// Number of confirmed reads of the configuration.
    pub reads: usize,
    /// Number of different tasks that backend servers started.
    pub started: usize,
    /// Number of injected faults of each kind.
    pub faults: IndexMap<String, usize>,
    /// Resident memory of all entries together, in MB: after a tenth of the duration, and at the
    /// end.
    pub entries_mb: [f64; 2],
    /// Descriptions of violated guarantees. Empty if the test passed.
    pub violations: Vec<String>,
    /// Folder with settings, logs and journals. Kept only if a guarantee was violated.
    pub folder: Option<PathBuf>,
}

impl Soak {
    /// Runs the test on a new cluster. Fails if the cluster does not start, or if a fault cannot be
    /// injected or ended; a violated guarantee is no error but part of the report.
    pub fn run(self) -> io::Result<Report> {
        let plan = ClusterPlan {
            controls: CONTROLS,
            entries: ENTRIES,
            speeds: vec![1.0; WORKERS],
            domains: DOMAINS,
            tenants: vec![("t1", 1)],
            forwarders: true,
            ..ClusterPlan::default()
        };
        let mut cluster = TestCluster::start(plan)?;
        let mut rng = Rng::with_seed(self.seed);
        let callers = Callers::start(&cluster, &mut rng)?;
        let operators = Operators::start(&cluster.operator())?;
        let mut faults = FaultInjector::new(rng);
        let start = Instant::now();
        let mut early_mb = None;
        while start.elapsed() < self.time {
            faults.step(start.elapsed(), &mut cluster)?;
            if early_mb.is_none() && start.elapsed() > self.time / 10 {
                early_mb = Some(entries_mb(&cluster));
            }
            std::thread::sleep(STEP_INTERVAL);
        }
        faults.end_all(start.elapsed(), &mut cluster)?;
        let submissions = callers.finish();
        let observations = operators.finish();
        let mut report = Report {
            seed: self.seed,
            changes: observations.acknowledged.len(),
            reads: observations.reads,
            entries_mb: [early_mb.unwrap_or_default(), entries_mb(&cluster)],
            ..Report::default()
        };
        checks::recovery(&cluster, &observations, RECOVERY_TIMEOUT, &mut report);
        checks::starts(&cluster, &submissions, &mut report);
        checks::configuration(&observations, &mut report);
        checks::shutdowns(&submissions, &faults, &mut report);
        report.violations.extend(faults.violations.iter().cloned());
        report.faults.clone_from(&faults.counts);
        if self.trace || !report.violations.is_empty() {
            for (at, event) in &faults.events {
                eprintln!("{:7.3} s {event}", at.as_secs_f64());
            }
        }
        if !report.violations.is_empty() {
            report.folder = Some(cluster.keep_folder());
        }
        Ok(report)
    }
}

/// Returns the resident memory of all entries together, in MB.
fn entries_mb(cluster: &TestCluster) -> f64 {
    let memory = (0..ENTRIES).map(|i| cluster.memory_bytes(&format!("e{i}")));
    memory.sum::<u64>() as f64 / 1e6
}
