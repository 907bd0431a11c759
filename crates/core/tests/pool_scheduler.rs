//! Tests of the scheduler of pooled jobs, one event at a time.

use std::sync::Arc;
use std::time::Duration;

use rw_core::ids::Name;
use rw_core::pool::Uptime;
use rw_core::pool::catalog::Queue;
use rw_core::pool::job::{EndEvidence, Job, JobId, Resources, RunEnd, RunId, Step};
use rw_core::pool::msg::{CapacityReport, NotStarted, Peer, Start, ToAgent, ToEntry, WorkerInfo};
use rw_core::pool::scheduler::{Action, Answer, Note, Scheduler};

const MS: Duration = Duration::from_millis(1);

/// A scheduler with its clock and the actions that were not inspected yet.
struct Harness {
    scheduler: Scheduler,
    now: Uptime,
    out: Vec<Action>,
}

fn cpu(cpu_milli: u32) -> Resources {
    Resources {
        cpu_milli,
        memory_mb: 1,
        accelerators: 0,
    }
}

/// Returns the capacity of a worker, with enough memory for all tasks that fit its CPU.
fn worker_capacity(cpu_milli: u32) -> Resources {
    Resources {
        memory_mb: 100,
        ..cpu(cpu_milli)
    }
}

fn queue(name: &str) -> Arc<Queue> {
    Arc::new(Queue {
        name: name.into(),
        host: "h".into(),
        prefix: "/q/".into(),
        pool: "p".into(),
        timeout: Duration::from_secs(2),
        aim: 60 * MS,
        slack: 1.6,
        priority: 0,
        max_failures: 2,
        advised: false,
    })
}

fn job(id: u64, tasks: u16, needs: Resources) -> Job {
    let step = Step {
        count: tasks,
        needs,
        estimate: 100 * MS,
        ..Step::default()
    };
    Job {
        id: JobId(id),
        request: format!("r{id}").into(),
        payload: "x".into(),
        steps: vec![step],
    }
}

impl Harness {
    fn new(workers: &[&str]) -> Self {
        let now = Duration::from_secs(10);
        let mut harness = Self {
            scheduler: Scheduler::new(now, fastrand::Rng::with_seed(1)),
            now,
            out: Vec::new(),
        };
        for worker in workers {
            harness
                .scheduler
                .agent_up(now, &Name::from(*worker), &mut harness.out);
            harness.receive(
                worker,
                ToEntry::Worker(WorkerInfo {
                    pool: Some("p".into()),
                    capacity: worker_capacity(4000),
                    labels: Vec::new(),
                }),
            );
            harness.report_free(worker, 0, 4000);
        }
        harness.take_actions();
        harness
    }

    fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    fn receive(&mut self, worker: &str, msg: ToEntry) {
        self.scheduler
            .on_agent(self.now, &worker.into(), msg, &mut self.out);
        self.scheduler.place_waiting(self.now, &mut self.out);
    }

    fn report_free(&mut self, worker: &str, starts_received: u64, free: u32) {
        let report = CapacityReport {
            starts_received,
            open: true,
            free: worker_capacity(free),
            ..CapacityReport::default()
        };
        self.receive(worker, ToEntry::Capacity(report));
    }

    fn submit(&mut self, job: Job, caller: u64) {
        let deadline = Duration::from_secs(3);
        self.scheduler
            .submit(self.now, job, queue("q"), caller, deadline, &mut self.out);
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.scheduler.observe(self.now, &mut self.out);
        self.scheduler.tick(self.now, &mut self.out);
    }

    fn starts(&self) -> Vec<(String, Start)> {
        let starts = self.out.iter().filter_map(|action| match action {
            Action::Send(worker, ToAgent::Start(start)) => {
                Some((worker.to_string(), start.clone()))
            }
            _ => None,
        });
        starts.collect()
    }

    /// Returns the messages to other entries. Announcements of no job are left out.
    fn peer_msgs(&self) -> Vec<(Name, Peer)> {
        let msgs = self.out.iter().filter_map(|action| match action {
            Action::Peer(_, Peer::JobsStarted { jobs }) if jobs.is_empty() => None,
            Action::Peer(entry, msg) => Some((entry.clone(), msg.clone())),
            _ => None,
        });
        msgs.collect()
    }

