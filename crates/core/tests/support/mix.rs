//! A seeded mix of small and large jobs on a few workers without faults: entries and agents joined
//! by links with delays.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use indexmap::IndexMap;
use rw_core::ids::{Name, NodeRef};
use rw_core::pool::catalog::Queue;
use rw_core::pool::driver::{
    self, Call, Driver, EndedRow, Heartbeat, HeartbeatState, Reply, RunningRow,
};
use rw_core::pool::job::{Job, JobId, Resources, RunEnd, RunId, Step};
use rw_core::pool::msg::{ToAgent, ToEntry};
use rw_core::pool::scheduler::{self, Scheduler};
use rw_core::pool::{PING_EVERY, Uptime};

const STEP: Duration = Duration::from_millis(1);
const ENTRY_TICK: Duration = Duration::from_millis(20);
/// CPU of the workers in thousandths of a core.
const WORKERS: [u32; 16] = [
    8_000, 8_000, 8_000, 8_000, 8_000, 8_000, 12_000, 12_000, 12_000, 12_000, 12_000, 12_000,
    16_000, 16_000, 16_000, 16_000,
];
/// Needs of jobs; the last of ten is the large one.
const NEEDS: [u32; 10] = [500, 500, 500, 500, 1000, 1000, 1000, 1000, 1500, 4000];
/// Time without arrivals at the end, so that what waits is served.
const TAIL: Duration = Duration::from_secs(10);

/// What is varied.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    pub seed: u64,
    pub entries: usize,
    /// Share of the workers' CPU that the jobs need.
    pub load: f64,
    /// Longest delay of a message.
    pub max_delay: Duration,
    /// Time for which jobs arrive.
    pub arrivals: Duration,
    pub reserves: bool,
    /// Whether all jobs need the same.
    pub equal: bool,
}

/// What came out.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Time from arrival to the start at the worker, of large jobs.
    pub large_waits: Vec<Duration>,
    pub small_waits: Vec<Duration>,
    /// Time from arrival to the answer, of small jobs.
    pub small_times: Vec<Duration>,
    /// Work in core-seconds that ended while jobs arrived.
    pub work: f64,
    /// Number of jobs that were not completed.
    pub failed: usize,
    /// Number of starts that agents refused.
    pub refused: usize,
    pub reservations: usize,
    /// Reasons for which reservations ended.
    pub ends: IndexMap<&'static str, usize>,
    pub forecasts: usize,
}

impl Outcome {
    /// Adds what came out of another play.
    pub fn add(&mut self, other: Self) {
        self.large_waits.extend(other.large_waits);
        self.small_waits.extend(other.small_waits);
        self.small_times.extend(other.small_times);
        self.work += other.work;
        self.failed += other.failed;
        self.refused += other.refused;
        self.reservations += other.reservations;
        self.forecasts += other.forecasts;
        for (why, count) in other.ends {
            *self.ends.entry(why).or_default() += count;
        }
    }
}

/// Returns the value at a quantile.
pub fn quantile(times: &[Duration], quantile: f64) -> Duration {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted[index.min(sorted.len() - 1)]
}

struct Arrival {
    at: Uptime,
    entry: usize,
    needs: u32,
    estimate: Duration,
    run_time: Duration,
}

struct Running {
    since: Uptime,
    ends: Uptime,
}

struct Agent {
    driver: Driver,
    next_tick: Uptime,
    running: IndexMap<RunId, Running>,
    ended: Vec<EndedRow>,
    end_count: u64,
    /// Calls that wait for their answer, with the time at which it is due.
    calls: Vec<(u64, Call, Uptime)>,
    heartbeats: u64,
    next_heartbeat: Uptime,
    capacity: u32,
}

struct Entry {
    scheduler: Scheduler,
    next_tick: Uptime,
}

enum Message {
    ToAgent(ToAgent),
    ToEntry(ToEntry),
}

struct Sim {
    mix: Mix,
    now: Uptime,
    begin: Uptime,
    rng: Rng,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    /// Messages on their way by entry and agent, in order, for each direction.
    links: IndexMap<(usize, usize, bool), VecDeque<(Uptime, Message)>>,
    jobs: IndexMap<JobId, Arrival>,
    starts: IndexMap<JobId, Uptime>,
    outcome: Outcome,
}

fn amounts(cpu_milli: u32) -> Resources {
    Resources {
        cpu_milli,
        memory_mb: cpu_milli,
        accelerators: 0,
    }
}

