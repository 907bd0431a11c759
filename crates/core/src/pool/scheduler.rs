//! Scheduling of pooled jobs at an entry: admission, ordering, placement, retries and answers.

mod cancels;
mod contention;
mod ending;
mod evacuation;
mod explain;
mod holds;
mod load;
mod note;
mod open_job;
mod peers;
mod place;
mod reserve;
mod runs;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use indexmap::IndexMap;

pub use cancels::{CANCEL_WAIT, CancelAnswer, MAX_CANCELS};
pub use explain::{Explanation, LoadView, Outcome, Refusal, StepView};
pub use note::{Action, Answer, EvacuationEffect, Note, Placed};

use cancels::Cancels;
use contention::QueueRanks;
use load::PoolLoad;
use open_job::{Hold, OpenJob, Rank, Task, TaskState, aim_of};
use peers::YieldRequest;
use reserve::Reservations;

use super::acquaintance::Acquaintance;
use super::catalog::Queue;
use super::fleet::{Basis, Fleet};
use super::job::{Job, JobId, Resources, RunId};
use super::msg::{Peer, ToAgent};
use super::overload::{Order, Tier};
use super::owners::{MAX_RUN_TIME_AFTER_LOSS, Owners};
use super::shares::Shares;
use super::{MAX_TIME, Uptime};
use crate::ids::Name;

/// Maximum number of open jobs at one entry; further jobs are refused.
pub const MAX_JOBS: usize = 4096;
/// An entry that was not scheduled for this long is treated as suspended: its agents may have
/// stopped its runs after [`SILENCE_TIMEOUT`](super::SILENCE_TIMEOUT).
pub const STALL_LIMIT: Duration = Duration::from_millis(600);
/// Time after which a disconnected worker without runs is removed.
const WORKER_RETENTION: Duration = Duration::from_secs(60);
/// Retry delay given to the caller of a refused job when there is no better estimate.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A run that its agent was told to stop after its job was removed.
#[derive(Clone, Debug)]
struct StoppingRun {
    worker: Name,
    needs: Resources,
}

/// The scheduler of pooled jobs at one entry.
///
/// It does no I/O: every call appends [`Action`]s for the adapter to carry out.
#[derive(Clone, Debug)]
pub struct Scheduler {
    fleet: Fleet,
    owners: Owners,
    acquaintance: Acquaintance,
    jobs: IndexMap<JobId, OpenJob>,
    /// Jobs with tasks that are ready for placement, in placement order.
    waiting: BTreeSet<Rank>,
    stopping: IndexMap<RunId, StoppingRun>,
    yield_requests: Vec<YieldRequest>,
    cancels: Cancels,
    /// When all runs that the entry's process before this one started have certainly ended.
    predecessor_runs_end: Uptime,
    /// Jobs that were removed here while another entry was asked to yield them, with that entry. They
    /// are yielded to others only after it.
    awaited: IndexMap<JobId, Name>,
    /// Highest attempt of each job that was removed while runs were left. A resubmitted job uses
    /// higher ones.
    past_attempts: IndexMap<JobId, u32>,
    /// Number of waiting jobs in the last `Waiting` message to the agents.
    announced_waiting: u32,
    /// Whether the workers that this entry knows are all that it can expect room from.
    reach_exhausted: bool,
    /// Whether jobs were still waiting after the last placement.
    jobs_left_waiting: bool,
    /// Time of the last placement that left jobs waiting.
    last_waiting: Uptime,
    /// Jobs that began to wait, or began again, since the last placement.
    untried: Vec<JobId>,
    /// Recent load, by pool.
    loads: IndexMap<Name, PoolLoad>,
    /// Load of the other entries.
    shares: Shares,
    /// Queues of the catalogue in force.
    queues: QueueRanks,
    next_ranking: Uptime,
    reservations: Reservations,
    /// When the process ends, once it is shutting down.
    ends_at: Option<Uptime>,
    last_observed: Uptime,
    rng: Rng,
}

