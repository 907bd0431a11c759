//! The agent's event loop: passes events to the state machine and carries out its actions.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use flume::{Receiver, RecvTimeoutError, Sender};
use indexmap::IndexMap;
use rw_core::agent::{Action, Agent, Announcement, Run, RunEnd};
use rw_core::codec::ClusterKey;
use rw_core::ids::Name;
use rw_core::linking::entries_for;
use rw_core::msg::{Ask, AskReply, Msg, Role};
use rw_core::registry::{MAX_SEALED_RECORDS, SealedShard};
use rw_host::clock;
use rw_host::cluster::{Cluster, ClusterEvent};
use rw_host::daemon::{self, Daemon, DaemonEvent, DaemonOptions};
use rw_host::dial::Dialer;
use rw_host::link::{Link, LinkEvent, MAX_LINKS};
use rw_host::program::Args;
use rw_host::settings::{self, SettingsError};
use rw_host::{http, logging};
use thiserror::Error;

use crate::calls::CallPool;
use crate::settings::Settings;
use crate::{announce, replicas, stats};

/// Interval at which time-outs are handled and readiness and gauges are updated.
const TICK: Duration = Duration::from_millis(50);
/// Capacity of the event channel; senders block while it is full.
const EVENT_CAPACITY: usize = 16 * 1024;
/// Time before the process ends in which the last messages are sent.
const FLUSH_DELAY: Duration = Duration::from_millis(300);

/// An event for the event loop.
#[derive(Debug)]
pub enum Event {
    /// A link was opened or lost, or a message arrived on it.
    Link(LinkEvent),
    /// The configuration or the list of members changed.
    Cluster(ClusterEvent),
    /// A backend server announces itself. The reply is `true`.
    Announce(Announcement, Sender<bool>),
    /// A backend server withdraws. The reply is whether it was known.
    Withdraw(Name, Sender<bool>),
    /// A call to a backend server ended; holds its duration.
    Ended(Run, RunEnd, Duration),
    /// A replica sent its records of a shard. The reply is whether no more replicas need to be
    /// asked, because the shard is served now or no longer exists.
    Sealed(SealedShard, Sender<bool>),
    /// SIGTERM or SIGINT arrived: drain and exit.
    Shutdown,
}

impl DaemonEvent for Event {
    fn link(event: LinkEvent) -> Self {
        Self::Link(event)
    }

    fn cluster(event: ClusterEvent) -> Option<Self> {
        Some(Self::Cluster(event))
    }

    fn shutdown() -> Self {
        Self::Shutdown
    }
}

/// An error that prevents the agent from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings cannot be read or are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A socket or thread cannot be created.
    #[error("start: {0}")]
    Io(#[from] std::io::Error),
}

/// Runs the agent until it has drained after SIGTERM or SIGINT. With `args.check`, only checks the
/// settings.
pub fn run(args: &Args) -> Result<(), StartError> {
    let loaded = settings::load::<Settings>(&args.settings)?;
    let bound = loaded.bind(&loaded.settings.node)?;
    if args.check {
        println!("{}: ok", args.settings.display());
        return Ok(());
    }
    let Settings { node, log, agent } = loaded.settings;
    logging::init(&log);
    let options = DaemonOptions {
        role: Role::Agent,
        fetches_config: true,
        event_capacity: EVENT_CAPACITY,
        max_unproven_links: MAX_LINKS,
    };
    let daemon = daemon::start::<Event>(bound, &node, options)?;
    let Daemon {
        cluster,
        linker,
        key,
        tx,
        rx,
    } = daemon;
    let ready = Arc::new(AtomicBool::new(false));
    let (http_tx, http_ready, http_cluster) = (tx.clone(), ready.clone(), cluster.clone());
    http::serve(node.http, announce::HTTP_CONNECTIONS, move |req| {
        announce::handle(
            req,
            &http_tx,
            http_ready.load(Ordering::Acquire),
            &http_cluster,
        )
    })?;
    let end_tx = tx.clone();
    let mut core = Agent::new(linker.hello.node.clone(), Instant::now());
    core.set_domain(linker.hello.domain.clone());
    core.set_queue_here(agent.queue_here);
    let event_loop = EventLoop {
        agent: core,
        calls: CallPool::new(Arc::new(move |run, end, time| {
            drop(end_tx.send(Event::Ended(run, end, time)));
        })),
        dialer: Dialer::new(cluster.clone(), linker),
        cluster,
        key,
        links: IndexMap::new(),
        entry_links: IndexMap::new(),
        tx,
        ready,
        published_ready_for: 0,
        leaving: false,
        next_tick: Instant::now(),
    };
    event_loop.run(&rx);
    Ok(())
}

struct EventLoop {
    agent: Agent,
    calls: CallPool,
    dialer: Dialer,
    cluster: Cluster,
    key: ClusterKey,
    links: IndexMap<u64, Link>,
    /// Id of the newest link of each entry. Messages on older links are ignored.
    entry_links: IndexMap<Name, u64>,
    tx: Sender<Event>,
    ready: Arc<AtomicBool>,
    /// The last value given to [`Cluster::set_ready_for`].
    published_ready_for: u64,
    leaving: bool,
    next_tick: Instant,
}

