//! Tests of the agent's driver: events go in one by one and the resulting actions are checked.

#[path = "support/driver.rs"]
mod driver;

use driver::{Harness, MS, entry, heartbeat, lists, needs, run};
use rw_core::pool::driver::{Action, Call, HeartbeatOutcome, HeartbeatState, Reply, StartRefusal};
use rw_core::pool::job::{RunEnd, RunId};
use rw_core::pool::msg::{NotStarted, ToAgent, ToEntry};

#[test]
fn a_start_that_does_not_fit_is_refused_at_once_or_after_its_queue_time() {
    let mut harness = Harness::new();
    harness.start_confirmed(run(1, 1), 3000);
    harness.take_actions();
    harness.start(run(2, 1), 1500, 0);
    assert_eq!(harness.refusal(run(2, 1)), Some(NotStarted::NoRoom));
    assert!(
        harness.start_call().is_none(),
        "a start that does not fit is not sent to the worker"
    );
    harness.take_actions();
    harness.start(run(3, 1), 1500, 60);
    harness.advance(59 * MS);
    assert_eq!(harness.refusal(run(3, 1)), None);
    harness.advance(2 * MS);
    assert_eq!(harness.refusal(run(3, 1)), Some(NotStarted::NoRoom));
}

#[test]
fn an_unanswered_start_with_a_far_deadline_is_resolved_only_by_a_stop_and_a_later_list() {
    let mut harness = Harness::new();
    // The lease that the last list has assured is nearly over.
    harness.advance(300 * MS);
    harness.start(run(1, 1), 1000, 0);
    harness.take_actions();
    harness.advance(200 * MS);
    let (stop, _) = harness
        .stop_call()
        .expect("a stop call is sent, which blocks later starts");
    assert_eq!(
        harness.refusal(run(1, 1)),
        None,
        "the worker may still execute the start"
    );
    harness.answer(stop, Reply::Stopped);
    assert_eq!(
        harness.refusal(run(1, 1)),
        None,
        "no list was received after the stop"
    );
    harness.advance(5 * MS);
    while harness.refusal(run(1, 1)).is_none() {
        let (id, _) = harness
            .last_call(|c| matches!(c, Call::List { .. }))
            .expect("a list call is sent");
        harness.answer(id, lists(&[], &[]));
        harness.advance(5 * MS);
    }
    assert_eq!(harness.refusal(run(1, 1)), Some(NotStarted::Unanswered));
}

#[test]
fn the_end_of_a_run_whose_start_was_unanswered_is_reported() {
    let mut harness = Harness::new();
    harness.start(run(1, 1), 1000, 0);
    harness.advance(200 * MS);
    harness.answer_list(&[], &[(1, run(1, 1), RunEnd::Done)]);
    assert_eq!(harness.ended(run(1, 1)), Some(RunEnd::Done));
}

#[test]
fn an_unanswered_stop_is_sent_again() {
    let mut harness = Harness::new();
    harness.start_confirmed(run(1, 1), 1000);
    harness.take_actions();
    harness.receive(ToAgent::Stop { run: run(1, 1) });
    let (first, _) = harness.stop_call().expect("a stop call is sent");
    harness.take_actions();
    harness.advance(200 * MS);
    let (second, _) = harness.stop_call().expect("the stop call is sent again");
    assert_ne!(first, second);
}

#[test]
fn a_silent_entry_loses_its_runs_and_its_link() {
    let mut harness = Harness::new();
    harness.start_confirmed(run(1, 1), 1000);
    harness.take_actions();
    harness.driver.entry_down(&"e0".into());
    harness.advance(rw_core::pool::SILENCE_TIMEOUT.saturating_sub(50 * MS));
    assert!(
        harness.stop_call().is_none(),
        "the entry may link again in time"
    );
    harness.advance(100 * MS);
    assert!(harness.stop_call().is_some());
    let dropped = |action: &Action| matches!(action, Action::DropLink(name) if &**name == "e0");
    assert!(harness.out.iter().any(dropped), "{:?}", harness.out);
}

#[test]
fn a_new_process_of_an_entry_stops_the_runs_of_the_previous_one() {
    let mut harness = Harness::new();
    harness.start_confirmed(run(1, 1), 1000);
    harness.take_actions();
    harness
        .driver
        .entry_up(harness.now, entry(2), &mut harness.out);
    assert!(harness.stop_call().is_some());
}