fn agent_name(a: usize) -> Name {
    format!("a{a}").into()
}

fn entry_name(e: usize) -> Name {
    format!("e{e}").into()
}

fn index(name: &Name) -> usize {
    name[1..].parse().expect("a number")
}

/// Plays the mix.
pub fn play(mix: Mix) -> Outcome {
    let mut sim = Sim::new(mix);
    let arrivals = sim.arrivals();
    let end = sim.begin + mix.arrivals;
    let mut arrivals = arrivals.into_iter().peekable();
    while sim.now < end + TAIL {
        sim.now += STEP;
        sim.step_workers(end);
        sim.deliver();
        while let Some(arrival) = arrivals.next_if(|arrival| arrival.at <= sim.now) {
            sim.submit(arrival);
        }
        sim.tick();
    }
    sim.outcome.failed += sim.jobs.len();
    sim.outcome
}

impl Sim {
    fn new(mix: Mix) -> Self {
        let now = Duration::from_secs(100);
        let mut rng = Rng::with_seed(mix.seed);
        let entry = |rng: &mut Rng| {
            let scheduler = Scheduler::new(now, rng.fork());
            Entry {
                scheduler: if mix.reserves {
                    scheduler.with_reservations()
                } else {
                    scheduler
                },
                next_tick: now,
            }
        };
        let agent = |capacity: &u32| Agent {
            driver: Driver::new(now, Duration::from_secs(1)).with_forecasts(),
            next_tick: now,
            running: IndexMap::new(),
            ended: Vec::new(),
            end_count: 0,
            calls: Vec::new(),
            heartbeats: 0,
            next_heartbeat: now,
            capacity: *capacity,
        };
        let mut sim = Self {
            mix,
            now,
            begin: now + Duration::from_secs(1),
            entries: (0..mix.entries).map(|_| entry(&mut rng)).collect(),
            agents: WORKERS.iter().map(agent).collect(),
            rng,
            links: IndexMap::new(),
            jobs: IndexMap::new(),
            starts: IndexMap::new(),
            outcome: Outcome::default(),
        };
        sim.step_workers(now);
        for a in 0..sim.agents.len() {
            for e in 0..mix.entries {
                let (mut to_entry, mut to_agent) = (Vec::new(), Vec::new());
                let node = NodeRef {
                    name: entry_name(e),
                    incarnation: 1,
                };
                sim.agents[a].driver.entry_up(now, node, &mut to_entry);
                sim.entries[e]
                    .scheduler
                    .agent_up(now, &agent_name(a), &mut to_agent);
                sim.apply_agent(a, to_entry);
                sim.apply_entry(e, to_agent);
            }
        }
        sim
    }

    /// Returns the jobs of the mix; the same for each seed whatever else is varied.
    fn arrivals(&self) -> Vec<Arrival> {
        let mut rng = Rng::with_seed(self.mix.seed + 1_000);
        let mut arrivals = Vec::new();
        let capacity: u32 = WORKERS.iter().sum();
        let mean_needs = f64::from(NEEDS.iter().sum::<u32>()) / NEEDS.len() as f64;
        // The mean of 2^x with x between -1 and 1.
        let mean_time = 0.2 * 1.5 / (2.0 * 2.0_f64.ln());
        let rate = self.mix.load * f64::from(capacity) / (mean_needs * mean_time);
        let mut at = self.begin;
        while at < self.begin + self.mix.arrivals {
            at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
            let estimate = Duration::from_millis(rng.u64(100..=300));
            let ratio = 2.0_f64.powf(rng.f64() * 2.0 - 1.0);
            let needs = NEEDS[rng.usize(0..NEEDS.len())];
            arrivals.push(Arrival {
                at,
                entry: rng.usize(0..self.mix.entries),
                needs: if self.mix.equal { 1190 } else { needs },
                estimate,
                run_time: estimate.mul_f64(ratio),
            });
        }
        arrivals
    }

