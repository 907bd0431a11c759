//! A worker is replaced by one of another kind while the entry stands still for half a second. A task
//! that needs the label of the former kind must not start on it.

use std::thread;

use super::{ENTRY, Small, sleep_ms};
use crate::client::{self, Job};
use crate::nodes::{SIGCONT, SIGSTOP, SMALL};
use crate::record::Record;
use crate::{Verdict, operator};

const ENTRIES: u8 = 3;
const AGENTS: u8 = 7;
/// The worker of kind b; all others are of kind a.
const SPECIAL: usize = 6;
const FREEZE_MS: u64 = 500;

pub fn play(trouble: bool, record: &Record) -> Verdict {
    let Some(mut small) = Small::start(&SMALL, ENTRIES, AGENTS, record) else {
        return Verdict::CouldNotRun("no programs or no free addresses".into());
    };
    for (i, worker) in small.workers.iter().enumerate() {
        let kind = if i == SPECIAL { "b" } else { "a" };
        worker.start(
            &format!("i-{i}"),
            "s",
            &[kind, &format!("r{}", i / 3)],
            16_000,
        );
    }
    if !small.publish(ENTRIES, &operator::config(3, 8_000), record) {
        return Verdict::CouldNotRun("the cluster is not ready".into());
    }
    sleep_ms(3_000);
    let entry = small.entry(0);
    let needs_b = |id| Job {
        id,
        tasks: 1,
        cpu: 1000,
        run_ms: 300,
        estimate_ms: 300,
        deadline_ms: 5_000,
        step: r#","constraints":"b""#,
    };
    let first = client::submit(entry, &needs_b("00000000000000c1"), record);
    let begun = small.workers[SPECIAL].begun();
    if begun.len() != 1 {
        return Verdict::CouldNotRun(format!(
            "no task ran on the worker with the label: {first:?}"
        ));
    }
    let Some(mut stream) = client::connect(entry) else {
        return Verdict::CouldNotRun("the entry takes no connection".into());
    };
    sleep_ms(500);
    small.workers[SPECIAL].crash();
    sleep_ms(1_500);
    if trouble {
        record.note("the entry's machine stands still");
        small.cluster.node(ENTRY).signal(SIGSTOP);
    }
    let waiting = {
        let record = record.clone();
        thread::spawn(move || {
            let job = needs_b("00000000000000c2");
            client::submit_on(&mut stream, &job, &record)
        })
    };
    sleep_ms(100);
    small.workers[SPECIAL].start("i-other", "s", &["a", "r2"], 16_000);
    sleep_ms(FREEZE_MS - 100);
    if trouble {
        small.cluster.node(ENTRY).signal(SIGCONT);
        record.note("the entry's machine goes on");
    }
    let _ = waiting.join();
    let wrong = small
        .workers
        .iter()
        .flat_map(|worker| worker.begun())
        .find(|run| {
            run.task.starts_with("00000000000000c")
                && !run.labels.split(',').any(|label| label == "b")
        });
    match wrong {
        Some(run) => Verdict::Broken(format!(
            "{} needs the label b and starts on {} with the labels {}",
            run.task, run.worker, run.labels
        )),
        None => Verdict::Held("tasks start only on workers with the label".into()),
    }
}