    fn stops(&self) -> Vec<RunId> {
        let stops = self.out.iter().filter_map(|action| match action {
            Action::Send(_, ToAgent::Stop { run }) => Some(*run),
            _ => None,
        });
        stops.collect()
    }

    fn answers(&self) -> Vec<(u64, Answer)> {
        let answers = self.out.iter().filter_map(|action| match action {
            Action::Answer(caller, answer) => Some((*caller, answer.clone())),
            _ => None,
        });
        answers.collect()
    }
}

fn ended(run: RunId, end: RunEnd) -> ToEntry {
    ToEntry::Ended {
        run,
        end,
        evidence: EndEvidence::Listed,
        ran_ms: 100,
    }
}

#[test]
fn a_job_is_answered_once_all_its_tasks_are_done() {
    let mut harness = Harness::new(&["a0"]);
    harness.submit(job(1, 2, cpu(1000)), 7);
    let starts = harness.starts();
    assert_eq!(starts.len(), 2);
    harness.receive("a0", ended(starts[0].1.run, RunEnd::Done));
    assert!(
        harness.answers().is_empty(),
        "answered before all tasks were done"
    );
    harness.receive("a0", ended(starts[1].1.run, RunEnd::Done));
    assert_eq!(harness.answers(), vec![(7, Answer::Completed)]);
}

#[test]
fn starts_do_not_exceed_the_reported_capacity() {
    let mut harness = Harness::new(&["a0"]);
    harness.submit(job(1, 8, cpu(1000)), 7);
    assert_eq!(harness.starts().len(), 4);
    harness.take_actions();
    harness.report_free("a0", 4, 1000);
    assert_eq!(harness.starts().len(), 1);
}

#[test]
fn a_run_that_is_gone_is_retried_with_a_higher_attempt() {
    let mut harness = Harness::new(&["a0"]);
    harness.submit(job(1, 1, cpu(1000)), 7);
    let first = harness.starts()[0].1.run;
    harness.take_actions();
    harness.receive("a0", ended(first, RunEnd::Gone));
    let again = harness.starts()[0].1.run;
    assert_eq!(again.task, first.task);
    assert!(again.attempt > first.attempt);
    harness.take_actions();
    harness.receive("a0", ended(first, RunEnd::Done));
    assert!(
        harness.answers().is_empty(),
        "the end of an earlier attempt completed the job"
    );
}

#[test]
fn a_refused_old_attempt_is_followed_by_a_much_higher_one() {
    let mut harness = Harness::new(&["a0"]);
    harness.submit(job(1, 1, cpu(1000)), 7);
    let run = harness.starts()[0].1.run;
    harness.take_actions();
    let reason = NotStarted::OldAttempt;
    harness.receive("a0", ToEntry::Refused { run, reason });
    assert!(harness.starts()[0].1.run.attempt > run.attempt + 1);
}

#[test]
fn a_task_that_fails_as_often_as_its_queue_allows_fails_the_job() {
    let mut harness = Harness::new(&["a0"]);
    harness.submit(job(1, 1, cpu(1000)), 7);
    for _ in 0..2 {
        let run = harness.starts()[0].1.run;
        harness.take_actions();
        harness.receive("a0", ended(run, RunEnd::Failed));
    }
    assert!(matches!(harness.answers()[..], [(7, Answer::Failed(_))]));
    assert!(harness.starts().is_empty());
}

#[test]
fn a_job_with_a_task_that_fits_no_worker_fails_at_once() {
    let mut harness = Harness::new(&["a0"]);
    harness.submit(job(1, 1, cpu(9000)), 7);
    assert!(matches!(harness.answers()[..], [(7, Answer::Failed(_))]));
}

#[test]
fn a_disconnected_caller_stops_the_runs_and_frees_their_capacity() {
    let mut harness = Harness::new(&["a0"]);
    harness.submit(job(1, 4, cpu(1000)), 7);
    harness.submit(job(2, 1, cpu(1000)), 8);
    assert_eq!(harness.starts().len(), 4);
    harness.take_actions();
    harness
        .scheduler
        .disconnected(harness.now, 7, &mut harness.out);
    assert_eq!(harness.stops().len(), 4);
    let stopped = harness.stops();
    harness.take_actions();
    harness.receive("a0", ended(stopped[0], RunEnd::Gone));
    harness.report_free("a0", 4, 1000);
    assert_eq!(
        harness.starts().len(),
        1,
        "the waiting job did not get the freed capacity"
    );
}

