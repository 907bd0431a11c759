//! The entry's event loop: passes events to the dispatcher and carries out its actions.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use flume::{Receiver, RecvTimeoutError, Sender};
use indexmap::IndexMap;
use rw_core::dispatcher::{Action, Dispatcher, Now};
use rw_core::ids::{JobKey, Name};
use rw_core::job::JobSpec;
use rw_core::linking::peers_for;
use rw_core::msg::{Ask, AskReply, Msg, Role};
use rw_host::cluster::{Cluster, ClusterEvent};
use rw_host::daemon::{self, Daemon, DaemonEvent, DaemonOptions};
use rw_host::dial::Dialer;
use rw_host::http::PendingRequests;
use rw_host::link::{Link, LinkEvent, MAX_LINKS};
use rw_host::program::Args;
use rw_host::settings::{self, SettingsError};
use rw_host::{clock, http, logging};
use thiserror::Error;

use crate::api::{Api, StatusReply};
use crate::callers::Callers;
use crate::settings::Settings;
use crate::stats;

/// Interval at which the dispatcher handles time-outs.
const TICK: Duration = Duration::from_millis(20);
/// Capacity of the event channel; senders block while it is full.
const EVENT_CAPACITY: usize = 64 * 1024;
/// Number of queued events that are handled before their actions are carried out.
const BATCH_SIZE: usize = 64;

/// An event for the event loop.
#[derive(Debug)]
pub enum Event {
    /// A caller submits a job. The number identifies the caller in [`Callers::answer`].
    Submit(JobSpec, u64),
    /// A caller asks for a job's state.
    Status(JobKey, Sender<StatusReply>),
    /// A tenant cancels a job. The reply is whether the job was known.
    Cancel(JobKey, Name, Sender<bool>),
    /// A link was opened or lost, or a message arrived on it.
    Link(LinkEvent),
    /// The configuration or the list of members changed.
    Cluster(ClusterEvent),
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

/// An error that prevents the entry from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings cannot be read or are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A socket or thread cannot be created.
    #[error("start: {0}")]
    Io(#[from] std::io::Error),
}

/// Runs the entry until it has drained after SIGTERM or SIGINT. With `args.check`, only checks the
/// settings.
pub fn run(args: &Args) -> Result<(), StartError> {
    let loaded = settings::load::<Settings>(&args.settings)?;
    let bound = loaded.bind(&loaded.settings.node)?;
    if args.check {
        println!("{}: ok", args.settings.display());
        return Ok(());
    }
    let Settings {
        node,
        log,
        entry,
        policy,
    } = loaded.settings;
    logging::init(&log);
    let options = DaemonOptions {
        role: Role::Entry,
        fetches_config: true,
        event_capacity: EVENT_CAPACITY,
        max_unproven_links: MAX_LINKS,
    };
    let daemon = daemon::start::<Event>(bound, &node, options)?;
    let Daemon {
        cluster,
        linker,
        tx,
        rx,
        ..
    } = daemon;
    let callers = Callers::default();
    let ready = Arc::new(AtomicBool::new(false));
    let api = Api {
        tx,
        callers: callers.clone(),
        max_callers: entry.max_callers,
        cluster: cluster.clone(),
        ready: ready.clone(),
    };
    // Connections without a request count too, so the limit is higher than that of callers.
    let pending = http::serve(node.http, entry.max_callers * 2, move |req| api.handle(req))?;
    let own_node = linker.hello.node.clone();
    let event_loop = EventLoop {
        dispatcher: Dispatcher::new(own_node, policy, Instant::now(), fastrand::Rng::new()),
        dialer: Dialer::new(cluster.clone(), linker),
        cluster,
        callers,
        pending,
        links: IndexMap::new(),
        link_ids: IndexMap::new(),
        ready,
        leaving: false,
        next_tick: Instant::now(),
    };
    event_loop.run(&rx);
    Ok(())
}

struct EventLoop {
    dispatcher: Dispatcher,
    dialer: Dialer,
    cluster: Cluster,
    callers: Callers,
    pending: PendingRequests,
    links: IndexMap<u64, Link>,
    /// Id of the newest link of each agent and entry. Messages on older links are ignored.
    link_ids: IndexMap<Name, u64>,
    ready: Arc<AtomicBool>,
    leaving: bool,
    next_tick: Instant,
}

impl EventLoop {
    fn run(mut self, rx: &Receiver<Event>) {
        let mut out = Vec::new();
        loop {
            let mut event = match rx.recv_timeout(TICK) {
                Ok(event) => Some(event),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let now = clock::now();
            for _ in 0..BATCH_SIZE {
                let Some(next) = event else { break };
                self.on_event(now, next, &mut out);
                event = rx.try_recv().ok();
            }
            if let Some(event) = event {
                self.on_event(now, event, &mut out);
            }
            if now.mono >= self.next_tick {
                self.next_tick = now.mono + TICK;
                self.dispatcher.tick(now, &mut out);
                let has_shards = self
                    .dispatcher
                    .cluster()
                    .is_some_and(|cluster| !cluster.shards.is_empty());
                self.ready
                    .store(has_shards && !self.leaving, Ordering::Release);
                stats::update_gauges(&self.dispatcher);
            }
            for action in out.drain(..) {
                self.apply(action);
            }
            if self.leaving && self.dispatcher.open_jobs() == 0 && self.pending.count() == 0 {
                log::info!("entry stopped");
                return;
            }
        }
    }

    fn on_event(&mut self, now: Now, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Submit(spec, caller) => self.dispatcher.submit(now, spec, caller, out),
            Event::Status(key, reply) => drop(reply.send(self.dispatcher.status(key))),
            Event::Cancel(key, tenant, reply) => {
                let known = self.dispatcher.cancel(now, key, &tenant, out);
                let _ = reply.send(known);
            }
            Event::Link(event) => self.on_link(now, event, out),
            Event::Cluster(ClusterEvent::State(state)) => self.dispatcher.on_config(state),
            Event::Cluster(ClusterEvent::Members(members)) => {
                self.dialer
                    .set_targets(peers_for(&self.cluster.hello.node.name, &members));
                self.dispatcher.on_members(now, members, out);
            }
            Event::Shutdown => {
                log::info!(open_jobs = self.dispatcher.open_jobs(); "entry draining");
                self.leaving = true;
                self.cluster.set_leaving();
                self.dispatcher.drain();
            }
        }
    }

