//! Cluster membership and distribution of the configuration.
//!
//! One thread owns the member table and the gossip socket. When a datagram announces a higher
//! configuration revision, a second thread fetches the configuration from its sender.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use flume::{Receiver, Sender};
use rw_core::codec::ClusterKey;
use rw_core::config::ClusterState;
use rw_core::ids::{Name, NodeRef};
use rw_core::members::{self, Gossip, Member, MemberState, Members, Outgoing};
use rw_core::msg::{Ask, AskReply, Hello, Msg, Role};
use rw_core::pool::msg::WorkerInfo;

use serde::{Deserialize, Serialize};

use crate::link::{Link, ask, spawn};
use crate::metrics;
use crate::settings::{BoundSockets, NodeSettings};

/// Read time-out of the gossip socket: the member table is ticked at least this often.
const TICK: Duration = Duration::from_millis(50);
/// Period after the start in which the member list is fetched again.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);
/// Time from the first fetch of the member list to the second one during [`STARTUP_PERIOD`]; doubles
/// with each further one.
const MEMBER_LIST_INTERVAL: Duration = Duration::from_millis(400);
/// Number of fetches of the member list from whoever answers first, which is a seed. Further ones go
/// to any member, so that the seeds are not loaded by all processes of a cluster that starts.
const FETCHES_FROM_SEEDS: u32 = 1;
/// As [`FETCHES_FROM_SEEDS`], for entries. In a cluster that starts, the first list is incomplete;
/// entries learn of all agents from the second one and introduce themselves to them.
const FETCHES_FROM_SEEDS_BY_ENTRIES: u32 = 2;
/// Bound of the number of doublings of [`MEMBER_LIST_INTERVAL`].
const STARTUP_DOUBLINGS: u32 = 4;
/// Size of the receive buffer; longer datagrams are truncated and fail authentication.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;
/// Maximum time for which a fetched configuration waits until the member list that came with it is
/// published. Several times [`TICK`].
const MERGE_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of evacuated failure domains that a log line names.
const LOGGED_DOMAINS: usize = 8;

/// A change of the cluster as this process sees it.
#[derive(Debug)]
pub enum ClusterEvent {
    /// A configuration with a higher revision was fetched.
    State(Arc<ClusterState>),
    /// The member table changed; holds the full list.
    Members(Vec<Member>),
}

/// Callback that receives cluster events. It runs on the membership and the fetch thread.
pub type ClusterSink = Arc<dyn Fn(ClusterEvent) + Send + Sync>;

#[derive(Debug)]
enum Command {
    Revision(u64),
    Ready(u64),
    Leaving,
    Offers(Option<WorkerInfo>),
    Seeds(Vec<SocketAddr>),
}

#[derive(Debug, Default)]
struct Shared {
    state: Option<Arc<ClusterState>>,
    members: Vec<Member>,
}

/// The configuration in force at one node, as served at `/v1/inforce`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct InForce {
    /// The node's name.
    pub node: Name,
    /// The configuration's revision; 0 before the node has a configuration.
    pub revision: u64,
    /// The preset in force; `None` before the node has a configuration.
    pub preset: Option<Name>,
}

/// A handle to the cluster membership of this process. Clones share the same state.
#[derive(Clone, Debug)]
pub struct Cluster {
    /// The identity of this process on links.
    pub hello: Hello,
    shared: Arc<Mutex<Shared>>,
    tx: Sender<Command>,
}

/// The parameters with which a process joins the cluster.
pub struct ClusterSetup {
    /// The node's settings: name, failure domain, addresses, seeds.
    pub node: NodeSettings,
    /// The role of the process, announced to the other members.
    pub role: Role,
    /// Distinguishes restarts of the same node; a later start has a higher number.
    pub incarnation: u64,
    /// Whether the process fetches newer configurations from other members.
    pub fetches_config: bool,
    /// Receives the cluster events.
    pub sink: ClusterSink,
}

impl std::fmt::Debug for ClusterSetup {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ClusterSetup({} as {:?})", self.node.name, self.role)
    }
}

