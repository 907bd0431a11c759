//! Settings file of an agent.

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
    /// Settings that only agents have.
    #[serde(default)]
    pub agent: AgentSettings,
}

/// Settings that only agents have.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AgentSettings {
    /// Whether tasks wait in a queue at the agent instead of at the entry. Serves as a baseline in
    /// measurements; off by default.
    pub queue_here: bool,
}
