//! A heartbeat of another writer, with fields missing and of another type, comes under a worker's id.
//! Then the worker says that it drains. No task may start there later than `drainMs` after the
//! acknowledgement.

use std::thread;
use std::time::Duration;

use super::{AGENT, Small, sleep_ms};
use crate::client::{self, Job};
use crate::http;
use crate::nodes::{CONTROL_PLANE, SMALL};
use crate::record::Record;
use crate::{Verdict, operator};

const DRAIN: Duration = Duration::from_millis(2_000);

pub fn play(trouble: bool, record: &Record) -> Verdict {
    let Some(small) = Small::start(&SMALL, 1, 2, record) else {
        return Verdict::CouldNotRun("no programs or no free addresses".into());
    };
    small.workers[0].start("i-1", "s", &["a", "r1"], 16_000);
    small.workers[1].start("i-2", "s", &["a", "r2"], 16_000);
    if !small.publish(1, &operator::config(3, 1_500), record) {
        return Verdict::CouldNotRun("the cluster is not ready".into());
    }
    sleep_ms(3_000);
    let entry = small.entry(0);
    let traffic = {
        let record = record.clone();
        thread::spawn(move || {
            for i in 0..60 {
                let id = format!("{:016x}", 0xd000 + i);
                let job = Job {
                    id: &id,
                    tasks: 4,
                    cpu: 1000,
                    run_ms: 100,
                    estimate_ms: 100,
                    deadline_ms: 1_500,
                    step: "",
                };
                let _ = client::submit(entry, &job, &record);
                sleep_ms(60);
            }
        })
    };
    sleep_ms(1_000);
    if trouble {
        let Some((id, seq, born)) = small.workers[0].identity() else {
            return Verdict::CouldNotRun("the worker is gone".into());
        };
        // No address, zone and version; slots of another type.
        let body = format!(
            r#"{{"service":"s","slots":"eight","state":"ready","capacity":{{"cpu":16000,"memMb":65536}},"labels":["a","r1"],"seqNo":{},"born":{born}}}"#,
            seq + 1000
        );
        let agent = small.cluster.addr(AGENT, CONTROL_PLANE);
        let answer = http::call(
            agent,
            "PUT",
            &format!("/-/instances/{id}"),
            "",
            &body,
            Duration::from_secs(1),
        );
        let status = answer.map_or(0, |answer| answer.status());
        record.note(format!(
            "another writer: PUT /-/instances/{id} {body} -> {status}"
        ));
    }
    sleep_ms(500);
    small.workers[0].drain();
    let _ = traffic.join();
    let Some(acked) = small.workers[0].draining_acked() else {
        return Verdict::CouldNotRun("`draining` was not acknowledged".into());
    };
    let begun = small.workers[0].begun();
    let late: Vec<_> = begun.iter().filter(|run| run.at > acked + DRAIN).collect();
    let others = small.workers[1]
        .begun()
        .iter()
        .filter(|run| run.at > acked + DRAIN)
        .count();
    record.note(format!(
        "later than {} ms after the acknowledgement {} tasks start on the draining worker, {others} on the other one",
        DRAIN.as_millis(),
        late.len()
    ));
    match late.last() {
        Some(run) => Verdict::Broken(format!(
            "{} starts on the draining worker {} ms after its `draining` was acknowledged",
            run.task,
            run.at.duration_since(acked).as_millis()
        )),
        None if others == 0 => Verdict::CouldNotRun("there was no traffic".into()),
        None => Verdict::Held("no task starts on the draining worker".into()),
    }
}
