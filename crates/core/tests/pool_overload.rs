//! Tests of the decisions under overload, one at a time.

use std::time::Duration;

use fastrand::Rng;
use rw_core::ids::Name;
use rw_core::pool::Uptime;
use rw_core::pool::floors::{Floors, SizeClass};
use rw_core::pool::overload::{Candidate, OverloadGate, Room, Share, Tier, Times};
use rw_core::pool::shares::{LoadReport, MAX_ROWS, QueueLoad, Rates, Shares, max_min};

const MS: Duration = Duration::from_millis(1);
const INTERVAL: Duration = Duration::from_millis(200);
const START: Uptime = Duration::from_secs(10);

fn report(asked: u32, waiting: u32) -> LoadReport {
    let row = QueueLoad {
        queue: "q".into(),
        asked_milli: asked,
        sent_milli: asked,
        waiting,
    };
    LoadReport { queues: vec![row] }
}

fn shares(entries: usize) -> Shares {
    let mut shares = Shares::default();
    shares.set_entries(entries, INTERVAL);
    shares
}

fn asked(shares: &Shares, now: Uptime) -> f64 {
    shares
        .others(now)
        .get("q")
        .map_or(0.0, |demand| demand.asked)
}

/// Guards against an order that changes back and forth while the wait is near the limit.
#[test]
fn overload_ends_only_after_a_calm_time() {
    let mut gate = OverloadGate::default();
    let mut changes = 0;
    for step in 0..100_u32 {
        let wait = if step % 2 == 0 { 60 * MS } else { 10 * MS };
        changes += u32::from(gate.update(START + 100 * MS * step, wait));
    }
    assert_eq!((changes, gate.is_overloaded()), (1, true));
    let end = START + Duration::from_secs(10);
    gate.refused(end);
    assert!(
        !gate.update(end + 200 * MS, 10 * MS),
        "ended while jobs are refused"
    );
    assert!(gate.update(end + 260 * MS, 10 * MS));
}

/// Guards against shares that waste room or exceed a demand, for any demands and weights.
#[test]
fn shares_are_max_min() {
    let mut rng = Rng::with_seed(1);
    for _ in 0..1000 {
        let count = rng.usize(1..6);
        let claims: Vec<(f64, f64)> = (0..count)
            .map(|_| (0.5 + rng.f64(), rng.f64() * 10.0))
            .collect();
        let capacity = rng.f64() * 30.0;
        let shares = max_min(capacity, &claims);
        let demand: f64 = claims.iter().map(|(_, demand)| demand).sum();
        let sum: f64 = shares.iter().sum();
        assert!(
            (sum - capacity.min(demand)).abs() < 1e-6,
            "{claims:?} {shares:?}"
        );
        let levels = shares
            .iter()
            .zip(&claims)
            .map(|(share, (weight, _))| share / weight);
        let highest = levels.clone().fold(0.0, f64::max);
        for (level, (share, (_, demand))) in levels.zip(shares.iter().zip(&claims)) {
            assert!(*share <= demand + 1e-9);
            assert!((share - demand).abs() < 1e-6 || (level - highest).abs() < 1e-6);
        }
    }
}

/// Guards against the load of a killed entry, or of one whose reports are lost for two seconds, that
/// counts for ever, and against a single lost report that counts as none.
#[test]
fn an_old_report_counts_less_and_then_not_at_all() {
    let mut shares = shares(2);
    shares.on_report(START, &Name::from("e1"), report(1000, 0));
    assert!((asked(&shares, START + 3 * INTERVAL) - 1000.0).abs() < 1e-6);
    assert!((asked(&shares, START + INTERVAL * 9 / 2) - 500.0).abs() < 1e-6);
    assert!(asked(&shares, START + 6 * INTERVAL).abs() < 1e-6);
    shares.expire(START + 6 * INTERVAL);
    assert_eq!(shares.heard(START + 6 * INTERVAL).0, 0);
    shares.on_report(START + 2000 * MS, &Name::from("e1"), report(700, 0));
    assert!((asked(&shares, START + 2000 * MS) - 700.0).abs() < 1e-6);
}

/// Guards against an entry that takes the whole pool for its own when it is new, cut off, or wakes
/// after it was frozen.
#[test]
fn an_entry_that_hears_nothing_keeps_its_part() {
    let (mut shares, pool) = (shares(4), Name::from("p"));
    assert!(
        (shares.part(START, &pool, 500.0, 0.0) - 0.25).abs() < 1e-6,
        "new"
    );
    shares.on_report(START, &Name::from("e1"), report(1500, 0));
    assert!((shares.part(START, &pool, 500.0, 1500.0) - 0.25).abs() < 1e-6);
    shares.on_report(START, &Name::from("e2"), report(3000, 0));
    assert!((shares.part(START, &pool, 500.0, 4500.0) - 0.1).abs() < 1e-6);
    let later = START + Duration::from_secs(5);
    shares.expire(later);
    assert!(
        (shares.part(later, &pool, 500.0, 0.0) - 0.1).abs() < 1e-6,
        "cut off or frozen"
    );
}

