//! Clients cancel jobs at an entry whose process has just been killed and started again. The jobs run at
//! another entry. What is acknowledged must not be started any more.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use super::{ENTRY, Small, sleep_ms};
use crate::client::{self, Job};
use crate::nodes::SMALL;
use crate::record::Record;
use crate::{Verdict, http, operator};

/// The kill is repeated until a cancelled job goes on, this often at most.
const ROUNDS: usize = 3;
const ENTRIES: u8 = 3;
const AGENTS: u8 = 6;
const JOBS: usize = 40;
/// Time from the kill to the start of the next process.
const RESTART_MS: u64 = 300;
/// Pause of a client between two tries to connect.
const RETRY_MS: u64 = 10;
const CANCEL: Duration = Duration::from_millis(3_000);

fn id(round: usize, i: usize) -> String {
    format!("{:016x}", 0xe000 + 0x100 * round + i)
}

/// Cancels a job: tries until there is an answer. Returns its status and when it came.
fn cancel(entry: SocketAddr, id: &str, record: &Record) -> Option<(u16, Instant)> {
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(6) {
        let path = format!("/q/{id}");
        if let Some(answer) = http::call(
            entry,
            "DELETE",
            &path,
            "Host: h\r\n",
            "",
            Duration::from_secs(4),
        ) {
            record.note(format!("client: DELETE {path} -> {}", answer.status()));
            return Some((answer.status(), Instant::now()));
        }
        sleep_ms(RETRY_MS);
    }
    None
}

pub fn play(trouble: bool, record: &Record) -> Verdict {
    let Some(mut small) = Small::start(&SMALL, ENTRIES, AGENTS, record) else {
        return Verdict::CouldNotRun("no programs or no free addresses".into());
    };
    for (i, worker) in small.workers.iter().enumerate() {
        worker.start(
            &format!("i-{i}"),
            "s",
            &["a", &format!("r{}", i / 3)],
            16_000,
        );
    }
    if !small.publish(ENTRIES, &operator::config(3, 20_000), record) {
        return Verdict::CouldNotRun("the cluster is not ready".into());
    }
    sleep_ms(3_000);
    let mut outcome = Verdict::CouldNotRun("no round was played".into());
    for round in 0..ROUNDS {
        outcome = play_round(&mut small, round, trouble, record);
        if !matches!(outcome, Verdict::Held(_)) {
            return outcome;
        }
    }
    outcome
}

fn play_round(small: &mut Small, round: usize, trouble: bool, record: &Record) -> Verdict {
    let (first, second) = (small.entry(0), small.entry(1));
    let submitted: Vec<_> = (0..JOBS)
        .map(|i| {
            let record = record.clone();
            thread::spawn(move || {
                let job = Job {
                    id: &id(round, i),
                    tasks: 1,
                    cpu: 100,
                    run_ms: 5_000,
                    estimate_ms: 5_000,
                    deadline_ms: 20_000,
                    step: r#"},{"count":1,"cpu":100,"memMb":64,"estRuntimeMs":5000,"after":[0]"#,
                };
                client::submit(first, &job, &record)
            })
        })
        .collect();
    sleep_ms(700);
    if trouble {
        record.note("the process of the second entry is killed");
        small.cluster.power_off(ENTRY + 1);
    }
    let cancels: Vec<_> = (0..JOBS)
        .map(|i| {
            let record = record.clone();
            thread::spawn(move || cancel(second, &id(round, i), &record))
        })
        .collect();
    if trouble {
        sleep_ms(RESTART_MS);
        small.cluster.power_on(ENTRY + 1);
        record.note("the second entry is started again");
    }
    let cancels: Vec<_> = cancels
        .into_iter()
        .map(|cancel| cancel.join().expect("the client ends"))
        .collect();
    for client in submitted {
        let _ = client.join();
    }
    let begun: Vec<_> = small
        .workers
        .iter()
        .flat_map(|worker| worker.begun())
        .collect();
    let mut acked = 0;
    let mut late = Vec::new();
    for (i, cancel) in cancels.iter().enumerate() {
        let Some((status, at)) = cancel else { continue };
        if !(200..300).contains(status) && *status != 410 {
            continue;
        }
        acked += 1;
        let is_late = |run: &&crate::worker::Begun| {
            run.task.starts_with(&id(round, i)) && run.at > *at + CANCEL
        };
        if let Some(run) = begun.iter().find(is_late) {
            let after = run.at.duration_since(*at).as_millis();
            late.push(format!(
                "{} starts {after} ms after the cancel was answered {status}",
                run.task
            ));
        }
    }
    record.note(format!(
        "{acked} of {JOBS} cancels are acknowledged; of {} jobs tasks start later",
        late.len()
    ));
    match late.first() {
        Some(text) => Verdict::Broken(format!(
            "{} of {acked} cancelled jobs go on: {text}",
            late.len()
        )),
        None if acked == 0 => Verdict::CouldNotRun("no cancel was acknowledged".into()),
        None => Verdict::Held("cancelled jobs do not go on".into()),
    }
}
