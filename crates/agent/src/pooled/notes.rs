//! Log lines and metrics of the driver's events.

use std::sync::LazyLock;
use std::time::Duration;

use prometheus::{Histogram, IntCounter, IntCounterVec};
use rw_core::pool::driver::{Driver, Note};
use rw_core::pool::job::RunEnd;
use rw_core::pool::msg::NotStarted;
use rw_host::metrics;
use rw_host::net::Net;

use super::shortened;

static RUN_TIME: LazyLock<Histogram> =
    LazyLock::new(|| metrics::histogram("rw_pooled_run_seconds", "Run time of runs on the worker"));
static RUNS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    metrics::counters(
        "rw_pooled_runs_total",
        "Runs by what became of them",
        &["end"],
    )
});

static EVACUATED_REFUSALS: LazyLock<IntCounter> = LazyLock::new(|| {
    metrics::counter(
        "rw_pooled_evacuated_refusals_total",
        "Starts refused because the agent's domain is evacuated or no state is known yet",
    )
});
static NO_ROOM: LazyLock<IntCounterVec> = LazyLock::new(|| {
    metrics::counters(
        "rw_pooled_starts_without_room_total",
        "Starts refused for lack of room, by whether it was promised to the entry",
        &["room"],
    )
});
static RESERVATIONS_ENDED: LazyLock<IntCounterVec> = LazyLock::new(|| {
    metrics::counters(
        "rw_pooled_reservations_ended_total",
        "Refused and ended reservations of room by reason",
        &["why"],
    )
});

fn ms(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Logs an event of the driver and updates the metrics.
pub fn record(note: &Note) {
    match note {
        Note::Starting {
            run,
            entry,
            free,
            waited,
        } => {
            log::info!(run:% = run, entry:% = entry, free_cpu = free.cpu_milli,
                waited_ms = ms(*waited); "starting run");
        }
        Note::Ended {
            run,
            end,
            evidence,
            ran,
            since_renewal,
        } => {
            RUN_TIME.observe(ran.as_secs_f64());
            RUNS.with_label_values(&[&format!("{end:?}")]).inc();
            if *end == RunEnd::Gone {
                metrics::RUNS_GONE
                    .with_label_values(&[evidence.as_str()])
                    .inc();
            }
            log::info!(run:% = run, end:? = end, evidence = evidence.as_str(), ran_ms = ms(*ran),
                since_renewal_ms = ms(*since_renewal); "run ended");
        }
        Note::Refused { run, reason, claim } => {
            if *reason == NotStarted::NoRoom {
                NO_ROOM.with_label_values(&[claim.as_str()]).inc();
            }
            RUNS.with_label_values(&[&format!("{reason:?}")]).inc();
            log::info!(run:% = run, reason:? = reason, room = claim.as_str(); "run not started");
        }
        Note::Stopping { run, why } => log::info!(run:% = run, why = why; "stopping run"),
        Note::Reserved {
            task,
            entry,
            needs,
            after,
        } => {
            log::info!(task:% = task, entry:% = entry, cpu = needs.cpu_milli,
                memory_mb = needs.memory_mb, after_ms = ms(*after); "room reserved");
        }
        Note::ReservationEnded { task, why } => {
            RESERVATIONS_ENDED.with_label_values(&[why]).inc();
            log::info!(task:% = task, why = why; "reservation refused or ended");
        }
        Note::StartUnanswered { run, waited } => {
            log::warn!(run:% = run, waited_ms = ms(*waited);
                "start call not answered; stopping the run");
        }
        Note::WorkerFound { id, start_time_ms } => {
            log::info!(worker:% = id, born = start_time_ms; "worker found");
        }
        Note::CandidateDenied { id, start_time_ms } => {
            log::warn!(worker = shortened(id), born = start_time_ms;
                "announced worker does not serve the worker's address; announcement ignored");
        }
        Note::WorkerGone {
            id,
            start_time_ms,
            why,
            runs,
            since_renewal,
        } => {
            log::warn!(worker:% = id, born = start_time_ms, why = why, runs = runs,
                since_renewal_ms = ms(*since_renewal); "worker gone");
        }
        Note::WorkerState { id, state } => {
            log::info!(worker:% = id, state:? = state; "worker state changed");
        }
        Note::WorkerUnresponsive { calls, since } => {
            log::warn!(calls = calls, since_ms = ms(*since);
                "worker does not answer calls; starting no new runs");
        }
        Note::DomainEvacuated { evacuated, runs } => {
            log::info!(evacuated = evacuated, runs = runs; "own domain evacuated or taken back");
        }
        Note::EvacuatedRefused { run } => {
            EVACUATED_REFUSALS.inc();
            log::info!(run:% = run; "start refused: the own domain is evacuated or no state is known");
        }
        Note::WorkerRecovered => log::info!("worker answers calls again"),
        Note::EntryLost {
            entry,
            silence,
            runs,
        } => {
            log::warn!(entry:% = entry, silence_ms = ms(*silence), runs = runs;
                "nothing received from entry; stopping its runs");
        }
    }
}

/// Updates the gauges of runs, room and connections.
pub fn update_gauges(driver: &Driver, net: &Net) {
    let set = |what: &str, value: usize| {
        metrics::HELD.with_label_values(&[what]).set(value as i64);
    };
    let (conns, refused) = net.counts();
    set("runs", driver.run_count());
    let (free, promised) = driver.room();
    set("free_cpu_milli", free.cpu_milli as usize);
    set("promised_cpu_milli", promised.cpu_milli as usize);
    set("connections", conns);
    set("connections_refused", refused as usize);
    set("stranger_bytes", net.stranger_bytes());
}
