//! Backend servers that have announced themselves to an agent.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::ids::Name;
use crate::job::Resources;

/// A backend server's announcement of itself to the agent on its VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the backend server, unique on its VM.
    pub name: Name,
    /// URL that it accepts tasks at, such as `http://127.0.0.1:9000`.
    pub url: Name,
    /// Names of the services that it serves.
    pub services: Vec<Name>,
    /// Number of tasks that it runs at once.
    pub slots: u32,
    /// Number of connections that it accepts at once; no more slots than this are used.
    pub connections: u32,
    /// Resources that it has for a task; zero in all fields if it states none.
    #[serde(default)]
    pub size: Resources,
    /// Whether it is leaving: running tasks finish, and it gets no new ones.
    #[serde(default)]
    pub leaving: bool,
}

/// A known backend server.
#[derive(Debug)]
pub(super) struct Backend {
    pub(super) announced: Announcement,
    pub(super) lease_until: Instant,
    /// Number of slots in use.
    pub(super) busy: u32,
}

impl Backend {
    /// Returns the number of slots that it offers, whether in use or not.
    pub(super) fn slots(&self) -> u32 {
        if self.announced.leaving {
            0
        } else {
            self.announced.slots.min(self.announced.connections)
        }
    }

    /// Returns whether a slot for this service is free.
    pub(super) fn can_run(&self, service: &Name) -> bool {
        self.busy < self.slots() && self.announced.services.contains(service)
    }
}

/// Returns the larger value of each resource.
pub(super) fn fieldwise_max(a: Resources, b: Resources) -> Resources {
    Resources {
        cores: a.cores.max(b.cores),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators: a.accelerators.max(b.accelerators),
    }
}
