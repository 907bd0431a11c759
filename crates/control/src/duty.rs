//! The control node's main duty: drives the replicated log, makes its records durable, sends its
//! messages, and keeps the registry placed.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use flume::{Receiver, RecvTimeoutError, Sender};
use indexmap::IndexMap;
use rw_core::config::{Change, ChangeRequest};
use rw_core::ids::Name;
use rw_core::journal::Record;
use rw_core::msg::{Ask, Msg, Role, Told};
use rw_core::placement;
use rw_core::raft::{Effects, Raft, VoterId};
use rw_host::cluster::{Cluster, ClusterEvent};
use rw_host::daemon::{self, Daemon, DaemonEvent, Part};
use rw_host::link::{Link, LinkEvent, Linker, spawn};
use rw_host::program::Args;
use rw_host::settings::{self, Loaded, SettingsError};
use rw_host::{clock, http, logging, metrics};
use thiserror::Error;

use crate::api::{self, Api, ChangeReply, LogStatus, StateReply};
use crate::settings::Settings;
use crate::store::{Store, StoreError};

/// How often the log acts on the passing of time.
const TICK: Duration = Duration::from_millis(20);
/// Events that may wait.
const EVENT_QUEUE: usize = 4096;
/// Events whose records are synced together.
const BATCH: usize = 256;
/// Changes that may wait for a commit.
const MAX_WAITING_CHANGES: usize = 1024;
/// Time between two looks at the registry's placement.
const PLACE_EVERY: Duration = Duration::from_millis(500);
/// Time after the start of a leader's term before it moves shards, so that members are known.
const PLACE_AFTER: Duration = Duration::from_secs(2);
const REDIAL_AFTER: Duration = Duration::from_millis(200);

/// What the log is fed with.
#[derive(Debug)]
pub enum Event {
    /// On a link.
    Link(LinkEvent),
    /// A question for the state.
    State(Sender<StateReply>),
    /// A change.
    Change(ChangeRequest, Sender<ChangeReply>),
    /// End.
    Shutdown,
}

impl DaemonEvent for Event {
    fn link(event: LinkEvent) -> Self {
        Self::Link(event)
    }

    fn cluster(_: ClusterEvent) -> Option<Self> {
        None
    }

    fn shutdown() -> Self {
        Self::Shutdown
    }
}

/// Why the control node cannot start or go on.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The settings are wrong.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The journal failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A socket or thread cannot be had.
    #[error("start: {0}")]
    Io(#[from] std::io::Error),
}

