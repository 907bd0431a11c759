//! The speed that an agent learns of its worker from the progress of runs.

#[path = "support/driver.rs"]
mod driver;

use driver::{Harness, MS, run};
use rw_core::pool::driver::{Call, Reply, RunningRow};
use rw_core::pool::job::RunId;
use rw_core::pool::msg::ToEntry;

/// Starts runs with estimates of 100 ms and lets a list each 20 ms state their progress, in percent
/// for each 20 ms, for so many lists.
fn play(gains: &[u8], lists: u32) -> Harness {
    let mut harness = Harness::new();
    let runs: Vec<RunId> = (1..=gains.len() as u64).map(|job| run(job, 1)).collect();
    for run in &runs {
        harness.start_confirmed(*run, 500);
    }
    for number in 1..=lists {
        harness.advance(20 * MS);
        let row = |(run, gain): (&RunId, &u8)| RunningRow {
            run: *run,
            percent: gain * number as u8,
        };
        let reply = Reply::Lists {
            start_time_ms: None,
            running: runs.iter().zip(gains).map(row).collect(),
            is_complete: true,
            ended: Vec::new(),
        };
        let (id, _) = harness
            .last_call(|call| matches!(call, Call::List { .. }))
            .expect("a list call is sent");
        harness.answer(id, reply);
    }
    harness.advance(20 * MS);
    harness
}

/// Returns the pace in the last report to the entry.
fn reported_pace(harness: &Harness) -> f32 {
    let mut reports = harness.sent().into_iter().rev();
    reports
        .find_map(|msg| match msg {
            ToEntry::Capacity(report) => Some(report.pace),
            _ => None,
        })
        .expect("a report is sent")
}

/// Guards against runs that are sent to a worker which has turned slow until some of them end.
#[test]
fn a_worker_that_turns_slow_is_reported_before_a_run_ends() {
    let harness = play(&[3, 4, 3, 5, 3], 6);
    assert!(reported_pace(&harness) > 0.8, "{}", reported_pace(&harness));
    let behind = |msg: &&&ToEntry| matches!(msg, ToEntry::Behind { .. });
    assert!(harness.sent().iter().filter(behind).count() >= 4);
}

/// Guards against a worker that counts as slow since a task on it is long by itself.
#[test]
fn a_long_task_among_others_does_not_make_its_worker_slow() {
    let harness = play(&[18, 2, 20, 18, 19], 4);
    assert!(reported_pace(&harness) < 0.5, "{}", reported_pace(&harness));
}
