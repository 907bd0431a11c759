//! Placement of waiting tasks on workers.

use super::super::fleet::Need;
use super::super::job::{Resources, Step, TaskId};
use super::super::msg::{Requirements, Start, ToAgent};
use super::super::overload::due_time;
use super::super::reach::Shortage;
use super::super::{Uptime, millis};
use super::{
    Action, Duration, JobId, Name, Note, OpenJob, Placed, Rank, Scheduler, TaskState, Tier,
};

/// Number of jobs that found no worker after which a pass over all waiting jobs ends; the rest wait
/// for the next pass.
const MAX_MISSES: usize = 12;
/// Waiting jobs that are tried at once on workers with freed capacity; the rest are tried with the
/// next tick.
const MAX_TRIED_ON_FREED: usize = 48;
/// Time in milliseconds that a run may wait at its agent for capacity while jobs wait at the entry.
/// With a longer time it would miss capacity that other workers free meanwhile.
const MAX_AGENT_WAIT_MS: u32 = 60;
/// As [`MAX_AGENT_WAIT_MS`], for a run whose room is reserved and about to be free; within the lease
/// of the reservation.
const MAX_RESERVED_WAIT_MS: u32 = 150;
/// Time without waiting jobs after which agents are told that none waits. On a nearly full pool,
/// jobs start and stop waiting up to 140 times a second; without the delay, each would cost two
/// messages to every agent.
const WAITING_END_DELAY: Duration = Duration::from_millis(100);

