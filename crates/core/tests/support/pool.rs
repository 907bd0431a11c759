//! A simulation of callers, entries, agents and workers of pooled jobs with injected faults,
//! advanced in fixed steps.

#![allow(dead_code, reason = "each test file uses a part")]

#[path = "pool/agents.rs"]
mod agents;
#[path = "pool/callers.rs"]
mod callers;
#[path = "pool/faults.rs"]
pub mod faults;
#[path = "pool/links.rs"]
mod links;
#[path = "pool/worker.rs"]
mod worker;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use indexmap::{IndexMap, IndexSet};
use rw_core::ids::{Name, NodeRef};
use rw_core::pool::Uptime;
use rw_core::pool::catalog::Queue;
use rw_core::pool::driver::Driver;
use rw_core::pool::job::{Job, JobId, Resources, TaskId};
use rw_core::pool::scheduler::{self, Scheduler};

use agents::Agent;
use callers::CallerState;
use faults::Faults;
use links::{Link, Payload, REDIAL_AFTER};
use worker::{MAX_LEASE, Worker};

/// Simulated time of one step.
pub const STEP: Duration = Duration::from_millis(5);
/// Number of recent events that are printed when a check fails.
const TRACE_EVENTS: usize = 150;

/// Shortest delay between the events and the actions of a process that is part of the trace.
const LONG_DELAY: Duration = Duration::from_millis(50);

/// Resources and run time of the tasks of each job.
type Workloads = IndexMap<JobId, (Resources, Duration)>;

/// Actions that a process carries out some time after it has read the time and its events.
struct Held<A> {
    until: Uptime,
    actions: Vec<A>,
}

impl<A> Held<A> {
    fn new(now: Uptime) -> Self {
        Self {
            until: now,
            actions: Vec::new(),
        }
    }
}

struct Entry {
    node: NodeRef,
    scheduler: Scheduler,
    suspended_until: Uptime,
    disconnected: Vec<u64>,
    held: Held<scheduler::Action>,
}

/// The simulated processes, the links between them and the callers.
pub struct Simulation {
    pub rng: Rng,
    pub now: Uptime,
    pub faults: Faults,
    seed: u64,
    /// Longest time in milliseconds until a worker's answer arrives, less one. Workers that answer
    /// at once have short call timeouts, which end before the deadlines of starts.
    answer_ms: u64,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    /// Links by entry, then agent.
    links: Vec<Vec<Link>>,
    /// Links between entries, by the lower number, then the higher.
    peers: Vec<Vec<Link>>,
    queue: Arc<Queue>,
    workloads: Workloads,
    jobs: IndexMap<JobId, Job>,
    callers: IndexMap<JobId, CallerState>,
    /// Until when callers send no new jobs.
    idle_until: Uptime,
    next_caller: u64,
    next_job: u64,
    next_incarnation: u64,
    /// Jobs of the cancels that are not answered, by caller.
    cancels: IndexMap<u64, JobId>,
    /// When the cancel of a job was acknowledged.
    cancelled: IndexMap<JobId, Uptime>,
    pub completed: usize,
    pub refused: usize,
    pub resent: usize,
    /// Recent events, printed when a check fails.
    trace: VecDeque<String>,
}

