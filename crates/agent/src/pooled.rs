//! The agent's daemon for pooled jobs: one thread that feeds the driver with the worker's word and
//! the entries' messages and carries out its actions.

mod calls;
mod notes;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rw_core::ids::Name;
use rw_core::members::Member;
use rw_core::msg::{Msg, Role};
use rw_core::pool::Uptime;
use rw_core::pool::driver::{Action, Beat, BeatVerdict, Call, Driver, Reply};
use rw_core::pool::msg::PoolMsg;
use rw_host::cluster::{Cluster, ClusterEvent};
use rw_host::net::{Accepts, ConnId, HttpRequest, HttpResponse, Net, NetEvent};
use rw_host::peers::Peers;
use rw_host::pooled::{METRICS, Outside, Reloaded, Started, answer_ask, metrics_response, start};
use rw_host::settings::NodeSettings;
use rw_host::{clock, logging};
use thiserror::Error;

use calls::Calls;

/// The mark of the listener for announcements.
const WORKER: u8 = 0;
/// Connections of all kinds.
const MAX_CONNS: usize = 512;
/// An agent links to at most this many entries.
const MAX_ENTRIES: usize = rw_core::linking::MAX_ENTRY_LINKS;
/// After the signal to end, runs may go on for this long; the successor adopts the rest.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// What a worker's request is.
#[derive(Debug)]
pub enum Announced {
    /// It announces itself.
    Beat(Beat),
    /// It leaves now.
    Leave(Name),
    /// It cannot be read: why.
    Malformed(String),
    /// Nothing that is served.
    Other,
}

/// How the worker speaks.
pub trait WorkerPort: Send {
    /// Reads a request of the worker.
    fn read(&self, req: &HttpRequest) -> Announced;
    /// Answers an announcement that was read.
    fn acknowledge(&self) -> HttpResponse;
    /// The request of a call; `worker` is the incarnation that is meant.
    fn call(&self, call: &Call, worker: Option<&Name>) -> HttpRequest;
    /// Reads the answer to a call, with the worker's clock.
    fn reply(&self, call: &Call, response: &HttpResponse) -> (Reply, Option<u64>);
}

/// How the daemon starts.
pub struct AgentSetup {
    /// The node.
    pub node: NodeSettings,
    /// Where the worker announces itself.
    pub announcements: SocketAddr,
    /// Where the worker takes calls.
    pub worker: SocketAddr,
    /// The longest lease that the worker grants.
    pub lease: Duration,
    /// How the worker speaks.
    pub port: Box<dyn WorkerPort>,
    /// Reads the settings file again.
    pub reload: Box<dyn FnMut() -> Option<Reloaded> + Send>,
}

impl std::fmt::Debug for AgentSetup {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "AgentSetup({})", self.node.name)
    }
}

/// Why the daemon cannot start or go on.
#[derive(Debug, Error)]
#[error("{step}: {source}")]
pub struct AgentError {
    step: &'static str,
    source: io::Error,
}

fn at(step: &'static str) -> impl FnOnce(io::Error) -> AgentError {
    move |source| AgentError { step, source }
}

/// Runs the daemon until it is told to end.
pub fn run(setup: AgentSetup) -> Result<(), AgentError> {
    let Started {
        cluster,
        mut net,
        rx,
    } = start(&setup.node, Role::Agent, MAX_CONNS).map_err(at("start"))?;
    net.listen(setup.announcements, Accepts::Http(WORKER))
        .map_err(at("listen to the worker"))?;
    let now = clock::uptime();
    let mut daemon = Daemon {
        core: Driver::new(now, setup.lease),
        net,
        peers: Peers::default(),
        cluster,
        calls: Calls::new(setup.worker),
        port: setup.port,
        reload: setup.reload,
        leaving: None,
        next_tick: now,
        next_second: now,
    };
    let mut events = Vec::new();
    let mut out = Vec::new();
    loop {
        let timeout = daemon.next_tick.saturating_sub(clock::uptime());
        daemon.net.poll(timeout, &mut events).map_err(at("poll"))?;
        let now = clock::uptime();
        while let Ok(event) = rx.try_recv() {
            daemon.on_outside(now, event, &mut out);
        }
        // Time first: after a stand-still, lapsed links and leases count before what was waiting.
        daemon.tick(now, &mut events, &mut out);
        daemon.act(now, &mut out);
        for event in events.drain(..) {
            daemon.on_net(now, event, &mut out);
        }
        daemon.act(now, &mut out);
        if daemon.is_over(now) {
            log::info!(runs = daemon.core.run_count(); "agent ended");
            logging::flush();
            return Ok(());
        }
    }
}

struct Daemon {
    core: Driver,
    net: Net,
    peers: Peers,
    cluster: Cluster,
    calls: Calls,
    port: Box<dyn WorkerPort>,
    reload: Box<dyn FnMut() -> Option<Reloaded> + Send>,
    leaving: Option<Uptime>,
    next_tick: Uptime,
    next_second: Uptime,
}

impl Daemon {
    fn is_over(&self, now: Uptime) -> bool {
        self.leaving
            .is_some_and(|since| self.core.is_idle() || now >= since + DRAIN_LIMIT)
    }

    fn on_outside(&mut self, now: Uptime, event: Outside, out: &mut Vec<Action>) {
        match event {
            Outside::Cluster(ClusterEvent::State(_)) => {}
            Outside::Cluster(ClusterEvent::Members(members)) => self.on_members(now, &members),
            Outside::Shutdown => {
                log::info!(runs = self.core.run_count(); "agent draining");
                self.leaving = Some(now);
                self.cluster.set_leaving();
                self.core.drain(out);
            }
            Outside::Reload => self.next_second = now,
        }
    }

