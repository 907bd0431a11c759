//! Faults in the middle of a burst: who is served while entries know less of one another.

#[path = "support/crowd.rs"]
mod crowd;

use std::time::Duration;

use crowd::{Crowd, Kind, Outcome, of, share};

const SECOND: Duration = Duration::from_secs(1);
const SERVED: [Outcome; 2] = [Outcome::InAim, Outcome::Late];
const BOTH: [bool; 2] = [true, true];
/// A second in the middle of a play, after the fault.
const AFTER: Duration = Duration::from_secs(15);

const USUAL: Kind = Kind {
    queue: "usual",
    priority: 0,
    per_s: 33.0,
    tasks: 8,
    run_ms: 50.0,
};

/// A queue that asks for five times the room of the pool.
const GREEDY: Kind = Kind {
    queue: "greedy",
    priority: 1,
    per_s: 1000.0,
    tasks: 2,
    run_ms: 170.0,
};

/// Plays the load of a greedy queue through two entries for two seconds.
fn start(seed: u64) -> Crowd {
    let mut crowd = Crowd::new(seed, 2, 10, &[USUAL, GREEDY]);
    crowd.set_peer_delay(Duration::from_millis(100));
    crowd.play(2 * SECOND, &[USUAL, GREEDY], &BOTH);
    crowd
}

/// Checks that the usual queue is served from `from` on for a second, and that the greedy one gets
/// the rest: at least three quarters of it, by the work done.
fn check(crowd: &Crowd, from: Duration) {
    let sent = crowd.sent_in(from, SECOND);
    let usual = share(&of(&sent, "usual"), &SERVED);
    assert!(usual >= 0.9, "{usual} of the usual queue served");
    let work = |queue| {
        of(&sent, queue)
            .iter()
            .filter(|job| job.is_served())
            .map(|job| job.work)
            .sum::<f64>()
    };
    let room = 160_000.0 - work("usual");
    let greedy = work("greedy");
    assert!(
        greedy >= 0.75 * room,
        "{greedy} of {room} core-milliseconds used"
    );
}

/// Guards against the share of a killed entry that stays unused, and against a new one without any.
#[test]
fn the_share_of_a_killed_entry_goes_to_the_others_and_comes_back() {
    for seed in 1..=4 {
        let mut crowd = start(seed);
        crowd.restart(1, &[USUAL, GREEDY]);
        crowd.play(4 * SECOND, &[USUAL, GREEDY], &[true, false]);
        check(&crowd, Duration::from_secs(14));
        crowd.play(3 * SECOND, &[USUAL, GREEDY], &BOTH);
        check(&crowd, Duration::from_secs(17));
    }
}

/// Guards against entries that each take the whole pool for their own when they do not hear of one
/// another.
#[test]
fn without_reports_for_two_seconds_the_usual_queue_is_served() {
    for seed in 1..=4 {
        let mut crowd = start(seed);
        crowd.loses_report = |now| now >= 12 * SECOND && now < 14 * SECOND;
        crowd.play(5 * SECOND, &[USUAL, GREEDY], &BOTH);
        check(&crowd, Duration::from_secs(13));
        check(&crowd, AFTER);
    }
}

/// Guards against an entry that goes by what it heard before it was frozen.
#[test]
fn an_entry_that_was_frozen_serves_its_share_a_second_after_it_wakes() {
    for seed in 1..=4 {
        let mut crowd = start(seed);
        crowd.play(2 * SECOND, &[USUAL, GREEDY], &[true, false]);
        crowd.play(3 * SECOND, &[USUAL, GREEDY], &BOTH);
        check(&crowd, AFTER);
    }
}

/// Guards against a new queue that gets nothing until the burst ends, against priorities that are
/// kept from an earlier catalogue, and against shares that go on when all queues have one priority.
#[test]
fn a_catalogue_that_changes_in_a_burst_is_obeyed_at_once() {
    let added = Kind {
        queue: "added",
        ..USUAL
    };
    let swapped = [
        Kind {
            priority: 3,
            ..USUAL
        },
        Kind {
            priority: 0,
            ..GREEDY
        },
        added,
    ];
    for seed in 1..=4 {
        let mut crowd = start(seed);
        crowd.set_catalog(&swapped);
        crowd.play(3 * SECOND, &swapped, &BOTH);
        let sent = crowd.sent_in(13 * SECOND, SECOND);
        for queue in ["usual", "added"] {
            let served = share(&of(&sent, queue), &SERVED);
            assert!(served >= 0.9, "{served} of the {queue} queue served");
        }
        let one = swapped.map(|kind| Kind {
            priority: 1,
            ..kind
        });
        crowd.set_catalog(&one);
        crowd.play(SECOND, &one, &BOTH);
        let reports = crowd.reports;
        crowd.play(SECOND, &one, &BOTH);
        assert_eq!(crowd.reports, reports, "load is still reported");
    }
}
