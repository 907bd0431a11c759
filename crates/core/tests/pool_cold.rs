//! Workers that are slow for a time after their start, as agents report and entries use them.

#[path = "support/driver.rs"]
mod driver;

use std::time::Duration;

use driver::{Harness, MS, heartbeat, run};
use fastrand::Rng;
use rw_core::ids::Name;
use rw_core::pool::Uptime;
use rw_core::pool::driver::{Heartbeat, HeartbeatState};
use rw_core::pool::fleet::{Fleet, Need};
use rw_core::pool::job::{Resources, RunEnd, Step};
use rw_core::pool::msg::{CapacityReport, Cold, ToEntry, WorkerInfo};

const NOW: Uptime = Duration::from_secs(10);
const CAPACITY: Resources = Resources {
    cpu_milli: 4000,
    memory_mb: 100,
    accelerators: 0,
};

/// Returns what an entry knows of workers that are idle and warm.
fn fleet(names: &[&str]) -> Fleet {
    let mut fleet = Fleet::default();
    for name in names {
        let name = Name::from(*name);
        fleet.link_up(NOW, &name);
        let info = WorkerInfo {
            pool: Some("p".into()),
            capacity: CAPACITY,
            labels: Vec::new(),
        };
        fleet.on_info(&name, info);
        let report = CapacityReport {
            open: true,
            free: CAPACITY,
            ..CapacityReport::default()
        };
        fleet.on_capacity_report(NOW, &name, report);
    }
    fleet
}

fn cold(left_ms: u32) -> Cold {
    Cold {
        left_ms,
        factor: 2.5,
    }
}

/// Chooses a worker for a task of 100 ms that needs a quarter of one.
fn choose(fleet: &Fleet, now: Uptime, in_time: Option<Duration>) -> Option<(Name, Duration)> {
    let step = Step {
        count: 1,
        needs: Resources {
            cpu_milli: 1000,
            memory_mb: 1,
            accelerators: 0,
        },
        estimate: 100 * MS,
        ..Step::default()
    };
    let pool = Name::from("p");
    let need = Need {
        pool: &pool,
        step: &step,
        in_time,
        announced: false,
    };
    let choice = fleet.choose(now, need, |_| true, &mut Rng::with_seed(1))?;
    Some((choice.worker, choice.expected))
}

/// Guards against a herd to the workers that have just started, which are the emptiest.
#[test]
fn a_cold_worker_is_chosen_after_warm_ones_and_not_for_tasks_that_it_would_delay() {
    let mut fleet = fleet(&["cold", "warm"]);
    fleet.on_cold(NOW, &"cold".into(), cold(5000));
    for _ in 0..4 {
        let chosen = choose(&fleet, NOW, None);
        assert_eq!(chosen, Some(("warm".into(), 100 * MS)));
        fleet.start_sent(
            NOW,
            &"warm".into(),
            Resources {
                cpu_milli: 1000,
                ..CAPACITY.minus(CAPACITY)
            },
        );
    }
    assert_eq!(
        choose(&fleet, NOW, Some(200 * MS)),
        None,
        "250 ms are expected"
    );
    assert_eq!(choose(&fleet, NOW, None), Some(("cold".into(), 250 * MS)));
}

/// Guards against fast workers that count as no faster than estimated, cold or not.
#[test]
fn a_warm_worker_keeps_its_learned_pace() {
    let mut fleet = fleet(&["fast"]);
    let report = CapacityReport {
        open: true,
        free: CAPACITY,
        pace: -0.7,
        ..CapacityReport::default()
    };
    fleet.on_capacity_report(NOW, &"fast".into(), report);
    let chosen = choose(&fleet, NOW, Some(60 * MS));
    assert!(chosen.is_some_and(|(_, expected)| expected < 60 * MS));
}

/// Guards against a cold worker that is filled before it has completed anything.
#[test]
fn a_cold_worker_gets_one_run_more_with_each_that_it_has_completed() {
    let mut fleet = fleet(&["cold"]);
    let name = Name::from("cold");
    fleet.on_cold(NOW, &name, cold(5000));
    fleet.start_sent(NOW, &name, Resources::default());
    assert_eq!(choose(&fleet, NOW, None), None);
    fleet.run_ended(&name);
    fleet.run_completed(NOW, &name);
    fleet.on_cold(NOW, &name, cold(4000));
    fleet.start_sent(NOW, &name, Resources::default());
    assert!(choose(&fleet, NOW, None).is_some(), "two at a time now");
    fleet.start_sent(NOW, &name, Resources::default());
    assert_eq!(choose(&fleet, NOW, None), None);
}

/// Guards against a worker that stays slow in the books after its time, without further word.
#[test]
fn a_worker_counts_as_warm_once_its_time_is_over() {
    let mut fleet = fleet(&["cold"]);
    fleet.on_cold(NOW, &"cold".into(), cold(5000));
    fleet.start_sent(NOW, &"cold".into(), Resources::default());
    let later = NOW + 5000 * MS;
    assert_eq!(
        choose(&fleet, later, Some(200 * MS)),
        Some(("cold".into(), 100 * MS))
    );
}

fn beat(number: u64, cold_left: Duration) -> Heartbeat {
    Heartbeat {
        cold_left,
        ..heartbeat(1, number, HeartbeatState::Ready)
    }
}

fn cold_sent(agent: &Harness) -> Vec<Cold> {
    let cold = |msg: &&ToEntry| match msg {
        ToEntry::Cold(cold) => Some(*cold),
        _ => None,
    };
    agent.sent().iter().filter_map(cold).collect()
}

fn hear(agent: &mut Harness, beat: Heartbeat) {
    agent.driver.on_heartbeat(agent.now, beat, &mut agent.out);
}

/// Guards against entries that are not told, or told again with each heartbeat.
#[test]
fn an_agent_tells_entries_once_for_how_long_its_worker_is_cold() {
    let mut agent = Harness::new();
    agent.driver.set_cold_factor(2.5);
    hear(&mut agent, beat(2, 5000 * MS));
    assert_eq!(cold_sent(&agent), [cold(5000)]);
    agent.take_actions();
    agent.advance(500 * MS);
    hear(&mut agent, beat(3, 4600 * MS));
    assert_eq!(cold_sent(&agent), []);
    hear(&mut agent, beat(4, Duration::ZERO));
    assert_eq!(cold_sent(&agent), [cold(0)]);
}

/// Guards against a worker that counts as slow after it was cold, since its runs were slow then.
#[test]
fn the_pace_of_a_cold_worker_is_forgotten_once_it_is_warm() {
    let mut agent = Harness::new();
    hear(&mut agent, beat(2, 1000 * MS));
    for i in 1..6 {
        agent.start_confirmed(run(i, 1), 100);
        agent.now += 180 * MS;
        agent.answer_list(&[], &[(i, run(i, 1), RunEnd::Done)]);
    }
    let pace = |agent: &Harness| {
        agent.sent().iter().rev().find_map(|msg| match msg {
            ToEntry::Capacity(report) => Some(report.pace),
            _ => None,
        })
    };
    agent.advance(30 * MS);
    assert!(
        pace(&agent).is_some_and(|pace| pace > 0.3),
        "{:?}",
        pace(&agent)
    );
    agent.take_actions();
    agent.advance(100 * MS);
    assert_eq!(pace(&agent), Some(0.0));
}
