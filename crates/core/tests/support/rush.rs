//! Entries and agents joined by links with a delay, under a load that the test chooses.

#[path = "rush/counts.rs"]
mod counts;
#[path = "rush/worker.rs"]
mod worker;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use indexmap::IndexMap;
use rw_core::ids::{Name, NodeRef};
use rw_core::members::{Member, MemberState};
use rw_core::msg::Role;
use rw_core::pool::catalog::Queue;
use rw_core::pool::driver::{self, Driver, Reply};
use rw_core::pool::job::{Job, JobId, Resources, Step};
use rw_core::pool::msg::{NotStarted, ToAgent, ToEntry, WorkerInfo};
use rw_core::pool::reach::Reach;
use rw_core::pool::scheduler::{self, Answer, Scheduler};
use rw_core::pool::subset::{Entries, LinkCount};
use rw_core::pool::{PING_EVERY, Uptime};

pub use counts::Counts;
use worker::Worker;

pub const MS: Duration = Duration::from_millis(1);
/// One way between two machines.
const DELAY: Duration = Duration::from_millis(2);
/// Capacity of each worker in thousandths of a core.
const CPU: u32 = 32_000;

/// A kind of job: tasks, CPU of each, run time, and jobs a second at each entry.
pub type Kind = (u16, u32, Duration, f64);

enum Event {
    ToAgent(usize, usize, ToAgent),
    ToEntry(usize, usize, ToEntry),
    Reply(usize, u64, Reply),
}

struct Agent {
    driver: Driver,
    worker: Worker,
    next_tick: Uptime,
}

struct Entry {
    scheduler: Scheduler,
    reach: Reach,
}

pub struct Rush {
    pub now: Uptime,
    rng: Rng,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    /// By entry, then agent: from when on the link is up.
    links: Vec<Vec<Option<Uptime>>>,
    events: BTreeMap<(Uptime, u64), Event>,
    sent: u64,
    arrivals: IndexMap<JobId, Uptime>,
    work: IndexMap<JobId, Duration>,
    domains: usize,
    /// Processes that neither act nor are heard: entries and agents.
    pub frozen: (Vec<usize>, Vec<usize>),
    /// Share of the reports of room that are lost, and of those that arrive late.
    pub disturbed_reports: f64,
    pub counts: Counts,
    next_job: u64,
}

fn member(role: Role, name: &Name, domain: usize, info: Option<WorkerInfo>) -> Member {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        node: NodeRef {
            name: name.clone(),
            incarnation: 1,
        },
        version: 1,
        role,
        domain: format!("d{domain}").into(),
        gossip: addr,
        link: addr,
        http: addr,
        state: MemberState::Alive,
        leaving: false,
        ready_for: 0,
        offers: info,
    }
}

fn index(name: &Name) -> usize {
    name[1..].parse().expect("a letter and a number")
}

fn queue(aim: Duration) -> Arc<Queue> {
    Arc::new(Queue {
        name: format!("q{}", aim.as_millis()).into(),
        host: "h".into(),
        prefix: "/".into(),
        pool: "p".into(),
        timeout: Duration::from_secs(2),
        aim,
        slack: 1.6,
        priority: 0,
        max_failures: 3,
        advised: false,
    })
}

impl Rush {
    pub fn new(seed: u64, entries: usize, agents: usize, domains: usize) -> Self {
        let now = Duration::from_secs(100);
        let mut rng = Rng::with_seed(seed);
        let info = WorkerInfo {
            pool: Some("p".into()),
            capacity: Resources {
                cpu_milli: CPU,
                memory_mb: 10_000,
                accelerators: 0,
            },
            labels: Vec::new(),
        };
        let entry = |e: usize| member(Role::Entry, &format!("e{e}").into(), e % domains, None);
        let agent = |a: usize| {
            member(
                Role::Agent,
                &format!("a{a}").into(),
                a % domains,
                Some(info.clone()),
            )
        };
        let members: Vec<Member> = (0..entries)
            .map(entry)
            .chain((0..agents).map(agent))
            .collect();
        let all = Entries::of(&members);
        let links = LinkCount::default().update(&all);
        let mut rush = Self {
            now,
            entries: (0..entries)
                .map(|e| {
                    let mut reach = Reach::new(format!("e{e}").into());
                    reach.set_members(&members);
                    Entry {
                        scheduler: Scheduler::new(now, rng.fork()),
                        reach,
                    }
                })
                .collect(),
            agents: (0..agents)
                .map(|_| Agent {
                    driver: Driver::new(now, Duration::from_secs(1)),
                    worker: Worker::default(),
                    next_tick: now,
                })
                .collect(),
            links: vec![vec![None; agents]; entries],
            events: BTreeMap::new(),
            sent: 0,
            arrivals: IndexMap::new(),
            work: IndexMap::new(),
            domains,
            frozen: (Vec::new(), Vec::new()),
            disturbed_reports: 0.0,
            counts: Counts::default(),
            next_job: 1,
            rng,
        };
        for a in 0..agents {
            rush.heartbeat(a);
            for name in all.for_agent(
                &format!("a{a}").into(),
                &format!("d{}", a % domains).into(),
                links,
            ) {
                rush.links[index(&name)][a] = Some(now);
            }
        }
        rush.open_links();
        rush
    }

    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// Agents of one failure domain.
    pub fn agents_in(&self, domain: usize) -> Vec<usize> {
        (0..self.agents.len())
            .filter(|a| a % self.domains == domain)
            .collect()
    }

