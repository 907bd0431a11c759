//! Tests of reservations at the agent's driver and at the scheduler, one event at a time, and of how
//! they end.

#[path = "support/driver.rs"]
mod driver;

use std::sync::Arc;
use std::time::Duration;

use driver::{Harness, MS, entry, heartbeat, needs, run};
use rw_core::pool::Uptime;
use rw_core::pool::catalog::Queue;
use rw_core::pool::driver::{Call, HeartbeatState, Reply};
use rw_core::pool::job::{Job, JobId, Resources, RunEnd, RunId, Step, TaskId};
use rw_core::pool::lookahead::{Forecast, ForecastStep, Reservation};
use rw_core::pool::msg::{CapacityReport, NotStarted, ToAgent, ToEntry, WorkerInfo};
use rw_core::pool::scheduler::{Action, Scheduler};

/// The large task.
fn task() -> TaskId {
    run(9, 1).task
}

fn reserve(harness: &mut Harness) {
    harness.receive(ToAgent::Reserve(Reservation {
        task: task(),
        needs: needs(3500),
        lease_ms: 400,
    }));
}

/// Returns what the entry was last told of the reservation: whether it is granted, and ready.
fn told(harness: &Harness) -> Option<(bool, bool)> {
    harness.sent().into_iter().rev().find_map(|msg| match msg {
        ToEntry::Reserved { granted, ready, .. } => Some((*granted, *ready)),
        _ => None,
    })
}

/// Returns an agent on whose worker three of four cores are used for 100 ms by estimate, and 3.5 are
/// reserved.
fn reserved() -> Harness {
    let mut harness = Harness::new();
    harness.start_confirmed(run(1, 1), 3000);
    reserve(&mut harness);
    assert_eq!(told(&harness), Some((true, false)));
    harness
}

/// Lets time pass while the worker answers lists; `renews` tells whether the entry renews.
fn pass(harness: &mut Harness, time: Duration, running: &[RunId], renews: bool) {
    let end = harness.now + time;
    while harness.now < end {
        harness.advance(20 * MS);
        harness.clock_ms += 20;
        if harness
            .last_call(|call| matches!(call, Call::List { .. }))
            .is_some()
        {
            harness.answer_list(running, &[]);
        }
        if renews {
            reserve(harness);
        } else {
            harness.driver.on_entry_activity(harness.now, &"e0".into());
        }
    }
}

/// Returns whether a run of one core that may outlast the wait is started.
fn admits(harness: &mut Harness, number: u64) -> bool {
    let run = run(number, 1);
    harness.start(run, 1000, 0);
    harness.refusal(run) != Some(NotStarted::NoRoom)
}

/// Guards against small runs that take the room for which a large one waits.
#[test]
fn other_runs_leave_the_reserved_room() {
    let mut harness = reserved();
    assert!(!admits(&mut harness, 2));
    // It fits beside the reserved room.
    harness.start(run(3, 1), 500, 0);
    assert_eq!(harness.refusal(run(3, 1)), None);
}

/// Guards against room that stays reserved for an entry that no longer asks for it.
#[test]
fn a_reservation_that_is_not_renewed_lapses() {
    let mut harness = reserved();
    pass(&mut harness, 380 * MS, &[run(1, 1)], false);
    assert_eq!(told(&harness), Some((true, false)));
    pass(&mut harness, 40 * MS, &[run(1, 1)], false);
    assert_eq!(told(&harness), Some((false, false)));
    assert!(admits(&mut harness, 3));
}

/// Guards against room that stays reserved for an entry process that has ended.
#[test]
fn a_reservation_ends_with_its_entry() {
    let mut harness = reserved();
    harness.driver.entry_down(&"e0".into());
    harness.advance(20 * MS);
    let now = harness.now;
    harness.driver.entry_up(now, entry(2), &mut harness.out);
    assert!(admits(&mut harness, 2));
}

/// Guards against an entry that waits for room on a worker that drains.
#[test]
fn a_draining_worker_ends_the_reservation() {
    let mut harness = reserved();
    let drains = heartbeat(1, 2, HeartbeatState::Draining);
    let now = harness.now;
    harness.driver.on_heartbeat(now, drains, &mut harness.out);
    harness.advance(MS);
    assert_eq!(told(&harness), Some((false, false)));
}