/// The workers considered for a placement.
#[derive(Clone, Copy)]
pub(super) enum Candidates<'a> {
    All,
    /// Only this one, which keeps room for the task.
    Reserved(TaskId, &'a Name),
    /// Only these: no other worker has gained capacity since the job was last tried.
    Freed(&'a [Name]),
}

impl Scheduler {
    /// Places waiting jobs on workers that have gained capacity, then jobs that began to wait on
    /// any worker. The adapter calls this once for each batch of events.
    pub fn place_waiting(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let freed = self.fleet.take_freed();
        let untried = std::mem::take(&mut self.untried);
        if self.waiting.is_empty() || freed.is_empty() && untried.is_empty() {
            return;
        }
        self.rank_waiting(now, out);
        self.place_on_freed(now, &freed, out);
        let most_free = self.fleet.most_free(now);
        let ranks = untried
            .iter()
            .filter_map(|id| Some(self.jobs.get(id)?.rank));
        let mut ranks: Vec<Rank> = ranks.filter(|rank| self.waiting.contains(rank)).collect();
        ranks.sort_unstable();
        ranks.dedup();
        for rank in ranks {
            self.place_job(now, rank.2, Candidates::All, most_free, out);
        }
        self.refuse_hopeless(now, out);
        self.reserve(now, out);
        self.announce_waiting(now, out);
    }

    /// Tries the first waiting jobs, in order, on workers that have gained capacity.
    fn place_on_freed(&mut self, now: Uptime, freed: &[Name], out: &mut Vec<Action>) {
        if freed.is_empty() {
            return;
        }
        let most_free = self.fleet.most_free_on(now, freed);
        let order: Vec<Rank> = self
            .waiting
            .iter()
            .take(MAX_TRIED_ON_FREED)
            .copied()
            .collect();
        for rank in order {
            self.place_job(now, rank.2, Candidates::Freed(freed), most_free, out);
        }
    }

    /// Tries all waiting jobs, in order, on all workers. [`Scheduler::place_waiting`] uses freed
    /// capacity at once; this also finds placements that became possible through elapsed time.
    pub(super) fn place_all(&mut self, now: Uptime, out: &mut Vec<Action>) {
        self.untried.clear();
        self.fleet.take_freed();
        self.rank_waiting(now, out);
        let order: Vec<Rank> = self.waiting.iter().copied().collect();
        // Placing only reduces free capacity, so this remains an upper bound.
        let most_free = self.fleet.most_free(now);
        let mut misses = 0;
        // Needs of the last late job that found no worker. Run time rules out no worker for a late
        // job, so a job whose tasks need at least as much cannot be placed either.
        let mut unplaceable: Option<Resources> = None;
        for rank in order {
            let known_unplaceable =
                unplaceable.is_some_and(|least| self.needs_at_least(rank.2, least));
            if misses >= MAX_MISSES || known_unplaceable {
                self.record_miss(rank.2);
                continue;
            }
            if let Some(needs) = self.place_job(now, rank.2, Candidates::All, most_free, out) {
                self.record_miss(rank.2);
                misses += 1;
                if rank.0 == Tier::Late {
                    unplaceable = Some(needs);
                }
            }
        }
        self.announce_waiting(now, out);
    }

    /// Returns whether every task of the job needs at least `least` and none requires a label.
    fn needs_at_least(&self, id: JobId, least: Resources) -> bool {
        self.jobs.get(&id).is_some_and(|job| {
            let steps = job.spec.steps.iter();
            steps
                .clone()
                .all(|step| least.fits(step.needs) && step.label.is_none())
        })
    }

    /// Records that the job found no worker in its present tier.
    fn record_miss(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.unplaced_tier = Some(job.rank.0);
        }
    }

    /// Places a job's ready tasks until one finds no worker, and returns that task's needs.
    ///
    /// `most_free` is an upper bound of each resource that is free on one of the workers
    /// considered.
    pub(super) fn place_job(
        &mut self,
        now: Uptime,
        id: JobId,
        candidates: Candidates<'_>,
        most_free: Resources,
        out: &mut Vec<Action>,
    ) -> Option<Resources> {
        let is_to_be_returned = self.is_to_be_returned(now, id);
        let job = self.jobs.get_mut(&id).filter(|_| !is_to_be_returned)?;
        let mut missed = None;
        let mut runs = Vec::new();
        for i in 0..job.tasks.len() {
            if !job.is_ready(&job.tasks[i]) {
                continue;
            }
            if matches!(candidates, Candidates::Reserved(id, _) if id != job.run(&job.tasks[i]).task)
            {
                continue;
            }
            let needs = job.step(&job.tasks[i]).needs;
            if !needs.fits(most_free) {
                missed = Some(needs);
                break;
            }
            let step = job.step(&job.tasks[i]).clone();
            let step_index = job.tasks[i].step;
            let allowed = |name: &Name| job.may_add_to(&step, step_index, name);
            let in_time = job.rank.0.is_in_time().then(|| job.aim.saturating_sub(now));
            let need = Need {
                pool: &job.queue.pool,
                step: &step,
                in_time,
                announced: self.announced_waiting > 0,
            };
            let choice = match candidates {
                Candidates::All => self.fleet.choose(now, need, allowed, &mut self.rng),
                Candidates::Freed(names) => {
                    self.fleet
                        .choose_on(now, need, names, allowed, &mut self.rng)
                }
                Candidates::Reserved(_, name) => {
                    let choice = self.fleet.choose_reserved(now, need, name);
                    choice.filter(|choice| allowed(&choice.worker))
                }
            };
            let Some(choice) = choice else {
                missed = Some(needs);
                break;
            };
            let task = &mut job.tasks[i];
            task.attempt = task.attempt.max(task.attempt_floor) + 1;
            task.state = TaskState::Sent {
                worker: choice.worker.clone(),
                stopping: false,
            };
            task.sent_at = now;
            task.basis = choice.basis;
            let waited = now.saturating_sub(task.waiting_since);
            job.starts += 1;
            let run = job.run(&job.tasks[i]);
            let taken = match candidates {
                // The reported room leaves out what is reserved.
                Candidates::Reserved(..) => Resources::default(),
                Candidates::All | Candidates::Freed(_) => step.needs,
            };
            self.fleet.start_sent(now, &choice.worker, taken);
            self.reservations
                .note_placed(&job.queue.pool, step.needs, waited);
            let work = step.work();
            let load = self.loads.entry(job.queue.pool.clone()).or_default();
            load.sent(now, &job.queue.name, work);
            if job.starts == 1 {
                load.begun(now, &job.queue.name, job.size);
            }
            let start = Start {
                run,
                needs: step.needs,
                requires: Requirements::of(&job.queue.pool, &step),
                estimate_ms: millis(step.estimate),
                due_ms: millis(due_time(job.rank.0, job.aim.saturating_sub(now))),
                max_queue_ms: match candidates {
                    Candidates::Reserved(..) => MAX_RESERVED_WAIT_MS,
                    _ if self.announced_waiting > 0 && job.rank.0 != Tier::Deferred => {
                        MAX_AGENT_WAIT_MS
                    }
                    _ => 0,
                },
                waiting_jobs: self.waiting.len() as u32,
                payload: job.spec.payload.clone(),
            };
            out.push(Action::Send(choice.worker.clone(), ToAgent::Start(start)));
            runs.push(Placed {
                run,
                choice,
                waited,
            });
        }
        if !runs.is_empty() {
            out.push(Action::Note(Note::Placed {
                job: id,
                queue: job.queue.name.clone(),
                runs,
            }));
        }
        if !job.has_ready() {
            self.waiting.remove(&job.rank);
        }
        missed
    }

    /// Returns what the first waiting task that found no worker needs, by the last placement.
    pub fn shortage(&self) -> Option<Shortage> {
        if !self.jobs_left_waiting {
            return None;
        }
        let (_, _, id) = self.waiting.first()?;
        let job = self.jobs.get(id)?;
        let step = job.step(job.tasks.iter().find(|task| job.is_ready(task))?);
        Some(Shortage {
            pool: job.queue.pool.clone(),
            needs: step.needs,
            label: step.label.clone(),
        })
    }

    /// Tells agents when jobs start or stop waiting here. While some wait, agents promise room to this
    /// entry first.
    fn announce_waiting(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let tasks = self.waiting.len() as u32;
        self.jobs_left_waiting = tasks > 0;
        if self.jobs_left_waiting {
            self.last_waiting = now;
        }
        let ended = now >= self.last_waiting + WAITING_END_DELAY;
        let changed = if self.announced_waiting == 0 {
            tasks > 0
        } else {
            tasks == 0 && ended
        };
        if !changed {
            return;
        }
        self.announced_waiting = tasks;
        for (name, worker) in self.fleet.iter() {
            if worker.down_since.is_none() {
                out.push(Action::Send(name.clone(), ToAgent::Waiting { tasks }));
            }
        }
    }
}

impl OpenJob {
    /// Returns whether the worker may be given a further task of the step.
    pub(super) fn may_add_to(&self, step: &Step, index: u16, name: &Name) -> bool {
        let is_there =
            |state: &TaskState| matches!(state, TaskState::Sent { worker, .. } if worker == name);
        let count = || {
            let tasks = self.tasks.iter();
            tasks
                .filter(|task| task.step == index && is_there(&task.state))
                .count()
        };
        step.per_worker == 0 || count() < usize::from(step.per_worker)
    }
}