/// Runs the control node until it is told to end; with `init`, only makes a new cluster's journal.
pub fn run(args: &Args, init: bool) -> Result<(), ControlError> {
    let loaded = settings::load::<Settings>(&args.settings)?;
    check(&loaded)?;
    let data = loaded.settings.control.data.clone();
    if init {
        let me = new_voter(&loaded.settings.node.name);
        Store::create(&data, &Raft::first_records(&me))?;
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
    let me = identity(&records).unwrap_or_else(|| new_voter(&node.name));
    let allowed = control.peers.keys().cloned().collect();
    let raft = Raft::new(me, allowed, records, Instant::now(), fastrand::Rng::new());

    let part = Part {
        role: Role::Control,
        follows: false,
        queue: EVENT_QUEUE,
    };
    let daemon = daemon::start::<Event>(bound, &node, part)?;
    let Daemon {
        cluster,
        linker,
        tx,
        rx,
        ..
    } = daemon;
    dial_later_peers(&linker, &node.name, &control.peers);
    let ready = Arc::new(AtomicBool::new(false));
    let api = Api {
        tx,
        cluster: cluster.clone(),
        token_hashes: control.operator_token_hashes.into(),
        ready: ready.clone(),
    };
    http::serve(node.http, api::HTTP_THREADS, move |req| api.handle(req))?;
    let duty = Duty {
        raft,
        store,
        cluster,
        links: IndexMap::new(),
        by_name: IndexMap::new(),
        waiting: IndexMap::new(),
        ready,
        next_tick: Instant::now(),
        next_place: Instant::now(),
        led_since: None,
    };
    duty.run(&rx)
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

fn new_voter(name: &Name) -> VoterId {
    VoterId {
        name: name.clone(),
        disk: fastrand::u64(1..),
    }
}

/// Opens the journal. Without one, this node joins as a new voter that counts for nothing yet.
fn open(data: &Path, name: &Name) -> Result<(Store, Vec<Record>), StoreError> {
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

struct Duty {
    raft: Raft,
    store: Store,
    cluster: Cluster,
    links: IndexMap<u64, Link>,
    by_name: IndexMap<Name, u64>,
    waiting: IndexMap<uuid::Uuid, Vec<Sender<ChangeReply>>>,
    ready: Arc<AtomicBool>,
    next_tick: Instant,
    next_place: Instant,
    led_since: Option<Instant>,
}

impl Duty {
    fn run(mut self, rx: &Receiver<Event>) -> Result<(), ControlError> {
        loop {
            let mut event = match rx.recv_timeout(TICK) {
                Ok(event) => Some(event),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            };
            let now = Instant::now();
            let mut fx = Effects::default();
            let mut handled = 0;
            while let Some(next) = event {
                if matches!(next, Event::Shutdown) {
                    log::info!("control node ended");
                    return Ok(());
                }
                self.on_event(now, next, &mut fx);
                handled += 1;
                event = if handled < BATCH {
                    rx.try_recv().ok()
                } else {
                    None
                };
            }
            if now >= self.next_tick {
                self.next_tick = now + TICK;
                self.raft.tick(now, &mut fx);
                self.waiting
                    .retain(|_, replies| replies.iter().any(|reply| !reply.is_disconnected()));
                self.place(now, &mut fx);
            }
            self.carry_out(fx)?;
        }
    }

    fn on_event(&mut self, now: Instant, event: Event, fx: &mut Effects) {
        match event {
            Event::Link(LinkEvent::Up(link)) => {
                if link.peer.role == Role::Control {
                    self.by_name.insert(link.peer.node.name.clone(), link.id);
                }
                self.links.insert(link.id, link);
            }
            Event::Link(LinkEvent::Down(id)) => {
                self.links.swap_remove(&id);
                self.by_name.retain(|_, link| *link != id);
            }
            Event::Link(LinkEvent::Msg(id, msg)) => self.on_msg(now, id, msg, fx),
            Event::State(reply) => drop(reply.send(self.state(now))),
            Event::Change(req, reply) => self.on_change(now, req, reply, fx),
            Event::Shutdown => {}
        }
    }

    fn on_msg(&mut self, now: Instant, id: u64, msg: Msg, fx: &mut Effects) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        match msg {
            Msg::Raft(msg) if link.peer.role == Role::Control => self.raft.on_msg(now, msg, fx),
            Msg::Ask(Ask::Sync { revision }) => self.cluster.answer(link, revision),
            Msg::Ask(Ask::Seal { .. }) => link.send(Msg::Told(Told::Unable)),
            _ => {}
        }
    }

    fn on_change(
        &mut self,
        now: Instant,
        req: ChangeRequest,
        reply: Sender<ChangeReply>,
        fx: &mut Effects,
    ) {
        if let Some(outcome) = self.raft.state().recent.get(&req.request_id)
            && self.raft.has_lease(now)
        {
            let _ = reply.send(ChangeReply::Outcome(outcome.clone()));
            return;
        }
        let id = req.request_id;
        if self.waiting.len() >= MAX_WAITING_CHANGES || !self.raft.propose(now, req, fx) {
            let leader = self.raft.leader().map(|leader| leader.name.clone());
            let _ = reply.send(ChangeReply::NotLeader(leader));
            return;
        }
        self.waiting.entry(id).or_default().push(reply);
    }

    fn state(&self, now: Instant) -> StateReply {
        let (term, commit, last) = self.raft.position();
        let log = LogStatus {
            node: self.raft.me().name.clone(),
            standing: self.raft.standing(),
            leader: self.raft.leader().map(|leader| leader.name.clone()),
            term,
            commit,
            last,
            voters: self.raft.voters().to_vec(),
            has_lease: self.raft.has_lease(now),
        };
        let state = self
            .raft
            .is_current()
            .then(|| self.raft.state().cluster.clone());
        StateReply { log, state }
    }

    /// Proposes a better placement of the registry, if this node leads.
    fn place(&mut self, now: Instant, fx: &mut Effects) {
        if !self.raft.has_lease(now) {
            self.led_since = None;
            return;
        }
        let since = *self.led_since.get_or_insert(now);
        if now < self.next_place || now.duration_since(since) < PLACE_AFTER {
            return;
        }
        self.next_place = now + PLACE_EVERY;
        let cluster = self.raft.state().cluster.clone();
        let Some(change) = placement::plan(&cluster, &self.cluster.members(), clock::wall()) else {
            return;
        };
        if let Change::Place { shards } = &change {
            log::info!(shards = shards.len(); "registry shards placed");
        }
        let request_id = uuid::Uuid::from_u128(fastrand::u128(..));
        let req = ChangeRequest {
            request_id,
            base: cluster.revision,
            change,
        };
        self.raft.propose(now, req, fx);
    }

    /// Makes records durable, then sends messages and delivers outcomes.
    fn carry_out(&mut self, fx: Effects) -> Result<(), ControlError> {
        if fx.compact {
            self.store.rewrite(&self.raft.journal())?;
        } else if !fx.records.is_empty() {
            self.store.append(&fx.records)?;
        }
        for (name, msg) in fx.send {
            if let Some(link) = self.by_name.get(&name).and_then(|id| self.links.get(id)) {
                link.send(Msg::Raft(msg));
            }
        }
        for (id, outcome) in fx.outcomes {
            for reply in self.waiting.swap_remove(&id).unwrap_or_default() {
                let _ = reply.try_send(ChangeReply::Outcome(outcome.clone()));
            }
        }
        if !self.raft.is_current() {
            return Ok(());
        }
        self.ready.store(true, Ordering::Release);
        let state = self.raft.state().cluster.clone();
        metrics::HELD
            .with_label_values(&["revision"])
            .set(state.revision as i64);
        metrics::HELD
            .with_label_values(&["waiting_changes"])
            .set(self.waiting.len() as i64);
        if state.revision > 0 {
            self.cluster.set_state(state);
        }
        Ok(())
    }
}
