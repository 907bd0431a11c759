//! Tests of what the agent's driver reports to entries: free capacity without delay, and the fate of
//! queued runs.

#[path = "support/driver.rs"]
mod driver;

use driver::{Harness, MS, entry, run};
use rw_core::ids::{Name, NodeRef};
use rw_core::pool::driver::Action;
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

/// Guards against room that stays promised to an entry that is gone, frozen or cut off.
#[test]
fn the_promise_of_a_lost_entry_passes_to_another_that_waits() {
    let promised_to = |harness: &Harness, name: &str| {
        harness.out.iter().rev().find_map(|action| match action {
            Action::Send(to, ToEntry::Capacity(report)) if &**to == name => {
                Some(report.promised.cpu_milli)
            }
            _ => None,
        })
    };
    for link_ends in [true, false] {
        let mut harness = Harness::new();
        let other: Name = "e1".into();
        let node = NodeRef {
            name: other.clone(),
            ..entry(1)
        };
        for job in 1..4 {
            harness.start_confirmed(run(job, 1), 1000);
        }
        harness.receive(ToAgent::Waiting { tasks: 1 });
        let now = harness.now;
        harness.driver.entry_up(now, node, &mut harness.out);
        let waiting = ToAgent::Waiting { tasks: 1 };
        harness
            .driver
            .on_entry(now, &other, waiting, &mut harness.out);
        assert_eq!(promised_to(&harness, "e1"), Some(0), "it is promised once");
        if link_ends {
            harness.driver.entry_down(&"e0".into());
            harness.advance(MS);
        } else {
            harness.advance(11 * MS);
        }
        assert_eq!(promised_to(&harness, "e1"), Some(1000), "{link_ends}");
    }
}
