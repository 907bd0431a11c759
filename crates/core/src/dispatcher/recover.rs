//! Takes over a job whose entry is gone: collects what agents know, and runs only tasks that
//! surely never started.

use std::time::{Duration, Instant};

use indexmap::IndexSet;

use crate::answer::{Failure, FailureKind};
use crate::ids::{Digest, JobKey, Name, WallMs};
use crate::job::task_digest;
use crate::msg::{Role, TaskRef, TaskResult, ToAgent};
use crate::placement::CLOCK_TOLERANCE;

use super::{Action, Dispatcher, Note, Now, Phase, TaskState};

/// Time after which agents that did not answer are asked again.
const COLLECT_RETRY: Duration = Duration::from_millis(500);

/// What is still missing before a job that was taken over can go on.
#[derive(Debug)]
pub(super) struct Collection {
    /// Agents that have not answered.
    missing: IndexSet<Name>,
    /// Whether an agent answered that may have lost its memory of the job.
    doubtful: bool,
    asked: Instant,
}

impl Dispatcher {
    /// Asks every agent that may have started tasks of the job.
    pub(super) fn begin_collection(&mut self, now: Now, key: JobKey, out: &mut Vec<Action>) {
        let members = self.members.iter().filter(|m| m.role == Role::Agent);
        let mut missing: IndexSet<Name> = members.map(|m| m.node.name.clone()).collect();
        missing.extend(self.fleet.workers().keys().cloned());
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        job.phase = Phase::Collecting(Collection {
            missing,
            doubtful: false,
            asked: now.mono,
        });
        self.ask_agents(key, out);
        self.go_on(now, key, out);
    }

    fn ask_agents(&self, key: JobKey, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let Phase::Collecting(collection) = &job.phase else {
            return;
        };
        let up = |name: &&Name| {
            self.fleet
                .workers()
                .get(*name)
                .is_some_and(|worker| worker.up)
        };
        for name in collection.missing.iter().filter(up) {
            let msg = ToAgent::Collect {
                key,
                attempt: job.attempt,
            };
            out.push(Action::Send(name.clone(), msg));
        }
    }

    /// Asks again where answers are missing.
    pub(super) fn tick_collections(&mut self, now: Now, out: &mut Vec<Action>) {
        let due = |asked: Instant| now.mono.duration_since(asked) >= COLLECT_RETRY;
        let mut keys = Vec::new();
        for (key, job) in &mut self.jobs {
            if let Phase::Collecting(collection) = &mut job.phase
                && due(collection.asked)
            {
                collection.asked = now.mono;
                keys.push(*key);
            }
        }
        for key in keys {
            self.ask_agents(key, out);
        }
    }

    /// Takes in what one agent knows.
    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(super) fn on_collected(
        &mut self,
        now: Now,
        from: &Name,
        key: JobKey,
        attempt: u32,
        knows_since: WallMs,
        running: Vec<u16>,
        done: Vec<(u16, Digest, TaskResult)>,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let Phase::Collecting(collection) = &mut job.phase else {
            return;
        };
        if job.attempt != attempt || !collection.missing.swap_remove(from) {
            return;
        }
        collection.doubtful |= knows_since.after(CLOCK_TOLERANCE) > key.created();
        job.started += (running.len() + done.len()) as u32;
        for index in running {
            if let Some(state) = job.tasks.get_mut(index as usize) {
                *state = TaskState::Sent {
                    worker: from.clone(),
                    tries: 1,
                };
            }
        }
        for (index, digest, result) in done {
            if let Err(failure) = self.take_result(key, index, digest, result, out) {
                self.fail(now, key, failure, out);
                return;
            }
        }
        self.go_on(now, key, out);
    }

    /// Goes on with a job as soon as all its tasks are accounted for.
    fn go_on(&mut self, now: Now, key: JobKey, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let Phase::Collecting(collection) = &job.phase else {
            return;
        };
        let unaccounted: Vec<u16> = (0..job.tasks.len() as u16)
            .filter(|index| job.tasks[*index as usize] == TaskState::Queued)
            .collect();
        if unaccounted.is_empty() {
            job.phase = Phase::Running;
            self.finish_if_done(now, key, out);
            return;
        }
        if collection.doubtful {
            let detail = "a worker that may have run tasks of this job lost its memory";
            self.fail(
                now,
                key,
                Failure::unknown(FailureKind::OutcomeUnknown, detail),
                out,
            );
            return;
        }
        if !collection.missing.is_empty() {
            return;
        }
        if job.started == 0 {
            self.admit(now, key, out);
            return;
        }
        job.phase = Phase::Running;
        job.queued = unaccounted.into();
        self.enqueue(key);
    }

    /// Stores one task's result after its digest was compared.
    pub(super) fn take_result(
        &mut self,
        key: JobKey,
        index: u16,
        digest: Digest,
        result: TaskResult,
        out: &mut Vec<Action>,
    ) -> Result<(), Failure> {
        let Some(job) = self.jobs.get_mut(&key) else {
            return Ok(());
        };
        let Some(spec) = job.spec.tasks.get(index as usize) else {
            return Ok(());
        };
        if task_digest(key, index, &spec.payload) != digest {
            out.push(Action::Note(Note::Dropped("digest")));
            return Ok(());
        }
        if matches!(job.tasks[index as usize], TaskState::Done(_)) {
            out.push(Action::Note(Note::Dropped("doubled")));
            return Ok(());
        }
        match result {
            TaskResult::Done(bytes) => {
                job.tasks[index as usize] = TaskState::Done(bytes);
                job.done += 1;
                Ok(())
            }
            TaskResult::Failed(reason) => {
                let detail = format!("task {index}: {reason}");
                Err(Failure::unknown(FailureKind::TaskFailed, detail))
            }
        }
    }

    /// Asks an agent that linked again what became of our dispatches to it.
    pub(super) fn query_worker(&self, name: &Name, out: &mut Vec<Action>) {
        let Some(worker) = self.fleet.workers().get(name) else {
            return;
        };
        let tasks: Vec<TaskRef> = worker.sent.values().map(|sent| sent.task).collect();
        if !tasks.is_empty() {
            out.push(Action::Send(name.clone(), ToAgent::Query { tasks }));
        }
    }
}
