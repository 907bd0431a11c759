//! Explanations of where a job would go, compared with where it then goes.

use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use indexmap::IndexMap;
use rw_core::ids::Name;
use rw_core::pool::Uptime;
use rw_core::pool::catalog::{Catalog, Queue};
use rw_core::pool::fleet::WorkerVerdict;
use rw_core::pool::job::{Job, JobId, Resources, Step};
use rw_core::pool::msg::{CapacityReport, ToAgent, ToEntry, WorkerInfo};
use rw_core::pool::scheduler::{Action, Answer, Explanation, Outcome, Scheduler};

const MS: Duration = Duration::from_millis(1);
const DEADLINE: Duration = Duration::from_secs(2);

fn resources(cpu_milli: u32) -> Resources {
    Resources {
        cpu_milli,
        memory_mb: 1,
        accelerators: 0,
    }
}

fn queue(priority: u32) -> Arc<Queue> {
    Arc::new(Queue {
        name: format!("q{priority}").into(),
        host: "h".into(),
        prefix: format!("/q{priority}/").into(),
        pool: "p".into(),
        timeout: DEADLINE,
        aim: 60 * MS,
        slack: 1.6,
        priority,
        max_failures: 2,
        advised: false,
    })
}

fn job(id: u64, tasks: u16, cpu_milli: u32, label: Option<&str>) -> Job {
    let step = Step {
        count: tasks,
        needs: resources(cpu_milli),
        estimate: 100 * MS,
        label: label.map(Name::from),
        ..Step::default()
    };
    Job {
        id: JobId(id),
        request: "r".into(),
        payload: "x".into(),
        steps: vec![step],
    }
}

/// An entry with workers of four cores each: two of domain `a`, two of domain `b`, labelled with their
/// domain, and as many more of `b` as asked for.
struct Entry {
    scheduler: Scheduler,
    now: Uptime,
    out: Vec<Action>,
}

impl Entry {
    fn new(further: usize) -> Self {
        let now = Duration::from_secs(10);
        let mut entry = Self {
            scheduler: Scheduler::new(now, Rng::with_seed(1)),
            now,
            out: Vec::new(),
        };
        let names = ["a1", "a2", "b1", "b2"].map(str::to_owned);
        let further = (0..further).map(|i| format!("b{}", i + 3));
        for name in names.into_iter().chain(further) {
            entry.link(&name.as_str().into());
        }
        entry
    }

    /// Puts queues of different priority in force.
    fn set_queues(&mut self) -> [Arc<Queue>; 2] {
        let queues = [queue(0), queue(1)];
        self.scheduler.set_catalog(&Catalog {
            queues: queues.iter().map(|queue| (**queue).clone()).collect(),
            ..Catalog::default()
        });
        queues
    }

    fn link(&mut self, name: &Name) {
        let domain = Name::from(&name[..1]);
        self.scheduler.agent_up(self.now, name, &mut self.out);
        self.scheduler.agent_domain(name, &domain);
        let info = WorkerInfo {
            pool: Some("p".into()),
            capacity: resources(4000),
            labels: vec![domain],
        };
        self.on_agent(name, ToEntry::Worker(info));
        self.report(name, resources(4000), 0);
    }

    fn report(&mut self, name: &Name, free: Resources, reserved_milli: u32) {
        let report = CapacityReport {
            open: true,
            free: Resources {
                memory_mb: 100,
                ..free
            },
            reserved: resources(reserved_milli),
            ..CapacityReport::default()
        };
        self.on_agent(name, ToEntry::Capacity(report));
    }

    fn on_agent(&mut self, name: &Name, msg: ToEntry) {
        self.scheduler.on_agent(self.now, name, msg, &mut self.out);
    }

    fn explain(&self, job: &Job) -> Explanation {
        self.scheduler.explain(self.now, job, &queue(0), DEADLINE)
    }

    /// Submits the job and lets 15 ms pass. Returns the tasks sent by worker, and the answer.
    fn submit(&mut self, job: Job) -> (IndexMap<Name, u32>, Option<Answer>) {
        self.out.clear();
        let mut out = Vec::new();
        let (id, caller) = (job.id, job.id.0);
        self.scheduler
            .submit(self.now, job, queue(0), caller, DEADLINE, &mut out);
        for _ in 0..3 {
            self.now += 5 * MS;
            self.scheduler.tick(self.now, &mut out);
        }
        let (mut workers, mut answer) = (IndexMap::new(), None);
        for action in out {
            match action {
                Action::Send(worker, ToAgent::Start(start)) if start.run.task.job == id => {
                    *workers.entry(worker).or_default() += 1;
                }
                Action::Answer(to, given) if to == caller => answer = Some(given),
                _ => {}
            }
        }
        (workers, answer)
    }
}

/// Guards against an explanation that names other workers than the job then goes to.
#[test]
fn a_job_goes_to_the_workers_that_were_named() {
    for further in [0, 40] {
        let mut entry = Entry::new(further);
        let job = job(1, 6, 1000, Some("b"));
        let explained = entry.explain(&job);
        let (sent, answer) = entry.submit(job);
        let Outcome::Placed { workers, end, .. } = explained.outcome else {
            panic!("{explained:?}");
        };
        assert_eq!((workers, answer), (sent, None));
        assert_eq!(end, 100 * MS);
        let step = &explained.steps[0];
        assert!(matches!(
            step.workers[0].verdict,
            WorkerVerdict::Suitable { .. }
        ));
        assert!(step.counts.contains(&("lacks the label".to_owned(), 2)));
        assert!(step.workers.len() <= 10);
    }
}

