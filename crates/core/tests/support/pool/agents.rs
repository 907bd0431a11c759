//! The agents, and the messages between each of them and its worker.

use std::collections::VecDeque;

use rw_core::ids::Name;
use rw_core::pool::Uptime;
use rw_core::pool::driver::{self, Call, Driver, Heartbeat, Reply};

use super::links::Payload;
use super::worker::{MAX_LEASE, Worker};
use super::{Duration, Held, Simulation};

/// Interval between heartbeats of a worker.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The answer to a call, on its way to the agent.
pub struct ReplyInTransit {
    arrives: Uptime,
    call: u64,
    reply: Reply,
    clock_ms: Option<u64>,
}

pub struct Agent {
    pub driver: Driver,
    pub worker: Worker,
    pub suspended_until: Uptime,
    pub replies: VecDeque<ReplyInTransit>,
    pub next_heartbeat: Uptime,
    /// Heartbeats in transit that arrive late.
    pub late_heartbeats: Vec<(Uptime, Heartbeat)>,
    pub held: Held<driver::Action>,
}

impl Simulation {
    pub(super) fn kill_agent(&mut self, a: usize) {
        self.trace(format!("agent {a} is killed"));
        self.agents[a].driver = Driver::new(self.now, Duration::from_millis(MAX_LEASE));
        self.agents[a].replies.clear();
        self.agents[a].held = Held::new(self.now);
        self.agents[a].suspended_until = self.now + Duration::from_millis(200);
        for e in 0..self.entries.len() {
            self.reset(e, a, 0);
        }
    }

    /// Lets a worker crash and start again under its id, as a new life.
    pub(super) fn restart_worker(&mut self, a: usize) {
        let downtime = Duration::from_millis(self.rng.u64(0..600));
        self.trace(format!("worker {a} restarts under its id in {downtime:?}"));
        self.next_incarnation += 1;
        let up = self.now + downtime;
        let first_heartbeat = up + Duration::from_millis(self.rng.u64(0..700));
        let agent = &mut self.agents[a];
        agent.worker.restart(self.now, self.next_incarnation, up);
        agent.replies.clear();
        agent.next_heartbeat = first_heartbeat;
    }

    /// Sends a heartbeat with this id and a start time later than those of all workers.
    pub(super) fn other_heartbeat(&mut self, a: usize, id: Name) {
        if self.now < self.agents[a].suspended_until {
            return;
        }
        self.trace(format!("agent {a} gets a heartbeat of another {id}"));
        self.next_incarnation += 1;
        let now = self.now;
        let clock_ms = Some(self.rng.u64(0..1_000_000));
        let heartbeat = Heartbeat {
            id,
            start_time_ms: self.next_incarnation,
            number: 1,
            clock_ms,
            ..self.agents[a].worker.heartbeat(now)
        };
        self.deliver_heartbeat(a, heartbeat);
    }

    /// Tells an agent that its worker shuts down, while it goes on.
    pub(super) fn leave(&mut self, a: usize) {
        let now = self.now;
        if now < self.agents[a].suspended_until {
            return;
        }
        self.trace(format!("agent {a} is told that its worker shuts down"));
        let mut out = Vec::new();
        let agent = &mut self.agents[a];
        agent.driver.on_leave(now, &agent.worker.id, &mut out);
        self.apply_agent(a, out);
    }

    /// Cuts an agent's worker off: bit 0 of `directions` for calls, bit 1 for answers.
    pub(super) fn cut_worker(&mut self, a: usize, directions: usize) {
        let pause = Duration::from_millis(self.rng.u64(100..4000));
        self.trace(format!(
            "worker {a} is cut off, directions {directions}, for {pause:?}"
        ));
        for side in (0..2).filter(|side| directions & (1 << side) != 0) {
            self.agents[a].worker.cut_until[side] = self.now + pause;
        }
    }

    pub(super) fn step_worker(&mut self, a: usize) {
        let now = self.now;
        let strays = self.agents[a].worker.step(now, &self.workloads);
        for (run, reply) in strays {
            self.trace(format!(
                "worker {a} executes the start of {run} to an earlier life: {reply:?}"
            ));
        }
    }

