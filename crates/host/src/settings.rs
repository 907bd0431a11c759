//! Settings files in TOML, with errors that name the file, the line or field, and the reason.

use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};

use rw_core::codec::ClusterKey;
use rw_core::ids::Name;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Minimum length of the cluster secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// Maximum length of a node's name and of its failure domain, in bytes.
const MAX_NAME_BYTES: usize = 255;

/// An error in a settings file.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not valid TOML or does not match the expected structure.
    #[error("{}:{line}: {reason}", path.display())]
    Line {
        /// The file.
        path: PathBuf,
        /// The line number, counted from 1.
        line: usize,
        /// The parser's message on one line.
        reason: String,
    },
    /// A field has an invalid value, or an address that cannot be bound.
    #[error("{}: {field}: {reason}", path.display())]
    Field {
        /// The file.
        path: PathBuf,
        /// The dotted path of the field, such as `node.name`.
        field: &'static str,
        /// The reason why the value is invalid.
        reason: String,
    },
}

/// Settings of the node, common to all daemons.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The node's name, unique in the cluster.
    pub name: Name,
    /// The failure domain that the node is in.
    pub domain: Name,
    /// The TCP address on which links are accepted.
    pub link: SocketAddr,
    /// The address at which other members reach `link`, if it differs because of address
    /// translation or a forwarder. Defaults to `link`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// The UDP address for gossip.
    pub gossip: SocketAddr,
    /// The TCP address on which HTTP is served.
    pub http: SocketAddr,
    /// Gossip addresses of the nodes through which this one joins: the control nodes, and an entry
    /// or two.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The secret shared by all processes of the cluster, at least 16 bytes.
    pub cluster_secret: String,
}

/// What the machine grants one process. `None` where it is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineLimits {
    /// Memory in MiB.
    pub memory_mb: Option<u32>,
    /// Number of file descriptors.
    pub file_descriptors: Option<u32>,
    /// Share of a processor core.
    pub cpu_share: Option<f64>,
    /// Bandwidth of its network link in Mbit/s.
    pub link_mbps: Option<f64>,
}

/// Settings of the logger.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The least severe level that is written.
    pub level: Level,
    /// Whether lines are written as JSON.
    pub json: bool,
    /// Whether lines go to standard output instead of standard error, through a bounded buffer that
    /// drops lines rather than block.
    pub stdout: bool,
}

/// Log levels, from the most severe.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Only errors.
    Error,
    /// Warnings and errors.
    Warn,
    /// Also normal events such as a start or a new configuration.
    #[default]
    Info,
    /// Also details for debugging.
    Debug,
}

/// The parsed contents of a settings file.
#[derive(Debug)]
pub struct Loaded<T> {
    /// Path of the file, for error messages.
    pub path: PathBuf,
    /// The parsed settings.
    pub settings: T,
}

/// Reads and parses a settings file.
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
    /// Returns an error for one field of this file.
    pub fn field_error(
        &self,
        field: &'static str,
        reason: &dyn std::fmt::Display,
    ) -> SettingsError {
        SettingsError::Field {
            path: self.path.clone(),
            field,
            reason: reason.to_string(),
        }
    }

    /// Checks a node's settings and binds its link and gossip sockets. The HTTP address is only
    /// tested and left free for the HTTP server.
    pub fn bind(&self, node: &NodeSettings) -> Result<BoundSockets, SettingsError> {
        self.check_node(node)?;
        let link = TcpListener::bind(node.link).map_err(|e| self.field_error("node.link", &e))?;
        let gossip =
            UdpSocket::bind(node.gossip).map_err(|e| self.field_error("node.gossip", &e))?;
        let http = TcpListener::bind(node.http).map_err(|e| self.field_error("node.http", &e))?;
        drop(http);
        Ok(BoundSockets {
            link,
            gossip,
            key: ClusterKey::new(&node.cluster_secret),
        })
    }

    /// Checks that the cluster secret is long enough and that the node's name and domain are neither
    /// empty nor too long for the member list.
    pub fn check_node(&self, node: &NodeSettings) -> Result<(), SettingsError> {
        if node.cluster_secret.len() < MIN_SECRET_BYTES {
            let reason = format!("must be at least {MIN_SECRET_BYTES} bytes long");
            return Err(self.field_error("node.cluster_secret", &reason));
        }
        for (field, value) in [("node.name", &node.name), ("node.domain", &node.domain)] {
            if value.is_empty() {
                return Err(self.field_error(field, &"must not be empty"));
            }
            if value.len() > MAX_NAME_BYTES {
                let reason = format!("must have at most {MAX_NAME_BYTES} bytes");
                return Err(self.field_error(field, &reason));
            }
        }
        Ok(())
    }
}

impl BoundSockets {
    /// Binds a node's link and gossip sockets without checking its settings.
    pub fn bind(node: &NodeSettings) -> std::io::Result<Self> {
        Ok(Self {
            link: TcpListener::bind(node.link)?,
            gossip: UdpSocket::bind(node.gossip)?,
            key: ClusterKey::new(&node.cluster_secret),
        })
    }
}

/// A node's bound sockets and the cluster's key.
#[derive(Debug)]
pub struct BoundSockets {
    /// Accepts links.
    pub link: TcpListener,
    /// Sends and receives gossip datagrams.
    pub gossip: UdpSocket,
    /// The key derived from the cluster secret.
    pub key: ClusterKey,
}