impl Simulation {
    pub fn new(seed: u64, entries: usize, agents: usize, faults: Faults) -> Self {
        let mut rng = Rng::with_seed(seed);
        let now = Duration::from_secs(100);
        let queue = Queue {
            name: "q".into(),
            host: "h".into(),
            prefix: "/q/".into(),
            pool: "p".into(),
            timeout: Duration::from_secs(5),
            aim: Duration::from_millis(60),
            slack: 1.6,
            priority: 0,
            max_failures: 3,
            advised: false,
        };
        let entry = |i: usize, rng: &mut Rng| Entry {
            node: NodeRef {
                name: format!("e{i}").into(),
                incarnation: i as u64 + 1,
            },
            scheduler: Scheduler::new(now, rng.fork()),
            suspended_until: now,
            disconnected: Vec::new(),
            held: Held::new(now),
        };
        let agent = |i: usize, rng: &mut Rng| Agent {
            driver: Driver::new(now, Duration::from_millis(MAX_LEASE)),
            worker: Worker::new(
                rng,
                now,
                Self::worker_id(i, i as u64 + 1),
                i as u64 + 1,
                faults.slow_clocks,
            ),
            suspended_until: now,
            replies: VecDeque::new(),
            next_heartbeat: now,
            late_heartbeats: Vec::new(),
            held: Held::new(now),
        };
        Self {
            entries: (0..entries).map(|i| entry(i, &mut rng)).collect(),
            agents: (0..agents).map(|i| agent(i, &mut rng)).collect(),
            links: vec![vec![Link::default(); agents]; entries],
            peers: vec![vec![Link::default(); entries]; entries],
            rng,
            now,
            faults,
            seed,
            answer_ms: if seed.is_multiple_of(2) { 1 } else { 6 },
            queue: Arc::new(queue),
            workloads: IndexMap::new(),
            jobs: IndexMap::new(),
            callers: IndexMap::new(),
            idle_until: now,
            next_caller: 1,
            next_job: 1,
            next_incarnation: 100,
            cancels: IndexMap::new(),
            cancelled: IndexMap::new(),
            completed: 0,
            refused: 0,
            resent: 0,
            trace: VecDeque::new(),
        }
    }

    fn trace<S>(&mut self, what: S)
    where
        S: Into<String>,
    {
        self.trace
            .push_back(format!("{:?} {}", self.now, what.into()));
        if self.trace.len() > TRACE_EVENTS {
            self.trace.pop_front();
        }
    }

    /// Returns `true` with the given probability.
    fn chance(&mut self, per_thousand: u32) -> bool {
        per_thousand > 0 && self.rng.u32(0..1000) < per_thousand
    }

    /// Advances the simulation by [`STEP`], then runs the checks.
    pub fn step(&mut self) {
        self.now += STEP;
        self.inject_faults();
        self.inject_worker_faults();
        self.inject_peer_faults();
        self.release_held();
        self.inject_delays();
        self.step_callers();
        for a in 0..self.agents.len() {
            self.step_worker(a);
        }
        self.step_links();
        for a in 0..self.agents.len() {
            if self.now >= self.agents[a].suspended_until {
                self.step_agent(a);
            }
        }
        let live = self.live_entries();
        for e in 0..self.entries.len() {
            if self.now >= self.entries[e].suspended_until {
                let mut out = Vec::new();
                let mut others = live.clone();
                others.swap_remove(&self.entries[e].node.name);
                self.entries[e].scheduler.set_live_entries(others);
                self.entries[e].scheduler.observe(self.now, &mut out);
                for caller in std::mem::take(&mut self.entries[e].disconnected) {
                    self.entries[e]
                        .scheduler
                        .disconnected(self.now, caller, &mut out);
                }
                self.entries[e].scheduler.tick(self.now, &mut out);
                self.apply_entry(e, out);
            }
        }
        self.suspend_held();
        self.check();
        self.check_cancelled();
    }

    /// Returns the entries that run, as the member list shows them.
    fn live_entries(&self) -> IndexSet<Name> {
        let running = |entry: &&Entry| self.now >= entry.suspended_until;
        let entries = self.entries.iter().filter(running);
        entries.map(|entry| entry.node.name.clone()).collect()
    }

    /// Checks that no task runs twice at the same time.
    fn check(&self) {
        let mut running: IndexMap<TaskId, usize> = IndexMap::new();
        for (a, agent) in self.agents.iter().enumerate() {
            for run in agent.worker.runs() {
                let other = running.insert(run.task, a);
                assert!(
                    other.is_none(),
                    "{run} runs on worker {a} and on worker {other:?} at {:?}, seed {}, {:?}, after\n{:#?}",
                    self.now,
                    self.seed,
                    self.faults,
                    self.trace
                );
            }
        }
    }