impl Scheduler {
    /// Creates the scheduler of an entry process that has just started.
    pub fn new(now: Uptime, rng: Rng) -> Self {
        Self {
            fleet: Fleet::default(),
            owners: Owners::default(),
            acquaintance: Acquaintance::at_start(now),
            jobs: IndexMap::new(),
            waiting: BTreeSet::new(),
            stopping: IndexMap::new(),
            yield_requests: Vec::new(),
            cancels: Cancels::default(),
            predecessor_runs_end: now + MAX_RUN_TIME_AFTER_LOSS,
            awaited: IndexMap::new(),
            past_attempts: IndexMap::new(),
            announced_waiting: 0,
            reach_exhausted: true,
            jobs_left_waiting: false,
            last_waiting: now,
            untried: Vec::new(),
            loads: IndexMap::new(),
            shares: Shares::default(),
            queues: QueueRanks::default(),
            next_ranking: now,
            reservations: Reservations::default(),
            ends_at: None,
            last_observed: now,
            rng,
        }
    }

    /// Returns the workers known to this entry.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Sets the factor on the run time of a task on a worker outside the rack of its data.
    pub fn set_other_rack_factor(&mut self, factor: f64) {
        self.fleet.set_other_rack_factor(factor);
    }

    /// Sets whether links to further agents are not expected to bring room. Until then, a job whose
    /// turn seems to come too late by the known workers is not refused.
    pub fn set_reach_exhausted(&mut self, exhausted: bool) {
        self.reach_exhausted = exhausted;
    }

    /// Returns the number of jobs that are not answered yet.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of open jobs of a queue that have no task sent to a worker yet.
    pub fn pending(&self, queue: &Name) -> usize {
        let pending = |job: &&OpenJob| job.queue.name == *queue && job.starts == 0;
        self.jobs.values().filter(pending).count()
    }