#[test]
fn a_resubmitted_job_waits_until_its_earlier_runs_have_ended() {
    let mut harness = Harness::new(&["a0"]);
    harness.submit(job(1, 1, cpu(1000)), 7);
    let first = harness.starts()[0].1.run;
    harness
        .scheduler
        .disconnected(harness.now, 7, &mut harness.out);
    harness.take_actions();
    harness.submit(job(1, 1, cpu(1000)), 8);
    assert!(
        harness.starts().is_empty(),
        "started while the first run may still be in progress"
    );
    harness.receive("a0", ended(first, RunEnd::Gone));
    let again = harness.starts()[0].1.run;
    assert!(again.attempt > first.attempt);
}

#[test]
fn a_job_of_another_entry_runs_only_after_that_entry_has_yielded_it() {
    let mut harness = Harness::new(&["a0"]);
    let peer: Name = "e1".into();
    harness.scheduler.peer_up(&peer, &mut harness.out);
    let jobs = vec![JobId(1)];
    harness.scheduler.on_peer(
        harness.now,
        &peer,
        Peer::JobsStarted { jobs },
        &mut harness.out,
    );
    harness.submit(job(1, 1, cpu(1000)), 7);
    assert!(harness.starts().is_empty());
    let requested =
        |action: &Action| matches!(action, Action::Peer(_, Peer::Yield { job: JobId(1) }));
    assert!(harness.out.iter().any(requested));
    let yielded = Peer::Yielded { job: JobId(1) };
    harness
        .scheduler
        .on_peer(harness.now, &peer, yielded, &mut harness.out);
    assert_eq!(harness.starts().len(), 1);
}

#[test]
fn open_jobs_are_announced_on_a_new_link_since_earlier_words_may_be_lost() {
    let mut harness = Harness::new(&["a0"]);
    let peer: Name = "e1".into();
    harness.submit(job(1, 1, cpu(1000)), 7);
    harness.advance(300 * MS);
    harness.take_actions();
    harness.scheduler.peer_up(&peer, &mut harness.out);
    let announced = harness.out.iter().any(|action| {
        let Action::Peer(to, Peer::JobsStarted { jobs }) = action else {
            return false;
        };
        *to == peer && jobs.contains(&JobId(1))
    });
    assert!(announced, "{:?}", harness.out);
}

#[test]
fn a_job_of_a_lost_entry_runs_only_after_its_leases_have_expired() {
    let mut harness = Harness::new(&["a0"]);
    let peer: Name = "e1".into();
    harness.scheduler.peer_up(&peer, &mut harness.out);
    let jobs = vec![JobId(1)];
    harness.scheduler.on_peer(
        harness.now,
        &peer,
        Peer::JobsStarted { jobs },
        &mut harness.out,
    );
    harness.scheduler.peer_down(harness.now, &peer);
    harness.submit(job(1, 1, cpu(1000)), 7);
    let start = harness.now;
    while harness.starts().is_empty() {
        harness.advance(20 * MS);
        assert!(harness.now < start + Duration::from_secs(3));
    }
    let min_wait = rw_core::pool::SILENCE_TIMEOUT + rw_core::pool::WORKER_LEASE;
    assert!(harness.now >= start + min_wait, "{:?}", harness.now);
}

#[test]
fn a_yield_is_confirmed_only_when_no_run_is_left() {
    let mut harness = Harness::new(&["a0"]);
    let peer: Name = "e1".into();
    harness.scheduler.peer_up(&peer, &mut harness.out);
    harness.submit(job(1, 1, cpu(1000)), 7);
    let run = harness.starts()[0].1.run;
    harness.take_actions();
    let request = Peer::Yield { job: JobId(1) };
    harness
        .scheduler
        .on_peer(harness.now, &peer, request, &mut harness.out);
    assert!(matches!(
        harness.answers()[..],
        [(7, Answer::OutcomeUnknown(_))]
    ));
    let yielded = |action: &Action| matches!(action, Action::Peer(_, Peer::Yielded { .. }));
    assert!(!harness.out.iter().any(yielded));
    harness.receive("a0", ended(run, RunEnd::Gone));
    assert!(harness.out.iter().any(yielded));
}