    /// Injects the faults of this step.
    fn inject_faults(&mut self) {
        let faults = self.faults;
        let pause = Duration::from_millis(self.rng.u64(100..4000));
        let e = self.rng.usize(0..self.entries.len());
        let a = self.rng.usize(0..self.agents.len());
        if self.chance(faults.kill_entry) {
            self.kill_entry(e);
        }
        if self.chance(faults.kill_agent) {
            self.kill_agent(a);
        }
        if self.chance(faults.suspend) {
            self.trace(format!("entry {e} is suspended for {pause:?}"));
            self.entries[e].suspended_until = self.now + pause;
        }
        if self.chance(faults.suspend) {
            self.trace(format!("agent {a} is suspended for {pause:?}"));
            self.agents[a].suspended_until = self.now + pause;
        }
        if self.chance(faults.cut) {
            let directions = self.rng.usize(1..4);
            self.trace(format!(
                "link {e} {a} is cut, directions {directions}, for {pause:?}"
            ));
            for side in (0..2).filter(|side| directions & (1 << side) != 0) {
                self.links[e][a].cut_until[side] = self.now + pause;
            }
        }
        if self.chance(faults.cut) {
            let other = self.rng.usize(0..self.entries.len());
            let (low, high) = (e.min(other), e.max(other));
            self.peers[low][high].cut_until = [self.now + pause; 2];
        }
        if self.chance(faults.retire) {
            let retiring = if self.rng.bool() {
                vec![self.entries[e].node.name.clone()]
            } else {
                Vec::new()
            };
            self.trace(format!("agent {a} retires its links with {retiring:?}"));
            self.agents[a].driver.set_retiring(self.now, &retiring);
        }
        if self.chance(faults.worker_crash) {
            self.trace(format!("worker {a} crashes and is replaced"));
            self.next_incarnation += 1;
            let born = self.next_incarnation;
            let (id, slow) = (Self::worker_id(a, born), faults.slow_clocks);
            self.agents[a].worker = Worker::new(&mut self.rng, self.now, id, born, slow);
            self.agents[a].replies.clear();
            self.agents[a].next_heartbeat = self.now + Duration::from_millis(700);
        }
    }

    /// Injects the faults of workers, of the paths to them and of their heartbeats.
    fn inject_worker_faults(&mut self) {
        let faults = self.faults;
        let a = self.rng.usize(0..self.agents.len());
        if self.chance(faults.other_id) {
            self.other_heartbeat(a, format!("other{}", self.next_incarnation).into());
        }
        if self.chance(faults.other_start_time) {
            let id = self.agents[a].worker.id.clone();
            self.other_heartbeat(a, id);
        }
        if self.chance(faults.leave) {
            self.leave(a);
        }
        if self.chance(faults.worker_restart) {
            self.restart_worker(a);
        }
        if self.chance(faults.worker_cut) {
            let directions = self.rng.usize(1..4);
            self.cut_worker(a, directions);
        }
        if self.now >= self.idle_until && self.chance(faults.idle) {
            let pause = Duration::from_secs(self.rng.u64(10..30));
            self.trace(format!("callers pause for {pause:?}"));
            self.idle_until = self.now + pause;
        }
    }

    /// Cuts or closes links between entries.
    fn inject_peer_faults(&mut self) {
        let low = self.rng.usize(0..self.entries.len());
        let high = self.rng.usize(0..self.entries.len());
        if low >= high {
            return;
        }
        if self.chance(self.faults.peer_cut) {
            let pause = Duration::from_millis(self.rng.u64(100..10_000));
            self.trace(format!(
                "the link of entries {low} and {high} is cut for {pause:?}"
            ));
            self.peers[low][high].cut_until = [self.now + pause; 2];
        }
        if self.chance(self.faults.peer_close) {
            let pause = Duration::from_millis(self.rng.u64(100..5000));
            self.trace(format!(
                "the link of entries {low} and {high} is closed for {pause:?}"
            ));
            Self::close_for(&mut self.peers[low][high], self.now, pause);
        }
    }

