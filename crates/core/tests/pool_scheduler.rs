//! An entry's decisions on pooled jobs, step by step.

use std::sync::Arc;
use std::time::Duration;

use rw_core::ids::Name;
use rw_core::pool::Uptime;
use rw_core::pool::catalog::Queue;
use rw_core::pool::job::{Job, JobId, Resources, RunEnd, RunId, Step};
use rw_core::pool::msg::{NotStarted, Peer, Room, Start, ToAgent, ToEntry, WorkerInfo};
use rw_core::pool::scheduler::{Action, Answer, Note, Scheduler};

const MS: Duration = Duration::from_millis(1);

struct Bench {
    core: Scheduler,
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

/// Room of a worker, with memory for all that its cores hold.
fn room_of(cpu_milli: u32) -> Resources {
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

impl Bench {
    fn new(workers: &[&str]) -> Self {
        let now = Duration::from_secs(10);
        let mut bench = Self {
            core: Scheduler::new(now, fastrand::Rng::with_seed(1)),
            now,
            out: Vec::new(),
        };
        for worker in workers {
            bench
                .core
                .agent_up(now, &Name::from(*worker), &mut bench.out);
            bench.from(
                worker,
                ToEntry::Worker(WorkerInfo {
                    pool: Some("p".into()),
                    capacity: room_of(4000),
                    labels: Vec::new(),
                }),
            );
            bench.room(worker, 0, 4000);
        }
        bench.take();
        bench
    }

    fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    fn from(&mut self, worker: &str, msg: ToEntry) {
        self.core
            .on_agent(self.now, &worker.into(), msg, &mut self.out);
        self.core.settle_room(self.now, &mut self.out);
    }

    fn room(&mut self, worker: &str, seen: u64, free: u32) {
        let room = Room {
            seen,
            open: true,
            free: room_of(free),
            ..Room::default()
        };
        self.from(worker, ToEntry::Room(room));
    }

    fn submit(&mut self, job: Job, caller: u64) {
        let deadline = Duration::from_secs(3);
        self.core
            .submit(self.now, job, queue("q"), caller, deadline, &mut self.out);
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.core.observe(self.now, &mut self.out);
        self.core.tick(self.now, &mut self.out);
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

    fn peer_msgs(&self) -> Vec<(Name, Peer)> {
        let msgs = self.out.iter().filter_map(|action| match action {
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
        ran_ms: 100,
    }
}

#[test]
fn a_job_is_answered_once_all_its_tasks_are_done() {
    let mut bench = Bench::new(&["a0"]);
    bench.submit(job(1, 2, cpu(1000)), 7);
    let starts = bench.starts();
    assert_eq!(starts.len(), 2);
    bench.from("a0", ended(starts[0].1.run, RunEnd::Done));
    assert!(bench.answers().is_empty(), "half of an answer is none");
    bench.from("a0", ended(starts[1].1.run, RunEnd::Done));
    assert_eq!(bench.answers(), vec![(7, Answer::Completed)]);
}

#[test]
fn nothing_is_sent_beyond_the_room_that_is_known() {
    let mut bench = Bench::new(&["a0"]);
    bench.submit(job(1, 8, cpu(1000)), 7);
    assert_eq!(bench.starts().len(), 4);
    bench.take();
    bench.room("a0", 4, 1000);
    assert_eq!(bench.starts().len(), 1);
}

#[test]
fn a_run_that_is_gone_is_run_again_under_a_higher_attempt() {
    let mut bench = Bench::new(&["a0"]);
    bench.submit(job(1, 1, cpu(1000)), 7);
    let first = bench.starts()[0].1.run;
    bench.take();
    bench.from("a0", ended(first, RunEnd::Gone));
    let again = bench.starts()[0].1.run;
    assert_eq!(again.task, first.task);
    assert!(again.attempt > first.attempt);
    bench.take();
    bench.from("a0", ended(first, RunEnd::Done));
    assert!(
        bench.answers().is_empty(),
        "a word on an earlier run counts for nothing"
    );
}

#[test]
fn an_old_attempt_jumps_ahead() {
    let mut bench = Bench::new(&["a0"]);
    bench.submit(job(1, 1, cpu(1000)), 7);
    let run = bench.starts()[0].1.run;
    bench.take();
    let reason = NotStarted::OldAttempt;
    bench.from("a0", ToEntry::Refused { run, reason });
    assert!(bench.starts()[0].1.run.attempt > run.attempt + 1);
}

#[test]
fn a_task_that_fails_as_often_as_its_queue_allows_fails_the_job() {
    let mut bench = Bench::new(&["a0"]);
    bench.submit(job(1, 1, cpu(1000)), 7);
    for _ in 0..2 {
        let run = bench.starts()[0].1.run;
        bench.take();
        bench.from("a0", ended(run, RunEnd::Failed));
    }
    assert!(matches!(bench.answers()[..], [(7, Answer::Failed(_))]));
    assert!(bench.starts().is_empty());
}

#[test]
fn a_job_that_no_worker_could_hold_fails_at_once() {
    let mut bench = Bench::new(&["a0"]);
    bench.submit(job(1, 1, cpu(9000)), 7);
    assert!(matches!(bench.answers()[..], [(7, Answer::Failed(_))]));
}

#[test]
fn a_hang_up_stops_the_runs_and_frees_the_room() {
    let mut bench = Bench::new(&["a0"]);
    bench.submit(job(1, 4, cpu(1000)), 7);
    bench.submit(job(2, 1, cpu(1000)), 8);
    assert_eq!(bench.starts().len(), 4);
    bench.take();
    bench.core.hung_up(bench.now, 7, &mut bench.out);
    assert_eq!(bench.stops().len(), 4);
    let stopped = bench.stops();
    bench.take();
    bench.from("a0", ended(stopped[0], RunEnd::Gone));
    bench.room("a0", 4, 1000);
    assert_eq!(bench.starts().len(), 1, "the other job has the room now");
}

#[test]
fn a_job_that_comes_back_waits_until_its_earlier_runs_have_ended() {
    let mut bench = Bench::new(&["a0"]);
    bench.submit(job(1, 1, cpu(1000)), 7);
    let first = bench.starts()[0].1.run;
    bench.core.hung_up(bench.now, 7, &mut bench.out);
    bench.take();
    bench.submit(job(1, 1, cpu(1000)), 8);
    assert!(bench.starts().is_empty(), "the first run may still go on");
    bench.from("a0", ended(first, RunEnd::Gone));
    let again = bench.starts()[0].1.run;
    assert!(again.attempt > first.attempt);
}

#[test]
fn a_job_of_another_entry_is_asked_for_before_it_runs() {
    let mut bench = Bench::new(&["a0"]);
    let peer: Name = "e1".into();
    bench.core.peer_up(&peer);
    let jobs = vec![JobId(1)];
    bench
        .core
        .on_peer(bench.now, &peer, Peer::Began { jobs }, &mut bench.out);
    bench.submit(job(1, 1, cpu(1000)), 7);
    assert!(bench.starts().is_empty());
    let asked = |action: &Action| matches!(action, Action::Peer(_, Peer::Yield { job: JobId(1) }));
    assert!(bench.out.iter().any(asked));
    let yielded = Peer::Yielded { job: JobId(1) };
    bench
        .core
        .on_peer(bench.now, &peer, yielded, &mut bench.out);
    assert_eq!(bench.starts().len(), 1);
}

#[test]
fn a_job_of_a_lost_entry_runs_once_its_runs_have_surely_lapsed() {
    let mut bench = Bench::new(&["a0"]);
    let peer: Name = "e1".into();
    bench.core.peer_up(&peer);
    let jobs = vec![JobId(1)];
    bench
        .core
        .on_peer(bench.now, &peer, Peer::Began { jobs }, &mut bench.out);
    bench.core.peer_down(bench.now, &peer);
    bench.submit(job(1, 1, cpu(1000)), 7);
    let begin = bench.now;
    while bench.starts().is_empty() {
        bench.pass(20 * MS);
        assert!(bench.now < begin + Duration::from_secs(3));
    }
    let least = rw_core::pool::SILENCE + rw_core::pool::WORKER_LEASE;
    assert!(bench.now >= begin + least, "{:?}", bench.now);
}

#[test]
fn a_yield_is_confirmed_only_when_nothing_runs_any_more() {
    let mut bench = Bench::new(&["a0"]);
    let peer: Name = "e1".into();
    bench.core.peer_up(&peer);
    bench.submit(job(1, 1, cpu(1000)), 7);
    let run = bench.starts()[0].1.run;
    bench.take();
    let asked = Peer::Yield { job: JobId(1) };
    bench.core.on_peer(bench.now, &peer, asked, &mut bench.out);
    assert!(matches!(bench.answers()[..], [(7, Answer::Broken(_))]));
    let yielded = |action: &Action| matches!(action, Action::Peer(_, Peer::Yielded { .. }));
    assert!(!bench.out.iter().any(yielded));
    bench.from("a0", ended(run, RunEnd::Gone));
    assert!(bench.out.iter().any(yielded));
}

#[test]
fn after_a_stand_still_started_jobs_are_broken_off_and_others_refused() {
    let mut bench = Bench::new(&["a0"]);
    bench.submit(job(1, 4, cpu(1000)), 7);
    bench.submit(job(2, 1, cpu(1000)), 8);
    bench.take();
    bench.pass(Duration::from_secs(1));
    let answers = bench.answers();
    assert!(
        answers
            .iter()
            .any(|(c, a)| *c == 7 && matches!(a, Answer::Broken(_)))
    );
    assert!(
        answers
            .iter()
            .any(|(c, a)| *c == 8 && matches!(a, Answer::NotRun { .. }))
    );
    assert!(
        bench
            .out
            .iter()
            .any(|action| matches!(action, Action::DropLinks))
    );
}

#[test]
fn a_refusal_says_not_run_only_when_nothing_was_sent() {
    let mut bench = Bench::new(&["a0"]);
    bench.submit(job(1, 6, cpu(1000)), 7);
    bench.submit(job(2, 1, cpu(1000)), 8);
    for _ in 0..200 {
        bench.pass(20 * MS);
    }
    for (caller, answer) in bench.answers() {
        match answer {
            Answer::NotRun { .. } => assert_eq!(caller, 8),
            Answer::Broken(_) => assert_eq!(caller, 7),
            other => panic!("{caller}: {other:?}"),
        }
    }
    assert_eq!(bench.answers().len(), 2);
}

#[test]
fn a_run_that_stands_still_is_moved_to_another_worker() {
    let mut bench = Bench::new(&["a0", "a1"]);
    bench.submit(job(1, 1, cpu(1000)), 7);
    let (worker, start) = bench.starts()[0].clone();
    bench.take();
    bench.pass(300 * MS);
    let (run, left_ms, ran_ms) = (start.run, None, 300);
    bench.from(
        &worker,
        ToEntry::Behind {
            run,
            ran_ms,
            left_ms,
        },
    );
    assert_eq!(bench.stops(), vec![run]);
    assert!(bench.starts().is_empty(), "not before the first has ended");
    bench.from(&worker, ended(run, RunEnd::Gone));
    assert_eq!(bench.starts().len(), 1);
}

#[test]
fn a_task_that_stands_still_wherever_it_runs_is_not_moved_for_ever() {
    let mut bench = Bench::new(&["a0", "a1"]);
    bench.submit(job(1, 1, cpu(1000)), 7);
    let mut moves = 0;
    for _ in 0..6 {
        let (worker, start) = bench.starts().pop().expect("the task runs");
        let (run, left_ms, ran_ms) = (start.run, None, 300);
        bench.from(
            &worker,
            ToEntry::Behind {
                run,
                ran_ms,
                left_ms,
            },
        );
        if bench.stops().is_empty() {
            break;
        }
        moves += 1;
        bench.take();
        bench.from(&worker, ended(run, RunEnd::Gone));
        bench.room("a0", 0, 4000);
        bench.room("a1", 0, 4000);
    }
    assert_eq!(moves, 2);
}

#[test]
fn a_long_run_on_a_sound_worker_is_left_alone() {
    let mut bench = Bench::new(&["a0", "a1"]);
    bench.submit(job(1, 1, cpu(1000)), 7);
    let (worker, start) = bench.starts()[0].clone();
    bench.take();
    let (run, left_ms, ran_ms) = (start.run, Some(700), 300);
    bench.from(
        &worker,
        ToEntry::Behind {
            run,
            ran_ms,
            left_ms,
        },
    );
    assert!(bench.stops().is_empty());
}

#[test]
fn a_worker_that_refuses_is_left_alone_for_longer_and_longer() {
    let mut bench = Bench::new(&["a0"]);
    bench.submit(job(1, 1, cpu(1000)), 7);
    let mut pauses = Vec::new();
    for _ in 0..5 {
        let run = bench.starts().pop().expect("the task is tried").1.run;
        bench.take();
        let reason = NotStarted::Unhealthy;
        bench.from("a0", ToEntry::Refused { run, reason });
        bench.room("a0", 100, 4000);
        let begin = bench.now;
        while bench.starts().is_empty() {
            bench.pass(10 * MS);
            assert!(bench.now < begin + Duration::from_secs(2), "{pauses:?}");
        }
        pauses.push((bench.now.as_millis() - begin.as_millis()) as u64);
    }
    assert!(
        pauses.is_sorted() && pauses[4] >= 4 * pauses[0],
        "{pauses:?}"
    );
}

#[test]
fn a_worker_that_fails_everything_is_left_alone() {
    let mut bench = Bench::new(&["a0", "a1", "a2"]);
    let room = Room {
        open: true,
        free: room_of(4000),
        failing: 0.9,
        ..Room::default()
    };
    bench.from("a0", ToEntry::Room(room));
    bench.take();
    bench.submit(job(1, 8, cpu(1000)), 7);
    assert_eq!(bench.starts().len(), 8);
    assert!(bench.starts().iter().all(|(worker, _)| worker != "a0"));
}

#[test]
fn a_request_is_named_in_a_note_whether_it_is_taken_in_joins_or_is_declined() {
    let mut bench = Bench::new(&["a0"]);
    bench.submit(job(1, 1, cpu(1000)), 7);
    let mut again = job(1, 1, cpu(1000));
    again.request = "again".into();
    bench.submit(again, 8);
    bench.submit(job(2, 1, cpu(9000)), 9);
    let named: Vec<String> = bench
        .out
        .iter()
        .filter_map(|action| match action {
            Action::Note(Note::Accepted { request, .. }) => Some(format!("accepted {request}")),
            Action::Note(Note::Joined { request, .. }) => Some(format!("joined {request}")),
            Action::Note(Note::Declined { request, .. }) => Some(format!("declined {request}")),
            _ => None,
        })
        .collect();
    assert_eq!(named, ["accepted r1", "joined again", "declined r2"]);
}

#[test]
fn agents_are_not_told_of_each_short_wait() {
    let mut bench = Bench::new(&["a", "b"]);
    let mut told = 0;
    for id in 1..=20 {
        // Both workers are full, then have room again: the job waits for 5 ms.
        bench.room("a", 0, 0);
        bench.room("b", 0, 0);
        bench.submit(job(id, 1, cpu(1000)), id);
        bench.pass(5 * MS);
        bench.room("a", 100, 4000);
        let waiting = |action: &Action| matches!(action, Action::Send(_, ToAgent::Waiting { .. }));
        assert_eq!(bench.starts().len(), 1, "the job is placed");
        told += bench.take().into_iter().filter(waiting).count();
    }
    assert_eq!(told, 2, "each agent is told once while waits go on");
    bench.pass(200 * MS);
    let ceased = |action: &Action| matches!(action, Action::Send(_, ToAgent::Waiting { tasks: 0 }));
    assert_eq!(bench.take().into_iter().filter(ceased).count(), 2);
}

#[test]
fn a_caller_whose_connection_was_reset_may_come_to_another_entry_at_once() {
    let (mut first, mut second) = (Bench::new(&["a"]), Bench::new(&["b"]));
    let (e1, e2) = (Name::from("e1"), Name::from("e2"));
    first.core.peer_up(&e2);
    second.core.peer_up(&e1);
    first.submit(job(7, 2, cpu(1000)), 1);
    let runs: Vec<RunId> = first.starts().iter().map(|(_, start)| start.run).collect();
    first.take();
    first.core.hung_up(first.now, 1, &mut first.out);
    let told = first.take().into_iter().find_map(|action| match action {
        Action::Peers(msg) => Some(msg),
        _ => None,
    });
    let told = told.expect("the other entries are told with the stops");
    second.core.on_peer(second.now, &e1, told, &mut second.out);
    second.submit(job(7, 2, cpu(1000)), 1);
    assert!(second.starts().is_empty(), "the first runs may still go on");
    let ask = Peer::Yield { job: JobId(7) };
    assert_eq!(second.peer_msgs(), [(e1.clone(), ask.clone())]);
    second.take();
    first.core.on_peer(first.now, &e2, ask, &mut first.out);
    assert!(
        first.take().is_empty(),
        "nothing is yielded while runs are left"
    );
    for run in runs {
        let end = RunEnd::Gone;
        first.from(
            "a",
            ToEntry::Ended {
                run,
                end,
                ran_ms: 3,
            },
        );
    }
    let yielded = Peer::Yielded { job: JobId(7) };
    assert_eq!(first.peer_msgs(), [(e2, yielded.clone())]);
    second
        .core
        .on_peer(second.now, &e1, yielded, &mut second.out);
    assert_eq!(second.starts().len(), 2);
}
