//! A simulation of callers, entries, agents and workers of pooled jobs with injected faults,
//! advanced in fixed steps.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use indexmap::IndexMap;
use rw_core::ids::{Name, NodeRef};
use rw_core::pool::catalog::Queue;
use rw_core::pool::driver::{
    self, Call, Driver, EndedRow, Heartbeat, HeartbeatState, Reply, RunningRow, StartRefusal,
};
use rw_core::pool::job::{Job, JobId, Resources, RunEnd, RunId, Step, TaskId};
use rw_core::pool::msg::{Peer, ToAgent, ToEntry};
use rw_core::pool::scheduler::{self, Answer, Scheduler};
use rw_core::pool::{PING_EVERY, SILENCE_TIMEOUT, Uptime};

/// Simulated time of one step.
pub const STEP: Duration = Duration::from_millis(5);
/// Capacity of each worker in thousandths of a core.
const CAPACITY: u32 = 8_000;
/// Number of recent events that are printed when a check fails.
const TRACE_EVENTS: usize = 150;
/// Time from the loss of a caller's connection until it sends the job again.
const RESEND_AFTER: Duration = Duration::from_millis(1300);
/// Longest lease that a worker grants, in milliseconds.
const MAX_LEASE: u64 = 1000;

/// Probability of each fault per step or call, in thousandths.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub kill_entry: u32,
    pub kill_agent: u32,
    pub suspend: u32,
    pub cut: u32,
    pub lost_call: u32,
    pub worker_crash: u32,
    pub disconnect: u32,
    /// An agent begins or ends to close its link with one entry.
    pub retire: u32,
}

/// All faults at rates low enough that jobs complete between them.
pub const RARE_FAULTS: Faults = Faults {
    kill_entry: 1,
    kill_agent: 1,
    suspend: 1,
    cut: 2,
    lost_call: 40,
    worker_crash: 1,
    disconnect: 4,
    retire: 1,
};

/// All faults at rates higher than [`RARE_FAULTS`].
pub const FREQUENT_FAULTS: Faults = Faults {
    kill_entry: 3,
    kill_agent: 3,
    suspend: 5,
    cut: 6,
    lost_call: 80,
    worker_crash: 2,
    disconnect: 20,
    retire: 20,
};

struct WorkerRun {
    needs: Resources,
    left: Duration,
    total: Duration,
}

/// A worker that follows the platform's rules: it ends its runs when the lease expires, blocks
/// attempts that were stopped or ended, and may execute a lost call late.
struct Worker {
    incarnation: u64,
    heartbeat: u64,
    /// Rate of its clock relative to real time.
    drift: f64,
    lease_until: u64,
    runs: IndexMap<RunId, WorkerRun>,
    ended: Vec<EndedRow>,
    end_count: u64,
    /// Highest attempt of each task that was stopped or ended; it and lower ones are not started.
    blocked: IndexMap<TaskId, u32>,
    /// Lost calls, with the time at which they are executed.
    late_calls: Vec<(Uptime, Call)>,
}

impl Worker {
    fn new(rng: &mut Rng, incarnation: u64) -> Self {
        Self {
            incarnation,
            heartbeat: 0,
            drift: 0.98 + 0.02 * rng.f64(),
            lease_until: 0,
            runs: IndexMap::new(),
            ended: Vec::new(),
            end_count: 0,
            blocked: IndexMap::new(),
            late_calls: Vec::new(),
        }
    }

    fn name(&self, a: usize) -> Name {
        format!("w{a}-{}", self.incarnation).into()
    }

    fn clock(&self, now: Uptime) -> u64 {
        (now.as_secs_f64() * 1000.0 * self.drift) as u64 + 5_000
    }

    fn end(&mut self, run: RunId, end: RunEnd) {
        self.runs.shift_remove(&run);
        self.end_count += 1;
        let number = self.end_count;
        self.ended.push(EndedRow { number, run, end });
        let highest = self.blocked.entry(run.task).or_default();
        *highest = (*highest).max(run.attempt);
    }

