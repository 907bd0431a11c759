//! Links to other processes on one thread: whom to dial, who is linked.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use rw_core::ids::Name;
use rw_core::msg::{Hello, Role};
use rw_core::pool::Uptime;

use crate::net::{ConnId, Net};

/// Time until a lost link is dialled again; doubles with each failure.
const FIRST_REDIAL: Duration = Duration::from_millis(30);
const MAX_REDIAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Wanted {
    addr: SocketAddr,
    dial: Option<ConnId>,
    next: Uptime,
    pause: Duration,
}

/// The links of one process.
#[derive(Debug, Default)]
pub struct Peers {
    wanted: IndexMap<Name, Wanted>,
    by_name: IndexMap<Name, ConnId>,
    by_conn: IndexMap<ConnId, Hello>,
}

impl Peers {
    /// Sets whom to keep links to.
    pub fn want(&mut self, now: Uptime, targets: Vec<(Name, SocketAddr)>) {
        let mut wanted = IndexMap::with_capacity(targets.len());
        for (name, addr) in targets {
            let before = self.wanted.swap_remove(&name).filter(|w| w.addr == addr);
            let new = Wanted {
                addr,
                dial: None,
                next: now,
                pause: FIRST_REDIAL,
            };
            wanted.insert(name, before.unwrap_or(new));
        }
        self.wanted = wanted;
    }

    /// Dials whoever is wanted and not linked.
    pub fn dial(&mut self, now: Uptime, net: &mut Net) {
        for (name, wanted) in &mut self.wanted {
            if wanted.dial.is_some() || self.by_name.contains_key(name) || now < wanted.next {
                continue;
            }
            wanted.next = now + wanted.pause;
            wanted.pause = (wanted.pause * 2).min(MAX_REDIAL);
            match net.dial(now, wanted.addr) {
                Ok(conn) => wanted.dial = Some(conn),
                Err(e) => log::debug!(step = "dial", peer:% = name, error:% = e; "link not opened"),
            }
        }
    }

    /// A link is up. Tells whether an older link with the same peer was replaced. A tool's link
    /// counts for nothing.
    pub fn up(&mut self, conn: ConnId, hello: Hello, net: &mut Net) -> Option<bool> {
        if hello.role == Role::Tool {
            return None;
        }
        let name = hello.node.name.clone();
        if let Some(wanted) = self.wanted.get_mut(&name) {
            wanted.dial = None;
            wanted.pause = FIRST_REDIAL;
        }
        self.by_conn.insert(conn, hello);
        let older = self.by_name.insert(name, conn);
        if let Some(older) = older {
            self.by_conn.swap_remove(&older);
            net.close(older);
        }
        Some(older.is_some())
    }

    /// A link or an attempt at one ended. Returns the peer that is not linked any more.
    pub fn down(&mut self, now: Uptime, conn: ConnId) -> Option<Hello> {
        for wanted in self.wanted.values_mut().filter(|w| w.dial == Some(conn)) {
            wanted.dial = None;
        }
        let hello = self.by_conn.swap_remove(&conn)?;
        if self.by_name.get(&hello.node.name) == Some(&conn) {
            self.by_name.swap_remove(&hello.node.name);
        }
        if let Some(wanted) = self.wanted.get_mut(&hello.node.name) {
            wanted.next = now;
        }
        Some(hello)
    }

    /// Ends the link with a peer.
    pub fn drop_link(&mut self, now: Uptime, name: &Name, net: &mut Net) -> Option<Hello> {
        let conn = self.by_name.get(name).copied()?;
        net.close(conn);
        self.down(now, conn)
    }

    /// The link with a peer.
    pub fn conn(&self, name: &Name) -> Option<ConnId> {
        self.by_name.get(name).copied()
    }

    /// The peer at the other end.
    pub fn peer(&self, conn: ConnId) -> Option<&Hello> {
        self.by_conn.get(&conn)
    }

    /// All linked peers.
    pub fn linked(&self) -> impl Iterator<Item = (&Hello, ConnId)> {
        self.by_conn.iter().map(|(conn, hello)| (hello, *conn))
    }
}
