//! Throughput benchmark of a single entry: how many tasks it can start per second. Stub agents,
//! linked to the entry as real agents are, answer each start immediately.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use flume::Sender;
use rw_core::codec::ClusterKey;
use rw_core::ids::NodeRef;
use rw_core::job::{Resources, task_digest};
use rw_core::msg::{Hello, Msg, Offer, Role, Start, TaskRef, TaskResult, ToAgent, ToEntry};
use rw_host::link::{Link, LinkEvent, Linker};

use crate::caller::{Job, new_key, submit};
use crate::cluster::{ClusterPlan, SERVICE, TestCluster};

const SECRET: &str = "laboratory-secret-0123456789";
/// Slots that each stub agent offers.
const SLOTS: u32 = 256;
/// Epoch of the credits that each stub agent grants.
const EPOCH: u64 = 7;

/// Results of the benchmark.
#[derive(Debug, serde::Serialize)]
pub struct ThroughputReport {
    /// Number of tasks in each job.
    pub tasks_per_job: usize,
    /// Number of tasks that were answered successfully.
    pub tasks: u64,
    /// Task starts per second.
    pub starts_per_s: f64,
    /// Processor time of the entry per task, in microseconds.
    pub entry_us_per_task: f64,
    /// Task starts per second of processor time of the entry.
    pub starts_per_core_s: f64,
}

/// Runs the benchmark on a new cluster with one entry. `callers` threads submit jobs of
/// `tasks_per_job` tasks one after another for the given time. Fails if the cluster does not start.
pub fn run(
    agents: usize,
    callers: usize,
    tasks_per_job: usize,
    time: Duration,
) -> io::Result<ThroughputReport> {
    let cluster = TestCluster::start(ClusterPlan {
        entries: 1,
        ..ClusterPlan::default()
    })?;
    for i in 0..3 {
        // The real agents lose their backend servers, so that the stub agents get all tasks. The
        // agents themselves keep running: they hold the job registry.
        cluster.signal(&format!("b{i}"), rustix::process::Signal::TERM);
    }
    std::thread::sleep(Duration::from_millis(2500));
    let addr: SocketAddr = cluster.link_addr("e0").parse().map_err(io::Error::other)?;
    for i in 0..agents {
        start_stub_agent(i, addr);
    }
    std::thread::sleep(Duration::from_millis(500));
    let job = Job {
        at: Duration::ZERO,
        tenant: "t1".into(),
        long: false,
        deadline: Duration::from_secs(10),
        runs: vec![Duration::ZERO; tasks_per_job],
        declared_factor: None,
    };
    let entry = cluster.http_addr("e0");
    let before = cluster.cpu_time("e0");
    let start = Instant::now();
    let threads: Vec<_> = (0..callers)
        .map(|_| {
            let (entry, job) = (entry.clone(), job.clone());
            std::thread::spawn(move || {
                let mut answered = 0;
                while start.elapsed() < time {
                    let outcome = submit(&entry, new_key(), &job);
                    answered += u64::from(outcome.problem.is_empty()) * job.runs.len() as u64;
                }
                answered
            })
        })
        .collect();
    let tasks: u64 = threads
        .into_iter()
        .map(|thread| thread.join().unwrap_or(0))
        .sum();
    let elapsed = start.elapsed().as_secs_f64();
    let cpu_us = cluster
        .cpu_time("e0")
        .checked_sub(before)
        .unwrap()
        .as_micros() as f64;
    let entry_us_per_task = cpu_us / tasks.max(1) as f64;
    Ok(ThroughputReport {
        tasks_per_job,
        tasks,
        starts_per_s: tasks as f64 / elapsed,
        entry_us_per_task,
        starts_per_core_s: 1e6 / entry_us_per_task.max(0.001),
    })
}

/// Starts a stub agent, which links to the entry at `addr`, offers many slots and answers each
/// start immediately. It ends when the link is lost.
pub fn start_stub_agent(i: usize, addr: SocketAddr) {
    let node = NodeRef {
        name: format!("stand-in-{i}").into(),
        incarnation: rw_host::clock::wall().0,
    };
    let (tx, rx) = flume::bounded::<LinkEvent>(64 * 1024);
    let sink_tx: Sender<LinkEvent> = tx;
    let linker = Linker {
        key: ClusterKey::new(SECRET),
        hello: Hello {
            node,
            role: Role::Agent,
            domain: "d0".into(),
        },
        sink: Arc::new(move |event| drop(sink_tx.send(event))),
    };
    std::thread::spawn(move || linker.dial(addr));
    let current: Mutex<Option<Link>> = Mutex::new(None);
    std::thread::spawn(move || {
        for event in rx {
            let mut link = current.lock().unwrap_or_else(PoisonError::into_inner);
            match event {
                LinkEvent::Up(up) => {
                    send_offer(&up);
                    *link = Some(up);
                }
                LinkEvent::Msg(_, Msg::ToAgent(ToAgent::Start(start))) => {
                    if let Some(link) = &*link {
                        link.send(Msg::ToEntry(task_done(&start)));
                    }
                }
                LinkEvent::Msg(..) => {}
                LinkEvent::Down(_) => return,
            }
        }
    });
}

/// Offers all slots to the entry and grants it as many credits.
fn send_offer(link: &Link) {
    let size = Resources {
        cores: 16,
        memory_mb: 65_536,
        accelerators: 1,
    };
    let services = vec![SERVICE.into()];
    let offer = Offer {
        epoch: EPOCH,
        services,
        slots: SLOTS,
        size,
        leaving: false,
    };
    link.send(Msg::ToEntry(ToEntry::Offer(offer)));
    link.send(Msg::ToEntry(ToEntry::Grant {
        credits: SLOTS,
        epoch: EPOCH,
    }));
}

/// Returns the answer to a start.
fn task_done(start: &Start) -> ToEntry {
    let task = TaskRef {
        key: start.key,
        attempt: start.attempt,
        index: start.index,
        dispatch: start.dispatch,
    };
    // The answer of a test backend server is the echo field of the payload.
    let text = String::from_utf8_lossy(&start.payload);
    let echo = text.rsplit_once("echo=").map_or("", |(_, echo)| echo);
    ToEntry::Done {
        task,
        digest: task_digest(start.key, start.index, &start.payload),
        run_us: 1000,
        result: TaskResult::Done(echo.as_bytes().into()),
        credit: true,
        epoch: EPOCH,
    }
}
