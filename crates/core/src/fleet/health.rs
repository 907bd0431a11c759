//! Health of workers: ejection of those that fail far more often than their peers, and readmission.

use std::time::{Duration, Instant};

use crate::ids::Name;

use super::Fleet;

/// Weight of the newest task in a worker's failure rate, an exponential moving average.
const FAILURE_WEIGHT: f64 = 0.2;
/// Minimum number of ended tasks before a worker can be ejected.
const MIN_TASKS_TO_EJECT: u32 = 5;
/// Failure rate above which a worker is ejected, if the rate is also above three times its peers'
/// mean.
const EJECT_ABOVE: f64 = 0.5;
/// Maximum share of a service's workers that are ejected at the same time.
const MAX_EJECTED_SHARE: f64 = 0.34;
/// Time until a newly ejected worker is probed; it doubles with each failed probe.
const FIRST_EJECTION: Duration = Duration::from_secs(2);
/// Maximum time until an ejected worker is probed again.
const MAX_EJECTION: Duration = Duration::from_secs(60);
/// Number of probes that must succeed in a row before a worker is readmitted.
const PROBES_TO_READMIT: u32 = 3;

/// Failure statistics and ejection state of one worker.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// Moving average of failures per task, 0 to 1.
    pub(super) failure_rate: f64,
    /// Number of ended tasks.
    pub(super) samples: u32,
    /// Time of the next probe; `None` while the worker is on probation or in full use.
    pub(super) ejected_until: Option<Instant>,
    /// Number of ejections since the worker was last in full use.
    pub(super) ejections: u32,
    /// Number of probes that succeeded since the last ejection; `None` when in full use.
    pub(super) probes: Option<u32>,
}

impl Fleet {
    /// Updates a worker's health from an ended task, and ejects or readmits the worker.
    pub(super) fn update_health(
        &mut self,
        now: Instant,
        name: &Name,
        service: &Name,
        failed: bool,
    ) {
        let peer_rate = self.peer_failure_rate(name, service);
        let may_eject = self.may_eject_another(service);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let health = &mut worker.health;
        health.samples += 1;
        health.failure_rate += FAILURE_WEIGHT * (f64::from(u8::from(failed)) - health.failure_rate);
        if let Some(probes) = health.probes {
            health.ejected_until = None;
            health.probes = if failed { Some(0) } else { Some(probes + 1) };
            if failed {
                health.eject(now);
            } else if probes + 1 >= PROBES_TO_READMIT {
                *health = Health::default();
            }
            return;
        }
        let fails_often =
            health.failure_rate > EJECT_ABOVE && health.failure_rate > 3.0 * peer_rate;
        if fails_often && health.samples >= MIN_TASKS_TO_EJECT && may_eject {
            health.eject(now);
        }
    }

    /// Returns the mean failure rate of the service's other workers in full use, or 1 if there are
    /// none, so that the only usable worker is never ejected.
    fn peer_failure_rate(&self, name: &Name, service: &Name) -> f64 {
        let peers = self.workers.values().filter(|worker| {
            worker.node.name != *name
                && worker.offer.services.contains(service)
                && worker.health.probes.is_none()
        });
        let (count, sum) = peers.fold((0_u32, 0.0), |(count, sum), worker| {
            (count + 1, sum + worker.health.failure_rate)
        });
        if count == 0 {
            1.0
        } else {
            sum / f64::from(count)
        }
    }

    /// Returns whether one more of the service's workers can be ejected within
    /// [`MAX_EJECTED_SHARE`].
    fn may_eject_another(&self, service: &Name) -> bool {
        let serving = self
            .workers
            .values()
            .filter(|w| w.linked && w.offer.services.contains(service));
        let (all, ejected) = serving.fold((0_u32, 0_u32), |(all, ejected), worker| {
            (all + 1, ejected + u32::from(worker.health.probes.is_some()))
        });
        f64::from(ejected + 1) <= f64::from(all) * MAX_EJECTED_SHARE
    }
}

impl Health {
    fn eject(&mut self, now: Instant) {
        let time = FIRST_EJECTION * 2_u32.pow(self.ejections.min(5));
        self.ejected_until = Some(now + time.min(MAX_EJECTION));
        self.ejections += 1;
        self.probes = Some(0);
    }
}
