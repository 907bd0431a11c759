//! Start-up that the daemons share: membership, links, signals and one event channel.

use std::io;
use std::sync::Arc;

use flume::{Receiver, Sender};
use rw_core::codec::ClusterKey;
use rw_core::msg::Role;

use crate::clock;
use crate::cluster::{Cluster, ClusterEvent, ClusterSetup};
use crate::link::{LinkEvent, Linker, spawn};
use crate::program;
use crate::settings::{BoundSockets, NodeSettings};

/// The event type of a daemon's event loop.
pub trait DaemonEvent: Send + 'static {
    /// Wraps a link event.
    fn link(event: LinkEvent) -> Self;
    /// Wraps a cluster event; `None` drops it.
    fn cluster(event: ClusterEvent) -> Option<Self>
    where
        Self: Sized;
    /// Returns the event for the first SIGTERM or SIGINT.
    fn shutdown() -> Self;
}

/// The options with which a daemon is started.
#[derive(Clone, Copy, Debug)]
pub struct DaemonOptions {
    /// The role of the process, announced to the other members.
    pub role: Role,
    /// Whether the process fetches newer configurations from other members.
    pub fetches_config: bool,
    /// Capacity of the event channel, in events; senders block while it is full.
    pub event_capacity: usize,
    /// Maximum number of incoming links that have not proved the key yet.
    pub max_unproven_links: usize,
}

/// The parts of a started daemon.
#[derive(Debug)]
pub struct Daemon<E> {
    /// The cluster membership of this process.
    pub cluster: Cluster,
    /// Opens further links with the same key, identity and event channel.
    pub linker: Linker,
    /// The key that authenticates frames and datagrams.
    pub key: ClusterKey,
    /// The sending half of the event channel.
    pub tx: Sender<E>,
    /// The receiving half, for the event loop.
    pub rx: Receiver<E>,
}

/// Starts membership, accepts links and watches signals; their events arrive at `rx`. Fails if a
/// socket or the signal handler cannot be set up.
pub fn start<E>(
    bound: BoundSockets,
    node: &NodeSettings,
    options: DaemonOptions,
) -> io::Result<Daemon<E>>
where
    E: DaemonEvent,
{
    let (tx, rx) = flume::bounded::<E>(options.event_capacity);
    let cluster_tx = tx.clone();
    let setup = ClusterSetup {
        node: node.clone(),
        role: options.role,
        incarnation: clock::wall().0,
        fetches_config: options.fetches_config,
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
    linker.accept_within(bound.link, options.max_unproven_links);
    let signal = program::shutdown_signal()?;
    let shutdown_tx = tx.clone();
    spawn("shutdown", move || {
        if signal.recv().is_ok() {
            let _ = shutdown_tx.send(E::shutdown());
        }
    });
    log::info!(node:% = node.name, role:? = options.role, link:% = node.link, http:% = node.http; "started");
    Ok(Daemon {
        cluster,
        linker,
        key: bound.key,
        tx,
        rx,
    })
}