impl ClusterSetup {
    /// Returns the identity with which this process opens links.
    pub fn hello(&self) -> Hello {
        let node = NodeRef {
            name: self.node.name.clone(),
            incarnation: self.incarnation,
        };
        Hello {
            node,
            role: self.role,
            domain: self.node.domain.clone(),
        }
    }

    fn member(&self) -> Member {
        let hello = self.hello();
        Member {
            node: hello.node,
            version: 1,
            role: self.role,
            domain: hello.domain,
            gossip: self.node.gossip,
            link: self.node.advertise.unwrap_or(self.node.link),
            http: self.node.http,
            state: MemberState::Alive,
            leaving: false,
            ready_for: 0,
            offers: None,
        }
    }

    /// Starts the membership and the fetch thread on the bound gossip socket.
    pub fn start(self, bound: &BoundSockets) -> std::io::Result<Cluster> {
        self.start_on_socket(bound.gossip.try_clone()?, bound.key.clone())
    }

    /// Starts the membership and the fetch thread on a UDP socket that is already bound.
    pub fn start_on_socket(self, socket: UdpSocket, key: ClusterKey) -> std::io::Result<Cluster> {
        socket.set_read_timeout(Some(TICK))?;
        let (tx, rx) = flume::bounded(256);
        let (fetch_tx, fetch_rx) = flume::bounded(1);
        let shared = Arc::new(Mutex::new(Shared::default()));
        let hello = self.hello();
        let cluster = Cluster {
            hello: hello.clone(),
            shared: shared.clone(),
            tx,
        };
        let members = Members::new(self.member(), self.node.seeds.clone(), fastrand::Rng::new());
        let membership = MembershipLoop {
            members,
            socket,
            key: key.clone(),
            rx,
            fetch_tx,
            started_at: Instant::now(),
            next_member_list: Instant::now(),
            member_list_fetches: 0,
            rng: fastrand::Rng::new(),
            shared,
            sink: self.sink.clone(),
            published_generation: 0,
            fetches_config: self.fetches_config,
        };
        let fetcher = Fetcher {
            cluster: cluster.clone(),
            key,
            hello,
            rx: fetch_rx,
            sink: self.sink,
            fetches_config: self.fetches_config,
        };
        let (members_tx, members_rx) = flume::bounded(16);
        spawn("members", move || membership.run(&members_rx));
        spawn("fetch", move || fetcher.run(&members_tx));
        Ok(cluster)
    }
}

impl Cluster {
    /// Stores a configuration and announces its revision to the other members. Does nothing unless
    /// its revision is higher than the current one.
    pub fn set_state(&self, state: Arc<ClusterState>) {
        let revision = state.revision;
        let mut shared = self.lock();
        if shared
            .state
            .as_ref()
            .is_some_and(|current| current.revision >= revision)
        {
            return;
        }
        let newer = state.clone();
        let before = shared.state.replace(state);
        drop(shared);
        note_evacuated(before.as_deref(), &newer);
        let _ = self.tx.send(Command::Revision(revision));
    }

    /// Announces that this process serves all its registry shards up to a revision.
    pub fn set_ready_for(&self, revision: u64) {
        let _ = self.tx.send(Command::Ready(revision));
    }

    /// Announces what the worker of this agent offers; `None` without a worker.
    pub fn set_offers(&self, offers: Option<WorkerInfo>) {
        let _ = self.tx.send(Command::Offers(offers));
    }

    /// Announces that this process is shutting down.
    pub fn set_leaving(&self) {
        let _ = self.tx.send(Command::Leaving);
    }

    /// Returns the configuration in force on this node, if there is one.
    pub fn state(&self) -> Option<Arc<ClusterState>> {
        self.lock().state.clone()
    }

    /// Returns the revision and preset in force on this node.
    pub fn in_force(&self) -> InForce {
        let state = self.state();
        InForce {
            node: self.hello.node.name.clone(),
            revision: state.as_ref().map_or(0, |state| state.revision),
            preset: state.map(|state| state.in_force.value.clone()),
        }
    }

