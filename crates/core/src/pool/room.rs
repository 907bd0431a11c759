//! Room of one worker that its agent promises to single entries.
//!
//! Answers entries that race for the same room: told of all free room, each sends starts for it, and
//! all but the first are refused after a round trip. Only the agent gives promises. They are part of
//! the free room, so no room is promised twice. A promise to an entry that does not need it keeps
//! nobody out: others may still start there, at the risk of a refusal.

use std::time::Duration;

use indexmap::IndexMap;

use super::Uptime;
use super::job::Resources;
use crate::ids::Name;

/// Time in which an entry with waiting jobs has to use a promise before it passes to another entry:
/// a few round trips.
const LAPSE_TIME: Duration = Duration::from_millis(10);
/// Time for which an entry that let a promise lapse counts as one without waiting jobs, unless it
/// starts a task: entries say late that none wait any more, and what waits may not suit the worker.
const DECLINED_TIME: Duration = Duration::from_millis(100);
/// Half-life of the number of recent starts of an entry.
const RECENT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Recent starts that are assumed of every entry, so that one with sudden demand has some room.
const MIN_RECENT: f64 = 0.5;
/// A promise holds the largest task that was started within this time, or up to twice as long ago.
const UNIT_TIME: Duration = Duration::from_secs(2);
/// Share of the worker, as a divisor, that is promised at a time before any task was started.
const FIRST_UNIT_DIVISOR: u32 = 8;

/// Whether the room for a start was promised to its entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claim {
    /// It was.
    Promised,
    /// It was not, or no longer.
    Unpromised,
}

impl Claim {
    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Promised => "promised",
            Self::Unpromised => "unpromised",
        }
    }
}

/// Changes of a promise that its entry cannot know of.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct News {
    /// It was promised room for a task and had none before.
    pub granted: bool,
    /// Room was taken from it.
    pub revoked: bool,
}

/// What is promised to one entry.
#[derive(Debug)]
struct Holder {
    promised: Resources,
    /// When room was last promised to it.
    given: Uptime,
    /// Number of jobs that wait at the entry, by its last message.
    waiting_jobs: u32,
    /// Whether it has started a task since room was last promised to it.
    used: bool,
    /// Number of its starts, with exponential decay since `recent_at`.
    recent: f64,
    recent_at: Uptime,
    /// What changed since [`Promises::take_news`].
    news: News,
}

impl Holder {
    fn recent(&self, now: Uptime) -> f64 {
        let passed = now.saturating_sub(self.recent_at).as_secs_f64();
        self.recent * 0.5_f64.powf(passed / RECENT_HALF_LIFE.as_secs_f64()) + MIN_RECENT
    }

    /// Returns whether the entry needs room, as far as is known.
    fn needs_room(&self, now: Uptime) -> bool {
        let declined = !self.used && now >= self.given + LAPSE_TIME;
        self.waiting_jobs > 0 && (!declined || now >= self.given + DECLINED_TIME)
    }

    /// Returns whether the promise keeps others out: the entry has waiting jobs and had no time to
    /// use it yet.
    fn is_reserved(&self, now: Uptime) -> bool {
        self.waiting_jobs > 0 && now < self.given + LAPSE_TIME
    }
}

/// Parts of a share are promised too if the largest recent task needs at least this multiple of the
/// CPU of the smallest one. Otherwise few tasks could use them.
const UNEVEN_FACTOR: u32 = 6;

fn is_uneven(least: Resources, largest: Resources) -> bool {
    largest.cpu_milli >= least.cpu_milli.saturating_mul(UNEVEN_FACTOR)
}

/// The least and the largest amounts that tasks needed.
#[derive(Clone, Copy, Debug, Default)]
struct Sizes {
    /// `None` if no task was started.
    least: Option<Resources>,
    largest: Resources,
}

impl Sizes {
    fn add(&mut self, needs: Resources) {
        self.least = Some(self.least.map_or(needs, |least| least.common(needs)));
        self.largest = self.largest.largest(needs);
    }
}

/// The promises of one worker's room.
///
/// After [`Promises::allot`] their sum is no more than the free room, and what may be queued.
#[derive(Debug, Default)]
pub struct Promises {
    holders: IndexMap<Name, Holder>,
    /// Needs of the tasks started in the present period, and in the one before.
    sizes: [Sizes; 2],
    /// When the present period began.
    period_began: Uptime,
}

