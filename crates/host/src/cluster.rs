//! A process's part in membership and in spreading the configuration.
//!
//! One thread owns the member table and the datagram socket. When a datagram shows a higher
//! revision, a second thread fetches the configuration from its sender.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use flume::{Receiver, Sender};
use rw_core::codec::ClusterKey;
use rw_core::config::ClusterState;
use rw_core::ids::{Name, NodeRef};
use rw_core::members::{Gossip, Member, MemberState, Members, Outgoing};
use rw_core::msg::{Ask, AskReply, Hello, Msg, Role};

use serde::{Deserialize, Serialize};

use crate::link::{Link, ask, spawn};
use crate::metrics;
use crate::settings::{Bound, NodeSettings};

/// How often the member table acts on the passing of time.
const TICK: Duration = Duration::from_millis(50);
/// A process that started within this time asks for the member list again.
const YOUNG: Duration = Duration::from_secs(3);
/// Time between two member lists of a young process.
const LIST_EVERY: Duration = Duration::from_millis(200);
/// The largest datagram that is taken.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// What changes in the cluster.
#[derive(Debug)]
pub enum ClusterEvent {
    /// A newer configuration.
    State(Arc<ClusterState>),
    /// Another member list.
    Members(Vec<Member>),
}

/// Takes the events.
pub type ClusterSink = Arc<dyn Fn(ClusterEvent) + Send + Sync>;

#[derive(Debug)]
enum Command {
    Revision(u64),
    Ready(u64),
    Leaving,
    Seeds(Vec<SocketAddr>),
}

#[derive(Debug, Default)]
struct Shared {
    state: Option<Arc<ClusterState>>,
    members: Vec<Member>,
}

/// What is in force at one node.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct InForce {
    /// The node.
    pub node: Name,
    /// The configuration's revision; 0 without one.
    pub revision: u64,
    /// The preset.
    pub preset: Option<Name>,
}

/// A handle on this process's part in the cluster.
#[derive(Clone, Debug)]
pub struct Cluster {
    /// This process.
    pub hello: Hello,
    shared: Arc<Mutex<Shared>>,
    tx: Sender<Command>,
}

/// How a process takes part.
pub struct ClusterSetup {
    /// Its settings.
    pub node: NodeSettings,
    /// What it is.
    pub role: Role,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether it fetches the configuration from others.
    pub follows: bool,
    /// Where events go.
    pub sink: ClusterSink,
}

impl std::fmt::Debug for ClusterSetup {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ClusterSetup({} as {:?})", self.node.name, self.role)
    }
}

impl ClusterSetup {
    /// Who this process is, on links.
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
        }
    }

    /// Starts the threads.
    pub fn start(self, bound: &Bound) -> std::io::Result<Cluster> {
        self.start_on(bound.gossip.try_clone()?, bound.key.clone())
    }

    /// Starts the threads on a bound socket.
    pub fn start_on(self, socket: UdpSocket, key: ClusterKey) -> std::io::Result<Cluster> {
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
        let duty = Duty {
            members,
            socket,
            key: key.clone(),
            rx,
            fetch_tx,
            begun: Instant::now(),
            next_list: Instant::now(),
            shared,
            sink: self.sink.clone(),
            generation: 0,
            follows: self.follows,
        };
        let fetcher = Fetcher {
            cluster: cluster.clone(),
            key,
            hello,
            rx: fetch_rx,
            sink: self.sink,
            follows: self.follows,
        };
        let (learn_tx, learn_rx) = flume::bounded(16);
        spawn("members", move || duty.run(&learn_rx));
        spawn("fetch", move || fetcher.run(&learn_tx));
        Ok(cluster)
    }
}

impl Cluster {
    /// Puts a newer configuration in force here, so that it is told to others.
    pub fn set_state(&self, state: Arc<ClusterState>) {
        let revision = state.revision;
        let mut shared = self.lock();
        if shared
            .state
            .as_ref()
            .is_some_and(|present| present.revision >= revision)
        {
            return;
        }
        shared.state = Some(state);
        drop(shared);
        let _ = self.tx.send(Command::Revision(revision));
    }

    /// Tells others that all shards of the registry here are served up to a revision.
    pub fn set_ready_for(&self, revision: u64) {
        let _ = self.tx.send(Command::Ready(revision));
    }

    /// Tells others that this process leaves.
    pub fn set_leaving(&self) {
        let _ = self.tx.send(Command::Leaving);
    }

    /// The configuration in force here.
    pub fn state(&self) -> Option<Arc<ClusterState>> {
        self.lock().state.clone()
    }

    /// What is in force here, for anyone who asks.
    pub fn in_force(&self) -> InForce {
        let state = self.state();
        InForce {
            node: self.hello.node.name.clone(),
            revision: state.as_ref().map_or(0, |state| state.revision),
            preset: state.map(|state| state.in_force.value.clone()),
        }
    }

