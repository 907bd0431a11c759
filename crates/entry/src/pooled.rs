//! The entry's daemon for pooled jobs: one thread that feeds the scheduler with callers' requests and
//! links' messages and carries out its actions.

mod notes;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rw_core::ids::Name;
use rw_core::members::Member;
use rw_core::msg::{Msg, Role};
use rw_core::pool::Uptime;
use rw_core::pool::catalog::{CallerLimits, Catalog, Queue, QueueTable};
use rw_core::pool::job::{Job, JobId};
use rw_core::pool::msg::PoolMsg;
use rw_core::pool::scheduler::{Action, Answer, Scheduler};
use rw_host::cluster::{Cluster, ClusterEvent};
use rw_host::net::{Accepts, ConnId, HttpLimits, HttpRequest, HttpResponse, Net, NetEvent};
use rw_host::peers::Peers;
use rw_host::pooled::{METRICS, Outside, Reloaded, Started, answer_ask, metrics_response, start};
use rw_host::settings::NodeSettings;
use rw_host::{clock, logging};
use thiserror::Error;

/// Marks of the listeners.
const CALLERS: u8 = 0;
const READINESS: u8 = 1;
/// Connections of callers and links, below the limit of descriptors of a small machine.
const MAX_CONNS: usize = 3000;
/// Time between two ticks while jobs are open, and otherwise.
const TICK: Duration = Duration::from_millis(20);
const IDLE_TICK: Duration = Duration::from_millis(100);
/// After the signal to end, callers may still come until the balancer has seen two misses.
const DRAIN_TIME: Duration = Duration::from_millis(2600);
/// After this time the process ends whatever is open, before the platform ends it.
const DRAIN_LIMIT: Duration = Duration::from_millis(5600);

/// A caller's request as the port reads it.
#[derive(Debug)]
pub enum CallerCall {
    /// Run a job and answer at its end.
    Submit {
        /// The job.
        job: Job,
        /// Its queue.
        queue: Arc<Queue>,
        /// Time that the caller waits.
        deadline: Duration,
    },
    /// How many jobs of a queue have not begun.
    Pending(Arc<Queue>),
    /// A job's state.
    State(JobId),
    /// Cancel a job.
    Cancel(JobId),
    /// Nothing that is served: status and reason.
    Refuse(u16, String),
}

/// How callers speak.
pub trait CallerPort: Send {
    /// Reads a request.
    fn read(&self, req: &HttpRequest, queues: &QueueTable) -> CallerCall;
    /// Answers a job; `None` breaks the connection off.
    fn answer(&self, answer: &Answer) -> Option<HttpResponse>;
    /// Answers how many jobs wait.
    fn pending(&self, jobs: usize) -> HttpResponse;
    /// Answers whether a job is open.
    fn state(&self, open: bool) -> HttpResponse;
    /// Answers whether a job was cancelled.
    fn cancelled(&self, known: bool) -> HttpResponse;
    /// Refuses, with a status and a reason.
    fn refuse(&self, status: u16, reason: &str) -> HttpResponse;
    /// What the caller calls this request, for logs; empty if it has no name.
    fn request_name<'a>(&self, req: &'a HttpRequest) -> &'a str;
    /// The path at which readiness is asked.
    fn readiness_path(&self) -> &'static str;
}

/// How the daemon starts.
pub struct EntrySetup {
    /// The node.
    pub node: NodeSettings,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness is asked.
    pub readiness: SocketAddr,
    /// How callers speak.
    pub port: Box<dyn CallerPort>,
    /// Reads the settings file again.
    pub reload: Box<dyn FnMut() -> Option<Reloaded> + Send>,
}

impl std::fmt::Debug for EntrySetup {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "EntrySetup({})", self.node.name)
    }
}

/// Why the daemon cannot start or go on.
#[derive(Debug, Error)]
pub enum EntryError {
    /// A socket or thread cannot be had.
    #[error("{step}: {source}")]
    Io {
        /// What was being done.
        step: &'static str,
        /// Why it failed.
        source: io::Error,
    },
}

