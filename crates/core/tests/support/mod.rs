//! Helpers shared by the property tests: reproducible seeds and the number of steps.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod raft;
pub mod tasks;

use std::env;

use quickcheck::{Gen, QuickCheck, Testable};

/// Maximum number of steps in one generated sequence.
const SEQUENCE: usize = 400;
/// Default seed, used in CI. The environment variable `RW_SEED` overrides it.
const SEED: u64 = 20_261_204;
/// Default number of steps of a run, used in CI. The environment variable `RW_STEPS` overrides it.
const STEPS: u64 = 60_000;

/// Returns the number in an environment variable, or the default if it is unset or not a number.
pub fn number(name: &str, default: u64) -> u64 {
    env::var(name)
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// Checks a property on generated sequences of steps. The average length of a sequence is half of
/// [`SEQUENCE`].
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
