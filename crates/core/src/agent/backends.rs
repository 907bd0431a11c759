//! Backend servers as an agent knows them.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::ids::Name;
use crate::job::Needs;

/// What a backend server says of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Its name, unique on its VM.
    pub name: Name,
    /// Where it takes tasks, such as `http://127.0.0.1:9000`.
    pub url: Name,
    /// The services that it serves.
    pub services: Vec<Name>,
    /// Tasks that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Its size.
    #[serde(default)]
    pub size: Needs,
    /// Whether it is leaving: it finishes what runs and gets nothing new.
    #[serde(default)]
    pub leaving: bool,
}

#[derive(Debug)]
pub(super) struct Backend {
    pub(super) announced: Announcement,
    pub(super) lease_until: Instant,
    pub(super) busy: u32,
}

impl Backend {
    /// Slots that it offers now.
    pub(super) fn slots(&self) -> u32 {
        if self.announced.leaving {
            0
        } else {
            self.announced.slots.min(self.announced.connections)
        }
    }

    pub(super) fn can_run(&self, service: &Name) -> bool {
        self.busy < self.slots() && self.announced.services.contains(service)
    }
}

/// The least size that covers both.
pub(super) fn largest(a: Needs, b: Needs) -> Needs {
    Needs {
        cores: a.cores.max(b.cores),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators: a.accelerators.max(b.accelerators),
    }
}