    /// Plays some time with these kinds of jobs at each entry, at rates times a factor for the entry.
    pub fn play<F>(&mut self, time: Duration, kinds: &[Kind], factor: F)
    where
        F: Fn(usize) -> f64,
    {
        let until = self.now + time;
        while self.now < until {
            self.now += MS;
            for e in 0..self.entries.len() {
                for (tasks, cpu, work, rate) in kinds {
                    let mut expected = rate * factor(e) / 1000.0;
                    while expected > 0.0 {
                        if self.rng.f64() < expected {
                            self.submit(e, *tasks, *cpu, *work);
                        }
                        expected -= 1.0;
                    }
                }
            }
            self.step();
        }
    }

    /// Submits a job to an entry.
    pub fn submit(&mut self, e: usize, tasks: u16, cpu: u32, work: Duration) {
        let id = JobId(self.next_job);
        self.next_job += 1;
        if self.frozen.0.contains(&e) {
            return;
        }
        let needs = Resources {
            cpu_milli: cpu,
            memory_mb: 10,
            accelerators: 0,
        };
        let step = Step {
            count: tasks,
            needs,
            estimate: work,
            ..Step::default()
        };
        let job = Job {
            id,
            request: "r".into(),
            payload: "x".into(),
            steps: vec![step],
        };
        self.work
            .insert(id, work.mul_f64(0.7 + 0.6 * self.rng.f64()));
        self.arrivals.insert(id, self.now);
        let mut out = Vec::new();
        let scheduler = &mut self.entries[e].scheduler;
        scheduler.submit(
            self.now,
            job,
            queue(60 * MS),
            id.0,
            Duration::from_millis(1500),
            &mut out,
        );
        self.apply_entry(e, out);
    }

