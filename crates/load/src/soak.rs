//! A fault run: steady load while processes are killed, frozen and restarted every two seconds.

use std::collections::HashMap;
use std::io;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use rustix::process::Signal;
use rw_core::ids::JobKey;
use serde::Serialize;

use crate::caller::{End, Job, Outcome, new_key, submit};
use crate::lab::{Lab, Plan};

/// Time between two faults.
const FAULT_EVERY: Duration = Duration::from_secs(2);
const FROZEN: Duration = Duration::from_millis(1700);
const RUN: Duration = Duration::from_millis(60);
const DEADLINE: Duration = Duration::from_secs(8);
/// Submissions of one job before its caller gives up.
const TRIES: usize = 4;
const MAX_TASKS: usize = 40;

/// What a fault run came to.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Jobs submitted.
    pub jobs: usize,
    /// Jobs whose last answer was whole.
    pub whole: usize,
    /// Jobs whose last answer was a failure that says "unknown", or none.
    pub unknown: usize,
    /// Jobs refused as not run.
    pub not_run: usize,
    /// Faults brought about.
    pub faults: usize,
    /// Tasks that backend servers saw.
    pub started: usize,
    /// Tasks that started more than once. Must be 0.
    pub started_twice: usize,
    /// Answers that were not the whole answer to their request. Must be 0.
    pub wrong: usize,
    /// Jobs refused as not run of which tasks started. Must be 0.
    pub false_not_run: usize,
    /// Memory of the first entry and agent after a tenth of the run and at its end, in MB.
    pub memory_mb: [f64; 4],
}

impl Report {
    /// Whether no promise was broken.
    pub fn holds(&self) -> bool {
        self.started_twice == 0 && self.wrong == 0 && self.false_not_run == 0
    }
}

/// Runs for a time at a rate of tasks a second.
pub fn run(time: Duration, rate: f64, seed: u64) -> io::Result<Report> {
    let plan = Plan {
        controls: 3,
        entries: 2,
        speeds: vec![1.0; 6],
        domains: 3,
        ..Plan::default()
    };
    let mut lab = Lab::start(plan)?;
    let (tx, rx) = mpsc::channel();
    let mut rng = Rng::with_seed(seed);
    let mut report = Report::default();
    let begun = Instant::now();
    let mut next_job = Duration::ZERO;
    let mut next_fault = FAULT_EVERY;
    let mut undo: Option<(Duration, Undo)> = None;
    let mut early_memory = None;
    while begun.elapsed() < time {
        let now = begun.elapsed();
        if now >= next_job {
            let tasks = rng.usize(1..=MAX_TASKS);
            next_job += Duration::from_secs_f64(tasks as f64 / rate);
            report.jobs += 1;
            start_job(&lab, tasks, rng.usize(0..2), tx.clone());
        }
        if undo.as_ref().is_some_and(|(at, _)| now >= *at)
            && let Some((_, undo)) = undo.take()
        {
            undo.carry_out(&mut lab)?;
        }
        if now >= next_fault && undo.is_none() {
            next_fault += FAULT_EVERY;
            report.faults += 1;
            undo = Some((now + FROZEN, fault(&mut lab, &mut rng)));
        }
        if early_memory.is_none() && now > time / 10 {
            early_memory = Some((lab.memory("e1"), lab.memory("w5")));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    if let Some((_, undo)) = undo {
        undo.carry_out(&mut lab)?;
    }
    drop(tx);
    let (e, w) = early_memory.unwrap_or_default();
    report.memory_mb = [e, w, lab.memory("e1"), lab.memory("w5")].map(|bytes| bytes as f64 / 1e6);
    let ends: HashMap<JobKey, Vec<Outcome>> = rx.iter().collect();
    judge(&lab, &ends, &mut report);
    Ok(report)
}

/// What ends a fault.
enum Undo {
    Thaw(String),
    Start(String),
}

impl Undo {
    fn carry_out(self, lab: &mut Lab) -> io::Result<()> {
        match self {
            Self::Thaw(name) => {
                lab.signal(&name, Signal::CONT);
                Ok(())
            }
            Self::Start(name) => lab.start_node(&name),
        }
    }
}

/// The first entry and the last agent stay up, so that memory can be compared.
fn fault(lab: &mut Lab, rng: &mut Rng) -> Undo {
    let name = match rng.u32(0..10) {
        0..2 => "e0".to_owned(),
        2..4 => format!("c{}", rng.usize(0..3)),
        _ => format!("w{}", rng.usize(0..5)),
    };
    if rng.bool() {
        lab.signal(&name, Signal::STOP);
        Undo::Thaw(name)
    } else {
        lab.kill(&name);
        Undo::Start(name)
    }
}

/// Submits a job, and again under the same key while its answer is lost or unknown.
fn start_job(lab: &Lab, tasks: usize, first: usize, tx: mpsc::Sender<(JobKey, Vec<Outcome>)>) {
    let entries = lab.entries();
    let job = Job {
        at: Duration::ZERO,
        tenant: "t1".into(),
        long: false,
        deadline: DEADLINE,
        runs: vec![RUN; tasks],
        declared_factor: None,
    };
    let work = move || {
        let key = new_key();
        let mut outcomes = Vec::new();
        for i in 0..TRIES {
            let outcome = submit(&entries[(first + i) % entries.len()], key, &job);
            let done = matches!(outcome.end, End::Whole | End::Wrong | End::NotRun);
            outcomes.push(outcome);
            if done {
                break;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        let _ = tx.send((key, outcomes));
    };
    let _ = std::thread::Builder::new()
        .stack_size(256 * 1024)
        .spawn(work);
}

fn judge(lab: &Lab, ends: &HashMap<JobKey, Vec<Outcome>>, report: &mut Report) {
    let starts = lab.starts();
    report.started = starts.len();
    report.started_twice = starts.values().filter(|count| **count > 1).count();
    for (key, outcomes) in ends {
        let key = key.to_string();
        let has = |end: End| outcomes.iter().any(|outcome| outcome.end == end);
        report.wrong += usize::from(has(End::Wrong));
        let started = starts.keys().any(|id| id.starts_with(&key));
        report.false_not_run += usize::from(has(End::NotRun) && started);
        match outcomes.last().map(|outcome| outcome.end) {
            Some(End::Whole) => report.whole += 1,
            Some(End::NotRun) => report.not_run += 1,
            _ => report.unknown += 1,
        }
    }
}
