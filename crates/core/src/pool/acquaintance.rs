//! Whether an entry that has started, or stood still, has heard which jobs the other entries run.
//!
//! Until then it does not know whether a job that comes to it runs elsewhere.

use std::time::Duration;

use indexmap::IndexSet;

use super::Uptime;
use crate::ids::Name;

/// Maximum time for which an entry waits for the others. An entry that is listed as alive may have
/// ended, or be cut off, just before.
pub const ACQUAINTANCE_LIMIT: Duration = Duration::from_secs(1);

/// What an entry has heard of the others since it started or woke.
#[derive(Clone, Debug)]
pub struct Acquaintance {
    /// When the entry started or woke.
    since: Uptime,
    /// Whether the entry woke, so that callers reach it already, and jobs may still be held for that.
    holds_jobs: bool,
    /// Whether the member list is known.
    members_known: bool,
    /// Entries whose present link came up since then.
    linked: IndexSet<Name>,
    /// Those of them that have announced their jobs on it.
    heard: IndexSet<Name>,
    complete: bool,
}

impl Acquaintance {
    /// Begins with an entry that has just started.
    pub fn at_start(now: Uptime) -> Self {
        Self {
            since: now,
            holds_jobs: false,
            members_known: false,
            linked: IndexSet::new(),
            heard: IndexSet::new(),
            complete: false,
        }
    }

    /// Begins anew with an entry that has stood still and closes all its links.
    pub fn at_wake(now: Uptime) -> Self {
        Self {
            holds_jobs: true,
            members_known: true,
            ..Self::at_start(now)
        }
    }

    /// Records that the member list is known.
    pub fn members_known(&mut self) {
        self.members_known = true;
    }

    /// Handles a new link to another entry.
    pub fn link_up(&mut self, entry: &Name) {
        self.heard.swap_remove(entry);
        self.linked.insert(entry.clone());
    }

    /// Handles the loss of the link to another entry.
    pub fn link_down(&mut self, entry: &Name) {
        self.linked.swap_remove(entry);
        self.heard.swap_remove(entry);
    }

    /// Handles an announcement of jobs. The first one on a link holds all jobs of the entry.
    pub fn on_announcement(&mut self, entry: &Name) {
        if self.linked.contains(entry) {
            self.heard.insert(entry.clone());
        }
    }

    /// Returns whether the jobs of all `live` entries are known, or the others are not waited for any
    /// longer.
    pub fn is_complete(&mut self, now: Uptime, live: &IndexSet<Name>) -> bool {
        let all_heard = self.members_known && live.is_subset(&self.heard);
        self.complete |= all_heard || now >= self.since + ACQUAINTANCE_LIMIT;
        self.complete
    }

    /// Returns the time since the entry started or woke, and the number of `live` entries that it has
    /// not heard from.
    pub fn progress(&self, now: Uptime, live: &IndexSet<Name>) -> (Duration, usize) {
        let unheard = live.difference(&self.heard).count();
        (now.saturating_sub(self.since), unheard)
    }

    /// Returns whether jobs have to wait. An entry that starts takes none until it is acquainted.
    pub fn holds_jobs(&mut self, now: Uptime, live: &IndexSet<Name>) -> bool {
        self.holds_jobs && !self.is_complete(now, live)
    }

    /// Returns whether the jobs held until now are to be released; once for each time that the entry
    /// woke.
    pub fn releases_jobs(&mut self, now: Uptime, live: &IndexSet<Name>) -> bool {
        let releases = self.holds_jobs && self.is_complete(now, live);
        self.holds_jobs &= !releases;
        releases
    }
}
