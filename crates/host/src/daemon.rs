//! What every daemon starts with: its part in the cluster, its links, its signals, one event channel.

use std::io;
use std::sync::Arc;

use flume::{Receiver, Sender};
use rw_core::codec::ClusterKey;
use rw_core::msg::Role;

use crate::clock;
use crate::cluster::{Cluster, ClusterEvent, ClusterSetup};
use crate::link::{LinkEvent, Linker, spawn};
use crate::program;
use crate::settings::{Bound, NodeSettings};

/// The events that a daemon's main duty is fed with.
pub trait DaemonEvent: Send + 'static {
    /// Something happened on a link.
    fn link(event: LinkEvent) -> Self;
    /// Something changed in the cluster; `None` when the daemon does not care.
    fn cluster(event: ClusterEvent) -> Option<Self>
    where
        Self: Sized;
    /// The first signal to end.
    fn shutdown() -> Self;
}

/// How a daemon takes part.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// What it is.
    pub role: Role,
    /// Whether it fetches the configuration from others.
    pub follows: bool,
    /// Events that may wait.
    pub queue: usize,
}

/// A daemon's running adapters.
#[derive(Debug)]
pub struct Daemon<E> {
    /// Its part in the cluster.
    pub cluster: Cluster,
    /// Its links.
    pub linker: Linker,
    /// The cluster's key.
    pub key: ClusterKey,
    /// Where events go.
    pub tx: Sender<E>,
    /// Where the main duty takes them.
    pub rx: Receiver<E>,
}

/// Starts the adapters.
pub fn start<E>(bound: Bound, node: &NodeSettings, part: Part) -> io::Result<Daemon<E>>
where
    E: DaemonEvent,
{
    let (tx, rx) = flume::bounded::<E>(part.queue);
    let cluster_tx = tx.clone();
    let setup = ClusterSetup {
        node: node.clone(),
        role: part.role,
        incarnation: clock::wall().0,
        follows: part.follows,
        sink: Arc::new(move |event| {
            if let Some(event) = E::cluster(event) {
                let _ = cluster_tx.send(event);
            }
        }),
    };
    let link_tx = tx.clone();
    let linker = Linker {
        key: bound.key.clone(),
        hello: setup.hello(),
        sink: Arc::new(move |event| drop(link_tx.send(E::link(event)))),
    };
    let cluster = setup.start(&bound)?;
    linker.accept(bound.link);
    let signal = program::shutdown_signal()?;
    let shutdown_tx = tx.clone();
    spawn("shutdown", move || {
        if signal.recv().is_ok() {
            let _ = shutdown_tx.send(E::shutdown());
        }
    });
    log::info!(node:% = node.name, role:? = part.role, link:% = node.link, http:% = node.http; "started");
    Ok(Daemon {
        cluster,
        linker,
        key: bound.key,
        tx,
        rx,
    })
}
