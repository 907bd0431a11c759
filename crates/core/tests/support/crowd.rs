//! A load played through one or two schedulers with fake workers, without a network: each worker
//! runs what fits into its room and reports it a step later.

#![allow(dead_code, reason = "each test file uses a part")]

use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use indexmap::IndexMap;
use rw_core::ids::Name;
use rw_core::pool::Uptime;
use rw_core::pool::catalog::{Catalog, Pool, Queue};
use rw_core::pool::job::{EndEvidence, Job, JobId, Resources, RunEnd, RunId, Step};
use rw_core::pool::msg::{CapacityReport, NotStarted, Peer, ToAgent, ToEntry, WorkerInfo};
use rw_core::pool::scheduler::{Action, Answer, Note, Scheduler};

pub const STEP: Duration = Duration::from_millis(2);
const CPU: u32 = 16_000;
/// Cores that one task needs, in thousandths.
const TASK_CPU: u32 = 1_600;
/// Minimum time between two reports of a worker to an entry.
const REPORT_INTERVAL: Duration = Duration::from_millis(12);
/// Steps between two ticks of an entry.
const TICK_STEPS: u32 = 10;

/// A kind of job: its queue, with the mean rate and shape of its jobs.
#[derive(Clone, Copy)]
pub struct Kind {
    pub queue: &'static str,
    pub priority: u32,
    pub per_s: f64,
    pub tasks: u16,
    pub run_ms: f64,
}

struct Running {
    entry: usize,
    run: RunId,
    ends: Uptime,
}

struct Queued {
    entry: usize,
    run: RunId,
    until: Uptime,
    due: Uptime,
}

#[derive(Default)]
struct Worker {
    running: Vec<Running>,
    queued: Vec<Queued>,
    hangs: bool,
    received: Vec<u64>,
    /// When each entry got a report, and whether it has missed a change since.
    reported: Vec<(Uptime, bool)>,
    /// The entry that is the first to learn of the next freed capacity.
    next_entry: usize,
}

/// What became of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    InAim,
    Late,
    Refused,
    Lost,
}

pub struct Sent {
    pub queue: &'static str,
    pub work: f64,
    pub at: Uptime,
    pub took: Duration,
    pub outcome: Option<Outcome>,
}

impl Sent {
    pub fn is_served(&self) -> bool {
        matches!(self.outcome, Some(Outcome::InAim | Outcome::Late))
    }
}

pub struct Crowd {
    pub now: Uptime,
    pub entries: Vec<Scheduler>,
    pub sent: IndexMap<JobId, Sent>,
    /// Decides on the loss of a report between entries.
    pub loses_report: fn(Uptime) -> bool,
    pub reports: usize,
    pub mode_changes: usize,
    pub retry_after: Vec<Duration>,
    workers: Vec<Worker>,
    run_times: IndexMap<JobId, Duration>,
    peer_msgs: Vec<(Uptime, usize, usize, Peer)>,
    peer_delay: Duration,
    rng: Rng,
    steps: u32,
}

fn resources(cpu_milli: u32) -> Resources {
    Resources {
        cpu_milli,
        memory_mb: cpu_milli / 100,
        accelerators: 0,
    }
}

pub fn queue_of(kind: &Kind) -> Queue {
    Queue {
        name: kind.queue.into(),
        host: "h".into(),
        prefix: format!("/{}/", kind.queue).into(),
        pool: "p".into(),
        timeout: Duration::from_millis(1500),
        aim: Duration::from_millis(60),
        slack: 1.6,
        priority: kind.priority,
        max_failures: 3,
        advised: false,
    }
}

pub fn catalog_of(kinds: &[Kind]) -> Catalog {
    let pool = Pool {
        name: "p".into(),
        health_path: "/".into(),
        max_connections: 8,
        guards_room: true,
        standby: false,
    };
    Catalog {
        queues: kinds.iter().map(queue_of).collect(),
        pools: vec![pool],
        ..Catalog::default()
    }
}

