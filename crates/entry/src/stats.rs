//! Metrics of an entry. Histograms are kept per tenant and class.

use std::sync::LazyLock;

use prometheus::{HistogramVec, IntCounter, IntCounterVec};
use rw_core::answer::RunCertainty;
use rw_core::dispatcher::{Dispatcher, MetricEvent};
use rw_host::metrics;

static WAIT: LazyLock<HistogramVec> = LazyLock::new(|| {
    metrics::histograms(
        "rw_task_wait_seconds",
        "Time of tasks in the queue",
        &["tenant", "class"],
    )
});
static RUN: LazyLock<HistogramVec> = LazyLock::new(|| {
    metrics::histograms(
        "rw_task_run_seconds",
        "Run time of tasks on workers",
        &["tenant", "class"],
    )
});
static JOB: LazyLock<HistogramVec> = LazyLock::new(|| {
    metrics::histograms(
        "rw_job_seconds",
        "Time from submission to answer",
        &["tenant", "class"],
    )
});
static FAILURES: LazyLock<IntCounterVec> = LazyLock::new(|| {
    metrics::counters(
        "rw_job_failures_total",
        "Jobs answered as failed",
        &["tenant", "type", "outcome"],
    )
});
static RETRIES: LazyLock<IntCounter> = LazyLock::new(|| {
    metrics::counter(
        "rw_task_retries_total",
        "Dispatches proved not started, dispatched again",
    )
});
static DROPPED: LazyLock<IntCounterVec> = LazyLock::new(|| {
    metrics::counters(
        "rw_dropped_results_total",
        "Late, doubled or mismatched messages",
        &["why"],
    )
});

/// Counts or times an event of the dispatcher.
pub fn record(note: &MetricEvent) {
    match note {
        MetricEvent::Started {
            tenant,
            class,
            wait,
        } => {
            WAIT.with_label_values(&[&**tenant, class.as_str()])
                .observe(wait.as_secs_f64());
        }
        MetricEvent::TaskEnded { tenant, class, run } => {
            RUN.with_label_values(&[&**tenant, class.as_str()])
                .observe(run.as_secs_f64());
        }
        MetricEvent::JobEnded {
            tenant,
            class,
            time,
            failure,
        } => {
            JOB.with_label_values(&[&**tenant, class.as_str()])
                .observe(time.as_secs_f64());
            if let Some((kind, ran)) = failure {
                let outcome = if *ran == RunCertainty::NotRun {
                    "not-run"
                } else {
                    "unknown"
                };
                FAILURES
                    .with_label_values(&[&**tenant, kind.as_str(), outcome])
                    .inc();
            }
        }
        MetricEvent::Retried => RETRIES.inc(),
        MetricEvent::Dropped(why) => DROPPED.with_label_values(&[*why]).inc(),
    }
}

/// Updates the gauges of jobs, retained answers, queued tasks and ejected workers.
pub fn update_gauges(dispatcher: &Dispatcher) {
    let (ended, bytes) = dispatcher.retained();
    let queued_tasks: u32 = dispatcher.queued_tasks().map(|(_, tasks)| tasks).sum();
    let set = |what: &str, value: usize| metrics::HELD.with_label_values(&[what]).set(value as i64);
    set("open_jobs", dispatcher.open_jobs());
    set("ended_jobs", ended);
    set("retained_bytes", bytes);
    set("waiting_tasks", queued_tasks as usize);
    set("ejected_workers", dispatcher.fleet().ejected().len());
}
