//! Placement: which waiting task goes to which worker.

use super::super::Uptime;
use super::super::fleet::Need;
use super::super::job::Resources;
use super::super::msg::{Start, ToAgent};
use super::{Action, Duration, JobId, Name, Note, Placed, Rank, Scheduler, TaskState, Tier};

/// Waiting jobs without a place that are tried before the rest is left for the next report.
const MAX_MISSES: usize = 12;
/// Waiting jobs to which room that was freed is offered at once; the rest are tried with the next tick.
const MAX_OFFERS: usize = 48;
/// While tasks wait here, one that finds no room at its agent waits there for this long: longer, and
/// the room that other workers give free meanwhile would be missed.
const MAX_PATIENCE_MS: u32 = 60;
/// Agents are told that no task waits any more only after this time without one: near a full pool a
/// task waits and is placed up to 140 times a second, and each time all agents would be told twice.
const WAITING_OVER: Duration = Duration::from_millis(100);
/// Late tasks wait at agents behind those that can still meet their aim.
const LATE_DUE: Duration = Duration::from_secs(10);

/// Where a place is looked for.
#[derive(Clone, Copy)]
enum Among<'a> {
    All,
    /// These workers only: no other has more room than when the job was last tried.
    Grown(&'a [Name]),
}

impl Scheduler {
    /// Places what can be placed after what was handed on: waiting jobs on workers that have more room
    /// than before, then new and returned jobs on any. The adapter calls this once for all that
    /// arrived together.
    pub fn settle_room(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let grown = self.fleet.take_grown();
        let untried = std::mem::take(&mut self.untried);
        if self.waiting.is_empty() || grown.is_empty() && untried.is_empty() {
            return;
        }
        self.rank_waiting(now, out);
        self.place_on(now, &grown, out);
        let most_free = self.fleet.most_free(now);
        let ranks = untried
            .iter()
            .filter_map(|id| Some(self.jobs.get(id)?.rank));
        let mut ranks: Vec<Rank> = ranks.filter(|rank| self.waiting.contains(rank)).collect();
        ranks.sort_unstable();
        ranks.dedup();
        for rank in ranks {
            self.place_job(now, rank.2, Among::All, most_free, out);
        }
        self.tell_waiting(now, out);
    }

    /// Offers the room of workers that have more of it to waiting jobs, in order.
    fn place_on(&mut self, now: Uptime, grown: &[Name], out: &mut Vec<Action>) {
        if grown.is_empty() {
            return;
        }
        let most_free = self.fleet.most_free_on(now, grown);
        let order: Vec<Rank> = self.waiting.iter().take(MAX_OFFERS).copied().collect();
        for rank in order {
            self.place_job(now, rank.2, Among::Grown(grown), most_free, out);
        }
    }

    /// Sends waiting tasks to workers with room, in order. Room that grows is offered at once by
    /// [`Scheduler::settle_room`]; this also finds what became possible by the passing of time.
    pub(super) fn pump(&mut self, now: Uptime, out: &mut Vec<Action>) {
        self.untried.clear();
        self.fleet.take_grown();
        self.rank_waiting(now, out);
        let order: Vec<Rank> = self.waiting.iter().copied().collect();
        // Room is only taken while jobs are placed, so that this stays an upper bound.
        let most_free = self.fleet.most_free(now);
        let mut misses = 0;
        // The least that found no room; what takes as much finds none either.
        let mut least: Option<Resources> = None;
        for rank in order {
            let hopeless = least.is_some_and(|least| self.takes_as_much(rank.2, least));
            if misses >= MAX_MISSES || hopeless {
                self.miss(rank.2);
                continue;
            }
            if let Some(needs) = self.place_job(now, rank.2, Among::All, most_free, out) {
                self.miss(rank.2);
                misses += 1;
                if rank.0 == Tier::Late {
                    least = Some(needs);
                }
            }
        }
        self.tell_waiting(now, out);
    }

    fn takes_as_much(&self, id: JobId, least: Resources) -> bool {
        self.jobs.get(&id).is_some_and(|job| {
            let steps = job.spec.steps.iter();
            steps
                .clone()
                .all(|step| least.fits(step.needs) && step.label.is_none())
        })
    }

    fn miss(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.missed = Some(job.rank.0);
        }
    }

    /// Places a job's ready tasks. Returns what the first that found no worker takes.
    fn place_job(
        &mut self,
        now: Uptime,
        id: JobId,
        among: Among<'_>,
        most_free: Resources,
        out: &mut Vec<Action>,
    ) -> Option<Resources> {
        let job = self.jobs.get_mut(&id)?;
        let mut missed = None;
        let mut runs = Vec::new();
        for i in 0..job.tasks.len() {
            if !job.is_ready(&job.tasks[i]) {
                continue;
            }
            let needs = job.step(&job.tasks[i]).needs;
            if !needs.fits(most_free) {
                missed = Some(needs);
                break;
            }
            let step = job.step(&job.tasks[i]).clone();
            let number = job.tasks[i].step;
            let on_worker = |name: &Name| {
                let there = job.tasks.iter().filter(|task| {
                    task.step == number
                        && matches!(&task.state, TaskState::Sent { worker, .. } if worker == name)
                });
                there.count()
            };
            let allowed = |name: &Name| {
                step.per_worker == 0 || on_worker(name) < usize::from(step.per_worker)
            };
            let in_time = (job.rank.0 < Tier::Late && job.rank.0 != Tier::Begun)
                .then(|| job.aim.saturating_sub(now));
            let need = Need {
                pool: &job.queue.pool,
                step: &step,
                in_time,
            };
            let choice = match among {
                Among::All => self.fleet.choose(now, need, allowed, &mut self.rng),
                Among::Grown(names) => {
                    self.fleet
                        .choose_on(now, need, names, allowed, &mut self.rng)
                }
            };
            let Some(choice) = choice else {
                missed = Some(needs);
                break;
            };
            let task = &mut job.tasks[i];
            task.attempt = task.attempt.max(task.floor) + 1;
            task.state = TaskState::Sent {
                worker: choice.worker.clone(),
                stopping: false,
            };
            let waited = now.saturating_sub(task.waiting_since);
            job.starts += 1;
            let run = job.run(&job.tasks[i]);
            self.fleet.sent(now, &choice.worker, step.needs);
            let work = step.estimate.as_secs_f64() * f64::from(step.needs.cpu_milli);
            let load = self.loads.entry(job.queue.pool.clone()).or_default();
            load.sent(now, &job.queue.name, work);
            let start = Start {
                run,
                needs: step.needs,
                estimate_ms: step.estimate.as_millis() as u32,
                due_ms: in_time.unwrap_or(LATE_DUE).as_millis() as u32,
                max_queue_ms: if self.were_waiting {
                    MAX_PATIENCE_MS
                } else {
                    0
                },
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

    /// Tells agents when tasks begin or cease to wait, so that they report freed room at once.
    fn tell_waiting(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let tasks = self.waiting.len() as u32;
        self.were_waiting = tasks > 0;
        if self.were_waiting {
            self.last_waiting = now;
        }
        let over = now >= self.last_waiting + WAITING_OVER;
        let news = if self.told_waiting == 0 {
            tasks > 0
        } else {
            tasks == 0 && over
        };
        if !news {
            return;
        }
        self.told_waiting = tasks;
        for (name, worker) in self.fleet.iter() {
            if worker.down_since.is_none() {
                out.push(Action::Send(name.clone(), ToAgent::Waiting { tasks }));
            }
        }
    }
}
