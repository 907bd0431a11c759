//! ROUTE: a worker crashes and starts again under its id as one of another kind; tasks that need a label
//! which it no longer has are started on it.

use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Job, config, submit, wait_for};
use crate::worker::Kind;
use crate::{Outcome, Setting};

/// How long the worker's process is down.
const DOWN: Duration = Duration::from_millis(400);
/// Time from its start to its first heartbeat, within `heartbeatMs`.
const FIRST_BEAT: Duration = Duration::from_millis(700);

pub fn play(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let kind = |label: &str, rack: &str| Kind {
        service: "s".into(),
        labels: vec![label.into(), rack.into()],
        cpu: 8000,
        mem: 16000,
        guards: true,
    };
    let kinds = [kind("b", "r1-1"), kind("a", "r1-1"), kind("a", "r1-2")];
    let started = Cluster::start(&setting.bin, record.clone(), 2, &kinds, &config(1, true));
    let Some(cluster) = started else {
        return Outcome::NotRun("the cluster did not get ready");
    };
    let job = |number: u64, ms: u64| Job {
        id: format!("{:016x}", 0x7a00_0000_0000_0000_u64 + number),
        spec: format!("ms={ms}"),
        phases: format!(
            "[{{\"count\":1,\"cpu\":500,\"memMb\":64,\"estRuntimeMs\":{ms},\"constraints\":\"b\"}}]"
        ),
        cpu: 500,
        deadline_ms: 6000,
    };
    let send = |job: Job, entry: usize| {
        let (record, needs) = (record.clone(), cluster.needs.clone());
        let addr = cluster.entry(entry);
        thread::spawn(move || submit(&record, &needs, addr, entry, &job, Duration::from_secs(6)))
    };
    // A job is at work on the worker when it crashes.
    let mut clients = vec![send(job(1, 3000), 0)];
    let worker = &cluster.workers[0];
    if !wait_for(Duration::from_secs(5), || !worker.begun().is_empty()) {
        return Outcome::NotRun("the first job did not start on the worker with the label");
    }
    thread::sleep(Duration::from_millis(500));
    worker.crash();
    thread::sleep(DOWN);
    let next = if setting.trouble {
        kind("a", "r1-1")
    } else {
        kind("b", "r1-1")
    };
    worker.start(next, FIRST_BEAT);
    let begin = Instant::now();
    let mut number = 2;
    while begin.elapsed() < Duration::from_secs(3) {
        clients.push(send(job(number, 50), number as usize % 2));
        number += 1;
        thread::sleep(Duration::from_millis(100));
    }
    for client in clients {
        let _ = client.join();
    }
    // All jobs need the label.
    let wrong: Vec<_> = cluster
        .workers
        .iter()
        .flat_map(crate::worker::Worker::begun)
        .filter(|b| !b.kind.labels.iter().any(|label| label == "b"))
        .collect();
    for run in &wrong {
        record.line(&format!(
            "ROUTE: {} run {} needs label b; began on {} life {} with labels {:?}, {:.3} s after its start",
            run.task,
            run.attempt,
            run.worker,
            run.life,
            run.kind.labels,
            run.at.duration_since(begin).as_secs_f64()
        ));
    }
    if wrong.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