    fn step(&mut self) {
        self.open_links();
        for a in 0..self.agents.len() {
            if (self.now.as_millis() + a as u128).is_multiple_of(500) {
                self.heartbeat(a);
            }
            self.step_worker(a);
        }
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let event = entry.remove();
            self.deliver(event);
        }
        for a in 0..self.agents.len() {
            if self.now >= self.agents[a].next_tick && !self.frozen.1.contains(&a) {
                let mut out = Vec::new();
                self.agents[a].driver.tick(self.now, &mut out);
                self.apply_agent(a, out);
            }
        }
        for e in 0..self.entries.len() {
            if self.frozen.0.contains(&e) {
                continue;
            }
            let mut out = Vec::new();
            self.entries[e].scheduler.observe(self.now, &mut out);
            if (self.now.as_millis() + e as u128).is_multiple_of(20) {
                self.entries[e].scheduler.tick(self.now, &mut out);
                self.update_reach(e);
            }
            self.apply_entry(e, out);
        }
        if self.now.as_millis().is_multiple_of(PING_EVERY.as_millis()) {
            self.ping();
        }
    }

    fn update_reach(&mut self, e: usize) {
        let entry = &mut self.entries[e];
        let shortage = entry.scheduler.shortage();
        let fleet = entry.scheduler.fleet();
        let closing = entry
            .reach
            .tick(self.now, shortage.as_ref(), fleet, &mut self.rng);
        let Some(closing) = closing else { return };
        for name in closing {
            self.links[e][index(&name)] = None;
            self.entries[e].scheduler.agent_down(self.now, &name);
            self.agents[index(&name)]
                .driver
                .entry_down(&format!("e{e}").into());
        }
        let targets: Vec<usize> = self.entries[e]
            .reach
            .targets()
            .map(|(name, _)| index(name))
            .collect();
        for a in targets {
            self.links[e][a].get_or_insert(self.now + 2 * DELAY);
        }
    }

    /// Sends what keeps links up, unless a process is frozen.
    fn ping(&mut self) {
        for e in 0..self.entries.len() {
            for a in 0..self.agents.len() {
                let silent = self.frozen.0.contains(&e) || self.frozen.1.contains(&a);
                if self.links[e][a].is_some() && !silent {
                    let name = format!("e{e}").into();
                    self.agents[a].driver.on_entry_activity(self.now, &name);
                }
            }
        }
    }

    /// Brings the links up that are due.
    fn open_links(&mut self) {
        for e in 0..self.entries.len() {
            for a in 0..self.agents.len() {
                if self.links[e][a] == Some(self.now) {
                    self.link_up(e, a);
                }
            }
        }
    }

    fn link_up(&mut self, e: usize, a: usize) {
        let mut out = Vec::new();
        let node = NodeRef {
            name: format!("e{e}").into(),
            incarnation: 1,
        };
        self.agents[a].driver.entry_up(self.now, node, &mut out);
        self.apply_agent(a, out);
        let mut out = Vec::new();
        self.entries[e]
            .scheduler
            .agent_up(self.now, &format!("a{a}").into(), &mut out);
        self.apply_entry(e, out);
    }

    /// Ends the links of an agent, as its entries notice it.
    pub fn cut_agent(&mut self, a: usize) {
        self.frozen.1.push(a);
        for e in 0..self.entries.len() {
            if self.links[e][a].take().is_some() {
                self.entries[e]
                    .scheduler
                    .agent_down(self.now, &format!("a{a}").into());
            }
        }
    }

    fn send(&mut self, delay: Duration, event: Event) {
        self.sent += 1;
        self.events.insert((self.now + delay, self.sent), event);
    }

    fn deliver(&mut self, event: Event) {
        let mut out = Vec::new();
        match event {
            Event::ToAgent(e, a, msg) if self.links[e][a].is_some() => {
                if self.frozen.1.contains(&a) {
                    return;
                }
                let name = format!("e{e}").into();
                self.agents[a]
                    .driver
                    .on_entry(self.now, &name, msg, &mut out);
                self.apply_agent(a, out);
            }
            Event::ToEntry(e, a, msg) if self.links[e][a].is_some() => {
                if self.frozen.0.contains(&e) {
                    return;
                }
                let mut out = Vec::new();
                let scheduler = &mut self.entries[e].scheduler;
                scheduler.on_agent(self.now, &format!("a{a}").into(), msg, &mut out);
                scheduler.place_waiting(self.now, &mut out);
                self.apply_entry(e, out);
            }
            Event::Reply(a, id, reply) => {
                let clock = Some(self.now.as_millis() as u64);
                self.agents[a]
                    .driver
                    .on_reply(self.now, id, reply, clock, &mut out);
                self.apply_agent(a, out);
            }
            Event::ToAgent(..) | Event::ToEntry(..) => {}
        }
    }

    fn apply_entry(&mut self, e: usize, out: Vec<scheduler::Action>) {
        for action in out {
            match action {
                scheduler::Action::Send(agent, msg) => {
                    let start = matches!(msg, ToAgent::Start(_));
                    self.counts.starts += usize::from(start);
                    self.send(DELAY, Event::ToAgent(e, index(&agent), msg));
                }
                scheduler::Action::Answer(job, answer) => self.on_answer(JobId(job), &answer),
                _ => {}
            }
        }
    }

    fn on_answer(&mut self, job: JobId, answer: &Answer) {
        let took = self.now.saturating_sub(self.arrivals[&job]);
        let aim = self.work[&job].mul_f64(2.0) + 60 * MS;
        self.counts.completed += usize::from(*answer == Answer::Completed);
        self.counts.in_aim += usize::from(*answer == Answer::Completed && took <= aim);
        self.counts.not_run += usize::from(matches!(answer, Answer::NotRun { .. }));
    }

    fn apply_agent(&mut self, a: usize, out: Vec<driver::Action>) {
        let mut queue: VecDeque<driver::Action> = out.into();
        while let Some(action) = queue.pop_front() {
            match action {
                driver::Action::Send(entry, msg) => {
                    let report = matches!(msg, ToEntry::Capacity(_));
                    let mut delay = DELAY;
                    if report && self.rng.f64() < self.disturbed_reports {
                        continue;
                    }
                    if report && self.rng.f64() < self.disturbed_reports {
                        delay += Duration::from_millis(self.rng.u64(1..20));
                    }
                    self.send(delay, Event::ToEntry(index(&entry), a, msg));
                }
                driver::Action::Call(id, call) => self.call(a, id, &call),
                driver::Action::DropLink(entry) => {
                    let e = index(&entry);
                    if self.links[e][a].take().is_some() {
                        self.entries[e]
                            .scheduler
                            .agent_down(self.now, &format!("a{a}").into());
                    }
                }
                driver::Action::Note(driver::Note::Starting { run, .. }) => {
                    let waited = self.now.saturating_sub(self.arrivals[&run.task.job]);
                    self.counts.begun += 1;
                    self.counts.until_start += waited;
                }
                driver::Action::Note(driver::Note::Refused {
                    reason: NotStarted::NoRoom,
                    ..
                }) => {
                    self.counts.no_room += 1;
                }
                _ => {}
            }
        }
        self.agents[a].next_tick = self.now + self.agents[a].driver.next_tick(self.now);
    }
}