    fn step(&mut self, now: Uptime) {
        let completed: Vec<RunId> = self
            .runs
            .iter_mut()
            .filter_map(|(id, run)| {
                run.left = run.left.saturating_sub(STEP);
                run.left.is_zero().then_some(*id)
            })
            .collect();
        for run in completed {
            self.end(run, RunEnd::Done);
        }
        if self.clock(now) > self.lease_until {
            for run in self.runs.keys().copied().collect::<Vec<_>>() {
                self.end(run, RunEnd::Gone);
            }
        }
    }

    fn extend_lease(&mut self, now: Uptime, deadline: u64) {
        let limit = self.clock(now) + MAX_LEASE;
        self.lease_until = self.lease_until.max(deadline.min(limit));
    }

    fn execute(&mut self, now: Uptime, call: &Call, workloads: &Workloads) -> Reply {
        match call {
            Call::Start {
                run, deadline_ms, ..
            } => self.start(now, *run, *deadline_ms, workloads),
            Call::Stop { run } => {
                if self.runs.contains_key(run) {
                    self.end(*run, RunEnd::Gone);
                }
                let highest = self.blocked.entry(run.task).or_default();
                *highest = (*highest).max(run.attempt);
                Reply::Stopped
            }
            Call::List {
                last_end_number,
                deadline_ms,
                ..
            } => {
                if let Some(deadline) = deadline_ms {
                    self.extend_lease(now, *deadline);
                }
                self.ended.retain(|row| row.number > *last_end_number);
                self.lists()
            }
            Call::Identify { .. } => self.lists(),
        }
    }

    fn lists(&self) -> Reply {
        let percent = |run: &WorkerRun| {
            (100.0 * (1.0 - run.left.as_secs_f64() / run.total.as_secs_f64())) as u8
        };
        let running = self.runs.iter().map(|(id, run)| RunningRow {
            run: *id,
            percent: percent(run),
        });
        Reply::Lists {
            start_time_ms: Some(self.incarnation),
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }

    fn start(&mut self, now: Uptime, run: RunId, deadline: u64, workloads: &Workloads) -> Reply {
        if self.clock(now) > deadline {
            return Reply::Refused(StartRefusal::DeadlinePassed);
        }
        if self.runs.contains_key(&run) {
            return Reply::Started;
        }
        if self
            .blocked
            .get(&run.task)
            .is_some_and(|highest| run.attempt <= *highest)
        {
            return Reply::Refused(StartRefusal::OldAttempt);
        }
        self.extend_lease(now, deadline);
        let (needs, work) = workloads[&run.task.job];
        let used: u32 = self.runs.values().map(|run| run.needs.cpu_milli).sum();
        assert!(
            used + needs.cpu_milli <= CAPACITY,
            "the start of {run} exceeds the capacity of its worker"
        );
        let run_state = WorkerRun {
            needs,
            left: work,
            total: work,
        };
        self.runs.insert(run, run_state);
        Reply::Started
    }
}

/// Resources and run time of the tasks of each job.
type Workloads = IndexMap<JobId, (Resources, Duration)>;

struct Agent {
    driver: Driver,
    worker: Worker,
    suspended_until: Uptime,
    replies: VecDeque<(Uptime, u64, Reply, u64)>,
    next_heartbeat: Uptime,
}

struct Entry {
    node: NodeRef,
    scheduler: Scheduler,
    suspended_until: Uptime,
    disconnected: Vec<u64>,
}

/// The link between an entry and an agent or between two entries. Index 0 of the pairs is the
/// entry, or the entry with the lower number.
#[derive(Clone, Debug, Default)]
struct Link {
    up: bool,
    cut_until: [Uptime; 2],
    last_received: [Uptime; 2],
    pinged: [Uptime; 2],
    next_dial: Uptime,
    /// Messages in transit with their time of arrival, by sender.
    in_transit: [VecDeque<(Uptime, Payload)>; 2],
    /// Whether each side still has to be notified that the link is down.
    to_notify: [bool; 2],
}

#[derive(Clone, Debug)]
enum Payload {
    Ping,
    ToAgent(ToAgent),
    ToEntry(ToEntry),
    Peer(Peer),
}

enum CallerState {
    Waiting {
        entry: usize,
        caller: u64,
        until: Uptime,
    },
    Resend(Uptime),
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
    next_caller: u64,
    next_job: u64,
    next_incarnation: u64,
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
        };
        let agent = |i: usize, rng: &mut Rng| Agent {
            driver: Driver::new(now, Duration::from_millis(MAX_LEASE)),
            worker: Worker::new(rng, i as u64 + 1),
            suspended_until: now,
            replies: VecDeque::new(),
            next_heartbeat: now,
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
            next_caller: 1,
            next_job: 1,
            next_incarnation: 100,
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
        self.rng.u32(0..1000) < per_thousand
    }