    fn on_members(&mut self, now: Uptime, members: &[Member]) {
        let me = &self.cluster.hello.node.name;
        let names = rw_core::linking::entries_for(me, members);
        let mut targets: Vec<(Name, SocketAddr)> = members
            .iter()
            .filter(|m| m.role == Role::Entry)
            .map(|m| (m.node.name.clone(), m.link))
            .collect();
        // Living entries first; those taken for dead are tried too while there are few.
        targets.sort_by_key(|(name, _)| !names.contains(name));
        targets.truncate(MAX_ENTRIES);
        self.peers.want(now, targets);
    }

    fn on_net(&mut self, now: Uptime, event: NetEvent, out: &mut Vec<Action>) {
        match event {
            NetEvent::Request(conn, mark, req) => self.on_request(now, conn, mark, &req, out),
            NetEvent::Response(conn, response) => {
                if let Some((id, call)) = self.calls.done(conn) {
                    let (reply, clock_ms) = self.port.reply(&call, &response);
                    self.core.on_reply(now, id, reply, clock_ms, out);
                }
            }
            NetEvent::CallEnded(conn, opened) => {
                if let Some((id, _)) = self.calls.ended(conn) {
                    let reply = if opened {
                        Reply::Unknown
                    } else {
                        Reply::NotSent
                    };
                    self.core.on_reply(now, id, reply, None, out);
                }
            }
            NetEvent::LinkUp(conn, hello) => {
                let (node, role) = (hello.node.clone(), hello.role);
                if self.peers.up(conn, hello, &mut self.net).is_none() {
                    return;
                }
                log::info!(peer:% = node.name, role:? = role; "link up");
                if role == Role::Entry {
                    self.core.entry_up(now, node, out);
                }
            }
            NetEvent::LinkMsg(conn, msg) => self.on_msg(now, conn, msg, out),
            NetEvent::LinkDown(conn) => {
                if let Some(hello) = self.peers.down(now, conn) {
                    log::warn!(peer:% = hello.node.name, role:? = hello.role; "link lost");
                    self.core.entry_down(&hello.node.name);
                }
            }
            NetEvent::HungUp(_) | NetEvent::Woken => {}
        }
    }

    fn on_msg(&mut self, now: Uptime, conn: ConnId, msg: Msg, out: &mut Vec<Action>) {
        if let Msg::Ask(ask) = msg {
            let told = answer_ask(&self.cluster, &ask);
            self.net.send(now, conn, &Msg::AskReply(told));
            return;
        }
        let Some(name) = self.peers.peer(conn).map(|hello| hello.node.name.clone()) else {
            return;
        };
        match msg {
            Msg::Pool(PoolMsg::ToAgent(msg)) => self.core.on_entry(now, &name, msg, out),
            _ => self.core.on_entry_activity(now, &name),
        }
    }

    fn on_request(
        &mut self,
        now: Uptime,
        conn: ConnId,
        mark: u8,
        req: &HttpRequest,
        out: &mut Vec<Action>,
    ) {
        if mark == METRICS {
            let found = req.path == "/metrics";
            let response = if found {
                metrics_response()
            } else {
                HttpResponse::empty(404)
            };
            self.net.respond(conn, &response);
            return;
        }
        let response = match self.port.read(req) {
            Announced::Beat(beat) => {
                let (id, number, born) = (beat.id.clone(), beat.number, beat.born);
                let verdict = self.core.on_beat(now, beat, out);
                if verdict == BeatVerdict::Late {
                    log::info!(worker:% = id, number = number, born = born; "late announcement");
                }
                self.port.acknowledge()
            }
            Announced::Leave(id) => {
                log::info!(worker:% = id; "worker leaves");
                self.core.on_leave(now, &id, out);
                self.port.acknowledge()
            }
            Announced::Malformed(reason) => {
                log::warn!(path = req.path, reason = reason; "announcement refused");
                HttpResponse::empty(400)
            }
            Announced::Other => HttpResponse::empty(404),
        };
        self.net.respond(conn, &response);
    }

    fn tick(&mut self, now: Uptime, events: &mut Vec<NetEvent>, out: &mut Vec<Action>) {
        if now < self.next_tick {
            return;
        }
        self.core.tick(now, out);
        self.net.tick(now, events);
        self.peers.dial(now, &mut self.net);
        self.next_tick = now + self.core.next_tick(now);
        if now >= self.next_second {
            self.next_second = now + Duration::from_secs(1);
            if let Some(reloaded) = (self.reload)() {
                self.cluster.set_seeds(reloaded.seeds);
            }
            notes::held(&self.core, &self.net);
        }
    }

    fn act(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let mut failed = Vec::new();
        for action in out.drain(..) {
            match action {
                Action::Send(entry, msg) => {
                    if let Some(conn) = self.peers.conn(&entry) {
                        self.net.send(now, conn, &Msg::Pool(PoolMsg::ToEntry(msg)));
                    }
                }
                Action::Call(id, call) => {
                    let req = self.port.call(&call, self.core.worker_id());
                    if !self.calls.start(now, id, call, &req, &mut self.net) {
                        failed.push(id);
                    }
                }
                Action::DropCall(id) => self.calls.drop_call(id, &mut self.net),
                Action::DropLink(entry) => {
                    self.peers.drop_link(now, &entry, &mut self.net);
                }
                Action::Note(note) => notes::note(&note),
            }
        }
        for id in failed {
            self.core.on_reply(now, id, Reply::NotSent, None, out);
        }
        // The next tick may be due earlier now.
        let due = now + self.core.next_tick(now);
        self.next_tick = self.next_tick.min(due);
    }
}
