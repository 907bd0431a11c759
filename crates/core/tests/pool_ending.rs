//! What becomes of jobs at an entry that is shutting down.

use std::sync::Arc;
use std::time::Duration;

use rw_core::pool::Uptime;
use rw_core::pool::catalog::Queue;
use rw_core::pool::job::{Job, JobId, Resources, Step};
use rw_core::pool::msg::{CapacityReport, NotStarted, Start, ToAgent, ToEntry, WorkerInfo};
use rw_core::pool::scheduler::{Action, Answer, Scheduler};

const MS: Duration = Duration::from_millis(1);
const START: Uptime = Duration::from_secs(10);
/// When the process ends, of which the entry learns at [`START`].
const END: Uptime = Duration::from_secs(15);

/// An entry with one worker of a core.
struct Entry {
    scheduler: Scheduler,
    now: Uptime,
    out: Vec<Action>,
}

impl Entry {
    fn new() -> Self {
        let mut entry = Self {
            scheduler: Scheduler::new(START, fastrand::Rng::with_seed(1)),
            now: START,
            out: Vec::new(),
        };
        let capacity = needs();
        entry.scheduler.agent_up(START, &"a".into(), &mut entry.out);
        let info = WorkerInfo {
            pool: Some("p".into()),
            capacity,
            labels: Vec::new(),
        };
        for msg in [ToEntry::Worker(info), report(0)] {
            entry
                .scheduler
                .on_agent(START, &"a".into(), msg, &mut entry.out);
        }
        entry
    }

    /// Submits a job of one task; the caller's number is the job's.
    fn submit(&mut self, id: u64, estimate: Duration) {
        let step = Step {
            count: 1,
            needs: needs(),
            estimate,
            ..Step::default()
        };
        let job = Job {
            id: JobId(id),
            request: "r".into(),
            payload: "x".into(),
            steps: vec![step],
        };
        let queue = Arc::new(Queue {
            name: "q".into(),
            host: "h".into(),
            prefix: "/q/".into(),
            pool: "p".into(),
            timeout: Duration::from_secs(60),
            aim: Duration::from_secs(60),
            slack: 1.6,
            priority: 0,
            max_failures: 2,
            advised: false,
        });
        let deadline = Duration::from_secs(60);
        self.scheduler
            .submit(self.now, job, queue, id, deadline, &mut self.out);
    }

    fn advance_to(&mut self, time: Uptime) {
        while self.now < time {
            self.now += 20 * MS;
            self.scheduler.observe(self.now, &mut self.out);
            self.scheduler.tick(self.now, &mut self.out);
        }
    }

    /// Has the agent refuse the run of a job for this reason and report room again.
    fn refuse(&mut self, job: u64, reason: NotStarted) {
        let sent = self.out.iter().rev().find_map(|action| match action {
            Action::Send(_, ToAgent::Start(start)) if start.run.task.job == JobId(job) => {
                Some(start.run)
            }
            _ => None,
        });
        let run = sent.expect("the job was sent");
        for msg in [ToEntry::Refused { run, reason }, report(1)] {
            self.scheduler
                .on_agent(self.now, &"a".into(), msg, &mut self.out);
        }
        self.scheduler.place_waiting(self.now, &mut self.out);
    }

    fn starts(&self, job: u64) -> usize {
        let of_job = |start: &Start| start.run.task.job == JobId(job);
        let is_start = |action: &&Action| matches!(action, Action::Send(_, ToAgent::Start(start)) if of_job(start));
        self.out.iter().filter(is_start).count()
    }

    fn answer(&self, caller: u64) -> Option<&Answer> {
        self.out.iter().find_map(|action| match action {
            Action::Answer(to, answer) if *to == caller => Some(answer),
            _ => None,
        })
    }

    fn is_returned(&self, caller: u64) -> bool {
        matches!(self.answer(caller), Some(Answer::NotRun { .. }))
    }
}

/// Returns the agent's report that all room is free after this many starts.
fn report(starts_received: u64) -> ToEntry {
    ToEntry::Capacity(CapacityReport {
        starts_received,
        open: true,
        free: needs(),
        ..CapacityReport::default()
    })
}

fn needs() -> Resources {
    Resources {
        cpu_milli: 1000,
        memory_mb: 1,
        accelerators: 0,
    }
}

/// A job that waited for room had its connection closed without an answer when its entry ended.
#[test]
fn a_waiting_job_is_returned_while_its_answer_can_still_be_written() {
    let mut entry = Entry::new();
    entry.submit(1, 9000 * MS);
    entry.submit(2, 100 * MS);
    entry.scheduler.set_end(END);
    entry.advance_to(START + 4500 * MS);
    assert!(entry.answer(2).is_none());
    entry.advance_to(START + 4720 * MS);
    assert!(entry.is_returned(2), "{:?}", entry.answer(2));
    assert!(entry.answer(1).is_none());
}

/// A caller whose job cannot be completed here any more must not wait until the entry ends.
#[test]
fn a_job_that_takes_longer_than_the_entry_lasts_is_returned_at_once() {
    let mut entry = Entry::new();
    entry.submit(1, 3000 * MS);
    entry.submit(2, 8000 * MS);
    entry.scheduler.set_end(END);
    entry.advance_to(START + 20 * MS);
    assert!(entry.is_returned(2), "{:?}", entry.answer(2));
    assert!(entry.answer(1).is_none());
}

/// As above, for one that comes while the entry still takes requests; short ones are served.
#[test]
fn a_job_handed_in_at_an_ending_entry_starts_only_if_it_can_be_completed() {
    let mut entry = Entry::new();
    entry.scheduler.set_end(END);
    entry.submit(1, 6000 * MS);
    assert!(entry.is_returned(1) && entry.starts(1) == 0);
    entry.submit(2, 100 * MS);
    assert!(entry.answer(2).is_none() && entry.starts(2) == 1);
}

/// A job was sent again as soon as it was refused, so that at each look at it a start was under way: it
/// counted as one that may run, and was cut off.
#[test]
fn a_job_that_agents_keep_refusing_is_returned() {
    for reason in [
        NotStarted::NoRoom,
        NotStarted::NoWorker,
        NotStarted::OtherKind,
    ] {
        let mut entry = Entry::new();
        entry.scheduler.set_end(END);
        entry.advance_to(START + 4500 * MS);
        entry.submit(1, 100 * MS);
        assert_eq!(entry.starts(1), 1);
        entry.advance_to(START + 4700 * MS);
        entry.refuse(1, reason);
        assert_eq!(entry.starts(1), 1, "{reason:?}");
        entry.advance_to(START + 4720 * MS);
        assert!(entry.is_returned(1), "{reason:?}");
    }
}