/// Guards against room that stays idle beside a run that never ends.
#[test]
fn a_reservation_ends_when_its_room_was_late_twice() {
    let mut harness = reserved();
    pass(&mut harness, 260 * MS, &[run(1, 1)], true);
    assert_eq!(told(&harness), Some((true, false)));
    // By its progress until then, the run takes 5.4 s more.
    pass(&mut harness, 6000 * MS, &[run(1, 1)], true);
    let was_ended = harness
        .sent()
        .into_iter()
        .any(|msg| matches!(msg, ToEntry::Reserved { granted: false, .. }));
    assert!(was_ended);
}

/// Guards against a reservation of a job that was given up.
#[test]
fn a_reservation_that_is_given_up_frees_its_room() {
    let mut harness = reserved();
    harness.receive(ToAgent::Unreserve { task: task() });
    assert!(admits(&mut harness, 2));
}

/// Guards against a large task that is not started when its room is free, and against a
/// reservation that outlasts the start.
#[test]
fn the_reserved_task_starts_when_its_room_is_free() {
    let mut harness = reserved();
    let (id, _) = harness
        .last_call(|call| matches!(call, Call::List { .. }))
        .expect("a list call");
    harness.answer(id, driver::lists(&[], &[(1, run(1, 1), RunEnd::Done)]));
    assert_eq!(told(&harness), Some((true, true)));
    assert!(!admits(&mut harness, 2));
    harness.start(run(9, 1), 3500, 0);
    let (id, call) = harness.start_call().expect("a start call");
    assert!(matches!(call, Call::Start { run, .. } if run.task == task()));
    harness.answer(id, Reply::Started);
    harness.start(run(3, 1), 500, 0);
    assert_eq!(harness.refusal(run(3, 1)), None);
}

/// Guards against two entries that both count on the same room.
#[test]
fn a_second_reservation_is_refused() {
    let mut harness = reserved();
    harness.receive(ToAgent::Reserve(Reservation {
        task: run(8, 1).task,
        needs: needs(3000),
        lease_ms: 400,
    }));
    assert_eq!(told(&harness), Some((false, false)));
}

/// An entry with two workers of four cores, which are nearly full.
struct Entry {
    scheduler: Scheduler,
    now: Uptime,
    out: Vec<Action>,
}

fn job(id: u64, tasks: u16, cpu: u32) -> Job {
    Job {
        id: JobId(id),
        request: "r".into(),
        payload: "x".into(),
        steps: vec![Step {
            count: tasks,
            needs: needs(cpu),
            estimate: 100 * MS,
            ..Step::default()
        }],
    }
}

impl Entry {
    /// Creates an entry with a waiting task of so much CPU.
    fn new(cpu: u32) -> Self {
        let now = Duration::from_secs(10);
        let mut entry = Self {
            scheduler: Scheduler::new(now, fastrand::Rng::with_seed(1)).with_reservations(),
            now,
            out: Vec::new(),
        };
        for worker in ["a0", "a1"] {
            let out = &mut entry.out;
            entry.scheduler.agent_up(now, &worker.into(), out);
            entry.receive(
                worker,
                ToEntry::Worker(WorkerInfo {
                    pool: Some("p".into()),
                    capacity: Resources {
                        memory_mb: 100,
                        ..needs(4000)
                    },
                    labels: Vec::new(),
                }),
            );
            entry.report(worker, 4000, true);
        }
        entry.submit(job(1, 16, 200));
        entry.advance(100 * MS);
        entry.advance(100 * MS);
        entry.now += 5 * MS;
        for (worker, after) in [("a0", 80), ("a1", 50)] {
            entry.report(worker, 100, true);
            entry.forecast(worker, after);
        }
        entry.out.clear();
        entry.submit(job(2, 1, cpu));
        entry
    }

    fn receive(&mut self, worker: &str, msg: ToEntry) {
        let (now, out) = (self.now, &mut self.out);
        self.scheduler.on_agent(now, &worker.into(), msg, out);
        self.scheduler.place_waiting(now, out);
    }

    fn report(&mut self, worker: &str, cpu: u32, open: bool) {
        let report = CapacityReport {
            starts_received: 99,
            open,
            free: Resources {
                memory_mb: 100,
                ..needs(cpu)
            },
            ..CapacityReport::default()
        };
        self.receive(worker, ToEntry::Capacity(report));
    }

    fn forecast(&mut self, worker: &str, after_ms: u32) {
        let step = |after_ms: u32, cpu: u32| ForecastStep {
            after_ms,
            free: Resources {
                memory_mb: 100,
                ..needs(cpu)
            },
        };
        let steps = vec![step(0, 100), step(after_ms, 4000)];
        self.receive(worker, ToEntry::Forecast(Forecast { steps }));
    }