fn at(step: &'static str) -> impl FnOnce(io::Error) -> EntryError {
    move |source| EntryError::Io { step, source }
}

/// Runs the daemon until it is told to end.
pub fn run(setup: EntrySetup) -> Result<(), EntryError> {
    let Started {
        cluster,
        mut net,
        rx,
    } = start(&setup.node, Role::Entry, MAX_CONNS).map_err(at("start"))?;
    net.listen(setup.readiness, Accepts::Http(READINESS))
        .map_err(at("listen to readiness"))?;
    let now = clock::uptime();
    let mut daemon = Daemon {
        core: Scheduler::new(now, fastrand::Rng::new()),
        net,
        peers: Peers::default(),
        cluster,
        port: setup.port,
        reload: setup.reload,
        queues: None,
        callers: Some(setup.callers),
        version: 0,
        leaving: None,
        next_tick: now,
        next_reload: now,
        ready: false,
    };
    let mut events = Vec::new();
    let mut out = Vec::new();
    loop {
        let timeout = daemon.timeout();
        daemon.net.poll(timeout, &mut events).map_err(at("poll"))?;
        let now = clock::uptime();
        daemon.core.observe(now, &mut out);
        while let Ok(event) = rx.try_recv() {
            daemon.on_outside(now, event)?;
        }
        for event in events.drain(..) {
            daemon.on_net(now, event, &mut out);
        }
        daemon.core.place_waiting(now, &mut out);
        daemon.tick(now, &mut events, &mut out);
        daemon.act(now, &mut out);
        if daemon.is_over(now) {
            log::info!(open_jobs = daemon.core.open_jobs(); "entry ended");
            logging::flush();
            return Ok(());
        }
    }
}

struct Daemon {
    core: Scheduler,
    net: Net,
    peers: Peers,
    cluster: Cluster,
    port: Box<dyn CallerPort>,
    reload: Box<dyn FnMut() -> Option<Reloaded> + Send>,
    /// `None` until a catalogue is in force.
    queues: Option<QueueTable>,
    /// Where callers will be listened to once a catalogue is in force. Until then a caller finds no
    /// connection and comes again, where a refusal would be final.
    callers: Option<SocketAddr>,
    version: u64,
    leaving: Option<Uptime>,
    next_tick: Uptime,
    next_reload: Uptime,
    ready: bool,
}

impl Daemon {
    fn timeout(&self) -> Duration {
        self.next_tick.saturating_sub(clock::uptime())
    }

    /// Whether the time is over in which callers may still come.
    fn has_drained(&self, now: Uptime) -> bool {
        self.leaving.is_some_and(|since| now >= since + DRAIN_TIME)
    }

    fn is_over(&self, now: Uptime) -> bool {
        let Some(since) = self.leaving else {
            return false;
        };
        let idle = self.core.open_jobs() == 0 && !self.net.serves(CALLERS);
        now >= since + DRAIN_TIME && idle || now >= since + DRAIN_LIMIT
    }

    fn on_outside(&mut self, now: Uptime, event: Outside) -> Result<(), EntryError> {
        match event {
            Outside::Cluster(ClusterEvent::State(state)) => {
                if let Some(catalog) = &state.catalog {
                    self.on_catalog(catalog);
                    if let Some(addr) = self.callers.take() {
                        let listens = self.net.listen(addr, Accepts::Http(CALLERS));
                        listens.map_err(at("listen to callers"))?;
                    }
                }
            }
            Outside::Cluster(ClusterEvent::Members(members)) => self.on_members(now, &members),
            Outside::Shutdown => {
                log::info!(open_jobs = self.core.open_jobs(); "entry draining");
                self.leaving = Some(now);
                self.cluster.set_leaving();
                self.net.last_requests();
            }
            Outside::Reload => self.next_reload = now,
        }
        Ok(())
    }

