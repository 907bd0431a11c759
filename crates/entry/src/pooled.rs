//! The entry's daemon for pooled jobs: one thread that passes callers' requests and the messages of
//! agents and other entries to the scheduler and carries out its actions.

mod bodies;
mod error;
mod links;
mod monitoring;
mod notes;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use rw_core::ids::Name;
use rw_core::msg::{Msg, Role};
use rw_core::pool::catalog::{CallerLimits, Catalog, Queue, QueueTable};
use rw_core::pool::job::{Job, JobId};
use rw_core::pool::msg::PoolMsg;
use rw_core::pool::reach::Reach;
use rw_core::pool::scheduler::{Action, Answer, CancelAnswer, Scheduler};
use rw_core::pool::{KeepAlive, Uptime};
use rw_host::cluster::{Cluster, ClusterEvent};
use rw_host::net::budget::StrangerLimits;
use rw_host::net::{Accepts, ConnId, HttpLimits, HttpRequest, HttpResponse, Net, NetEvent};
use rw_host::peers::Peers;
use rw_host::pooled::{PooledDaemon, ReloadableSettings, ThreadEvent, answer_ask, start};
use rw_host::settings::{MachineLimits, NodeSettings};
use rw_host::{clock, logging};

pub use error::EntryError;

use bodies::Bodies;
use error::error_at;

/// Tag of the HTTP listener for callers.
const CALLERS_TAG: u8 = 0;
/// Tag of the HTTP listener for readiness checks.
const READINESS_TAG: u8 = 1;
/// Maximum number of open connections of all kinds, below the file descriptor limit of a small
/// machine.
const MAX_CONNS: usize = 3000;
/// Interval at which time-outs are handled while jobs are open.
const TICK: Duration = Duration::from_millis(20);
/// As [`TICK`], while no job is open.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Time after SIGTERM or SIGINT for which new requests are still accepted: by then the load
/// balancer has seen two failed readiness checks.
const DRAIN_TIME: Duration = Duration::from_millis(2600);
/// Time after SIGTERM or SIGINT at which the process exits even with open jobs, before the platform
/// kills it.
const DRAIN_LIMIT: Duration = Duration::from_millis(5600);

/// A parsed request of a caller.
#[derive(Debug)]
pub enum CallerRequest {
    /// Submits a job. It is answered when the job ends.
    Submit {
        /// The job.
        job: Job,
        /// Its queue.
        queue: Arc<Queue>,
        /// Time from its arrival after which the caller stops waiting.
        deadline: Duration,
    },
    /// Asks for the number of open jobs of the queue that have no task sent to a worker yet.
    Pending(Arc<Queue>),
    /// Asks whether the job is open.
    State(JobId),
    /// Cancels the job.
    Cancel(JobId),
    /// A request that is invalid or not supported, with the HTTP status and the reason to answer.
    Refuse(u16, String),
}

/// Translates between the scheduler and the HTTP protocol of the callers.
pub trait CallerProtocol: Send + Sync {
    /// Parses a request of a caller.
    fn parse_request(&self, req: &HttpRequest, queues: &QueueTable) -> CallerRequest;
    /// Returns whether the body of a request with this head is needed.
    fn takes_body(&self, head: &HttpRequest, queues: &QueueTable) -> bool;
    /// Builds the response for the answer to a job; `None` closes the connection without one.
    fn answer(&self, answer: &Answer) -> Option<HttpResponse>;
    /// Builds the response to [`CallerRequest::Pending`].
    fn pending(&self, jobs: usize) -> HttpResponse;
    /// Builds the response to [`CallerRequest::State`].
    fn state(&self, open: bool) -> HttpResponse;
    /// Builds the response to [`CallerRequest::Cancel`].
    fn cancelled(&self, answer: CancelAnswer) -> HttpResponse;
    /// Builds the response that refuses a request with an HTTP status and a reason.
    fn refuse(&self, status: u16, reason: &str) -> HttpResponse;
    /// Returns the caller's id of this request, for logs; empty if it has none.
    fn request_id<'a>(&self, req: &'a HttpRequest) -> &'a str;
    /// Returns the path of readiness checks.
    fn readiness_path(&self) -> &'static str;
}

