//! Settings of an agent.

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
    /// The agent itself.
    #[serde(default)]
    pub agent: AgentSettings,
}

/// The agent's own settings.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AgentSettings {
    /// Baseline for measurements: tasks wait in a queue here instead of at the entry.
    pub queue_here: bool,
}
