//! Placement: which waiting task goes to which worker.

use super::super::Uptime;
use super::super::msg::{Start, ToAgent};
use super::{Action, Duration, JobId, Name, Note, Rank, Scheduler, TaskState, Tier};

/// Waiting jobs without a place that are tried before the rest is left for the next report.
const MAX_MISSES: usize = 12;
/// While tasks wait here, one that finds no room at its agent waits there for this long: longer, and
/// the room that other workers give free meanwhile would be missed.
const MAX_PATIENCE_MS: u32 = 60;
/// Late tasks wait at agents behind those that can still meet their aim.
const LATE_DUE: Duration = Duration::from_secs(10);

impl Scheduler {
    /// Sends waiting tasks to workers with room, in order.
    pub(super) fn pump(&mut self, now: Uptime, out: &mut Vec<Action>) {
        self.rank_waiting(now, out);
        let order: Vec<Rank> = self.waiting.iter().copied().collect();
        let mut misses = 0;
        for rank in order {
            if misses < MAX_MISSES && !self.place_job(now, rank.2, out) {
                misses += 1;
            }
            if misses >= MAX_MISSES {
                // What waits behind them would find no room either.
                self.miss(rank.2);
            }
        }
        self.tell_waiting(out);
    }

    fn miss(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.missed = Some(job.rank.0);
        }
    }

    /// Places a job's ready tasks. `false` if one found no worker.
    fn place_job(&mut self, now: Uptime, id: JobId, out: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return true;
        };
        let mut placed_all = true;
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
            let choice = self
                .fleet
                .choose(now, pool, &step, in_time, allowed, &mut self.rng);
            let Some(choice) = choice else {
                placed_all = false;
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
                patience_ms: if self.told_waiting > 0 {
                    MAX_PATIENCE_MS
                } else {
                    0
                },
                payload: job.spec.payload.clone(),
            };
            out.push(Action::Send(choice.worker.clone(), ToAgent::Start(start)));
            out.push(Action::Note(Note::Placed {
                run,
                choice,
                waited,
                queue: job.queue.name.clone(),
            }));
        }
        if !job.has_ready() {
            self.waiting.remove(&job.rank);
        }
        placed_all
    }

    /// Tells agents when tasks begin or cease to wait, so that they report freed room at once.
    fn tell_waiting(&mut self, out: &mut Vec<Action>) {
        let tasks = self.waiting.len() as u32;
        if (tasks == 0) == (self.told_waiting == 0) {
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