    fn on_link(&mut self, now: Now, event: LinkEvent, out: &mut Vec<Action>) {
        match event {
            LinkEvent::Up(link) => {
                let peer = link.peer.clone();
                if peer.role != Role::Tool {
                    self.link_ids.insert(peer.node.name.clone(), link.id);
                }
                self.links.insert(link.id, link);
                if peer.role == Role::Agent {
                    self.dispatcher.agent_link_up(now, peer.node, out);
                }
            }
            LinkEvent::Msg(id, msg) => self.on_msg(now, id, msg, out),
            LinkEvent::Down(id) => {
                let Some(link) = self.links.swap_remove(&id) else {
                    return;
                };
                let name = link.peer.node.name;
                if self.link_ids.get(&name) == Some(&id) {
                    self.link_ids.swap_remove(&name);
                    self.dispatcher.agent_link_down(&name);
                }
            }
        }
    }

    fn on_msg(&mut self, now: Now, id: u64, msg: Msg, out: &mut Vec<Action>) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        let node = link.peer.node.clone();
        let is_newest = self.link_ids.get(&node.name) == Some(&id);
        match msg {
            Msg::ToEntry(msg) if is_newest => self.dispatcher.on_agent(now, &node.name, msg, out),
            Msg::Ping if is_newest => self.dispatcher.record_contact(now, &node.name),
            Msg::Peer(msg) if is_newest => self.dispatcher.on_peer(now, &node, msg, out),
            Msg::Ask(Ask::Sync { revision }) => self.cluster.send_sync_reply(link, revision),
            Msg::Ask(Ask::Seal { .. }) => link.send(Msg::AskReply(AskReply::Unsupported)),
            _ => {}
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Send(agent, msg) => self.send(&agent, Msg::ToAgent(msg)),
            Action::Peer(entry, msg) => self.send(&entry, Msg::Peer(msg)),
            Action::Answer(caller, answer) => self.callers.answer(caller, answer),
            Action::Metric(note) => stats::record(&note),
        }
    }

    fn send(&self, name: &Name, msg: Msg) {
        if let Some(link) = self.link_ids.get(name).and_then(|id| self.links.get(id)) {
            link.send(msg);
        }
    }
}
