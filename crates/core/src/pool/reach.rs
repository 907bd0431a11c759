//! Links that an entry opens to further agents while its tasks find no worker among those that link
//! to it by themselves (see [`subset`](super::subset)), and before that, when these workers fill up.
//!
//! This answers an uneven load: a crest in one failure domain, or the loss of the workers that one
//! entry happens to know. When the whole pool is full, further links bring nothing: a batch without
//! room, or one that is used no less than the known workers, doubles the pause before the next one.

mod pressure;

use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use indexmap::IndexMap;

use super::Uptime;
use super::fleet::{Fleet, Worker};
use super::job::Resources;
use super::msg::WorkerInfo;
use super::subset::{Entries, LinkCount};
use crate::ids::Name;
use crate::members::{Member, MemberState};
use crate::msg::Role;
use pressure::Pressure;

/// Number of agents that are linked at a time.
const BATCH: usize = 6;
/// Time for which tasks must find no worker without a break: agents need a part of it to promise
/// room of other entries to this one.
const MIN_SHORTAGE: Duration = Duration::from_millis(20);
/// Pause after a batch that was opened because the known workers fill up: its workers have reported
/// by then.
const PRESSURE_PAUSE: Duration = Duration::from_millis(100);
/// A batch helps against pressure if the share of its workers in use is lower by this than that of
/// all known workers.
const MIN_RELIEF: f64 = 0.1;
/// Maximum number of extra links that are opened before tasks wait.
const MAX_EARLY: usize = 18;
/// Pause after a batch that has brought room.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause after batches that have brought none.
const MAX_PAUSE: Duration = Duration::from_secs(3);
/// Time without a shortage after which the pause is short again.
const CALM_TIME: Duration = Duration::from_secs(1);
/// Time after which an extra link without runs is closed if there was no shortage.
const RETENTION: Duration = Duration::from_secs(5);
/// Number of batches in a row without use after which further links are not expected to bring room.
const MAX_FUTILE_BATCHES: u32 = 2;
/// Maximum number of extra links.
const MAX_EXTRA: usize = 64;

/// What the first waiting task that found no worker needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Shortage {
    /// The pool of its queue.
    pub pool: Name,
    /// Resources of one task.
    pub needs: Resources,
    /// A label that the worker must have.
    pub label: Option<Name>,
}

impl Shortage {
    /// Returns whether an idle worker of this description could run the task.
    fn suits(&self, info: &WorkerInfo) -> bool {
        info.pool.as_ref() == Some(&self.pool)
            && self.needs.fits(info.capacity)
            && self.label.as_ref().is_none_or(|l| info.labels.contains(l))
    }
}

/// Why links to further agents were opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// A task found no worker.
    NoWorker,
    /// The known workers are nearly full, or will soon be.
    Pressure,
}

impl Cause {
    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoWorker => "no-worker",
            Self::Pressure => "pressure",
        }
    }
}

/// Links that were opened at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Opened {
    /// Why.
    pub cause: Cause,
    /// Their number.
    pub links: usize,
    /// Share of the known workers in use, 0 to 1.
    pub used: f64,
}

#[derive(Debug)]
struct Candidate {
    domain: Name,
    link: SocketAddr,
    offers: Option<WorkerInfo>,
}

/// The agents of the cluster as one entry knows them from the member list, and those of them to
/// which it keeps a link of its own.
#[derive(Debug)]
pub struct Reach {
    me: Name,
    /// Failure domain of this entry, once the member list shows it.
    domain: Option<Name>,
    entries: Entries,
    link_count: LinkCount,
    links: usize,
    /// Agents that are not dead.
    agents: IndexMap<Name, Candidate>,
    /// Agents linked by this entry, with the time at which the link was last of use.
    extra: IndexMap<Name, Uptime>,
    /// Number of agents at the end of `extra` that the last batch added.
    last_batch: usize,
    pressure: Pressure,
    /// The batch that was opened by the last tick, if any.
    opened: Option<Opened>,
    next_batch: Uptime,
    pause: Duration,
    /// Number of batches in a row that have brought no room.
    futile_batches: u32,
    /// Whether the last batch found no agent to link.
    none_left: bool,
    last_shortage: Uptime,
    /// Since when there is a shortage without a break.
    short_since: Option<Uptime>,
}

