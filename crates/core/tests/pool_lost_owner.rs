//! What an entry concludes when it has lost sight of the entry that runs a job.

use std::sync::Arc;
use std::time::Duration;

use rw_core::ids::Name;
use rw_core::pool::Uptime;
use rw_core::pool::acquaintance::ACQUAINTANCE_LIMIT;
use rw_core::pool::catalog::Queue;
use rw_core::pool::job::{Job, JobId, Resources, Step};
use rw_core::pool::msg::{CapacityReport, Peer, ToAgent, ToEntry, WorkerInfo};
use rw_core::pool::scheduler::{Action, Note, Scheduler};

const MS: Duration = Duration::from_millis(1);

/// An entry with one linked agent, and its actions so far.
struct Entry {
    scheduler: Scheduler,
    now: Uptime,
    out: Vec<Action>,
    agent: Name,
}

fn cpu(cpu_milli: u32) -> Resources {
    Resources {
        cpu_milli,
        memory_mb: 1,
        accelerators: 0,
    }
}

impl Entry {
    fn new(agent: &str) -> Self {
        let now = Duration::from_secs(10);
        let mut entry = Self {
            scheduler: Scheduler::new(now, fastrand::Rng::with_seed(1)),
            now,
            out: Vec::new(),
            agent: agent.into(),
        };
        entry.scheduler.agent_up(now, &entry.agent, &mut entry.out);
        entry.offer_worker();
        entry
    }

    fn offer_worker(&mut self) {
        let capacity = Resources {
            memory_mb: 100,
            ..cpu(4000)
        };
        self.receive(ToEntry::Worker(WorkerInfo {
            pool: Some("p".into()),
            capacity,
            labels: Vec::new(),
        }));
        self.receive(ToEntry::Capacity(CapacityReport {
            open: true,
            free: capacity,
            ..CapacityReport::default()
        }));
    }

    fn receive(&mut self, msg: ToEntry) {
        self.scheduler
            .on_agent(self.now, &self.agent, msg, &mut self.out);
        self.scheduler.place_waiting(self.now, &mut self.out);
    }

    fn submit(&mut self) {
        let job = Job {
            id: JobId(1),
            request: "r1".into(),
            payload: "x".into(),
            steps: vec![Step {
                count: 1,
                needs: cpu(1000),
                estimate: 100 * MS,
                ..Step::default()
            }],
        };
        let queue = Arc::new(Queue {
            name: "q".into(),
            host: "h".into(),
            prefix: "/q/".into(),
            pool: "p".into(),
            timeout: Duration::from_secs(9),
            aim: 60 * MS,
            slack: 1.6,
            priority: 0,
            max_failures: 2,
            advised: false,
        });
        let deadline = Duration::from_secs(9);
        self.scheduler
            .submit(self.now, job, queue, 1, deadline, &mut self.out);
    }

    fn advance(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / 20 {
            self.now += 20 * MS;
            self.scheduler.observe(self.now, &mut self.out);
            self.scheduler.tick(self.now, &mut self.out);
        }
    }

    fn on_peer(&mut self, peer: &str, msg: Peer) {
        self.scheduler
            .on_peer(self.now, &peer.into(), msg, &mut self.out);
    }

    /// Takes in a job that another entry is known to run.
    fn hold_job_of(&mut self, owner: &str) {
        self.scheduler.peer_up(&owner.into(), &mut self.out);
        self.on_peer(owner, announcement());
        self.submit();
        assert_eq!((self.count(is_yield), self.count(is_start)), (1, 0));
    }

    /// Takes the entries for alive and is linked to all of them.
    fn hear_of_entries(&mut self, names: &[&str]) {
        let names = names.iter().map(|name| Name::from(*name));
        self.scheduler.set_live_entries(names.clone().collect());
        for name in names {
            self.scheduler.peer_up(&name, &mut self.out);
        }
    }

    /// Stands still for two seconds and has a link only to its agent again.
    fn wake(&mut self) {
        self.now += 2000 * MS;
        self.scheduler.observe(self.now, &mut self.out);
        let agent = self.agent.clone();
        self.scheduler.agent_down(self.now, &agent);
        self.scheduler.agent_up(self.now, &agent, &mut self.out);
        self.offer_worker();
    }

    fn is_acquainted(&mut self) -> bool {
        self.scheduler.is_acquainted(self.now)
    }

    fn count(&self, matching: fn(&Action) -> bool) -> usize {
        self.out.iter().filter(|action| matching(action)).count()
    }
}

fn is_start(action: &Action) -> bool {
    matches!(action, Action::Send(_, ToAgent::Start(_)))
}

fn is_stop(action: &Action) -> bool {
    matches!(action, Action::Send(_, ToAgent::Stop { .. }))
}

fn is_yield(action: &Action) -> bool {
    matches!(action, Action::Peer(_, Peer::Yield { .. }))
}

fn announcement() -> Peer {
    Peer::JobsStarted {
        jobs: vec![JobId(1)],
    }
}