    pub(super) fn step_agent(&mut self, a: usize) {
        let now = self.now;
        let mut out = Vec::new();
        self.agents[a].driver.tick(now, &mut out);
        self.apply_agent(a, out);
        if now >= self.agents[a].next_heartbeat {
            self.send_heartbeat(a);
        }
        let late = std::mem::take(&mut self.agents[a].late_heartbeats);
        let (due, late) = late.into_iter().partition(|(at, _)| now >= *at);
        self.agents[a].late_heartbeats = late;
        for (_, heartbeat) in due {
            self.deliver_heartbeat(a, heartbeat);
        }
        let reorder = self.chance(self.faults.reorder);
        loop {
            let replies = &self.agents[a].replies;
            let due = replies.partition_point(|reply| now >= reply.arrives);
            if due == 0 {
                break;
            }
            let next = if reorder { self.rng.usize(0..due) } else { 0 };
            let Some(reply) = self.agents[a].replies.remove(next) else {
                break;
            };
            let mut out = Vec::new();
            let driver = &mut self.agents[a].driver;
            driver.on_reply(now, reply.call, reply.reply, reply.clock_ms, &mut out);
            self.apply_agent(a, out);
        }
    }

    fn send_heartbeat(&mut self, a: usize) {
        let now = self.now;
        let agent = &mut self.agents[a];
        agent.next_heartbeat = now + HEARTBEAT_INTERVAL;
        let heartbeat = agent.worker.heartbeat(now);
        if now < agent.worker.cut_until[1] {
            return;
        }
        if self.chance(self.faults.late_heartbeat) {
            let late = now + Duration::from_millis(self.rng.u64(0..6000));
            self.agents[a].late_heartbeats.push((late, heartbeat));
            return;
        }
        self.deliver_heartbeat(a, heartbeat);
    }

    fn deliver_heartbeat(&mut self, a: usize, heartbeat: Heartbeat) {
        let mut out = Vec::new();
        let driver = &mut self.agents[a].driver;
        driver.on_heartbeat(self.now, heartbeat, &mut out);
        self.apply_agent(a, out);
    }

    pub(super) fn apply_agent(&mut self, a: usize, out: Vec<driver::Action>) {
        if self.now < self.agents[a].held.until {
            self.agents[a].held.actions.extend(out);
            return;
        }
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
                    self.agents[a].replies.retain(|reply| reply.call != id);
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
        let mut arrives = now + Duration::from_millis(self.rng.u64(0..self.answer_ms));
        if matches!(call, Call::List { .. } | Call::Identify { .. }) {
            // Otherwise a driver could send any number of list calls within one step.
            arrives = arrives.max(now + Duration::from_millis(1));
        }
        let agent = &self.agents[a];
        let Some(target) = agent.driver.call_target(id).cloned() else {
            return;
        };
        let other_worker = target.worker != agent.worker.id;
        if now < agent.worker.cut_until[0] {
            return;
        }
        if !other_worker && self.chance(self.faults.lost_call) {
            // Around the deadline of the start, or long after it.
            let longest = if self.rng.bool() { 100 } else { 6000 };
            let late = now + Duration::from_millis(self.rng.u64(0..longest));
            self.agents[a].worker.execute_late(late, call, target.token);
            return;
        }
        let worker = &mut self.agents[a].worker;
        let (reply, clock_ms) = if now < worker.down_until {
            (Reply::NotSent, None)
        } else if other_worker {
            (Reply::OtherWorker, None)
        } else {
            let reply = worker.execute(now, &call, target.token, false, &self.workloads);
            (reply, Some(worker.clock(now)))
        };
        if reply == Reply::Started && self.chance(self.faults.cut_at_start) {
            self.cut_worker(a, 3);
        }
        if now < self.agents[a].worker.cut_until[1] {
            return;
        }
        let replies = &mut self.agents[a].replies;
        let at = replies.partition_point(|other| other.arrives <= arrives);
        let reply = ReplyInTransit {
            arrives,
            call: id,
            reply,
            clock_ms,
        };
        replies.insert(at, reply);
    }
}
