//! A fault soak: steady load on real processes while faults from outside strike and overlap.
//!
//! The seed decides what strikes when. The promises are checked from what callers, operators and
//! backend servers see. Not brought about: steps of the wall clock and lost datagrams, which need
//! more than an ordinary user's rights or the programs' help; the models of the core have them.

mod callers;
mod faults;
mod judge;
mod operators;

use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use fastrand::Rng;
use indexmap::IndexMap;
use serde::Serialize;

use crate::lab::{Lab, Plan};

use callers::Callers;
use faults::Faults;
use operators::Operators;

/// Control nodes, entries and workers: small, and a loss of each kind leaves others.
const CONTROLS: usize = 3;
const ENTRIES: usize = 2;
const WORKERS: usize = 6;
const DOMAINS: usize = 3;
/// Time between two steps of the run.
const STEP: Duration = Duration::from_millis(5);
/// Once all is healed, the cluster must serve again within this time: links and membership notice
/// within 3 s, a shard moves within 0.5 s more, and a process in doubt waits for leases of 2 s.
const RECOVERY: Duration = Duration::from_secs(20);

/// One soak.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    /// Decides what strikes when.
    pub seed: u64,
    /// Time under faults.
    pub time: Duration,
    /// Print what struck when, also if all promises held.
    pub trace: bool,
}

/// What a soak came to.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Jobs submitted.
    pub jobs: usize,
    /// Jobs whose last answer was whole.
    pub whole: usize,
    /// Jobs whose last answer was a failure that says "unknown", or none.
    pub unknown: usize,
    /// Jobs refused as not run.
    pub not_run: usize,
    /// Changes of the configuration that were acknowledged.
    pub changes: usize,
    /// Confirmed reads of the configuration.
    pub reads: usize,
    /// Tasks that backend servers saw.
    pub started: usize,
    /// Faults by kind.
    pub faults: IndexMap<String, usize>,
    /// Resident memory of the entries after a tenth of the time and at its end, in MB.
    pub entries_mb: [f64; 2],
    /// Broken promises. Must be empty.
    pub violations: Vec<String>,
    /// Where settings, logs and journals were left; only of a run with a broken promise.
    pub folder: Option<PathBuf>,
}

impl Soak {
    /// Runs it.
    pub fn run(self) -> io::Result<Report> {
        let plan = Plan {
            controls: CONTROLS,
            entries: ENTRIES,
            speeds: vec![1.0; WORKERS],
            domains: DOMAINS,
            tenants: vec![("t1", 1)],
            forwarders: true,
            ..Plan::default()
        };
        let mut lab = Lab::start(plan)?;
        let mut rng = Rng::with_seed(self.seed);
        let callers = Callers::start(&lab, &mut rng)?;
        let operators = Operators::start(&lab.operator())?;
        let mut faults = Faults::new(rng);
        let begun = Instant::now();
        let mut early = None;
        while begun.elapsed() < self.time {
            faults.step(begun.elapsed(), &mut lab)?;
            if early.is_none() && begun.elapsed() > self.time / 10 {
                early = Some(entries_mb(&lab));
            }
            std::thread::sleep(STEP);
        }
        faults.heal(begun.elapsed(), &mut lab)?;
        let tries = callers.end();
        let operated = operators.end();
        let mut report = Report {
            seed: self.seed,
            changes: operated.acknowledged.len(),
            reads: operated.reads,
            entries_mb: [early.unwrap_or_default(), entries_mb(&lab)],
            ..Report::default()
        };
        judge::recovery(&lab, &operated, RECOVERY, &mut report);
        judge::starts(&lab, &tries, &mut report);
        judge::configuration(&operated, &mut report);
        judge::shutdowns(&tries, &faults, &mut report);
        report.violations.extend(faults.violations.iter().cloned());
        report.faults.clone_from(&faults.counts);
        if self.trace || !report.violations.is_empty() {
            for (at, what) in &faults.events {
                eprintln!("{:7.3} s {what}", at.as_secs_f64());
            }
        }
        if !report.violations.is_empty() {
            report.folder = Some(lab.keep());
        }
        Ok(report)
    }
}

fn entries_mb(lab: &Lab) -> f64 {
    let memory = (0..ENTRIES).map(|i| lab.memory(&format!("e{i}")));
    memory.sum::<u64>() as f64 / 1e6
}