    /// Returns the last published member list.
    pub fn members(&self) -> Vec<Member> {
        self.lock().members.clone()
    }

    /// Replaces the gossip addresses through which members are discovered.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        let _ = self.tx.send(Command::Seeds(seeds));
    }

    /// Sends the configuration on a link, if it is newer than `revision`. At revision 0 the reply
    /// includes the member list.
    pub fn send_sync_reply(&self, link: &Link, revision: u64) {
        link.send(Msg::AskReply(self.sync_reply(revision)));
    }

    /// Returns the reply to a process whose configuration has `revision`: the current configuration
    /// if it is newer, and the member list if `revision` is 0.
    pub fn sync_reply(&self, revision: u64) -> AskReply {
        let shared = self.lock();
        let newer = shared
            .state
            .clone()
            .filter(|state| state.revision > revision);
        let members = if revision == 0 {
            members::within_message(shared.members.clone())
        } else {
            Vec::new()
        };
        AskReply::Sync {
            state: newer,
            members,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs the evacuated failure domains if they have changed, and updates their metric.
fn note_evacuated(before: Option<&ClusterState>, state: &ClusterState) {
    let evacuated = &state.evacuated;
    let unchanged = before.map_or(evacuated.is_empty(), |before| {
        before.evacuated == *evacuated
    });
    metrics::HELD
        .with_label_values(&["evacuated_domains"])
        .set(evacuated.len() as i64);
    if unchanged {
        return;
    }
    let names: Vec<&str> = evacuated
        .keys()
        .map(|d| &**d)
        .take(LOGGED_DOMAINS)
        .collect();
    log::info!(evacuated = names.join(","), count = evacuated.len(), revision = state.revision;
        "evacuated domains changed");
}

/// State of the membership thread.
struct MembershipLoop {
    members: Members,
    socket: UdpSocket,
    key: ClusterKey,
    rx: Receiver<Command>,
    fetch_tx: Sender<Fetch>,
    started_at: Instant,
    next_member_list: Instant,
    /// Number of fetches of the member list so far.
    member_list_fetches: u32,
    rng: fastrand::Rng,
    shared: Arc<Mutex<Shared>>,
    sink: ClusterSink,
    published_generation: u64,
    fetches_config: bool,
}

impl MembershipLoop {
    fn run(mut self, fetched: &Receiver<FetchedMembers>) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            if let Ok((len, from)) = self.socket.recv_from(&mut buf) {
                self.on_datagram(from, &buf[..len]);
            }
            let now = Instant::now();
            let mut merged = Vec::new();
            while let Ok(FetchedMembers { members, done }) = fetched.try_recv() {
                self.members.merge(now, members);
                merged.push(done);
            }
            while let Ok(command) = self.rx.try_recv() {
                self.on_command(command);
            }
            let out = self.members.tick(now);
            self.send(out);
            self.publish();
            for done in merged {
                let _ = done.send(());
            }
        }
    }

    fn on_datagram(&mut self, from: SocketAddr, buf: &[u8]) {
        let gossip: Gossip = match self.key.open_datagram(buf) {
            Ok(gossip) => gossip,
            Err(e) => {
                metrics::BAD_FRAMES.inc();
                log::debug!(peer:% = from, error:% = e; "gossip datagram dropped: not authentic or not readable");
                return;
            }
        };
        let now = Instant::now();
        let joined = self.members.list().len() > 1;
        let behind = self.fetches_config && gossip.revision > self.members.revision();
        // While a cluster starts, the first list misses members that start at the same time.
        let starting =
            now.duration_since(self.started_at) < STARTUP_PERIOD && now >= self.next_member_list;
        if behind || !joined || starting {
            let wants_members = !joined || starting;
            let from = if wants_members && !behind {
                self.member_list_source(gossip.link)
            } else {
                gossip.link
            };
            if wants_members {
                let doublings = self.member_list_fetches.min(STARTUP_DOUBLINGS);
                self.next_member_list = now + MEMBER_LIST_INTERVAL * 2_u32.pow(doublings);
                self.member_list_fetches += 1;
            }
            let fetch = Fetch {
                from,
                wants_members,
            };
            // The channel holds one request; a dropped one is repeated by the next datagram.
            let _ = self.fetch_tx.try_send(fetch);
        }
        let out = self.members.on_gossip(Instant::now(), from, gossip);
        self.send(out);
    }

    /// Returns the member to fetch the next member list from: the sender of the present datagram at
    /// first, then any.
    fn member_list_source(&mut self, sender: SocketAddr) -> SocketAddr {
        let me = self.members.me();
        let from_seeds = if me.role == Role::Entry {
            FETCHES_FROM_SEEDS_BY_ENTRIES
        } else {
            FETCHES_FROM_SEEDS
        };
        if self.member_list_fetches < from_seeds {
            return sender;
        }
        let me = &me.node.name;
        let alive = |m: &Member| m.state == MemberState::Alive && m.node.name != *me;
        let members = self.members.list().into_iter().filter(alive);
        let links: Vec<SocketAddr> = members.map(|m| m.link).collect();
        self.rng.choice(links).unwrap_or(sender)
    }

    fn on_command(&mut self, command: Command) {
        match command {
            Command::Revision(revision) => {
                let out = self.members.set_revision(revision);
                self.send(out);
            }
            Command::Ready(revision) => self.members.update_me(|me| me.ready_for = revision),
            Command::Offers(offers) => self.members.update_me(|me| me.offers = offers),
            Command::Leaving => self.members.update_me(|me| me.leaving = true),
            Command::Seeds(seeds) => self.members.set_seeds(seeds),
        }
    }

    fn send(&self, out: Vec<Outgoing>) {
        for (to, gossip) in out {
            let Ok(buf) = self.key.seal_datagram(&gossip) else {
                continue;
            };
            metrics::DATAGRAMS.inc();
            metrics::DATAGRAM_BYTES.inc_by(buf.len() as u64);
            let _ = self.socket.send_to(&buf, to);
        }
    }

    fn publish(&mut self) {
        if self.members.generation() == self.published_generation {
            return;
        }
        self.published_generation = self.members.generation();
        let list = self.members.list();
        self.shared
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .members
            .clone_from(&list);
        (self.sink)(ClusterEvent::Members(list));
    }
}

