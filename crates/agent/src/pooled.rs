//! The agent's daemon for pooled jobs: one thread that passes the worker's announcements, its
//! replies to calls and the entries' messages to the driver and carries out the driver's actions.

mod calls;
mod notes;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rw_core::ids::Name;
use rw_core::members::Member;
use rw_core::msg::{Msg, Role};
use rw_core::pool::Uptime;
use rw_core::pool::driver::{Action, Call, CallTarget, Driver, Heartbeat, HeartbeatOutcome, Reply};
use rw_core::pool::msg::{PoolMsg, WorkerInfo};
use rw_core::pool::subset::{Entries, LinkCount};
use rw_host::cluster::{Cluster, ClusterEvent};
use rw_host::net::budget::StrangerLimits;
use rw_host::net::{
    Accepts, BodyFilter, BodyUse, ConnId, HttpRequest, HttpResponse, Net, NetEvent,
};
use rw_host::peers::Peers;
use rw_host::pooled::{
    METRICS_TAG, PooledDaemon, ReloadableSettings, ThreadEvent, answer_ask, metrics_response, start,
};
use rw_host::settings::{MachineLimits, NodeSettings};
use rw_host::{clock, logging};
use thiserror::Error;

use calls::WorkerConns;

/// Tag of the HTTP listener for announcements.
const WORKER_TAG: u8 = 0;
/// Maximum number of open connections of all kinds.
const MAX_CONNS: usize = 512;
/// Number of characters of an odd name that a log line shows.
const MAX_LOGGED_CHARS: usize = 64;
/// Longest time that runs may continue after SIGTERM or SIGINT. The next agent process takes over
/// the remaining ones.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// A parsed request of the worker.
#[derive(Debug)]
pub enum WorkerRequest {
    /// The worker announces itself.
    Heartbeat(Heartbeat),
    /// The worker with this id is shutting down.
    Leave(Name),
    /// The request cannot be parsed, for the given reason. It is answered with status 400.
    Malformed(String),
    /// A request that is not served. It is answered with status 404.
    Other,
}

/// Translates between the driver and the HTTP protocol of the worker.
pub trait WorkerProtocol: Send {
    /// Parses a request of the worker.
    fn parse_request(&self, req: &HttpRequest) -> WorkerRequest;
    /// Returns the response to an announcement, or to a notice that the worker is shutting down.
    fn acknowledge(&self) -> HttpResponse;
    /// Builds the HTTP request of a call to a worker.
    fn call(&self, call: &Call, target: &CallTarget) -> HttpRequest;
    /// Parses the response to a call. The second value is the worker's clock in milliseconds, if
    /// stated.
    fn parse_response(&self, call: &Call, response: &HttpResponse) -> (Reply, Option<u64>);
}

/// Parameters of [`run`].
pub struct AgentSetup {
    /// Settings of this node.
    pub node: NodeSettings,
    /// Address on which the agent listens for the worker's announcements.
    pub announcements: SocketAddr,
    /// Address at which the worker accepts calls.
    pub worker: SocketAddr,
    /// Longest lease that the worker grants.
    pub max_lease: Duration,
    /// Factor on the run time of a task on a worker that has just started, if it is known.
    pub cold_factor: Option<f64>,
    /// What the machine grants this process.
    pub limits: MachineLimits,
    /// Whether room is kept for large waiting tasks, by forecasts of agents and reservations of
    /// entries.
    pub look_ahead: bool,
    /// The worker's protocol.
    pub protocol: Box<dyn WorkerProtocol>,
    /// Reloads the settings; called every second and when a reload is requested. Returns `None` if
    /// there is nothing to apply.
    pub reload: Box<dyn FnMut() -> Option<ReloadableSettings> + Send>,
}

impl std::fmt::Debug for AgentSetup {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "AgentSetup({})", self.node.name)
    }
}

/// An error that ends the daemon, with the step that failed.
#[derive(Debug, Error)]
#[error("{step}: {source}")]
pub struct AgentError {
    step: &'static str,
    source: io::Error,
}