    /// Advances the simulation by [`STEP`], then runs the checks.
    pub fn step(&mut self) {
        self.now += STEP;
        self.inject_faults();
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
        for e in 0..self.entries.len() {
            if self.now >= self.entries[e].suspended_until {
                let mut out = Vec::new();
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
        self.check();
    }

    /// Checks that no task runs twice at the same time.
    fn check(&self) {
        let mut running: IndexMap<TaskId, usize> = IndexMap::new();
        for (a, agent) in self.agents.iter().enumerate() {
            for run in agent.worker.runs.keys() {
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
            self.next_incarnation += 1;
            self.agents[a].worker = Worker::new(&mut self.rng, self.next_incarnation);
            self.agents[a].replies.clear();
            self.agents[a].next_heartbeat = self.now + Duration::from_millis(700);
        }
    }

    fn kill_entry(&mut self, e: usize) {
        self.trace(format!("entry {e} is killed"));
        self.next_incarnation += 1;
        self.entries[e].node.incarnation = self.next_incarnation;
        self.entries[e].scheduler = Scheduler::new(self.now, self.rng.fork());
        self.entries[e].disconnected.clear();
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
            if matches!(state, CallerState::Waiting { entry, .. } if *entry == e) {
                *state = CallerState::Resend(now + RESEND_AFTER);
                self.resent += 1;
            }
        }
    }

    fn kill_agent(&mut self, a: usize) {
        self.trace(format!("agent {a} is killed"));
        self.agents[a].driver = Driver::new(self.now, Duration::from_millis(MAX_LEASE));
        self.agents[a].replies.clear();
        self.agents[a].suspended_until = self.now + Duration::from_millis(200);
        for e in 0..self.entries.len() {
            self.reset(e, a, 0);
        }
    }

    /// Resets a link; only the surviving side (0: the entry, 1: the agent) is notified.
    fn reset(&mut self, e: usize, a: usize, survivor: usize) {
        Self::reset_link(&mut self.links[e][a], self.now, survivor);
    }

    fn reset_link(link: &mut Link, now: Uptime, survivor: usize) {
        if link.up {
            link.up = false;
            link.to_notify = [false; 2];
            link.to_notify[survivor] = true;
            link.in_transit = [VecDeque::new(), VecDeque::new()];
        }
        link.next_dial = now + Duration::from_millis(100);
    }

    fn step_worker(&mut self, a: usize) {
        let now = self.now;
        let agent = &mut self.agents[a];
        let due: Vec<Call> = agent
            .worker
            .late_calls
            .iter()
            .filter(|(at, _)| now >= *at)
            .map(|(_, call)| call.clone())
            .collect();
        agent.worker.late_calls.retain(|(at, _)| now < *at);
        for call in due {
            agent.worker.execute(now, &call, &self.workloads);
        }
        agent.worker.step(now);
    }

    fn step_agent(&mut self, a: usize) {
        let now = self.now;
        let mut out = Vec::new();
        self.agents[a].driver.tick(now, &mut out);
        self.apply_agent(a, out);
        if now >= self.agents[a].next_heartbeat {
            self.send_heartbeat(a);
        }
        while self.agents[a]
            .replies
            .front()
            .is_some_and(|(at, ..)| now >= *at)
        {
            let Some((_, id, reply, clock)) = self.agents[a].replies.pop_front() else {
                break;
            };
            let mut out = Vec::new();
            self.agents[a]
                .driver
                .on_reply(now, id, reply, Some(clock), &mut out);
            self.apply_agent(a, out);
        }
    }

    fn send_heartbeat(&mut self, a: usize) {
        let now = self.now;
        let agent = &mut self.agents[a];
        agent.next_heartbeat = now + Duration::from_millis(500);
        agent.worker.heartbeat += 1;
        let heartbeat = Heartbeat {
            id: agent.worker.name(a),
            start_time_ms: agent.worker.incarnation,
            number: agent.worker.heartbeat,
            pool: "p".into(),
            state: HeartbeatState::Ready,
            capacity: Resources {
                cpu_milli: CAPACITY,
                memory_mb: 1000,
                accelerators: 0,
            },
            labels: vec!["r1".into()],
            clock_ms: Some(agent.worker.clock(now)),
        };
        let mut out = Vec::new();
        agent.driver.on_heartbeat(now, heartbeat, &mut out);
        self.apply_agent(a, out);
    }

    fn apply_agent(&mut self, a: usize, out: Vec<driver::Action>) {
        for action in out {
            match action {
                driver::Action::Send(entry, msg) => {
                    let e = Self::index(&entry);
                    self.send(e, a, 1, Payload::ToEntry(msg));
                }
                driver::Action::Call(id, call) => self.call(a, id, call),
                driver::Action::DropLink(entry) => {
                    let e = Self::index(&entry);
                    self.reset(e, a, 0);
                }
                driver::Action::DropCall(id) => {
                    self.agents[a].replies.retain(|(_, other, ..)| *other != id);
                }
                driver::Action::Note(note) => self.trace(format!("agent {a}: {note:?}")),
            }
        }
    }

    /// Executes a call at once, or leaves it unanswered and executes it up to 6 s later.
    fn call(&mut self, a: usize, id: u64, call: Call) {
        let now = self.now;
        if let Call::Start { run, .. } | Call::Stop { run } = &call {
            let what = if matches!(call, Call::Start { .. }) {
                "start"
            } else {
                "stop"
            };
            self.trace(format!("agent {a} sends {what} of {run}"));
        }
        let answer = now + Duration::from_millis(self.rng.u64(0..self.answer_ms));
        // A call states the incarnation that it is sent to; another one does not execute it.
        let target = match &call {
            Call::Identify { worker } => Some(worker.clone()),
            _ => self.agents[a].driver.worker_id().cloned(),
        };
        let other_incarnation = target.is_some_and(|id| *id != *self.agents[a].worker.name(a));
        if !other_incarnation && self.chance(self.faults.lost_call) {
            // Around the deadline of the start, or long after it.
            let longest = if self.rng.bool() { 100 } else { 6000 };
            let late = now + Duration::from_millis(self.rng.u64(0..longest));
            self.agents[a].worker.late_calls.push((late, call));
            return;
        }
        let agent = &mut self.agents[a];
        let reply = if other_incarnation {
            Reply::OtherWorker
        } else {
            agent.worker.execute(now, &call, &self.workloads)
        };
        let clock = agent.worker.clock(now);
        let at = agent
            .replies
            .partition_point(|(other, ..)| *other <= answer);
        agent.replies.insert(at, (answer, id, reply, clock));
    }

    fn index(name: &Name) -> usize {
        name[1..]
            .parse()
            .expect("a node's name is a letter and a number")
    }

    fn send(&mut self, e: usize, a: usize, side: usize, payload: Payload) {
        let delay = Duration::from_millis(self.rng.u64(1..4));
        let link = &mut self.links[e][a];
        if link.up {
            let at = link.in_transit[side].back().map_or(self.now, |(at, _)| *at);
            link.in_transit[side].push_back(((self.now + delay).max(at), payload));
        }
    }

    fn step_links(&mut self) {
        for e in 0..self.entries.len() {
            for a in 0..self.agents.len() {
                self.step_link(e, a);
            }
            for other in e + 1..self.entries.len() {
                self.step_peer_link(e, other);
            }
        }
    }

    fn running(&self, e: usize, a: usize) -> [bool; 2] {
        [
            self.now >= self.entries[e].suspended_until,
            self.now >= self.agents[a].suspended_until,
        ]
    }

    fn step_link(&mut self, e: usize, a: usize) {
        let now = self.now;
        let running = self.running(e, a);
        let mut link = std::mem::take(&mut self.links[e][a]);
        let name: Name = self.entries[e].node.name.clone();
        let agent_name: Name = format!("a{a}").into();
        Self::close_if_silent(&mut link, now, running);
        if link.to_notify[0] && running[0] {
            link.to_notify[0] = false;
            self.entries[e].scheduler.agent_down(now, &agent_name);
        }
        if link.to_notify[1] && running[1] {
            link.to_notify[1] = false;
            self.agents[a].driver.entry_down(&name);
        }
        let cut = link.cut_until.iter().any(|until| now < *until);
        let notified = !link.to_notify[0] && !link.to_notify[1];
        if !link.up && notified && !cut && running == [true, true] && now >= link.next_dial {
            link.up = true;
            link.last_received = [now; 2];
            link.in_transit = [VecDeque::new(), VecDeque::new()];
            self.links[e][a] = link;
            let mut out = Vec::new();
            self.entries[e].scheduler.observe(now, &mut out);
            self.apply_entry(e, out);
            let mut out = Vec::new();
            let node = self.entries[e].node.clone();
            self.agents[a].driver.tick(now, &mut out);
            self.agents[a].driver.entry_up(now, node, &mut out);
            self.apply_agent(a, out);
            let mut out = Vec::new();
            self.entries[e]
                .scheduler
                .agent_up(now, &agent_name, &mut out);
            self.apply_entry(e, out);
            return;
        }
        let arrived = Self::deliver(&mut link, now, running);
        self.links[e][a] = link;
        for (side, payload) in arrived {
            self.receive(e, a, side, payload);
        }
    }

    fn close_if_silent(link: &mut Link, now: Uptime, running: [bool; 2]) {
        for (side, running) in running.into_iter().enumerate() {
            if link.up && running && now >= link.last_received[side] + SILENCE_TIMEOUT {
                link.up = false;
                link.to_notify = [true; 2];
                link.in_transit = [VecDeque::new(), VecDeque::new()];
                link.next_dial = now + Duration::from_millis(100);
            }
        }
    }

    /// Returns the messages that arrive now at sides that are not suspended, with the receiving
    /// side.
    fn deliver(link: &mut Link, now: Uptime, running: [bool; 2]) -> Vec<(usize, Payload)> {
        let mut arrived = Vec::new();
        for sender in 0..2 {
            let receiver = 1 - sender;
            if link.up && running[sender] && now >= link.pinged[sender] + PING_EVERY {
                link.pinged[sender] = now;
                link.in_transit[sender].push_back((now, Payload::Ping));
            }
            // During a cut, messages are delayed; they arrive afterwards if the link is still up.
            if !running[receiver] || now < link.cut_until[sender] {
                continue;
            }
            while link.in_transit[sender]
                .front()
                .is_some_and(|(at, _)| now >= *at)
            {
                if let Some((_, payload)) = link.in_transit[sender].pop_front() {
                    link.last_received[receiver] = now;
                    arrived.push((receiver, payload));
                }
            }
        }
        arrived
    }

    fn receive(&mut self, e: usize, a: usize, side: usize, payload: Payload) {
        let now = self.now;
        match payload {
            Payload::ToAgent(msg) => {
                let mut out = Vec::new();
                let name = self.entries[e].node.name.clone();
                self.agents[a].driver.tick(now, &mut out);
                self.agents[a].driver.on_entry(now, &name, msg, &mut out);
                self.apply_agent(a, out);
            }
            Payload::Ping if side == 1 => {
                let name = self.entries[e].node.name.clone();
                let mut out = Vec::new();
                self.agents[a].driver.tick(now, &mut out);
                self.agents[a].driver.on_entry_activity(now, &name);
                self.apply_agent(a, out);
            }
            Payload::ToEntry(msg) => {
                let mut out = Vec::new();
                self.entries[e].scheduler.observe(now, &mut out);
                let name: Name = format!("a{a}").into();
                self.entries[e]
                    .scheduler
                    .on_agent(now, &name, msg, &mut out);
                self.entries[e].scheduler.place_waiting(now, &mut out);
                self.apply_entry(e, out);
            }
            Payload::Ping | Payload::Peer(_) => {}
        }
    }

    fn step_peer_link(&mut self, low: usize, high: usize) {
        let now = self.now;
        let running = [
            now >= self.entries[low].suspended_until,
            now >= self.entries[high].suspended_until,
        ];
        let sides = [low, high];
        let mut up = Vec::new();
        let mut link = std::mem::take(&mut self.peers[low][high]);
        Self::close_if_silent(&mut link, now, running);
        for side in 0..2 {
            if link.to_notify[side] && running[side] {
                link.to_notify[side] = false;
                let other = self.entries[sides[1 - side]].node.name.clone();
                self.entries[sides[side]].scheduler.peer_down(now, &other);
            }
        }
        let cut = link.cut_until.iter().any(|until| now < *until);
        let notified = !link.to_notify[0] && !link.to_notify[1];
        if !link.up && notified && !cut && running == [true, true] && now >= link.next_dial {
            link.up = true;
            link.last_received = [now; 2];
            link.in_transit = [VecDeque::new(), VecDeque::new()];
            for side in 0..2 {
                let other = self.entries[sides[1 - side]].node.name.clone();
                let mut out = Vec::new();
                self.entries[sides[side]]
                    .scheduler
                    .peer_up(&other, &mut out);
                up.push((sides[side], out));
            }
        }
        let arrived = Self::deliver(&mut link, now, running);
        self.peers[low][high] = link;
        for (e, out) in up {
            self.apply_entry(e, out);
        }
        for (side, payload) in arrived {
            if let Payload::Peer(msg) = payload {
                let other = self.entries[sides[1 - side]].node.name.clone();
                let mut out = Vec::new();
                self.entries[sides[side]].scheduler.observe(now, &mut out);
                self.entries[sides[side]]
                    .scheduler
                    .on_peer(now, &other, msg, &mut out);
                self.apply_entry(sides[side], out);
            }
        }
    }

    fn send_peer(&mut self, from: usize, to: usize, msg: Peer) {
        let (low, high) = (from.min(to), from.max(to));
        let side = usize::from(from == high);
        let link = &mut self.peers[low][high];
        if link.up {
            link.in_transit[side].push_back((self.now, Payload::Peer(msg)));
        }
    }

    fn apply_entry(&mut self, e: usize, out: Vec<scheduler::Action>) {
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
                scheduler::Action::DropLinks => {
                    for a in 0..self.agents.len() {
                        let link = &mut self.links[e][a];
                        if link.up {
                            link.up = false;
                            link.to_notify = [true; 2];
                            link.in_transit = [VecDeque::new(), VecDeque::new()];
                            link.next_dial = self.now + Duration::from_millis(100);
                        }
                    }
                }
                scheduler::Action::Note(_) => {}
            }
        }
    }