/// A request to fetch the configuration, and optionally the member list, from a member.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    from: SocketAddr,
    wants_members: bool,
}

/// A member list from another process.
struct FetchedMembers {
    members: Vec<Member>,
    /// Signalled once the list is merged and published.
    done: Sender<()>,
}

/// State of the fetch thread.
struct Fetcher {
    cluster: Cluster,
    key: ClusterKey,
    hello: Hello,
    rx: Receiver<Fetch>,
    sink: ClusterSink,
    fetches_config: bool,
}

impl Fetcher {
    fn run(self, members_tx: &Sender<FetchedMembers>) {
        while let Ok(fetch) = self.rx.recv() {
            let current = self.cluster.state().map_or(0, |state| state.revision);
            // The member list is sent only in reply to revision 0.
            let revision = if fetch.wants_members { 0 } else { current };
            match ask(fetch.from, &self.key, &self.hello, Ask::Sync { revision }) {
                Ok(AskReply::Sync { state, members }) => {
                    // The members come first: who acts on the configuration has to know the others.
                    if !members.is_empty() {
                        let (done, merged) = flume::bounded(1);
                        let _ = members_tx.send(FetchedMembers { members, done });
                        let _ = merged.recv_timeout(MERGE_TIMEOUT);
                    }
                    if let Some(state) = state.filter(|_| self.fetches_config) {
                        self.apply(state);
                    }
                }
                Ok(_) => {}
                Err(e) => log::debug!(error:% = e; "failed to fetch the configuration"),
            }
        }
    }

    fn apply(&self, state: Arc<ClusterState>) {
        let current = self.cluster.state().map_or(0, |current| current.revision);
        if state.revision > current {
            log::info!(revision = state.revision, preset:% = state.in_force.value; "new configuration in force");
            (self.sink)(ClusterEvent::State(state.clone()));
            self.cluster.set_state(state);
        }
    }
}
