//! How much CPU the workers known to an entry have, and to whom it is promised.

use indexmap::IndexSet;

use super::super::job::Resources;
use super::{Fleet, Worker};
use crate::ids::Name;

/// CPU of the connected workers in thousandths of a core, as known to one entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Room {
    /// Total.
    pub capacity: u64,
    /// Free, to whomever it is promised.
    pub free: u64,
    /// Promised to this entry.
    pub promised: u64,
    /// Promised to other entries, whose jobs wait for it.
    pub reserved: u64,
}

impl Room {
    /// Returns the share, 0 to 1, that is in use or promised to other entries; 0 without a worker.
    pub fn used(&self) -> f64 {
        let obtainable = self.free.saturating_sub(self.reserved) as f64;
        if self.capacity == 0 {
            return 0.0;
        }
        (1.0 - obtainable / self.capacity as f64).clamp(0.0, 1.0)
    }
}

impl Fleet {
    /// Returns the CPU of all workers that accept runs.
    pub fn room(&self) -> Room {
        Self::room_of(self.workers.values())
    }

    /// Returns the CPU of the named workers that accept runs.
    pub fn room_on<'a, I>(&self, names: I) -> Room
    where
        I: Iterator<Item = &'a Name>,
    {
        Self::room_of(names.filter_map(|name| self.workers.get(name)))
    }

    /// Returns the pool whose workers are used most, with their CPU.
    pub fn fullest_pool(&self) -> Option<(Name, Room)> {
        let pools = self
            .workers
            .values()
            .filter_map(|w| w.info.as_ref()?.pool.clone());
        let pools: IndexSet<Name> = pools.collect();
        let rooms = pools.into_iter().map(|pool| {
            let room = Self::room_of(self.peers(&pool).map(|(_, worker)| worker));
            (pool, room)
        });
        rooms.max_by(|(_, a), (_, b)| a.used().total_cmp(&b.used()))
    }

    /// Returns the largest room that agents of a pool promise at a time.
    pub fn largest_unit(&self, pool: &Name) -> Resources {
        let units = self.peers(pool).map(|(_, worker)| worker.report.unit);
        units.fold(Resources::default(), Resources::largest)
    }

    fn room_of<'a, I>(workers: I) -> Room
    where
        I: Iterator<Item = &'a Worker>,
    {
        let mut room = Room::default();
        for worker in workers {
            let Some(info) = worker.info.as_ref().filter(|_| worker.report.open) else {
                continue;
            };
            room.capacity += u64::from(info.capacity.cpu_milli);
            room.free += u64::from(worker.free().cpu_milli);
            room.promised += u64::from(worker.promised().cpu_milli);
            room.reserved += u64::from(worker.report.reserved.cpu_milli);
        }
        room
    }
}