impl Reach {
    /// Creates the state of the entry of this name.
    pub fn new(me: Name) -> Self {
        Self {
            me,
            domain: None,
            entries: Entries::default(),
            link_count: LinkCount::default(),
            links: 0,
            agents: IndexMap::new(),
            extra: IndexMap::new(),
            last_batch: 0,
            pressure: Pressure::default(),
            opened: None,
            next_batch: Uptime::ZERO,
            pause: MIN_PAUSE,
            futile_batches: 0,
            none_left: false,
            last_shortage: Uptime::ZERO,
            short_since: None,
        }
    }

    /// Handles a new member list.
    pub fn set_members(&mut self, members: &[Member]) {
        let me = members.iter().find(|m| m.node.name == self.me);
        self.domain = me.map(|m| m.domain.clone()).or(self.domain.take());
        self.entries = Entries::of(members);
        self.links = self.link_count.update(&self.entries);
        let live = |m: &&Member| m.role == Role::Agent && m.state != MemberState::Dead;
        self.agents = members
            .iter()
            .filter(live)
            .map(|m| {
                let candidate = Candidate {
                    domain: m.domain.clone(),
                    link: m.link,
                    offers: m.offers.clone(),
                };
                (m.node.name.clone(), candidate)
            })
            .collect();
    }

    /// Returns the workers of all agents, linked or not.
    pub fn offers(&self) -> impl Iterator<Item = (&Name, &WorkerInfo)> {
        let agents = self.agents.iter();
        agents.filter_map(|(name, agent)| Some((name, agent.offers.as_ref()?)))
    }

    /// Returns the workers of all agents, linked or not, with their failure domains.
    pub fn offers_by_domain(&self) -> impl Iterator<Item = (&Name, &WorkerInfo)> {
        let agents = self.agents.values();
        agents.filter_map(|agent| Some((&agent.domain, agent.offers.as_ref()?)))
    }

    /// Returns the agents to keep a link to, with their addresses.
    pub fn targets(&self) -> impl Iterator<Item = (&Name, SocketAddr)> {
        let extra = self.extra.keys();
        extra.filter_map(|name| Some((name, self.agents.get(name)?.link)))
    }

    /// Adds agents while there is a shortage, and removes those whose link is of no more use.
    /// Returns the agents to which the link is to be closed; `None` if nothing has changed.
    pub fn tick(
        &mut self,
        now: Uptime,
        shortage: Option<&Shortage>,
        fleet: &Fleet,
        rng: &mut Rng,
    ) -> Option<Vec<Name>> {
        let dropped = self.drop_unused(now, shortage.is_some(), fleet);
        self.opened = None;
        let Some(shortage) = shortage else {
            self.short_since = None;
            let opened = self.relieve_pressure(now, fleet, rng);
            if opened {
                return Some(dropped);
            }
            if now >= self.last_shortage + CALM_TIME {
                self.pause = MIN_PAUSE;
                self.futile_batches = 0;
                self.none_left = false;
            }
            return (!dropped.is_empty()).then_some(dropped);
        };
        self.last_shortage = now;
        let since = *self.short_since.get_or_insert(now);
        if now < since + MIN_SHORTAGE || now < self.next_batch {
            return (!dropped.is_empty()).then_some(dropped);
        }
        self.adapt_pause(shortage, fleet);
        self.next_batch = now + self.pause;
        let batch = self.choose(shortage, fleet, rng);
        self.last_batch = batch.len();
        self.none_left = batch.is_empty();
        self.opened = (!batch.is_empty()).then_some(Opened {
            cause: Cause::NoWorker,
            links: batch.len(),
            used: self.pressure.used(),
        });
        if batch.is_empty() && dropped.is_empty() {
            return None;
        }
        self.extra.extend(batch.into_iter().map(|name| (name, now)));
        Some(dropped)
    }

    /// Returns whether links to further agents are not expected to bring room: the last ones brought
    /// none, or there are no others.
    pub fn is_exhausted(&self) -> bool {
        self.none_left || self.futile_batches >= MAX_FUTILE_BATCHES || self.extra.len() >= MAX_EXTRA
    }

    /// Returns the batch that the last [`Reach::tick`] has opened.
    pub fn opened(&self) -> Option<Opened> {
        self.opened
    }

