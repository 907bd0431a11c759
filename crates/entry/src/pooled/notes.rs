//! Log lines and metrics of the scheduler's events.

use std::fmt::Write;
use std::sync::LazyLock;
use std::time::Duration;

use prometheus::{HistogramVec, IntCounter, IntCounterVec};
use rw_core::ids::Name;
use rw_core::pool::fleet::Basis;
use rw_core::pool::job::{EndEvidence, JobId, RunEnd, RunId};
use rw_core::pool::msg::NotStarted;
use rw_core::pool::reach::Opened;
use rw_core::pool::scheduler::{Answer, CancelAnswer, EvacuationEffect, Note, Placed, Scheduler};
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
static ASKED: LazyLock<IntCounterVec> = LazyLock::new(|| {
    metrics::counters(
        "rw_pooled_asked_total",
        "Jobs accepted for scheduling, by queue",
        &["queue"],
    )
});
static REFUSALS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    metrics::counters(
        "rw_pooled_refusals_total",
        "Jobs refused because their turn would come too late, by place in line",
        &["queue", "tier"],
    )
});
static OVERLOADS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    metrics::counters(
        "rw_pooled_overloads_total",
        "Begins and ends of overload of a pool",
        &["pool", "state"],
    )
});
static RUNS: LazyLock<IntCounterVec> =
    LazyLock::new(|| metrics::counters("rw_pooled_runs_total", "Runs by their end", &["end"]));
static CANCELS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    metrics::counters(
        "rw_pooled_cancels_total",
        "Cancels by their answer",
        &["answer"],
    )
});
static STARTS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    metrics::counters(
        "rw_pooled_starts_total",
        "Starts sent, by why room was expected: promised to this entry, ample, or contended",
        &["room"],
    )
});
static NO_ROOM: LazyLock<IntCounterVec> = LazyLock::new(|| {
    metrics::counters(
        "rw_pooled_starts_without_room_total",
        "Starts refused for lack of room, by why room was expected",
        &["room"],
    )
});
static EXTRA_LINKS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    metrics::counters(
        "rw_pooled_extra_links_total",
        "Links opened to further agents, by cause: no-worker or pressure",
        &["cause"],
    )
});
static RESERVATIONS: LazyLock<IntCounter> = LazyLock::new(|| {
    metrics::counter(
        "rw_pooled_reservations_total",
        "Reservations of room asked for",
    )
});
static RESERVATIONS_ENDED: LazyLock<IntCounterVec> = LazyLock::new(|| {
    metrics::counters(
        "rw_pooled_reservations_ended_total",
        "Ended reservations of room by reason",
        &["why"],
    )
});
static MOVES: LazyLock<IntCounter> =
    LazyLock::new(|| metrics::counter("rw_pooled_moves_total", "Runs stopped to start elsewhere"));