fn error_at(step: &'static str) -> impl FnOnce(io::Error) -> AgentError {
    move |source| AgentError { step, source }
}

/// Runs the daemon until it has drained after SIGTERM or SIGINT.
///
/// Returns an error if a socket or thread cannot be set up or polling fails.
pub fn run(setup: AgentSetup) -> Result<(), AgentError> {
    let limits = StrangerLimits::new(&setup.limits, MAX_CONNS);
    let PooledDaemon {
        cluster,
        mut net,
        rx,
    } = start(&setup.node, Role::Agent, limits).map_err(error_at("start"))?;
    net.set_body_filter(Box::new(Bodies));
    net.listen(setup.announcements, Accepts::Http(WORKER_TAG))
        .map_err(error_at("listen for announcements of the worker"))?;
    let now = clock::uptime();
    let mut driver = Driver::new(now, setup.max_lease);
    if setup.look_ahead {
        driver = driver.with_forecasts();
    }
    let mut daemon = Daemon {
        driver,
        net,
        peers: Peers::default(),
        cluster,
        calls: WorkerConns::new(setup.worker),
        protocol: setup.protocol,
        reload: setup.reload,
        draining_since: None,
        next_tick: now,
        next_reload: now,
        link_count: LinkCount::default(),
        announced: None,
    };
    daemon.driver.await_domain_state();
    if let Some(factor) = setup.cold_factor {
        daemon.driver.set_cold_factor(factor);
    }
    let mut events = Vec::new();
    let mut out = Vec::new();
    loop {
        let timeout = daemon.next_tick.saturating_sub(clock::uptime());
        daemon
            .net
            .poll(timeout, &mut events)
            .map_err(error_at("poll"))?;
        let now = clock::uptime();
        while let Ok(event) = rx.try_recv() {
            daemon.on_thread_event(now, event, &mut out);
        }
        // Time-outs are handled before the events: if the process was suspended, messages received
        // meanwhile must not renew links and leases that have expired.
        daemon.tick(now, &mut events, &mut out);
        daemon.apply(now, &mut out);
        for event in events.drain(..) {
            daemon.on_net(now, event, &mut out);
        }
        daemon.apply(now, &mut out);
        if daemon.has_ended(now) {
            log::info!(runs = daemon.driver.run_count(); "agent stopped");
            logging::flush();
            return Ok(());
        }
    }
}

/// Keeps the bodies of announcements only.
struct Bodies;

impl BodyFilter for Bodies {
    fn body_use(&self, tag: u8, _head: &HttpRequest) -> BodyUse {
        if tag == WORKER_TAG {
            BodyUse::Keep
        } else {
            BodyUse::Discard
        }
    }
}

struct Daemon {
    driver: Driver,
    net: Net,
    peers: Peers,
    cluster: Cluster,
    calls: WorkerConns,
    protocol: Box<dyn WorkerProtocol>,
    reload: Box<dyn FnMut() -> Option<ReloadableSettings> + Send>,
    draining_since: Option<Uptime>,
    next_tick: Uptime,
    next_reload: Uptime,
    link_count: LinkCount,
    /// What the member list says of the worker.
    announced: Option<WorkerInfo>,
}

impl Daemon {
    fn has_ended(&self, now: Uptime) -> bool {
        self.draining_since
            .is_some_and(|since| self.driver.is_idle() || now >= since + DRAIN_LIMIT)
    }

    fn on_thread_event(&mut self, now: Uptime, event: ThreadEvent, out: &mut Vec<Action>) {
        match event {
            ThreadEvent::Cluster(ClusterEvent::State(state)) => {
                if let Some(catalog) = &state.catalog {
                    let pools = catalog.pools.iter().map(|pool| pool.name.clone());
                    self.driver.set_pools(pools.collect());
                }
                let domain = &self.cluster.hello.domain;
                let evacuated = state.evacuated.contains_key(domain);
                self.driver.set_evacuated(now, evacuated, out);
            }
            ThreadEvent::Cluster(ClusterEvent::Members(members)) => self.on_members(now, &members),
            ThreadEvent::Shutdown => {
                log::info!(runs = self.driver.run_count(); "agent draining");
                self.draining_since = Some(now);
                self.cluster.set_leaving();
                self.driver.drain(out);
            }
            ThreadEvent::Reload => self.next_reload = now,
        }
    }