    /// Returns whether a job is open at this entry.
    pub fn is_open(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Records the current time. Must be called before any other event is passed in.
    ///
    /// If the last call was [`STALL_LIMIT`] or more ago, agents may have stopped this entry's runs
    /// and other entries may have taken over its jobs: all jobs are then aborted and all links
    /// closed.
    pub fn observe(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let elapsed = now.saturating_sub(self.last_observed);
        self.last_observed = now;
        if elapsed < STALL_LIMIT {
            return;
        }
        out.push(Action::Note(Note::Stalled {
            time: elapsed,
            jobs: self.jobs.len(),
        }));
        for id in self.jobs.keys().copied().collect::<Vec<_>>() {
            self.abort(now, id, "the entry stood still", out);
        }
        self.acquaintance = Acquaintance::at_wake(now);
        out.push(Action::DropLinks);
    }

    /// Accepts a job or refuses it. A job that is already open gets `caller` as a further caller.
    ///
    /// `deadline` is the time that the caller waits from `now` on.
    pub fn submit(
        &mut self,
        now: Uptime,
        spec: Job,
        queue: Arc<Queue>,
        caller: u64,
        deadline: Duration,
        out: &mut Vec<Action>,
    ) {
        let id = spec.id;
        if let Some(job) = self.jobs.get_mut(&id) {
            if !job.spec.is_same(&spec) {
                let reason = "another job with this id is open";
                Self::decline(caller, &spec, Answer::OtherJobOpen(reason), reason, out);
                return;
            }
            // Resubmitted while open: the outcome of the runs in progress is the answer.
            job.callers.push(caller);
            job.deadline = job.deadline.max(now + deadline);
            let request = spec.request;
            out.push(Action::Note(Note::Resubmitted { job: id, request }));
            return;
        }
        if self.cancels.contains(id) {
            // Parts of it may have run before, so that it cannot be called not run.
            let reason = "cancelled by the caller";
            Self::decline(caller, &spec, Answer::OutcomeUnknown(reason), reason, out);
            return;
        }
        if self.jobs.len() >= MAX_JOBS {
            let reason = "too many jobs are open here";
            let retry_after = RETRY_AFTER;
            Self::decline(
                caller,
                &spec,
                Answer::NotRun {
                    reason,
                    retry_after,
                },
                reason,
                out,
            );
            return;
        }
        if spec
            .steps
            .iter()
            .any(|step| !self.fleet.could_ever_run(&queue.pool, step))
        {
            let reason = "no worker could hold a task of it";
            Self::decline(caller, &spec, Answer::Failed(reason), reason, out);
            return;
        }
        let refusal = if self.waits_for_evacuated(&queue.pool, &spec) {
            Some((evacuation::refusal(), evacuation::REASON))
        } else if self.ends_before(now, &spec) {
            Some((ending::refusal(), ending::REASON))
        } else {
            None
        };
        if let Some((answer, reason)) = refusal {
            Self::decline(caller, &spec, answer, reason, out);
            return;
        }
        let hold = if self.acquaintance.holds_jobs(now, self.owners.live()) {
            Hold::Unacquainted
        } else {
            self.hold_for(id, out)
        };
        let aim = aim_of(&spec, &queue);
        let deadline = deadline.min(MAX_TIME);
        let waits_for = match &hold {
            Hold::Yield(entry) => Some(entry.clone()),
            Hold::None | Hold::Stopping | Hold::Unacquainted => None,
        };
        out.push(Action::Note(Note::Accepted {
            job: id,
            request: spec.request.clone(),
            queue: queue.name.clone(),
            tasks: spec.tasks(),
            aim,
            deadline,
            waits_for,
        }));
        let size = self.on_asked(now, &spec, &queue);
        let job = OpenJob {
            tasks: self.new_tasks(now, &spec),
            left: spec.steps.iter().map(|step| step.count).collect(),
            spec,
            queue,
            callers: vec![caller],
            arrived: now,
            aim: now + aim,
            deadline: now + deadline,
            hold,
            starts: 0,
            refused_starts: 0,
            rank: (Tier::InTime, Order::by_time(now + aim), id),
            size,
            unplaced_tier: None,
        };
        self.owners.job_started(id);
        if job.hold == Hold::None {
            self.waiting.insert(job.rank);
        }
        self.jobs.insert(id, job);
        self.untried.push(id);
        self.place_waiting(now, out);
    }

    fn new_tasks(&self, now: Uptime, spec: &Job) -> Vec<Task> {
        let past = self.past_attempts.get(&spec.id).copied().unwrap_or(0);
        let mut tasks = Vec::with_capacity(spec.tasks());
        for (number, step) in spec.steps.iter().enumerate() {
            tasks.extend((0..step.count).map(|index| Task {
                step: number as u16,
                index,
                state: TaskState::Waiting,
                attempt: 0,
                attempt_floor: past,
                failures: 0,
                moves: 0,
                waiting_since: now,
                sent_at: now,
                basis: Basis::default(),
            }));
        }
        tasks
    }

    /// Returns what delays the start of the job. Asks the entry that may still run it to yield it.
    fn hold_for(&mut self, id: JobId, out: &mut Vec<Action>) -> Hold {
        let awaited = self.awaited.swap_remove(&id);
        if let Some(entry) = self.owners.owner(id).cloned().or(awaited) {
            out.push(Action::Peer(entry.clone(), Peer::Yield { job: id }));
            return Hold::Yield(entry);
        }
        if self.stopping.keys().any(|run| run.task.job == id) {
            return Hold::Stopping;
        }
        Hold::None
    }

    fn decline(
        caller: u64,
        spec: &Job,
        answer: Answer,
        reason: &'static str,
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Answer(caller, answer));
        out.push(Action::Note(Note::Declined {
            job: spec.id,
            request: spec.request.clone(),
            reason,
        }));
    }