/// Parameters of [`run`].
pub struct EntrySetup {
    /// Settings of this node.
    pub node: NodeSettings,
    /// Address on which the entry listens for callers.
    pub callers: SocketAddr,
    /// Address on which the entry listens for readiness checks.
    pub readiness: SocketAddr,
    /// What the machine grants this process.
    pub limits: MachineLimits,
    /// Whether room is kept for large waiting tasks, by forecasts of agents and reservations of
    /// entries.
    pub look_ahead: bool,
    /// Factor on the run time of a task outside the rack of its data, if it is known.
    pub other_rack_factor: Option<f64>,
    /// Blake3 hashes, in hexadecimal, of the operators' tokens for explanations; without one,
    /// explanations are not served.
    pub operator_token_hashes: Vec<String>,
    /// The callers' protocol.
    pub protocol: Box<dyn CallerProtocol>,
    /// Reloads the settings; called every second and when a reload is requested. Returns `None` if
    /// there is nothing to apply.
    pub reload: Box<dyn FnMut() -> Option<ReloadableSettings> + Send>,
}

impl std::fmt::Debug for EntrySetup {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "EntrySetup({})", self.node.name)
    }
}

/// Runs the daemon until it has drained after SIGTERM or SIGINT.
///
/// Returns an error if a socket or thread cannot be set up or polling fails.
pub fn run(setup: EntrySetup) -> Result<(), EntryError> {
    let limits = StrangerLimits::new(&setup.limits, MAX_CONNS);
    let PooledDaemon {
        cluster,
        mut net,
        rx,
    } = start(&setup.node, Role::Entry, limits).map_err(error_at("start"))?;
    let protocol: Arc<dyn CallerProtocol> = Arc::from(setup.protocol);
    let operator_token_hashes: Arc<[String]> = setup.operator_token_hashes.into();
    net.set_body_filter(Box::new(Bodies {
        protocol: protocol.clone(),
        queues: None,
        operator_token_hashes: operator_token_hashes.clone(),
    }));
    net.listen(setup.readiness, Accepts::Http(READINESS_TAG))
        .map_err(error_at("listen for readiness checks"))?;
    let now = clock::uptime();
    let reach = Reach::new(cluster.hello.node.name.clone());
    let mut scheduler = Scheduler::new(now, fastrand::Rng::new());
    if let Some(factor) = setup.other_rack_factor {
        scheduler.set_other_rack_factor(factor);
    }
    if setup.look_ahead {
        scheduler = scheduler.with_reservations();
    }
    let mut daemon = Daemon {
        scheduler,
        net,
        peers: Peers::default(),
        cluster,
        protocol,
        reload: setup.reload,
        operator_token_hashes,
        next_explanation: now,
        queues: None,
        pending_listen: Some(setup.callers),
        catalog_version: 0,
        draining_since: None,
        next_tick: now,
        next_reload: now,
        ready: false,
        later_entries: Vec::new(),
        entry_count: 1,
        reach,
        evacuated: IndexSet::new(),
        rng: fastrand::Rng::new(),
    };
    let mut events = Vec::new();
    let mut out = Vec::new();
    loop {
        let timeout = daemon.poll_timeout();
        daemon
            .net
            .poll(timeout, &mut events)
            .map_err(error_at("poll"))?;
        let now = clock::uptime();
        daemon.scheduler.observe(now, &mut out);
        while let Ok(event) = rx.try_recv() {
            daemon.on_thread_event(now, event, &mut out);
        }
        for event in events.drain(..) {
            daemon.on_net(now, event, &mut out);
        }
        daemon.listen_when_acquainted(now)?;
        daemon.scheduler.place_waiting(now, &mut out);
        daemon.tick(now, &mut events, &mut out);
        daemon.apply(now, &mut out);
        if daemon.has_ended(now) {
            log::info!(open_jobs = daemon.scheduler.open_jobs(); "entry stopped");
            logging::flush();
            return Ok(());
        }
    }
}

struct Daemon {
    scheduler: Scheduler,
    net: Net,
    peers: Peers,
    cluster: Cluster,
    protocol: Arc<dyn CallerProtocol>,
    reload: Box<dyn FnMut() -> Option<ReloadableSettings> + Send>,
    operator_token_hashes: Arc<[String]>,
    /// Time from which the next explanation is given.
    next_explanation: Uptime,
    /// Queues of the catalogue in force; `None` before the first catalogue.
    queues: Option<Arc<QueueTable>>,
    /// Address for callers, until the entry listens on it. It does so only once a catalogue is in
    /// force, since callers retry when they cannot connect but take a refusal as final, and the jobs
    /// of the other entries are known, since it would start or deny jobs that run there.
    pending_listen: Option<SocketAddr>,
    /// Version of the catalogue in force; 0 before the first.
    catalog_version: u64,
    draining_since: Option<Uptime>,
    next_tick: Uptime,
    next_reload: Uptime,
    ready: bool,
    /// Entries that this one keeps links to, with their addresses.
    later_entries: Vec<(Name, SocketAddr)>,
    /// Number of entries in the member list, this one included, whatever their state.
    entry_count: usize,
    reach: Reach,
    /// Evacuated failure domains by the state in force.
    evacuated: IndexSet<Name>,
    rng: fastrand::Rng,
}

