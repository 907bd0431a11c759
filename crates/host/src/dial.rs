//! Maintains outgoing links to a changing set of members, with one thread for each member.

use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use indexmap::IndexSet;
use rw_core::ids::Name;
use rw_core::members::MemberState;

use crate::cluster::Cluster;
use crate::link::{Linker, spawn};

/// Pause between the end of a link, or a failed attempt, and the next attempt.
const REDIAL_DELAY: Duration = Duration::from_millis(200);

/// Dials each target member from its own thread until the member is removed from the targets.
#[derive(Clone, Debug)]
pub struct Dialer {
    cluster: Cluster,
    linker: Linker,
    targets: Arc<Mutex<IndexSet<Name>>>,
    active: Arc<Mutex<IndexSet<Name>>>,
}

impl Dialer {
    /// Returns a dialer without targets.
    pub fn new(cluster: Cluster, linker: Linker) -> Self {
        Self {
            cluster,
            linker,
            targets: Arc::default(),
            active: Arc::default(),
        }
    }

    /// Replaces the set of members to keep links to and starts a thread for each new one. A link to
    /// a removed member is not closed, but is not opened again once it ends.
    pub fn set_targets(&self, names: Vec<Name>) {
        let mut targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        *targets = names.into_iter().collect();
        let mut active = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        for name in targets
            .iter()
            .filter(|name| !active.contains(*name))
            .cloned()
            .collect::<Vec<_>>()
        {
            active.insert(name.clone());
            let dialer = self.clone();
            spawn("dial", move || dialer.maintain_link(&name));
        }
    }

    /// Removes a member that is no longer a target from the active ones; returns whether it did.
    /// Takes the locks in the same order as [`Self::set_targets`].
    fn remove_if_not_target(&self, name: &Name) -> bool {
        let targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        if targets.contains(name) {
            return false;
        }
        self.active
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .swap_remove(name)
    }

    fn maintain_link(&self, name: &Name) {
        loop {
            let members = self.cluster.members();
            let member = members.iter().find(|m| m.node.name == *name);
            if let Some(member) = member.filter(|m| m.state != MemberState::Dead) {
                self.linker.dial(member.link);
            }
            thread::sleep(REDIAL_DELAY);
            if self.remove_if_not_target(name) {
                return;
            }
        }
    }
}
