//! Keeps links to a changing set of members.

use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use indexmap::IndexSet;
use rw_core::ids::Name;
use rw_core::members::MemberState;

use crate::cluster::Cluster;
use crate::link::{Linker, spawn};

/// Time between two attempts to link with one member.
const REDIAL_AFTER: Duration = Duration::from_millis(200);

/// Dials members, each in a thread of its own, for as long as they are wanted.
#[derive(Clone, Debug)]
pub struct Dialer {
    cluster: Cluster,
    linker: Linker,
    wanted: Arc<Mutex<IndexSet<Name>>>,
    dialled: Arc<Mutex<IndexSet<Name>>>,
}

impl Dialer {
    /// A dialer without members.
    pub fn new(cluster: Cluster, linker: Linker) -> Self {
        Self {
            cluster,
            linker,
            wanted: Arc::default(),
            dialled: Arc::default(),
        }
    }

    /// Sets the members to keep links to.
    pub fn want(&self, names: Vec<Name>) {
        let mut wanted = self.wanted.lock().unwrap_or_else(PoisonError::into_inner);
        *wanted = names.into_iter().collect();
        let mut dialled = self.dialled.lock().unwrap_or_else(PoisonError::into_inner);
        for name in wanted
            .iter()
            .filter(|name| !dialled.contains(*name))
            .cloned()
            .collect::<Vec<_>>()
        {
            dialled.insert(name.clone());
            let dialer = self.clone();
            spawn("dial", move || dialer.keep(&name));
        }
    }

    /// Locks in the same order as [`Self::want`].
    fn forget_unwanted(&self, name: &Name) -> bool {
        let wanted = self.wanted.lock().unwrap_or_else(PoisonError::into_inner);
        if wanted.contains(name) {
            return false;
        }
        self.dialled
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .swap_remove(name)
    }

    fn keep(&self, name: &Name) {
        loop {
            let members = self.cluster.members();
            let member = members.iter().find(|m| m.node.name == *name);
            if let Some(member) = member.filter(|m| m.state != MemberState::Dead) {
                self.linker.dial(member.link);
            }
            thread::sleep(REDIAL_AFTER);
            if self.forget_unwanted(name) {
                return;
            }
        }
    }
}
