//! The start of a control node: settings, journal, adapters.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Instant;

use flume::{Receiver, Sender};
use indexmap::IndexMap;
use rw_core::ids::Name;
use rw_core::journal::Record;
use rw_core::msg::Role;
use rw_core::raft::{Raft, RaftRole, VoterId};
use rw_host::cluster::Cluster;
use rw_host::daemon::{self, Daemon, Part};
use rw_host::dial::Dialer;
use rw_host::link::{Linker, spawn};
use rw_host::program::Args;
use rw_host::settings::{self, Bound, Loaded, NodeSettings, SettingsError};
use rw_host::{http, logging};

use super::{ControlError, Duty, EVENT_QUEUE, Event, REDIAL_AFTER};
use crate::api::{self, Api};
use crate::settings::Settings;
use crate::store::{Store, StoreError};

/// Runs the control node until it is told to end; with `init`, only makes a new cluster's journal.
pub fn run(args: &Args, init: bool) -> Result<(), ControlError> {
    let loaded = settings::load::<Settings>(&args.settings)?;
    check(&loaded)?;
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
    let (store, records) = open(&data, &node.name)?;
    let peers = Peering::Fixed(control.peers);
    let hashes = control.operator_token_hashes;
    let running = start(bound, &node, (store, records), hashes, &peers)?;
    running.duty.run(&running.rx)
}

/// How a control node knows the others.
pub(crate) enum Peering {
    /// By its settings.
    Fixed(IndexMap<Name, std::net::SocketAddr>),
    /// As members of the cluster.
    Members,
}

/// A control node that is ready to run.
pub(crate) struct Running {
    pub(crate) duty: Duty,
    pub(crate) tx: Sender<Event>,
    pub(crate) rx: Receiver<Event>,
    pub(crate) cluster: Cluster,
}

/// Starts the adapters of a control node.
pub(crate) fn start(
    bound: Bound,
    node: &NodeSettings,
    journal: (Store, Vec<Record>),
    operator_token_hashes: Vec<String>,
    peering: &Peering,
) -> Result<Running, ControlError> {
    let (store, records) = journal;
    let me = identity(&records).unwrap_or_else(|| new_voter(&node.name));
    let allowed = match peering {
        Peering::Fixed(peers) => peers.keys().cloned().collect(),
        Peering::Members => Vec::new(),
    };
    let raft = Raft::new(me, allowed, records, Instant::now(), fastrand::Rng::new());
    let part = Part {
        role: Role::Control,
        follows: false,
        queue: EVENT_QUEUE,
    };
    let daemon = daemon::start::<Event>(bound, node, part)?;
    let Daemon {
        cluster,
        linker,
        tx,
        rx,
        ..
    } = daemon;
    let dialer = match peering {
        Peering::Fixed(peers) => {
            dial_later_peers(&linker, &node.name, peers);
            None
        }
        Peering::Members => Some(Dialer::new(cluster.clone(), linker)),
    };
    let ready = Arc::new(AtomicBool::new(false));
    let api = Api {
        tx: tx.clone(),
        cluster: cluster.clone(),
        token_hashes: operator_token_hashes.into(),
        ready: ready.clone(),
    };
    http::serve(node.http, api::HTTP_CONNECTIONS, move |req| api.handle(req))?;
    let duty = Duty {
        raft,
        store,
        cluster: cluster.clone(),
        dialer,
        reads: Vec::new(),
        links: IndexMap::new(),
        by_name: IndexMap::new(),
        waiting: IndexMap::new(),
        ready,
        next_tick: Instant::now(),
        next_place: Instant::now(),
        led_since: None,
        standing: RaftRole::Follower,
    };
    Ok(Running {
        duty,
        tx,
        rx,
        cluster,
    })
}

fn check(loaded: &Loaded<Settings>) -> Result<(), SettingsError> {
    let control = &loaded.settings.control;
    if !control.peers.contains_key(&loaded.settings.node.name) {
        return Err(loaded.field("control.peers", &"must hold this node's own name"));
    }
    if !control.data.is_dir() {
        let reason = format!("no folder {}", control.data.display());
        return Err(loaded.field("control.data", &reason));
    }
    Ok(())
}

pub(crate) fn new_voter(name: &Name) -> VoterId {
    VoterId {
        name: name.clone(),
        disk: fastrand::u64(1..),
    }
}

/// Opens the journal. Without one, this node joins as a new voter that counts for nothing yet.
pub(crate) fn open(data: &Path, name: &Name) -> Result<(Store, Vec<Record>), StoreError> {
    if Store::exists(data) {
        return Store::open(data);
    }
    log::warn!("no journal: joining with a new disk identity");
    let records = vec![Record::Identity(new_voter(name))];
    Ok((Store::create(data, &records)?, records))
}

fn identity(records: &[Record]) -> Option<VoterId> {
    records.iter().find_map(|record| match record {
        Record::Identity(me) => Some(me.clone()),
        _ => None,
    })
}

/// Links with the control nodes whose names come later; the others link with this one.
fn dial_later_peers(linker: &Linker, me: &Name, peers: &IndexMap<Name, std::net::SocketAddr>) {
    for (_, addr) in peers.iter().filter(|(name, _)| *name > me) {
        let (linker, addr) = (linker.clone(), *addr);
        spawn("dial", move || {
            loop {
                linker.dial(addr);
                std::thread::sleep(REDIAL_AFTER);
            }
        });
    }
}
