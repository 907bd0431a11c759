//! Whether the promises held.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rw_core::ids::JobKey;
use serde_json::Value;

use crate::caller::{End, Job, new_key, submit};
use crate::lab::Lab;

use super::Report;
use super::callers::Try;
use super::faults::Faults;
use super::operators::{CHANGED, Operated};

/// After all is healed every entry serves a job, and the newest acknowledged change is read back.
pub fn recovery(lab: &Lab, operated: &Operated, time: Duration, report: &mut Report) {
    let until = Instant::now() + time;
    let job = Job {
        at: Duration::ZERO,
        tenant: "t1".into(),
        long: false,
        deadline: Duration::from_secs(3),
        runs: vec![Duration::from_millis(20); 4],
        declared_factor: None,
    };
    for entry in lab.entries() {
        let mut last = End::Lost;
        while last != End::Whole && Instant::now() < until {
            last = submit(&entry, new_key(), &job).end;
        }
        if last != End::Whole {
            report.violations.push(format!(
                "{entry} serves no job within {time:?} after all is healed: {last:?}"
            ));
        }
    }
    let left = until.saturating_duration_since(Instant::now());
    let Some(status) = lab.confirmed_status(left.max(Duration::from_secs(1))) else {
        let violation = format!("no confirmed configuration within {time:?} after all is healed");
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
            "weight {weight} is read back at the end, {newest} was acknowledged at revision {revision}"
        ));
    }
    if status["state"]["revision"] == Value::Null {
        report
            .violations
            .push("the configuration has no revision".into());
    }
}

/// No task started twice, no wrong answer, no false "not run".
pub fn starts(lab: &Lab, tries: &[Try], report: &mut Report) {
    let starts = lab.starts();
    report.started = starts.len();
    for (id, count) in starts.iter().filter(|(_, count)| **count > 1) {
        report
            .violations
            .push(format!("task {id} started {count} times"));
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
                .push(format!("job {name} got an answer that is not its own"));
        }
        if has(End::NotRun) && starts.keys().any(|id| id.starts_with(&name)) {
            report.violations.push(format!(
                "job {name} was refused as not run, and tasks of it started"
            ));
        }
        match tries.last().map(|tried| tried.end) {
            Some(End::Whole) => report.whole += 1,
            Some(End::NotRun) => report.not_run += 1,
            _ => report.unknown += 1,
        }
    }
}

/// Nothing acknowledged was lost or reverted, and each race had one winner.
pub fn configuration(operated: &Operated, report: &mut Report) {
    for (read, acknowledged) in &operated.older {
        report.violations.push(format!(
            "a confirmed read gave revision {read} after {acknowledged} was acknowledged"
        ));
    }
    for pair in operated.acknowledged.windows(2) {
        if let [(_, before), (weight, after)] = pair
            && after <= before
        {
            report.violations.push(format!(
                "weight {weight} was acknowledged at revision {after} after revision {before}"
            ));
        }
    }
    for winners in operated.races.iter().filter(|winners| **winners != 1) {
        report
            .violations
            .push(format!("a race on one revision had {winners} winners"));
    }
}

/// What an entry had taken before it was told to end is answered, where no other fault was near.
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
                "job {} was sent to entry {} {:?} before it was told to end, and was cut off",
                tried.key,
                stop.entry,
                stop.at.saturating_sub(tried.sent.unwrap_or_default())
            ));
        }
    }
}
