//! Start-up that the daemons for pooled jobs share: membership, signals, and an event loop that
//! runs on the main thread.

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
use crate::net::budget::StrangerLimits;
use crate::net::{Accepts, HttpResponse, Net};
use crate::settings::NodeSettings;
use crate::{logging, metrics};

/// Capacity of the channel of events from other threads; senders block while it is full.
const EVENT_CAPACITY: usize = 1024;
/// The tag of the HTTP listener for metrics.
pub const METRICS_TAG: u8 = 255;

/// Settings that are applied without a restart when the settings file is read again.
#[derive(Clone, Debug, PartialEq)]
pub struct ReloadableSettings {
    /// Gossip addresses through which members are discovered.
    pub seeds: Vec<SocketAddr>,
}

/// An event that another thread sends to the main thread.
#[derive(Debug)]
pub enum ThreadEvent {
    /// The configuration or the member list changed.
    Cluster(ClusterEvent),
    /// SIGTERM or SIGINT arrived for the first time.
    Shutdown,
    /// SIGHUP arrived: the settings file is to be read again.
    Reload,
}

/// The parts of a started daemon for pooled jobs.
#[derive(Debug)]
pub struct PooledDaemon {
    /// The cluster membership of this process.
    pub cluster: Cluster,
    /// The event loop, with the listeners for links and metrics bound.
    pub net: Net,
    /// Events from other threads; the event loop is woken for each.
    pub rx: Receiver<ThreadEvent>,
}

/// Starts membership and signal handling, and sets up the event loop with these limits on strangers.
/// Fails if a socket cannot be bound or the signal handler cannot be set up.
pub fn start(node: &NodeSettings, role: Role, limits: StrangerLimits) -> io::Result<PooledDaemon> {
    let key = ClusterKey::new(&node.cluster_secret);
    let (tx, rx) = flume::bounded(EVENT_CAPACITY);
    let gossip = UdpSocket::bind(node.gossip)?;
    let waker: Arc<std::sync::OnceLock<Arc<Waker>>> = Arc::default();
    let sink = {
        let (tx, waker) = (tx.clone(), waker.clone());
        Arc::new(move |event| notify(&tx, waker.get(), ThreadEvent::Cluster(event)))
    };
    let setup = ClusterSetup {
        node: node.clone(),
        role,
        incarnation: clock::wall().0,
        fetches_config: true,
        sink,
    };
    let (mut net, wake) = Net::new(key.clone(), setup.hello(), limits.all_conns)?;
    net.set_stranger_limits(limits);
    let _ = waker.set(wake.clone());
    net.listen(node.link, Accepts::Links)?;
    net.listen(node.http, Accepts::Http(METRICS_TAG))?;
    let cluster = setup.start_on_socket(gossip, key)?;
    watch_signals(tx, wake)?;
    log::info!(node:% = node.name, role:? = role, domain:% = node.domain, link:% = node.link,
        version = env!("CARGO_PKG_VERSION"); "started");
    Ok(PooledDaemon { cluster, net, rx })
}

fn notify(tx: &Sender<ThreadEvent>, waker: Option<&Arc<Waker>>, event: ThreadEvent) {
    if tx.send(event).is_err() {
        return;
    }
    if let Some(waker) = waker
        && let Err(e) = waker.wake()
    {
        log::error!(step = "wake", error:% = e; "cannot wake the main thread");
    }
}

fn watch_signals(tx: Sender<ThreadEvent>, waker: Arc<Waker>) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    spawn("signals", move || {
        let mut shutting_down = false;
        for signal in signals.forever() {
            if signal == SIGHUP {
                notify(&tx, Some(&waker), ThreadEvent::Reload);
                continue;
            }
            if shutting_down {
                logging::flush();
                std::process::exit(130);
            }
            shutting_down = true;
            notify(&tx, Some(&waker), ThreadEvent::Shutdown);
        }
    });
    Ok(())
}

/// Returns the reply to a request that another process sent on a link.
pub fn answer_ask(cluster: &Cluster, ask: &Ask) -> AskReply {
    match ask {
        Ask::Sync { revision } => cluster.sync_reply(*revision),
        Ask::Seal { .. } => AskReply::Unsupported,
    }
}

/// Returns a 200 response with all metrics in the Prometheus text format.
pub fn metrics_response() -> HttpResponse {
    HttpResponse::with_body(
        200,
        "text/plain; version=0.0.4",
        metrics::render().into_bytes(),
    )
}

/// Returns the addresses separated by commas, for log fields.
pub fn join_addrs(addrs: &[SocketAddr]) -> String {
    let texts: Vec<String> = addrs.iter().map(ToString::to_string).collect();
    texts.join(",")
}
