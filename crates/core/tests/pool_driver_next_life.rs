//! A worker that starts again under the id that it had. It has forgotten its bars, and a deadline on
//! the clock of the life before means nothing to it.

#[path = "support/driver.rs"]
mod driver;

use driver::{Harness, MS, heartbeat, lists, run};
use rw_core::pool::driver::{Action, Call, Heartbeat, HeartbeatOutcome, HeartbeatState, Reply};
use rw_core::pool::job::{RunEnd, RunId};
use rw_core::pool::msg::NotStarted;

/// The first heartbeat of a life of worker `w1` that began at this time.
fn beat(start_time_ms: u64) -> Heartbeat {
    let mut beat = heartbeat(start_time_ms, 1, HeartbeatState::Ready);
    beat.id = "w1".into();
    beat.clock_ms = Some(10);
    beat
}

/// Sends the first heartbeat of the next life and its answer to the call that follows.
fn begin_life(harness: &mut Harness, start_time_ms: u64) {
    harness.clock_ms = 10;
    let outcome = harness
        .driver
        .on_heartbeat(harness.now, beat(start_time_ms), &mut harness.out);
    assert_eq!(outcome, HeartbeatOutcome::Unconfirmed);
    let (id, _) = harness
        .last_call(|call| matches!(call, Call::Identify { .. }))
        .expect("the next life is called");
    harness.answer(id, lists_of(start_time_ms, &[]));
}

fn lists_of(start_time_ms: u64, running: &[RunId]) -> Reply {
    let Reply::Lists { running, ended, .. } = lists(running, &[]) else {
        unreachable!()
    };
    Reply::Lists {
        start_time_ms: Some(start_time_ms),
        running,
        is_complete: true,
        ended,
    }
}

/// Answers the list that was sent last, as the life that began at this time.
fn answer_list_of(harness: &mut Harness, start_time_ms: u64, running: &[RunId]) {
    let (id, _) = harness
        .last_call(|call| matches!(call, Call::List { .. }))
        .expect("a list call is sent");
    harness.answer(id, lists_of(start_time_ms, running));
}

fn is_settled(harness: &Harness, run: RunId) -> bool {
    harness.ended(run).is_some() || harness.refusal(run).is_some()
}

#[test]
fn the_token_of_calls_rises_with_each_life_even_if_the_wall_clock_steps_back() {
    let mut harness = Harness::new();
    assert_eq!(harness.driver.fencing_token(), 1);
    begin_life(&mut harness, 9);
    assert_eq!(harness.driver.fencing_token(), 9);
    answer_list_of(&mut harness, 9, &[]);
    harness.start_confirmed(run(1, 1), 1000);
    // The next life began at an earlier time; only its lists show it.
    answer_list_of(&mut harness, 5, &[]);
    assert_eq!(harness.driver.fencing_token(), 10);
    assert_eq!(harness.driver.worker_id().map(|id| &**id), Some("w1"));
}

#[test]
fn a_start_without_an_answer_is_not_given_back_before_the_next_life_has_barred_it() {
    let mut harness = Harness::new();
    harness.start(run(1, 1), 1000, 0);
    harness.advance(30 * MS);
    begin_life(&mut harness, 9);
    assert!(!is_settled(&harness, run(1, 1)), "it may still start");
    // The clock of the new life is beyond the deadline that the old one was given.
    harness.clock_ms = 90_000;
    answer_list_of(&mut harness, 9, &[]);
    assert!(!is_settled(&harness, run(1, 1)), "no stop was answered");
    let (stop, _) = harness.stop_call().expect("a stop bars the start");
    harness.answer(stop, Reply::Stopped);
    harness.advance(5 * MS);
    while harness.refusal(run(1, 1)).is_none() {
        answer_list_of(&mut harness, 9, &[]);
        harness.advance(5 * MS);
    }
    assert_eq!(harness.refusal(run(1, 1)), Some(NotStarted::Unanswered));
}

#[test]
fn a_run_of_the_life_before_ends_with_the_first_list_of_the_next_one() {
    let mut harness = Harness::new();
    harness.start_confirmed(run(1, 1), 1000);
    harness.advance(5 * MS);
    begin_life(&mut harness, 9);
    harness.advance(MS);
    answer_list_of(&mut harness, 9, &[]);
    assert_eq!(harness.ended(run(1, 1)), Some(RunEnd::Gone));
}

#[test]
fn a_run_does_not_end_while_an_earlier_attempt_of_its_task_has_started_late() {
    let mut harness = Harness::new();
    harness.start_confirmed(run(1, 2), 1000);
    harness.advance(5 * MS);
    begin_life(&mut harness, 9);
    harness.advance(MS);
    answer_list_of(&mut harness, 9, &[run(1, 1)]);
    assert!(!is_settled(&harness, run(1, 2)), "attempt 1 runs");
    for _ in 0..40 {
        harness.driver.on_entry_activity(harness.now, &"e0".into());
        harness.advance(5 * MS);
    }
    let (stop, call) = harness.stop_call().expect("attempt 1 is stopped");
    assert_eq!(call, Call::Stop { run: run(1, 1) });
    harness.answer(stop, Reply::Stopped);
    harness.advance(5 * MS);
    while harness.ended(run(1, 2)).is_none() {
        answer_list_of(&mut harness, 9, &[]);
        harness.advance(5 * MS);
    }
    assert_eq!(harness.ended(run(1, 2)), Some(RunEnd::Gone));
}

#[test]
fn a_run_that_the_next_life_has_started_does_not_end_when_its_lists_show_that_life() {
    let mut harness = Harness::new();
    harness.start_confirmed(run(1, 1), 1000);
    harness.advance(MS);
    answer_list_of(&mut harness, 9, &[run(1, 1)]);
    assert!(!is_settled(&harness, run(1, 1)));
    harness.advance(MS);
    answer_list_of(&mut harness, 9, &[run(1, 1)]);
    harness.advance(MS);
    assert!(!is_settled(&harness, run(1, 1)));
}

#[test]
fn a_call_to_the_life_before_is_not_sent_with_the_token_of_the_next_one() {
    let mut harness = Harness::new();
    harness.start(run(1, 1), 1000, 0);
    assert!(harness.start_call().is_some());
    begin_life(&mut harness, 9);
    assert!(harness.start_call().is_none(), "{:?}", harness.out);
}

#[test]
fn a_worker_that_has_seen_a_higher_token_is_not_lost_for_good() {
    let mut harness = Harness::new();
    let seen = 1_800_000_000_000;
    harness.start(run(1, 1), 1000, 0);
    let (id, _) = harness.start_call().expect("a start call is sent");
    harness.answer(id, Reply::Fenced);
    assert_eq!(harness.refusal(run(1, 1)), Some(NotStarted::Unanswered));
    let mut refused = 0;
    while harness.driver.fencing_token() < seen {
        let list = harness.last_call(|call| matches!(call, Call::List { .. }));
        harness.take_actions();
        if let Some((id, _)) = list {
            refused += 1;
            harness.answer(id, Reply::Fenced);
        }
        harness.driver.on_entry_activity(harness.now, &"e0".into());
        harness.advance(10 * MS);
        assert!(refused < 60, "{}", harness.driver.fencing_token());
    }
    let answered = harness
        .out
        .iter()
        .any(|action| matches!(action, Action::Call(_, Call::List { .. })));
    if !answered {
        harness.advance(200 * MS);
    }
    answer_list_of(&mut harness, 1, &[]);
    harness.take_actions();
    harness.start(run(2, 1), 1000, 0);
    assert!(harness.start_call().is_some());
}