fn outcome_and_reason(answer: &Answer) -> (&'static str, &'static str) {
    match answer {
        Answer::Completed => ("completed", ""),
        Answer::Failed(reason) => ("failed", reason),
        Answer::NotRun { reason, .. } => ("not-run", reason),
        Answer::OtherJobOpen(reason) => ("conflict", reason),
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
            ASKED.with_label_values(&[&**queue]).inc();
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
        Note::Placed { .. }
        | Note::RunEnded { .. }
        | Note::RunRefused { .. }
        | Note::Moved { .. } => record_run(note),
        Note::Reserving { .. } | Note::ReservationEnded { .. } => record_reservation(note),
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
        Note::CancelAnswered {
            job,
            answer,
            waited,
        } => {
            record_cancel_answer(*job, *answer, *waited);
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
        Note::Hopeless { .. } | Note::OverloadChanged { .. } => record_overload(note),
        Note::Ejected { worker, failing } => {
            log::warn!(worker:% = worker, failing = failing; "worker ejected");
        }
        Note::EvacuationChanged(effect) => record_evacuation(*effect),
        Note::Stalled { time, jobs } => {
            log::warn!(time_ms = ms(*time), jobs = jobs; "process was suspended; jobs aborted");
        }
        Note::Acquainted {
            waited,
            held,
            unheard,
        } => {
            log::info!(waited_ms = ms(*waited), held = held, unheard = unheard;
                "jobs released that waited for word of the other entries");
        }
    }
}

/// Records an event of single runs.
fn record_run(note: &Note) {
    match note {
        Note::Placed { job, queue, runs } => {
            record_placements(queue, runs);
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
            basis,
        } => {
            record_refusal(*run, worker, *reason, *basis);
        }
        Note::Moved {
            run,
            worker,
            left_ms,
            fresh,
        } => {
            MOVES.inc();
            log::info!(run:% = run, worker:% = worker, left_ms:? = left_ms,
                fresh_ms:? = fresh.map(ms); "run stopped to restart on another worker");
        }
        _ => {}
    }
}

fn record_reservation(note: &Note) {
    match note {
        Note::Reserving {
            task,
            worker,
            needs,
            after,
        } => {
            RESERVATIONS.inc();
            log::info!(task:% = task, worker:% = worker, cpu = needs.cpu_milli,
                memory_mb = needs.memory_mb, after_ms = ms(*after); "reserving room for a large task");
        }
        Note::ReservationEnded { task, worker, why } => {
            RESERVATIONS_ENDED.with_label_values(&[why]).inc();
            log::info!(task:% = task, worker:% = worker, why = why; "reservation ended");
        }
        _ => {}
    }
}

fn record_placements(queue: &Name, runs: &[Placed]) {
    let waits = WAITS.with_label_values(&[&**queue]);
    for placed in runs {
        let basis = placed.choice.basis.as_str();
        STARTS.with_label_values(&[basis]).inc();
        waits.observe(placed.waited.as_secs_f64());
    }
}

fn record_cancel_answer(job: JobId, answer: CancelAnswer, waited: Duration) {
    let kind = format!("{answer:?}");
    CANCELS.with_label_values(&[&kind]).inc();
    log::info!(job:% = job, answer = kind, waited_ms = ms(waited); "cancel answered");
}

fn record_evacuation(effect: EvacuationEffect) {
    log::info!(cpu_before = effect.cpu_before, cpu_after = effect.cpu_after,
        refused = effect.refused; "workers in reach changed with the evacuated domains");
}

fn record_refusal(run: RunId, worker: &Name, reason: NotStarted, basis: Option<Basis>) {
    let kind = format!("{reason:?}");
    let basis = basis.map_or("", Basis::as_str);
    RUNS.with_label_values(&[&kind]).inc();
    if reason == NotStarted::NoRoom {
        NO_ROOM.with_label_values(&[basis]).inc();
    }
    log::info!(run:% = run, worker:% = worker, end = kind, room = basis, ran_ms = 0;
        "run did not complete");
}

fn record_overload(note: &Note) {
    match note {
        Note::Hopeless {
            job,
            queue,
            tier,
            waited,
            wait,
            before,
            room,
            reports: (reports, age),
        } => {
            let tier = format!("{tier:?}");
            REFUSALS.with_label_values(&[&**queue, &tier]).inc();
            log::info!(job:% = job, queue:% = queue, tier = tier, waited_ms = ms(*waited),
                wait_ms = ms(*wait), before = before.round(), rate = room.rate.round(),
                asked = room.asked.round(), in_time = room.in_time.round(), reports = reports,
                age_ms = ms(*age); "job refused: its turn would come too late");
        }
        Note::OverloadChanged {
            pool,
            overloaded,
            own_wait,
            all_wait,
            reports: (reports, age),
        } => {
            let state = if *overloaded { "begun" } else { "ended" };
            OVERLOADS.with_label_values(&[&**pool, state]).inc();
            log::info!(pool:% = pool, overloaded = overloaded, own_wait_ms = ms(*own_wait),
                all_wait_ms = ms(*all_wait), reports = reports, age_ms = ms(*age);
                "overload of a pool changed");
        }
        _ => {}
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

/// Logs and counts links that were opened to further agents.
pub fn record_opened(opened: Opened) {
    let cause = opened.cause.as_str();
    EXTRA_LINKS
        .with_label_values(&[cause])
        .inc_by(opened.links as u64);
    log::info!(cause = cause, links = opened.links, used = opened.used;
        "linking further agents");
}

/// Formats each run as `step.index#attempt@worker`, with the free CPU assumed for the worker in
/// thousandths of a core, why room is expected there, and in milliseconds the age of the report behind it, the expected run time
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
            "{}.{}#{}@{} free={} room={} age={} expected={} waited={};",
            run.task.step,
            run.task.index,
            run.attempt,
            choice.worker,
            choice.free.cpu_milli,
            choice.basis.as_str(),
            ms(choice.age),
            ms(choice.expected),
            ms(*waited)
        );
    }
    text
}

/// Updates the gauges of jobs, room, ejected workers and connections.
pub fn update_gauges(scheduler: &Scheduler, net: &Net) {
    let set = |what: &str, value: usize| {
        metrics::HELD.with_label_values(&[what]).set(value as i64);
    };
    let (conns, refused) = net.counts();
    set("evacuated_workers", scheduler.fleet().evacuated());
    set("open_jobs", scheduler.open_jobs());
    set("ejected_workers", scheduler.fleet().ejected());
    let room = scheduler.fleet().room();
    set("free_cpu_milli", room.free as usize);
    set("promised_cpu_milli", room.promised as usize);
    set("reserved_for_others_cpu_milli", room.reserved as usize);
    set("reservations", scheduler.reservations());
    set("connections", conns);
    set("connections_refused", refused as usize);
    set("stranger_bytes", net.stranger_bytes());
}