/// Guards against a job that is explained as waiting or placed but refused on arrival, since no worker
/// could ever hold it, and against another reason.
#[test]
fn a_job_that_no_worker_could_hold_is_refused_for_the_reason_given() {
    let mut entry = Entry::new(0);
    let job = job(1, 1, 5000, None);
    let Outcome::Refused(refusal) = entry.explain(&job).outcome else {
        panic!();
    };
    let (_, answer) = entry.submit(job);
    assert!(
        matches!(&answer, Some(Answer::Failed(reason)) if *reason == refusal.reason),
        "{answer:?} {refusal:?}"
    );
    assert_eq!(refusal.retry_after, None);
}

/// Guards against an explanation that overlooks an evacuation.
#[test]
fn a_job_of_an_evacuated_domain_is_refused_for_the_reason_given() {
    let mut entry = Entry::new(0);
    let domains = [Name::from("a")].into_iter().collect();
    entry
        .scheduler
        .set_evacuated(entry.now, domains, &mut entry.out);
    let job = job(1, 1, 1000, Some("a"));
    let explained = entry.explain(&job);
    assert_eq!(explained.evacuated, ["a".into()]);
    let evacuated = ("failure domain evacuated".to_owned(), 2);
    assert!(explained.steps[0].counts.contains(&evacuated));
    let Outcome::Refused(refusal) = explained.outcome else {
        panic!();
    };
    let (_, answer) = entry.submit(job);
    let Some(Answer::NotRun {
        reason,
        retry_after,
    }) = answer
    else {
        panic!("{answer:?}");
    };
    assert_eq!(
        (reason, Some(retry_after)),
        (&*refusal.reason, refusal.retry_after)
    );
}

/// Guards against an explanation that promises a start where no worker has room, and against a wrong
/// place in line.
#[test]
fn a_job_without_room_waits_as_explained() {
    let mut entry = Entry::new(0);
    for name in ["a1", "a2", "b1"] {
        entry.report(&name.into(), resources(500), 0);
    }
    entry.report(&"b2".into(), resources(2000), 1500);
    let (sent, _) = entry.submit(job(1, 1, 1000, None));
    assert!(sent.is_empty());
    let job = job(2, 2, 1000, None);
    let explained = entry.explain(&job);
    let Outcome::Waits { jobs_before, .. } = explained.outcome else {
        panic!("{explained:?}");
    };
    assert_eq!(jobs_before, 1);
    let counts = [("room is promised to other entries", 1), ("no room", 3)];
    let counts = counts.map(|(reason, n)| (reason.to_owned(), n));
    assert_eq!(explained.steps[0].counts, counts);
    let (sent, answer) = entry.submit(job);
    assert_eq!((sent.len(), answer), (0, None));
}

/// Guards against an explanation that leaves out the order and the refusals of a pool with too little
/// room.
#[test]
fn under_overload_each_job_ends_up_as_explained() {
    let mut entry = Entry::new(4);
    entry.set_queues();
    let mut rng = Rng::with_seed(3);
    let mut outcomes = IndexMap::new();
    for i in 0..300 {
        let name = Name::from(format!("b{}", rng.usize(1..7)));
        entry.report(&name, resources(rng.u32(0..3) * 500), 0);
        let job = job(i, rng.u16(1..9), 500, None);
        let explained = entry.explain(&job).outcome;
        *outcomes.entry(explained.as_str()).or_insert(0) += 1;
        let (sent, answer) = entry.submit(job);
        match (&explained, &answer) {
            (
                Outcome::Refused(refusal),
                Some(Answer::NotRun {
                    reason,
                    retry_after,
                }),
            ) => {
                let given = (*reason, Some(*retry_after));
                assert_eq!(given, (&*refusal.reason, refusal.retry_after));
            }
            (Outcome::Placed { workers, .. } | Outcome::Waits { workers, .. }, None) => {
                assert_eq!(*workers, sent);
            }
            _ => panic!("job {i}: {explained:?}, but {answer:?}"),
        }
    }
    assert!(outcomes.len() == 3, "{outcomes:?}");
}

/// Plays arrivals, reports and ticks with a seed, with explanations in between or not, and returns all
/// actions as text.
fn play(explains: usize) -> (Vec<String>, usize) {
    let mut entry = Entry::new(20);
    let queues = entry.set_queues();
    let mut rng = Rng::with_seed(5);
    let mut out = Vec::new();
    let mut refused = 0;
    for i in 0..200 {
        entry.now += 5 * MS;
        for _ in 0..3 {
            let spec = job(i * 3 + rng.u64(0..3), rng.u16(1..8), 1000, None);
            let queue = queues[rng.usize(0..2)].clone();
            entry
                .scheduler
                .submit(entry.now, spec, queue, 1, DEADLINE, &mut out);
        }
        let name = Name::from(format!("b{}", rng.usize(1..23)));
        let free = resources(rng.u32(0..4) * 1000);
        entry.report(&name, free, 0);
        out.append(&mut entry.out);
        for n in 0..explains {
            let spec = job(i, n as u16 + 1, 1000, None);
            let outcome = entry.explain(&spec).outcome;
            refused += usize::from(matches!(outcome, Outcome::Refused(_)));
        }
        entry.scheduler.tick(entry.now, &mut out);
    }
    let actions = out.iter().map(|action| format!("{action:?}"));
    (actions.collect(), refused)
}

/// Guards against an explanation that draws random numbers, reserves room or charges a share.
#[test]
fn a_thousand_explanations_change_no_decision() {
    let (without, _) = play(0);
    let (with, refused) = play(5);
    assert_eq!(without, with);
    assert!(refused > 0 && refused < 1000, "{refused}");
}
