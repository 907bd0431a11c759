//! The event loop's account of what strangers hold, and the closing of connections beyond it.

use std::time::Duration;

use rw_core::pool::Uptime;

use super::budget::{StrangerLimits, victims};
use super::conn::{Conn, ConnKind};
use super::{ConnId, Net, NetEvent};
use crate::metrics;

/// Part of the budget for requests that are delivered at once; others are read after these are
/// handled.
const DELIVERED_SHARE: usize = 4;
/// Part of a limit that is freed when the limit is exceeded, so that the connections are not searched
/// for each new one.
const FREED_SHARE: usize = 32;
/// Number of strangers that may connect however many links are open.
const MIN_STRANGERS: usize = 4;
/// Minimum time between two log lines about closed connections.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What strangers hold.
pub(super) struct Strangers {
    pub(super) limits: StrangerLimits,
    /// Bytes that connections hold, as of when each was last settled.
    pub(super) bytes: usize,
    /// Bytes of the requests that were delivered since the last poll began.
    pub(super) delivered: usize,
    /// Connections that were not accepted.
    pub(super) refused: u64,
    /// Connections closed since the last log line.
    closed: u64,
    reported_at: Uptime,
}

impl Strangers {
    pub(super) fn new(limits: StrangerLimits) -> Self {
        Self {
            limits,
            bytes: 0,
            delivered: 0,
            refused: 0,
            closed: 0,
            reported_at: Uptime::ZERO,
        }
    }

    /// Returns whether reading from a connection pauses: until the requests delivered so far are
    /// handled, or, while half of the budget is used, until its own request is.
    pub(super) fn pauses(&self, conn: &Conn) -> bool {
        conn.is_stranger()
            && (self.delivered > self.limits.bytes / DELIVERED_SHARE
                || conn.is_serving() && self.bytes > self.limits.bytes / 2)
    }

    /// Takes a connection that ends off the account.
    pub(super) fn release(&mut self, conn: &Conn) {
        self.bytes -= conn.charged;
    }

    /// Counts a connection that is closed.
    pub(super) fn count(&mut self, conn: &Conn, cause: &str) {
        if conn.is_stranger() {
            self.closed += 1;
            let door = door(conn.kind);
            let counter = &metrics::STRANGERS_CLOSED;
            counter.with_label_values(&[&door, cause]).inc();
        }
    }

    /// Logs how many connections were closed, at most once a second.
    pub(super) fn report(&mut self, now: Uptime) {
        if self.closed > 0 && now >= self.reported_at + REPORT_INTERVAL {
            log::warn!(closed = self.closed, bytes = self.bytes, max_bytes = self.limits.bytes;
                "connections closed: too slow, or no room for more");
            self.closed = 0;
            self.reported_at = now;
        }
    }
}

/// Returns the label of a door: the tag of its listener, or `link`.
fn door(kind: ConnKind) -> String {
    match kind {
        ConnKind::Http(tag) => format!("http-{tag}"),
        ConnKind::Calls => "calls".into(),
        ConnKind::Link => "link".into(),
    }
}

impl Net {
    /// Updates the account for a connection and closes others, or this one, while it is exceeded.
    pub(super) fn settle(&mut self, now: Uptime, id: ConnId, out: &mut Vec<NetEvent>) {
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        let held = if conn.is_stranger() {
            conn.held_bytes()
        } else {
            0
        };
        self.strangers.bytes = self.strangers.bytes - conn.charged + held;
        conn.charged = held;
        let limit = self.strangers.limits.bytes;
        if self.strangers.bytes > limit {
            let excess = self.strangers.bytes - limit + limit / FREED_SHARE;
            self.close_strangers(now, excess, 0, "memory", out);
        }
    }

    /// Returns whether room for a new connection has to be made, and there is a connection that would
    /// be closed for it before its input was looked at.
    pub(super) fn has_unheard_conn_when_full(&self) -> bool {
        self.conns.len() >= self.strangers.limits.conns
            && self
                .conns
                .values()
                .any(|conn| conn.is_stranger() && !conn.heard)
    }

    /// Returns whether a new connection may be accepted, if need be after closing others.
    pub(super) fn make_room_for_conn(&mut self, now: Uptime, out: &mut Vec<NetEvent>) -> bool {
        let limits = self.strangers.limits;
        if self.conns.len() < limits.conns {
            return true;
        }
        let strangers = self.conns.values().filter(|conn| conn.is_stranger());
        let strangers = strangers.count();
        // However many links there are, some callers are served.
        let has_room = strangers < limits.conns && self.conns.len() < limits.all_conns;
        if has_room || strangers < MIN_STRANGERS {
            return true;
        }
        let freed = 1 + limits.conns / FREED_SHARE;
        if self.close_strangers(now, 0, freed, "connections", out) {
            return true;
        }
        self.strangers.refused += 1;
        false
    }

    /// Closes strangers' connections until this much is free. Returns whether any was closed.
    fn close_strangers(
        &mut self,
        now: Uptime,
        bytes: usize,
        conns: usize,
        cause: &'static str,
        out: &mut Vec<NetEvent>,
    ) -> bool {
        let strangers = self.conns.iter().filter(|(_, conn)| conn.is_stranger());
        let holdings = strangers.map(|(id, conn)| conn.holding(*id));
        let victims = victims(now, holdings, bytes, conns);
        for id in &victims {
            if let Some(conn) = self.conns.get_mut(id) {
                conn.refuse_for_lack_of_room();
                self.strangers.count(conn, cause);
            }
            self.finish(*id, out);
        }
        !victims.is_empty()
    }
}