    fn on_members(&mut self, now: Uptime, members: &[Member]) {
        let hello = &self.cluster.hello;
        let entries = Entries::of(members);
        let links = self.link_count.update(&entries);
        let names = entries.for_agent(&hello.node.name, &hello.domain, links);
        let mut targets: Vec<(Name, SocketAddr)> = members
            .iter()
            .filter(|m| m.role == Role::Entry)
            .map(|m| (m.node.name.clone(), m.link))
            .collect();
        // Entries that are alive come first; dead ones are dialled too while the limit permits.
        targets.sort_by_key(|(name, _)| !names.contains(name));
        targets.truncate(links);
        self.peers.set_targets(now, targets);
        let retiring = self.peers.dialled_without_target();
        if !retiring.is_empty() {
            log::info!(links = names.len(), closing = retiring.len();
                "entries to link with changed");
        }
        self.driver.set_retiring(now, &retiring);
    }

    fn on_net(&mut self, now: Uptime, event: NetEvent, out: &mut Vec<Action>) {
        match event {
            NetEvent::Request(conn, tag, req) => self.on_request(now, conn, tag, &req, out),
            NetEvent::Response(conn, response) => {
                if let Some((id, call)) = self.calls.on_response(conn) {
                    let (reply, clock_ms) = self.protocol.parse_response(&call, &response);
                    self.driver.on_reply(now, id, reply, clock_ms, out);
                }
            }
            NetEvent::CallConnClosed(conn, opened) => {
                if let Some((id, _)) = self.calls.on_closed(conn) {
                    let reply = if opened {
                        Reply::Unknown
                    } else {
                        Reply::NotSent
                    };
                    self.driver.on_reply(now, id, reply, None, out);
                }
            }
            NetEvent::LinkUp(conn, hello) => {
                let (node, role) = (hello.node.clone(), hello.role);
                if self.peers.on_link_up(conn, hello, &mut self.net).is_none() {
                    return;
                }
                log::info!(peer:% = node.name, role:? = role; "link up");
                if role == Role::Entry {
                    self.driver.entry_up(now, node, out);
                }
            }
            NetEvent::LinkMsg(conn, msg) => self.on_msg(now, conn, msg, out),
            NetEvent::LinkDown(conn) => {
                if let Some(hello) = self.peers.on_link_down(now, conn) {
                    log::warn!(peer:% = hello.node.name, role:? = hello.role; "link lost");
                    self.driver.entry_down(&hello.node.name);
                }
            }
            NetEvent::CallerDisconnected(_) | NetEvent::Woken => {}
        }
    }

    fn on_msg(&mut self, now: Uptime, conn: ConnId, msg: Msg, out: &mut Vec<Action>) {
        if let Msg::Ask(ask) = msg {
            let answer = answer_ask(&self.cluster, &ask);
            self.net.send(now, conn, &Msg::AskReply(answer));
            return;
        }
        let Some(name) = self.peers.peer(conn).map(|hello| hello.node.name.clone()) else {
            return;
        };
        match msg {
            Msg::Pool(PoolMsg::ToAgent(msg)) => self.driver.on_entry(now, &name, msg, out),
            _ => self.driver.on_entry_activity(now, &name),
        }
    }

