//! Health of workers: ejection of those that fail far more than their peers, and their return.

use std::time::{Duration, Instant};

use crate::ids::Name;

use super::Fleet;

/// Learning of a worker's failure rate.
const FAILURE_RATE: f64 = 0.2;
/// Tasks before a worker can be ejected.
const MIN_TASKS_TO_JUDGE: u32 = 5;
/// A worker that fails more than this share, and far more than its peers, is ejected.
const EJECT_ABOVE: f64 = 0.5;
/// Of a service's workers at most this share is ejected.
const MAX_EJECTED_SHARE: f64 = 0.34;
/// Time until an ejected worker is probed; doubles with each failed probe.
const FIRST_EJECTION: Duration = Duration::from_secs(2);
const MAX_EJECTION: Duration = Duration::from_secs(60);
/// Probes that must succeed in a row.
const PROBES_TO_RETURN: u32 = 3;

#[derive(Debug, Default)]
pub(super) struct Health {
    pub(super) failures: f64,
    pub(super) seen: u32,
    pub(super) ejected_until: Option<Instant>,
    pub(super) ejections: u32,
    /// Probes that succeeded since the last ejection; `None` when in full use.
    pub(super) probes: Option<u32>,
}

impl Fleet {
    pub(super) fn judge(&mut self, now: Instant, name: &Name, service: &Name, failed: bool) {
        let peers = self.peer_failures(name, service);
        let may_eject = self.may_eject_another(service);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let health = &mut worker.health;
        health.seen += 1;
        health.failures += FAILURE_RATE * (f64::from(u8::from(failed)) - health.failures);
        if let Some(probes) = health.probes {
            health.ejected_until = None;
            health.probes = if failed { Some(0) } else { Some(probes + 1) };
            if failed {
                health.eject(now);
            } else if probes + 1 >= PROBES_TO_RETURN {
                *health = Health::default();
            }
            return;
        }
        let worse = health.failures > EJECT_ABOVE && health.failures > 3.0 * peers;
        if worse && health.seen >= MIN_TASKS_TO_JUDGE && may_eject {
            health.eject(now);
        }
    }

    fn peer_failures(&self, name: &Name, service: &Name) -> f64 {
        let peers = self.workers.values().filter(|worker| {
            worker.node.name != *name
                && worker.offer.services.contains(service)
                && worker.health.probes.is_none()
        });
        let (count, sum) = peers.fold((0_u32, 0.0), |(count, sum), worker| {
            (count + 1, sum + worker.health.failures)
        });
        if count == 0 {
            1.0
        } else {
            sum / f64::from(count)
        }
    }

    fn may_eject_another(&self, service: &Name) -> bool {
        let serving = self
            .workers
            .values()
            .filter(|w| w.up && w.offer.services.contains(service));
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
