//! Shared by the property tests: fixed seeds, step budgets.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod tasks;

use std::env;

use quickcheck::{Gen, QuickCheck, Testable};

/// Steps in one generated sequence, at most.
const SEQUENCE: usize = 400;
/// Seed of the runs in CI. `RW_SEED` sets another one.
const SEED: u64 = 20_261_204;
/// Steps of a run in CI. `RW_STEPS` sets another number.
const STEPS: u64 = 60_000;

/// A number from the environment.
fn number(name: &str, default: u64) -> u64 {
    env::var(name)
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// Checks a property on generated sequences of steps. A sequence has half of [`SEQUENCE`] steps on
/// average.
pub fn check_steps<P>(property: P)
where
    P: Testable,
{
    let cases = number("RW_STEPS", STEPS) / (SEQUENCE as u64 / 2);
    let seed = number("RW_SEED", SEED);
    println!("seed {seed}, {cases} sequences");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SEQUENCE, seed))
        .tests(cases)
        .max_tests(cases)
        .quickcheck(property);
}
