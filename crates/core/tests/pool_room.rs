//! Room of workers under a load that several entries share: promises of agents, and room of further
//! workers.

#[path = "support/rush.rs"]
mod rush;

use std::time::Duration;

use fastrand::Rng;
use rush::{Counts, Kind, MS, Rush};
use rw_core::ids::Name;
use rw_core::pool::Uptime;
use rw_core::pool::job::Resources;
use rw_core::pool::room::Promises;

/// Jobs of 8 short, 4 long and 2 middling tasks of 2.6 cores, on workers with room for 12 tasks. At
/// 1.0 they use 72% of 54 workers.
const MIX: [Kind; 3] = [
    (8, 2600, Duration::from_millis(60), 23.0),
    (4, 2600, Duration::from_millis(900), 4.2),
    (2, 2600, Duration::from_millis(200), 67.0),
];
const SECOND: Duration = Duration::from_secs(1);
/// Time to the aim beyond the run time.
const AIM: Duration = Duration::from_millis(60);
/// Most starts, as a share, that may be refused for lack of room.
const CALM_LIMIT: f64 = 0.01;
const RUSH_LIMIT: f64 = 0.05;

/// Plays a load on 9 entries and 54 agents of 4 domains with four seeds, and counts after the first
/// second.
fn play<F>(factor: F) -> Counts
where
    F: Fn(usize) -> f64,
{
    let mut counts = Counts::default();
    for seed in 1..5 {
        let mut rush = Rush::new(seed, 9, 54, 4);
        rush.play(SECOND, &MIX, &factor);
        rush.take_counts();
        rush.play(SECOND, &MIX, &factor);
        counts.add(&rush.take_counts());
    }
    counts
}

fn assert_rejected(counts: &Counts, limit: f64) {
    assert!(counts.starts > 1000, "{counts:?}");
    assert!(counts.rejected_share() <= limit, "{counts:?}");
}

/// Guards against entries that race for the same room while there is plenty.
#[test]
fn in_calm_at_most_one_start_in_a_hundred_finds_no_room() {
    for load in [0.6, 0.75, 0.9] {
        let counts = play(|_| load);
        assert_rejected(&counts, CALM_LIMIT);
        assert!(counts.mean_until_start() < 3 * MS, "{counts:?}");
        assert_eq!(counts.not_run, 0, "{counts:?}");
    }
}

/// Guards against entries that race for the same room when it is scarce, and against promises that
/// keep it from those who need it.
#[test]
fn in_a_rush_at_most_five_starts_in_a_hundred_find_no_room() {
    for (load, wait) in [(1.15, AIM / 10), (1.3, AIM / 2), (1.6, 2 * AIM)] {
        let counts = play(|_| load);
        assert_rejected(&counts, RUSH_LIMIT);
        assert!(counts.mean_until_start() < wait, "{counts:?}");
        assert!(load > 1.2 || counts.not_run == 0, "{counts:?}");
    }
}

/// Guards against shares of the size of a large task that keep room from many small ones.
#[test]
fn tasks_of_unequal_size_rarely_find_no_room() {
    let mixed: [Kind; 3] = [
        (4, 800, Duration::from_millis(60), 120.0),
        (1, 14_000, Duration::from_millis(300), 8.0),
        (2, 3200, Duration::from_millis(200), 50.0),
    ];
    for (load, limit) in [(0.8, CALM_LIMIT), (1.5, RUSH_LIMIT)] {
        let mut rush = Rush::new(1, 9, 54, 4);
        rush.play(SECOND, &mixed, |_| load);
        rush.take_counts();
        rush.play(SECOND, &mixed, |_| load);
        let counts = rush.take_counts();
        assert_rejected(&counts, limit);
        assert!(counts.mean_until_start() < AIM / 4, "{counts:?}");
    }
}

/// Guards against domains out of step that cannot use one another's room.
#[test]
fn a_crest_in_two_domains_is_served_while_the_others_are_in_a_trough() {
    let counts = play(|e| 1.0 + 0.55 * [0.9, 1.0, -0.95, -0.95][e % 4]);
    assert_rejected(&counts, RUSH_LIMIT);
    assert_eq!(
        (counts.not_run, counts.completed),
        (0, counts.in_aim),
        "{counts:?}"
    );
}

/// Guards against room of an idle pool that is tied up in promises to others.
#[test]
fn a_sudden_crowd_at_one_entry_gets_the_room_of_idle_workers_within_a_round_trip() {
    let mut rush = Rush::new(1, 9, 54, 4);
    rush.play(SECOND, &MIX, |_| 0.2);
    rush.take_counts();
    for _ in 0..35 {
        rush.submit(0, 8, 2600, 60 * MS);
    }
    rush.play(40 * MS, &[], |_| 0.0);
    let counts = rush.take_counts();
    assert!(counts.begun >= 35 * 8, "{counts:?}");
    assert!(counts.mean_until_start() < 8 * MS, "{counts:?}");
}

