//! Jobs and messages with extreme numbers must not end the process of an entry.

use std::sync::Arc;
use std::time::Duration;

use rw_core::ids::Name;
use rw_core::pool::catalog::Queue;
use rw_core::pool::job::{Job, JobId, Resources, Step};
use rw_core::pool::msg::{CapacityReport, ToEntry, WorkerInfo};
use rw_core::pool::scheduler::Scheduler;

const NOW: Duration = Duration::from_secs(10);
/// The longest time that a number of milliseconds on the wire can state.
const LONGEST: Duration = Duration::from_millis(u64::MAX);
const CAPACITY: Resources = Resources {
    cpu_milli: 32_000,
    memory_mb: 100,
    accelerators: 0,
};

fn queue(slack: f64, aim: Duration) -> Arc<Queue> {
    Arc::new(Queue {
        name: "q".into(),
        host: "h".into(),
        prefix: "/q/".into(),
        pool: "p".into(),
        timeout: Duration::from_secs(2),
        aim,
        slack,
        priority: 0,
        max_failures: 2,
        advised: false,
    })
}

fn job(steps: usize, estimate: Duration) -> Job {
    let step = |number: usize| Step {
        count: 6,
        needs: CAPACITY,
        estimate,
        after: (0..number as u16).collect(),
        ..Step::default()
    };
    Job {
        id: JobId(1),
        request: "r".into(),
        payload: "x".into(),
        steps: (0..steps).map(step).collect(),
    }
}

/// Submits the job to an entry with one busy worker and lets two seconds pass.
fn play(job: Job, queue: Arc<Queue>, deadline: Duration, pace: f32) {
    let mut scheduler = Scheduler::new(NOW, fastrand::Rng::with_seed(1));
    let mut out = Vec::new();
    let worker = Name::from("w");
    scheduler.agent_up(NOW, &worker, &mut out);
    let info = WorkerInfo {
        pool: Some("p".into()),
        capacity: CAPACITY,
        labels: Vec::new(),
    };
    scheduler.on_agent(NOW, &worker, ToEntry::Worker(info), &mut out);
    let report = CapacityReport {
        open: true,
        pace,
        ..CapacityReport::default()
    };
    scheduler.on_agent(NOW, &worker, ToEntry::Capacity(report), &mut out);
    scheduler.submit(NOW, job, queue, 1, deadline, &mut out);
    for tick in 1..100 {
        let now = NOW + Duration::from_millis(20 * tick);
        scheduler.observe(now, &mut out);
        let free = if tick > 50 {
            CAPACITY
        } else {
            Resources::default()
        };
        scheduler.on_agent(
            now,
            &worker,
            ToEntry::Capacity(CapacityReport { free, ..report }),
            &mut out,
        );
        scheduler.place_waiting(now, &mut out);
        scheduler.tick(now, &mut out);
    }
}

#[test]
fn the_longest_estimates_deadlines_and_aims_are_served_or_refused() {
    let short = Duration::from_millis(100);
    for estimate in [Duration::ZERO, short, LONGEST] {
        for steps in [1, 64] {
            for (slack, aim) in [
                (1.6, short),
                (1.6, LONGEST),
                (0.0, Duration::ZERO),
                (-1.0, short),
                (f64::MAX, short),
                (f64::NAN, short),
                (f64::INFINITY, LONGEST),
            ] {
                for deadline in [Duration::ZERO, short, LONGEST] {
                    play(job(steps, estimate), queue(slack, aim), deadline, 0.0);
                }
            }
        }
    }
}

#[test]
fn a_pace_that_is_no_number_or_far_out_of_range_is_tolerated() {
    let short = Duration::from_millis(100);
    for pace in [
        f32::NAN,
        f32::INFINITY,
        f32::NEG_INFINITY,
        f32::MAX,
        f32::MIN,
    ] {
        for estimate in [short, LONGEST] {
            play(job(2, estimate), queue(1.6, short), LONGEST, pace);
        }
    }
}