    /// Handles the end of a caller's connection. Removes the job if it was its last caller.
    pub fn disconnected(&mut self, now: Uptime, caller: u64, out: &mut Vec<Action>) {
        self.forget_canceller(caller);
        let found = self
            .jobs
            .iter_mut()
            .find(|(_, job)| job.callers.contains(&caller));
        let Some((id, job)) = found else { return };
        job.callers.retain(|other| *other != caller);
        if !job.callers.is_empty() {
            return;
        }
        let (id, took) = (*id, now.saturating_sub(job.arrived));
        out.push(Action::Note(Note::Abandoned { job: id, took }));
        self.remove(now, id, out);
    }

    /// Answers a job that will not complete: [`Answer::NotRun`] if no task was sent, otherwise
    /// [`Answer::OutcomeUnknown`].
    fn abort(&mut self, now: Uptime, id: JobId, reason: &'static str, out: &mut Vec<Action>) {
        let started = self.jobs.get(&id).is_some_and(OpenJob::may_have_run);
        let answer = if started {
            Answer::OutcomeUnknown(reason)
        } else {
            Answer::NotRun {
                reason,
                retry_after: RETRY_AFTER,
            }
        };
        self.answer(now, id, &answer, out);
    }

    /// Answers a job and stops its remaining runs.
    fn answer(&mut self, now: Uptime, id: JobId, answer: &Answer, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        for caller in &job.callers {
            out.push(Action::Answer(*caller, answer.clone()));
        }
        if !job.may_have_run() {
            self.loads.entry(job.queue.pool.clone()).or_default().lost(
                now,
                &job.queue.name,
                job.size,
            );
        }
        out.push(Action::Note(Note::Answered {
            job: id,
            queue: job.queue.name.clone(),
            answer: answer.clone(),
            took: now.saturating_sub(job.arrived),
            aim: job.aim.saturating_sub(job.arrived),
            starts: job.starts,
        }));
        self.remove(now, id, out);
    }

    /// Removes a job and tells agents to stop its runs, which are tracked until they have certainly
    /// ended.
    fn remove(&mut self, now: Uptime, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.swap_remove(&id) else {
            return;
        };
        self.waiting.remove(&job.rank);
        if let Hold::Yield(entry) = &job.hold {
            self.awaited.insert(id, entry.clone());
        }
        let mut highest_attempt = 0;
        let mut has_runs = false;
        for task in &job.tasks {
            highest_attempt = highest_attempt.max(task.attempt);
            if let TaskState::Sent { worker, .. } = &task.state {
                has_runs = true;
                let run = job.run(task);
                out.push(Action::Send(worker.clone(), ToAgent::Stop { run }));
                let stopping = StoppingRun {
                    worker: worker.clone(),
                    needs: job.step(task).needs,
                };
                self.stopping.insert(run, stopping);
            }
        }
        if has_runs {
            self.past_attempts.insert(id, highest_attempt);
            if let Some(jobs) = self.owners.take_unannounced_with(id) {
                out.push(Action::Peers(Peer::JobsStarted { jobs }));
            }
        }
        self.finish_stopping(now, id, out);
    }

    /// Does periodic work: announcements, timeouts and placement.
    pub fn tick(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let started = self.owners.tick(now);
        if !started.is_empty() {
            out.push(Action::Peers(Peer::JobsStarted { jobs: started }));
        }
        self.fleet.remove_stale(now, WORKER_RETENTION);
        self.fleet.refresh(now);
        self.end_lost_runs(now, out);
        self.release_acquainted(now, out);
        self.confirm_yields(now, out);
        self.release_holds(now, out);
        self.settle_cancels(now, out);
        self.answer_overdue(now, out);
        self.return_jobs(now, out);
        self.place_all(now, out);
        self.refuse_hopeless(now, out);
        self.report_load(now, out);
        self.reserve(now, out);
    }
}
