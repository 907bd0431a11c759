//! What an agent concludes when it has lost sight of its worker.

#[path = "support/driver.rs"]
mod driver;

use std::time::Duration;

use driver::{Harness, MS, heartbeat, needs, run};
use rw_core::pool::driver::{Action, Call, Heartbeat, HeartbeatState, Reply};
use rw_core::pool::msg::ToAgent;

/// A restarted agent of which the entry claims one run, without a worker.
fn harness_with_claimed_run() -> Harness {
    let mut harness = Harness::without_worker();
    let now = harness.now;
    harness
        .driver
        .entry_up(now, driver::entry(1), &mut harness.out);
    harness.receive(ToAgent::Resume {
        runs: vec![(run(1, 1), needs(1000))],
    });
    harness
}

fn pass_time(harness: &mut Harness, time: Duration) {
    for _ in 0..time.as_millis() / 10 {
        harness.advance(10 * MS);
        harness.driver.on_entry_activity(harness.now, &"e0".into());
    }
}

fn is_settled(harness: &Harness) -> bool {
    harness.ended(run(1, 1)).is_some() || harness.refusal(run(1, 1)).is_some()
}

#[test]
fn a_claimed_run_of_a_restarted_agent_does_not_hang_when_no_worker_is_left() {
    let mut harness = harness_with_claimed_run();
    pass_time(&mut harness, 10_000 * MS);
    assert!(is_settled(&harness), "the lease has expired long ago");
}

#[test]
fn a_claimed_run_does_not_hang_after_a_late_heartbeat_was_denied_and_no_worker_is_left() {
    let mut harness = harness_with_claimed_run();
    receive_heartbeat(&mut harness, 1, 2);
    answer_all(&mut harness, "w2", 2);
    pass_time(&mut harness, 10_000 * MS);
    assert!(is_settled(&harness), "the lease has expired long ago");
}

/// Answers up to 20 calls as the worker that serves the address. It runs nothing.
fn answer_all(harness: &mut Harness, id: &str, start_time_ms: u64) {
    let is_call = |action: &Action| matches!(action, Action::Call(..));
    for _ in 0..20 {
        let Some(index) = harness.out.iter().position(is_call) else {
            return;
        };
        let Action::Call(call_id, call) = harness.out.remove(index) else {
            unreachable!("the action is a call");
        };
        let expected = match &call {
            Call::Identify { worker } => Some(worker),
            _ => harness.driver.worker_id(),
        };
        let reply = match call {
            _ if expected.is_some_and(|expected| &**expected != id) => Reply::OtherWorker,
            Call::Stop { .. } => Reply::Stopped,
            _ => lists_of(start_time_ms),
        };
        harness.answer(call_id, reply);
    }
}

fn lists_of(start_time_ms: u64) -> Reply {
    Reply::Lists {
        start_time_ms: Some(start_time_ms),
        running: Vec::new(),
        is_complete: true,
        ended: Vec::new(),
    }
}

fn receive_heartbeat(harness: &mut Harness, start_time_ms: u64, number: u64) {
    let heartbeat = heartbeat(start_time_ms, number, HeartbeatState::Ready);
    harness
        .driver
        .on_heartbeat(harness.now, heartbeat, &mut harness.out);
}

#[test]
fn a_claimed_run_does_not_hang_after_a_stop_of_it_went_to_a_worker_that_is_gone() {
    let mut harness = harness_with_claimed_run();
    receive_heartbeat(&mut harness, 1, 7);
    for number in 1..=4 {
        for _ in 0..150 {
            pass_time(&mut harness, 10 * MS);
            answer_all(&mut harness, "w2", 2);
        }
        receive_heartbeat(&mut harness, 2, number);
    }
    assert_eq!(harness.driver.worker_id().map(|id| &**id), Some("w2"));
    assert!(is_settled(&harness), "the worker does not run it");
}

#[test]
fn a_successor_of_an_idle_worker_is_followed_although_its_clock_was_set_back() {
    let mut harness = Harness::new();
    receive_heartbeat(&mut harness, 9, 1);
    answer_all(&mut harness, "w9", 9);
    assert_eq!(harness.driver.worker_id().map(|id| &**id), Some("w9"));
    for number in 1..=20 {
        pass_time(&mut harness, 1500 * MS);
        receive_heartbeat(&mut harness, 5, number);
        answer_all(&mut harness, "w5", 5);
    }
    assert_eq!(harness.driver.worker_id().map(|id| &**id), Some("w5"));
}

#[test]
fn the_present_life_of_a_worker_is_followed_within_a_lease_after_a_late_heartbeat_of_a_life_before()
{
    let born = 1_800_000_000_000;
    let hour_before = born - 3_600_000;
    let mut harness = harness_with_claimed_run();
    pass_time(&mut harness, 200 * MS);
    let beat = |start_time_ms| Heartbeat {
        id: "w1".into(),
        ..heartbeat(start_time_ms, 1, HeartbeatState::Ready)
    };
    for start_time_ms in [hour_before, born] {
        let beat = beat(start_time_ms);
        harness
            .driver
            .on_heartbeat(harness.now, beat, &mut harness.out);
    }
    for _ in 0..50 {
        // The present life has seen the token of the agent process before.
        let calls: Vec<u64> = harness
            .take_actions()
            .into_iter()
            .filter_map(|action| match action {
                Action::Call(id, _) => Some(id),
                _ => None,
            })
            .collect();
        let token = |id: &u64| harness.driver.call_target(*id).map(|target| target.token);
        if calls.iter().filter_map(token).any(|token| token >= born) {
            return;
        }
        for id in calls {
            harness.answer(id, Reply::Fenced);
        }
        pass_time(&mut harness, 10 * MS);
    }
    panic!("no call with token {born} in 500 ms");
}
