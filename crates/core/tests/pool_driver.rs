//! An agent's decisions on its worker, step by step.

use std::time::Duration;

use rw_core::ids::NodeRef;
use rw_core::pool::Uptime;
use rw_core::pool::driver::{
    Action, Beat, BeatState, BeatVerdict, Call, Driver, EndedRow, Reply, RunningRow, StartRefusal,
};
use rw_core::pool::job::{JobId, Resources, RunEnd, RunId, TaskId};
use rw_core::pool::msg::{NotStarted, Start, ToAgent, ToEntry};

const MS: Duration = Duration::from_millis(1);

struct Bench {
    driver: Driver,
    now: Uptime,
    out: Vec<Action>,
}

fn entry(incarnation: u64) -> NodeRef {
    NodeRef {
        name: "e0".into(),
        incarnation,
    }
}

fn run(job: u64, attempt: u32) -> RunId {
    let task = TaskId {
        job: JobId(job),
        step: 0,
        index: 0,
    };
    RunId { task, attempt }
}

fn needs(cpu_milli: u32) -> Resources {
    Resources {
        cpu_milli,
        memory_mb: 1,
        accelerators: 0,
    }
}

fn beat(born: u64, number: u64, state: BeatState) -> Beat {
    Beat {
        id: format!("w{born}").into(),
        born,
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
    }
}

fn lists(running: &[RunId], ended: &[(u64, RunId, RunEnd)]) -> Reply {
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
        born: None,
        running: running.iter().map(row).collect(),
        ended: ended.iter().map(end).collect(),
    }
}

impl Bench {
    /// An agent with a worker of four cores, whose lists were read, and one linked entry.
    fn new() -> Self {
        let now = Duration::from_secs(10);
        let mut bench = Self {
            driver: Driver::new(now, Duration::from_secs(1)),
            now,
            out: Vec::new(),
        };
        bench
            .driver
            .on_beat(now, beat(1, 1, BeatState::Ready), &mut bench.out);
        bench.answer_list(&[], &[]);
        bench.driver.entry_up(now, entry(1), &mut bench.out);
        bench.take();
        bench
    }

    fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.driver.tick(self.now, &mut self.out);
    }

    fn msg(&mut self, msg: ToAgent) {
        self.driver
            .on_entry(self.now, &"e0".into(), msg, &mut self.out);
    }

    fn start(&mut self, run: RunId, cpu: u32, patience_ms: u32) {
        self.msg(ToAgent::Start(Start {
            run,
            needs: needs(cpu),
            estimate_ms: 100,
            due_ms: 100,
            patience_ms,
            payload: "x".into(),
        }));
    }

    /// The newest call of a kind that was made and not answered yet.
    fn call<F>(&self, is: F) -> Option<(u64, Call)>
    where
        F: Fn(&Call) -> bool,
    {
        self.out.iter().rev().find_map(|action| match action {
            Action::Call(id, call) if is(call) => Some((*id, call.clone())),
            _ => None,
        })
    }

    fn answer(&mut self, id: u64, reply: Reply) {
        self.driver
            .on_reply(self.now, id, reply, Some(50_000), &mut self.out);
    }

    fn answer_list(&mut self, running: &[RunId], ended: &[(u64, RunId, RunEnd)]) {
        let (id, _) = self
            .call(|call| matches!(call, Call::List { .. }))
            .expect("a list is asked");
        self.answer(id, lists(running, ended));
    }

    /// Starts a run and lets the worker confirm it.
    fn running(&mut self, run: RunId, cpu: u32) {
        self.start(run, cpu, 0);
        let (id, _) = self.start_call().expect("the run is ordered");
        self.answer(id, Reply::Started);
    }

    fn start_call(&self) -> Option<(u64, Call)> {
        self.call(|call| matches!(call, Call::Start { .. }))
    }

    fn stop_call(&self) -> Option<(u64, Call)> {
        self.call(|call| matches!(call, Call::Stop { .. }))
    }

    fn sent(&self) -> Vec<&ToEntry> {
        let sent = self.out.iter().filter_map(|action| match action {
            Action::Send(_, msg) => Some(msg),
            _ => None,
        });
        sent.collect()
    }

    fn refusal(&self, run: RunId) -> Option<NotStarted> {
        self.sent().into_iter().find_map(|msg| match msg {
            ToEntry::Refused { run: other, reason } if *other == run => Some(*reason),
            _ => None,
        })
    }

    fn ended(&self, run: RunId) -> Option<RunEnd> {
        self.sent().into_iter().find_map(|msg| match msg {
            ToEntry::Ended {
                run: other, end, ..
            } if *other == run => Some(*end),
            _ => None,
        })
    }
}

#[test]
fn a_start_that_does_not_fit_is_refused_at_once_or_waits_as_long_as_it_may() {
    let mut bench = Bench::new();
    bench.running(run(1, 1), 3000);
    bench.take();
    bench.start(run(2, 1), 1500, 0);
    assert_eq!(bench.refusal(run(2, 1)), Some(NotStarted::NoRoom));
    assert!(
        bench.start_call().is_none(),
        "the worker is not asked for what does not fit"
    );
    bench.take();
    bench.start(run(3, 1), 1500, 60);
    bench.pass(59 * MS);
    assert_eq!(bench.refusal(run(3, 1)), None);
    bench.pass(2 * MS);
    assert_eq!(bench.refusal(run(3, 1)), Some(NotStarted::NoRoom));
}