#[test]
fn a_job_is_not_started_again_while_its_owner_runs_it_and_only_the_link_between_entries_is_lost() {
    let (mut owner, mut other) = (Entry::new("a"), Entry::new("b"));
    owner.scheduler.peer_up(&"other".into(), &mut owner.out);
    other.scheduler.peer_up(&"owner".into(), &mut other.out);
    let live = || ["owner".into(), "other".into()].into();
    owner.scheduler.set_live_entries(live());
    other.scheduler.set_live_entries(live());
    owner.submit();
    assert_eq!(owner.count(is_start), 1);
    other.on_peer("owner", announcement());
    owner.scheduler.peer_down(owner.now, &"other".into());
    other.scheduler.peer_down(other.now, &"owner".into());
    other.advance(1300 * MS);
    other.submit();
    other.advance(1000 * MS);
    owner.advance(2300 * MS);
    let runs = owner.count(is_start) - owner.count(is_stop) + other.count(is_start);
    assert!(runs <= 1, "{runs} runs of a task at once");
}

/// An entry that stood still has no links when callers come to it, so it did not know that their jobs
/// run elsewhere and started them again.
#[test]
fn a_job_waits_at_an_entry_that_has_just_woken_until_it_has_heard_of_the_jobs_of_the_others() {
    let mut entry = Entry::new("a");
    entry.hear_of_entries(&["owner", "idle"]);
    entry.wake();
    entry.submit();
    entry.advance(200 * MS);
    assert_eq!(entry.count(is_start), 0, "it has heard of no entry");
    entry.scheduler.peer_up(&"idle".into(), &mut entry.out);
    entry.scheduler.peer_up(&"owner".into(), &mut entry.out);
    entry.on_peer("idle", Peer::JobsStarted { jobs: Vec::new() });
    entry.on_peer("owner", announcement());
    entry.advance(2000 * MS);
    assert_eq!((entry.count(is_yield), entry.count(is_start)), (1, 0));
    entry.on_peer("owner", Peer::Yielded { job: JobId(1) });
    assert_eq!(entry.count(is_start), 1);
}

#[test]
fn a_job_that_no_other_entry_runs_starts_at_an_entry_that_has_just_woken_once_all_are_heard() {
    let mut entry = Entry::new("a");
    entry.hear_of_entries(&["other"]);
    entry.wake();
    // Left in the buffers of the link that was up before.
    entry.on_peer("other", Peer::JobsStarted { jobs: Vec::new() });
    entry.submit();
    entry.advance(100 * MS);
    assert_eq!(entry.count(is_start), 0, "the link is not up again");
    entry.scheduler.peer_up(&"other".into(), &mut entry.out);
    assert_eq!(entry.count(is_start), 0, "it has announced nothing yet");
    entry.on_peer("other", Peer::JobsStarted { jobs: Vec::new() });
    assert_eq!(entry.count(is_start), 1);
}

/// An entry that ended while this one stood still is still listed as alive.
#[test]
fn jobs_wait_for_no_longer_than_a_second_at_an_entry_that_has_just_woken() {
    let mut entry = Entry::new("a");
    entry.hear_of_entries(&["ended"]);
    entry.wake();
    entry.submit();
    entry.advance(ACQUAINTANCE_LIMIT.saturating_sub(20 * MS));
    assert_eq!(entry.count(is_start), 0);
    entry.advance(40 * MS);
    assert_eq!(entry.count(is_start), 1);
}

/// A new entry process answered requests for jobs of entries that it was not linked to yet.
#[test]
fn a_new_entry_takes_no_requests_before_it_has_heard_of_the_jobs_of_the_others() {
    let mut entry = Entry::new("a");
    assert!(!entry.is_acquainted(), "the member list is not known");
    entry.scheduler.set_live_entries(["other".into()].into());
    assert!(!entry.is_acquainted());
    entry.scheduler.peer_up(&"other".into(), &mut entry.out);
    assert!(
        !entry.is_acquainted(),
        "the other entry has announced nothing"
    );
    entry.on_peer("other", Peer::JobsStarted { jobs: Vec::new() });
    assert!(entry.is_acquainted());
}

/// A job whose caller hung up may still have runs, of which a new link has to tell.
#[test]
fn jobs_that_are_being_stopped_are_announced_on_a_new_link() {
    let mut entry = Entry::new("a");
    entry.submit();
    entry.scheduler.disconnected(entry.now, 1, &mut entry.out);
    assert_eq!((entry.count(is_start), entry.count(is_stop)), (1, 1));
    entry.out.clear();
    entry.scheduler.peer_up(&"other".into(), &mut entry.out);
    let announced =
        |action: &Action| matches!(action, Action::Peer(_, msg) if *msg == announcement());
    assert_eq!(entry.count(announced), 1);
}

/// Once the member list no longer shows the owner alive, its runs end with their leases.
#[test]
fn a_job_of_an_entry_that_is_no_longer_alive_is_started_once_its_leases_have_expired() {
    let mut entry = Entry::new("a");
    entry.hold_job_of("owner");
    entry.scheduler.set_live_entries(["owner".into()].into());
    entry.scheduler.peer_down(entry.now, &"owner".into());
    entry.advance(3000 * MS);
    assert_eq!(entry.count(is_start), 0, "the owner is alive");
    entry.scheduler.set_live_entries([].into());
    entry.advance(40 * MS);
    assert_eq!(entry.count(is_start), 1);
}