#[test]
fn after_a_suspension_started_jobs_are_aborted_and_others_refused() {
    let mut harness = Harness::new(&["a0"]);
    harness.submit(job(1, 4, cpu(1000)), 7);
    harness.submit(job(2, 1, cpu(1000)), 8);
    harness.take_actions();
    harness.advance(Duration::from_secs(1));
    let answers = harness.answers();
    assert!(
        answers
            .iter()
            .any(|(c, a)| *c == 7 && matches!(a, Answer::OutcomeUnknown(_)))
    );
    assert!(
        answers
            .iter()
            .any(|(c, a)| *c == 8 && matches!(a, Answer::NotRun { .. }))
    );
    assert!(
        harness
            .out
            .iter()
            .any(|action| matches!(action, Action::DropLinks))
    );
}

#[test]
fn a_job_is_answered_as_not_run_only_if_no_task_was_sent() {
    let mut harness = Harness::new(&["a0"]);
    harness.submit(job(1, 6, cpu(1000)), 7);
    harness.submit(job(2, 1, cpu(1000)), 8);
    for _ in 0..200 {
        harness.advance(20 * MS);
    }
    for (caller, answer) in harness.answers() {
        match answer {
            Answer::NotRun { .. } => assert_eq!(caller, 8),
            Answer::OutcomeUnknown(_) => assert_eq!(caller, 7),
            other => panic!("{caller}: {other:?}"),
        }
    }
    assert_eq!(harness.answers().len(), 2);
}

#[test]
fn a_run_without_progress_is_moved_to_another_worker() {
    let mut harness = Harness::new(&["a0", "a1"]);
    harness.submit(job(1, 1, cpu(1000)), 7);
    let (worker, start) = harness.starts()[0].clone();
    harness.take_actions();
    harness.advance(300 * MS);
    let (run, left_ms, ran_ms) = (start.run, None, 300);
    harness.receive(
        &worker,
        ToEntry::Behind {
            run,
            ran_ms,
            left_ms,
        },
    );
    assert_eq!(harness.stops(), vec![run]);
    assert!(
        harness.starts().is_empty(),
        "started again before the first run had ended"
    );
    harness.receive(&worker, ended(run, RunEnd::Gone));
    assert_eq!(harness.starts().len(), 1);
}

/// Guards against runs that stand still until their caller's deadline while the pool is full.
#[test]
fn a_run_without_progress_is_stopped_even_if_no_other_worker_has_room() {
    let mut harness = Harness::new(&["a0", "a1"]);
    harness.submit(job(1, 8, cpu(1000)), 7);
    let (worker, start) = harness.starts()[0].clone();
    harness.take_actions();
    harness.advance(300 * MS);
    let (run, left_ms, ran_ms) = (start.run, None, 300);
    harness.receive(
        &worker,
        ToEntry::Behind {
            run,
            ran_ms,
            left_ms,
        },
    );
    assert_eq!(harness.stops(), vec![run]);
}

#[test]
fn a_task_without_progress_on_any_worker_is_moved_at_most_twice() {
    let mut harness = Harness::new(&["a0", "a1"]);
    harness.submit(job(1, 1, cpu(1000)), 7);
    let mut moves = 0;
    for _ in 0..6 {
        let (worker, start) = harness
            .starts()
            .pop()
            .expect("the task is sent to a worker");
        let (run, left_ms, ran_ms) = (start.run, None, 300);
        harness.receive(
            &worker,
            ToEntry::Behind {
                run,
                ran_ms,
                left_ms,
            },
        );
        if harness.stops().is_empty() {
            break;
        }
        moves += 1;
        harness.take_actions();
        harness.receive(&worker, ended(run, RunEnd::Gone));
        harness.report_free("a0", 0, 4000);
        harness.report_free("a1", 0, 4000);
    }
    assert_eq!(moves, 2);
}

#[test]
fn a_long_run_on_a_worker_of_equal_speed_is_not_moved() {
    let mut harness = Harness::new(&["a0", "a1"]);
    harness.submit(job(1, 1, cpu(1000)), 7);
    let (worker, start) = harness.starts()[0].clone();
    harness.take_actions();
    let (run, left_ms, ran_ms) = (start.run, Some(700), 300);
    harness.receive(
        &worker,
        ToEntry::Behind {
            run,
            ran_ms,
            left_ms,
        },
    );
    assert!(harness.stops().is_empty());
}