#[test]
fn an_unanswered_start_is_settled_only_by_a_stop_and_a_later_list() {
    let mut bench = Bench::new();
    bench.start(run(1, 1), 1000, 0);
    bench.take();
    bench.pass(200 * MS);
    let (stop, _) = bench
        .stop_call()
        .expect("the run is stopped, which bars it");
    assert_eq!(
        bench.refusal(run(1, 1)),
        None,
        "it may still be carried out"
    );
    bench.answer(stop, Reply::Stopped);
    assert_eq!(
        bench.refusal(run(1, 1)),
        None,
        "no list has told the truth yet"
    );
    bench.pass(5 * MS);
    while bench.refusal(run(1, 1)).is_none() {
        let (id, _) = bench
            .call(|c| matches!(c, Call::List { .. }))
            .expect("a list is asked");
        bench.answer(id, lists(&[], &[]));
        bench.pass(5 * MS);
    }
    assert_eq!(bench.refusal(run(1, 1)), Some(NotStarted::Unanswered));
}

#[test]
fn an_unanswered_start_that_ran_to_its_end_counts() {
    let mut bench = Bench::new();
    bench.start(run(1, 1), 1000, 0);
    bench.pass(200 * MS);
    bench.answer_list(&[], &[(1, run(1, 1), RunEnd::Done)]);
    assert_eq!(bench.ended(run(1, 1)), Some(RunEnd::Done));
}

#[test]
fn an_unanswered_stop_is_sent_again() {
    let mut bench = Bench::new();
    bench.running(run(1, 1), 1000);
    bench.take();
    bench.msg(ToAgent::Stop { run: run(1, 1) });
    let (first, _) = bench.stop_call().expect("a stop is sent");
    bench.take();
    bench.pass(200 * MS);
    let (second, _) = bench.stop_call().expect("it is sent again");
    assert_ne!(first, second);
}

#[test]
fn a_silent_entry_loses_its_runs_and_its_link() {
    let mut bench = Bench::new();
    bench.running(run(1, 1), 1000);
    bench.take();
    bench.driver.entry_down(&"e0".into());
    bench.pass(rw_core::pool::SILENCE.saturating_sub(50 * MS));
    assert!(bench.stop_call().is_none(), "a lost link may come back");
    bench.pass(100 * MS);
    assert!(bench.stop_call().is_some());
    let dropped = |action: &Action| matches!(action, Action::DropLink(name) if &**name == "e0");
    assert!(bench.out.iter().any(dropped), "{:?}", bench.out);
}

#[test]
fn another_process_of_an_entry_ends_the_runs_of_the_one_before() {
    let mut bench = Bench::new();
    bench.running(run(1, 1), 1000);
    bench.take();
    bench.driver.entry_up(bench.now, entry(2), &mut bench.out);
    assert!(bench.stop_call().is_some());
}

#[test]
fn a_restarted_agent_keeps_what_entries_want_and_stops_the_rest() {
    let now = Duration::from_secs(10);
    let mut bench = Bench {
        driver: Driver::new(now, Duration::from_secs(1)),
        now,
        out: Vec::new(),
    };
    bench
        .driver
        .on_beat(now, beat(1, 9, BeatState::Ready), &mut bench.out);
    bench.answer_list(&[run(1, 1), run(2, 1)], &[(4, run(3, 1), RunEnd::Done)]);
    bench.driver.entry_up(now, entry(1), &mut bench.out);
    let wanted = vec![(run(1, 1), needs(1000)), (run(3, 1), needs(1000))];
    bench.msg(ToAgent::Resume { runs: wanted });
    assert_eq!(
        bench.ended(run(3, 1)),
        Some(RunEnd::Done),
        "its end was listed"
    );
    bench.take();
    bench.pass(600 * MS);
    let stopped: Vec<RunId> = bench
        .out
        .iter()
        .filter_map(|action| match action {
            Action::Call(_, Call::Stop { run }) => Some(*run),
            _ => None,
        })
        .collect();
    assert_eq!(stopped, vec![run(2, 1)], "nobody asked for it");
}

#[test]
fn a_restarted_agent_does_not_renew_the_lease_of_runs_that_nobody_asked_for() {
    let now = Duration::from_secs(10);
    let mut bench = Bench {
        driver: Driver::new(now, Duration::from_secs(1)),
        now,
        out: Vec::new(),
    };
    bench
        .driver
        .on_beat(now, beat(1, 9, BeatState::Ready), &mut bench.out);
    bench.answer_list(&[run(1, 1)], &[]);
    bench.take();
    for _ in 0..20 {
        bench.pass(10 * MS);
        let look = bench.call(|call| matches!(call, Call::List { .. }));
        if let Some((_, Call::List { deadline_ms, .. })) = look {
            assert_eq!(deadline_ms, None);
            bench.answer_list(&[run(1, 1)], &[]);
            bench.take();
        }
    }
}