#[test]
fn a_job_does_not_wait_for_ever_when_the_link_to_its_owner_was_lost_for_a_moment() {
    let mut entry = Entry::new("a");
    entry.hold_job_of("owner");
    entry.scheduler.peer_down(entry.now, &"owner".into());
    entry.advance(300 * MS);
    entry.scheduler.peer_up(&"owner".into(), &mut entry.out);
    entry.advance(3000 * MS);
    let goes_on = entry.count(is_yield) > 1 || entry.count(is_start) > 0;
    assert!(goes_on, "neither asked for again nor started");
}

#[test]
fn a_successor_of_an_entry_does_not_yield_what_the_process_before_it_still_runs() {
    let mut successor = Entry::new("a");
    let waiting: Name = "other".into();
    successor.scheduler.peer_up(&waiting, &mut successor.out);
    successor.on_peer("other", Peer::Yield { job: JobId(1) });
    let yielded =
        |action: &Action| matches!(action, Action::Peer(_, Peer::Yielded { job: JobId(1) }));
    assert_eq!(successor.count(yielded), 0, "it does not know of any run");
    successor.advance(1300 * MS);
    assert_eq!(successor.count(yielded), 0, "runs may still hold a lease");
    successor.advance(100 * MS);
    assert_eq!(successor.count(yielded), 1, "all leases have expired");
}

#[test]
fn a_caller_that_comes_a_second_time_does_not_start_a_job_that_its_owner_has_not_yielded() {
    let mut entry = Entry::new("a");
    entry.hold_job_of("owner");
    entry.scheduler.disconnected(entry.now, 1, &mut entry.out);
    entry.submit();
    assert_eq!(entry.count(is_start), 0, "the owner has not yielded it");
}

#[test]
fn an_entry_that_waits_for_a_job_does_not_yield_it_before_its_owner_has() {
    let mut entry = Entry::new("a");
    entry.hold_job_of("owner");
    entry.scheduler.peer_up(&"third".into(), &mut entry.out);
    entry.on_peer("third", Peer::Yield { job: JobId(1) });
    let yielded =
        |action: &Action| matches!(action, Action::Peer(_, Peer::Yielded { job: JobId(1) }));
    assert_eq!(entry.count(yielded), 0, "the owner has not yielded it");
}

#[test]
fn the_end_of_the_wait_for_a_lost_entry_is_logged() {
    let mut entry = Entry::new("a");
    entry.hold_job_of("owner");
    entry.scheduler.peer_down(entry.now, &"owner".into());
    entry.advance(2000 * MS);
    assert_eq!(entry.count(is_start), 1);
    let logged = |action: &Action| matches!(action, Action::Note(Note::OwnerLost { .. }));
    assert_eq!(entry.count(logged), 1);
}

#[test]
fn a_run_that_is_being_stopped_does_not_hang_when_the_link_to_its_agent_was_lost_for_a_moment() {
    let mut entry = Entry::new("a");
    entry.submit();
    entry.scheduler.disconnected(entry.now, 1, &mut entry.out);
    assert_eq!((entry.count(is_start), entry.count(is_stop)), (1, 1));
    let agent = entry.agent.clone();
    entry.scheduler.agent_down(entry.now, &agent);
    entry.advance(300 * MS);
    entry.scheduler.agent_up(entry.now, &agent, &mut entry.out);
    let run = entry.out.iter().find_map(|action| match action {
        Action::Send(_, ToAgent::Start(start)) => Some(start.run),
        _ => None,
    });
    let asked = entry.out.iter().any(|action| match action {
        Action::Send(_, ToAgent::Resume { runs }) => {
            runs.iter().any(|(wanted, _)| Some(*wanted) == run)
        }
        _ => false,
    });
    entry.advance(3000 * MS);
    let resolved = entry.out.iter().any(|action| {
        matches!(action, Action::Note(Note::RunEnded { run: ended, .. }) if Some(*ended) == run)
    });
    assert!(
        asked || entry.count(is_stop) > 1 || resolved,
        "the agent is not asked for its end again"
    );
}

#[test]
fn a_run_that_is_being_stopped_keeps_its_resources_on_a_new_link() {
    let mut entry = Entry::new("a");
    entry.submit();
    entry.scheduler.disconnected(entry.now, 1, &mut entry.out);
    let agent = entry.agent.clone();
    entry.scheduler.agent_down(entry.now, &agent);
    entry.scheduler.agent_up(entry.now, &agent, &mut entry.out);
    let needs = entry.out.iter().rev().find_map(|action| match action {
        Action::Send(_, ToAgent::Resume { runs }) => runs.first().map(|(_, needs)| *needs),
        _ => None,
    });
    assert_eq!(needs, Some(cpu(1000)));
}