#[test]
fn a_worker_that_refuses_repeatedly_is_avoided_for_increasing_times() {
    let mut harness = Harness::new(&["a0"]);
    harness.submit(job(1, 1, cpu(1000)), 7);
    let mut avoid_times = Vec::new();
    for _ in 0..5 {
        let run = harness
            .starts()
            .pop()
            .expect("the task is sent to the worker")
            .1
            .run;
        harness.take_actions();
        let reason = NotStarted::Unhealthy;
        harness.receive("a0", ToEntry::Refused { run, reason });
        harness.report_free("a0", 100, 4000);
        let start = harness.now;
        while harness.starts().is_empty() {
            harness.advance(10 * MS);
            assert!(
                harness.now < start + Duration::from_secs(2),
                "{avoid_times:?}"
            );
        }
        avoid_times.push((harness.now.as_millis() - start.as_millis()) as u64);
    }
    assert!(
        avoid_times.is_sorted() && avoid_times[4] >= 4 * avoid_times[0],
        "{avoid_times:?}"
    );
}

#[test]
fn a_worker_that_fails_most_runs_gets_no_tasks() {
    let mut harness = Harness::new(&["a0", "a1", "a2"]);
    let report = CapacityReport {
        open: true,
        free: worker_capacity(4000),
        failing: 0.9,
        ..CapacityReport::default()
    };
    harness.receive("a0", ToEntry::Capacity(report));
    harness.take_actions();
    harness.submit(job(1, 8, cpu(1000)), 7);
    assert_eq!(harness.starts().len(), 8);
    assert!(harness.starts().iter().all(|(worker, _)| worker != "a0"));
}

#[test]
fn a_note_names_the_request_that_is_accepted_resubmitted_or_declined() {
    let mut harness = Harness::new(&["a0"]);
    harness.submit(job(1, 1, cpu(1000)), 7);
    let mut again = job(1, 1, cpu(1000));
    again.request = "again".into();
    harness.submit(again, 8);
    harness.submit(job(2, 1, cpu(9000)), 9);
    let named: Vec<String> = harness
        .out
        .iter()
        .filter_map(|action| match action {
            Action::Note(Note::Accepted { request, .. }) => Some(format!("accepted {request}")),
            Action::Note(Note::Resubmitted { request, .. }) => {
                Some(format!("resubmitted {request}"))
            }
            Action::Note(Note::Declined { request, .. }) => Some(format!("declined {request}")),
            _ => None,
        })
        .collect();
    assert_eq!(named, ["accepted r1", "resubmitted again", "declined r2"]);
}

#[test]
fn short_waits_in_a_row_are_announced_to_agents_once() {
    let mut harness = Harness::new(&["a", "b"]);
    let mut messages = 0;
    for id in 1..=20 {
        // Both workers are full, and one has capacity again after 5 ms.
        harness.report_free("a", 0, 0);
        harness.report_free("b", 0, 0);
        harness.submit(job(id, 1, cpu(1000)), id);
        harness.advance(5 * MS);
        harness.report_free("a", 100, 4000);
        let waiting = |action: &Action| matches!(action, Action::Send(_, ToAgent::Waiting { .. }));
        assert_eq!(harness.starts().len(), 1, "the job was not placed");
        messages += harness.take_actions().into_iter().filter(waiting).count();
    }
    assert_eq!(messages, 2, "each agent gets one message during the waits");
    harness.advance(200 * MS);
    let stopped_waiting =
        |action: &Action| matches!(action, Action::Send(_, ToAgent::Waiting { tasks: 0 }));
    assert_eq!(
        harness
            .take_actions()
            .into_iter()
            .filter(stopped_waiting)
            .count(),
        2
    );
}