#[test]
fn a_restarted_agent_keeps_claimed_runs_and_stops_the_others() {
    let mut harness = Harness::without_worker();
    let now = harness.now;
    harness.driver.on_heartbeat(
        now,
        heartbeat(1, 9, HeartbeatState::Ready),
        &mut harness.out,
    );
    harness.answer_list(&[run(1, 1), run(2, 1)], &[(4, run(3, 1), RunEnd::Done)]);
    harness.driver.entry_up(now, entry(1), &mut harness.out);
    let wanted = vec![(run(1, 1), needs(1000)), (run(3, 1), needs(1000))];
    harness.receive(ToAgent::Resume { runs: wanted });
    assert_eq!(
        harness.ended(run(3, 1)),
        Some(RunEnd::Done),
        "its end was in the list"
    );
    harness.take_actions();
    harness.advance(600 * MS);
    let stopped: Vec<RunId> = harness
        .out
        .iter()
        .filter_map(|action| match action {
            Action::Call(_, Call::Stop { run }) => Some(*run),
            _ => None,
        })
        .collect();
    assert_eq!(stopped, vec![run(2, 1)], "no entry claimed it");
}

#[test]
fn a_restarted_agent_does_not_renew_the_lease_of_unclaimed_runs() {
    let mut harness = Harness::without_worker();
    let now = harness.now;
    harness.driver.on_heartbeat(
        now,
        heartbeat(1, 9, HeartbeatState::Ready),
        &mut harness.out,
    );
    harness.answer_list(&[run(1, 1)], &[]);
    harness.take_actions();
    for _ in 0..20 {
        harness.advance(10 * MS);
        let list = harness.last_call(|call| matches!(call, Call::List { .. }));
        if let Some((_, Call::List { deadline_ms, .. })) = list {
            assert_eq!(deadline_ms, None);
            harness.answer_list(&[run(1, 1)], &[]);
            harness.take_actions();
        }
    }
}

#[test]
fn a_claimed_run_that_is_not_found_is_stopped_before_it_is_refused() {
    let mut harness = Harness::new();
    harness.receive(ToAgent::Resume {
        runs: vec![(run(5, 1), needs(1000))],
    });
    let (stop, _) = harness
        .stop_call()
        .expect("a stop call blocks a start that may be under way");
    assert_eq!(harness.refusal(run(5, 1)), None);
    harness.answer(stop, Reply::Stopped);
    harness.advance(5 * MS);
    harness.answer_list(&[], &[]);
    harness.advance(5 * MS);
    if harness.refusal(run(5, 1)).is_none() {
        harness.answer_list(&[], &[]);
    }
    assert_eq!(harness.refusal(run(5, 1)), Some(NotStarted::Unanswered));
}

#[test]
fn a_new_incarnation_ends_earlier_runs_and_outdated_heartbeats_are_ignored() {
    let mut harness = Harness::new();
    harness.start_confirmed(run(1, 1), 1000);
    harness.take_actions();
    let outcome = harness.driver.on_heartbeat(
        harness.now,
        heartbeat(7, 1, HeartbeatState::Ready),
        &mut harness.out,
    );
    assert_eq!(outcome, HeartbeatOutcome::Unconfirmed);
    assert_eq!(harness.ended(run(1, 1)), None, "it has not answered yet");
    let (id, _) = harness
        .last_call(|call| matches!(call, Call::Identify { .. }))
        .expect("the new incarnation is called");
    harness.answer(id, lists(&[], &[]));
    assert_eq!(harness.ended(run(1, 1)), Some(RunEnd::Gone));
    let outcome = harness.driver.on_heartbeat(
        harness.now,
        heartbeat(1, 90, HeartbeatState::Draining),
        &mut harness.out,
    );
    assert_eq!(
        outcome,
        HeartbeatOutcome::Unconfirmed,
        "it is of the previous incarnation"
    );
    let (id, _) = harness
        .last_call(|call| matches!(call, Call::Identify { .. }))
        .expect("the previous incarnation is called");
    harness.answer(id, Reply::OtherWorker);
    assert_eq!(harness.driver.worker_id().map(|id| &**id), Some("w7"));
    let outcome = harness.driver.on_heartbeat(
        harness.now,
        heartbeat(7, 1, HeartbeatState::Draining),
        &mut harness.out,
    );
    assert_eq!(outcome, HeartbeatOutcome::Outdated, "its number is not new");
}