    fn submit(&mut self, arrival: Arrival) {
        let id = JobId(arrival.at.as_nanos() as u64);
        let job = Job {
            id,
            request: "r".into(),
            payload: "x".into(),
            steps: vec![Step {
                count: 1,
                needs: amounts(arrival.needs),
                estimate: arrival.estimate,
                ..Step::default()
            }],
        };
        let queue = Arc::new(Queue {
            name: "q".into(),
            host: "h".into(),
            prefix: "/q/".into(),
            pool: "p".into(),
            timeout: Duration::from_secs(60),
            aim: Duration::from_secs(20),
            slack: 1.6,
            priority: 0,
            max_failures: 3,
            advised: false,
        });
        let e = arrival.entry;
        self.jobs.insert(id, arrival);
        let mut out = Vec::new();
        let deadline = Duration::from_secs(60);
        let scheduler = &mut self.entries[e].scheduler;
        scheduler.submit(self.now, job, queue, id.0, deadline, &mut out);
        self.apply_entry(e, out);
    }

    fn step_workers(&mut self, arrivals_end: Uptime) {
        for a in 0..self.agents.len() {
            let now = self.now;
            let mut out = Vec::new();
            let agent = &mut self.agents[a];
            if now >= agent.next_heartbeat {
                agent.next_heartbeat = now + Duration::from_millis(500);
                agent.heartbeats += 1;
                let heartbeat = Heartbeat {
                    id: agent_name(a),
                    start_time_ms: 1,
                    number: agent.heartbeats,
                    pool: "p".into(),
                    state: HeartbeatState::Ready,
                    capacity: amounts(agent.capacity),
                    labels: Vec::new(),
                    cold_left: Duration::ZERO,
                    clock_ms: Some(now.as_millis() as u64),
                };
                agent.driver.on_heartbeat(now, heartbeat, &mut out);
            }
            let ended: Vec<RunId> = agent
                .running
                .iter()
                .filter(|(_, running)| now >= running.ends)
                .map(|(run, _)| *run)
                .collect();
            for run in ended {
                agent.running.swap_remove(&run);
                agent.end_count += 1;
                agent.ended.push(EndedRow {
                    number: agent.end_count,
                    run,
                    end: RunEnd::Done,
                });
                if now <= arrivals_end
                    && let Some(job) = self.jobs.get(&run.task.job)
                {
                    self.outcome.work += f64::from(job.needs) / 1000.0 * job.run_time.as_secs_f64();
                }
            }
            let answered: Vec<(u64, Call, Uptime)> = agent
                .calls
                .extract_if(.., |(_, call, due)| {
                    let has_ends = matches!(call, Call::List { last_end_number, .. }
                        if agent.end_count > *last_end_number);
                    now >= *due || has_ends
                })
                .collect();
            for (id, call, _) in answered {
                let reply = self.answer(a, &call);
                let clock = Some(now.as_millis() as u64);
                let driver = &mut self.agents[a].driver;
                driver.on_reply(now, id, reply, clock, &mut out);
            }
            self.apply_agent(a, out);
        }
    }

    fn answer(&mut self, a: usize, call: &Call) -> Reply {
        let now = self.now;
        let agent = &mut self.agents[a];
        match call {
            Call::Start { run, .. } => {
                let job = &self.jobs[&run.task.job];
                agent.running.insert(
                    *run,
                    Running {
                        since: now,
                        ends: now + job.run_time,
                    },
                );
                self.starts.insert(run.task.job, now);
                Reply::Started
            }
            Call::Stop { run } => {
                agent.running.swap_remove(run);
                Reply::Stopped
            }
            Call::List {
                last_end_number, ..
            } => {
                agent.ended.retain(|row| row.number > *last_end_number);
                let percent = |running: &Running| {
                    let total = running.ends.saturating_sub(running.since).as_secs_f64();
                    let done = now.saturating_sub(running.since).as_secs_f64();
                    (done / total * 100.0).min(99.0) as u8
                };
                let row = |(run, running): (&RunId, &Running)| RunningRow {
                    run: *run,
                    percent: percent(running),
                };
                Reply::Lists {
                    start_time_ms: Some(1),
                    running: agent.running.iter().map(row).collect(),
                    is_complete: true,
                    ended: agent.ended.clone(),
                }
            }
            Call::Identify { .. } => Reply::Unknown,
        }
    }

    fn send(&mut self, key: (usize, usize, bool), msg: Message) {
        let max = self.mix.max_delay.as_millis() as u64;
        let at = self.now + Duration::from_millis(self.rng.u64(0..=max));
        let link = self.links.entry(key).or_default();
        let at = link.back().map_or(at, |(last, _)| at.max(*last));
        link.push_back((at, msg));
    }

