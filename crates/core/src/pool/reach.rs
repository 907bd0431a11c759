//! Links that an entry opens to further agents while its tasks find no worker among those that link
//! to it by themselves (see [`subset`](super::subset)).
//!
//! This answers an uneven load: a crest in one failure domain, or the loss of the workers that one
//! entry happens to know. When the whole pool is full, further links bring nothing: a batch without
//! room doubles the pause before the next one.

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

/// Number of agents that are linked at a time.
const BATCH: usize = 6;
/// Pause after a batch that has brought room.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause after batches that have brought none.
const MAX_PAUSE: Duration = Duration::from_secs(3);
/// Time without a shortage after which the pause is short again.
const CALM_TIME: Duration = Duration::from_secs(1);
/// Time after which an extra link without runs is closed if there was no shortage.
const RETENTION: Duration = Duration::from_secs(5);
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
    entries: Entries,
    link_count: LinkCount,
    links: usize,
    /// Agents that are not dead.
    agents: IndexMap<Name, Candidate>,
    /// Agents linked by this entry, with the time at which the link was last of use.
    extra: IndexMap<Name, Uptime>,
    /// Number of agents at the end of `extra` that the last batch added.
    last_batch: usize,
    next_batch: Uptime,
    pause: Duration,
    last_shortage: Uptime,
}

impl Reach {
    /// Creates the state of the entry of this name.
    pub fn new(me: Name) -> Self {
        Self {
            me,
            entries: Entries::default(),
            link_count: LinkCount::default(),
            links: 0,
            agents: IndexMap::new(),
            extra: IndexMap::new(),
            last_batch: 0,
            next_batch: Uptime::ZERO,
            pause: MIN_PAUSE,
            last_shortage: Uptime::ZERO,
        }
    }

    /// Handles a new member list.
    pub fn set_members(&mut self, members: &[Member]) {
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
        let Some(shortage) = shortage else {
            if now >= self.last_shortage + CALM_TIME {
                self.pause = MIN_PAUSE;
            }
            return (!dropped.is_empty()).then_some(dropped);
        };
        self.last_shortage = now;
        if now < self.next_batch {
            return (!dropped.is_empty()).then_some(dropped);
        }
        self.adapt_pause(shortage, fleet);
        self.next_batch = now + self.pause;
        let batch = self.choose(shortage, fleet, rng);
        self.last_batch = batch.len();
        if batch.is_empty() && dropped.is_empty() {
            return None;
        }
        self.extra.extend(batch.into_iter().map(|name| (name, now)));
        Some(dropped)
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
        self.pause = if useful || self.last_batch == 0 {
            MIN_PAUSE
        } else {
            (self.pause * 2).min(MAX_PAUSE)
        };
    }

    /// Returns agents without a link whose workers suit the task. Those that link to this entry by
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
