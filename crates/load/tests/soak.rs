//! Short soak tests with fixed seeds. `rw-load soak` runs longer ones and other seeds.

use std::time::Duration;

use rw_load::soak::Soak;

/// Runs a soak test and asserts that no guarantee was violated and that it exercised the cluster.
fn assert_guarantees_hold(seed: u64) {
    let time = Duration::from_secs(8);
    let trace = true;
    let report = Soak { seed, time, trace }.run().expect("soak test runs");
    assert!(report.violations.is_empty(), "{report:?}");
    assert!(report.whole > 0, "{report:?}");
    assert!(report.reads > 0 && report.changes > 0, "{report:?}");
    let faults: usize = report.faults.values().sum();
    assert!(faults > 0, "{report:?}");
}

#[test]
fn guarantees_hold_under_faults_for_three_seeds() {
    for seed in [2, 7, 48] {
        assert_guarantees_hold(seed);
    }
}