    fn on_catalog(&mut self, catalog: &Catalog) {
        if catalog.version <= self.version {
            return;
        }
        log::info!(version = catalog.version, queues = catalog.queues.len(); "catalogue in force");
        self.version = catalog.version;
        self.queues = Some(QueueTable::new(catalog));
        self.net.set_limits(limits(&catalog.limits));
    }

    /// Entries dial the entries whose names come after their own; agents dial entries.
    fn on_members(&mut self, now: Uptime, members: &[Member]) {
        let me = self.cluster.hello.node.name.clone();
        let later = |m: &&Member| m.role == Role::Entry && m.node.name > me;
        let targets = members.iter().filter(later);
        let targets = targets.map(|m| (m.node.name.clone(), m.link)).collect();
        self.peers.want(now, targets);
    }

    fn on_net(&mut self, now: Uptime, event: NetEvent, out: &mut Vec<Action>) {
        match event {
            NetEvent::Request(conn, CALLERS, req) => self.on_caller(now, conn, &req, out),
            NetEvent::Request(conn, mark, req) => self.on_inquiry(conn, mark, &req),
            NetEvent::HungUp(conn) => self.core.disconnected(now, conn as u64, out),
            NetEvent::LinkUp(conn, hello) => {
                let (name, role) = (hello.node.name.clone(), hello.role);
                let Some(replaced) = self.peers.up(conn, hello, &mut self.net) else {
                    return;
                };
                log::info!(peer:% = name, role:? = role, replaced = replaced; "link up");
                match role {
                    Role::Agent => self.core.agent_up(now, &name, out),
                    Role::Entry => self.core.peer_up(&name),
                    Role::Control | Role::Tool => {}
                }
            }
            NetEvent::LinkMsg(conn, msg) => self.on_msg(now, conn, msg, out),
            NetEvent::LinkDown(conn) => {
                if let Some(hello) = self.peers.down(now, conn) {
                    self.on_link_lost(now, &hello);
                }
            }
            NetEvent::Response(..) | NetEvent::CallEnded(..) | NetEvent::Woken => {}
        }
    }

    fn on_link_lost(&mut self, now: Uptime, hello: &rw_core::msg::Hello) {
        let name = &hello.node.name;
        log::warn!(peer:% = name, role:? = hello.role; "link lost");
        match hello.role {
            Role::Agent => self.core.agent_down(now, name),
            Role::Entry => self.core.peer_down(now, name),
            Role::Control | Role::Tool => {}
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
            Msg::Pool(PoolMsg::ToEntry(msg)) => self.core.on_agent(now, &name, msg, out),
            Msg::Pool(PoolMsg::Peer(msg)) => self.core.on_peer(now, &name, msg, out),
            _ => {}
        }
    }

    fn on_caller(&mut self, now: Uptime, conn: ConnId, req: &HttpRequest, out: &mut Vec<Action>) {
        let name = self.port.request_name(req);
        let Some(queues) = &self.queues else {
            log::info!(path = req.path, request = name, status = 503;
                "request refused: no catalogue yet");
            let response = self.port.refuse(503, "no catalogue is in force here yet");
            self.net.respond(conn, &response);
            return;
        };
        if self.leaving.is_some_and(|since| now >= since + DRAIN_TIME) {
            log::info!(path = req.path, request = name, status = 503;
                "request refused: the entry is ending");
            let response = self
                .port
                .refuse(503, "this entry is ending; ask another one now");
            self.net.respond(conn, &response);
            return;
        }
        let response = match self.port.read(req, queues) {
            CallerCall::Submit {
                job,
                queue,
                deadline,
            } => {
                self.core
                    .submit(now, job, queue, conn as u64, deadline, out);
                return;
            }
            CallerCall::Pending(queue) => self.port.pending(self.core.pending(&queue.name)),
            CallerCall::State(job) => self.port.state(self.core.holds(job)),
            CallerCall::Cancel(job) => {
                let known = self.core.cancel(now, job, out);
                log::info!(job:% = job, request = name, known = known; "cancel asked");
                self.port.cancelled(known)
            }
            CallerCall::Refuse(status, reason) => {
                log::info!(path = req.path, request = name, host = req.header("host").unwrap_or_default(),
                    status = status, reason = reason, version = self.version; "request refused");
                self.port.refuse(status, &reason)
            }
        };
        self.net.respond(conn, &response);
    }