/// Guards against reports while nothing waits anywhere, and against unbounded ones.
#[test]
fn load_is_reported_at_intervals_while_work_waits() {
    let mut shares = shares(2);
    assert!(!shares.is_report_due(START, false));
    assert!(shares.is_report_due(START, true));
    assert!(!shares.is_report_due(START + 50 * MS, true));
    assert!(shares.is_report_due(START + INTERVAL, false));
    assert!(!shares.is_report_due(START + 5 * INTERVAL, false));
    let later = START + 10 * INTERVAL;
    shares.on_report(later, &Name::from("e1"), report(1000, 5));
    assert!(
        shares.is_report_due(later, false),
        "work waits at another entry"
    );
    let row = |i: u32| QueueLoad {
        asked_milli: i,
        ..report(0, 0).queues[0].clone()
    };
    let long = LoadReport {
        queues: (0..100).map(row).collect(),
    };
    let short = long.within_limits();
    assert_eq!(short.queues.len(), MAX_ROWS);
    assert!(short.queues.iter().all(|row| row.asked_milli >= 84));
}

fn candidate(share: Share, work: f64, priority: u32) -> Candidate {
    Candidate {
        share,
        is_owed: false,
        work,
        priority,
        waited: Duration::ZERO,
        slack: 100 * MS,
        latest_start: START + 100 * MS,
    }
}

/// Guards against a greedy queue whose jobs go before those of others, and against an order of its
/// jobs that serves fewer callers or starves a priority.
#[test]
fn jobs_above_the_share_go_last_by_size_then_priority() {
    let within = candidate(Share::Within, 9000.0, 5);
    let small = candidate(Share::Above, 100.0, 3);
    let urgent = candidate(Share::Above, 300.0, 1);
    let other = candidate(Share::Above, 400.0, 2);
    let large = candidate(Share::Above, 900.0, 0);
    let ranks = [within, small, urgent, other, large].map(|job| job.rank());
    assert!(ranks.is_sorted(), "{ranks:?}");
    let aged = Candidate {
        waited: 900 * MS,
        ..other
    };
    assert!(
        aged.rank() < urgent.rank(),
        "waiting does not raise the priority"
    );
    let owed = Candidate {
        is_owed: true,
        ..large
    };
    assert!(
        owed.rank() < small.rank(),
        "a job below its floor goes by its size"
    );
    let first = Candidate {
        is_owed: true,
        ..candidate(Share::Whole, 9000.0, 5)
    };
    assert!(first.rank().0 < Tier::InTime);
}

/// Guards against a refusal of a job whose turn may come in time, whatever waits behind it, and
/// against keeping one that nobody will reach.
#[test]
fn a_job_is_hopeless_by_what_is_before_it() {
    let room = Room {
        rate: 1000.0,
        asked: 2000.0,
        in_time: 500.0,
    };
    let times = Times {
        slack: 100 * MS,
        useful: 500 * MS,
    };
    assert_eq!(room.too_late(120.0, times), None);
    assert!(
        room.too_late(400.0, times).is_some(),
        "others take all room that comes free"
    );
    let calm = Room { asked: 0.0, ..room };
    assert_eq!(calm.too_late(400.0, times), None, "late, but still of use");
    assert!(calm.too_late(800.0, times).is_some());
    let late = Times {
        slack: Duration::ZERO,
        ..times
    };
    assert!(room.too_late(10.0, late).is_some());
}

/// Guards against an order by size that refuses all large jobs, and against a queue that is served
/// far less often than the others.
#[test]
fn sizes_and_queues_below_their_floor_are_owed() {
    let (mut floors, queue) = (Floors::default(), Name::from("q"));
    let mut classes = Vec::new();
    for i in 0..200_u32 {
        classes.push(floors.arrived(&queue, f64::from(i * 37 % 100)));
    }
    for (class, least, most) in [(SizeClass::Largest, 12, 24), (SizeClass::Large, 30, 46)] {
        let count = classes.iter().filter(|other| **other == class).count();
        assert!((least..=most).contains(&count), "{class:?}: {count}");
    }
    for _ in 0..10 {
        floors.begun(START, &queue, SizeClass::Small);
        floors.lost(START, &queue, SizeClass::Largest);
    }
    assert!(floors.is_size_owed(&queue, SizeClass::Largest));
    assert!(!floors.is_size_owed(&queue, SizeClass::Large));
    for _ in 0..10 {
        floors.begun(START, &queue, SizeClass::Largest);
    }
    assert!(!floors.is_size_owed(&queue, SizeClass::Largest));
    assert!(!floors.is_queue_owed(&queue));
    floors.begun(START, &Name::from("other"), SizeClass::Small);
    for _ in 0..40 {
        floors.lost(START, &queue, SizeClass::Small);
    }
    assert!(floors.is_queue_owed(&queue));
    floors.retain(|name| &**name != "other");
    assert!(
        !floors.is_queue_owed(&queue),
        "a queue that was removed still counts"
    );
}

/// Guards against work of long ago that counts as load.
#[test]
fn rates_decay() {
    let (mut rates, queue) = (Rates::default(), Name::from("q"));
    rates.add(START, &queue, 1000.0);
    rates.decay(START + Duration::from_secs(1));
    assert!((rates.of(&queue) - 367.9).abs() < 1.0);
    rates.decay(START + Duration::from_secs(20));
    assert_eq!(rates.queues(), 0);
}