/// Guards against a crest that cannot leave its domain while the one next to it is cut off.
#[test]
fn demand_of_a_domain_doubles_while_another_is_cut_off() {
    let mut rush = Rush::new(5, 9, 54, 4);
    rush.play(SECOND, &MIX, |_| 0.7);
    for a in rush.agents_in(1) {
        rush.cut_agent(a);
    }
    rush.frozen.0 = vec![1, 5];
    rush.take_counts();
    rush.play(SECOND, &MIX, |e| if e % 4 == 0 { 1.4 } else { 0.7 });
    // What ran on the lost workers starts again only when its lease has surely expired.
    rush.play(SECOND, &MIX, |e| if e % 4 == 0 { 1.4 } else { 0.7 });
    rush.take_counts();
    rush.play(SECOND, &MIX, |e| if e % 4 == 0 { 1.4 } else { 0.7 });
    let counts = rush.take_counts();
    assert_rejected(&counts, RUSH_LIMIT);
    assert!(counts.in_aim * 100 >= counts.completed * 95, "{counts:?}");
    assert_eq!(counts.not_run, 0, "{counts:?}");
}

/// Guards against promises that are lost with a rack.
#[test]
fn a_rack_is_lost_under_load() {
    let mut rush = Rush::new(6, 9, 54, 4);
    rush.play(SECOND, &MIX, |_| 0.8);
    for a in 0..6 {
        rush.cut_agent(a);
    }
    rush.play(2 * SECOND, &MIX, |_| 0.8);
    rush.take_counts();
    rush.play(SECOND, &MIX, |_| 0.8);
    let counts = rush.take_counts();
    assert_rejected(&counts, RUSH_LIMIT);
    assert_eq!(
        (counts.not_run, counts.completed),
        (0, counts.in_aim),
        "{counts:?}"
    );
}

/// Guards against room that stays promised to entries that cannot use it.
#[test]
fn two_entries_freeze_with_promised_room_and_the_others_use_it() {
    let mut rush = Rush::new(7, 9, 54, 4);
    rush.play(SECOND, &MIX, |_| 1.3);
    rush.frozen.0 = vec![0, 1];
    rush.take_counts();
    rush.play(SECOND, &MIX, |_| 1.3);
    let counts = rush.take_counts();
    assert_rejected(&counts, RUSH_LIMIT);
    rush.play(SECOND, &MIX, |_| 1.55);
    let counts = rush.take_counts();
    assert_rejected(&counts, RUSH_LIMIT);
    assert!(counts.in_aim * 100 >= counts.completed * 95, "{counts:?}");
}

/// Guards against promises that rest on each report's arrival.
#[test]
fn lost_and_reordered_reports_leave_no_room_unused() {
    let mut rush = Rush::new(8, 9, 54, 4);
    rush.disturbed_reports = 0.2;
    rush.play(SECOND, &MIX, |_| 1.0);
    rush.take_counts();
    rush.play(2 * SECOND, &MIX, |_| 1.0);
    let counts = rush.take_counts();
    assert_rejected(&counts, RUSH_LIMIT);
    assert_eq!(
        (counts.not_run, counts.completed),
        (0, counts.in_aim),
        "{counts:?}"
    );
}

fn cpu(cpu_milli: u32) -> Resources {
    Resources {
        cpu_milli,
        memory_mb: 1,
        accelerators: 0,
    }
}

fn room(cpu_milli: u32) -> Resources {
    Resources {
        memory_mb: 1000,
        ..cpu(cpu_milli)
    }
}

fn allot(promises: &mut Promises, now: Uptime, waiting: &[(Name, u32)], free: u32) {
    promises.set_entries(now, waiting.iter().map(|(name, jobs)| (name, *jobs)));
    promises.allot(now, room(free), room(32_000), false);
}

/// Guards against room that is promised twice or lost, whatever comes in which order.
#[test]
fn promises_never_exceed_the_free_room_and_pass_on_within_a_second() {
    let mut rng = Rng::with_seed(1);
    let mut promises = Promises::default();
    let mut entries: Vec<(Name, u32)> = (0..6).map(|e| (format!("e{e}").into(), 0)).collect();
    let mut now = Duration::from_secs(10);
    for _ in 0..20_000 {
        now += MS * rng.u32(0..5);
        let e = rng.usize(0..entries.len());
        let mut free = rng.u32(0..32_000);
        match rng.u32(0..4) {
            0 => entries[e].1 = rng.u32(0..3),
            1 => promises.remove(&entries[e].0),
            _ => {
                let needs = rng.u32(100..3000).min(free);
                promises.started(now, &entries[e].0, cpu(needs));
                free -= needs;
            }
        }
        allot(&mut promises, now, &entries, free);
        assert!(promises.total().fits(room(free)), "{promises:?}");
    }
    // An entry that is not heard of any more while jobs wait at another.
    entries = vec![("e0".into(), 1), ("e1".into(), 1)];
    for _ in 0..100 {
        now += MS;
        allot(&mut promises, now, &entries, 3000);
        if promises.promised(&entries[1].0).cpu_milli >= 2900 {
            return;
        }
    }
    panic!("the room was never promised to the second entry: {promises:?}");
}

/// Guards against a large task that fits into none of many small promises.
#[test]
fn shares_hold_the_largest_task_that_was_started_recently() {
    let entries: Vec<(Name, u32)> = (0..9).map(|e| (format!("e{e}").into(), 0)).collect();
    let mut promises = Promises::default();
    let now = Duration::from_secs(10);
    promises.started(now, &entries[0].0, cpu(2500));
    allot(&mut promises, now, &entries, 15_300);
    let holders = entries
        .iter()
        .filter(|(name, _)| cpu(2500).fits(promises.promised(name)));
    assert_eq!(holders.count(), 6, "{promises:?}");
}
