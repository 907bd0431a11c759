//! Which entries each agent keeps a link to, worked out from the member list alone.
//!
//! With a link between every entry and every agent, pings and reports grow with the product of the
//! two. An agent instead links to so many entries that each entry has about [`AGENTS_PER_ENTRY`]
//! agents. What an entry lacks at times it gets by links of its own, see
//! [`reach`](super::reach).

use crate::ids::{Digest, Name};
use crate::members::{Member, MemberState};
use crate::msg::Role;

/// Number of agents that an entry is to have on average: enough for wide jobs and for the loads of
/// single workers to even out.
pub const AGENTS_PER_ENTRY: usize = 36;
/// Minimum number of entries that an agent links to, if there are as many.
pub const MIN_LINKS: usize = 4;
/// Maximum number of entries that an agent links to.
pub const MAX_LINKS: usize = 32;
/// The number of links follows the number of members only when it is off by more than this, so that
/// a few members that come and go move no links.
const HYSTERESIS: f64 = 0.75;

/// The entries of a cluster that are not dead, with their failure domains.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entries {
    entries: Vec<(Name, Name)>,
    /// Number of agents that are not dead.
    agents: usize,
}

impl Entries {
    /// Collects the entries of a member list.
    pub fn of(members: &[Member]) -> Self {
        let live = |role: Role| {
            members
                .iter()
                .filter(move |m| m.role == role && m.state != MemberState::Dead)
        };
        Self {
            entries: live(Role::Entry)
                .map(|m| (m.node.name.clone(), m.domain.clone()))
                .collect(),
            agents: live(Role::Agent).count(),
        }
    }

    /// Returns the entries that an agent of the name and failure domain links to: about half of
    /// `links` in its own domain, the others elsewhere.
    ///
    /// Each agent ranks the entries by a hash, so that an entry that comes or goes moves only links
    /// of its own.
    pub fn for_agent(&self, agent: &Name, domain: &Name, links: usize) -> Vec<Name> {
        let mut ranked: Vec<&(Name, Name)> = self.entries.iter().collect();
        if ranked.len() <= links {
            return ranked.into_iter().map(|(name, _)| name.clone()).collect();
        }
        ranked.sort_by_cached_key(|(entry, _)| Digest::of(&[agent.as_bytes(), entry.as_bytes()]).0);
        let is_own = |entry: &&&(Name, Name)| entry.1 == *domain;
        let own: Vec<_> = ranked.iter().filter(is_own).collect();
        let others: Vec<_> = ranked.iter().filter(|entry| !is_own(entry)).collect();
        let own_count = own.len().min(links.div_ceil(2));
        let other_count = others.len().min(links - own_count);
        let first = own
            .iter()
            .take(own_count)
            .chain(others.iter().take(other_count));
        // A domain with few entries leaves links to the other one.
        let rest = own
            .iter()
            .skip(own_count)
            .take(links - own_count - other_count);
        first.chain(rest).map(|(name, _)| name.clone()).collect()
    }
}

/// The number of entries that each agent links to. Every process works it out for itself.
#[derive(Debug, Default)]
pub struct LinkCount {
    links: Option<usize>,
}

impl LinkCount {
    /// Returns the number for the present members.
    pub fn update(&mut self, entries: &Entries) -> usize {
        let ideal =
            (AGENTS_PER_ENTRY * entries.entries.len()) as f64 / entries.agents.max(1) as f64;
        let ideal = ideal.clamp(MIN_LINKS as f64, MAX_LINKS as f64);
        let keeps = |links: &usize| (*links as f64 - ideal).abs() <= HYSTERESIS;
        let links = self.links.filter(keeps).unwrap_or(ideal.ceil() as usize);
        self.links = Some(links);
        links
    }
}