#[test]
fn a_draining_worker_gets_no_new_runs() {
    let mut harness = Harness::new();
    harness.driver.on_heartbeat(
        harness.now,
        heartbeat(1, 2, HeartbeatState::Draining),
        &mut harness.out,
    );
    harness.take_actions();
    harness.start(run(1, 1), 1000, 60);
    assert_eq!(harness.refusal(run(1, 1)), Some(NotStarted::NoWorker));
    assert!(harness.start_call().is_none());
}

#[test]
fn the_runs_of_an_unresponsive_worker_end_when_its_lease_has_expired() {
    let mut harness = Harness::new();
    harness.start_confirmed(run(1, 1), 1000);
    for _ in 0..8 {
        harness.driver.on_entry_activity(harness.now, &"e0".into());
        harness.advance(60 * MS);
    }
    assert_eq!(
        harness.ended(run(1, 1)),
        None,
        "its lease may not have expired"
    );
    for _ in 0..16 {
        harness.driver.on_entry_activity(harness.now, &"e0".into());
        harness.advance(60 * MS);
    }
    assert_eq!(harness.ended(run(1, 1)), Some(RunEnd::Gone));
    harness.take_actions();
    harness.start(run(2, 1), 1000, 60);
    assert_eq!(harness.refusal(run(2, 1)), Some(NotStarted::NoWorker));
}

#[test]
fn a_worker_that_refuses_connections_is_not_called_in_a_loop() {
    let mut harness = Harness::new();
    harness.start_confirmed(run(1, 1), 1000);
    let mut calls = 0;
    while let Some((id, _)) = harness.last_call(|_| true) {
        harness.take_actions();
        calls += 1;
        assert!(
            calls < 10,
            "the worker is called repeatedly without a pause"
        );
        harness.answer(id, Reply::NotSent);
    }
}

#[test]
fn the_lease_of_an_unresponsive_worker_is_not_renewed() {
    let mut harness = Harness::new();
    harness.start_confirmed(run(1, 1), 1000);
    for _ in 0..10 {
        harness.advance(60 * MS);
    }
    harness.take_actions();
    harness.advance(200 * MS);
    let list = harness.last_call(|call| matches!(call, Call::List { .. }));
    let Some((_, Call::List { deadline_ms, .. })) = list else {
        panic!("no list call to the unresponsive worker: {:?}", harness.out);
    };
    assert_eq!(deadline_ms, None);
}

#[test]
fn an_old_attempt_is_reported_to_the_entry() {
    let mut harness = Harness::new();
    harness.start(run(1, 1), 1000, 0);
    let (id, _) = harness.start_call().expect("a start call is sent");
    harness.answer(id, Reply::Refused(StartRefusal::OldAttempt));
    assert_eq!(harness.refusal(run(1, 1)), Some(NotStarted::OldAttempt));
}

#[test]
fn a_stalled_run_is_reported_to_its_entry() {
    let mut harness = Harness::new();
    harness.start_confirmed(run(1, 1), 1000);
    for _ in 0..40 {
        harness.advance(20 * MS);
        if harness
            .last_call(|call| matches!(call, Call::List { .. }))
            .is_some()
        {
            harness.answer_list(&[run(1, 1)], &[]);
        }
    }
    let stalled = |msg: &&ToEntry| matches!(msg, ToEntry::Behind { left_ms: None, .. });
    assert!(harness.sent().iter().any(stalled), "{:?}", harness.sent());
}

#[test]
fn the_lease_of_a_start_is_bounded_although_the_clock_of_an_idle_worker_was_slow() {
    let mut harness = Harness::new();
    for _ in 0..250 {
        harness.driver.on_entry_activity(harness.now, &"e0".into());
        harness.advance(100 * MS);
    }
    harness.clock_ms += 250 * 98;
    harness.start(run(1, 1), 1000, 1000);
    if harness.start_call().is_none() {
        harness.answer_list(&[], &[]);
    }
    let (_, call) = harness.start_call().expect("a start call is sent");
    let Call::Start { deadline_ms, .. } = call else {
        unreachable!("not a start: {call:?}");
    };
    let lease_ms = rw_core::pool::LEASE.as_millis() as u64;
    let latest = harness.clock_ms + lease_ms;
    assert!(
        deadline_ms <= latest,
        "the lease lasts until {deadline_ms} instead of {latest} on the worker's clock"
    );
}
