//! The decisions of an entry on pooled jobs: admission, order, placement, retries, answers.

mod load;
mod note;
mod open_job;
mod peers;
mod place;
mod runs;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use indexmap::IndexMap;

pub use note::{Action, Answer, Note, Placed};

use load::PoolLoad;
use open_job::{Hold, OpenJob, Rank, Task, TaskState, Tier};

use super::Uptime;
use super::catalog::Queue;
use super::fleet::Fleet;
use super::job::{Job, JobId, RunId};
use super::msg::{Peer, ToAgent};
use super::owners::Owners;
use crate::ids::Name;

/// Jobs that one entry holds at once; more are refused.
pub const MAX_JOBS: usize = 4096;
/// An entry that did nothing for this long may have lost its runs to their agents' silence limit.
pub const FREEZE_LIMIT: Duration = Duration::from_millis(600);
/// A worker that was away for this long is forgotten.
const FORGET_WORKER: Duration = Duration::from_secs(60);
/// The caller of a refused job is told to come back after this time when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A run that was ordered to stop after its job was given up.
#[derive(Debug)]
struct Stopping {
    worker: Name,
}

/// One entry's decisions on pooled jobs.
#[derive(Debug)]
pub struct Scheduler {
    fleet: Fleet,
    owners: Owners,
    jobs: IndexMap<JobId, OpenJob>,
    /// Jobs with tasks that may be placed, in order.
    waiting: BTreeSet<Rank>,
    stopping: IndexMap<RunId, Stopping>,
    /// Entries that wait until nothing of a job runs here.
    yields: Vec<(JobId, Name)>,
    /// Highest attempts of jobs that ended here while runs were left, so that a rerun goes on above.
    past_attempts: IndexMap<JobId, u32>,
    /// What agents were last told of the tasks that wait here.
    told_waiting: u32,
    /// Whether tasks were left waiting by the last placement.
    were_waiting: bool,
    last_waiting: Uptime,
    /// Jobs that came, or came back to the waiting ones, since the last placement.
    untried: Vec<JobId>,
    /// Work sent of late, by pool.
    loads: IndexMap<Name, PoolLoad>,
    next_rank: Uptime,
    seen: Uptime,
    rng: Rng,
}

impl Scheduler {
    /// An entry process that just started.
    pub fn new(now: Uptime, rng: Rng) -> Self {
        Self {
            fleet: Fleet::default(),
            owners: Owners::default(),
            jobs: IndexMap::new(),
            waiting: BTreeSet::new(),
            stopping: IndexMap::new(),
            yields: Vec::new(),
            past_attempts: IndexMap::new(),
            told_waiting: 0,
            were_waiting: false,
            last_waiting: now,
            untried: Vec::new(),
            loads: IndexMap::new(),
            next_rank: now,
            seen: now,
            rng,
        }
    }

    /// The workers as this entry sees them.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Jobs that are not answered yet.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Jobs of a queue of which no task was sent.
    pub fn pending(&self, queue: &Name) -> usize {
        let pending = |job: &&OpenJob| job.queue.name == *queue && job.starts == 0;
        self.jobs.values().filter(pending).count()
    }

    /// Whether a job is open here.
    pub fn holds(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Notes the time before anything else is handed on. After a long stand-still the agents may
    /// have stopped this entry's runs and other entries may have taken its jobs over, so that all
    /// of them are broken off.
    pub fn observe(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let away = now.saturating_sub(self.seen);
        self.seen = now;
        if away < FREEZE_LIMIT {
            return;
        }
        out.push(Action::Note(Note::Frozen {
            time: away,
            jobs: self.jobs.len(),
        }));
        for id in self.jobs.keys().copied().collect::<Vec<_>>() {
            self.give_up(now, id, "the entry stood still", out);
        }
        out.push(Action::DropLinks);
    }

    /// Takes a job in, or refuses it.
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
            // The caller came back; the run under way is its answer.
            job.callers.push(caller);
            job.deadline = job.deadline.max(now + deadline);
            let request = spec.request;
            out.push(Action::Note(Note::Joined { job: id, request }));
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
        let hold = self.hold_for(id, out);
        let objective = spec.longest_chain().mul_f64(queue.slack) + queue.aim;
        let waits_for = match &hold {
            Hold::Yield(entry) => Some(entry.clone()),
            Hold::None | Hold::Stopping => None,
        };
        out.push(Action::Note(Note::Accepted {
            job: id,
            request: spec.request.clone(),
            queue: queue.name.clone(),
            tasks: spec.tasks(),
            aim: objective,
            deadline,
            waits_for,
        }));
        let job = OpenJob {
            tasks: self.tasks_of(now, &spec),
            left: spec.steps.iter().map(|step| step.count).collect(),
            spec,
            queue,
            callers: vec![caller],
            arrived: now,
            aim: now + objective,
            deadline: now + deadline,
            hold,
            starts: 0,
            rank: (Tier::InTime, now + objective, id),
            missed: None,
        };
        self.owners.began(id);
        if job.hold == Hold::None {
            self.waiting.insert(job.rank);
        }
        self.jobs.insert(id, job);
        self.untried.push(id);
        self.settle_room(now, out);
    }

