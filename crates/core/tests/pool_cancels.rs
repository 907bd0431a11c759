//! When an entry acknowledges the cancel of a job that another entry runs.

use std::sync::Arc;
use std::time::Duration;

use rw_core::pool::Uptime;
use rw_core::pool::catalog::Queue;
use rw_core::pool::job::{EndEvidence, Job, JobId, Resources, RunEnd, RunId, Step};
use rw_core::pool::msg::{CapacityReport, Peer, ToAgent, ToEntry, WorkerInfo};
use rw_core::pool::owners::MAX_RUN_TIME_AFTER_LOSS;
use rw_core::pool::scheduler::{Action, Answer, CANCEL_WAIT, CancelAnswer, MAX_CANCELS, Scheduler};

const MS: Duration = Duration::from_millis(1);
const JOB: JobId = JobId(1);
const CANCEL: Peer = Peer::Cancel { job: JOB };
const NEEDS: Resources = Resources {
    cpu_milli: 1000,
    memory_mb: 1,
    accelerators: 0,
};

/// An entry with an agent, after the time in which runs of an earlier process may go on.
struct Entry {
    scheduler: Scheduler,
    now: Uptime,
    out: Vec<Action>,
}

impl Entry {
    fn new() -> Self {
        let now = Duration::from_secs(10);
        let scheduler = Scheduler::new(Duration::ZERO, fastrand::Rng::with_seed(1));
        let out = Vec::new();
        let mut entry = Self {
            scheduler,
            now,
            out,
        };
        entry.scheduler.observe(now, &mut entry.out);
        entry.scheduler.agent_up(now, &"a".into(), &mut entry.out);
        entry.receive(ToEntry::Worker(WorkerInfo {
            pool: Some("p".into()),
            capacity: NEEDS,
            labels: Vec::new(),
        }));
        entry.receive(ToEntry::Capacity(CapacityReport {
            open: true,
            free: NEEDS,
            ..CapacityReport::default()
        }));
        entry
    }

    fn receive(&mut self, msg: ToEntry) {
        self.scheduler
            .on_agent(self.now, &"a".into(), msg, &mut self.out);
        self.scheduler.place_waiting(self.now, &mut self.out);
    }

    fn submit(&mut self) {
        let step = Step {
            count: 1,
            needs: NEEDS,
            estimate: 100 * MS,
            ..Step::default()
        };
        let job = Job {
            id: JOB,
            request: "r".into(),
            payload: "x".into(),
            steps: vec![step],
        };
        let queue = Arc::new(Queue {
            name: "q".into(),
            host: "h".into(),
            prefix: "/q/".into(),
            pool: "p".into(),
            timeout: Duration::from_secs(5),
            aim: 60 * MS,
            slack: 1.6,
            priority: 0,
            max_failures: 2,
            advised: false,
        });
        let deadline = Duration::from_secs(5);
        self.scheduler
            .submit(self.now, job, queue, 1, deadline, &mut self.out);
    }

    fn link(&mut self, entry: &str) {
        self.scheduler.peer_up(&entry.into(), &mut self.out);
    }

    fn lose(&mut self, entry: &str) {
        self.scheduler.peer_down(self.now, &entry.into());
    }

    fn hear(&mut self, entry: &str, msg: Peer) {
        self.scheduler
            .on_peer(self.now, &entry.into(), msg, &mut self.out);
    }

    fn hear_of_job(&mut self, entry: &str) {
        self.hear(entry, Peer::JobsStarted { jobs: vec![JOB] });
    }

    fn hear_cancelled(&mut self, entry: &str, known: bool) {
        self.hear(entry, Peer::Cancelled { job: JOB, known });
    }

    fn cancel(&mut self) {
        self.scheduler.cancel(self.now, JOB, 7, &mut self.out);
    }

    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += 20 * MS;
            self.scheduler.observe(self.now, &mut self.out);
            self.scheduler.tick(self.now, &mut self.out);
        }
    }

    /// Returns the messages to other entries. Announcements of no job are left out.
    fn sent(&self) -> Vec<(&str, &Peer)> {
        let sent = self.out.iter().filter_map(|action| match action {
            Action::Peer(_, Peer::JobsStarted { jobs }) if jobs.is_empty() => None,
            Action::Peer(entry, msg) => Some((&**entry, msg)),
            _ => None,
        });
        sent.collect()
    }

    fn answers(&self) -> Vec<CancelAnswer> {
        let answers = self.out.iter().filter_map(|action| match action {
            Action::CancelAnswer(7, answer) => Some(*answer),
            _ => None,
        });
        answers.collect()
    }

    fn started(&self) -> Option<RunId> {
        self.out.iter().find_map(|action| match action {
            Action::Send(_, ToAgent::Start(start)) => Some(start.run),
            _ => None,
        })
    }
}