impl Promises {
    /// Sets the entries that may hold promises, with the number of jobs that wait there. Others lose
    /// theirs.
    pub fn set_entries<'a, I>(&mut self, now: Uptime, entries: I)
    where
        I: Iterator<Item = (&'a Name, u32)> + Clone,
    {
        self.holders
            .retain(|name, _| entries.clone().any(|(other, _)| other == name));
        for (name, waiting_jobs) in entries {
            if let Some(holder) = self.holders.get_mut(name) {
                holder.waiting_jobs = waiting_jobs;
                continue;
            }
            let holder = Holder {
                promised: Resources::default(),
                given: Uptime::ZERO,
                waiting_jobs,
                used: true,
                recent: 0.0,
                recent_at: now,
                news: News::default(),
            };
            self.holders.insert(name.clone(), holder);
        }
    }

    /// Ends the promise to an entry, whose process or link was replaced.
    pub fn remove(&mut self, name: &Name) {
        self.holders.shift_remove(name);
    }

    /// Records the start of a task. Returns whether the room was promised to the entry.
    pub fn started(&mut self, now: Uptime, name: &Name, needs: Resources) -> Claim {
        if now >= self.period_began + UNIT_TIME {
            self.sizes = [Sizes::default(), self.sizes[0]];
            self.period_began = now;
        }
        self.sizes[0].add(needs);
        let Some(holder) = self.holders.get_mut(name) else {
            return Claim::Unpromised;
        };
        holder.recent = holder.recent(now) - MIN_RECENT + 1.0;
        holder.recent_at = now;
        holder.used = true;
        let within = needs.fits(holder.promised);
        holder.promised = holder.promised.minus(needs);
        if within {
            Claim::Promised
        } else {
            Claim::Unpromised
        }
    }

    /// Adapts the promises to the free room of a worker: cuts those that exceed it and promises what
    /// is left. Returns when a promise lapses that another entry waits for.
    ///
    /// `may_queue` allows to promise room for one small task more than a full worker has to an entry
    /// with waiting jobs. The start is queued until a run ends, which saves a round trip without a run.
    pub fn allot(
        &mut self,
        now: Uptime,
        free: Resources,
        capacity: Resources,
        may_queue: bool,
    ) -> Option<Uptime> {
        let unit = self.unit(capacity);
        let waiting = self.holders.values().any(|holder| holder.waiting_jobs > 0);
        let least = self.least().filter(|least| is_uneven(*least, unit));
        let least = least.unwrap_or(unit);
        let ahead = if may_queue && waiting && !least.fits(free) {
            least
        } else {
            Resources::default()
        };
        self.cut(free.plus(ahead));
        let mut left = free.plus(ahead).minus(self.total());
        let mut next_lapse = None;
        while let Some(i) = self.next_in_need(now, unit) {
            let cost = unit.minus(self.holders[i].promised);
            if !cost.fits(left) {
                self.reclaim(now, i, cost, &mut left);
            }
            if cost.fits(left) {
                self.give(now, i, (cost, unit), &mut left);
                continue;
            }
            // Room for less than the largest task is of use to others.
            let part = cost.common(left);
            if least.fits(part) {
                self.give(now, i, (part, unit), &mut left);
            }
            let reserved = self.holders.values().filter(|h| h.is_reserved(now));
            next_lapse = reserved.map(|h| h.given + LAPSE_TIME).min();
            break;
        }
        left = left.minus(ahead);
        while unit.fits(left) && unit.cpu_milli > 0 {
            let share = |holder: &Holder| {
                let units = f64::from(holder.promised.cpu_milli) / f64::from(unit.cpu_milli);
                holder.recent(now) / (units + 1.0)
            };
            let holders = self.holders.values().enumerate();
            let best = holders.max_by(|(_, a), (_, b)| share(a).total_cmp(&share(b)));
            let Some((i, _)) = best else { break };
            self.give(now, i, (unit, unit), &mut left);
        }
        next_lapse
    }

    /// Returns what is promised to an entry.
    pub fn promised(&self, name: &Name) -> Resources {
        self.holders
            .get(name)
            .map_or(Resources::default(), |holder| holder.promised)
    }

    /// Returns the room that an entry should leave to others, which wait for it.
    pub fn reserved_for_others(&self, now: Uptime, name: &Name) -> Resources {
        let others = self
            .holders
            .iter()
            .filter(|(other, holder)| *other != name && holder.is_reserved(now));
        others.fold(Resources::default(), |sum, (_, holder)| {
            sum.plus(holder.promised)
        })
    }

    /// Returns the sum of all promises.
    pub fn total(&self) -> Resources {
        self.holders
            .values()
            .fold(Resources::default(), |sum, holder| {
                sum.plus(holder.promised)
            })
    }

    /// Returns how the promise to an entry changed since the last call for it.
    pub fn take_news(&mut self, name: &Name) -> News {
        let holder = self.holders.get_mut(name);
        holder.map_or(News::default(), |holder| std::mem::take(&mut holder.news))
    }

    /// Returns the room that is promised at a time: that of the largest task started recently.
    pub fn unit(&self, capacity: Resources) -> Resources {
        let largest = self.sizes[0].largest.largest(self.sizes[1].largest);
        if largest.cpu_milli > 0 {
            return largest.common(capacity);
        }
        Resources {
            cpu_milli: capacity.cpu_milli / FIRST_UNIT_DIVISOR,
            memory_mb: capacity.memory_mb / FIRST_UNIT_DIVISOR,
            accelerators: capacity.accelerators / FIRST_UNIT_DIVISOR,
        }
    }

    /// Returns the least that a task started recently needed; `None` if there was none.
    fn least(&self) -> Option<Resources> {
        let sizes = self.sizes.iter().filter_map(|sizes| sizes.least);
        sizes.reduce(Resources::common)
    }

    /// Takes back what exceeds the free room, from entries without waiting jobs and the largest
    /// promises first.
    fn cut(&mut self, free: Resources) {
        let mut excess = self.total().minus(free);
        while excess != Resources::default() {
            let holders = self.holders.values_mut();
            let victim = holders
                .filter(|holder| holder.promised.common(excess) != Resources::default())
                .max_by_key(|holder| (holder.waiting_jobs == 0, holder.promised.cpu_milli));
            let Some(victim) = victim else { break };
            let taken = victim.promised.common(excess);
            victim.promised = victim.promised.minus(taken);
            victim.news.revoked = true;
            excess = excess.minus(taken);
        }
    }

    /// Returns the entry that has waited longest for room among those with waiting jobs and less
    /// than a unit.
    fn next_in_need(&self, now: Uptime, unit: Resources) -> Option<usize> {
        let holders = self.holders.values().enumerate();
        holders
            .filter(|(_, holder)| holder.needs_room(now) && !unit.fits(holder.promised))
            .max_by_key(|(_, holder)| now.saturating_sub(holder.given) * holder.waiting_jobs)
            .map(|(i, _)| i)
    }

    /// Takes room for entry `i` from promises that no entry waits for, or that were not used in time.
    fn reclaim(&mut self, now: Uptime, i: usize, cost: Resources, left: &mut Resources) {
        let order = self.holders.values().enumerate();
        let mut idle: Vec<(u32, usize)> = order
            .filter(|(j, holder)| *j != i && !holder.is_reserved(now))
            .map(|(j, holder)| (holder.promised.cpu_milli, j))
            .collect();
        idle.sort_unstable_by(|a, b| b.cmp(a));
        for (_, j) in idle {
            let missing = cost.minus(*left);
            if missing == Resources::default() {
                break;
            }
            let holder = &mut self.holders[j];
            let taken = holder.promised.common(missing);
            if taken == Resources::default() {
                continue;
            }
            holder.promised = holder.promised.minus(taken);
            holder.news.revoked = true;
            *left = left.plus(taken);
        }
    }

    fn give(
        &mut self,
        now: Uptime,
        i: usize,
        (room, unit): (Resources, Resources),
        left: &mut Resources,
    ) {
        let holder = &mut self.holders[i];
        holder.news.granted |= !unit.fits(holder.promised);
        holder.promised = holder.promised.plus(room);
        holder.given = now;
        holder.used = false;
        *left = left.minus(room);
    }
}