    fn on_answer(&mut self, caller: u64, answer: &Answer) {
        self.trace(format!("caller {caller} is answered {answer:?}"));
        let waits = |state: &CallerState| matches!(state, CallerState::Waiting { caller: other, .. } if *other == caller);
        let found = self.callers.iter().find(|(_, state)| waits(state));
        let Some(job) = found.map(|(job, _)| *job) else {
            return;
        };
        match answer {
            Answer::Completed | Answer::Failed(_) => {
                self.completed += usize::from(*answer == Answer::Completed);
                self.callers.swap_remove(&job);
            }
            Answer::NotRun { .. } => {
                self.refused += 1;
                self.callers.swap_remove(&job);
                let runs = self
                    .agents
                    .iter()
                    .flat_map(|agent| agent.worker.runs.keys());
                let runs: Vec<_> = runs.filter(|run| run.task.job == job).collect();
                assert!(
                    runs.is_empty() || self.resent > 0,
                    "{job} was answered as not run, but these runs exist: {runs:?}"
                );
            }
            Answer::OutcomeUnknown(_) => {
                self.resent += 1;
                let resend = CallerState::Resend(self.now + RESEND_AFTER);
                self.callers.insert(job, resend);
            }
        }
    }

    fn step_callers(&mut self) {
        if self.callers.len() < 12 && self.chance(300) {
            self.new_job();
        }
        let now = self.now;
        let due: Vec<JobId> = self
            .callers
            .iter()
            .filter(|(_, state)| matches!(state, CallerState::Resend(at) if now >= *at))
            .map(|(job, _)| *job)
            .collect();
        for job in due {
            self.submit(job);
        }
        let still_waits = |state: &CallerState| match state {
            CallerState::Waiting { until, .. } => now < *until,
            CallerState::Resend(_) => true,
        };
        let timed_out: Vec<JobId> = self
            .callers
            .iter()
            .filter(|(_, state)| !still_waits(state))
            .map(|(job, _)| *job)
            .collect();
        for job in timed_out {
            self.disconnect(job, false);
        }
        if self.chance(self.faults.disconnect) && !self.callers.is_empty() {
            let at = self.rng.usize(0..self.callers.len());
            let job = self.callers.get_index(at).map(|(job, _)| *job);
            if let Some(job) = job {
                self.disconnect(job, true);
            }
        }
    }

