//! When workers will have room for a task, by their agents' forecasts.

use std::time::Duration;

use super::super::Uptime;
use super::super::job::Resources;
use super::super::lookahead::Forecast;
use super::{Basis, Choice, Fleet, Need, Worker};
use crate::ids::Name;

/// Age from which a forecast says nothing. Agents send another one when something changed.
const MAX_AGE: Duration = Duration::from_millis(500);

/// A worker that will have room for a task.
#[derive(Clone, Debug)]
pub struct Prospect {
    /// The worker.
    pub worker: Name,
    /// Expected time until it has the room.
    pub after: Duration,
}

impl Fleet {
    /// Handles an agent's forecast of its worker's room.
    pub fn on_forecast(&mut self, now: Uptime, name: &Name, forecast: Forecast) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.forecast = Some((now, forecast));
        }
    }

    /// Returns the worker on which the task should end earliest, by the time until there is room and
    /// the run time there; `None` if no forecast shows room from which it ends in time.
    pub fn earliest<F>(&self, now: Uptime, need: Need<'_>, allowed: F) -> Option<Prospect>
    where
        F: Fn(&Name) -> bool,
    {
        let prospects = self.workers.iter().filter_map(|(name, worker)| {
            let usable = worker.may_start(now, need) && allowed(name);
            let after = worker.room_after(now, need.step.needs).filter(|_| usable)?;
            let end = after + worker.expected(now, need.step, self.other_rack_factor);
            let in_time = need.in_time.is_none_or(|time| end <= time);
            in_time.then_some((end, after, name))
        });
        let (_, after, name) = prospects.min_by_key(|(end, ..)| *end)?;
        Some(Prospect {
            worker: name.clone(),
            after,
        })
    }

    /// Returns the choice of the worker that keeps room for the task; `None` if it takes no runs now.
    pub fn choose_reserved(&self, now: Uptime, need: Need<'_>, name: &Name) -> Option<Choice> {
        let worker = self.workers.get(name)?;
        worker.may_start(now, need).then(|| Choice {
            worker: name.clone(),
            expected: worker.expected(now, need.step, self.other_rack_factor),
            free: need.step.needs,
            age: now.saturating_sub(worker.reported),
            basis: Basis::Promised,
        })
    }

    /// Sets the needs of the usual large task of a pool; `None` if its tasks do not differ in size.
    pub fn set_large_needs(&mut self, pool: &Name, needs: Option<Resources>) {
        match needs {
            Some(needs) => self.large_needs.insert(pool.clone(), needs),
            None => self.large_needs.swap_remove(pool),
        };
    }

    /// Returns the needs of the large tasks for which this smaller one is to leave room.
    pub(super) fn large_needs_for(&self, need: Need<'_>) -> Option<Resources> {
        let large = self.large_needs.get(need.pool).copied()?;
        let is_small = need.step.needs.cpu_milli < large.cpu_milli;
        is_small.then_some(large)
    }

    /// Returns the largest amount of each resource that a worker of the pool offers in total.
    pub fn largest_capacity(&self, pool: &Name) -> Resources {
        let infos = self.workers.values().filter_map(|w| w.info.as_ref());
        infos
            .filter(|info| info.pool.as_ref() == Some(pool))
            .fold(Resources::default(), |most, info| {
                most.largest(info.capacity)
            })
    }
}

impl Worker {
    /// Returns the free CPU in thousandths of a core beside that for as many large tasks as fit;
    /// `None` if fewer of them would fit after a task with these needs.
    pub(super) fn beside_large(&self, needs: Resources, large: Resources) -> Option<u32> {
        let free = self.free();
        let fitting = large.times_in(free);
        if large.times_in(free.minus(needs)) < fitting {
            return None;
        }
        let kept = large.cpu_milli.saturating_mul(fitting);
        Some(free.cpu_milli.saturating_sub(kept))
    }

    /// Returns the time until it has the room by its agent's forecast.
    fn room_after(&self, now: Uptime, needs: Resources) -> Option<Duration> {
        let (at, forecast) = self.forecast.as_ref()?;
        let age = now.saturating_sub(*at);
        let after = forecast.available_after(needs)?;
        (age <= MAX_AGE).then(|| after.saturating_sub(age))
    }
}
