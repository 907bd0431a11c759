//! Which incarnation of a worker serves the worker's address: heartbeats and notices of departure
//! are hearsay, answers to calls are proof.

#[path = "support/driver.rs"]
mod driver;

use std::time::Duration;

use driver::{Harness, MS, heartbeat, lists, needs, run};
use rw_core::pool::driver::{Action, Call, Heartbeat, HeartbeatOutcome, HeartbeatState, Reply};
use rw_core::pool::job::{RunEnd, RunId};
use rw_core::pool::msg::{NotStarted, ToAgent};

/// A heartbeat of the worker of [`Harness`], changed to name another incarnation.
type OtherIdentity = (&'static str, fn(&mut Heartbeat));

const OTHER_IDENTITIES: [OtherIdentity; 3] = [
    ("another id and a later start", |h| {
        h.id = "other".into();
        h.start_time_ms = 2;
    }),
    ("another id and the same start", |h| h.id = "other".into()),
    ("the worker's id and a later start", |h| h.start_time_ms = 2),
];

/// An agent with one run at work.
fn harness_with_run() -> Harness {
    let mut harness = Harness::new();
    harness.start_confirmed(run(1, 1), 1000);
    harness.advance(10 * MS);
    harness.answer_list(&[run(1, 1)], &[]);
    harness.take_actions();
    harness
}

fn other_identity(change: fn(&mut Heartbeat)) -> Heartbeat {
    let mut heartbeat = heartbeat(1, 2, HeartbeatState::Ready);
    change(&mut heartbeat);
    heartbeat
}

fn receive(harness: &mut Harness, heartbeat: Heartbeat) -> HeartbeatOutcome {
    harness
        .driver
        .on_heartbeat(harness.now, heartbeat, &mut harness.out)
}

fn answer_identify(harness: &mut Harness, reply: Reply) {
    let (id, _) = harness
        .last_call(|call| matches!(call, Call::Identify { .. }))
        .expect("the other identity is called");
    harness.answer(id, reply);
}

fn lists_of(start_time_ms: u64) -> Reply {
    let Reply::Lists { running, ended, .. } = lists(&[], &[]) else {
        unreachable!("lists returns lists");
    };
    Reply::Lists {
        start_time_ms: Some(start_time_ms),
        running,
        is_complete: true,
        ended,
    }
}

/// Lets the time pass while the worker answers list calls. Returns whether its lease was renewed.
fn pass_time_at_work(harness: &mut Harness, time: Duration, running: &[RunId]) -> bool {
    let mut renewed = false;
    for _ in 0..time.as_millis() / 10 {
        harness.advance(10 * MS);
        let list = harness.last_call(|call| matches!(call, Call::List { .. }));
        if let Some((id, Call::List { deadline_ms, .. })) = list {
            renewed |= deadline_ms.is_some();
            harness.answer(id, lists(running, &[]));
        }
        harness.driver.on_entry_activity(harness.now, &"e0".into());
        harness
            .out
            .retain(|action| !matches!(action, Action::Call(_, Call::List { .. })));
    }
    renewed
}

#[test]
fn a_heartbeat_of_another_identity_ends_no_run_of_a_worker_that_goes_on() {
    for (what, change) in OTHER_IDENTITIES {
        for denial in [Reply::OtherWorker, lists_of(1)] {
            let mut harness = harness_with_run();
            let outcome = receive(&mut harness, other_identity(change));
            assert_eq!(harness.ended(run(1, 1)), None, "{what}");
            assert_eq!(outcome, HeartbeatOutcome::Unconfirmed, "{what}");
            if !(what.starts_with("another id and the same") && denial == lists_of(1)) {
                answer_identify(&mut harness, denial);
                let renewed = pass_time_at_work(&mut harness, 2000 * MS, &[run(1, 1)]);
                assert!(renewed, "the lease is renewed after {what}");
                assert_eq!(harness.ended(run(1, 1)), None, "{what}");
            }
            let id = harness.driver.worker_id().map(|id| &**id);
            assert_eq!(id, Some("w1"), "{what}");
            let outcome = receive(&mut harness, heartbeat(1, 3, HeartbeatState::Ready));
            assert_eq!(outcome, HeartbeatOutcome::Applied, "after {what}");
        }
    }
}

#[test]
fn an_identity_that_does_not_answer_is_asked_again_and_ends_no_run() {
    let mut harness = harness_with_run();
    receive(&mut harness, other_identity(OTHER_IDENTITIES[0].1));
    answer_identify(&mut harness, Reply::Unknown);
    harness.take_actions();
    pass_time_at_work(&mut harness, 200 * MS, &[run(1, 1)]);
    answer_identify(&mut harness, Reply::NotSent);
    assert_eq!(harness.ended(run(1, 1)), None);
}

#[test]
fn a_new_incarnation_that_answers_ends_the_runs_of_the_previous_one() {
    for (what, change) in OTHER_IDENTITIES {
        let mut harness = harness_with_run();
        let heartbeat = other_identity(change);
        let start_time_ms = heartbeat.start_time_ms;
        let id = heartbeat.id.clone();
        receive(&mut harness, heartbeat);
        answer_identify(&mut harness, lists_of(start_time_ms));
        if &*id == "w1" {
            assert_eq!(harness.ended(run(1, 1)), None, "a late start may follow");
            harness.advance(MS);
            harness.answer_list(&[], &[]);
        }
        assert_eq!(harness.ended(run(1, 1)), Some(RunEnd::Gone), "{what}");
        assert_eq!(harness.driver.worker_id(), Some(&id), "{what}");
    }
}

#[test]
fn a_new_incarnation_takes_over_at_once_when_calls_to_the_previous_one_are_denied() {
    let mut harness = harness_with_run();
    harness.advance(10 * MS);
    receive(&mut harness, other_identity(OTHER_IDENTITIES[0].1));
    answer_identify(&mut harness, Reply::Unknown);
    harness.start(run(2, 1), 1000, 0);
    let (start, _) = harness.start_call().expect("a start call is sent");
    harness.answer(start, Reply::OtherWorker);
    assert_eq!(harness.ended(run(1, 1)), Some(RunEnd::Gone));
    harness.advance(10 * MS);
    assert_eq!(harness.driver.worker_id().map(|id| &**id), Some("other"));
}

#[test]
fn a_denied_identity_at_a_restarted_agent_ends_no_claimed_run() {
    let mut harness = Harness::without_worker();
    let now = harness.now;
    harness
        .driver
        .entry_up(now, driver::entry(1), &mut harness.out);
    harness.receive(ToAgent::Resume {
        runs: vec![(run(1, 1), needs(1000))],
    });
    receive(&mut harness, other_identity(OTHER_IDENTITIES[0].1));
    let (id, _) = harness
        .last_call(|call| matches!(call, Call::List { .. }))
        .expect("a list call is sent");
    harness.answer(id, Reply::OtherWorker);
    assert_eq!(harness.ended(run(1, 1)), None);
    assert_eq!(harness.refusal(run(1, 1)), None);
}

#[test]
fn a_late_notice_of_departure_ends_no_run_and_the_next_heartbeat_reopens_the_worker() {
    let mut harness = harness_with_run();
    harness.driver.on_leave(harness.now, "w1", &mut harness.out);
    assert_eq!(harness.ended(run(1, 1)), None);
    harness.start(run(2, 1), 1000, 0);
    assert_eq!(harness.refusal(run(2, 1)), Some(NotStarted::NoWorker));
    assert!(pass_time_at_work(&mut harness, 1000 * MS, &[run(1, 1)]));
    assert_eq!(harness.ended(run(1, 1)), None);
    receive(&mut harness, heartbeat(1, 2, HeartbeatState::Ready));
    harness.start_confirmed(run(3, 1), 1000);
}

#[test]
fn the_runs_of_a_worker_that_left_end_when_its_lease_has_expired() {
    let mut harness = harness_with_run();
    harness.driver.on_leave(harness.now, "w1", &mut harness.out);
    for _ in 0..80 {
        assert_eq!(harness.ended(run(1, 1)), None);
        harness.advance(10 * MS);
        harness.driver.on_entry_activity(harness.now, &"e0".into());
        if let Some((id, _)) = harness.last_call(|call| matches!(call, Call::List { .. })) {
            harness.answer(id, Reply::NotSent);
        }
        if harness.ended(run(1, 1)).is_some() {
            break;
        }
    }
    assert_eq!(harness.ended(run(1, 1)), Some(RunEnd::Gone));
    harness.advance(10 * MS);
    assert_eq!(harness.driver.worker_id(), None);
}

#[test]
fn a_call_to_a_replaced_worker_is_not_sent_to_its_successor() {
    let mut harness = harness_with_run();
    harness.start(run(2, 1), 1000, 0);
    assert!(harness.start_call().is_some());
    receive(&mut harness, other_identity(OTHER_IDENTITIES[0].1));
    answer_identify(&mut harness, lists_of(2));
    assert_eq!(harness.start_call(), None);
}

#[test]
fn a_run_that_an_incomplete_list_leaves_out_has_not_ended() {
    let mut harness = harness_with_run();
    let (id, _) = harness_list_call(&mut harness);
    let mut reply = lists(&[], &[]);
    if let Reply::Lists { is_complete, .. } = &mut reply {
        *is_complete = false;
    }
    harness.answer(id, reply);
    assert_eq!(harness.ended(run(1, 1)), None);
    let (id, _) = harness_list_call(&mut harness);
    harness.answer(id, lists(&[], &[]));
    assert_eq!(harness.ended(run(1, 1)), Some(RunEnd::Gone));
}

/// Returns the next list call, which is sent when the present one times out.
fn harness_list_call(harness: &mut Harness) -> (u64, Call) {
    for _ in 0..20 {
        let list = harness.last_call(|call| matches!(call, Call::List { .. }));
        if let Some(list) = list {
            return list;
        }
        harness.advance(10 * MS);
    }
    panic!("no list call is sent");
}
