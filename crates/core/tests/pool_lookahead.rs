//! What the reservation of room for large waiting tasks changes for callers, on seeded mixes of
//! sizes.

#[path = "support/mix.rs"]
mod mix;

use std::time::Duration;

use mix::{Mix, Outcome, play, quantile};

const MS: Duration = Duration::from_millis(1);

fn mix(seed: u64, load: f64) -> Mix {
    Mix {
        seed,
        entries: 1,
        load,
        max_delay: MS,
        arrivals: Duration::from_secs(60),
        reserves: true,
        equal: false,
    }
}

/// Plays a mix without and with reservations.
fn both(mix: Mix) -> (Outcome, Outcome) {
    let before = play(Mix {
        reserves: false,
        ..mix
    });
    (before, play(mix))
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

#[test]
fn trial() {
    for load in [0.7, 0.85, 0.95] {
        let (before, after) = both(mix(1, load));
        show(&format!("{load} before"), &before);
        show(&format!("{load} after"), &after);
    }
}
