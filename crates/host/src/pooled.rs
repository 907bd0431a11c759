//! What the daemons of pooled work start with: membership, signals, sockets on one thread.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use flume::{Receiver, Sender};
use mio::Waker;
use rw_core::codec::ClusterKey;
use rw_core::msg::{Ask, AskReply, Role};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::clock;
use crate::cluster::{Cluster, ClusterEvent, ClusterSetup};
use crate::link::spawn;
use crate::net::{Accepts, HttpResponse, Net};
use crate::settings::NodeSettings;
use crate::{logging, metrics};

/// Events of other threads that may wait.
const QUEUE: usize = 1024;
/// The mark of the listener for metrics.
pub const METRICS: u8 = 255;

/// Settings of the daemon that may change while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Reloaded {
    /// Addresses through which unknown members are found.
    pub seeds: Vec<SocketAddr>,
}

/// What other threads tell the main one.
#[derive(Debug)]
pub enum Outside {
    /// Something changed in the cluster.
    Cluster(ClusterEvent),
    /// The process is to end.
    Shutdown,
    /// The settings file should be read again.
    Reload,
}

/// A pooled daemon's adapters.
#[derive(Debug)]
pub struct Started {
    /// Its part in the cluster.
    pub cluster: Cluster,
    /// Its sockets, with links and metrics listened to.
    pub net: Net,
    /// What other threads tell.
    pub rx: Receiver<Outside>,
}

/// Starts membership, signals and sockets.
pub fn start(node: &NodeSettings, role: Role, max_conns: usize) -> io::Result<Started> {
    let key = ClusterKey::new(&node.cluster_secret);
    let (tx, rx) = flume::bounded(QUEUE);
    let gossip = UdpSocket::bind(node.gossip)?;
    let waker: Arc<std::sync::OnceLock<Arc<Waker>>> = Arc::default();
    let sink = {
        let (tx, waker) = (tx.clone(), waker.clone());
        Arc::new(move |event| tell(&tx, waker.get(), Outside::Cluster(event)))
    };
    let setup = ClusterSetup {
        node: node.clone(),
        role,
        incarnation: clock::wall().0,
        follows: true,
        sink,
    };
    let (mut net, wake) = Net::new(key.clone(), setup.hello(), max_conns)?;
    let _ = waker.set(wake.clone());
    net.listen(node.link, Accepts::Links)?;
    net.listen(node.http, Accepts::Http(METRICS))?;
    let cluster = setup.start_on(gossip, key)?;
    watch_signals(tx, wake)?;
    log::info!(node:% = node.name, role:? = role, domain:% = node.domain, link:% = node.link,
        version = env!("CARGO_PKG_VERSION"); "started");
    Ok(Started { cluster, net, rx })
}

fn tell(tx: &Sender<Outside>, waker: Option<&Arc<Waker>>, event: Outside) {
    if tx.send(event).is_err() {
        return;
    }
    if let Some(waker) = waker
        && let Err(e) = waker.wake()
    {
        log::error!(step = "wake", error:% = e; "main thread not woken");
    }
}

fn watch_signals(tx: Sender<Outside>, waker: Arc<Waker>) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    spawn("signals", move || {
        let mut ending = false;
        for signal in signals.forever() {
            if signal == SIGHUP {
                tell(&tx, Some(&waker), Outside::Reload);
                continue;
            }
            if ending {
                logging::flush();
                std::process::exit(130);
            }
            ending = true;
            tell(&tx, Some(&waker), Outside::Shutdown);
        }
    });
    Ok(())
}

/// Answers a question of another process.
pub fn answer_ask(cluster: &Cluster, ask: &Ask) -> AskReply {
    match ask {
        Ask::Sync { revision } => cluster.told(*revision),
        Ask::Seal { .. } => AskReply::Unsupported,
    }
}

/// All metrics as a response.
pub fn metrics_response() -> HttpResponse {
    HttpResponse::with_body(
        200,
        "text/plain; version=0.0.4",
        metrics::render().into_bytes(),
    )
}

/// Addresses as they are logged.
pub fn list(addrs: &[SocketAddr]) -> String {
    let texts: Vec<String> = addrs.iter().map(ToString::to_string).collect();
    texts.join(",")
}