#[test]
fn the_owner_confirms_a_cancel_only_when_no_run_is_left() {
    // Guards against an acknowledged cancel whose tasks go on.
    let mut owner = Entry::new();
    owner.link("other");
    owner.submit();
    let run = owner.started().expect("the job is started");
    owner.hear("other", CANCEL);
    assert_eq!(owner.sent(), []);
    owner.receive(ToEntry::Ended {
        run,
        end: RunEnd::Gone,
        evidence: EndEvidence::Listed,
        ran_ms: 0,
    });
    let confirmed = Peer::Cancelled {
        job: JOB,
        known: true,
    };
    assert_eq!(owner.sent(), [("other", &confirmed)]);
}

#[test]
fn a_cancel_without_a_link_to_the_owner_is_repeated_on_the_next_link() {
    // Guards against a cancel that is acknowledged and lost (review 5).
    let mut entry = Entry::new();
    entry.link("owner");
    entry.hear_of_job("owner");
    entry.lose("owner");
    entry.cancel();
    entry.pass(500 * MS);
    assert_eq!(entry.answers(), []);
    entry.out.clear();
    entry.link("owner");
    assert_eq!(entry.sent(), [("owner", &CANCEL)]);
    assert_eq!(entry.answers(), []);
    entry.hear_cancelled("owner", true);
    assert_eq!(entry.answers(), [CancelAnswer::Cancelled]);
}

#[test]
fn a_cancel_is_answered_when_the_runs_of_a_lost_owner_have_ended() {
    // Guards against an acknowledgement while a lost owner may run the job, and against none.
    let mut entry = Entry::new();
    entry.link("owner");
    entry.hear_of_job("owner");
    entry.lose("owner");
    entry.cancel();
    entry.pass(MAX_RUN_TIME_AFTER_LOSS.saturating_sub(20 * MS));
    assert_eq!(entry.answers(), []);
    entry.pass(40 * MS);
    assert_eq!(entry.answers(), [CancelAnswer::Cancelled]);
}

#[test]
fn a_job_is_unknown_only_if_all_entries_say_so() {
    // Guards against 410 for a job that an entry runs without having announced it here.
    let mut entry = Entry::new();
    entry.cancel();
    assert_eq!(entry.answers(), [CancelAnswer::Unknown], "no other entry");
    entry.out.clear();
    entry.link("one");
    entry.link("two");
    entry.cancel();
    assert_eq!(entry.sent(), [("one", &CANCEL), ("two", &CANCEL)]);
    entry.hear_cancelled("one", false);
    assert_eq!(entry.answers(), []);
    entry.hear_cancelled("two", false);
    assert_eq!(entry.answers(), [CancelAnswer::Unknown]);
}

#[test]
fn all_entries_are_asked_when_the_presumed_owner_denies_the_job() {
    // Guards against a cancel that misses the entry to which the job went meanwhile.
    let mut entry = Entry::new();
    entry.link("first");
    entry.link("second");
    entry.hear_of_job("first");
    entry.cancel();
    assert_eq!(entry.sent(), [("first", &CANCEL)]);
    entry.hear_cancelled("first", false);
    assert!(entry.sent().contains(&("second", &CANCEL)));
    entry.hear_cancelled("first", false);
    entry.hear_cancelled("second", true);
    assert_eq!(entry.answers(), [CancelAnswer::Cancelled]);
}

#[test]
fn an_alive_entry_that_cannot_be_asked_leaves_a_cancel_unconfirmed() {
    // Guards against 200 or 410 without proof, and against a caller that waits for ever.
    let mut entry = Entry::new();
    entry.scheduler.set_live_entries(["cut".into()].into());
    entry.cancel();
    entry.pass(CANCEL_WAIT.saturating_sub(20 * MS));
    assert_eq!(entry.answers(), []);
    entry.pass(20 * MS);
    assert_eq!(entry.answers(), [CancelAnswer::Unconfirmed]);
    entry.hear_of_job("cut");
    assert_eq!(entry.sent().last(), Some(&("cut", &CANCEL)));
}

#[test]
fn a_cancelled_job_that_comes_again_is_not_started() {
    // Guards against tasks that start after the cancel was acknowledged.
    let mut entry = Entry::new();
    entry.link("owner");
    entry.hear_of_job("owner");
    entry.cancel();
    entry.hear_cancelled("owner", true);
    entry.submit();
    assert_eq!(entry.started(), None);
    let broken = |action: &Action| matches!(action, Action::Answer(1, Answer::OutcomeUnknown(_)));
    assert!(entry.out.iter().any(broken));
    entry.hear_of_job("owner");
    assert_eq!(entry.sent().last(), Some(&("owner", &CANCEL)));
}

#[test]
fn more_cancels_than_are_kept_are_not_acknowledged_without_proof() {
    // Guards against memory that grows with the number of cancels.
    let mut entry = Entry::new();
    entry.link("owner");
    for id in 0..MAX_CANCELS as u64 {
        let id = JobId(2 + id);
        entry.scheduler.cancel(entry.now, id, 8, &mut entry.out);
    }
    entry.cancel();
    assert_eq!(entry.answers(), [CancelAnswer::Unconfirmed]);
}