    /// All known members.
    pub fn members(&self) -> Vec<Member> {
        self.lock().members.clone()
    }

    /// Sets the addresses through which unknown members are found.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        let _ = self.tx.send(Command::Seeds(seeds));
    }

    /// Answers another process that asks for the configuration.
    pub fn answer(&self, link: &Link, revision: u64) {
        link.send(Msg::AskReply(self.told(revision)));
    }

    /// The reply to a process that asks for the configuration.
    pub fn told(&self, revision: u64) -> AskReply {
        let shared = self.lock();
        let newer = shared
            .state
            .clone()
            .filter(|state| state.revision > revision);
        let members = if revision == 0 {
            shared.members.clone()
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

/// Owns the member table.
struct Duty {
    members: Members,
    socket: UdpSocket,
    key: ClusterKey,
    rx: Receiver<Command>,
    fetch_tx: Sender<Fetch>,
    begun: Instant,
    next_list: Instant,
    shared: Arc<Mutex<Shared>>,
    sink: ClusterSink,
    generation: u64,
    follows: bool,
}

impl Duty {
    fn run(mut self, learned: &Receiver<Vec<Member>>) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            if let Ok((len, from)) = self.socket.recv_from(&mut buf) {
                self.on_datagram(from, &buf[..len]);
            }
            let now = Instant::now();
            while let Ok(members) = learned.try_recv() {
                self.members.merge(now, members);
            }
            while let Ok(command) = self.rx.try_recv() {
                self.on_command(&command);
            }
            let out = self.members.tick(now);
            self.send(out);
            self.publish();
        }
    }

    fn on_datagram(&mut self, from: SocketAddr, buf: &[u8]) {
        let gossip: Gossip = match self.key.open_datagram(buf) {
            Ok(gossip) => gossip,
            Err(e) => {
                metrics::BAD_FRAMES.inc();
                log::debug!(peer:% = from, error:% = e; "datagram dropped");
                return;
            }
        };
        let now = Instant::now();
        let joined = self.members.list().len() > 1;
        let behind = self.follows && gossip.revision > self.members.revision();
        // Where many start at once, the first list is soon out of date.
        let young = now.duration_since(self.begun) < YOUNG && now >= self.next_list;
        if behind || !joined || young {
            self.next_list = now + LIST_EVERY;
            let fetch = Fetch {
                from: gossip.link,
                members: !joined || young,
            };
            // One fetch waits at most: the next datagram asks again.
            let _ = self.fetch_tx.try_send(fetch);
        }
        let out = self.members.on_gossip(Instant::now(), from, gossip);
        self.send(out);
    }

    fn on_command(&mut self, command: &Command) {
        match command {
            Command::Revision(revision) => {
                let out = self.members.set_revision(*revision);
                self.send(out);
            }
            Command::Ready(revision) => self.members.update_me(|me| me.ready_for = *revision),
            Command::Leaving => self.members.update_me(|me| me.leaving = true),
            Command::Seeds(seeds) => self.members.set_seeds(seeds.clone()),
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
        if self.members.generation() == self.generation {
            return;
        }
        self.generation = self.members.generation();
        let list = self.members.list();
        self.shared
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .members
            .clone_from(&list);
        (self.sink)(ClusterEvent::Members(list));
    }
}

/// Asks for the configuration, and for the member list if wanted.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    from: SocketAddr,
    members: bool,
}

/// Fetches the configuration from others.
struct Fetcher {
    cluster: Cluster,
    key: ClusterKey,
    hello: Hello,
    rx: Receiver<Fetch>,
    sink: ClusterSink,
    follows: bool,
}

impl Fetcher {
    fn run(self, learned: &Sender<Vec<Member>>) {
        while let Ok(fetch) = self.rx.recv() {
            let held = self.cluster.state().map_or(0, |state| state.revision);
            // Members are told only to who has no configuration.
            let revision = if fetch.members { 0 } else { held };
            match ask(fetch.from, &self.key, &self.hello, Ask::Sync { revision }) {
                Ok(AskReply::Sync { state, members }) => {
                    let _ = learned.send(members);
                    if let Some(state) = state.filter(|_| self.follows) {
                        self.take(state);
                    }
                }
                Ok(_) => {}
                Err(e) => log::debug!(error:% = e; "configuration not fetched"),
            }
        }
    }

    fn take(&self, state: Arc<ClusterState>) {
        let present = self.cluster.state().map_or(0, |present| present.revision);
        if state.revision > present {
            log::info!(revision = state.revision, preset:% = state.in_force.value; "configuration in force");
            (self.sink)(ClusterEvent::State(state.clone()));
            self.cluster.set_state(state);
        }
    }
}
