//! Tasks start only on workers of the pool and with the label that they require, also when a worker is
//! replaced by one of another kind.

#[path = "support/driver.rs"]
mod driver;

use driver::{Harness, MS, heartbeat, lists, run};
use rw_core::pool::driver::{Call, HeartbeatState, Reply};
use rw_core::pool::msg::NotStarted;

/// Has the worker state other labels and another pool in its next heartbeat.
fn change_kind(harness: &mut Harness, number: u64, pool: &str, labels: &[&str]) {
    let mut heartbeat = heartbeat(1, number, HeartbeatState::Ready);
    heartbeat.pool = pool.into();
    heartbeat.labels = labels.iter().copied().map(Into::into).collect();
    harness
        .driver
        .on_heartbeat(harness.now, heartbeat, &mut harness.out);
}

/// Replaces the worker by another one with these labels, which has answered.
fn replace_worker(harness: &mut Harness, labels: &[&str]) {
    let mut heartbeat = heartbeat(2, 1, HeartbeatState::Ready);
    heartbeat.labels = labels.iter().copied().map(Into::into).collect();
    harness
        .driver
        .on_heartbeat(harness.now, heartbeat, &mut harness.out);
    let (id, _) = harness
        .last_call(|call| matches!(call, Call::Identify { .. }))
        .expect("the successor is called");
    let mut reply = lists(&[], &[]);
    if let Reply::Lists { start_time_ms, .. } = &mut reply {
        *start_time_ms = Some(2);
    }
    harness.answer(id, reply);
    harness.advance(10 * MS);
    harness.answer_list(&[], &[]);
    harness.take_actions();
}

/// An entry that stood still sent a task to a worker that had been replaced by one without its label.
#[test]
fn a_task_chosen_for_a_replaced_worker_does_not_start_on_a_successor_without_its_label() {
    let mut harness = Harness::new();
    change_kind(&mut harness, 2, "p", &["b"]);
    harness.take_actions();
    replace_worker(&mut harness, &["a"]);
    harness.start_labelled(run(1, 1), 1000, 0, Some("b"));
    assert_eq!(harness.refusal(run(1, 1)), Some(NotStarted::OtherKind));
    assert!(harness.start_call().is_none());
    harness.start_labelled(run(2, 1), 1000, 0, Some("a"));
    assert!(harness.start_call().is_some());
}

/// As above, for a worker that has come to serve another pool.
#[test]
fn a_task_of_another_pool_does_not_start() {
    let mut harness = Harness::new();
    change_kind(&mut harness, 2, "other", &[]);
    harness.take_actions();
    harness.start(run(1, 1), 1000, 0);
    assert_eq!(harness.refusal(run(1, 1)), Some(NotStarted::OtherKind));
    assert!(harness.start_call().is_none());
}

/// A task that waited for room at the agent must not outlast the label that it was sent for.
#[test]
fn a_queued_task_is_refused_when_its_worker_loses_the_label() {
    let mut harness = Harness::new();
    change_kind(&mut harness, 2, "p", &["b"]);
    harness.start_confirmed(run(1, 1), 4000);
    harness.start_labelled(run(2, 1), 1000, 1000, Some("b"));
    assert_eq!(harness.refusal(run(2, 1)), None);
    change_kind(&mut harness, 3, "p", &["a"]);
    harness.advance(10 * MS);
    assert_eq!(harness.refusal(run(2, 1)), Some(NotStarted::OtherKind));
}
