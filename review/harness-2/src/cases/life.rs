//! A start gets no answer and is carried out late: after its worker has crashed and started again under
//! its id. Meanwhile the task runs elsewhere. No task may run twice at a time.

use std::thread;

use super::{Small, overlaps, sleep_ms};
use crate::client::{self, Job};
use crate::nodes::SMALL;
use crate::record::Record;
use crate::{Verdict, operator};

/// The case is played again if the next life hears from its agent before the late start.
const ROUNDS: usize = 3;
const RUN_MS: u64 = 8_000;
/// From the arrival of the start to the crash, and to the next life.
const CRASH_MS: u64 = 400;
const RESTART_MS: u64 = 2_500;
/// From the start of the next life to the execution of the start: 2.5 s after its arrival, where the pages
/// say 2 to 12 s.
const EXECUTED_AFTER_MS: u64 = 5;
/// Longest time for which a start is held back.
const LATE_MS: u64 = 12_000;
/// From the start of the next life to its first heartbeat; heartbeats come every 1,500 ms.
const FIRST_HEARTBEAT_MS: u64 = 200;

pub fn play(trouble: bool, record: &Record) -> Verdict {
    let Some(small) = Small::start(&SMALL, 1, 7, record) else {
        return Verdict::CouldNotRun("no programs or no free addresses".into());
    };
    for (i, worker) in small.workers.iter().enumerate() {
        worker.start(
            &format!("i-{i}"),
            "s",
            &["a", &format!("r{}", i / 3)],
            4_000,
        );
    }
    if !small.publish(1, &operator::config(3, 20_000), record) {
        return Verdict::CouldNotRun("the cluster is not ready".into());
    }
    sleep_ms(3_000);
    let entry = small.entry(0);
    let mut outcome = Verdict::CouldNotRun("no round was played".into());
    for round in 0..ROUNDS {
        outcome = play_round(&small, entry, round, trouble, record);
        if !matches!(outcome, Verdict::Held(_)) {
            return outcome;
        }
    }
    outcome
}

fn play_round(
    small: &Small,
    entry: std::net::SocketAddr,
    round: usize,
    trouble: bool,
    record: &Record,
) -> Verdict {
    if trouble {
        for worker in &small.workers {
            worker.delay_next_start(LATE_MS);
        }
    }
    let id = format!("{:016x}", 0xa00 + round);
    let client = {
        let (id, record) = (id.clone(), record.clone());
        thread::spawn(move || {
            let job = Job {
                id: &id,
                tasks: 1,
                cpu: 1000,
                run_ms: RUN_MS,
                estimate_ms: RUN_MS,
                deadline_ms: 20_000,
                step: "",
            };
            client::submit(entry, &job, &record)
        })
    };
    let mut victim = None;
    while trouble && victim.is_none() && !client.is_finished() {
        victim = small
            .workers
            .iter()
            .position(|worker| worker.take_delayed());
        sleep_ms(1);
    }
    for worker in &small.workers {
        worker.delay_next_start(0);
    }
    if let Some(victim) = victim {
        let worker = &small.workers[victim];
        let Some((worker_id, ..)) = worker.identity() else {
            return Verdict::CouldNotRun("the worker is gone".into());
        };
        sleep_ms(CRASH_MS);
        worker.crash();
        sleep_ms(RESTART_MS - CRASH_MS);
        let rack = format!("r{}", victim / 3);
        worker.start_silent(&worker_id, "s", &["a", &rack], 4_000, FIRST_HEARTBEAT_MS);
        sleep_ms(EXECUTED_AFTER_MS);
        worker.carry_out_late_now();
    }
    let _ = client.join();
    let begun: Vec<_> = small
        .workers
        .iter()
        .flat_map(|worker| worker.begun())
        .collect();
    let orders: usize = small.workers.iter().map(|worker| worker.orders()).sum();
    record.note(format!(
        "orders to workers: {orders}, of which without an answer: {}",
        usize::from(victim.is_some())
    ));
    if trouble && victim.is_none() {
        return Verdict::CouldNotRun("no start was held back".into());
    }
    match overlaps(&begun, record).first() {
        Some(text) => Verdict::Broken(text.clone()),
        None => Verdict::Held("no task ran twice at a time".into()),
    }
}
