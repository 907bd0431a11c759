//! Deadlines and leases by a worker's clock, which may be 2% slow.

#[path = "support/driver.rs"]
mod driver;

use std::time::Duration;

use driver::{Harness, MS, heartbeat, lists, run};
use rw_core::pool::driver::{Call, Driver, HeartbeatState};

/// The longest lease that a start may ask for, in milliseconds.
const LEASE_MS: u64 = 500;

/// Returns the deadline on the worker's clock of the start that was sent last.
fn start_deadline(harness: &Harness) -> u64 {
    match harness.start_call() {
        Some((_, Call::Start { deadline_ms, .. })) => deadline_ms,
        other => panic!("no start call is sent: {other:?}"),
    }
}

/// Returns a harness after so long without work, and the clock of a worker of this speed. Each
/// heartbeat arrives `delay` after it was sent.
fn idle(seconds: u64, speed: f64, heartbeats: bool, delay: Duration) -> (Harness, u64) {
    let mut harness = Harness::new();
    let began = harness.now;
    let clock = |time: Duration| 50_000 + (time.as_secs_f64() * 1000.0 * speed) as u64;
    for tick in 1..=seconds * 10 {
        harness.driver.on_entry_activity(harness.now, &"e0".into());
        harness.advance(100 * MS);
        if heartbeats && tick % 15 == 0 {
            let mut beat = heartbeat(1, 1 + tick, HeartbeatState::Ready);
            let sent = harness.now.saturating_sub(began).saturating_sub(delay);
            beat.clock_ms = Some(clock(sent));
            harness
                .driver
                .on_heartbeat(harness.now, beat, &mut harness.out);
        }
    }
    harness.take_actions();
    let now = clock(harness.now.saturating_sub(began));
    (harness, now)
}

#[test]
fn a_start_after_a_pause_asks_a_slow_worker_for_no_longer_lease() {
    for heartbeats in [false, true] {
        for seconds in [8, 25, 3600] {
            let (mut harness, clock) = idle(seconds, 0.98, heartbeats, Duration::ZERO);
            harness.start(run(1, 1), 1000, 0);
            let deadline = start_deadline(&harness);
            assert!(
                deadline <= clock + LEASE_MS,
                "{seconds} s, heartbeats {heartbeats}: {} ms ahead",
                deadline - clock
            );
        }
    }
}

#[test]
fn a_start_after_a_long_pause_is_not_late_by_the_clock_of_the_worker() {
    for speed in [0.98, 1.0] {
        let (mut harness, clock) = idle(3600, speed, true, Duration::ZERO);
        harness.start(run(1, 1), 1000, 0);
        let deadline = start_deadline(&harness);
        let range = clock + LEASE_MS - 50..=clock + LEASE_MS;
        assert!(range.contains(&deadline), "{deadline} is not in {range:?}");
    }
}

#[test]
fn a_late_heartbeat_does_not_set_the_clock_back() {
    let (mut harness, clock) = idle(30, 1.0, true, Duration::from_secs(1));
    harness.start(run(1, 1), 1000, 0);
    let deadline = start_deadline(&harness);
    assert!(deadline + 650 >= clock + LEASE_MS, "{deadline} at {clock}");
}

#[test]
fn a_heartbeat_with_a_clock_far_ahead_gives_no_longer_lease() {
    for clock_ms in [60_000, u64::MAX] {
        let mut harness = Harness::new();
        harness.advance(100 * MS);
        let mut beat = heartbeat(1, 2, HeartbeatState::Ready);
        beat.clock_ms = Some(clock_ms);
        harness
            .driver
            .on_heartbeat(harness.now, beat, &mut harness.out);
        harness.start(run(1, 1), 1000, 0);
        let deadline = start_deadline(&harness);
        assert!(deadline <= 50_100 + LEASE_MS, "{deadline}");
    }
}

#[test]
fn a_lease_is_not_assured_by_an_answer_that_was_long_on_its_way() {
    let mut harness = Harness::new();
    harness.driver = Driver::new(harness.now, 300 * MS);
    let beat = heartbeat(1, 1, HeartbeatState::Ready);
    harness
        .driver
        .on_heartbeat(harness.now, beat, &mut harness.out);
    harness.answer_list(&[], &[]);
    harness
        .driver
        .entry_up(harness.now, driver::entry(1), &mut harness.out);
    harness.start_confirmed(run(9, 1), 1000);
    let (list, _) = harness
        .last_call(|call| matches!(call, Call::List { .. }))
        .expect("a list call is sent");
    harness.advance(60 * MS);
    harness.answer(list, lists(&[run(9, 1)], &[]));
    harness.take_actions();
    harness.start(run(1, 1), 1000, 0);
    // The worker's clock is 50,060, and the lease that the list has renewed ends at 50,300.
    let deadline = start_deadline(&harness);
    assert!(deadline >= 50_300, "a short window: {deadline}");
}
