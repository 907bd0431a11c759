//! Settings file of an entry.

use rw_core::dispatcher::Policy;
use rw_host::settings::{LogSettings, NodeSettings};
use serde::Deserialize;

/// The contents of the settings file. Unknown keys are an error.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name, addresses and cluster membership of the node.
    pub node: NodeSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// Settings that only entries have.
    #[serde(default)]
    pub entry: EntrySettings,
    /// Scheduling policy. Single rules can be switched off to measure their effect.
    #[serde(default)]
    pub policy: Policy,
}

/// Settings that only entries have.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntrySettings {
    /// Maximum number of callers that wait for an answer at the same time; further ones are
    /// refused. Up to twice as many HTTP connections may be open.
    pub max_callers: usize,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self { max_callers: 1024 }
    }
}
