//! An entry gets SIGTERM while one of its jobs waits for room. The job must be answered.

use std::thread;
use std::time::{Duration, Instant};

use super::{ENTRY, Small, sleep_ms};
use crate::client::{self, Job, Seen};
use crate::nodes::{SIGTERM, SMALL};
use crate::record::Record;
use crate::{Verdict, operator};

const WORKER_CPU: u64 = 4000;
const LONG: &str = "00000000000000a1";
const WAITING: &str = "00000000000000b2";
/// `graceS`, after which the platform sends SIGKILL.
const GRACE: Duration = Duration::from_secs(6);

pub fn play(trouble: bool, record: &Record) -> Verdict {
    let Some(mut small) = Small::start(&SMALL, 2, 1, record) else {
        return Verdict::CouldNotRun("no programs or no free addresses".into());
    };
    small.workers[0].start("i-1", "s", &["a", "r1"], WORKER_CPU);
    if !small.publish(2, &operator::config(3, 60_000), record) {
        return Verdict::CouldNotRun("the cluster is not ready".into());
    }
    sleep_ms(2_000);
    let entry = small.entry(0);
    let submit = |id: &'static str, tasks: u32, run_ms: u64, estimate_ms: u64| {
        let record = record.clone();
        thread::spawn(move || {
            let job = Job {
                id,
                tasks,
                cpu: 1000,
                run_ms,
                estimate_ms,
                deadline_ms: 40_000,
                step: "",
            };
            (client::submit(entry, &job, &record), Instant::now())
        })
    };
    // Fills the only worker.
    let long = submit(LONG, 4, 9_000, 9_000);
    sleep_ms(500);
    // Waits for room. Its run time is less than estimated.
    let waiting = submit(WAITING, 1, 500, 20_000);
    sleep_ms(1_000);
    let running = [LONG, WAITING].map(|job| small.workers[0].running(job));
    if running != [4, 0] || waiting.is_finished() {
        return Verdict::CouldNotRun("the second job does not wait for room".into());
    }
    let stopped = Instant::now();
    if trouble {
        record.note("platform: SIGTERM to the entry");
        small.cluster.node(ENTRY).signal(SIGTERM);
        while stopped.elapsed() < GRACE && !small.cluster.node(ENTRY).has_exited() {
            sleep_ms(5);
        }
        let exited = small.cluster.node(ENTRY).has_exited();
        record.note(format!(
            "the entry has ended by itself: {exited}, {} ms after SIGTERM",
            stopped.elapsed().as_millis()
        ));
        small.cluster.power_off(ENTRY);
    }
    let (seen, at) = waiting.join().expect("the client ends");
    let _ = long.join();
    let begun = small.workers[0].begun();
    let offered = begun
        .iter()
        .any(|run| run.task.starts_with(WAITING) && run.at <= at);
    let after = at.saturating_duration_since(stopped).as_millis();
    match seen {
        Seen::Cut | Seen::NoConnection if trouble && !offered => Verdict::Broken(format!(
            "the connection of a job that was never passed on ended without an answer, {after} ms after SIGTERM"
        )),
        Seen::Answer(status, body) => {
            Verdict::Held(format!("the waiting job is answered {status} {body}"))
        }
        other => Verdict::CouldNotRun(format!("the waiting job: {other:?}")),
    }
}
