//! Plays of more load than a pool has room for: what callers get, by queue and by size of job.

#[path = "support/crowd.rs"]
mod crowd;

use std::time::Duration;

use crowd::{Crowd, Kind, Outcome, Sent, large, of, share};

const SECOND: Duration = Duration::from_secs(1);
const IN_AIM: [Outcome; 1] = [Outcome::InAim];
const SERVED: [Outcome; 2] = [Outcome::InAim, Outcome::Late];
/// Cores of the workers in the plays.
const CORES: f64 = 160.0;

/// Three kinds of job that together use about half of 10 workers.
const KINDS: [Kind; 3] = [
    Kind {
        queue: "short",
        priority: 0,
        per_s: 33.0,
        tasks: 8,
        run_ms: 50.0,
    },
    Kind {
        queue: "long",
        priority: 2,
        per_s: 7.2,
        tasks: 4,
        run_ms: 500.0,
    },
    Kind {
        queue: "small",
        priority: 1,
        per_s: 100.0,
        tasks: 2,
        run_ms: 170.0,
    },
];

/// Returns the kinds with all rates multiplied by `all`, and that of one kind also by `one`.
fn times(all: f64, number: usize, one: f64) -> [Kind; 3] {
    let mut kinds = KINDS;
    for kind in &mut kinds {
        kind.per_s *= all;
    }
    kinds[number].per_s *= one;
    kinds
}

/// A burst of four seconds.
struct Burst {
    entries: usize,
    kinds: [Kind; 3],
    hanging: usize,
}

const SEEDS: u64 = 8;

impl Burst {
    fn play(&self, seed: u64) -> Crowd {
        let alive = vec![true; self.entries];
        let mut crowd = Crowd::new(seed, self.entries, 10, &KINDS);
        crowd.set_peer_delay(Duration::from_millis(100));
        crowd.play(2 * SECOND, &KINDS, &alive);
        crowd.set_hanging(self.hanging);
        crowd.play(4 * SECOND, &self.kinds, &alive);
        crowd.set_hanging(0);
        crowd.play(3 * SECOND, &KINDS, &alive);
        crowd
    }

    /// Plays the burst with several seeds, checks that the queue is clean a second after it and
    /// passes the jobs that were sent during the bursts.
    fn check<R>(&self, check: R)
    where
        R: FnOnce(&[&Sent]),
    {
        let crowds: Vec<Crowd> = (1..=SEEDS).map(|seed| self.play(seed)).collect();
        for crowd in &crowds {
            let in_aim = share(&crowd.sent_in(17 * SECOND, SECOND), &IN_AIM);
            assert!(in_aim > 0.95, "{in_aim} in time a second after the burst");
            // The order turns at most once a second at each entry of a play of nine seconds.
            let changes = crowd.mode_changes;
            assert!(changes <= 9 * self.entries, "{changes} changes of order");
            let mut returns = crowd.retry_after.clone();
            returns.sort_unstable();
            let at = |quarter: usize| returns[returns.len() * quarter / 4];
            let spread = at(3).saturating_sub(at(1));
            assert!(
                spread >= SECOND / 4,
                "half of the callers return in {spread:?}"
            );
        }
        let sent = crowds.iter();
        let sent = sent.flat_map(|crowd| crowd.sent_in(12 * SECOND, 4 * SECOND));
        check(&sent.collect::<Vec<_>>());
    }

    /// Returns the room during all bursts, in core-seconds.
    fn room(&self) -> f64 {
        (CORES - 16.0 * self.hanging as f64) * 4.0 * SEEDS as f64
    }
}

/// Returns the work of jobs, in core-seconds.
fn work(jobs: &[&Sent]) -> f64 {
    jobs.iter().map(|job| job.work).sum::<f64>() / 1000.0
}

