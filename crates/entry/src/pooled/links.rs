//! Links of the entry: to the other entries, and to further agents while tasks find no worker.

use indexmap::IndexSet;
use rw_core::ids::Name;
use rw_core::members::{Member, MemberState};
use rw_core::msg::{Hello, Role};
use rw_core::pool::msg::WorkerInfo;
use rw_core::pool::scheduler::Action;
use rw_core::pool::{KeepAlive, Uptime};

use super::Daemon;

impl Daemon {
    /// Keeps links to the entries whose names sort after that of this one, so that each pair of
    /// entries has one link. Agents dial the entries in their subsets themselves.
    pub(super) fn on_members(&mut self, now: Uptime, members: &[Member]) {
        let own_name = self.cluster.hello.node.name.clone();
        let later = |m: &&Member| m.role == Role::Entry && m.node.name > own_name;
        let entry_count = members.iter().filter(|m| m.role == Role::Entry).count();
        self.set_entry_count(entry_count);
        let live = members.iter().filter(|m| {
            m.role == Role::Entry && m.state == MemberState::Alive && m.node.name != own_name
        });
        let live = live.map(|m| m.node.name.clone());
        self.scheduler.set_live_entries(live.collect());
        let entries = members.iter().filter(later);
        self.later_entries = entries.map(|m| (m.node.name.clone(), m.link)).collect();
        self.reach.set_members(members);
        self.update_offers();
        self.set_targets(now);
    }

    /// Follows a new set of evacuated failure domains.
    pub(super) fn on_evacuated(
        &mut self,
        now: Uptime,
        domains: IndexSet<Name>,
        out: &mut Vec<Action>,
    ) {
        self.evacuated.clone_from(&domains);
        self.update_offers();
        self.scheduler.set_evacuated(now, domains, out);
    }

    fn update_offers(&mut self) {
        let offers = self.reach.offers_by_domain();
        let (evacuated, offers): (Vec<_>, Vec<_>) =
            offers.partition(|(domain, _)| self.evacuated.contains(*domain));
        let infos = |offers: Vec<(&Name, &WorkerInfo)>| -> Vec<WorkerInfo> {
            offers.into_iter().map(|(_, info)| info.clone()).collect()
        };
        self.scheduler.set_offers(infos(offers));
        self.scheduler.set_evacuated_offers(infos(evacuated));
    }

    /// Adapts the keep-alive of the links to other entries to the number of entries.
    fn set_entry_count(&mut self, entries: usize) {
        if entries == self.entry_count {
            return;
        }
        self.entry_count = entries;
        self.scheduler.set_entry_count(entries);
        let keep_alive = KeepAlive::between_entries(entries);
        for (hello, conn) in self.peers.linked() {
            if hello.role == Role::Entry {
                self.net.set_keep_alive(conn, keep_alive);
            }
        }
    }

    fn set_targets(&mut self, now: Uptime) {
        let agents = self.reach.targets();
        let agents = agents.map(|(name, addr)| (name.clone(), addr));
        let entries = self.later_entries.iter().cloned();
        self.peers.set_targets(now, entries.chain(agents).collect());
    }

    /// Opens links to further agents while tasks find no worker, and closes those of no more use.
    pub(super) fn update_reach(&mut self, now: Uptime) {
        let by_evacuation = || self.scheduler.shortage_by_evacuation();
        let shortage = self.scheduler.shortage().or_else(by_evacuation);
        let fleet = self.scheduler.fleet();
        let changed = self
            .reach
            .tick(now, shortage.as_ref(), fleet, &mut self.rng);
        self.scheduler
            .set_reach_exhausted(self.reach.is_exhausted());
        let Some(closing) = changed else {
            return;
        };
        self.set_targets(now);
        if let Some(opened) = self.reach.opened() {
            super::notes::record_opened(opened);
        }
        log::info!(extra_links = self.reach.targets().count(), closing = closing.len();
            "links to further agents changed");
        for name in closing {
            if let Some(hello) = self.peers.drop_dialled(now, &name, &mut self.net) {
                self.on_link_lost(now, &hello);
            }
        }
    }

    pub(super) fn on_link_lost(&mut self, now: Uptime, hello: &Hello) {
        let name = &hello.node.name;
        log::warn!(peer:% = name, role:? = hello.role; "link lost");
        match hello.role {
            Role::Agent => self.scheduler.agent_down(now, name),
            Role::Entry => self.scheduler.peer_down(now, name),
            Role::Control | Role::Tool => {}
        }
    }

    pub(super) fn drop_links(&mut self, now: Uptime) {
        let linked: Vec<Name> = self
            .peers
            .linked()
            .map(|(h, _)| h.node.name.clone())
            .collect();
        for name in linked {
            if let Some(hello) = self.peers.drop_link(now, &name, &mut self.net) {
                self.on_link_lost(now, &hello);
            }
        }
    }
}
