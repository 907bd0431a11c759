//! Settings files: TOML, checked, with errors that name file, line and reason.

use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};

use rw_core::codec::ClusterKey;
use rw_core::ids::Name;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Shortest cluster secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// What is wrong with a settings file.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A line is wrong.
    #[error("{}:{line}: {reason}", path.display())]
    Line {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// Why, with the field.
        reason: String,
    },
    /// A field's value cannot be used.
    #[error("{}: {field}: {reason}", path.display())]
    Field {
        /// The file.
        path: PathBuf,
        /// The field.
        field: &'static str,
        /// Why.
        reason: String,
    },
}

/// Settings that every daemon has.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The node's name, unique in the cluster.
    pub name: Name,
    /// The failure domain that the node is in.
    pub domain: Name,
    /// Where links are accepted.
    pub link: SocketAddr,
    /// Where others reach `link`, if an address translation or a forwarder stands before it.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Where datagrams are taken.
    pub gossip: SocketAddr,
    /// Where HTTP is served.
    pub http: SocketAddr,
    /// Gossip addresses of nodes to join through: the control nodes, and an entry or two.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The secret that all processes of the cluster share.
    pub cluster_secret: String,
}

/// Log settings.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least level that is written.
    pub level: Level,
    /// Whether lines are JSON.
    pub json: bool,
    /// Whether lines go to standard output, through a bounded buffer that never blocks, in place
    /// of standard error.
    pub stdout: bool,
}

/// Levels of logs.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Only errors.
    Error,
    /// And warnings.
    Warn,
    /// And events of note.
    #[default]
    Info,
    /// And details.
    Debug,
}

/// A settings file that was read.
#[derive(Debug)]
pub struct Loaded<T> {
    /// Where it is.
    pub path: PathBuf,
    /// What it says.
    pub settings: T,
}

/// Reads a settings file.
pub fn load<T>(path: &Path) -> Result<Loaded<T>, SettingsError>
where
    T: DeserializeOwned,
{
    let text = fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.into(),
        source,
    })?;
    let settings = toml::from_str(&text).map_err(|e| line_error(path, &text, &e))?;
    Ok(Loaded {
        path: path.into(),
        settings,
    })
}

fn line_error(path: &Path, text: &str, e: &toml::de::Error) -> SettingsError {
    let start = e.span().map_or(0, |span| span.start);
    let line = text[..start.min(text.len())].lines().count().max(1);
    let reason = e.message().replace('\n', " ");
    SettingsError::Line {
        path: path.into(),
        line,
        reason,
    }
}

impl<T> Loaded<T> {
    /// An error in one field of this file.
    pub fn field(&self, field: &'static str, reason: &dyn std::fmt::Display) -> SettingsError {
        SettingsError::Field {
            path: self.path.clone(),
            field,
            reason: reason.to_string(),
        }
    }

    /// Checks a node's settings and binds its sockets.
    pub fn bind(&self, node: &NodeSettings) -> Result<Bound, SettingsError> {
        self.check_node(node)?;
        let link = TcpListener::bind(node.link).map_err(|e| self.field("node.link", &e))?;
        let gossip = UdpSocket::bind(node.gossip).map_err(|e| self.field("node.gossip", &e))?;
        let http = TcpListener::bind(node.http).map_err(|e| self.field("node.http", &e))?;
        drop(http);
        Ok(Bound {
            link,
            gossip,
            key: ClusterKey::new(&node.cluster_secret),
        })
    }

    /// Checks what all daemons share.
    pub fn check_node(&self, node: &NodeSettings) -> Result<(), SettingsError> {
        if node.cluster_secret.len() < MIN_SECRET_BYTES {
            let reason = format!("must have at least {MIN_SECRET_BYTES} bytes");
            return Err(self.field("node.cluster_secret", &reason));
        }
        for (field, value) in [("node.name", &node.name), ("node.domain", &node.domain)] {
            if value.is_empty() {
                return Err(self.field(field, &"must not be empty"));
            }
        }
        Ok(())
    }
}

impl Bound {
    /// Binds a node's sockets.
    pub fn of(node: &NodeSettings) -> std::io::Result<Self> {
        Ok(Self {
            link: TcpListener::bind(node.link)?,
            gossip: UdpSocket::bind(node.gossip)?,
            key: ClusterKey::new(&node.cluster_secret),
        })
    }
}

/// A node's bound sockets and its key.
#[derive(Debug)]
pub struct Bound {
    /// For links.
    pub link: TcpListener,
    /// For datagrams.
    pub gossip: UdpSocket,
    /// The cluster's key.
    pub key: ClusterKey,
}