impl EventLoop {
    fn run(mut self, rx: &Receiver<Event>) {
        let mut out = Vec::new();
        loop {
            let event = match rx.recv_timeout(TICK) {
                Ok(event) => Some(event),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let now = Instant::now();
            self.agent.observe(now, &mut out);
            if let Some(event) = event {
                self.on_event(now, event, &mut out);
            }
            if now >= self.next_tick {
                self.next_tick = now + TICK;
                self.agent.tick(now, clock::wall(), &mut out);
                self.publish();
            }
            for action in out.drain(..) {
                self.apply(action);
            }
            if self.agent.has_left() {
                std::thread::sleep(FLUSH_DELAY);
                log::info!("agent stopped");
                return;
            }
        }
    }

    fn on_event(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Link(event) => self.on_link(event, out),
            Event::Cluster(ClusterEvent::State(state)) => self.agent.on_config(state, out),
            Event::Cluster(ClusterEvent::Members(members)) => {
                self.dialer
                    .set_targets(entries_for(&self.cluster.hello.node.name, &members));
            }
            Event::Announce(announced, reply) => {
                self.agent.announce(now, announced, out);
                let _ = reply.send(true);
            }
            Event::Withdraw(name, reply) => {
                let known = self.agent.withdraw(&name, out);
                let _ = reply.send(known);
            }
            Event::Ended(run, end, time) => {
                stats::record_end(&run.service, &end, time);
                self.agent.on_end(&run, end, time, out);
            }
            Event::Sealed(sealed, reply) => {
                let served = self.on_sealed(sealed);
                let _ = reply.send(served);
            }
            Event::Shutdown => {
                log::info!("agent draining");
                self.leaving = true;
                self.cluster.set_leaving();
                self.agent.leave(out);
            }
        }
    }

    fn on_sealed(&mut self, sealed: SealedShard) -> bool {
        let cluster = self.agent.cluster().clone();
        let Some(shard) = cluster.shards.get(sealed.shard as usize) else {
            return true;
        };
        self.agent.registry().on_sealed(sealed, shard)
    }

    fn on_link(&mut self, event: LinkEvent, out: &mut Vec<Action>) {
        match event {
            LinkEvent::Up(link) => {
                if link.peer.role == Role::Entry {
                    let name = link.peer.node.name.clone();
                    self.entry_links.insert(name.clone(), link.id);
                    self.links.insert(link.id, link);
                    self.agent.link_up(&name, out);
                } else {
                    self.links.insert(link.id, link);
                }
            }
            LinkEvent::Msg(id, msg) => self.on_msg(id, msg, out),
            LinkEvent::Down(id) => {
                let Some(link) = self.links.swap_remove(&id) else {
                    return;
                };
                let name = link.peer.node.name;
                if self.entry_links.get(&name) == Some(&id) {
                    self.entry_links.swap_remove(&name);
                    self.agent.link_down(&name, out);
                }
            }
        }
    }

    fn on_msg(&mut self, id: u64, msg: Msg, out: &mut Vec<Action>) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        match msg {
            Msg::ToAgent(msg) => {
                let name = link.peer.node.name.clone();
                if self.entry_links.get(&name) == Some(&id) {
                    self.agent.on_msg(clock::wall(), &name, msg, out);
                }
            }
            Msg::Ask(Ask::Sync { revision }) => self.cluster.send_sync_reply(link, revision),
            Msg::Ask(Ask::Seal {
                shard,
                version,
                after,
            }) => {
                let registry = self.agent.registry();
                let sealed = registry.seal(shard, version, after, MAX_SEALED_RECORDS);
                link.send(Msg::AskReply(AskReply::Sealed(sealed)));
            }
            _ => {}
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Send(entry, msg) => {
                let link = self
                    .entry_links
                    .get(&entry)
                    .and_then(|id| self.links.get(id));
                if let Some(link) = link {
                    link.send(Msg::ToEntry(msg));
                }
            }
            Action::Run(run) => self.calls.start(run),
            Action::Collect(collect) => {
                replicas::collect(
                    collect,
                    self.cluster.clone(),
                    self.key.clone(),
                    self.tx.clone(),
                );
            }
        }
    }

    /// Publishes readiness, which requires a configuration in force, and the revision up to which
    /// this agent serves its registry shards. Updates the gauges.
    fn publish(&mut self) {
        let cluster = self.agent.cluster().clone();
        self.ready
            .store(cluster.revision > 0 && !self.leaving, Ordering::Release);
        let ready_for = self.agent.ready_for();
        if ready_for > self.published_ready_for {
            self.published_ready_for = ready_for;
            self.cluster.set_ready_for(ready_for);
        }
        stats::update_gauges(&self.agent);
    }
}
