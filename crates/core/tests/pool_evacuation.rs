//! Evacuated failure domains, as an entry's scheduler and an agent's driver follow them.

#[path = "support/driver.rs"]
mod driver;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use driver::{Harness, MS, run};
use fastrand::Rng;
use rw_core::ids::{Name, NodeRef};
use rw_core::members::{Member, MemberState};
use rw_core::msg::Role;
use rw_core::pool::Uptime;
use rw_core::pool::catalog::Queue;
use rw_core::pool::driver::{Reply, StartRefusal};
use rw_core::pool::job::{Job, JobId, Resources, RunEnd, Step};
use rw_core::pool::msg::{CapacityReport, NotStarted, ToAgent, ToEntry, WorkerInfo};
use rw_core::pool::reach::Reach;
use rw_core::pool::scheduler::{Action, Answer, Scheduler};

const CAPACITY: Resources = Resources {
    cpu_milli: 4000,
    memory_mb: 100,
    accelerators: 0,
};

fn info(label: &str) -> WorkerInfo {
    WorkerInfo {
        pool: Some("p".into()),
        capacity: CAPACITY,
        labels: vec![label.into()],
    }
}

/// An entry with two agents in each of the domains `a` and `b`. The workers of each domain have its
/// name as a label.
struct Entry {
    scheduler: Scheduler,
    now: Uptime,
    out: Vec<Action>,
    jobs: u64,
}

impl Entry {
    fn new() -> Self {
        let now = Duration::from_secs(10);
        let mut entry = Self {
            scheduler: Scheduler::new(now, Rng::with_seed(1)),
            now,
            out: Vec::new(),
            jobs: 0,
        };
        for name in ["a1", "a2", "b1", "b2"] {
            entry.link(name);
        }
        entry
    }

    fn link(&mut self, name: &str) {
        let domain = &name[..1];
        let name = Name::from(name);
        self.scheduler.agent_up(self.now, &name, &mut self.out);
        self.scheduler.agent_domain(&name, &domain.into());
        let report = CapacityReport {
            open: true,
            free: CAPACITY,
            ..CapacityReport::default()
        };
        for msg in [ToEntry::Worker(info(domain)), ToEntry::Capacity(report)] {
            self.scheduler.on_agent(self.now, &name, msg, &mut self.out);
        }
    }

    fn set_evacuated(&mut self, domains: &[&str]) {
        let domains = domains.iter().map(|domain| Name::from(*domain));
        self.scheduler
            .set_evacuated(self.now, domains.collect(), &mut self.out);
    }

    fn submit(&mut self, tasks: u16, label: Option<&str>) {
        self.jobs += 1;
        let step = Step {
            count: tasks,
            needs: Resources {
                memory_mb: 1,
                cpu_milli: 1000,
                accelerators: 0,
            },
            estimate: 100 * MS,
            label: label.map(Name::from),
            ..Step::default()
        };
        let job = Job {
            id: JobId(self.jobs),
            request: "r".into(),
            payload: "x".into(),
            steps: vec![step],
        };
        let queue = Queue {
            name: "q".into(),
            host: "h".into(),
            prefix: "/q/".into(),
            pool: "p".into(),
            timeout: Duration::from_secs(2),
            aim: 60 * MS,
            slack: 1.6,
            priority: 0,
            max_failures: 2,
            advised: false,
        };
        let deadline = Duration::from_secs(2);
        self.scheduler
            .submit(self.now, job, Arc::new(queue), 1, deadline, &mut self.out);
    }

    /// Returns the agents that were sent starts since the last call, in order of their names.
    fn started_on(&mut self) -> Vec<Name> {
        let start = |action: Action| match action {
            Action::Send(agent, ToAgent::Start(_)) => Some(agent),
            _ => None,
        };
        let mut agents: Vec<Name> = self.out.drain(..).filter_map(start).collect();
        agents.sort();
        agents
    }

