//! Settings of a control node.

use std::net::SocketAddr;
use std::path::PathBuf;

use indexmap::IndexMap;
use rw_core::ids::Name;
use rw_host::settings::{LogSettings, NodeSettings};
use serde::Deserialize;

/// Contents of the settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Settings that all daemons have in common.
    pub node: NodeSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// Settings specific to a control node.
    pub control: ControlSettings,
}

/// Settings specific to a control node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Existing directory that holds all files of the node.
    pub data: PathBuf,
    /// Link addresses of all control nodes, including this one, by name.
    pub peers: IndexMap<Name, SocketAddr>,
    /// Blake3 hashes of the operators' tokens, in hexadecimal.
    pub operator_token_hashes: Vec<String>,
}
