//! Settings of a control node.

use std::net::SocketAddr;
use std::path::PathBuf;

use indexmap::IndexMap;
use rw_core::ids::Name;
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
    /// The control node itself.
    pub control: ControlSettings,
}

/// The control node's own settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The folder that holds all files.
    pub data: PathBuf,
    /// Link addresses of all control nodes by name, this one included.
    pub peers: IndexMap<Name, SocketAddr>,
    /// Blake3 hashes of the operators' tokens, in hexadecimal.
    pub operator_token_hashes: Vec<String>,
}
