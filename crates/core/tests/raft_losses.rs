//! Acknowledged changes under silent, wiped, replaced and added control servers, in random order: as
//! long as no more disks are lost at a time than the cluster tolerates, each acknowledgement rests on
//! enough disks, and once all servers are back the cluster serves what it acknowledged.

#[path = "support/losses.rs"]
mod losses;
mod support;

use std::time::Duration;

use losses::Losses;
use support::number;

/// Seeds of a run, from 1 on. `RW_RUNS` overrides their number, `RW_SEED` the first.
const RUNS: u64 = 100;
/// Number of disturbances after which all servers come back.
const DISTURBANCES: usize = 12;
/// Number of times that all servers come back in a run.
const ROUNDS: usize = 6;
/// Time in which the service has to be back.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time in which a server that came back has to count again.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);

fn play_in_random_order(servers: usize) {
    let first = number("RW_SEED", 1);
    for seed in first..first + number("RW_RUNS", RUNS) {
        let mut losses = Losses::founded(servers, seed);
        for round in 0..ROUNDS {
            for _ in 0..DISTURBANCES {
                losses.disturb();
            }
            losses.end_disturbances();
            losses.run(RECOVERY_TIME);
            let seen = losses.describe();
            assert!(
                losses.serves_what_it_acknowledged(),
                "seed {seed}, round {round}: not served after {RECOVERY_TIME:?}: {seen}"
            );
            // Twice the time after which one silent voter of an odd number is removed.
            losses.run(Duration::from_secs(20));
            assert!(
                losses.all_are_voters(),
                "seed {seed}, round {round}: {}",
                losses.describe()
            );
        }
        assert!(losses.acknowledged() > 0, "seed {seed}");
    }
}

/// Silent voters were removed until an acknowledgement rested on two of five disks.
#[test]
fn five_servers_outlive_two_lost_disks_in_each_state_of_the_voters() {
    play_in_random_order(5);
}

/// Beside silent, replaced and added servers one lost disk of three must not take a change with it.
#[test]
fn three_servers_outlive_a_lost_disk_in_each_state_of_the_voters() {
    play_in_random_order(3);
}

/// Two of five servers are silent for longer than any timeout, then two of the other disks are lost.
#[test]
fn a_change_acknowledged_beside_silent_voters_outlives_two_lost_disks() {
    for silence in [1, 9, 11, 14, 60, 600] {
        let mut losses = Losses::founded(5, 1);
        losses.silence_followers(2);
        losses.run(Duration::from_secs(silence));
        assert!(losses.publishes(), "silent for {silence} s");
        losses.wipe_latest_holders(2);
        losses.end_disturbances();
        losses.run(RECOVERY_TIME);
        assert!(
            losses.serves_what_it_acknowledged(),
            "silent for {silence} s: {}",
            losses.describe()
        );
    }
}

/// A repaired server has to count before the next disk may be lost, however many are lost in turn.
#[test]
fn a_disk_may_be_lost_right_after_the_one_before_was_repaired() {
    for servers in [3, 5] {
        let mut losses = Losses::founded(servers, 2);
        for turn in 0..2 * servers {
            assert!(losses.publishes(), "{servers} servers, turn {turn}");
            losses.wipe_latest_holders(1);
            losses.end_disturbances();
            let repaired = losses.run_until(CATCH_UP_TIME, Losses::is_whole);
            assert!(
                repaired.is_some(),
                "{servers} servers, turn {turn}: {}",
                losses.describe()
            );
        }
        assert!(losses.serves_what_it_acknowledged());
    }
}

/// Two disks that are lost at the same time are repaired one by one, and never leave fewer voters than
/// one short of all.
#[test]
fn two_lost_disks_are_repaired_one_after_the_other() {
    for seed in 1..=RUNS {
        let mut losses = Losses::founded(5, seed);
        assert!(losses.publishes(), "seed {seed}");
        losses.wipe_latest_holders(2);
        losses.end_disturbances();
        let repaired = losses.run_until(CATCH_UP_TIME, |losses| {
            let seen = losses.describe();
            assert!(losses.voter_count() >= 4, "seed {seed}: {seen}");
            losses.is_whole()
        });
        assert!(repaired.is_some(), "seed {seed}: {}", losses.describe());
        assert!(losses.serves_what_it_acknowledged(), "seed {seed}");
    }
}

/// A cluster of fewer servers than its tolerated losses need must not refuse changes for good.
#[test]
fn a_new_cluster_without_further_servers_accepts_changes() {
    let mut losses = Losses::with_founders(5, 4);
    losses.remove_joiners();
    losses.run(Duration::from_secs(2));
    assert_eq!(losses.acknowledged(), 0, "{}", losses.describe());
    losses.run(Duration::from_secs(2));
    assert!(losses.publishes(), "{}", losses.describe());
}

/// The three founders of a cluster of five acknowledged a change on two disks.
#[test]
fn a_new_cluster_accepts_no_change_before_all_its_voters_are_admitted() {
    let mut losses = Losses::with_founders(5, 4);
    losses.silence_joiners();
    losses.run(Duration::from_secs(30));
    assert!(!losses.publishes(), "{}", losses.describe());
    losses.end_disturbances();
    losses.run(CATCH_UP_TIME);
    assert!(losses.publishes(), "{}", losses.describe());
}
