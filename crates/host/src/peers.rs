//! Links to other processes on the event loop: the peers to dial and the peers that are linked.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use rw_core::ids::Name;
use rw_core::msg::{Hello, Role};
use rw_core::pool::Uptime;

use crate::net::{ConnId, Net};

/// First pause between two attempts to open a link; doubles with each failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(30);
/// Longest pause between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Target {
    addr: SocketAddr,
    /// The attempt in progress.
    dialing: Option<ConnId>,
    next_dial: Uptime,
    backoff: Duration,
}

/// The links of one process.
#[derive(Debug, Default)]
pub struct Peers {
    targets: IndexMap<Name, Target>,
    by_name: IndexMap<Name, ConnId>,
    by_conn: IndexMap<ConnId, Hello>,
    /// The recorded links that this process has opened.
    dialled: IndexSet<ConnId>,
}

impl Peers {
    /// Replaces the set of peers to keep links to. A peer whose address is unchanged keeps its
    /// back-off.
    pub fn set_targets(&mut self, now: Uptime, targets: Vec<(Name, SocketAddr)>) {
        let mut new_targets = IndexMap::with_capacity(targets.len());
        for (name, addr) in targets {
            let current = self.targets.swap_remove(&name).filter(|t| t.addr == addr);
            let new = Target {
                addr,
                dialing: None,
                next_dial: now,
                backoff: FIRST_BACKOFF,
            };
            new_targets.insert(name, current.unwrap_or(new));
        }
        self.targets = new_targets;
    }

    /// Opens links to the targets that are neither linked nor being dialled, once their back-off is
    /// over.
    pub fn dial(&mut self, now: Uptime, net: &mut Net) {
        for (name, target) in &mut self.targets {
            if target.dialing.is_some() || self.by_name.contains_key(name) || now < target.next_dial
            {
                continue;
            }
            target.next_dial = now + target.backoff;
            target.backoff = (target.backoff * 2).min(MAX_BACKOFF);
            match net.dial(now, target.addr) {
                Ok(conn) => target.dialing = Some(conn),
                Err(e) => log::debug!(step = "dial", peer:% = name, error:% = e; "link not opened"),
            }
        }
    }

    /// Records a link that came up and returns whether it replaced an older link with the same
    /// peer, which is closed. `None` for a link with a tool, which is not recorded.
    pub fn on_link_up(&mut self, conn: ConnId, hello: Hello, net: &mut Net) -> Option<bool> {
        if hello.role == Role::Tool {
            return None;
        }
        let name = hello.node.name.clone();
        if let Some(target) = self.targets.get_mut(&name) {
            if target.dialing.take() == Some(conn) {
                self.dialled.insert(conn);
            }
            target.backoff = FIRST_BACKOFF;
        }
        self.by_conn.insert(conn, hello);
        let older = self.by_name.insert(name, conn);
        if let Some(older) = older {
            self.by_conn.swap_remove(&older);
            self.dialled.swap_remove(&older);
            net.close(older);
        }
        Some(older.is_some())
    }

    /// Records the end of a link or of an attempt. Returns the peer if a recorded link ended; a
    /// target is then dialled again without a pause.
    pub fn on_link_down(&mut self, now: Uptime, conn: ConnId) -> Option<Hello> {
        for target in self
            .targets
            .values_mut()
            .filter(|t| t.dialing == Some(conn))
        {
            target.dialing = None;
        }
        self.dialled.swap_remove(&conn);
        let hello = self.by_conn.swap_remove(&conn)?;
        if self.by_name.get(&hello.node.name) == Some(&conn) {
            self.by_name.swap_remove(&hello.node.name);
        }
        if let Some(target) = self.targets.get_mut(&hello.node.name) {
            target.next_dial = now;
        }
        Some(hello)
    }

    /// Closes the link with a peer, if there is one, and returns that peer's identity.
    pub fn drop_link(&mut self, now: Uptime, name: &Name, net: &mut Net) -> Option<Hello> {
        let conn = self.by_name.get(name).copied()?;
        net.close(conn);
        self.on_link_down(now, conn)
    }

    /// Returns the connection of the link with a peer.
    pub fn conn(&self, name: &Name) -> Option<ConnId> {
        self.by_name.get(name).copied()
    }

    /// Returns the identity of the peer at the other end of a link.
    pub fn peer(&self, conn: ConnId) -> Option<&Hello> {
        self.by_conn.get(&conn)
    }

    /// Closes the link with a peer if this process has dialled it, and returns that peer's identity.
    pub fn drop_dialled(&mut self, now: Uptime, name: &Name, net: &mut Net) -> Option<Hello> {
        let conn = self.by_name.get(name)?;
        if !self.dialled.contains(conn) {
            return None;
        }
        self.drop_link(now, name, net)
    }

    /// Returns the linked peers that this process has dialled and that are no targets any more.
    pub fn dialled_without_target(&self) -> Vec<Name> {
        let names = self
            .dialled
            .iter()
            .filter_map(|conn| self.by_conn.get(conn));
        names
            .map(|hello| hello.node.name.clone())
            .filter(|name| !self.targets.contains_key(name))
            .collect()
    }

    /// Returns all linked peers and their connections.
    pub fn linked(&self) -> impl Iterator<Item = (&Hello, ConnId)> {
        self.by_conn.iter().map(|(conn, hello)| (hello, *conn))
    }
}
