//! Log lines and metrics of the scheduler's events.

use std::fmt::Write;
use std::sync::LazyLock;
use std::time::Duration;

use prometheus::{HistogramVec, IntCounter, IntCounterVec};
use rw_core::ids::Name;
use rw_core::pool::job::{EndEvidence, RunEnd, RunId};
use rw_core::pool::scheduler::{Answer, Note, Placed, Scheduler};
use rw_host::metrics;
use rw_host::net::Net;

static JOBS: LazyLock<HistogramVec> = LazyLock::new(|| {
    metrics::histograms(
        "rw_pooled_job_seconds",
        "Time from submission to answer",
        &["queue", "answer"],
    )
});
static AIMS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    metrics::counters(
        "rw_pooled_aims_total",
        "Completed jobs within and past their aim",
        &["queue", "aim"],
    )
});
static WAITS: LazyLock<HistogramVec> = LazyLock::new(|| {
    metrics::histograms(
        "rw_pooled_wait_seconds",
        "Time of tasks until they were sent to a worker",
        &["queue"],
    )
});
static RUNS: LazyLock<IntCounterVec> =
    LazyLock::new(|| metrics::counters("rw_pooled_runs_total", "Runs by their end", &["end"]));
static MOVES: LazyLock<IntCounter> =
    LazyLock::new(|| metrics::counter("rw_pooled_moves_total", "Runs stopped to start elsewhere"));

fn outcome_and_reason(answer: &Answer) -> (&'static str, &'static str) {
    match answer {
        Answer::Completed => ("completed", ""),
        Answer::Failed(reason) => ("failed", reason),
        Answer::NotRun { reason, .. } => ("not-run", reason),
        Answer::OutcomeUnknown(reason) => ("broken", reason),
    }
}

fn ms(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Logs an event of the scheduler and updates the metrics. `version` is that of the catalogue in
/// force.
pub fn record(note: &Note, version: u64) {
    match note {
        Note::Accepted {
            job,
            request,
            queue,
            tasks,
            aim,
            deadline,
            waits_for,
        } => {
            log::info!(job:% = job, request:% = request, queue:% = queue, tasks = tasks, aim_ms = ms(*aim),
                deadline_ms = ms(*deadline), version = version,
                waits_for = waits_for.as_deref().unwrap_or(""); "job accepted");
        }
        Note::Resubmitted { job, request } => {
            log::info!(job:% = job, request:% = request; "open job submitted again");
        }
        Note::Declined {
            job,
            request,
            reason,
        } => {
            log::info!(job:% = job, request:% = request, reason = reason; "job declined");
        }
        Note::Placed { job, queue, runs } => {
            for placed in runs {
                WAITS
                    .with_label_values(&[&**queue])
                    .observe(placed.waited.as_secs_f64());
            }
            log::info!(job:% = job, runs = format_placements(runs); "runs sent");
        }
        Note::RunEnded {
            run,
            worker,
            end,
            evidence,
            ran_ms,
        } => {
            record_run_end(*run, worker, (*end, *evidence), *ran_ms);
        }
        Note::RunRefused {
            run,
            worker,
            reason,
        } => {
            let kind = format!("{reason:?}");
            RUNS.with_label_values(&[&kind]).inc();
            log::info!(run:% = run, worker:% = worker, end = kind, ran_ms = 0; "run did not complete");
        }
        Note::Moved {
            run,
            worker,
            left_ms,
            fresh,
        } => {
            MOVES.inc();
            log::info!(run:% = run, worker:% = worker, left_ms:? = left_ms,
                fresh_ms = ms(*fresh); "run stopped to restart on another worker");
        }
        Note::Answered {
            job,
            queue,
            answer,
            took,
            aim,
            starts,
        } => {
            let (answer, reason) = outcome_and_reason(answer);
            JOBS.with_label_values(&[&**queue, answer])
                .observe(took.as_secs_f64());
            if answer == "completed" {
                let met = if took <= aim { "met" } else { "missed" };
                AIMS.with_label_values(&[&**queue, met]).inc();
            }
            log::info!(job:% = job, queue:% = queue, answer = answer, reason = reason,
                took_ms = ms(*took), aim_ms = ms(*aim), starts = starts; "job answered");
        }
        Note::Abandoned { job, took } => {
            log::info!(job:% = job, took_ms = ms(*took); "last caller disconnected");
        }
        Note::Yielded { job, to } => {
            log::info!(job:% = job, entry:% = to; "job yielded to another entry");
        }
        Note::OwnerLost { job, entry } => {
            log::info!(job:% = job, entry:% = entry; "job no longer waits for a lost entry");
        }
        Note::Overload { job, wait } => {
            log::info!(job:% = job, wait_ms = ms(*wait); "job refused because of overload");
        }
        Note::Ejected { worker, failing } => {
            log::warn!(worker:% = worker, failing = failing; "worker ejected");
        }
        Note::Stalled { time, jobs } => {
            log::warn!(time_ms = ms(*time), jobs = jobs; "process was suspended; jobs aborted");
        }
    }
}

fn record_run_end(run: RunId, worker: &Name, (end, evidence): (RunEnd, EndEvidence), ran_ms: u32) {
    let kind = format!("{end:?}");
    RUNS.with_label_values(&[&kind]).inc();
    if end == RunEnd::Done {
        // Not logged here: the agent logs each end, and a completed job has all tasks done.
        return;
    }
    if end == RunEnd::Gone {
        metrics::RUNS_GONE
            .with_label_values(&[evidence.as_str()])
            .inc();
    }
    log::info!(run:% = run, worker:% = worker, end = kind, evidence = evidence.as_str(),
        ran_ms = ran_ms; "run did not complete");
}

/// Formats each run as `step.index#attempt@worker`, with the free CPU assumed for the worker in
/// thousandths of a core, and in milliseconds the age of the report behind it, the expected run time
/// and the time waited.
fn format_placements(runs: &[Placed]) -> String {
    let mut text = String::with_capacity(runs.len() * 64);
    for Placed {
        run,
        choice,
        waited,
    } in runs
    {
        let _ = write!(
            text,
            "{}.{}#{}@{} free={} age={} expected={} waited={};",
            run.task.step,
            run.task.index,
            run.attempt,
            choice.worker,
            choice.free.cpu_milli,
            ms(choice.age),
            ms(choice.expected),
            ms(*waited)
        );
    }
    text
}

/// Updates the gauges of jobs, ejected workers and connections.
pub fn update_gauges(scheduler: &Scheduler, net: &Net) {
    let set = |what: &str, value: usize| {
        metrics::HELD.with_label_values(&[what]).set(value as i64);
    };
    let (conns, refused) = net.counts();
    set("open_jobs", scheduler.open_jobs());
    set("ejected_workers", scheduler.fleet().ejected());
    set("connections", conns);
    set("connections_refused", refused as usize);
    set("stranger_bytes", net.stranger_bytes());
}