    fn tasks_of(&self, now: Uptime, spec: &Job) -> Vec<Task> {
        let past = self.past_attempts.get(&spec.id).copied().unwrap_or(0);
        let mut tasks = Vec::with_capacity(spec.tasks());
        for (number, step) in spec.steps.iter().enumerate() {
            tasks.extend((0..step.count).map(|index| Task {
                step: number as u16,
                index,
                state: TaskState::Waiting,
                attempt: 0,
                floor: past,
                failures: 0,
                moves: 0,
                waiting_since: now,
            }));
        }
        tasks
    }

    /// Whether another entry or earlier runs here hold the job back.
    fn hold_for(&mut self, id: JobId, out: &mut Vec<Action>) -> Hold {
        if let Some(entry) = self.owners.holder(id).cloned() {
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

    /// A caller's connection ended.
    pub fn hung_up(&mut self, now: Uptime, caller: u64, out: &mut Vec<Action>) {
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

    /// Cancels a job. `false` when it is not open here.
    pub fn cancel(&mut self, now: Uptime, id: JobId, out: &mut Vec<Action>) -> bool {
        if !self.jobs.contains_key(&id) {
            if let Some(entry) = self.owners.holder(id) {
                out.push(Action::Peer(entry.clone(), Peer::Cancel { job: id }));
                return true;
            }
            return false;
        }
        self.give_up(now, id, "cancelled by the caller", out);
        true
    }

    /// Answers a job that will not end: as not run if nothing was sent, else by breaking it off.
    fn give_up(&mut self, now: Uptime, id: JobId, reason: &'static str, out: &mut Vec<Action>) {
        let started = self.jobs.get(&id).is_some_and(|job| job.starts > 0);
        let answer = if started {
            Answer::Broken(reason)
        } else {
            Answer::NotRun {
                reason,
                retry_after: RETRY_AFTER,
            }
        };
        self.answer(now, id, &answer, out);
    }

    /// Answers a job and ends what still runs of it.
    fn answer(&mut self, now: Uptime, id: JobId, answer: &Answer, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        for caller in &job.callers {
            out.push(Action::Answer(*caller, answer.clone()));
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

    /// Forgets a job; its runs are ordered to stop and remembered until they surely have.
    fn remove(&mut self, now: Uptime, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.swap_remove(&id) else {
            return;
        };
        self.waiting.remove(&job.rank);
        let mut highest = 0;
        let mut left = false;
        for task in &job.tasks {
            highest = highest.max(task.attempt);
            if let TaskState::Sent { worker, .. } = &task.state {
                left = true;
                let run = job.run(task);
                out.push(Action::Send(worker.clone(), ToAgent::Stop { run }));
                let worker = worker.clone();
                self.stopping.insert(run, Stopping { worker });
            }
        }
        if left {
            self.past_attempts.insert(id, highest);
            if let Some(jobs) = self.owners.untold_with(id) {
                out.push(Action::Peers(Peer::Began { jobs }));
            }
        }
        self.settle(now, id, out);
    }

    /// Acts on the passing of time.
    pub fn tick(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let begun = self.owners.tick(now);
        if !begun.is_empty() {
            out.push(Action::Peers(Peer::Began { jobs: begun }));
        }
        self.fleet.tidy(now, FORGET_WORKER);
        self.fleet.refresh(now);
        self.end_doubts(now, out);
        self.release_holds(now, out);
        self.drop_overdue(now, out);
        self.pump(now, out);
    }

    /// Jobs whose caller no longer waits, or whose time is too short to run, are answered.
    fn drop_overdue(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let overdue = |job: &OpenJob| {
            let work = if job.starts == 0 {
                job.spec.longest_chain()
            } else {
                Duration::ZERO
            };
            now + work / 2 >= job.deadline
        };
        let ids: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| overdue(job))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.give_up(now, id, "the deadline is too near", out);
        }
    }

    /// Lets jobs go on whose other holder has surely ended.
    fn release_holds(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let over: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| match &job.hold {
                Hold::Yield(entry) => self.owners.is_surely_over(now, entry),
                Hold::None | Hold::Stopping => false,
            })
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.release(now, id, out);
        }
    }

    /// Another entry's or earlier runs of the job have ended.
    fn release(&mut self, now: Uptime, id: JobId, out: &mut Vec<Action>) {
        self.owners.released(id);
        let stopping = self.stopping.keys().any(|run| run.task.job == id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.hold = if stopping { Hold::Stopping } else { Hold::None };
        if !stopping {
            self.waiting.insert(job.rank);
            self.untried.push(id);
            self.settle_room(now, out);
        }
    }

    /// Tells waiting entries, and a waiting rerun here, once nothing of a job runs any more.
    fn settle(&mut self, now: Uptime, id: JobId, out: &mut Vec<Action>) {
        if self.stopping.keys().any(|run| run.task.job == id) {
            return;
        }
        if !self.jobs.contains_key(&id) {
            self.past_attempts.swap_remove(&id);
        }
        self.yields.retain(|(job, entry)| {
            if *job == id {
                out.push(Action::Peer(entry.clone(), Peer::Yielded { job: id }));
            }
            *job != id
        });
        let held = self.jobs.get(&id).map(|job| &job.hold);
        if held == Some(&Hold::Stopping) {
            self.release(now, id, out);
        }
    }
}
