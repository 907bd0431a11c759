//! Metrics of an agent.

use std::sync::LazyLock;
use std::time::Duration;

use prometheus::HistogramVec;
use rw_core::agent::{Agent, RunEnd};
use rw_core::ids::Name;
use rw_core::msg::TaskResult;
use rw_host::metrics;

static RUNS: LazyLock<HistogramVec> = LazyLock::new(|| {
    metrics::histograms(
        "rw_agent_run_seconds",
        "Run time of tasks on backend servers",
        &["service", "end"],
    )
});

/// Records the run time and outcome of a call.
pub fn record_end(service: &Name, end: &RunEnd, run: Duration) {
    let label = match end {
        RunEnd::Ended(TaskResult::Done(_)) => "done",
        RunEnd::Ended(TaskResult::Failed(_)) => "failed",
        RunEnd::NotStarted => "not-started",
    };
    RUNS.with_label_values(&[service, label])
        .observe(run.as_secs_f64());
}

/// Updates the gauges of remembered tasks, registry records and dropped starts.
pub fn update_gauges(agent: &Agent) {
    let (tasks, records, dropped) = agent.record_counts();
    metrics::HELD
        .with_label_values(&["remembered_tasks"])
        .set(tasks as i64);
    metrics::HELD
        .with_label_values(&["registry_records"])
        .set(records as i64);
    metrics::HELD
        .with_label_values(&["doubled_starts_dropped"])
        .set(dropped as i64);
}
