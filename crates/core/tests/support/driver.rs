//! Helpers for tests of the agent's driver: one agent, one entry and a worker whose answers the test
//! chooses.

#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

use rw_core::ids::NodeRef;
use rw_core::pool::Uptime;
use rw_core::pool::driver::{
    Action, Call, Driver, EndedRow, Heartbeat, HeartbeatState, Reply, RunningRow,
};
use rw_core::pool::job::{JobId, Resources, RunEnd, RunId, TaskId};
use rw_core::pool::msg::{NotStarted, Requirements, Start, ToAgent, ToEntry};

/// One millisecond.
pub const MS: Duration = Duration::from_millis(1);

/// A driver with its clock and the actions that were not inspected yet.
pub struct Harness {
    pub driver: Driver,
    pub now: Uptime,
    pub out: Vec<Action>,
    /// The worker's clock in milliseconds, as its answers state it.
    pub clock_ms: u64,
}

pub fn entry(incarnation: u64) -> NodeRef {
    NodeRef {
        name: "e0".into(),
        incarnation,
    }
}

pub fn run(job: u64, attempt: u32) -> RunId {
    let task = TaskId {
        job: JobId(job),
        step: 0,
        index: 0,
    };
    RunId { task, attempt }
}

pub fn needs(cpu_milli: u32) -> Resources {
    Resources {
        cpu_milli,
        memory_mb: 1,
        accelerators: 0,
    }
}

pub fn heartbeat(start_time_ms: u64, number: u64, state: HeartbeatState) -> Heartbeat {
    Heartbeat {
        id: format!("w{start_time_ms}").into(),
        start_time_ms,
        number,
        pool: "p".into(),
        state,
        capacity: Resources {
            cpu_milli: 4000,
            memory_mb: 100,
            accelerators: 0,
        },
        labels: Vec::new(),
        clock_ms: Some(50_000),
        cold_left: Duration::ZERO,
    }
}

pub fn lists(running: &[RunId], ended: &[(u64, RunId, RunEnd)]) -> Reply {
    let row = |run: &RunId| RunningRow {
        run: *run,
        percent: 10,
    };
    let end = |(number, run, end): &(u64, RunId, RunEnd)| EndedRow {
        number: *number,
        run: *run,
        end: *end,
    };
    Reply::Lists {
        start_time_ms: None,
        running: running.iter().map(row).collect(),
        is_complete: true,
        ended: ended.iter().map(end).collect(),
    }
}

impl Harness {
    /// Creates an agent that has just started, without a worker.
    pub fn without_worker() -> Self {
        let now = Duration::from_secs(10);
        Self {
            driver: Driver::new(now, Duration::from_secs(1)),
            now,
            out: Vec::new(),
            clock_ms: 50_000,
        }
    }

    /// Creates an agent with one linked entry and a worker of four cores that has answered a list
    /// call.
    pub fn new() -> Self {
        let mut harness = Self::without_worker();
        let now = harness.now;
        harness.driver.on_heartbeat(
            now,
            heartbeat(1, 1, HeartbeatState::Ready),
            &mut harness.out,
        );
        harness.answer_list(&[], &[]);
        harness.driver.entry_up(now, entry(1), &mut harness.out);
        harness.take_actions();
        harness
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    pub fn advance(&mut self, time: Duration) {
        self.now += time;
        self.driver.tick(self.now, &mut self.out);
    }

    pub fn receive(&mut self, msg: ToAgent) {
        self.driver
            .on_entry(self.now, &"e0".into(), msg, &mut self.out);
    }

    pub fn start(&mut self, run: RunId, cpu: u32, max_queue_ms: u32) {
        self.start_labelled(run, cpu, max_queue_ms, None);
    }

    pub fn start_labelled(&mut self, run: RunId, cpu: u32, max_queue_ms: u32, label: Option<&str>) {
        self.receive(ToAgent::Start(Start {
            run,
            needs: needs(cpu),
            requires: Requirements {
                pool: "p".into(),
                label: label.map(Into::into),
            },
            estimate_ms: 100,
            due_ms: 100,
            max_queue_ms,
            waiting_jobs: 0,
            payload: "x".into(),
        }));
    }

    /// Returns the newest matching call that was not abandoned or answered, among the actions that
    /// were not taken yet.
    pub fn last_call<F>(&self, matching: F) -> Option<(u64, Call)>
    where
        F: Fn(&Call) -> bool,
    {
        self.out.iter().rev().find_map(|action| match action {
            Action::Call(id, call) if matching(call) && self.driver.call_target(*id).is_some() => {
                Some((*id, call.clone()))
            }
            _ => None,
        })
    }

    pub fn answer(&mut self, id: u64, reply: Reply) {
        let clock_ms = Some(self.clock_ms);
        self.driver
            .on_reply(self.now, id, reply, clock_ms, &mut self.out);
    }

    pub fn answer_list(&mut self, running: &[RunId], ended: &[(u64, RunId, RunEnd)]) {
        let (id, _) = self
            .last_call(|call| matches!(call, Call::List { .. }))
            .expect("a list call is sent");
        self.answer(id, lists(running, ended));
    }

    /// Requests a run and lets the worker confirm its start.
    pub fn start_confirmed(&mut self, run: RunId, cpu: u32) {
        self.start(run, cpu, 0);
        let (id, _) = self.start_call().expect("a start call is sent");
        self.answer(id, Reply::Started);
    }

    pub fn start_call(&self) -> Option<(u64, Call)> {
        self.last_call(|call| matches!(call, Call::Start { .. }))
    }

    pub fn stop_call(&self) -> Option<(u64, Call)> {
        self.last_call(|call| matches!(call, Call::Stop { .. }))
    }

    pub fn sent(&self) -> Vec<&ToEntry> {
        let sent = self.out.iter().filter_map(|action| match action {
            Action::Send(_, msg) => Some(msg),
            _ => None,
        });
        sent.collect()
    }

    pub fn refusal(&self, run: RunId) -> Option<NotStarted> {
        self.sent().into_iter().find_map(|msg| match msg {
            ToEntry::Refused { run: other, reason } if *other == run => Some(*reason),
            _ => None,
        })
    }

    pub fn ended(&self, run: RunId) -> Option<RunEnd> {
        self.sent().into_iter().find_map(|msg| match msg {
            ToEntry::Ended {
                run: other, end, ..
            } if *other == run => Some(*end),
            _ => None,
        })
    }
}
