//! Simulations as in `pool_properties.rs`, with one kind of fault in each test: no task of a pooled
//! job may run twice at the same time.
//!
//! `RW_SEED` selects the first seed and `RW_RUNS` the number of runs of each test.

#[path = "support/pool.rs"]
mod pool;

use std::env;

use pool::Simulation;
use pool::faults::{Faults, NO_FAULTS};

/// Steps of a run; with pauses of the callers, of one long enough for several pauses.
const STEPS: u64 = 4_000;
const STEPS_WITH_PAUSES: u64 = 20_000;

fn number(variable: &str) -> Option<u64> {
    env::var(variable).ok()?.parse().ok()
}

/// Runs simulations with these faults and consecutive seeds. Each checks that no task runs twice.
fn play(first_seed: u64, runs: u64, steps: u64, faults: Faults) {
    let first_seed = number("RW_SEED").unwrap_or(first_seed);
    let runs = number("RW_RUNS").unwrap_or(runs);
    let mut completed = 0;
    for seed in first_seed..first_seed + runs {
        let mut simulation = Simulation::new(seed, 3, 4, faults);
        for _ in 0..steps {
            simulation.step();
        }
        completed += simulation.completed;
    }
    assert!(completed > 0, "no job was completed");
}

#[test]
fn a_heartbeat_with_another_id_does_not_end_the_runs_of_the_worker() {
    let faults = Faults {
        other_id: 2,
        ..NO_FAULTS
    };
    play(1, 8, STEPS, faults);
}

#[test]
fn a_heartbeat_with_a_wrong_start_time_does_not_end_the_runs_of_the_worker() {
    let faults = Faults {
        other_start_time: 2,
        ..NO_FAULTS
    };
    play(1, 8, STEPS, faults);
}

#[test]
fn a_notice_of_shutdown_does_not_end_runs_of_a_worker_that_goes_on() {
    let faults = Faults {
        leave: 2,
        ..NO_FAULTS
    };
    play(1, 8, STEPS, faults);
}

#[test]
fn a_run_begun_by_a_worker_that_has_just_restarted_under_its_id_is_not_given_up() {
    let faults = Faults {
        worker_restart: 1,
        idle: 5,
        ..NO_FAULTS
    };
    play(1, 6, STEPS_WITH_PAUSES, faults);
}

#[test]
fn a_start_to_an_earlier_life_of_a_worker_with_the_same_id_is_not_executed_late() {
    let faults = Faults {
        worker_restart: 2,
        lost_call: 40,
        ..NO_FAULTS
    };
    play(1, 8, STEPS, faults);
}

#[test]
fn a_slow_clock_of_an_idle_worker_does_not_prolong_a_lease_beyond_the_wait_for_its_expiry() {
    let faults = Faults {
        cut_at_start: 20,
        slow_clocks: true,
        idle: 5,
        ..NO_FAULTS
    };
    play(1, 6, STEPS_WITH_PAUSES, faults);
}

#[test]
fn a_job_sent_again_after_a_silent_loss_waits_for_an_entry_without_a_link() {
    let faults = Faults {
        peer_cut: 4,
        peer_close: 4,
        silent_caller: 100,
        ..NO_FAULTS
    };
    play(1, 8, STEPS, faults);
}

#[test]
fn a_job_sent_again_beside_an_open_connection_waits_for_an_entry_without_a_link() {
    let faults = Faults {
        peer_cut: 4,
        peer_close: 4,
        impatient_caller: 200,
        ..NO_FAULTS
    };
    play(1, 8, STEPS, faults);
}

#[test]
fn a_start_decided_before_its_worker_was_replaced_is_not_sent_to_the_successor() {
    let faults = Faults {
        worker_crash: 10,
        lag: 200,
        ..NO_FAULTS
    };
    play(52, 6, STEPS, faults);
}

#[test]
fn a_late_heartbeat_of_an_earlier_worker_at_a_restarted_agent_does_not_end_the_runs_of_the_present_one()
 {
    let faults = Faults {
        worker_crash: 10,
        kill_agent: 10,
        late_heartbeat: 300,
        ..NO_FAULTS
    };
    play(1, 8, STEPS, faults);
}

#[test]
fn no_task_runs_long_after_the_acknowledged_cancel_of_its_job() {
    let faults = Faults {
        peer_cut: 4,
        peer_close: 4,
        suspend: 2,
        kill_entry: 1,
        cancel: 30,
        ..NO_FAULTS
    };
    play(1, 8, STEPS, faults);
}