#[test]
fn a_run_that_a_restarted_agent_does_not_find_is_barred_before_it_is_given_up() {
    let mut bench = Bench::new();
    bench.msg(ToAgent::Resume {
        runs: vec![(run(5, 1), needs(1000))],
    });
    let (stop, _) = bench.stop_call().expect("an order under way is barred");
    assert_eq!(bench.refusal(run(5, 1)), None);
    bench.answer(stop, Reply::Stopped);
    bench.pass(5 * MS);
    bench.answer_list(&[], &[]);
    bench.pass(5 * MS);
    if bench.refusal(run(5, 1)).is_none() {
        bench.answer_list(&[], &[]);
    }
    assert_eq!(bench.refusal(run(5, 1)), Some(NotStarted::Unanswered));
}

#[test]
fn a_new_incarnation_ends_what_the_one_before_ran_and_late_beats_change_nothing() {
    let mut bench = Bench::new();
    bench.running(run(1, 1), 1000);
    bench.take();
    let verdict = bench
        .driver
        .on_beat(bench.now, beat(7, 1, BeatState::Ready), &mut bench.out);
    assert_eq!(verdict, BeatVerdict::Taken);
    assert_eq!(bench.ended(run(1, 1)), Some(RunEnd::Gone));
    let verdict = bench
        .driver
        .on_beat(bench.now, beat(1, 90, BeatState::Draining), &mut bench.out);
    assert_eq!(
        verdict,
        BeatVerdict::Late,
        "it is of the incarnation before"
    );
    assert_eq!(bench.driver.worker_id().map(|id| &**id), Some("w7"));
    let verdict = bench
        .driver
        .on_beat(bench.now, beat(7, 1, BeatState::Draining), &mut bench.out);
    assert_eq!(verdict, BeatVerdict::Late, "it was overtaken");
}

#[test]
fn a_draining_worker_starts_nothing_new() {
    let mut bench = Bench::new();
    bench
        .driver
        .on_beat(bench.now, beat(1, 2, BeatState::Draining), &mut bench.out);
    bench.take();
    bench.start(run(1, 1), 1000, 60);
    assert_eq!(bench.refusal(run(1, 1)), Some(NotStarted::NoWorker));
    assert!(bench.start_call().is_none());
}

#[test]
fn what_a_silent_worker_ran_is_gone_once_its_lease_has_lapsed() {
    let mut bench = Bench::new();
    bench.running(run(1, 1), 1000);
    for _ in 0..8 {
        bench.driver.on_entry_activity(bench.now, &"e0".into());
        bench.pass(60 * MS);
    }
    assert_eq!(bench.ended(run(1, 1)), None, "its lease may still hold");
    for _ in 0..16 {
        bench.driver.on_entry_activity(bench.now, &"e0".into());
        bench.pass(60 * MS);
    }
    assert_eq!(bench.ended(run(1, 1)), Some(RunEnd::Gone));
    bench.take();
    bench.start(run(2, 1), 1000, 60);
    assert_eq!(bench.refusal(run(2, 1)), Some(NotStarted::NoWorker));
}

#[test]
fn a_worker_that_takes_no_connections_is_not_called_in_a_loop() {
    let mut bench = Bench::new();
    bench.running(run(1, 1), 1000);
    let mut calls = 0;
    while let Some((id, _)) = bench.call(|_| true) {
        bench.take();
        calls += 1;
        assert!(calls < 10, "called again and again");
        bench.answer(id, Reply::NotSent);
    }
}

#[test]
fn the_lease_is_not_renewed_for_a_silent_worker() {
    let mut bench = Bench::new();
    bench.running(run(1, 1), 1000);
    for _ in 0..10 {
        bench.pass(60 * MS);
    }
    bench.take();
    bench.pass(200 * MS);
    let look = bench.call(|call| matches!(call, Call::List { .. }));
    let Some((_, Call::List { deadline_ms, .. })) = look else {
        panic!("a silent worker is looked at: {:?}", bench.out);
    };
    assert_eq!(deadline_ms, None);
}

#[test]
fn an_old_attempt_is_told_to_the_entry() {
    let mut bench = Bench::new();
    bench.start(run(1, 1), 1000, 0);
    let (id, _) = bench.start_call().expect("the run is ordered");
    bench.answer(id, Reply::Refused(StartRefusal::Old));
    assert_eq!(bench.refusal(run(1, 1)), Some(NotStarted::OldAttempt));
}

#[test]
fn a_run_that_stands_still_is_told_to_its_entry() {
    let mut bench = Bench::new();
    bench.running(run(1, 1), 1000);
    for _ in 0..40 {
        bench.pass(20 * MS);
        if bench
            .call(|call| matches!(call, Call::List { .. }))
            .is_some()
        {
            bench.answer_list(&[run(1, 1)], &[]);
        }
    }
    let still = |msg: &&ToEntry| matches!(msg, ToEntry::Behind { left_ms: None, .. });
    assert!(bench.sent().iter().any(still), "{:?}", bench.sent());
}