/// Returns the max-min share of each demand, by a search for the level up to which all are served.
fn max_min_share(room: f64, demands: &[f64]) -> Vec<f64> {
    let served = |level: f64| demands.iter().map(|demand| demand.min(level)).sum::<f64>();
    let (mut low, mut high) = (0.0, demands.iter().copied().fold(0.0, f64::max));
    for _ in 0..60 {
        let middle = f64::midpoint(low, high);
        if served(middle) > room {
            high = middle;
        } else {
            low = middle;
        }
    }
    demands.iter().map(|demand| demand.min(low)).collect()
}

/// Checks that each queue gets its max-min share within a tenth, and that large jobs are served at
/// least half as often as their queue.
fn check_shares(sent: &[&Sent], room: f64) {
    let demands = KINDS.map(|kind| work(&of(sent, kind.queue)));
    let shares = max_min_share(room, &demands);
    for (kind, due) in KINDS.iter().zip(shares) {
        let jobs = of(sent, kind.queue);
        let done: Vec<&Sent> = jobs.iter().copied().filter(|job| job.is_served()).collect();
        let got = work(&done);
        assert!(
            got >= 0.9 * due,
            "{}: {got} of {due} core-seconds",
            kind.queue
        );
        let whole = share(&jobs, &SERVED);
        for class in large(&jobs) {
            let served = share(&class, &SERVED);
            let queue = kind.queue;
            assert!(
                served >= 0.5 * whole,
                "{queue}: {served} of the large, {whole} of all"
            );
        }
    }
}

/// Guards against the order by aim, which spends the room on jobs that end too late: as many callers
/// are served in time as there is room for if all jobs were of one size.
#[test]
fn at_a_crest_with_hanging_workers_the_room_is_used_for_callers_in_time() {
    let burst = Burst {
        entries: 2,
        kinds: times(1.5, 2, 1.8),
        hanging: 1,
    };
    burst.check(|sent| {
        check_shares(sent, burst.room());
        let (in_aim, due) = (share(sent, &IN_AIM), burst.room() / work(sent));
        assert!(in_aim >= due, "{in_aim} in time, room for {due}");
    });
}

/// Guards against a burst of large jobs that takes the room of the other queues.
#[test]
fn a_burst_of_large_jobs_leaves_the_other_queues_their_share() {
    let burst = Burst {
        entries: 1,
        kinds: times(1.4, 1, 2.5),
        hanging: 0,
    };
    burst.check(|sent| check_shares(sent, burst.room()));
}

/// Guards against urgent jobs that are refused in favour of others.
#[test]
fn a_burst_of_urgent_jobs_is_served() {
    let burst = Burst {
        entries: 1,
        kinds: times(1.5, 0, 1.8),
        hanging: 0,
    };
    burst.check(|sent| {
        check_shares(sent, burst.room());
        let in_aim = share(&of(sent, "short"), &IN_AIM);
        assert!(in_aim >= 0.95, "{in_aim} of the urgent jobs in time");
    });
}

fn check_greedy(burst: &Burst) {
    burst.check(|sent| {
        check_shares(sent, burst.room());
        for queue in ["short", "long"] {
            let served = share(&of(sent, queue), &SERVED);
            assert!(served >= 0.98, "{queue}: {served} served");
        }
        // In the order of arrival the greedy queue's room would serve as many callers as it is of
        // the work that they ask for.
        let greedy = of(sent, "small");
        let room = burst.room() - (work(sent) - work(&greedy));
        let (in_aim, due) = (share(&greedy, &IN_AIM), room / work(&greedy));
        assert!(in_aim >= 1.2 * due, "{in_aim} in time, room for {due}");
    });
}

/// Guards against a queue that asks for ten times its share at the cost of the others, and against
/// spending its share on its largest jobs.
#[test]
fn a_greedy_queue_gets_no_more_than_its_share() {
    check_greedy(&Burst {
        entries: 1,
        kinds: times(1.0, 2, 10.0),
        hanging: 0,
    });
}

/// Guards against entries that each count the whole pool as their own, with reports on the way for
/// half an interval.
#[test]
fn two_entries_share_a_pool_by_late_reports() {
    check_greedy(&Burst {
        entries: 2,
        kinds: times(1.0, 2, 10.0),
        hanging: 0,
    });
}
