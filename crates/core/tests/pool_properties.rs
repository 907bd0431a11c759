//! Simulation of entries, agents and workers with injected faults. No task of a pooled job may run
//! twice at the same time, and no worker may exceed its capacity, whatever processes are killed or
//! suspended and whatever messages and links are lost or delayed.
//!
//! `RW_SEED` selects the seed of the single run, `RW_STEPS` the number of steps of a run, and
//! `RW_TESTS` the number of runs with random seeds.

#[path = "support/pool.rs"]
mod pool;

use std::env;

use pool::Simulation;
use pool::faults::{FREQUENT_FAULTS, Faults, NO_FAULTS, RARE_FAULTS};
use quickcheck::{QuickCheck, TestResult};

const STEPS: u64 = 4_000;

fn steps() -> u64 {
    env::var("RW_STEPS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(STEPS)
}

fn run(seed: u64, faults: Faults) -> Simulation {
    let mut simulation = Simulation::new(seed, 3, 4, faults);
    for _ in 0..steps() {
        simulation.step();
    }
    simulation
}

#[test]
fn no_task_runs_twice_at_once() {
    let seed = env::var("RW_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let simulation = run(seed, RARE_FAULTS);
    println!(
        "seed {seed}: {} completed, {} refused, {} resent",
        simulation.completed, simulation.refused, simulation.resent
    );
    assert!(
        simulation.completed > 60,
        "only {} jobs were completed",
        simulation.completed
    );
}

#[test]
fn no_task_runs_twice_at_once_over_many_seeds() {
    fn property(seed: u64, frequent: bool) -> TestResult {
        run(
            seed,
            if frequent {
                FREQUENT_FAULTS
            } else {
                RARE_FAULTS
            },
        );
        TestResult::passed()
    }
    let tests = env::var("RW_TESTS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(24);
    QuickCheck::new()
        .tests(tests)
        .quickcheck(property as fn(u64, bool) -> TestResult);
}

#[test]
fn without_faults_jobs_are_completed_and_none_is_resent() {
    let simulation = run(3, NO_FAULTS);
    assert!(
        simulation.completed > 100,
        "only {} jobs were completed",
        simulation.completed
    );
    assert_eq!(simulation.resent, 0);
}