    /// Lets processes act some time after they have read the time and their events of this step.
    fn inject_delays(&mut self) {
        let now = self.now;
        for process in 0..self.entries.len() + self.agents.len() {
            let range = if self.chance(self.faults.stall) {
                50..600
            } else if self.chance(self.faults.lag) {
                5..40
            } else {
                continue;
            };
            let until = now + Duration::from_millis(self.rng.u64(range));
            let a = process.checked_sub(self.entries.len());
            let suspended_until = a.map_or_else(
                || self.entries[process].suspended_until,
                |a| self.agents[a].suspended_until,
            );
            if now < suspended_until {
                continue;
            }
            if until >= now + LONG_DELAY {
                let name = a.map_or(format!("entry {process}"), |a| format!("agent {a}"));
                self.trace(format!("{name} acts only at {until:?}"));
            }
            match a {
                Some(a) => self.agents[a].held.until = until,
                None => self.entries[process].held.until = until,
            }
        }
    }

    /// Carries out the actions that were held until now.
    fn release_held(&mut self) {
        let now = self.now;
        for a in 0..self.agents.len() {
            let agent = &mut self.agents[a];
            if now >= agent.held.until && now >= agent.suspended_until {
                let actions = std::mem::take(&mut agent.held.actions);
                self.apply_agent(a, actions);
            }
        }
        for e in 0..self.entries.len() {
            let entry = &mut self.entries[e];
            if now >= entry.held.until && now >= entry.suspended_until {
                let actions = std::mem::take(&mut entry.held.actions);
                self.apply_entry(e, actions);
            }
        }
    }

    /// Lets the processes whose actions are held do nothing else until then.
    fn suspend_held(&mut self) {
        for agent in &mut self.agents {
            agent.suspended_until = agent.suspended_until.max(agent.held.until);
        }
        for entry in &mut self.entries {
            entry.suspended_until = entry.suspended_until.max(entry.held.until);
        }
    }

    fn kill_entry(&mut self, e: usize) {
        self.trace(format!("entry {e} is killed"));
        self.next_incarnation += 1;
        self.entries[e].node.incarnation = self.next_incarnation;
        self.entries[e].scheduler = Scheduler::new(self.now, self.rng.fork());
        self.entries[e].disconnected.clear();
        self.entries[e].held = Held::new(self.now);
        // It restarts soon, or only after the leases of its runs must have expired.
        let downtime = Duration::from_millis(self.rng.u64(300..4000));
        self.entries[e].suspended_until = self.now + downtime;
        for a in 0..self.agents.len() {
            self.reset(e, a, 1);
        }
        for other in 0..self.entries.len() {
            let (low, high) = (e.min(other), e.max(other));
            let side = usize::from(other == high);
            Self::reset_link(&mut self.peers[low][high], self.now, side);
        }
        let now = self.now;
        for state in self.callers.values_mut() {
            if state.on_entry_killed(now, e) {
                self.resent += 1;
            }
        }
    }

    fn index(name: &Name) -> usize {
        name[1..]
            .parse()
            .expect("a node's name is a letter and a number")
    }

    fn worker_id(a: usize, born: u64) -> Name {
        format!("w{a}-{born}").into()
    }

    fn apply_entry(&mut self, e: usize, out: Vec<scheduler::Action>) {
        if self.now < self.entries[e].held.until {
            self.entries[e].held.actions.extend(out);
            return;
        }
        for action in out {
            match action {
                scheduler::Action::Send(agent, msg) => {
                    let a = Self::index(&agent);
                    self.send(e, a, 0, Payload::ToAgent(msg));
                }
                scheduler::Action::Peer(entry, msg) => {
                    let to = Self::index(&entry);
                    self.send_peer(e, to, msg);
                }
                scheduler::Action::Peers(msg) => {
                    for to in (0..self.entries.len()).filter(|to| *to != e) {
                        self.send_peer(e, to, msg.clone());
                    }
                }
                scheduler::Action::Answer(caller, answer) => self.on_answer(caller, &answer),
                scheduler::Action::CancelAnswer(caller, answer) => {
                    self.on_cancel_answer(caller, answer);
                }
                scheduler::Action::DropLinks => {
                    for a in 0..self.agents.len() {
                        let link = &mut self.links[e][a];
                        Self::close_for(link, self.now, REDIAL_AFTER);
                    }
                }
                scheduler::Action::Note(_) => {}
            }
        }
    }
}
