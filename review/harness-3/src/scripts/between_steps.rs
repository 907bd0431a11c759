//! LOST: an entry is told to end while a job that it has read waits, between two steps, for room.

use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Job, config, submit, wait_for};
use crate::worker::Kind;
use crate::{Outcome, Setting};

/// `graceS` of the settings, and the second after it.
const GRACE: Duration = Duration::from_secs(7);

pub fn play(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let kinds = [Kind {
        service: "s".into(),
        labels: vec!["a".into(), "r1-1".into()],
        cpu: 2000,
        mem: 16000,
        guards: true,
    }];
    let started = Cluster::start(&setting.bin, record.clone(), 2, &kinds, &config(1, true));
    let Some(mut cluster) = started else {
        return Outcome::NotRun("the cluster did not get ready");
    };
    let patience = Duration::from_secs(40);
    let send = |cluster: &Cluster, entry: usize, job: Job| {
        let (record, needs) = (record.clone(), cluster.needs.clone());
        let addr = cluster.entry(entry);
        thread::spawn(move || {
            let answer = submit(&record, &needs, addr, entry, &job, patience);
            (answer, Instant::now())
        })
    };
    // Takes half of the only worker, for longer than the entry's grace.
    let other = Job {
        id: "7f00000000000001".into(),
        spec: "ms=11000".into(),
        phases: "[{\"count\":1,\"cpu\":1000,\"memMb\":64,\"estRuntimeMs\":11000}]".into(),
        cpu: 1000,
        deadline_ms: 40_000,
    };
    let other = send(&cluster, 1, other);
    let begun = |cluster: &Cluster| cluster.workers[0].begun().len();
    if !wait_for(Duration::from_secs(5), || begun(&cluster) == 1) {
        return Outcome::NotRun("the first job did not begin");
    }
    // Its first step fits beside that; the second one needs the whole worker.
    let job = Job {
        id: "7f00000000000002".into(),
        spec: "ms=1000".into(),
        phases: "[{\"count\":1,\"cpu\":500,\"memMb\":64,\"estRuntimeMs\":1000},\
                 {\"count\":1,\"cpu\":2000,\"memMb\":64,\"estRuntimeMs\":1000,\"after\":[0]}]"
            .into(),
        cpu: 500,
        deadline_ms: 40_000,
    };
    let id = job.id.clone();
    let client = send(&cluster, 0, job);
    if !wait_for(Duration::from_secs(5), || begun(&cluster) == 2) {
        return Outcome::NotRun("the second job did not begin");
    }
    thread::sleep(Duration::from_millis(500));
    let told = Instant::now();
    if setting.trouble {
        record.line("platform: SIGTERM to entry 0");
        cluster.entries[0].terminate();
    }
    // From here on only the second step is left.
    cluster.needs.lock().unwrap().insert(id.clone(), 2000);
    let Ok((answer, at)) = client.join() else {
        return Outcome::NotRun("the client failed");
    };
    let after = at.duration_since(told);
    let ended = wait_for(Duration::from_secs(1), || cluster.entries[0].has_exited());
    let work: Vec<_> = cluster.workers[0]
        .begun()
        .into_iter()
        .filter(|b| b.task.starts_with(&id))
        .collect();
    for run in &work {
        let end = run.end.map_or(after, |(at, _)| at.duration_since(told));
        record.line(&format!(
            "the worker was at work on {} until {:.3} s after the SIGTERM",
            run.task,
            end.as_secs_f64()
        ));
    }
    record.line(&format!(
        "the client has status {} ({}) {:.3} s after the SIGTERM; entry 0 has ended: {ended}",
        answer.status,
        answer.end,
        after.as_secs_f64()
    ));
    let _ = other.join();
    // Excused: the worker was still at work on the request in the last sixth of `graceS`.
    let last_sixth = told + Duration::from_secs(5);
    let at_work = work
        .iter()
        .any(|b| b.end.is_none_or(|(end, _)| end > last_sixth));
    if setting.trouble && answer.status == 0 && after <= GRACE && !at_work {
        record.line("LOST: the connection ended without an answer");
        return Outcome::Broken;
    }
    if !setting.trouble && answer.status != 200 {
        return Outcome::NotRun("the job was not completed without the SIGTERM");
    }
    Outcome::Held
}
