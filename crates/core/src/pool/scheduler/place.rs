//! Placement: which waiting task goes to which worker.

use super::super::Uptime;
use super::super::msg::{Start, ToAgent};
use super::{Action, JobId, Name, Note, Rank, Scheduler, TaskState};

/// Waiting jobs without a place that are tried before the rest is left for the next report.
const MAX_MISSES: usize = 12;

impl Scheduler {
    /// Sends waiting tasks to workers with room, in order.
    pub(super) fn pump(&mut self, now: Uptime, out: &mut Vec<Action>) {
        self.rank_late(now);
        let order: Vec<Rank> = self.waiting.iter().copied().collect();
        let mut misses = 0;
        for rank in order {
            if !self.place_job(now, rank.2, out) {
                misses += 1;
            }
            if misses >= MAX_MISSES {
                break;
            }
        }
        self.tell_waiting(out);
    }

    /// Moves jobs that missed their aim behind those that can still meet it.
    fn rank_late(&mut self, now: Uptime) {
        let late: Vec<Rank> = self
            .waiting
            .iter()
            .take_while(|(late, aim, _)| !*late && *aim <= now)
            .copied()
            .collect();
        for rank in late {
            self.waiting.remove(&rank);
            let rank = (true, rank.1, rank.2);
            if let Some(job) = self.jobs.get_mut(&rank.2) {
                job.rank = rank;
                self.waiting.insert(rank);
            }
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
            let Some(choice) = self.fleet.choose(now, pool, &step, allowed, &mut self.rng) else {
                placed_all = false;
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
            let start = Start {
                run,
                needs: step.needs,
                estimate_ms: step.estimate.as_millis() as u32,
                due_ms: job.aim.saturating_sub(now).as_millis() as u32,
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
