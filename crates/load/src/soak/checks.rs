//! Checks whether the guarantees of the cluster held.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rw_core::ids::JobKey;
use serde_json::Value;

use crate::caller::{End, Job, new_key, submit};
use crate::cluster::TestCluster;

use super::Report;
use super::callers::Try;
use super::faults::Faults;
use super::operators::{CHANGED, Operated};

/// Checks that once all faults have ended, every entry serves a job within `time`, and a confirmed
/// read returns the newest acknowledged change.
pub fn recovery(cluster: &TestCluster, operated: &Operated, time: Duration, report: &mut Report) {
    let until = Instant::now() + time;
    let job = Job {
        at: Duration::ZERO,
        tenant: "t1".into(),
        long: false,
        deadline: Duration::from_secs(3),
        runs: vec![Duration::from_millis(20); 4],
        declared_factor: None,
    };
    for entry in cluster.entries() {
        let mut last = End::Lost;
        while last != End::Whole && Instant::now() < until {
            last = submit(&entry, new_key(), &job).end;
        }
        if last != End::Whole {
            report.violations.push(format!(
                "{entry} served no job within {time:?} after the end of all faults: {last:?}"
            ));
        }
    }
    let left = until.saturating_duration_since(Instant::now());
    let Some(status) = cluster.confirmed_status(left.max(Duration::from_secs(1))) else {
        let violation = format!(
            "no confirmed read of the configuration within {time:?} after the end of all faults"
        );
        report.violations.push(violation);
        return;
    };
    let weight = &status["state"]["tenants"][CHANGED]["value"]["weight"];
    if let Some((newest, revision)) = operated.acknowledged.last()
        && weight
            .as_u64()
            .is_none_or(|weight| weight < u64::from(*newest))
    {
        report.violations.push(format!(
            "final confirmed read returned weight {weight}, but {newest} was acknowledged at revision {revision}"
        ));
    }
    if status["state"]["revision"] == Value::Null {
        report
            .violations
            .push("final confirmed read returned a configuration without a revision".into());
    }
}

/// Checks that no task was started twice, no answer was incorrect, and no task of a job that was
/// refused as "not run" was started. Counts the jobs by the result of their last submission.
pub fn starts(cluster: &TestCluster, tries: &[Try], report: &mut Report) {
    let starts = cluster.starts();
    report.started = starts.len();
    for (id, count) in starts.iter().filter(|(_, count)| **count > 1) {
        report
            .violations
            .push(format!("task {id} was started {count} times"));
    }
    let mut jobs: IndexMap<JobKey, Vec<&Try>> = IndexMap::new();
    for tried in tries {
        jobs.entry(tried.key).or_default().push(tried);
    }
    report.jobs = jobs.len();
    for (key, tries) in jobs {
        let name = key.to_string();
        let has = |end: End| tries.iter().any(|tried| tried.end == end);
        if has(End::Wrong) {
            report
                .violations
                .push(format!("job {name} got an incorrect answer"));
        }
        if has(End::NotRun) && starts.keys().any(|id| id.starts_with(&name)) {
            report.violations.push(format!(
                "job {name} was refused as not run, but some of its tasks were started"
            ));
        }
        match tries.last().map(|tried| tried.end) {
            Some(End::Whole) => report.whole += 1,
            Some(End::NotRun) => report.not_run += 1,
            _ => report.unknown += 1,
        }
    }
}

/// Checks that no acknowledged configuration change was lost or reverted, and that exactly one of
/// two changes on the same revision succeeded.
pub fn configuration(operated: &Operated, report: &mut Report) {
    for (read, acknowledged) in &operated.older {
        report.violations.push(format!(
            "a confirmed read returned revision {read} after revision {acknowledged} was acknowledged"
        ));
    }
    for pair in operated.acknowledged.windows(2) {
        if let [(_, before), (weight, after)] = pair
            && after <= before
        {
            report.violations.push(format!(
                "weight {weight} was acknowledged at revision {after}, which does not follow revision {before}"
            ));
        }
    }
    for winners in operated.races.iter().filter(|winners| **winners != 1) {
        report.violations.push(format!(
            "{winners} of two concurrent changes on the same revision were accepted, expected 1"
        ));
    }
}

/// Checks that an entry that shuts down in order answers the requests that were sent to it before
/// SIGTERM. Shutdowns with another fault at about the same time are not considered.
pub fn shutdowns(tries: &[Try], faults: &Faults, report: &mut Report) {
    for stop in faults.calm_stops() {
        let cut = tries.iter().filter(|tried| {
            let sent = tried
                .sent
                .is_some_and(|sent| sent < stop.at && tried.ended >= stop.at);
            tried.end == End::Lost && tried.entry == stop.entry && sent
        });
        for tried in cut {
            report.violations.push(format!(
                "job {} was sent to entry {} {:?} before its SIGTERM and got no answer",
                tried.key,
                stop.entry,
                stop.at.saturating_sub(tried.sent.unwrap_or_default())
            ));
        }
    }
}