    fn on_request(
        &mut self,
        now: Uptime,
        conn: ConnId,
        tag: u8,
        req: &HttpRequest,
        out: &mut Vec<Action>,
    ) {
        if tag == METRICS_TAG {
            let found = req.path == "/metrics";
            let response = if found {
                metrics_response()
            } else {
                HttpResponse::empty(404)
            };
            self.net.respond(conn, &response);
            return;
        }
        let response = match self.protocol.parse_request(req) {
            WorkerRequest::Heartbeat(heartbeat) => {
                let (id, number, start_time_ms) = (
                    heartbeat.id.clone(),
                    heartbeat.number,
                    heartbeat.start_time_ms,
                );
                let wall_ms = clock::wall().0;
                match self.driver.on_heartbeat_at(now, wall_ms, heartbeat, out) {
                    HeartbeatOutcome::Applied => self.protocol.acknowledge(),
                    HeartbeatOutcome::Unconfirmed => {
                        log::info!(worker = shortened(&id), number = number, born = start_time_ms;
                            "announcement of another worker; asking it for its identity");
                        self.protocol.acknowledge()
                    }
                    HeartbeatOutcome::Outdated => {
                        log::info!(worker:% = id, number = number, born = start_time_ms;
                            "outdated announcement ignored");
                        self.protocol.acknowledge()
                    }
                    HeartbeatOutcome::Odd(reason) => {
                        log::warn!(worker = shortened(&id), number = number, born = start_time_ms,
                            reason = reason; "odd announcement ignored");
                        HttpResponse::empty(400)
                    }
                }
            }
            WorkerRequest::Leave(id) => {
                log::info!(worker:% = id; "worker is shutting down");
                self.driver.on_leave(now, &id, out);
                self.protocol.acknowledge()
            }
            WorkerRequest::Malformed(reason) => {
                log::warn!(path = req.path, reason = reason; "malformed announcement rejected");
                HttpResponse::empty(400)
            }
            WorkerRequest::Other => HttpResponse::empty(404),
        };
        self.net.respond(conn, &response);
    }

    fn tick(&mut self, now: Uptime, events: &mut Vec<NetEvent>, out: &mut Vec<Action>) {
        if now < self.next_tick {
            return;
        }
        self.driver.tick(now, out);
        self.net.tick(now, events);
        self.peers.dial(now, &mut self.net);
        self.next_tick = now + self.driver.next_tick(now);
        if self.driver.worker_info() != self.announced.as_ref() {
            self.announced = self.driver.worker_info().cloned();
            let listed = self.announced.clone().filter(WorkerInfo::fits_member_list);
            if listed.is_none() && self.announced.is_some() {
                log::warn!("the labels of the worker are too long for the member list");
            }
            self.cluster.set_offers(listed);
        }
        if now >= self.next_reload {
            self.next_reload = now + Duration::from_secs(1);
            if let Some(reloaded) = (self.reload)() {
                self.cluster.set_seeds(reloaded.seeds);
            }
            notes::update_gauges(&self.driver, &self.net);
        }
    }

    fn apply(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let mut failed = Vec::new();
        for action in out.drain(..) {
            match action {
                Action::Send(entry, msg) => {
                    if let Some(conn) = self.peers.conn(&entry) {
                        self.net.send(now, conn, &Msg::Pool(PoolMsg::ToEntry(msg)));
                    }
                }
                Action::Call(id, call) => {
                    let Some(target) = self.driver.call_target(id) else {
                        continue;
                    };
                    let req = self.protocol.call(&call, target);
                    if !self.calls.start(now, id, call, &req, &mut self.net) {
                        failed.push(id);
                    }
                }
                Action::DropCall(id) => self.calls.drop_call(id, &mut self.net),
                Action::DropLink(entry) => {
                    self.peers.drop_link(now, &entry, &mut self.net);
                }
                Action::Note(note) => notes::record(&note),
            }
        }
        for id in failed {
            self.driver.on_reply(now, id, Reply::NotSent, None, out);
        }
        // The actions may have brought the next tick forward.
        let due = now + self.driver.next_tick(now);
        self.next_tick = self.next_tick.min(due);
    }
}

/// Returns the beginning of a name that another process has chosen, for a log line.
fn shortened(name: &str) -> &str {
    name.char_indices()
        .nth(MAX_LOGGED_CHARS)
        .map_or(name, |(end, _)| &name[..end])
}