impl Crowd {
    pub fn new(seed: u64, entries: usize, workers: usize, kinds: &[Kind]) -> Self {
        let now = Duration::from_secs(10);
        let mut rng = Rng::with_seed(seed);
        let mut crowd = Self {
            now,
            entries: (0..entries)
                .map(|_| Scheduler::new(now, rng.fork()))
                .collect(),
            sent: IndexMap::new(),
            loses_report: |_| false,
            reports: 0,
            mode_changes: 0,
            retry_after: Vec::new(),
            workers: (0..workers).map(|_| Worker::default()).collect(),
            run_times: IndexMap::new(),
            peer_msgs: Vec::new(),
            peer_delay: STEP,
            rng,
            steps: 0,
        };
        for e in 0..entries {
            crowd.connect(e, kinds);
        }
        crowd
    }

    /// Links an entry with all workers and sets its catalogue.
    fn connect(&mut self, e: usize, kinds: &[Kind]) {
        let entries = self.entries.len();
        let scheduler = &mut self.entries[e];
        scheduler.set_catalog(&catalog_of(kinds));
        scheduler.set_entry_count(entries);
        let mut out = Vec::new();
        for (w, worker) in self.workers.iter_mut().enumerate() {
            worker.received.resize(entries, 0);
            worker.received[e] = 0;
            worker.reported.resize(entries, (Duration::ZERO, true));
            worker.reported[e] = (Duration::ZERO, true);
            let name: Name = w.to_string().into();
            scheduler.agent_up(self.now, &name, &mut out);
            let info = WorkerInfo {
                pool: Some("p".into()),
                capacity: resources(CPU),
                labels: Vec::new(),
            };
            scheduler.on_agent(self.now, &name, ToEntry::Worker(info), &mut out);
        }
        self.apply(e, out);
    }

    /// Replaces an entry's process: its jobs and runs are lost.
    pub fn restart(&mut self, e: usize, kinds: &[Kind]) {
        self.entries[e] = Scheduler::new(self.now, self.rng.fork());
        for worker in &mut self.workers {
            worker.running.retain(|run| run.entry != e);
            worker.queued.retain(|run| run.entry != e);
        }
        self.connect(e, kinds);
    }

    pub fn set_catalog(&mut self, kinds: &[Kind]) {
        for scheduler in &mut self.entries {
            scheduler.set_catalog(&catalog_of(kinds));
        }
    }

    /// Lets some workers hold their runs without progress, or go on.
    pub fn set_hanging(&mut self, count: usize) {
        for (w, worker) in self.workers.iter_mut().enumerate() {
            worker.hangs = w < count;
        }
    }

