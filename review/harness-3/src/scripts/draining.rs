//! DRAIN: a worker that has started again after the time of day of its machine went back says that it
//! drains; this is acknowledged, and a task is started on it all the same.

use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Job, config, submit};
use crate::worker::Kind;
use crate::{Outcome, Setting};

/// `drainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(2000);
/// How far the time of day jumps.
const JUMP_MS: i64 = 2400;

pub fn play(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let kind = |label: &str| Kind {
        service: "s".into(),
        labels: vec![label.into(), "r1-1".into()],
        cpu: 8000,
        mem: 16000,
        guards: true,
    };
    let kinds = [kind("b"), kind("a"), kind("a")];
    let started = Cluster::start(&setting.bin, record.clone(), 2, &kinds, &config(1, true));
    let Some(cluster) = started else {
        return Outcome::NotRun("the cluster did not get ready");
    };
    let worker = &cluster.workers[0];
    let restart = || {
        worker.crash();
        thread::sleep(Duration::from_millis(400));
        worker.start(kind("b"), Duration::from_millis(50));
    };
    // The worker goes down and up by turns while the time of day at its machine jumps ahead and back.
    if setting.trouble {
        worker.set_time_offset(JUMP_MS);
    }
    restart();
    thread::sleep(Duration::from_millis(500));
    if setting.trouble {
        worker.set_time_offset(0);
    }
    thread::sleep(Duration::from_millis(300));
    restart();
    thread::sleep(Duration::from_secs(4));

    // It is emptied and will be taken away.
    let mut acknowledged = None;
    for _ in 0..3 {
        if worker.set_state("draining") {
            acknowledged = Some(Instant::now());
            break;
        }
    }
    let Some(acknowledged) = acknowledged else {
        return Outcome::NotRun("no heartbeat was acknowledged");
    };
    record.line("the agent has acknowledged that the worker drains");
    thread::sleep(DRAIN + Duration::from_millis(1500));
    let job = Job {
        id: "7d00000000000001".into(),
        spec: "ms=200".into(),
        phases:
            "[{\"count\":1,\"cpu\":500,\"memMb\":64,\"estRuntimeMs\":200,\"constraints\":\"b\"}]"
                .into(),
        cpu: 500,
        deadline_ms: 3000,
    };
    submit(
        record,
        &cluster.needs,
        cluster.entry(0),
        0,
        &job,
        Duration::from_secs(4),
    );
    let late: Vec<_> = worker
        .begun()
        .into_iter()
        .filter(|b| b.at > acknowledged + DRAIN)
        .collect();
    for run in &late {
        record.line(&format!(
            "DRAIN: {} run {} began on {} {:.3} s after the acknowledgement",
            run.task,
            run.attempt,
            run.worker,
            run.at.duration_since(acknowledged).as_secs_f64()
        ));
    }
    if late.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
