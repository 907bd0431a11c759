//! Short soaks with fixed seeds. Longer ones and fresh seeds: `rw-load soak`.

use std::time::Duration;

use rw_load::soak::Soak;

fn holds(seed: u64) {
    let time = Duration::from_secs(8);
    let trace = true;
    let report = Soak { seed, time, trace }.run().expect("the soak runs");
    assert!(report.violations.is_empty(), "{report:?}");
    assert!(report.whole > 0, "{report:?}");
    assert!(report.reads > 0 && report.changes > 0, "{report:?}");
    let faults: usize = report.faults.values().sum();
    assert!(faults > 0, "{report:?}");
}

#[test]
fn promises_hold_under_faults_of_three_seeds() {
    for seed in [2, 7, 48] {
        holds(seed);
    }
}
