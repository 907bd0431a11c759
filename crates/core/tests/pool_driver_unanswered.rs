//! Starts without an answer at a worker whose lease is assured: the lists and the worker's clock
//! settle them without a stop.

#[path = "support/driver.rs"]
mod driver;

use driver::{Harness, MS, heartbeat, run};
use rw_core::pool::driver::{Action, Call, Driver, HeartbeatState, Reply};
use rw_core::pool::job::RunEnd;
use rw_core::pool::msg::{NotStarted, ToAgent};

/// Returns a harness with a start of run 1 that was not answered in time, and the start's deadline
/// on the worker's clock.
fn unanswered() -> (Harness, u64) {
    let mut harness = Harness::new();
    // A list that is answered while something runs assures the lease.
    harness.start_confirmed(run(9, 1), 1000);
    harness.answer_list(&[run(9, 1)], &[]);
    harness.start(run(1, 1), 1000, 0);
    let Some((_, Call::Start { deadline_ms, .. })) = harness.start_call() else {
        panic!("no start call is sent");
    };
    harness.advance(30 * MS);
    (harness, deadline_ms)
}

#[test]
fn a_start_is_given_back_once_a_list_without_it_states_a_clock_beyond_its_deadline() {
    let (mut harness, deadline_ms) = unanswered();
    assert!(deadline_ms <= 50_050, "a short window: {deadline_ms}");
    for clock_ms in [50_030, deadline_ms] {
        harness.clock_ms = clock_ms;
        harness.answer_list(&[], &[]);
        assert_eq!(
            harness.refusal(run(1, 1)),
            None,
            "it may still start at {clock_ms}"
        );
        harness.advance(5 * MS);
    }
    harness.clock_ms = deadline_ms + 1;
    harness.answer_list(&[], &[]);
    assert_eq!(harness.refusal(run(1, 1)), Some(NotStarted::Unanswered));
    assert!(harness.stop_call().is_none(), "no stop is needed");
}

#[test]
fn a_list_without_a_clock_proves_nothing() {
    let (mut harness, _) = unanswered();
    harness.advance(500 * MS);
    let (id, _) = harness
        .last_call(|call| matches!(call, Call::List { .. }))
        .expect("a list call is sent");
    let reply = driver::lists(&[], &[]);
    harness
        .driver
        .on_reply(harness.now, id, reply, None, &mut harness.out);
    assert_eq!(harness.refusal(run(1, 1)), None);
}

#[test]
fn a_run_whose_answer_was_lost_goes_on() {
    let (mut harness, deadline_ms) = unanswered();
    harness.answer_list(&[run(1, 1)], &[]);
    harness.advance(5 * MS);
    harness.clock_ms = deadline_ms + 100;
    harness.answer_list(&[], &[(1, run(1, 1), RunEnd::Done)]);
    assert_eq!(harness.ended(run(1, 1)), Some(RunEnd::Done));
    assert_eq!(harness.refusal(run(1, 1)), None);
    assert!(harness.stop_call().is_none(), "it was stopped");
}

#[test]
fn an_unanswered_start_that_is_no_longer_wanted_is_stopped() {
    let (mut harness, _) = unanswered();
    harness.receive(ToAgent::Stop { run: run(1, 1) });
    let (stop, _) = harness.stop_call().expect("a stop call is sent");
    harness.answer(stop, Reply::Stopped);
    harness.advance(5 * MS);
    while harness.refusal(run(1, 1)).is_none() {
        harness.answer_list(&[], &[]);
        harness.advance(5 * MS);
    }
}

/// Lets a call go unanswered now and then, or every one, and returns how long the worker went on to
/// be given runs.
fn time_until_given_up(answers_first: bool) -> std::time::Duration {
    let mut harness = Harness::new();
    harness.start_confirmed(run(1, 1), 1000);
    if answers_first {
        // One list is lost, the next one is answered.
        harness.advance(200 * MS);
        harness.answer_list(&[run(1, 1)], &[]);
    }
    harness.take_actions();
    let begin = harness.now;
    loop {
        harness.advance(5 * MS);
        let closed = harness.sent().into_iter().any(
            |msg| matches!(msg, rw_core::pool::msg::ToEntry::Capacity(report) if !report.open),
        );
        if closed {
            return harness.now.saturating_sub(begin);
        }
    }
}

#[test]
fn a_worker_that_answers_some_calls_is_not_soon_given_up() {
    let silent = time_until_given_up(false);
    assert!(
        silent <= 300 * MS,
        "a silent worker is given up after {silent:?}"
    );
    let flaky = time_until_given_up(true);
    assert!(
        flaky >= 300 * MS,
        "a flaky worker is given up after {flaky:?}"
    );
}

#[test]
fn an_agent_renews_no_lease_before_it_knows_what_runs() {
    let now = 10_000 * MS;
    let mut agent = Driver::new(now, 1000 * MS);
    let mut out = Vec::new();
    agent.on_heartbeat(now, heartbeat(1, 1, HeartbeatState::Ready), &mut out);
    // The first lists are lost: none of them may keep runs of an earlier agent process alive.
    for tick in 1..40 {
        agent.tick(now + 10 * tick * MS, &mut out);
    }
    let deadlines = out.iter().filter_map(|action| match action {
        Action::Call(_, Call::List { deadline_ms, .. }) => Some(*deadline_ms),
        _ => None,
    });
    let deadlines: Vec<Option<u64>> = deadlines.collect();
    assert!(
        deadlines.len() > 2 && deadlines.iter().all(Option::is_none),
        "{deadlines:?}"
    );
}

/// Guards against calls to a worker that closes each connection at once, as fast as they can be
/// opened.
#[test]
fn a_worker_that_closes_each_connection_gets_a_bounded_number_of_calls() {
    let mut harness = Harness::new();
    harness.start_confirmed(run(1, 1), 1000);
    let mut calls = 0;
    for _ in 0..100 {
        harness.advance(MS);
        while let Some((id, _)) = harness.last_call(|call| matches!(call, Call::List { .. })) {
            calls += 1;
            let now = harness.now;
            harness
                .driver
                .on_reply(now, id, Reply::Unknown, None, &mut harness.out);
            assert!(calls <= 16, "16 calls within 100 ms are enough");
        }
    }
    assert!(calls >= 3, "the worker is still asked: {calls}");
}