    /// Plays the load for some time; `alive` tells which entries run and take jobs.
    pub fn play(&mut self, time: Duration, kinds: &[Kind], alive: &[bool]) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            for kind in kinds {
                let expected = kind.per_s * STEP.as_secs_f64();
                let count = expected as usize + usize::from(self.rng.f64() < expected.fract());
                for _ in 0..count {
                    self.submit(kind, alive);
                }
            }
            self.step_workers(alive);
            let (first, count) = (self.steps as usize, self.entries.len());
            let order = (first..first + count).map(|e| e % count);
            for e in order.filter(|e| alive[*e]) {
                let mut out = Vec::new();
                self.entries[e].observe(self.now, &mut out);
                self.entries[e].place_waiting(self.now, &mut out);
                if self.steps.is_multiple_of(TICK_STEPS) {
                    self.entries[e].tick(self.now, &mut out);
                }
                self.apply(e, out);
            }
            self.deliver(alive);
        }
    }

    fn submit(&mut self, kind: &Kind, alive: &[bool]) {
        let spread = |rng: &mut Rng| 0.4 + 1.2 * rng.f64().powi(2) * 1.5;
        let tasks = (f64::from(kind.tasks) * spread(&mut self.rng))
            .round()
            .max(1.0);
        let estimate = Duration::from_secs_f64(kind.run_ms * spread(&mut self.rng) / 1000.0);
        let id = JobId(self.sent.len() as u64 + 1);
        let step = Step {
            count: tasks as u16,
            needs: resources(TASK_CPU),
            estimate,
            ..Step::default()
        };
        let job = Job {
            id,
            request: "r".into(),
            payload: "".into(),
            steps: vec![step],
        };
        self.run_times
            .insert(id, estimate.mul_f64(0.8 + 0.4 * self.rng.f64()));
        let mut e = self.rng.usize(0..self.entries.len());
        while !alive[e] {
            e = self.rng.usize(0..self.entries.len());
        }
        let sent = Sent {
            queue: kind.queue,
            work: job.work(),
            at: self.now,
            took: Duration::ZERO,
            outcome: None,
        };
        self.sent.insert(id, sent);
        let mut out = Vec::new();
        let (queue, deadline) = (Arc::new(queue_of(kind)), Duration::from_millis(1500));
        self.entries[e].submit(self.now, job, queue, id.0, deadline, &mut out);
        self.apply(e, out);
    }

    fn step_workers(&mut self, alive: &[bool]) {
        let now = self.now;
        for w in 0..self.workers.len() {
            let worker = &mut self.workers[w];
            if worker.hangs {
                worker.running.iter_mut().for_each(|run| run.ends += STEP);
            }
            let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut worker.running)
                .into_iter()
                .partition(|run| run.ends <= now);
            worker.running = running;
            self.start_queued(w);
            let freed = !ended.is_empty();
            for run in ended {
                self.tell(run.entry, w, ended_msg(run.run, RunEnd::Done));
            }
            self.report(w, freed, alive);
        }
    }

    /// Reports the free capacity: freed one to two entries at once, as agents do, and each change
    /// to all within a short interval.
    fn report(&mut self, w: usize, freed: bool, alive: &[bool]) {
        let entries = self.entries.len();
        let worker = &mut self.workers[w];
        if freed {
            worker
                .reported
                .iter_mut()
                .for_each(|(_, missed)| *missed = true);
        }
        let mut at_once = if freed { 2 } else { 0 };
        let first = worker.next_entry;
        for e in (first..first + entries).map(|e| e % entries) {
            let worker = &mut self.workers[w];
            let (at, missed) = worker.reported[e];
            if !alive[e] || !missed || at_once == 0 && self.now < at + REPORT_INTERVAL {
                continue;
            }
            if at_once > 0 {
                at_once -= 1;
                worker.next_entry = (e + 1) % entries;
            }
            worker.reported[e] = (self.now, false);
            let used = TASK_CPU * (worker.running.len() + worker.queued.len()) as u32;
            let report = CapacityReport {
                starts_received: worker.received[e],
                open: true,
                free: resources(CPU.saturating_sub(used)),
                ..CapacityReport::default()
            };
            self.tell(e, w, ToEntry::Capacity(report));
        }
    }

    /// Starts the queued runs that fit, and refuses those that have waited too long.
    fn start_queued(&mut self, w: usize) {
        let mut queue = std::mem::take(&mut self.workers[w].queued);
        queue.sort_by_key(|queued| queued.due);
        for queued in queue {
            let Queued {
                entry, run, until, ..
            } = queued;
            let worker = &mut self.workers[w];
            if (worker.running.len() as u32 + 1) * TASK_CPU <= CPU {
                let ends = self.now + self.run_times[&run.task.job];
                worker.running.push(Running { entry, run, ends });
            } else if self.now < until {
                worker.queued.push(queued);
            } else {
                let reason = NotStarted::NoRoom;
                self.tell(entry, w, ToEntry::Refused { run, reason });
            }
        }
    }

    fn tell(&mut self, e: usize, w: usize, msg: ToEntry) {
        let mut out = Vec::new();
        let name: Name = w.to_string().into();
        self.entries[e].on_agent(self.now, &name, msg, &mut out);
        self.apply(e, out);
    }

    fn deliver(&mut self, alive: &[bool]) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.peer_msgs)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.peer_msgs = later;
        for (_, from, to, msg) in due {
            let mut out = Vec::new();
            let name: Name = format!("e{from}").into();
            if alive[to] {
                self.entries[to].on_peer(now, &name, msg, &mut out);
            }
            self.apply(to, out);
        }
    }

    /// Delays the messages between entries.
    pub fn set_peer_delay(&mut self, delay: Duration) {
        self.peer_delay = delay;
    }

    fn apply(&mut self, e: usize, out: Vec<Action>) {
        for action in out {
            match action {
                Action::Send(worker, msg) => {
                    let w = worker.parse().expect("workers are named by number");
                    self.on_agent_msg(e, w, msg);
                }
                Action::Peers(msg) if matches!(msg, Peer::Load(_)) => {
                    self.reports += 1;
                    if !(self.loses_report)(self.now) {
                        let at = self.now + self.peer_delay;
                        let others = (0..self.entries.len()).filter(|to| *to != e);
                        let msgs = others.map(|to| (at, e, to, msg.clone()));
                        self.peer_msgs.extend(msgs);
                    }
                }
                Action::Answer(caller, answer) => self.on_answer(JobId(caller), &answer),
                Action::Note(Note::OverloadChanged { .. }) => self.mode_changes += 1,
                _ => {}
            }
        }
    }

    fn on_agent_msg(&mut self, e: usize, w: usize, msg: ToAgent) {
        match msg {
            ToAgent::Start(start) => {
                let worker = &mut self.workers[w];
                worker.received[e] += 1;
                worker
                    .reported
                    .iter_mut()
                    .for_each(|(_, missed)| *missed = true);
                let until = self.now + Duration::from_millis(start.max_queue_ms.into());
                let (entry, run) = (e, start.run);
                let due = self.now + Duration::from_millis(start.due_ms.into());
                worker.queued.push(Queued {
                    entry,
                    run,
                    until,
                    due,
                });
                self.start_queued(w);
            }
            ToAgent::Stop { run } => {
                let worker = &mut self.workers[w];
                worker.running.retain(|running| running.run != run);
                worker.queued.retain(|queued| queued.run != run);
                worker
                    .reported
                    .iter_mut()
                    .for_each(|(_, missed)| *missed = true);
                self.tell(e, w, ended_msg(run, RunEnd::Gone));
            }
            _ => {}
        }
    }

    fn on_answer(&mut self, job: JobId, answer: &Answer) {
        let now = self.now;
        let sent = &mut self.sent[&job];
        sent.took = now.saturating_sub(sent.at);
        // Within the aim by the run time that the caller knows.
        let aim = self.run_times[&job].mul_f64(1.6) + Duration::from_millis(60);
        sent.outcome = Some(match answer {
            Answer::Completed if sent.took <= aim => Outcome::InAim,
            Answer::Completed => Outcome::Late,
            Answer::NotRun { retry_after, .. } => {
                self.retry_after.push(*retry_after);
                Outcome::Refused
            }
            Answer::Failed(_) | Answer::OtherJobOpen(_) | Answer::OutcomeUnknown(_) => {
                Outcome::Lost
            }
        });
    }

    /// Returns the jobs that were sent from `from` on, for `time`.
    pub fn sent_in(&self, from: Uptime, time: Duration) -> Vec<&Sent> {
        let sent = self.sent.values();
        sent.filter(|sent| sent.at >= from && sent.at < from + time)
            .collect()
    }
}

/// Returns the share of jobs with one of these outcomes.
pub fn share(sent: &[&Sent], outcomes: &[Outcome]) -> f64 {
    let with = sent
        .iter()
        .filter(|s| s.outcome.is_some_and(|o| outcomes.contains(&o)));
    with.count() as f64 / (sent.len() as f64).max(1.0)
}

/// Returns the jobs of a queue.
pub fn of<'a>(sent: &[&'a Sent], queue: &str) -> Vec<&'a Sent> {
    sent.iter().copied().filter(|s| s.queue == queue).collect()
}

/// Returns the largest tenth of the jobs and the fifth below it.
pub fn large<'a>(sent: &[&'a Sent]) -> [Vec<&'a Sent>; 2] {
    let mut sorted = sent.to_vec();
    sorted.sort_by(|a, b| b.work.total_cmp(&a.work));
    let (tenth, rest) = (sorted.len() / 10, sorted.len() * 3 / 10);
    [sorted[..tenth].to_vec(), sorted[tenth..rest].to_vec()]
}

fn ended_msg(run: RunId, end: RunEnd) -> ToEntry {
    ToEntry::Ended {
        run,
        end,
        evidence: EndEvidence::Listed,
        ran_ms: 1,
    }
}
