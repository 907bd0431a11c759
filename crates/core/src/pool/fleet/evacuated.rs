//! Workers in evacuated failure domains: they stay linked for the runs that they have and get no new
//! ones.

use indexmap::{IndexMap, IndexSet};

use super::super::Uptime;
use super::super::job::Step;
use super::super::msg::WorkerInfo;
use super::{Fleet, Worker};
use crate::ids::Name;

impl WorkerInfo {
    /// Returns whether an idle worker of this description could run a task of the step.
    pub(super) fn could_run(&self, pool: &Name, step: &Step) -> bool {
        self.suits(pool, step.label.as_ref()) && step.needs.fits(self.capacity)
    }
}

impl Fleet {
    /// Records the failure domain of an agent.
    pub fn set_domain(&mut self, name: &Name, domain: &Name) {
        let evacuated = self.is_evacuated(domain);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.domain = Some(domain.clone());
            worker.evacuated = evacuated;
        }
    }

    /// Returns the number of linked workers in evacuated domains.
    pub fn evacuated(&self) -> usize {
        let evacuated = |worker: &&Worker| worker.evacuated && worker.down_since.is_none();
        self.workers.values().filter(evacuated).count()
    }

    /// Returns whether a failure domain is evacuated.
    pub fn is_evacuated(&self, domain: &Name) -> bool {
        self.evacuated.contains(domain)
    }

    /// Replaces the evacuated failure domains. Returns `false`, with no effect, if they are the
    /// same as before.
    ///
    /// Workers that may get runs again count as freed.
    pub fn set_evacuated(&mut self, now: Uptime, domains: IndexSet<Name>) -> bool {
        if domains == self.evacuated {
            return false;
        }
        self.evacuated = domains;
        for (name, worker) in &mut self.workers {
            let domain = worker.domain.as_ref();
            let was_evacuated = worker.evacuated;
            worker.evacuated = domain.is_some_and(|domain| self.evacuated.contains(domain));
            if worker.evacuated {
                self.freed.retain(|freed| freed != name);
            } else if was_evacuated && worker.accepts_runs(now) && !self.freed.contains(name) {
                self.freed.push(name.clone());
            }
        }
        self.next_refresh = now;
        self.refresh(now);
        true
    }

    /// Returns whether a worker in an evacuated domain could run a task of the step, and no other
    /// known worker could.
    pub fn only_evacuated_could_run(&self, pool: &Name, step: &Step) -> bool {
        if self.evacuated.is_empty() {
            return false;
        }
        let linked = self.workers.values().filter_map(|worker| {
            let info = worker.info.as_ref()?;
            Some((worker.evacuated, info))
        });
        let offers = self.offers.iter().map(|info| (false, info));
        let evacuated_offers = self.evacuated_offers.iter().map(|info| (true, info));
        let mut found = false;
        for (evacuated, info) in linked.chain(offers).chain(evacuated_offers) {
            if info.could_run(pool, step) {
                if !evacuated {
                    return false;
                }
                found = true;
            }
        }
        found
    }

    /// Returns the CPU capacity, used or free, of the linked workers of each pool outside evacuated
    /// domains, in thousandths of a core.
    pub(in super::super) fn cpu_by_pool(&self) -> IndexMap<Name, f64> {
        let mut cpu = IndexMap::new();
        for worker in self.workers.values() {
            let info = worker.info.as_ref();
            let Some((info, pool)) = info.and_then(|info| Some((info, info.pool.as_ref()?))) else {
                continue;
            };
            let sum: &mut f64 = cpu.entry(pool.clone()).or_default();
            if worker.down_since.is_none() && !worker.evacuated {
                *sum += f64::from(info.capacity.cpu_milli);
            }
        }
        cpu
    }

    /// Returns a pool all of whose linked workers are in evacuated domains.
    pub fn pool_without_workers(&self) -> Option<Name> {
        if self.evacuated.is_empty() {
            return None;
        }
        let pools = self.cpu_by_pool();
        let mut empty = pools.into_iter().filter(|(_, cpu)| *cpu <= 0.0);
        let linked_evacuated = |pool: &Name| {
            let mut workers = self.workers.values();
            workers.any(|w| w.evacuated && w.down_since.is_none() && w.serves(pool))
        };
        empty
            .find(|(pool, _)| linked_evacuated(pool))
            .map(|(pool, _)| pool)
    }
}
