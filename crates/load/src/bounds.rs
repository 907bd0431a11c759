//! Bounds of the benchmark results, taken from the performance targets. A violation that is listed
//! as a known failure does not fail the run.

use std::fs;
use std::path::Path;

use crate::bench::{BenchmarkResult, Measure};

/// Bound of one value of the default policy.
struct Bound {
    measure: Measure,
    value: &'static str,
    limit: Limit,
}

enum Limit {
    /// The value must not exceed this.
    Max(f64),
    /// The value must be at least this.
    Min(f64),
    /// The value must not exceed this multiple of the same value in another measure of the run.
    MaxRatio(f64, Measure),
}

const fn bound(measure: Measure, value: &'static str, limit: Limit) -> Bound {
    Bound {
        measure,
        value,
        limit,
    }
}

const BOUNDS: [Bound; 9] = [
    bound(Measure::Steady, "mean_ratio", Limit::Max(1.10)),
    bound(Measure::Steady, "p99_ratio", Limit::Max(2.0)),
    bound(Measure::Steady, "wasted_per_task", Limit::Max(0.1)),
    bound(Measure::Steady, "agent_us_per_task", Limit::Max(150.0)),
    bound(
        Measure::Misdeclared,
        "mean_ratio",
        Limit::MaxRatio(1.10, Measure::Steady),
    ),
    bound(Measure::Crest, "useful_of_capacity", Limit::Min(0.95)),
    bound(Measure::Crest, "refusal_p99_ms", Limit::Max(50.0)),
    bound(Measure::Blocking, "behind_long_p99_ms", Limit::Max(100.0)),
    bound(Measure::BadWorker, "drawn_after_2s", Limit::Max(0.02)),
];

/// Name of the file that lists known failures.
pub const KNOWN_FAILURES_FILE: &str = "KNOWN-RED.txt";

/// Compares the results with the bounds and prints a verdict for each bound whose measure was run.
/// Returns `false` if a bound is violated and no line of the file [`KNOWN_FAILURES_FILE`] in
/// `folder` begins with `bench MEASURE.VALUE`.
pub fn check(results: &[BenchmarkResult], folder: &Path) -> bool {
    let known = fs::read_to_string(folder.join(KNOWN_FAILURES_FILE)).unwrap_or_default();
    let mut passed = true;
    for bound in &BOUNDS {
        let Some(value) = value_of(results, bound.measure, bound.value) else {
            continue;
        };
        let (is_within, limit) = match &bound.limit {
            Limit::Max(max) => (value <= *max, *max),
            Limit::Min(min) => (value >= *min, *min),
            Limit::MaxRatio(factor, other) => {
                let max = factor * value_of(results, *other, bound.value).unwrap_or(f64::INFINITY);
                (value <= max, max)
            }
        };
        let id = format!("bench {}.{}", bound.measure.name(), bound.value);
        let is_known = known.lines().any(|line| line.starts_with(&id));
        let verdict = match (is_within, is_known) {
            (true, _) => "within",
            (false, true) => "beyond, known",
            (false, false) => "BEYOND",
        };
        passed &= is_within || is_known;
        println!("{id}: {value} against {limit}: {verdict}");
    }
    passed
}

fn value_of(results: &[BenchmarkResult], measure: Measure, value: &str) -> Option<f64> {
    let result = results
        .iter()
        .find(|result| result.is_for(measure, "credits"))?;
    result.value(value)
}
