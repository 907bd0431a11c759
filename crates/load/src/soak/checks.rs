//! Checks whether the guarantees of the cluster held.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rw_core::ids::JobKey;
use serde_json::Value;

use crate::caller::{Job, SubmissionResult, new_key, submit};
use crate::cluster::TestCluster;

use super::Report;
use super::callers::Submission;
use super::faults::FaultInjector;
use super::operators::{CHANGED_TENANT, Observations};

/// Checks that once all faults have ended, every entry serves a job within `time`, and a confirmed
/// read returns the newest acknowledged change.
pub fn recovery(
    cluster: &TestCluster,
    observations: &Observations,
    time: Duration,
    report: &mut Report,
) {
    let until = Instant::now() + time;
    let job = Job {
        at: Duration::ZERO,
        tenant: "t1".into(),
        long: false,
        deadline: Duration::from_secs(3),
        runs: vec![Duration::from_millis(20); 4],
        declared_factor: None,
    };
    for entry in cluster.entry_addrs() {
        let mut last = SubmissionResult::Lost;
        while last != SubmissionResult::Whole && Instant::now() < until {
            last = submit(&entry, new_key(), &job).result;
        }
        if last != SubmissionResult::Whole {
            report.violations.push(format!(
                "{entry} served no job within {time:?} after the end of all faults: {last:?}"
            ));
        }
    }
    let remaining = until.saturating_duration_since(Instant::now());
    let Some(status) = cluster.confirmed_status(remaining.max(Duration::from_secs(1))) else {
        let violation = format!(
            "no confirmed read of the configuration within {time:?} after the end of all faults"
        );
        report.violations.push(violation);
        return;
    };
    let weight = &status["state"]["tenants"][CHANGED_TENANT]["value"]["weight"];
    if let Some((newest, revision)) = observations.acknowledged.last()
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
pub fn starts(cluster: &TestCluster, submissions: &[Submission], report: &mut Report) {
    let starts = cluster.starts();
    report.started = starts.len();
    for (id, count) in starts.iter().filter(|(_, count)| **count > 1) {
        report
            .violations
            .push(format!("task {id} was started {count} times"));
    }
    let mut jobs: IndexMap<JobKey, Vec<&Submission>> = IndexMap::new();
    for submission in submissions {
        jobs.entry(submission.key).or_default().push(submission);
    }
    report.jobs = jobs.len();
    for (key, submissions) in jobs {
        let name = key.to_string();
        let has = |result: SubmissionResult| {
            submissions
                .iter()
                .any(|submission| submission.result == result)
        };
        if has(SubmissionResult::Wrong) {
            report
                .violations
                .push(format!("job {name} got an incorrect answer"));
        }
        if has(SubmissionResult::NotRun) && starts.keys().any(|id| id.starts_with(&name)) {
            report.violations.push(format!(
                "job {name} was refused as not run, but some of its tasks were started"
            ));
        }
        match submissions.last().map(|submission| submission.result) {
            Some(SubmissionResult::Whole) => report.whole += 1,
            Some(SubmissionResult::NotRun) => report.not_run += 1,
            _ => report.unknown += 1,
        }
    }
}

/// Checks that no acknowledged configuration change was lost or reverted, and that exactly one of
/// two changes on the same revision succeeded.
pub fn configuration(observations: &Observations, report: &mut Report) {
    for (read, acknowledged) in &observations.stale_reads {
        report.violations.push(format!(
            "a confirmed read returned revision {read} after revision {acknowledged} was acknowledged"
        ));
    }
    for pair in observations.acknowledged.windows(2) {
        if let [(_, before), (weight, after)] = pair
            && after <= before
        {
            report.violations.push(format!(
                "weight {weight} was acknowledged at revision {after}, which does not follow revision {before}"
            ));
        }
    }
    for accepted in observations
        .accepted_per_race
        .iter()
        .filter(|accepted| **accepted != 1)
    {
        report.violations.push(format!(
            "{accepted} of two concurrent changes on the same revision were accepted, expected 1"
        ));
    }
}

/// Checks that an entry that shuts down gracefully answers the requests that were sent to it before
/// SIGTERM. Shutdowns with another fault at about the same time are not considered.
pub fn shutdowns(submissions: &[Submission], faults: &FaultInjector, report: &mut Report) {
    for shutdown in faults.isolated_shutdowns() {
        let unanswered = submissions.iter().filter(|submission| {
            let was_pending = submission
                .sent_at
                .is_some_and(|sent_at| sent_at < shutdown.at && submission.ended_at >= shutdown.at);
            submission.result == SubmissionResult::Lost
                && submission.entry == shutdown.entry
                && was_pending
        });
        for submission in unanswered {
            report.violations.push(format!(
                "job {} was sent to entry {} {:?} before its SIGTERM and got no answer",
                submission.key,
                shutdown.entry,
                shutdown
                    .at
                    .saturating_sub(submission.sent_at.unwrap_or_default())
            ));
        }
    }
}
