//! Ideal scheduler, to which measured response times are compared: one central queue that knows the
//! speed of each worker, and in which messages cost nothing.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::caller::Job;

/// Returns the response time of each job, in order. Jobs are served first come, first served, and
/// each task is run on the fastest free slot. `slots` is the number of slots of each worker.
pub fn response_times(jobs: &[Job], speeds: &[f64], slots: u32) -> Vec<Duration> {
    let mut free: Vec<f64> = speeds
        .iter()
        .flat_map(|s| (0..slots).map(move |_| *s))
        .collect();
    free.sort_by(f64::total_cmp);
    let mut busy: BinaryHeap<Reverse<(Duration, u64)>> = BinaryHeap::new();
    let mut times = Vec::new();
    for job in jobs {
        let mut now = job.at;
        let mut end = job.at;
        for run in &job.runs {
            release_slots(&mut busy, &mut free, now);
            if free.is_empty()
                && let Some(Reverse((next, _))) = busy.peek()
            {
                now = now.max(*next);
                release_slots(&mut busy, &mut free, now);
            }
            let speed = free.pop().unwrap_or(1.0);
            let done = now + run.div_f64(speed);
            busy.push(Reverse((done, speed.to_bits())));
            end = end.max(done);
        }
        times.push(end.saturating_sub(job.at));
    }
    times
}

/// Frees the slots whose tasks have ended, and sorts the free slots by speed.
fn release_slots(
    busy: &mut BinaryHeap<Reverse<(Duration, u64)>>,
    free: &mut Vec<f64>,
    now: Duration,
) {
    let before = free.len();
    while let Some(Reverse((end, speed))) = busy.peek().copied()
        && end <= now
    {
        busy.pop();
        free.push(f64::from_bits(speed));
    }
    if free.len() != before {
        free.sort_by(f64::total_cmp);
    }
}

/// Returns the response time of a job on an idle cluster.
pub fn idle_response_time(job: &Job, speeds: &[f64], slots: u32) -> Duration {
    let job = Job {
        at: Duration::ZERO,
        ..job.clone()
    };
    response_times(&[job], speeds, slots)
        .first()
        .copied()
        .unwrap_or_default()
}
