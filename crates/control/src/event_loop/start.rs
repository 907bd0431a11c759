//! Start-up of a control node: settings, journal, links and HTTP.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use flume::{Receiver, Sender};
use indexmap::IndexMap;
use rw_core::ids::Name;
use rw_core::journal::Record;
use rw_core::msg::Role;
use rw_core::raft::{Raft, RaftRole, VoterId};
use rw_host::cluster::Cluster;
use rw_host::daemon::{self, Daemon, DaemonOptions};
use rw_host::dial::Dialer;
use rw_host::link::{Linker, MAX_LINKS, spawn};
use rw_host::program::Args;
use rw_host::settings::{self, BoundSockets, Loaded, NodeSettings, SettingsError};
use rw_host::{http, logging};

use super::{
    ADMISSION_LOG_INTERVAL, ControlError, EVENT_CAPACITY, Event, EventLoop, REDIAL_INTERVAL,
};
use crate::api::{self, Api};
use crate::settings::Settings;
use crate::store::{Store, StoreError};

/// Pause between two attempts to open or create the journal.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// One failed attempt in so many is logged.
const LOGGED_ATTEMPTS: u32 = 20;

/// Runs the control node until SIGTERM or SIGINT. With `init`, only creates the journal of a
/// new cluster; with `args.check`, only checks the settings.
pub fn run(args: &Args, init: bool) -> Result<(), ControlError> {
    let loaded = settings::load::<Settings>(&args.settings)?;
    check_settings(&loaded)?;
    let data = loaded.settings.control.data.clone();
    if init {
        let me = new_voter(&loaded.settings.node.name);
        Store::create(&data, &Raft::bootstrap_records(&me))?;
        return Ok(());
    }
    let bound = loaded.bind(&loaded.settings.node)?;
    if args.check {
        println!("{}: ok", args.settings.display());
        return Ok(());
    }
    let Settings { node, log, control } = loaded.settings;
    logging::init(&log);
    let (store, records) = open_journal(&data, &node.name)?;
    let peers = Peering::Fixed(control.peers);
    let hashes = control.operator_token_hashes;
    let started = start(bound, &node, (store, records), hashes, &peers, MAX_LINKS)?;
    let api = started.api;
    http::serve(node.http, api::HTTP_CONNECTIONS, move |req| api.handle(req))?;
    started.event_loop.run(&started.rx)
}

/// How a control node learns of the others.
pub(crate) enum Peering {
    /// From its settings: link addresses of all of them by name. The cluster outlives the loss of any
    /// minority of their disks.
    Fixed(IndexMap<Name, std::net::SocketAddr>),
    /// From the cluster's member list.
    Members {
        /// Number of disks that may be lost at a time.
        tolerated_losses: usize,
    },
}

/// A started control node, whose event loop is not running yet.
pub(crate) struct StartedNode {
    pub(crate) event_loop: EventLoop,
    pub(crate) tx: Sender<Event>,
    /// Events for [`EventLoop::run`].
    pub(crate) rx: Receiver<Event>,
    pub(crate) cluster: Cluster,
    /// The node's own interface, which the caller serves.
    pub(crate) api: Api,
}

