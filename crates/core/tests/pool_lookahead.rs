//! What the reservation of room for large waiting tasks changes for callers, on seeded mixes of
//! sizes.

#[path = "support/mix.rs"]
mod mix;

use std::time::Duration;

use mix::{Mix, Outcome, play, quantile};

const MS: Duration = Duration::from_millis(1);

fn mix(load: f64) -> Mix {
    Mix {
        seed: 0,
        entries: 1,
        load,
        max_delay: MS,
        arrivals: Duration::from_secs(60),
        reserves: true,
        equal: false,
    }
}

/// Seeds whose times are put together.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Plays a mix without and with reservations, over all seeds.
fn both(mix: Mix) -> (Outcome, Outcome) {
    let (mut before, mut after) = (Outcome::default(), Outcome::default());
    for seed in SEEDS {
        let mix = Mix { seed, ..mix };
        before.add(play(Mix {
            reserves: false,
            ..mix
        }));
        after.add(play(mix));
    }
    (before, after)
}

fn show(name: &str, o: &Outcome) {
    println!(
        "{name}: large {} p50 {:?} p99 {:?} max {:?}; small wait p50 {:?} p99 {:?}; small p50 {:?} p99 {:?}; work {:.0}, failed {}, refused {}, reservations {}, forecasts {}, ends {:?}",
        o.large_waits.len(),
        quantile(&o.large_waits, 0.5),
        quantile(&o.large_waits, 0.99),
        quantile(&o.large_waits, 1.0),
        quantile(&o.small_waits, 0.5),
        quantile(&o.small_waits, 0.99),
        quantile(&o.small_times, 0.5),
        quantile(&o.small_times, 0.99),
        o.work,
        o.failed,
        o.refused,
        o.reservations,
        o.forecasts,
        o.ends
    );
}

/// Checks that large jobs wait at most half as long and that small ones are served as well.
fn check_halved(mix: Mix) {
    let (before, after) = both(mix);
    show("before", &before);
    show("after", &after);
    for q in [0.5, 0.99] {
        let (old, new) = (
            quantile(&before.large_waits, q),
            quantile(&after.large_waits, q),
        );
        assert!(
            new <= old / 2,
            "large, {q}: {old:?} became {new:?}, {mix:?}"
        );
    }
    check_others(mix, &before, &after);
}

/// Checks the times of small jobs, and the work done.
fn check_others(mix: Mix, before: &Outcome, after: &Outcome) {
    let (old, new) = (
        quantile(&before.small_times, 0.99),
        quantile(&after.small_times, 0.99),
    );
    assert!(
        new <= old.mul_f64(1.1),
        "small, p99: {old:?} became {new:?}, {mix:?}"
    );
    check_work(mix, before, after);
}

/// Checks the work done. The order of work changes what is cut off at the end of the arrivals, which
/// is below a thousandth.
fn check_work(mix: Mix, before: &Outcome, after: &Outcome) {
    let (old, new) = (before.work, after.work);
    assert!(new >= old * 0.999, "work: {old} became {new}, {mix:?}");
    assert_eq!(after.failed, 0, "{mix:?}");
}

/// Guards against large jobs that wait for gaps that small ones fill.
#[test]
fn large_jobs_wait_half_as_long_at_85_percent() {
    check_halved(mix(0.85));
}

/// As above, with two entries that learn late of freed room.
#[test]
fn large_jobs_of_two_entries_wait_half_as_long_with_late_reports() {
    check_halved(Mix {
        entries: 2,
        max_delay: 20 * MS,
        ..mix(0.85)
    });
}

/// Guards against reservations that cost room where there is enough.
#[test]
fn no_job_waits_longer_at_70_percent() {
    let mix = mix(0.7);
    let (before, after) = both(mix);
    show("before", &before);
    show("after", &after);
    for q in [0.5, 0.99] {
        assert!(quantile(&after.large_waits, q) <= quantile(&before.large_waits, q));
    }
    check_others(mix, &before, &after);
}

/// Guards against large jobs that never find room in a nearly full pool, and against work lost to
/// room that stands idle for them.
#[test]
fn no_large_job_starves_at_95_percent() {
    for entries in [1, 2] {
        let mix = Mix {
            entries,
            ..mix(0.95)
        };
        let (before, after) = both(mix);
        show("before", &before);
        show("after", &after);
        let longest = quantile(&after.large_waits, 1.0);
        let small = quantile(&after.small_waits, 1.0);
        assert!(
            longest <= small * 2,
            "a large job waited for {longest:?}, small ones at most {small:?}"
        );
        assert!(longest <= quantile(&before.large_waits, 1.0), "{longest:?}");
        check_work(mix, &before, &after);
    }
}

/// Guards against a change where all tasks need the same.
#[test]
fn nothing_changes_where_tasks_are_equal() {
    let mix = Mix {
        equal: true,
        arrivals: Duration::from_secs(20),
        ..mix(0.95)
    };
    let (before, after) = both(mix);
    assert_eq!(after.small_times, before.small_times);
    assert_eq!((after.reservations, after.forecasts), (0, 0));
}