    /// Takes the first message of a link if it has arrived.
    fn take_due(&mut self, key: (usize, usize, bool)) -> Option<(Uptime, Message)> {
        let link = self.links.get_mut(&key)?;
        let is_due = link.front().is_some_and(|(at, _)| *at <= self.now);
        is_due.then(|| link.pop_front()).flatten()
    }

    fn deliver(&mut self) {
        let now = self.now;
        let keys: Vec<(usize, usize, bool)> = self.links.keys().copied().collect();
        for key in keys {
            let (e, a, _) = key;
            while let Some((_, msg)) = self.take_due(key) {
                match msg {
                    Message::ToAgent(msg) => {
                        let mut out = Vec::new();
                        let driver = &mut self.agents[a].driver;
                        driver.on_entry(now, &entry_name(e), msg, &mut out);
                        self.apply_agent(a, out);
                    }
                    Message::ToEntry(msg) => {
                        self.outcome.refused += usize::from(matches!(msg, ToEntry::Refused { .. }));
                        self.outcome.forecasts += usize::from(matches!(msg, ToEntry::Forecast(_)));
                        let mut out = Vec::new();
                        let scheduler = &mut self.entries[e].scheduler;
                        scheduler.on_agent(now, &agent_name(a), msg, &mut out);
                        self.apply_entry(e, out);
                    }
                }
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        for e in 0..self.entries.len() {
            let mut out = Vec::new();
            let entry = &mut self.entries[e];
            entry.scheduler.observe(now, &mut out);
            if now >= entry.next_tick {
                entry.next_tick = now + ENTRY_TICK;
                entry.scheduler.tick(now, &mut out);
            }
            entry.scheduler.place_waiting(now, &mut out);
            self.apply_entry(e, out);
        }
        for a in 0..self.agents.len() {
            for e in 0..self.entries.len() {
                self.agents[a].driver.on_entry_activity(now, &entry_name(e));
            }
            if now >= self.agents[a].next_tick {
                let mut out = Vec::new();
                self.agents[a].driver.tick(now, &mut out);
                self.apply_agent(a, out);
                self.agents[a].next_tick = now + PING_EVERY;
            }
            let agent = &mut self.agents[a];
            let due = now + agent.driver.next_tick(now);
            agent.next_tick = agent.next_tick.min(due);
        }
    }

    fn apply_agent(&mut self, a: usize, actions: Vec<driver::Action>) {
        for action in actions {
            match action {
                driver::Action::Send(entry, msg) => {
                    self.send((index(&entry), a, false), Message::ToEntry(msg));
                }
                driver::Action::Call(id, call) => {
                    let wait = match &call {
                        Call::List { wait, .. } => *wait,
                        _ => Duration::ZERO,
                    };
                    let due = self.now + wait;
                    self.agents[a].calls.push((id, call, due));
                }
                driver::Action::DropCall(id) => {
                    self.agents[a].calls.retain(|(call, ..)| *call != id);
                }
                driver::Action::DropLink(_) => panic!("a link was dropped"),
                driver::Action::Note(_) => {}
            }
        }
    }

    fn apply_entry(&mut self, e: usize, actions: Vec<scheduler::Action>) {
        for action in actions {
            match action {
                scheduler::Action::Send(agent, msg) => {
                    self.send((e, index(&agent), true), Message::ToAgent(msg));
                }
                scheduler::Action::Answer(caller, answer) => self.on_answer(caller, &answer),
                scheduler::Action::Note(scheduler::Note::Reserving { .. }) => {
                    self.outcome.reservations += 1;
                }
                scheduler::Action::Note(scheduler::Note::ReservationEnded { why, .. }) => {
                    *self.outcome.ends.entry(why).or_default() += 1;
                }
                _ => {}
            }
        }
    }

    fn on_answer(&mut self, caller: u64, answer: &scheduler::Answer) {
        let id = JobId(caller);
        let Some(arrival) = self.jobs.swap_remove(&id) else {
            return;
        };
        if *answer != scheduler::Answer::Completed {
            self.outcome.failed += 1;
            return;
        }
        let wait = self.starts[&id].saturating_sub(arrival.at);
        if arrival.needs >= 4000 {
            self.outcome.large_waits.push(wait);
        } else {
            self.outcome.small_waits.push(wait);
            let time = self.now.saturating_sub(arrival.at);
            self.outcome.small_times.push(time);
        }
    }
}