    /// Links further agents when the known workers are nearly full or will soon be, unless the last
    /// such batch was as full. Returns whether it did.
    fn relieve_pressure(&mut self, now: Uptime, fleet: &Fleet, rng: &mut Rng) -> bool {
        if !self.pressure.is_due(now) {
            return false;
        }
        let Some((pool, room)) = fleet.fullest_pool() else {
            return false;
        };
        self.pressure.sample(now, room.used());
        if !self.pressure.is_high() || now < self.next_batch || self.extra.len() >= MAX_EARLY {
            return false;
        }
        let batch = self.extra.keys().rev().take(self.last_batch);
        let relief = fleet.room_on(batch);
        let helped = relief.capacity == 0 || relief.used() + MIN_RELIEF <= room.used();
        self.pause = if helped {
            PRESSURE_PAUSE
        } else {
            (self.pause * 2).clamp(PRESSURE_PAUSE, MAX_PAUSE)
        };
        self.next_batch = now + self.pause;
        let needs = fleet.largest_unit(&pool);
        let wanted = Shortage {
            pool,
            needs,
            label: None,
        };
        let batch = self.choose(&wanted, fleet, rng);
        self.last_batch = batch.len();
        self.opened = (!batch.is_empty()).then_some(Opened {
            cause: Cause::Pressure,
            links: batch.len(),
            used: room.used(),
        });
        self.extra.extend(batch.into_iter().map(|name| (name, now)));
        self.opened.is_some()
    }

    fn drop_unused(&mut self, now: Uptime, short: bool, fleet: &Fleet) -> Vec<Name> {
        let mut dropped = Vec::new();
        let agents = &self.agents;
        // Agents in evacuated domains are lost for longer than one shortage.
        let lasting = short || fleet.evacuated() > 0;
        self.extra.retain(|name, used| {
            let usable = |worker: &Worker| {
                let domain = worker.domain.as_ref();
                !domain.is_some_and(|domain| fleet.is_evacuated(domain))
            };
            let short = lasting && fleet.get(name).is_none_or(usable);
            if short || fleet.get(name).is_some_and(|worker| worker.runs > 0) {
                *used = now;
            }
            let keep = agents.contains_key(name) && now < *used + RETENTION;
            if !keep {
                dropped.push(name.clone());
            }
            keep
        });
        dropped
    }

    /// Shortens the pause if the last batch has brought a worker with room or has been given runs,
    /// and doubles it otherwise.
    fn adapt_pause(&mut self, shortage: &Shortage, fleet: &Fleet) {
        let batch = self.extra.keys().rev().take(self.last_batch);
        let useful = batch
            .filter_map(|name| fleet.get(name))
            .any(|worker| worker.runs > 0 || shortage.needs.fits(worker.free()));
        if useful || self.last_batch == 0 {
            self.pause = MIN_PAUSE;
            self.futile_batches = 0;
        } else {
            self.pause = (self.pause * 2).min(MAX_PAUSE);
            self.futile_batches += 1;
        }
    }

    /// Returns agents without a link whose workers suit the task, those in the entry's failure domain
    /// first. Those that link to this entry by
    /// themselves are left out.
    fn choose(&self, shortage: &Shortage, fleet: &Fleet, rng: &mut Rng) -> Vec<Name> {
        let linked = |name: &Name| {
            fleet
                .get(name)
                .is_some_and(|worker| worker.down_since.is_none())
        };
        let suits = |agent: &Candidate| agent.offers.as_ref().is_some_and(|o| shortage.suits(o));
        let mut names: Vec<&Name> = self
            .agents
            .iter()
            .filter(|(name, agent)| {
                suits(agent)
                    && !fleet.is_evacuated(&agent.domain)
                    && !self.extra.contains_key(*name)
                    && !linked(name)
            })
            .map(|(name, _)| name)
            .collect();
        rng.shuffle(&mut names);
        names.sort_by_key(|name| Some(&self.agents[*name].domain) != self.domain.as_ref());
        let comes_by_itself = |name: &Name| {
            let domain = &self.agents[name].domain;
            let own = self.entries.for_agent(name, domain, self.links);
            own.contains(&self.me)
        };
        let room = MAX_EXTRA.saturating_sub(self.extra.len());
        names
            .into_iter()
            .filter(|name| !comes_by_itself(name))
            .take(BATCH.min(room))
            .cloned()
            .collect()
    }
}
