//! Tests of what the agent's driver reports to entries: free capacity without delay, and the fate of
//! queued runs.

#[path = "support/driver.rs"]
mod driver;

use driver::{Harness, MS, run};
use rw_core::pool::job::RunEnd;
use rw_core::pool::msg::{NotStarted, ToAgent, ToEntry};

fn reported_free_cpu(harness: &Harness) -> Option<u32> {
    harness.sent().into_iter().rev().find_map(|msg| match msg {
        ToEntry::Capacity(report) => Some(report.free.cpu_milli),
        _ => None,
    })
}

#[test]
fn an_agent_that_becomes_idle_reports_its_free_capacity_within_30_ms() {
    let mut harness = Harness::new();
    harness.start_confirmed(run(1, 1), 3000);
    harness.advance(30 * MS);
    assert_eq!(reported_free_cpu(&harness), Some(1000));
    harness.start_confirmed(run(2, 1), 500);
    harness.now += 5 * MS;
    harness.answer_list(
        &[],
        &[(1, run(1, 1), RunEnd::Done), (2, run(2, 1), RunEnd::Done)],
    );
    let ended_at = harness.now;
    // Only the driver's own request decides when it is called next.
    while reported_free_cpu(&harness) != Some(4000) {
        harness.now += harness.driver.next_tick(harness.now).max(MS);
        harness.driver.tick(harness.now, &mut harness.out);
    }
    let took = harness.now.saturating_sub(ended_at);
    assert!(took <= 30 * MS, "reported after {took:?}");
}

#[test]
fn a_queued_run_that_is_stopped_ends_without_a_report_of_no_room() {
    let mut harness = Harness::new();
    harness.start_confirmed(run(1, 1), 3000);
    harness.start(run(2, 1), 1500, 60);
    harness.take_actions();
    harness.receive(ToAgent::Stop { run: run(2, 1) });
    assert_eq!(harness.refusal(run(2, 1)), None::<NotStarted>);
    assert_eq!(harness.ended(run(2, 1)), Some(RunEnd::Gone));
}