    fn submit(&mut self, job: Job) {
        let queue = Arc::new(Queue {
            name: "q".into(),
            host: "h".into(),
            prefix: "/q/".into(),
            pool: "p".into(),
            timeout: Duration::from_secs(9),
            aim: Duration::from_secs(5),
            slack: 1.6,
            priority: 0,
            max_failures: 2,
            advised: false,
        });
        let (now, caller) = (self.now, job.id.0);
        let deadline = Duration::from_secs(9);
        self.scheduler
            .submit(now, job, queue, caller, deadline, &mut self.out);
    }

    fn told(&mut self, worker: &str, granted: bool, ready: bool) {
        let task = run(2, 1).task;
        self.receive(
            worker,
            ToEntry::Reserved {
                task,
                granted,
                ready,
            },
        );
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.scheduler.observe(self.now, &mut self.out);
        self.scheduler.tick(self.now, &mut self.out);
    }

    /// Returns the messages about reservations since the last call: whether each asks for one, and
    /// of whom.
    fn asked(&mut self) -> Vec<(bool, String)> {
        let actions = std::mem::take(&mut self.out);
        let asked = actions.into_iter().filter_map(|action| match action {
            Action::Send(worker, ToAgent::Reserve(_)) => Some((true, worker.to_string())),
            Action::Send(worker, ToAgent::Unreserve { .. }) => Some((false, worker.to_string())),
            _ => None,
        });
        asked.collect()
    }
}

fn ask(worker: &str) -> (bool, String) {
    (true, worker.into())
}

fn give_up(worker: &str) -> (bool, String) {
    (false, worker.into())
}

/// Guards against a large task that waits for a worker that has room later than another.
#[test]
fn room_is_reserved_where_it_is_free_first_and_renewed() {
    let mut entry = Entry::new(3000);
    assert_eq!(entry.asked(), [ask("a1")]);
    entry.told("a1", true, false);
    entry.advance(100 * MS);
    assert_eq!(entry.asked(), []);
    entry.advance(60 * MS);
    assert_eq!(entry.asked(), [ask("a1")]);
}

/// Guards against reservations where tasks hardly differ in size.
#[test]
fn no_room_is_reserved_for_a_task_of_nearly_the_usual_size() {
    assert_eq!(Entry::new(300).asked(), []);
}

/// Guards against a task that goes on waiting for an agent that has refused or ended its
/// reservation.
#[test]
fn a_refused_reservation_is_asked_of_another_agent() {
    let mut entry = Entry::new(3000);
    entry.asked();
    entry.told("a1", false, false);
    entry.advance(5 * MS);
    assert_eq!(entry.asked(), [ask("a0")]);
}

/// Guards against a task that goes on waiting for a worker that drains or leaves.
#[test]
fn a_reservation_moves_from_a_closed_worker() {
    let mut entry = Entry::new(3000);
    entry.asked();
    entry.told("a1", true, false);
    entry.report("a1", 0, false);
    entry.advance(5 * MS);
    assert_eq!(entry.asked(), [give_up("a1"), ask("a0")]);
}

/// Guards against room that stays reserved for a job whose caller has gone.
#[test]
fn a_reservation_ends_with_its_job() {
    let mut entry = Entry::new(3000);
    entry.told("a1", true, false);
    entry.asked();
    let now = entry.now;
    entry.scheduler.disconnected(now, 2, &mut entry.out);
    entry.advance(5 * MS);
    assert_eq!(entry.asked(), [give_up("a1")]);
}

/// Guards against room that stays reserved for a task that found room elsewhere.
#[test]
fn a_reservation_ends_when_its_task_starts_elsewhere() {
    let mut entry = Entry::new(3000);
    entry.told("a1", true, false);
    entry.asked();
    entry.report("a0", 4000, true);
    entry.advance(5 * MS);
    assert_eq!(entry.asked(), [give_up("a1")]);
}

/// Guards against a task that is not sent when its room is free, although the report leaves that room
/// out.
#[test]
fn the_task_is_sent_when_its_room_is_free() {
    let mut entry = Entry::new(3000);
    entry.out.clear();
    entry.told("a1", true, true);
    let starts = entry.out.iter().filter(
        |action| matches!(action, Action::Send(worker, ToAgent::Start(_)) if &**worker == "a1"),
    );
    assert_eq!(starts.count(), 1);
    assert_eq!(entry.scheduler.reservations(), 0);
}