impl Daemon {
    fn poll_timeout(&self) -> Duration {
        self.next_tick.saturating_sub(clock::uptime())
    }

    /// Returns whether new requests are refused because the entry is shutting down.
    fn refuses_requests(&self, now: Uptime) -> bool {
        self.draining_since
            .is_some_and(|since| now >= since + DRAIN_TIME)
    }

    fn has_ended(&self, now: Uptime) -> bool {
        let Some(since) = self.draining_since else {
            return false;
        };
        let idle = self.scheduler.open_jobs() == 0 && !self.net.has_pending_requests(CALLERS_TAG);
        now >= since + DRAIN_TIME && idle || now >= since + DRAIN_LIMIT
    }

    fn on_thread_event(&mut self, now: Uptime, event: ThreadEvent, out: &mut Vec<Action>) {
        match event {
            ThreadEvent::Cluster(ClusterEvent::State(state)) => {
                // Before the entry listens: no run of a new process is sent to an evacuated domain.
                self.on_evacuated(now, state.evacuated.keys().cloned().collect(), out);
                if let Some(catalog) = &state.catalog {
                    self.on_catalog(catalog);
                }
            }
            ThreadEvent::Cluster(ClusterEvent::Members(members)) => self.on_members(now, &members),
            ThreadEvent::Shutdown => {
                log::info!(open_jobs = self.scheduler.open_jobs(); "entry draining");
                self.draining_since = Some(now);
                self.scheduler.set_end(now + DRAIN_LIMIT);
                self.cluster.set_leaving();
                self.net.close_after_next_response();
            }
            ThreadEvent::Reload => self.next_reload = now,
        }
    }

    /// Listens for callers once a catalogue is in force and the jobs of the other entries are known.
    fn listen_when_acquainted(&mut self, now: Uptime) -> Result<(), EntryError> {
        if self.pending_listen.is_none()
            || self.queues.is_none()
            || !self.scheduler.is_acquainted(now)
        {
            return Ok(());
        }
        if let Some(addr) = self.pending_listen.take() {
            let listening = self.net.listen(addr, Accepts::Http(CALLERS_TAG));
            listening.map_err(error_at("listen for callers"))?;
            log::info!(version = self.catalog_version; "listening for callers");
        }
        Ok(())
    }

    fn on_catalog(&mut self, catalog: &Catalog) {
        if catalog.version <= self.catalog_version {
            return;
        }
        log::info!(version = catalog.version, queues = catalog.queues.len(); "catalogue in force");
        self.catalog_version = catalog.version;
        let queues = Arc::new(QueueTable::new(catalog));
        self.net.set_body_filter(Box::new(Bodies {
            protocol: self.protocol.clone(),
            queues: Some(queues.clone()),
            operator_token_hashes: self.operator_token_hashes.clone(),
        }));
        self.queues = Some(queues);
        self.scheduler.set_catalog(catalog);
        self.net.set_limits(http_limits(&catalog.limits));
    }

    fn on_net(&mut self, now: Uptime, event: NetEvent, out: &mut Vec<Action>) {
        match event {
            NetEvent::Request(conn, CALLERS_TAG, req) => {
                self.on_caller_request(now, conn, &req, out);
            }
            NetEvent::Request(conn, tag, req) => self.on_monitoring_request(now, conn, tag, &req),
            NetEvent::CallerDisconnected(conn) => {
                self.scheduler.disconnected(now, conn as u64, out);
            }
            NetEvent::LinkUp(conn, hello) => {
                let (name, role) = (hello.node.name.clone(), hello.role);
                let domain = hello.domain.clone();
                let Some(replaced) = self.peers.on_link_up(conn, hello, &mut self.net) else {
                    return;
                };
                log::info!(peer:% = name, role:? = role, replaced = replaced; "link up");
                match role {
                    Role::Agent => {
                        self.scheduler.agent_up(now, &name, out);
                        self.scheduler.agent_domain(&name, &domain);
                    }
                    Role::Entry => {
                        let keep_alive = KeepAlive::between_entries(self.entry_count);
                        self.net.set_keep_alive(conn, keep_alive);
                        self.scheduler.peer_up(&name, out);
                    }
                    Role::Control | Role::Tool => {}
                }
            }
            NetEvent::LinkMsg(conn, msg) => self.on_msg(now, conn, msg, out),
            NetEvent::LinkDown(conn) => {
                if let Some(hello) = self.peers.on_link_down(now, conn) {
                    self.on_link_lost(now, &hello);
                }
            }
            NetEvent::Response(..) | NetEvent::CallConnClosed(..) | NetEvent::Woken => {}
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
            Msg::Pool(PoolMsg::ToEntry(msg)) => self.scheduler.on_agent(now, &name, msg, out),
            Msg::Pool(PoolMsg::Peer(msg)) => self.scheduler.on_peer(now, &name, msg, out),
            _ => {}
        }
    }

