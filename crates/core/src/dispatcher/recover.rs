//! Takeover of a job whose entry has failed: collects results from the agents, and runs only tasks
//! that are proved not to have started.

use std::time::{Duration, Instant};

use indexmap::IndexSet;

use crate::answer::{Failure, FailureKind};
use crate::ids::{Digest, JobKey, Name, WallMs};
use crate::job::task_digest;
use crate::msg::{Role, TaskRef, TaskResult, ToAgent};
use crate::placement::CLOCK_TOLERANCE;

use super::{Action, Dispatcher, MetricEvent, Now, Phase, TaskState};

/// Interval at which agents that have not answered are asked again.
const COLLECT_RETRY: Duration = Duration::from_millis(500);

/// Progress of collecting the recorded task states of a job that was taken over from the agents.
#[derive(Debug)]
pub(super) struct Collection {
    /// Agents that have not answered.
    unanswered: IndexSet<Name>,
    /// Whether an agent answered that may have restarted, and lost its records, since the key was
    /// created.
    records_incomplete: bool,
    asked_at: Instant,
}

impl Dispatcher {
    /// Asks every agent that may have started tasks of the job.
    pub(super) fn begin_collection(&mut self, now: Now, key: JobKey, out: &mut Vec<Action>) {
        let members = self.members.iter().filter(|m| m.role == Role::Agent);
        let mut unanswered: IndexSet<Name> = members.map(|m| m.node.name.clone()).collect();
        unanswered.extend(self.fleet.workers().keys().cloned());
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        job.phase = Phase::Collecting(Collection {
            unanswered,
            records_incomplete: false,
            asked_at: now.mono,
        });
        self.ask_agents(key, out);
        self.resume_job(now, key, out);
    }

    fn ask_agents(&self, key: JobKey, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let Phase::Collecting(collection) = &job.phase else {
            return;
        };
        let linked = |name: &&Name| {
            self.fleet
                .workers()
                .get(*name)
                .is_some_and(|worker| worker.linked)
        };
        for name in collection.unanswered.iter().filter(linked) {
            let msg = ToAgent::Collect {
                key,
                attempt: job.attempt,
            };
            out.push(Action::Send(name.clone(), msg));
        }
    }

    /// Repeats unanswered requests to agents.
    pub(super) fn tick_collections(&mut self, now: Now, out: &mut Vec<Action>) {
        let due = |asked_at: Instant| now.mono.duration_since(asked_at) >= COLLECT_RETRY;
        let mut keys = Vec::new();
        for (key, job) in &mut self.jobs {
            if let Phase::Collecting(collection) = &mut job.phase
                && due(collection.asked_at)
            {
                collection.asked_at = now.mono;
                keys.push(*key);
            }
        }
        for key in keys {
            self.ask_agents(key, out);
        }
    }

    /// Handles one agent's report of the job's running and ended tasks.
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
        if job.attempt != attempt || !collection.unanswered.swap_remove(from) {
            return;
        }
        collection.records_incomplete |= knows_since.after(CLOCK_TOLERANCE) > key.created();
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
            if let Err(failure) = self.store_result(key, index, digest, result, out) {
                self.fail(now, key, failure, out);
                return;
            }
        }
        self.resume_job(now, key, out);
    }

    /// Resumes a job once the state of all its tasks is known, and fails it if that cannot be
    /// known.
    fn resume_job(&mut self, now: Now, key: JobKey, out: &mut Vec<Action>) {
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
        if collection.records_incomplete {
            let detail = "a worker that may have run tasks of this job lost its memory";
            self.fail(
                now,
                key,
                Failure::unknown(FailureKind::OutcomeUnknown, detail),
                out,
            );
            return;
        }
        if !collection.unanswered.is_empty() {
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

    /// Stores one task's result if its digest matches and none is stored yet. Returns the job's
    /// failure if the task failed.
    pub(super) fn store_result(
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
            out.push(Action::Metric(MetricEvent::Dropped("digest")));
            return Ok(());
        }
        if matches!(job.tasks[index as usize], TaskState::Done(_)) {
            out.push(Action::Metric(MetricEvent::Dropped("doubled")));
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

    /// Asks an agent that linked again for the state of this entry's dispatches to it.
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
