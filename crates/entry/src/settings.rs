//! Settings of an entry.

use rw_core::dispatcher::Policy;
use rw_host::settings::{LogSettings, NodeSettings};
use serde::Deserialize;

/// The settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The node.
    pub node: NodeSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// The entry itself.
    #[serde(default)]
    pub entry: EntrySettings,
    /// Switches of the dispatch policy, for measurements.
    #[serde(default)]
    pub policy: Policy,
}

/// The entry's own settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntrySettings {
    /// Callers that may wait at once; more are refused.
    pub max_callers: usize,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self { max_callers: 1024 }
    }
}