    fn was_refused(&self) -> bool {
        self.out.iter().any(|action| {
            matches!(action, Action::Answer(_, Answer::NotRun { retry_after, .. })
                if !retry_after.is_zero())
        })
    }
}

/// Guards against starts sent to an evacuated domain, and against room elsewhere left unused.
#[test]
fn an_entry_uses_only_the_domains_that_are_not_evacuated() {
    let mut entry = Entry::new();
    entry.set_evacuated(&["a"]);
    entry.submit(12, None);
    let agents = entry.started_on();
    assert_eq!(agents.len(), 8, "{agents:?}");
    assert!(agents.iter().all(|agent| agent.starts_with('b')));
}

/// Guards against a domain whose agents link, or link again, after the order.
#[test]
fn an_agent_that_links_later_gets_no_starts_either() {
    let mut entry = Entry::new();
    entry.set_evacuated(&["a", "c"]);
    entry.link("a2");
    entry.link("c1");
    entry.submit(12, None);
    let agents = entry.started_on();
    assert!(
        agents.iter().all(|agent| agent.starts_with('b')),
        "{agents:?}"
    );
}

/// Guards against readiness and admission that still count on the lost room.
#[test]
fn the_lost_room_is_known_at_once() {
    let mut entry = Entry::new();
    let pool = Name::from("p");
    entry.set_evacuated(&["a"]);
    assert!((entry.scheduler.fleet().free_cpu(entry.now, &pool) - 8000.0).abs() < 1.0);
    entry.set_evacuated(&["a", "b"]);
    assert_eq!(
        entry.scheduler.fleet().most_free(entry.now),
        Resources::default()
    );
    assert!(!entry.scheduler.fleet().any_accepts_runs(entry.now));
    let shortage = entry.scheduler.shortage_by_evacuation();
    assert_eq!(shortage.map(|s| s.pool), Some(pool));
}

/// Guards against a job that waits until its deadline, or is answered as failed for good.
#[test]
fn a_job_that_only_an_evacuated_domain_could_run_is_refused_with_a_delay() {
    let mut entry = Entry::new();
    entry.set_evacuated(&["a"]);
    entry.submit(1, Some("a"));
    assert!(entry.was_refused(), "{:?}", entry.out);
    assert_eq!(entry.scheduler.open_jobs(), 0);
    entry.scheduler.set_offers(vec![info("a")]);
    entry.submit(1, Some("a"));
    assert_eq!(
        entry.scheduler.open_jobs(),
        1,
        "an agent elsewhere could run it"
    );
}

/// Guards against a job that waits on for the label of a domain evacuated meanwhile.
#[test]
fn a_waiting_job_of_a_domain_that_is_evacuated_is_refused() {
    let mut entry = Entry::new();
    entry.submit(8, Some("a"));
    entry.submit(1, Some("a"));
    entry.out.clear();
    entry.set_evacuated(&["a"]);
    assert!(entry.was_refused(), "{:?}", entry.out);
    assert_eq!(entry.scheduler.open_jobs(), 1, "the job at work stays");
}

/// Guards against a domain that stays empty after it was taken back, while jobs wait.
#[test]
fn a_domain_that_is_taken_back_is_used_at_once() {
    let mut entry = Entry::new();
    entry.set_evacuated(&["a"]);
    entry.submit(12, None);
    entry.started_on();
    entry.set_evacuated(&[]);
    let agents = entry.started_on();
    assert_eq!(agents.len(), 4, "{agents:?}");
    assert!(agents.iter().all(|agent| agent.starts_with('a')));
}