/// A caller whose connection was reset may submit the job to another entry before the next periodic
/// announcement. The job must not start there while runs of it are left at the first entry.
#[test]
fn a_job_resubmitted_to_another_entry_at_once_waits_for_the_first_to_yield() {
    let (mut first, mut second) = (Harness::new(&["a"]), Harness::new(&["b"]));
    let (e1, e2) = (Name::from("e1"), Name::from("e2"));
    first.scheduler.peer_up(&e2, &mut first.out);
    second.scheduler.peer_up(&e1, &mut second.out);
    first.submit(job(7, 2, cpu(1000)), 1);
    let runs: Vec<RunId> = first.starts().iter().map(|(_, start)| start.run).collect();
    first.take_actions();
    first.scheduler.disconnected(first.now, 1, &mut first.out);
    let announcement = first
        .take_actions()
        .into_iter()
        .find_map(|action| match action {
            Action::Peers(msg) => Some(msg),
            _ => None,
        });
    let announcement = announcement.expect("the job is announced together with the stops");
    second
        .scheduler
        .on_peer(second.now, &e1, announcement, &mut second.out);
    second.submit(job(7, 2, cpu(1000)), 1);
    assert!(
        second.starts().is_empty(),
        "started while the first runs may still be in progress"
    );
    let request = Peer::Yield { job: JobId(7) };
    assert_eq!(second.peer_msgs(), [(e1.clone(), request.clone())]);
    second.take_actions();
    first
        .scheduler
        .on_peer(first.now, &e2, request, &mut first.out);
    assert!(
        first.take_actions().is_empty(),
        "yielded while runs were left"
    );
    for run in runs {
        let end = RunEnd::Gone;
        first.receive(
            "a",
            ToEntry::Ended {
                run,
                end,
                evidence: EndEvidence::Listed,
                ran_ms: 3,
            },
        );
    }
    let yielded = Peer::Yielded { job: JobId(7) };
    assert_eq!(first.peer_msgs(), [(e2, yielded.clone())]);
    second
        .scheduler
        .on_peer(second.now, &e1, yielded, &mut second.out);
    assert_eq!(second.starts().len(), 2);
}

#[test]
fn a_job_that_waits_for_an_entry_is_not_yielded_before_that_entry_has_yielded_it() {
    let mut harness = Harness::new(&["a0"]);
    let (first, third): (Name, Name) = ("e1".into(), "e2".into());
    harness.scheduler.peer_up(&first, &mut harness.out);
    harness.scheduler.peer_up(&third, &mut harness.out);
    let jobs = vec![JobId(1)];
    let started = Peer::JobsStarted { jobs };
    harness
        .scheduler
        .on_peer(harness.now, &first, started, &mut harness.out);
    harness.submit(job(1, 1, cpu(1000)), 7);
    harness.take_actions();
    let request = Peer::Yield { job: JobId(1) };
    harness
        .scheduler
        .on_peer(harness.now, &third, request, &mut harness.out);
    let yielded = Peer::Yielded { job: JobId(1) };
    assert!(
        !harness.peer_msgs().contains(&(third, yielded)),
        "the first entry may still run it"
    );
}

#[test]
fn a_job_with_the_id_of_another_open_job_is_not_answered_with_its_end() {
    // Guards against an answer to tasks that were never started.
    let mut harness = Harness::new(&["a0"]);
    harness.submit(job(1, 1, cpu(1000)), 7);
    harness.submit(job(1, 3, cpu(1000)), 8);
    harness.submit(job(1, 1, cpu(1000)), 9);
    let run = harness.starts()[0].1.run;
    harness.receive("a0", ended(run, RunEnd::Done));
    let conflict = Answer::OtherJobOpen("another job with this id is open");
    let completed = |caller| (caller, Answer::Completed);
    assert_eq!(
        harness.answers(),
        [(8, conflict), completed(7), completed(9)]
    );
}

/// Guards against a factor of the settings that is ignored.
#[test]
fn a_task_goes_to_another_rack_only_if_it_ends_in_time_by_the_factor_of_the_settings() {
    for (factor, sent) in [(None, 1), (Some(2.0), 1), (Some(3.0), 0)] {
        let mut harness = Harness::new(&["w0"]);
        if let Some(factor) = factor {
            harness.scheduler.set_other_rack_factor(factor);
        }
        // Its aim is 60 ms and 1.6 times its estimate from now.
        let mut job = job(1, 1, cpu(1000));
        job.steps[0].rack = Some("r1".into());
        harness.submit(job, 1);
        assert_eq!(harness.starts().len(), sent, "{factor:?}");
    }
}
