//! Placement: which waiting task goes to which worker.

use super::super::Uptime;
use super::super::job::Resources;
use super::super::msg::{Start, ToAgent};
use super::{Action, Duration, JobId, Name, Note, Placed, Rank, Scheduler, TaskState, Tier};

/// Waiting jobs without a place that are tried before the rest is left for the next report.
const MAX_MISSES: usize = 12;
/// While tasks wait here, one that finds no room at its agent waits there for this long: longer, and
/// the room that other workers give free meanwhile would be missed.
const MAX_PATIENCE_MS: u32 = 60;
/// Agents are told that no task waits any more only after this time without one: near a full pool a
/// task waits and is placed up to 140 times a second, and each time all agents would be told twice.
const WAITING_OVER: Duration = Duration::from_millis(100);
/// Late tasks wait at agents behind those that can still meet their aim.
const LATE_DUE: Duration = Duration::from_secs(10);

impl Scheduler {
    /// Sends waiting tasks to workers with room, in order.
    pub(super) fn pump(&mut self, now: Uptime, out: &mut Vec<Action>) {
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
            if let Some(needs) = self.place_job(now, rank.2, most_free, out) {
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
            let pool = &job.queue.pool;
            let in_time = (job.rank.0 < Tier::Late && job.rank.0 != Tier::Begun)
                .then(|| job.aim.saturating_sub(now));
            let choice = if step.needs.fits(most_free) {
                self.fleet
                    .choose(now, pool, &step, in_time, allowed, &mut self.rng)
            } else {
                None
            };
            let Some(choice) = choice else {
                missed = Some(step.needs);
                job.missed = Some(job.rank.0);
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
                patience_ms: if self.were_waiting {
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