/// Starts a control node's links and cluster membership. The caller serves the HTTP API and runs the
/// event loop.
pub(crate) fn start(
    bound: BoundSockets,
    node: &NodeSettings,
    journal: (Store, Vec<Record>),
    operator_token_hashes: Vec<String>,
    peering: &Peering,
    max_unproven_links: usize,
) -> Result<StartedNode, ControlError> {
    let (store, records) = journal;
    let me = find_identity(&records).unwrap_or_else(|| new_voter(&node.name));
    let (allowed, tolerated_losses) = match peering {
        Peering::Fixed(peers) => {
            let tolerated = peers.len().saturating_sub(1) / 2;
            (peers.keys().cloned().collect(), tolerated)
        }
        Peering::Members { tolerated_losses } => (Vec::new(), *tolerated_losses),
    };
    log::info!(tolerated_losses = tolerated_losses; "control node starts");
    let mut raft = Raft::new(me, allowed, records, Instant::now(), fastrand::Rng::new());
    raft.set_tolerated_losses(tolerated_losses);
    let options = DaemonOptions {
        role: Role::Control,
        fetches_config: false,
        event_capacity: EVENT_CAPACITY,
        max_unproven_links,
    };
    let daemon = daemon::start::<Event>(bound, node, options)?;
    let Daemon {
        cluster,
        linker,
        tx,
        rx,
        ..
    } = daemon;
    let dialer = match peering {
        Peering::Fixed(peers) => {
            dial_peers_after(&linker, &node.name, peers);
            None
        }
        Peering::Members { .. } => Some(Dialer::new(cluster.clone(), linker)),
    };
    let ready = Arc::new(AtomicBool::new(false));
    let api = Api {
        tx: tx.clone(),
        cluster: cluster.clone(),
        token_hashes: operator_token_hashes.into(),
        ready: ready.clone(),
    };
    let event_loop = EventLoop {
        raft,
        store,
        cluster: cluster.clone(),
        dialer,
        pending_reads: Vec::new(),
        unsaved: None,
        links: IndexMap::new(),
        control_links: IndexMap::new(),
        pending_changes: IndexMap::new(),
        ready,
        next_tick: Instant::now(),
        next_placement: Instant::now(),
        leader_since: None,
        logged_role: RaftRole::Follower,
        logged_voters: Vec::new(),
        next_admission_log: Instant::now() + ADMISSION_LOG_INTERVAL,
    };
    Ok(StartedNode {
        event_loop,
        tx,
        rx,
        cluster,
        api,
    })
}

/// Checks the settings that only a control node has.
fn check_settings(loaded: &Loaded<Settings>) -> Result<(), SettingsError> {
    let control = &loaded.settings.control;
    if !control.peers.contains_key(&loaded.settings.node.name) {
        return Err(loaded.field_error("control.peers", &"must contain this node's name"));
    }
    if !control.data.is_dir() {
        let reason = format!("{} is not a directory", control.data.display());
        return Err(loaded.field_error("control.data", &reason));
    }
    Ok(())
}

/// Returns an identity with a new random disk id, so that a node that lost its disk returns as a
/// different voter.
pub(crate) fn new_voter(name: &Name) -> VoterId {
    VoterId {
        name: name.clone(),
        disk: fastrand::u64(1..),
    }
}

/// Opens the journal, or creates one with a new identity. With a new identity, the node is no voter
/// until the cluster admits it.
pub(crate) fn open_journal(data: &Path, name: &Name) -> Result<(Store, Vec<Record>), StoreError> {
    if Store::exists(data) {
        return retry("open the journal", || Store::open(data));
    }
    log::warn!("no journal found; joining with a new disk identity");
    let records = vec![Record::Identity(new_voter(name))];
    let store = retry("create the journal", || Store::create(data, &records))?;
    Ok((store, records))
}

/// Repeats an operation on the journal while it fails for a reason that may pass, as on a full disk.
pub(crate) fn retry<T, F>(step: &'static str, operation: F) -> Result<T, StoreError>
where
    F: Fn() -> Result<T, StoreError>,
{
    let mut attempts = 0;
    loop {
        match operation() {
            Err(e) if e.is_temporary() => {
                if attempts % LOGGED_ATTEMPTS == 0 {
                    log::error!(step = step, error:% = e; "the journal is not usable yet");
                }
                attempts += 1;
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

/// Returns the identity that the journal records, if there is one.
fn find_identity(records: &[Record]) -> Option<VoterId> {
    records.iter().find_map(|record| match record {
        Record::Identity(me) => Some(me.clone()),
        _ => None,
    })
}

/// Keeps connecting to the control nodes whose names sort after this node's; the others connect to
/// this node.
fn dial_peers_after(linker: &Linker, me: &Name, peers: &IndexMap<Name, std::net::SocketAddr>) {
    for (_, addr) in peers.iter().filter(|(name, _)| *name > me) {
        let (linker, addr) = (linker.clone(), *addr);
        spawn("dial", move || {
            loop {
                linker.dial(addr);
                std::thread::sleep(REDIAL_INTERVAL);
            }
        });
    }
}
