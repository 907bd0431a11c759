//! Heartbeats of another writer among those of the worker: none of them displaces the worker, ends
//! its runs or hides its later heartbeats.

#[path = "support/driver.rs"]
mod driver;

use driver::{Harness, MS, heartbeat, lists, run};
use indexmap::IndexSet;
use rw_core::pool::driver::{Call, Heartbeat, HeartbeatOutcome, HeartbeatState, Reply};
use rw_core::pool::job::RunEnd;
use rw_core::pool::msg::ToEntry;

/// A heartbeat that a writer other than the worker may send, made from a good one.
type Oddity = (&'static str, fn(&mut Heartbeat));

const ODDITIES: [Oddity; 10] = [
    ("a pool that is not configured", |h| {
        h.pool = "elsewhere".into();
    }),
    ("an empty pool", |h| h.pool = "".into()),
    ("a start far in the future", |h| h.start_time_ms = u64::MAX),
    ("a number too large", |h| h.number = u64::MAX),
    ("an empty id", |h| h.id = "".into()),
    ("an id of 10^6 bytes", |h| {
        h.id = "x".repeat(1_000_000).into();
    }),
    ("a pool of 10^6 bytes", |h| {
        h.pool = "x".repeat(1_000_000).into();
    }),
    ("a label of 10^6 bytes", |h| {
        h.labels = vec!["x".repeat(1_000_000).into()];
    }),
    ("10^5 labels", |h| h.labels = vec!["x".into(); 100_000]),
    ("no capacity", |h| h.capacity.cpu_milli = 0),
];

fn harness() -> Harness {
    let mut harness = Harness::new();
    let pools: IndexSet<_> = ["p".into()].into_iter().collect();
    harness.driver.set_pools(pools);
    harness.start_confirmed(run(1, 1), 1000);
    harness.advance(10 * MS);
    harness
}

/// The worker's wall clock in the tests, in Unix milliseconds.
const WALL_MS: u64 = 1_800_000_000_000;

#[test]
fn odd_heartbeats_are_ignored_and_the_worker_is_followed_on() {
    for (what, change) in ODDITIES {
        for (start_time_ms, id) in [(1, "w1"), (2, "other")] {
            let mut harness = harness();
            let mut odd = heartbeat(start_time_ms, 2, HeartbeatState::Ready);
            odd.id = id.into();
            change(&mut odd);
            let outcome =
                harness
                    .driver
                    .on_heartbeat_at(harness.now, WALL_MS, odd, &mut harness.out);
            assert!(
                matches!(outcome, HeartbeatOutcome::Odd(_)),
                "{what}: {outcome:?}"
            );
            assert_eq!(
                harness.ended(run(1, 1)),
                None::<RunEnd>,
                "{what} ended a run"
            );
            assert_eq!(
                harness.driver.worker_id().map(|id| &**id),
                Some("w1"),
                "{what}"
            );
            harness.take_actions();
            let draining = heartbeat(1, 3, HeartbeatState::Draining);
            let outcome =
                harness
                    .driver
                    .on_heartbeat_at(harness.now, WALL_MS, draining, &mut harness.out);
            assert_eq!(outcome, HeartbeatOutcome::Applied, "after {what}");
            let closed = harness
                .sent()
                .iter()
                .any(|msg| matches!(msg, ToEntry::Capacity(report) if !report.open));
            assert!(
                closed,
                "after {what} the worker's own heartbeats are not followed"
            );
        }
    }
}

#[test]
fn a_worker_of_a_pool_that_is_not_configured_gives_way_to_one_that_is() {
    let mut harness = Harness::new();
    let pools: IndexSet<_> = ["other".into()].into_iter().collect();
    harness.driver.set_pools(pools);
    assert_eq!(harness.driver.worker_id(), None);
    let mut good = heartbeat(0, 1, HeartbeatState::Ready);
    good.pool = "other".into();
    let outcome = harness
        .driver
        .on_heartbeat_at(harness.now, WALL_MS, good, &mut harness.out);
    assert_eq!(outcome, HeartbeatOutcome::Applied);
}

#[test]
fn a_heartbeat_of_another_worker_ends_no_run_before_that_worker_has_answered() {
    for (id, start_time_ms) in [("other", 2), ("w1", 2)] {
        let mut harness = harness();
        let mut other = heartbeat(start_time_ms, 1, HeartbeatState::Ready);
        other.id = id.into();
        harness
            .driver
            .on_heartbeat_at(harness.now, WALL_MS, other, &mut harness.out);
        harness.advance(MS);
        assert_eq!(harness.ended(run(1, 1)), None::<RunEnd>, "{id}");
    }
}

#[test]
fn a_notice_of_shutdown_ends_no_run_whose_lease_may_last() {
    let mut harness = harness();
    harness.driver.on_leave(harness.now, "w1", &mut harness.out);
    harness.advance(MS);
    assert_eq!(harness.ended(run(1, 1)), None::<RunEnd>);
}

#[test]
fn a_run_that_the_first_list_of_a_restarted_worker_shows_has_not_ended() {
    let mut harness = Harness::new();
    // The restart is not known yet; the new life has the same id and executes the start.
    harness.start_confirmed(run(1, 1), 1000);
    let (list, _) = harness
        .last_call(|call| matches!(call, Call::List { .. }))
        .expect("a list call is sent");
    let mut reply = lists(&[run(1, 1)], &[]);
    if let Reply::Lists { start_time_ms, .. } = &mut reply {
        *start_time_ms = Some(2);
    }
    harness.answer(list, reply);
    assert_eq!(harness.ended(run(1, 1)), None::<RunEnd>);
}
