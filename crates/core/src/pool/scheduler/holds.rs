//! Jobs that wait until earlier runs of them have ended, here or at another entry.

use super::super::Uptime;
use super::{Action, Hold, JobId, Note, OpenJob, Scheduler};

impl Scheduler {
    /// Releases jobs held for an entry whose runs have certainly ended.
    pub(super) fn release_holds(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let released: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| match &job.hold {
                Hold::Yield(entry) => self.owners.has_certainly_ended(now, entry),
                Hold::None | Hold::Stopping | Hold::Unacquainted => false,
            })
            .map(|(id, _)| *id)
            .collect();
        for id in released {
            let hold = self.jobs.get(&id).map(|job| &job.hold);
            if let Some(Hold::Yield(entry)) = hold {
                out.push(Action::Note(Note::OwnerLost {
                    job: id,
                    entry: entry.clone(),
                }));
            }
            self.release(now, id, out);
        }
        let lost: Vec<JobId> = self
            .awaited
            .iter()
            .filter(|(_, entry)| self.owners.has_certainly_ended(now, entry))
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.awaited.swap_remove(&id);
            self.finish_stopping(now, id, out);
        }
    }

    /// Releases the jobs held since this entry woke, once it has heard which jobs the others run.
    pub(super) fn release_acquainted(&mut self, now: Uptime, out: &mut Vec<Action>) {
        if !self.acquaintance.releases_jobs(now, self.owners.live()) {
            return;
        }
        let held = |(_, job): &(&JobId, &OpenJob)| job.hold == Hold::Unacquainted;
        let held: Vec<JobId> = self.jobs.iter().filter(held).map(|(id, _)| *id).collect();
        if !held.is_empty() {
            let (waited, unheard) = self.acquaintance.progress(now, self.owners.live());
            out.push(Action::Note(Note::Acquainted {
                waited,
                held: held.len(),
                unheard,
            }));
        }
        for id in held {
            match self.hold_for(id, out) {
                Hold::None | Hold::Unacquainted => self.release(now, id, out),
                hold => self.hold(id, hold),
            }
        }
    }

    fn hold(&mut self, id: JobId, hold: Hold) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.hold = hold;
        }
    }

    /// Returns those of the jobs that are held here since this entry woke.
    pub(super) fn held_since_wake(&self, jobs: &[JobId]) -> Vec<JobId> {
        let is_held = |id: &&JobId| {
            let job = self.jobs.get(*id);
            job.is_some_and(|job| job.hold == Hold::Unacquainted)
        };
        jobs.iter().filter(is_held).copied().collect()
    }

    /// Asks the other entries that announced the jobs to yield them.
    pub(super) fn hold_announced(&mut self, jobs: Vec<JobId>, out: &mut Vec<Action>) {
        for id in jobs {
            let hold = self.hold_for(id, out);
            self.hold(id, hold);
        }
    }

    /// Makes a held job ready, unless earlier runs of it are still being stopped here.
    pub(super) fn release(&mut self, now: Uptime, id: JobId, out: &mut Vec<Action>) {
        self.owners.released(id);
        let stopping = self.stopping.keys().any(|run| run.task.job == id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.hold = if stopping { Hold::Stopping } else { Hold::None };
        if !stopping {
            self.waiting.insert(job.rank);
            self.untried.push(id);
            self.place_waiting(now, out);
        }
    }

    /// Once no run of a removed job is left, notifies the entries that wait for it and releases the
    /// job if it was resubmitted here.
    pub(super) fn finish_stopping(&mut self, now: Uptime, id: JobId, out: &mut Vec<Action>) {
        let has_runs = self.stopping.keys().any(|run| run.task.job == id);
        if has_runs || self.awaited.contains_key(&id) {
            return;
        }
        if !self.jobs.contains_key(&id) {
            self.past_attempts.swap_remove(&id);
        }
        self.yield_requests.retain(|request| {
            let is_confirmed = request.job == id && now >= request.not_before;
            if is_confirmed {
                let entry = request.entry.clone();
                out.push(Action::Peer(entry, request.reply.clone()));
            }
            !is_confirmed
        });
        let held = self.jobs.get(&id).map(|job| &job.hold);
        if held == Some(&Hold::Stopping) {
            self.release(now, id, out);
        }
    }
}
