//! Synthetic loads. A seed determines arrival times, job sizes and run times.

use std::time::Duration;

use fastrand::Rng;

use crate::caller::Job;

/// Share of tasks that are stragglers.
const STRAGGLER_SHARE: f64 = 0.01;
/// Factor by which a straggler runs longer than other tasks.
const STRAGGLER_FACTOR: f64 = 10.0;

/// Duration of the low load after the last peak.
pub const FINAL_LOW_LOAD: Duration = Duration::from_secs(2);

/// Returns a random run time from 50 ms to 1 s, ten times as long for a straggler.
fn run_time(rng: &mut Rng) -> Duration {
    let ms = 50.0 + 950.0 * rng.f64() * rng.f64();
    let factor = if rng.f64() < STRAGGLER_SHARE {
        STRAGGLER_FACTOR
    } else {
        1.0
    };
    Duration::from_secs_f64(ms * factor / 1000.0)
}

/// Returns a random number of tasks: few in most cases, up to 410 in rare ones.
fn task_count(rng: &mut Rng) -> usize {
    match rng.u32(0..100) {
        0..50 => rng.usize(1..=4),
        50..85 => rng.usize(5..=40),
        85..98 => rng.usize(41..=100),
        _ => rng.usize(101..=410),
    }
}

/// Returns jobs of 1 to 410 tasks, which together bring `load` seconds of work per second for
/// `time`. With `declared_factor`, each job declares run times that are too high or too low by this
/// factor.
pub fn mixed(seed: u64, load: f64, time: Duration, declared_factor: Option<f64>) -> Vec<Job> {
    let mut rng = Rng::with_seed(seed);
    let mut jobs = Vec::new();
    let mut at = Duration::ZERO;
    while at < time {
        let runs: Vec<Duration> = (0..task_count(&mut rng))
            .map(|_| run_time(&mut rng))
            .collect();
        let factor = declared_factor.map(|f| if rng.bool() { f } else { 1.0 / f });
        let job = Job {
            at,
            tenant: if jobs.len() % 2 == 0 { "t1" } else { "t2" }.into(),
            long: false,
            deadline: Duration::from_secs(60),
            runs,
            declared_factor: factor,
        };
        // Arrivals are a Poisson process. The mean interval is the approximate mean work of a job
        // (number of tasks, run time in seconds, factor for stragglers) divided by the load.
        let mean_work = 20.0 * 0.29 * 1.09;
        at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() * mean_work / load);
        jobs.push(job);
    }
    scale_times(&mut jobs, load, time);
    jobs
}

/// Scales the arrival times so that the mean load is exact.
fn scale_times(jobs: &mut [Job], load: f64, time: Duration) {
    let work: f64 = jobs.iter().map(|job| job.work().as_secs_f64()).sum();
    let last = jobs
        .last()
        .map_or(time, |job| job.at)
        .as_secs_f64()
        .max(0.001);
    let factor = work / load / last;
    for job in jobs {
        job.at = job.at.mul_f64(factor);
    }
}

/// Returns small jobs whose load rises from `low` to `high` within 2 s and falls again, `peaks`
/// times in periods of 8 s. Loads are in seconds of work per second.
pub fn load_peaks(seed: u64, low: f64, high: f64, peaks: u32, deadline: Duration) -> Vec<Job> {
    let mut rng = Rng::with_seed(seed);
    let period = 8.0;
    let load_at = |t: f64| match t % period {
        t if t < 2.0 => low,
        t if t < 4.0 => low + (high - low) * (t - 2.0) / 2.0,
        t if t < 6.0 => high,
        t => high - (high - low) * (t - 6.0) / 2.0,
    };
    let mut jobs = Vec::new();
    let mut at = 0.0;
    while at < period * f64::from(peaks) + FINAL_LOW_LOAD.as_secs_f64() {
        let runs: Vec<Duration> = (0..rng.usize(1..=20))
            .map(|_| Duration::from_millis(rng.u64(100..=300)))
            .collect();
        let work: f64 = runs.iter().map(Duration::as_secs_f64).sum();
        let tenant = if jobs.len() % 2 == 0 { "t1" } else { "t2" }.into();
        let at_time = Duration::from_secs_f64(at);
        jobs.push(Job {
            at: at_time,
            tenant,
            long: false,
            deadline,
            runs,
            declared_factor: None,
        });
        at += work / load_at(at);
    }
    jobs
}

/// Returns jobs of a single short task at `load`, and jobs of long tasks at `long_load` unless that
/// is 0. Loads are in seconds of work per second.
pub fn short_behind_long(seed: u64, load: f64, long_load: f64, time: Duration) -> Vec<Job> {
    let mut rng = Rng::with_seed(seed);
    let mut jobs = Vec::new();
    let run = Duration::from_millis(100);
    let mut at = 1.5;
    while at < time.as_secs_f64() {
        jobs.push(Job {
            at: Duration::from_secs_f64(at),
            tenant: "t1".into(),
            long: false,
            deadline: Duration::from_secs(20),
            runs: vec![run],
            declared_factor: None,
        });
        at += -(1.0 - rng.f64()).ln() * run.as_secs_f64() / load;
    }
    let mut at = 0.0;
    while long_load > 0.0 && at < time.as_secs_f64() {
        let runs = vec![Duration::from_secs(3); 10];
        jobs.push(Job {
            at: Duration::from_secs_f64(at),
            tenant: "t2".into(),
            long: true,
            deadline: Duration::from_secs(60),
            runs,
            declared_factor: None,
        });
        at += 30.0 / long_load;
    }
    jobs.sort_by_key(|job| job.at);
    jobs
}
