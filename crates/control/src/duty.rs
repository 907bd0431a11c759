//! The control node's main duty: drives the replicated log, makes its records durable, sends its
//! messages, and keeps the registry placed.

mod start;

pub use start::run;
pub(crate) use start::{Peering, Running, open, start};

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use flume::{Receiver, RecvTimeoutError, Sender};
use indexmap::IndexMap;
use rw_core::config::{Change, ChangeRequest};
use rw_core::ids::Name;
use rw_core::members::Member;
use rw_core::msg::{Ask, AskReply, Msg, Role};
use rw_core::placement;
use rw_core::raft::{Effects, Raft, RaftRole, ReadRound};
use rw_host::cluster::{Cluster, ClusterEvent};
use rw_host::daemon::DaemonEvent;
use rw_host::dial::Dialer;
use rw_host::link::{Link, LinkEvent};
use rw_host::settings::SettingsError;
use rw_host::{clock, metrics};
use thiserror::Error;

use crate::api::{ChangeReply, LogStatus, ReadReply, StateReply};
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
/// Time for a majority to confirm a read.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Bytes appended to the journal after which a snapshot replaces them; a twelfth of a small disk.
const MAX_APPENDED_BYTES: u64 = 10 * 1024 * 1024;

/// What the log is fed with.
#[derive(Debug)]
pub enum Event {
    /// On a link.
    Link(LinkEvent),
    /// A question for the state.
    State(Sender<StateReply>),
    /// A change.
    Change(ChangeRequest, Sender<ChangeReply>),
    /// A question for the state that a majority confirms.
    Read(Sender<ReadReply>),
    /// Another member list.
    Members(Vec<Member>),
    /// End.
    Shutdown,
}

impl DaemonEvent for Event {
    fn link(event: LinkEvent) -> Self {
        Self::Link(event)
    }

    fn cluster(event: ClusterEvent) -> Option<Self> {
        match event {
            ClusterEvent::Members(members) => Some(Self::Members(members)),
            ClusterEvent::State(_) => None,
        }
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

pub(crate) struct Duty {
    raft: Raft,
    store: Store,
    cluster: Cluster,
    /// `None` when the other control nodes stand in the settings.
    dialer: Option<Dialer>,
    /// Reads that wait for a majority's word: the round, since when, and the reply.
    reads: Vec<(ReadRound, Instant, Sender<ReadReply>)>,
    links: IndexMap<u64, Link>,
    by_name: IndexMap<Name, u64>,
    waiting: IndexMap<uuid::Uuid, Vec<Sender<ChangeReply>>>,
    ready: Arc<AtomicBool>,
    next_tick: Instant,
    next_place: Instant,
    led_since: Option<Instant>,
    /// As last logged.
    standing: RaftRole,
}

impl Duty {
    pub(crate) fn run(mut self, rx: &Receiver<Event>) -> Result<(), ControlError> {
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
            self.answer_reads(now);
            self.log_standing();
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
            Event::Read(reply) => self.on_read(now, reply, fx),
            Event::Members(members) => self.on_members(&members),
            Event::Change(req, reply) => self.on_change(now, req, reply, fx),
            Event::Shutdown => {}
        }
    }

    /// Begins a round that confirms a read.
    fn on_read(&mut self, now: Instant, reply: Sender<ReadReply>, fx: &mut Effects) {
        match self.raft.begin_read(now, fx) {
            Some(round) => self.reads.push((round, now, reply)),
            None => drop(reply.send(ReadReply::NotLeader(self.leader_name()))),
        }
    }

    fn leader_name(&self) -> Option<Name> {
        self.raft.leader().map(|leader| leader.name.clone())
    }

    /// Answers reads whose round a majority answered, or that waited too long.
    fn answer_reads(&mut self, now: Instant) {
        let leader = self.leader_name();
        let raft = &self.raft;
        self.reads.retain(|(round, since, reply)| {
            let answer = match raft.is_read_confirmed(*round) {
                Some(true) => ReadReply::State(raft.state().cluster.clone()),
                Some(false) if now.duration_since(*since) < READ_TIMEOUT => return true,
                Some(false) => ReadReply::NotLeader(None),
                None => ReadReply::NotLeader(leader.clone()),
            };
            let _ = reply.send(answer);
            false
        });
    }

    /// Control nodes that are found as members may become voters, and are linked with.
    fn on_members(&mut self, members: &[Member]) {
        let Some(dialer) = &self.dialer else { return };
        let control = |m: &&Member| m.role == Role::Control;
        let names: Vec<Name> = members
            .iter()
            .filter(control)
            .map(|m| m.node.name.clone())
            .collect();
        let me = self.raft.me().name.clone();
        dialer.want(names.iter().filter(|name| **name > me).cloned().collect());
        self.raft.set_allowed(names);
    }

    fn on_msg(&mut self, now: Instant, id: u64, msg: Msg, fx: &mut Effects) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        match msg {
            Msg::Raft(msg) if link.peer.role == Role::Control => self.raft.on_msg(now, msg, fx),
            Msg::Ask(Ask::Sync { revision }) => self.cluster.answer(link, revision),
            Msg::Ask(Ask::Seal { .. }) => link.send(Msg::AskReply(AskReply::Unsupported)),
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
            let _ = reply.send(ChangeReply::NotLeader(self.leader_name()));
            return;
        }
        self.waiting.entry(id).or_default().push(reply);
    }

    /// Logs when this node begins or ceases to lead or to follow.
    fn log_standing(&mut self) {
        let standing = self.raft.standing();
        if standing != self.standing {
            self.standing = standing;
            let (term, commit, last) = self.raft.position();
            log::info!(standing:? = standing, term = term, commit = commit, last = last,
                voters = self.raft.voters().len(); "standing in the log changed");
        }
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
        if self.dialer.is_some() {
            // Pooled work has no registry of keys.
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
        if self.store.appended() > MAX_APPENDED_BYTES {
            let mut more = Effects::default();
            self.raft.compact_now(&mut more);
            if more.compact {
                self.store.rewrite(&self.raft.journal())?;
            }
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