    fn on_inquiry(&mut self, conn: ConnId, mark: u8, req: &HttpRequest) {
        let response = match mark {
            READINESS if req.path == self.port.readiness_path() => {
                HttpResponse::empty(if self.ready { 200 } else { 503 })
            }
            METRICS if req.path == "/metrics" => metrics_response(),
            _ => HttpResponse::empty(404),
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
        self.next_tick = now
            + if self.core.open_jobs() > 0 {
                TICK
            } else {
                IDLE_TICK
            };
        let ready =
            self.queues.is_some() && self.core.fleet().any_open(now) && self.leaving.is_none();
        if ready != self.ready {
            log::info!(ready = ready, version = self.version; "readiness changed");
            self.ready = ready;
        }
        if self.has_drained(now) {
            // The balancer may go on sending callers here if too few others are ready.
            self.net.stop_listening(CALLERS);
            self.net.last_requests();
            self.net.close_idle();
        }
        if now >= self.next_reload {
            self.next_reload = now + Duration::from_secs(1);
            if let Some(reloaded) = (self.reload)() {
                self.cluster.set_seeds(reloaded.seeds);
            }
            notes::held(&self.core, &self.net);
        }
    }

    fn act(&mut self, now: Uptime, out: &mut Vec<Action>) {
        for action in out.drain(..) {
            match action {
                Action::Send(agent, msg) => {
                    self.send(now, &agent, &Msg::Pool(PoolMsg::ToAgent(msg)));
                }
                Action::Peer(entry, msg) => {
                    self.send(now, &entry, &Msg::Pool(PoolMsg::Peer(msg)));
                }
                Action::Peers(msg) => {
                    let msg = Msg::Pool(PoolMsg::Peer(msg));
                    let entries = self.peers.linked().filter(|(h, _)| h.role == Role::Entry);
                    for (_, conn) in entries {
                        self.net.send(now, conn, &msg);
                    }
                }
                Action::Answer(caller, answer) => self.answer(caller as ConnId, &answer),
                Action::DropLinks => self.drop_links(now),
                Action::Note(note) => notes::note(&note, self.version),
            }
        }
    }

    fn send(&mut self, now: Uptime, name: &Name, msg: &Msg) {
        if let Some(conn) = self.peers.conn(name) {
            self.net.send(now, conn, msg);
        }
    }

    fn answer(&mut self, conn: ConnId, answer: &Answer) {
        match self.port.answer(answer) {
            Some(response) => self.net.respond(conn, &response),
            None => self.net.close(conn),
        }
    }

    fn drop_links(&mut self, now: Uptime) {
        let linked: Vec<Name> = self
            .peers
            .linked()
            .map(|(h, _)| h.node.name.clone())
            .collect();
        for name in linked {
            if let Some(hello) = self.peers.drop_link(now, &name, &mut self.net) {
                self.on_link_lost(now, &hello);
            }
        }
    }
}

/// The catalogue's limits, with the product's where it names none.
fn limits(limits: &CallerLimits) -> HttpLimits {
    let default = HttpLimits::default();
    HttpLimits {
        head_bytes: limits.head_bytes.map_or(default.head_bytes, |n| n as usize),
        body_bytes: limits.body_bytes.map_or(default.body_bytes, |n| n as usize),
        request_time: limits.head_time.unwrap_or(default.request_time),
        idle_time: limits.idle_time.unwrap_or(default.idle_time),
    }
}