    fn on_caller_request(
        &mut self,
        now: Uptime,
        conn: ConnId,
        req: &HttpRequest,
        out: &mut Vec<Action>,
    ) {
        let request = self.protocol.request_id(req);
        let Some(queues) = &self.queues else {
            log::info!(path = req.path, request = request, status = 503;
                "request refused: no catalogue is in force");
            let response = self
                .protocol
                .refuse(503, "no catalogue is in force here yet");
            self.net.respond(conn, &response);
            return;
        };
        if self
            .draining_since
            .is_some_and(|since| now >= since + DRAIN_TIME)
        {
            log::info!(path = req.path, request = request, status = 503;
                "request refused: the entry is shutting down");
            let response = self
                .protocol
                .refuse(503, "this entry is ending; ask another one now");
            self.net.respond(conn, &response);
            return;
        }
        let response = match self.protocol.parse_request(req, queues) {
            CallerRequest::Submit {
                job,
                queue,
                deadline,
            } => {
                self.scheduler
                    .submit(now, job, queue, conn as u64, deadline, out);
                return;
            }
            CallerRequest::Pending(queue) => {
                self.protocol.pending(self.scheduler.pending(&queue.name))
            }
            CallerRequest::State(job) => self.protocol.state(self.scheduler.is_open(job)),
            CallerRequest::Cancel(job) => {
                log::info!(job:% = job, request = request; "cancel requested");
                self.scheduler.cancel(now, job, conn as u64, out);
                return;
            }
            CallerRequest::Refuse(status, reason) => {
                log::info!(path = req.path, request = request, host = req.header("host").unwrap_or_default(),
                    status = status, reason = reason, version = self.catalog_version; "request refused");
                self.protocol.refuse(status, &reason)
            }
        };
        self.net.respond(conn, &response);
    }

    fn tick(&mut self, now: Uptime, events: &mut Vec<NetEvent>, out: &mut Vec<Action>) {
        if now < self.next_tick {
            return;
        }
        self.scheduler.tick(now, out);
        self.net.tick(now, events);
        self.update_reach(now);
        self.peers.dial(now, &mut self.net);
        self.next_tick = now
            + if self.scheduler.open_jobs() > 0 {
                TICK
            } else {
                IDLE_TICK
            };
        let ready = self.pending_listen.is_none()
            && self.scheduler.fleet().any_accepts_runs(now)
            && self.draining_since.is_none();
        if ready != self.ready {
            log::info!(ready = ready, version = self.catalog_version; "readiness changed");
            self.ready = ready;
        }
        if self.refuses_requests(now) {
            // The load balancer still routes callers here if too few other entries are ready.
            self.net.stop_listening(CALLERS_TAG);
            self.net.close_after_next_response();
            self.net.close_idle();
        }
        if now >= self.next_reload {
            self.next_reload = now + Duration::from_secs(1);
            if let Some(reloaded) = (self.reload)() {
                self.cluster.set_seeds(reloaded.seeds);
            }
            notes::update_gauges(&self.scheduler, &self.net);
        }
    }

    fn apply(&mut self, now: Uptime, out: &mut Vec<Action>) {
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
                Action::CancelAnswer(caller, answer) => {
                    let response = self.protocol.cancelled(answer);
                    self.net.respond(caller as ConnId, &response);
                }
                Action::DropLinks => self.drop_links(now),
                Action::Note(note) => notes::record(&note, self.catalog_version),
            }
        }
    }

    fn send(&mut self, now: Uptime, name: &Name, msg: &Msg) {
        if let Some(conn) = self.peers.conn(name) {
            self.net.send(now, conn, msg);
        }
    }

    fn answer(&mut self, conn: ConnId, answer: &Answer) {
        match self.protocol.answer(answer) {
            Some(response) => self.net.respond(conn, &response),
            None => self.net.close(conn),
        }
    }
}

/// Returns the catalogue's limits, completed with the defaults.
fn http_limits(limits: &CallerLimits) -> HttpLimits {
    let default = HttpLimits::default();
    HttpLimits {
        head_bytes: limits.head_bytes.map_or(default.head_bytes, |n| n as usize),
        body_bytes: limits.body_bytes.map_or(default.body_bytes, |n| n as usize),
        request_time: limits.head_time.unwrap_or(default.request_time),
        idle_time: limits.idle_time.unwrap_or(default.idle_time),
    }
}