/// Guards against links that are opened to agents which get no starts.
#[test]
fn an_entry_links_on_demand_to_no_agent_of_an_evacuated_domain() {
    let mut entry = Entry::new();
    let member = |i: usize| {
        let addr = SocketAddr::from(([127, 0, 0, 1], 1));
        let domain: Name = if i.is_multiple_of(2) { "c" } else { "d" }.into();
        Member {
            node: NodeRef {
                name: format!("{domain}{i}").into(),
                incarnation: 1,
            },
            version: 1,
            role: if i < 40 { Role::Agent } else { Role::Entry },
            domain,
            gossip: addr,
            link: addr,
            http: addr,
            state: MemberState::Alive,
            leaving: false,
            ready_for: 0,
            offers: (i < 40).then(|| info("x")),
        }
    };
    let mut reach = Reach::new("e".into());
    reach.set_members(&(0..80).map(member).collect::<Vec<_>>());
    entry.set_evacuated(&["a", "b", "c"]);
    let shortage = entry.scheduler.shortage_by_evacuation();
    let fleet = entry.scheduler.fleet();
    // Links are opened once the shortage has lasted for a while.
    for now in [entry.now, entry.now + 200 * MS] {
        reach.tick(now, shortage.as_ref(), fleet, &mut Rng::with_seed(1));
    }
    let targets: Vec<&Name> = reach.targets().map(|(name, _)| name).collect();
    assert!(!targets.is_empty());
    assert!(
        targets.iter().all(|name| name.starts_with('d')),
        "{targets:?}"
    );
}

/// Guards against starts of an entry that has not heard of the evacuation.
#[test]
fn an_agent_of_an_evacuated_domain_refuses_queued_and_new_starts_and_keeps_its_runs() {
    let mut agent = Harness::new();
    agent.start_confirmed(run(1, 1), 3000);
    agent.start(run(2, 1), 1500, 5000);
    agent.driver.set_evacuated(agent.now, true, &mut agent.out);
    assert_eq!(agent.refusal(run(2, 1)), Some(NotStarted::NoWorker));
    agent.start(run(3, 1), 100, 0);
    assert_eq!(agent.refusal(run(3, 1)), Some(NotStarted::NoWorker));
    assert_eq!(agent.stop_call(), None);
    agent.answer_list(&[], &[(1, run(1, 1), RunEnd::Done)]);
    assert_eq!(agent.ended(run(1, 1)), Some(RunEnd::Done));
}

/// Guards against a run that stays queued without an answer: its start was refused by a full worker
/// after the order.
#[test]
fn a_start_that_a_full_worker_refuses_after_the_order_is_not_queued_again() {
    let mut agent = Harness::new();
    agent.start(run(1, 1), 1000, 5000);
    let (call, _) = agent.start_call().expect("the run is started");
    agent.driver.set_evacuated(agent.now, true, &mut agent.out);
    agent.answer(call, Reply::Refused(StartRefusal::NoCapacity));
    assert_eq!(agent.refusal(run(1, 1)), Some(NotStarted::NoWorker));
}

/// Guards against an agent that stays closed, or unannounced, after its domain was taken back.
#[test]
fn an_agent_whose_domain_is_taken_back_reports_it_and_starts_runs() {
    let mut agent = Harness::new();
    agent.driver.set_evacuated(agent.now, true, &mut agent.out);
    agent.take_actions();
    agent.driver.set_evacuated(agent.now, false, &mut agent.out);
    let is_open = |msg: &&ToEntry| matches!(msg, ToEntry::Capacity(report) if report.open);
    assert!(agent.sent().iter().any(is_open));
    agent.start(run(1, 1), 100, 0);
    assert!(agent.start_call().is_some());
}

/// Guards against a restarted agent that starts a run before it knows whether its domain is
/// evacuated.
#[test]
fn a_new_agent_process_starts_nothing_before_the_first_state() {
    let mut agent = Harness::new();
    agent.driver.await_domain_state();
    agent.start(run(1, 1), 100, 0);
    assert_eq!(agent.refusal(run(1, 1)), Some(NotStarted::NoWorker));
    agent.driver.set_evacuated(agent.now, false, &mut agent.out);
    agent.start(run(2, 1), 100, 0);
    assert!(agent.start_call().is_some());
}
