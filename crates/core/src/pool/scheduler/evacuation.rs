//! Evacuated failure domains: the room of their workers is lost at once, and jobs that only these
//! could run are refused.

use indexmap::IndexSet;

use super::super::Uptime;
use super::super::job::{Job, Resources};
use super::super::msg::WorkerInfo;
use super::super::reach::Shortage;
use super::{Action, Answer, EvacuationEffect, JobId, Name, Note, RETRY_AFTER, Scheduler};

/// Why a job is refused that only workers of evacuated domains could run.
pub(super) const REASON: &str = "all workers that could run a task of it are being evacuated";

/// Returns the answer to a job that is refused for [`REASON`].
pub(super) fn refusal() -> Answer {
    Answer::NotRun {
        reason: REASON,
        retry_after: RETRY_AFTER,
    }
}

impl Scheduler {
    /// Records the failure domain of a linked agent. To be called after [`Scheduler::agent_up`].
    pub fn agent_domain(&mut self, name: &Name, domain: &Name) {
        self.fleet.set_domain(name, domain);
    }

    /// Replaces the descriptions of the workers of all agents, linked or not, but
    /// for those in evacuated domains.
    pub fn set_offers(&mut self, offers: Vec<WorkerInfo>) {
        self.fleet.set_offers(offers);
    }

    /// Replaces the descriptions of the workers of all agents in evacuated domains.
    pub fn set_evacuated_offers(&mut self, offers: Vec<WorkerInfo>) {
        self.fleet.set_evacuated_offers(offers);
    }

    /// Replaces the failure domains whose workers get no new runs. Runs there continue.
    ///
    /// The estimates of what can be served follow at once. Jobs that are not started and that only
    /// workers of these domains could run are refused.
    pub fn set_evacuated(&mut self, now: Uptime, domains: IndexSet<Name>, out: &mut Vec<Action>) {
        let before = self.fleet.cpu_by_pool();
        if !self.fleet.set_evacuated(now, domains) {
            return;
        }
        let after = self.fleet.cpu_by_pool();
        for (pool, load) in &mut self.loads {
            let cpu = |of: &indexmap::IndexMap<Name, f64>| of.get(pool).copied().unwrap_or(0.0);
            if cpu(&after) < cpu(&before) {
                load.reduce(cpu(&after) / cpu(&before));
            }
        }
        self.next_ranking = now;
        let hopeless: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.starts == 0 && self.waits_for_evacuated(&job.queue.pool, &job.spec)
            })
            .map(|(id, _)| *id)
            .collect();
        out.push(Action::Note(Note::EvacuationChanged(EvacuationEffect {
            cpu_before: before.values().sum(),
            cpu_after: after.values().sum(),
            refused: hopeless.len(),
        })));
        for id in hopeless {
            self.abort(now, id, REASON, out);
        }
        self.place_all(now, out);
    }

    /// Returns whether a task of the job could only run in evacuated domains.
    pub(super) fn waits_for_evacuated(&self, pool: &Name, job: &Job) -> bool {
        let mut steps = job.steps.iter();
        steps.any(|step| self.fleet.only_evacuated_could_run(pool, step))
    }

    /// Returns what an entry lacks all of whose linked workers of a pool are in evacuated domains:
    /// any worker, before a job waits. Otherwise it would not be ready and get no jobs.
    pub fn shortage_by_evacuation(&self) -> Option<Shortage> {
        Some(Shortage {
            pool: self.fleet.pool_without_workers()?,
            needs: Resources::default(),
            label: None,
        })
    }
}
