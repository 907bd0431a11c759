//! An entry stands still for some two seconds. Jobs are handed in at another entry meanwhile; their clients
//! get no answer and send them again, to the entry that wakes. No task may run twice at a time.

use std::thread;

use super::{ENTRY, Small, overlaps, sleep_ms};
use crate::client::{self, Job};
use crate::nodes::{SIGCONT, SIGSTOP, SMALL};
use crate::record::Record;
use crate::{Verdict, operator};

const AGENTS: u8 = 6;
const JOBS: usize = 20;
const FREEZE_MS: u64 = 2_300;
/// Time from the beginning of the freeze to the first submissions.
const SUBMITTED_AFTER_MS: u64 = 900;
/// `retransmitMs`.
const RETRANSMIT_MS: u64 = 1_300;
const RUN_MS: u64 = 4_000;

fn id(i: usize) -> String {
    format!("{:016x}", 0xf000 + i)
}

fn submit(entry: std::net::SocketAddr, i: usize, record: &Record) -> thread::JoinHandle<()> {
    let record = record.clone();
    thread::spawn(move || {
        let job = Job {
            id: &id(i),
            tasks: 1,
            cpu: 100,
            run_ms: RUN_MS,
            estimate_ms: RUN_MS,
            deadline_ms: 20_000,
            step: "",
        };
        client::submit(entry, &job, &record);
    })
}

pub fn play(trouble: bool, record: &Record) -> Verdict {
    let Some(mut small) = Small::start(&SMALL, 3, AGENTS, record) else {
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
    if !small.publish(3, &operator::config(3, 20_000), record) {
        return Verdict::CouldNotRun("the cluster is not ready".into());
    }
    sleep_ms(3_000);
    // The entry with the lower name opens the link between two entries: here the one that wakes.
    let (frozen, other) = (small.entry(0), small.entry(1));
    if trouble {
        record.note("the machine of the first entry stands still");
        small.cluster.node(ENTRY).signal(SIGSTOP);
    }
    sleep_ms(SUBMITTED_AFTER_MS);
    let mut clients: Vec<_> = (0..JOBS).map(|i| submit(other, i, record)).collect();
    sleep_ms(RETRANSMIT_MS);
    record.note(format!(
        "no answer after {RETRANSMIT_MS} ms: the jobs are sent again, to the first entry"
    ));
    clients.extend((0..JOBS).map(|i| submit(frozen, i, record)));
    sleep_ms(FREEZE_MS - SUBMITTED_AFTER_MS - RETRANSMIT_MS);
    if trouble {
        small.cluster.node(ENTRY).signal(SIGCONT);
        record.note("the machine of the first entry goes on");
    }
    for client in clients {
        let _ = client.join();
    }
    let begun: Vec<_> = small
        .workers
        .iter()
        .flat_map(|worker| worker.begun())
        .collect();
    if begun.len() < JOBS {
        return Verdict::CouldNotRun(format!("only {} tasks began", begun.len()));
    }
    match overlaps(&begun, record).first() {
        Some(text) => Verdict::Broken(text.clone()),
        None => Verdict::Held("no task ran twice at a time".into()),
    }
}
