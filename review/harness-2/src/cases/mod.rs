//! One module for each case, and what they share.

pub mod cancel;
pub mod heartbeat;
pub mod kind;
pub mod life;
pub mod shutdown;
pub mod voters;
pub mod woken;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::http;
use crate::nodes::{APP, CONTROL_PLANE, Cluster, Deployment, FRONTEND, READINESS, Role};
use crate::operator;
use crate::record::Record;
use crate::worker::{Begun, Worker};

/// Host numbers: one control node, entries from 10, agents from 30.
pub const CONTROL: u8 = 1;
pub const ENTRY: u8 = 10;
pub const AGENT: u8 = 30;

/// A cluster with one control node, some entries, and agents with the places of their workers.
pub struct Small {
    pub cluster: Cluster,
    pub workers: Vec<Worker>,
}

impl Small {
    pub fn start(
        deployment: &'static Deployment,
        entries: u8,
        agents: u8,
        record: &Record,
    ) -> Option<Self> {
        let mut cluster = Cluster::new(deployment, 1, 1)?;
        record.note(format!("settings as of site {}", deployment.site));
        cluster.start(Role::Control, CONTROL, true);
        for i in 0..entries {
            cluster.start(Role::Entry, ENTRY + i, true);
        }
        let mut workers = Vec::new();
        for i in 0..agents {
            cluster.start(Role::Agent, AGENT + i, true);
            let (addr, agent) = (
                cluster.addr(AGENT + i, APP),
                cluster.addr(AGENT + i, CONTROL_PLANE),
            );
            workers.push(Worker::new(addr, agent, record));
        }
        Some(Self { cluster, workers })
    }

    pub fn entry(&self, i: u8) -> SocketAddr {
        self.cluster.addr(ENTRY + i, FRONTEND)
    }

    /// Publishes a configuration and waits until the entries are ready.
    pub fn publish(&self, entries: u8, config: &str, record: &Record) -> bool {
        let control = [self.cluster.addr(CONTROL, CONTROL_PLANE)];
        if !operator::publish(
            &control,
            config,
            "the first configuration",
            Duration::from_secs(15),
            record,
        ) {
            return false;
        }
        (0..entries).all(|i| {
            let addr = self.cluster.addr(ENTRY + i, READINESS);
            wait_until(Duration::from_secs(15), || is_ready(addr))
        })
    }
}

pub fn is_ready(readiness: SocketAddr) -> bool {
    let answer = http::call(
        readiness,
        "GET",
        "/-/readyz",
        "",
        "",
        Duration::from_secs(1),
    );
    answer.is_some_and(|answer| answer.status() == 200)
}

pub fn wait_until(time: Duration, mut done: impl FnMut() -> bool) -> bool {
    let begin = Instant::now();
    while begin.elapsed() < time {
        if done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Returns a line for each two runs of one task that were running at the same time, and records it.
pub fn overlaps(begun: &[Begun], record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    let now = Instant::now();
    let end = |run: &Begun| run.ended.map_or(now, |(at, _)| at);
    let how = |run: &Begun| run.ended.map_or("runs", |(_, how)| how);
    for (i, later) in begun.iter().enumerate() {
        for earlier in &begun[..i] {
            let from = earlier.at.max(later.at);
            let until = end(earlier).min(end(later));
            if earlier.task == later.task && from < until {
                let text = format!(
                    "{} runs on {} (#{}, ends {}) and on {} (#{}, ends {}) at the same time for {} ms",
                    later.task,
                    earlier.worker,
                    earlier.attempt,
                    how(earlier),
                    later.worker,
                    later.attempt,
                    how(later),
                    until.duration_since(from).as_millis()
                );
                record.note(&text);
                found.push(text);
            }
        }
    }
    found
}