    /// Closes a caller's connection. With `resend` the caller submits the job again later.
    fn disconnect(&mut self, job: JobId, resend: bool) {
        let state = self.callers.swap_remove(&job);
        if let Some(CallerState::Waiting { entry, caller, .. }) = state {
            // A suspended entry notices the closed connection only when it continues.
            self.entries[entry].disconnected.push(caller);
            if resend {
                self.resent += 1;
                let state = CallerState::Resend(self.now + RESEND_AFTER);
                self.callers.insert(job, state);
            }
        }
    }

    fn new_job(&mut self) {
        let id = JobId(self.next_job);
        self.next_job += 1;
        let needs = Resources {
            cpu_milli: self.rng.u32(800..2600),
            memory_mb: 10,
            accelerators: 0,
        };
        // Some tasks run longer than the time after which a caller sends its job again.
        let max_ms = if self.chance(200) { 4000 } else { 900 };
        let work = Duration::from_millis(self.rng.u64(30..max_ms));
        self.workloads.insert(id, (needs, work));
        let step = Step {
            count: self.rng.u16(1..6),
            needs,
            estimate: work.mul_f64(0.6 + 0.8 * self.rng.f64()),
            ..Step::default()
        };
        let job = Job {
            id,
            request: "r".into(),
            payload: "x".into(),
            steps: vec![step],
        };
        self.jobs.insert(id, job);
        self.submit(id);
    }

    fn submit(&mut self, id: JobId) {
        let e = self.rng.usize(0..self.entries.len());
        self.trace(format!("job {id} is submitted to entry {e}"));
        let caller = self.next_caller;
        self.next_caller += 1;
        let until = self.now + Duration::from_secs(5);
        if self.now < self.entries[e].suspended_until {
            // The connection is not accepted; the caller tries again later.
            self.callers
                .insert(id, CallerState::Resend(self.now + RESEND_AFTER));
            return;
        }
        let waiting = CallerState::Waiting {
            entry: e,
            caller,
            until,
        };
        self.callers.insert(id, waiting);
        let mut out = Vec::new();
        let spec = self.jobs[&id].clone();
        let deadline = Duration::from_secs(5);
        let queue = self.queue.clone();
        self.entries[e].scheduler.observe(self.now, &mut out);
        self.entries[e]
            .scheduler
            .submit(self.now, spec, queue, caller, deadline, &mut out);
        self.apply_entry(e, out);
    }
}
