//! Replay of recorded traces, and comparison with their expected outcomes. `docs/TESTING.md`
//! describes the format.

use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;

use crate::caller::{Job, SubmissionResult, submit_all};
use crate::cluster::{ClusterPlan, TestCluster};

/// First line of a trace: the cluster on which it is replayed, and the expected outcomes.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Header {
    /// Relative speed of each worker.
    speeds: Vec<f64>,
    /// Indexes of the workers that fail every task.
    #[serde(default)]
    bad_workers: Vec<usize>,
    /// Expected shares of the results in each group of jobs.
    expect: Vec<ExpectedShare>,
}

/// Expected share of one result among the jobs of a group.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExpectedShare {
    /// Group of jobs.
    group: String,
    /// Result: `whole`, `not-run`, `unknown`, `lost` or `wrong`.
    end: String,
    /// Minimum share, from 0 to 1.
    #[serde(default)]
    least: f64,
    /// Maximum share, from 0 to 1.
    #[serde(default = "whole_share")]
    most: f64,
}

fn whole_share() -> f64 {
    1.0
}

/// A recorded job: each further line of a trace.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RecordedJob {
    at_ms: u64,
    tenant: String,
    class: String,
    deadline_ms: u64,
    runs_ms: Vec<u64>,
    #[serde(default)]
    group: String,
}

/// Replays a trace on a new cluster. Returns a description of each difference from the expected
/// outcomes. Fails if the trace cannot be read or the cluster does not start.
pub fn run(path: &Path) -> io::Result<Vec<String>> {
    let text = fs::read_to_string(path)?;
    let mut lines = text.lines();
    let header: Header = serde_json::from_str(lines.next().unwrap_or_default())?;
    let recorded_jobs: Vec<RecordedJob> = lines
        .map(serde_json::from_str)
        .collect::<Result<_, _>>()
        .map_err(io::Error::other)?;
    let jobs: Vec<Job> = recorded_jobs.iter().map(to_job).collect();
    let plan = ClusterPlan {
        speeds: header.speeds.clone(),
        tenants: vec![("t1", 1), ("t2", 1)],
        ..ClusterPlan::default()
    };
    let mut cluster = TestCluster::start(plan)?;
    for worker in &header.bad_workers {
        cluster.kill(&format!("b{worker}"));
        cluster.start_backend(*worker, &["--fail"])?;
    }
    if !header.bad_workers.is_empty() {
        std::thread::sleep(Duration::from_secs(1));
    }
    let entries = cluster.entry_addrs();
    let outcomes = submit_all(&jobs, |i| entries[i % entries.len()].clone());
    let mut counts: IndexMap<(String, String), f64> = IndexMap::new();
    let mut sizes: IndexMap<String, f64> = IndexMap::new();
    for (recorded, outcome) in recorded_jobs.iter().zip(&outcomes) {
        *sizes.entry(recorded.group.clone()).or_default() += 1.0;
        *counts
            .entry((recorded.group.clone(), result_name(outcome.result)))
            .or_default() += 1.0;
    }
    let duplicates = cluster
        .starts()
        .values()
        .filter(|count| **count > 1)
        .count();
    let mut differences: Vec<String> = header
        .expect
        .iter()
        .filter_map(|expect| compare(expect, &counts, &sizes))
        .collect();
    if duplicates > 0 {
        differences.push(format!("{duplicates} tasks were started more than once"));
    }
    Ok(differences)
}

/// Returns a description of the difference if the share is out of range or the group is empty.
fn compare(
    expect: &ExpectedShare,
    counts: &IndexMap<(String, String), f64>,
    sizes: &IndexMap<String, f64>,
) -> Option<String> {
    let size = sizes.get(&expect.group).copied().unwrap_or(0.0);
    let count = counts
        .get(&(expect.group.clone(), expect.end.clone()))
        .copied()
        .unwrap_or(0.0);
    let share = count / size.max(1.0);
    let within = size > 0.0 && share >= expect.least && share <= expect.most;
    (!within).then(|| {
        format!(
            "group {:?}: share of result {} is {share:.3} of {size} jobs, expected {} to {}",
            expect.group, expect.end, expect.least, expect.most
        )
    })
}

fn result_name(result: SubmissionResult) -> String {
    serde_json::to_value(result)
        .ok()
        .and_then(|v| v.as_str().map(String::from))
        .unwrap_or_default()
}

fn to_job(recorded: &RecordedJob) -> Job {
    Job {
        at: Duration::from_millis(recorded.at_ms),
        tenant: recorded.tenant.clone(),
        long: recorded.class == "long",
        deadline: Duration::from_millis(recorded.deadline_ms),
        runs: recorded
            .runs_ms
            .iter()
            .map(|ms| Duration::from_millis(*ms))
            .collect(),
        declared_factor: None,
    }
}
