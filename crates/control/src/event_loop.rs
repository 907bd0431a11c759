//! The control node's event loop: drives the replicated log, makes its records durable, sends its
//! messages, and places the registry's shards.

mod saving;
mod start;

pub use start::run;
pub(crate) use start::{Peering, StartedNode, open_journal, retry, start};

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use flume::{Receiver, RecvTimeoutError, Sender};
use indexmap::IndexMap;
use rw_core::codec::encoded_len;
use rw_core::config::{Change, ChangeOutcome, ChangeRequest, MAX_STATE_BYTES};
use rw_core::ids::Name;
use rw_core::members::Member;
use rw_core::msg::{Ask, AskReply, Msg, Role};
use rw_core::placement;
use rw_core::raft::{Effects, Raft, RaftRole, ReadRound, VoterId};
use rw_host::clock;
use rw_host::cluster::{Cluster, ClusterEvent};
use rw_host::daemon::DaemonEvent;
use rw_host::dial::Dialer;
use rw_host::link::{Link, LinkEvent};
use rw_host::settings::SettingsError;
use thiserror::Error;

use saving::Unsaved;

use crate::api::{ChangeReply, LogStatus, ReadReply, StateReply};
use crate::store::{Store, StoreError};

/// Time between two ticks of the replicated log.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Capacity of the event channel; senders block while it is full.
const EVENT_CAPACITY: usize = 4096;
/// Maximum number of events whose journal records are synced together.
const MAX_EVENT_BATCH: usize = 256;
/// Maximum number of changes that wait to be committed; further ones are refused.
const MAX_PENDING_CHANGES: usize = 1024;
/// Number of further changes that may wait if they are orders about failure domains, so that these
/// are accepted while configurations fill the rest.
const RESERVED_FOR_DOMAINS: usize = 64;
/// Time between two checks of the placement of the registry's shards.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Time from gaining the leader lease to the first placement of shards, so that the members are
/// known by then.
const PLACEMENT_DELAY: Duration = Duration::from_secs(2);
/// Pause between the end of a link to a control node, or a failed attempt, and the next attempt.
const REDIAL_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time between two log lines about this node not being a voter.
const ADMISSION_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum time for a majority to confirm a read.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// An event for the event loop.
#[derive(Debug)]
pub enum Event {
    /// A link came up or went down, or delivered a message.
    Link(LinkEvent),
    /// Requests this node's state, which may be out of date.
    State(Sender<StateReply>),
    /// Proposes a change; the reply follows once it is committed or refused.
    Change(ChangeRequest, Sender<ChangeReply>),
    /// Requests the latest state, as confirmed by a majority.
    Read(Sender<ReadReply>),
    /// The member list changed.
    Members(Vec<Member>),
    /// SIGTERM or SIGINT arrived: end the event loop.
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

/// An error that prevents the control node from starting or makes it stop.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The journal cannot be read or written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A socket or thread cannot be created.
    #[error("start: {0}")]
    Io(#[from] std::io::Error),
}

/// State of the event loop.
pub(crate) struct EventLoop {
    raft: Raft,
    store: Store,
    cluster: Cluster,
    /// Connects to the control nodes among the members. `None` if the settings list the control
    /// nodes.
    dialer: Option<Dialer>,
    /// Reads that wait for confirmation by a majority: the round, its start, and where to reply.
    pending_reads: Vec<(ReadRound, Instant, Sender<ReadReply>)>,
    /// Effects whose records could not be saved; while there are some, the log stands still.
    unsaved: Option<Unsaved>,
    links: IndexMap<u64, Link>,
    /// Link ids of the control nodes, by node name.
    control_links: IndexMap<Name, u64>,
    /// Where to reply when a change is committed, by request id.
    pending_changes: IndexMap<uuid::Uuid, Vec<Sender<ChangeReply>>>,
    ready: Arc<AtomicBool>,
    next_tick: Instant,
    next_placement: Instant,
    /// When this node gained the leader lease; `None` while it does not hold it.
    leader_since: Option<Instant>,
    /// The Raft role that was last logged.
    logged_role: RaftRole,
    /// The voters that were last logged.
    logged_voters: Vec<VoterId>,
    /// When the next line about this node not being a voter is due.
    next_admission_log: Instant,
}

impl EventLoop {
    /// Handles events until [`Event::Shutdown`] or a journal failure.
    pub(crate) fn run(mut self, rx: &Receiver<Event>) -> Result<(), ControlError> {
        loop {
            let mut event = match rx.recv_timeout(TICK_INTERVAL) {
                Ok(event) => Some(event),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            };
            let now = Instant::now();
            let mut effects = Effects::default();
            let mut handled = 0;
            while let Some(next) = event {
                if matches!(next, Event::Shutdown) {
                    log::info!("control node stopped");
                    return Ok(());
                }
                self.on_event(now, next, &mut effects);
                handled += 1;
                event = if handled < MAX_EVENT_BATCH {
                    rx.try_recv().ok()
                } else {
                    None
                };
            }
            if self.unsaved.is_some() {
                self.retry_saving(now)?;
            } else if now >= self.next_tick {
                self.next_tick = now + TICK_INTERVAL;
                self.raft.tick(now, &mut effects);
                self.pending_changes
                    .retain(|_, replies| replies.iter().any(|reply| !reply.is_disconnected()));
                self.propose_placement(now, &mut effects);
            }
            self.apply_effects(now, effects)?;
            self.answer_pending_reads(now);
            self.log_role_change();
            self.log_voters(now);
        }
    }

    fn on_event(&mut self, now: Instant, event: Event, effects: &mut Effects) {
        match event {
            Event::Link(LinkEvent::Up(link)) => {
                if link.peer.role == Role::Control {
                    self.control_links
                        .insert(link.peer.node.name.clone(), link.id);
                }
                self.links.insert(link.id, link);
            }
            Event::Link(LinkEvent::Down(id)) => {
                self.links.swap_remove(&id);
                self.control_links.retain(|_, link| *link != id);
            }
            Event::Link(LinkEvent::Msg(id, msg)) => self.on_msg(now, id, msg, effects),
            Event::State(reply) => drop(reply.send(self.state_reply(now))),
            Event::Read(reply) => self.on_read(now, reply, effects),
            Event::Members(members) => self.on_members(&members),
            Event::Change(req, reply) => self.on_change(now, req, reply, effects),
            Event::Shutdown => {}
        }
    }

    /// Starts a round in which a majority confirms a read.
    fn on_read(&mut self, now: Instant, reply: Sender<ReadReply>, effects: &mut Effects) {
        if self.unsaved.is_some() {
            let _ = reply.send(ReadReply::NotLeader(None));
            return;
        }
        match self.raft.begin_read(now, effects) {
            Some(round) => self.pending_reads.push((round, now, reply)),
            None => drop(reply.send(ReadReply::NotLeader(self.leader_name()))),
        }
    }

    fn leader_name(&self) -> Option<Name> {
        self.raft.leader().map(|leader| leader.name.clone())
    }

    /// Answers the reads that a majority confirmed, that waited longer than [`READ_TIMEOUT`], or
    /// whose round ended because this node no longer leads.
    fn answer_pending_reads(&mut self, now: Instant) {
        let leader = self.leader_name();
        let raft = &self.raft;
        self.pending_reads.retain(|(round, since, reply)| {
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

    /// Lets the control nodes among the members become voters, and connects to those whose names
    /// sort after this node's; the others connect to this node.
    fn on_members(&mut self, members: &[Member]) {
        let Some(dialer) = &self.dialer else { return };
        let is_control = |m: &&Member| m.role == Role::Control;
        let names: Vec<Name> = members
            .iter()
            .filter(is_control)
            .map(|m| m.node.name.clone())
            .collect();
        let me = self.raft.me().name.clone();
        dialer.set_targets(names.iter().filter(|name| **name > me).cloned().collect());
        self.raft.set_allowed(names);
    }

    fn on_msg(&mut self, now: Instant, id: u64, msg: Msg, effects: &mut Effects) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        match msg {
            Msg::Raft(msg) if link.peer.role == Role::Control && self.unsaved.is_none() => {
                self.raft.on_msg(now, msg, effects);
            }
            Msg::Ask(Ask::Sync { revision }) => self.cluster.send_sync_reply(link, revision),
            Msg::Ask(Ask::Seal { .. }) => link.send(Msg::AskReply(AskReply::Unsupported)),
            _ => {}
        }
    }

    /// Proposes a change. A leader answers a repeated request with the recorded outcome.
    fn on_change(
        &mut self,
        now: Instant,
        req: ChangeRequest,
        reply: Sender<ChangeReply>,
        effects: &mut Effects,
    ) {
        if self.unsaved.is_some() {
            let _ = reply.send(ChangeReply::NotLeader(None));
            return;
        }
        if let Some(outcome) = self.raft.state().recent.get(&req.request_id)
            && self.raft.has_lease(now)
        {
            let _ = reply.send(ChangeReply::Outcome(outcome.clone()));
            return;
        }
        let len = encoded_len(&req);
        if len > MAX_STATE_BYTES {
            let reason = format!("the change has {len} bytes, more than {MAX_STATE_BYTES}");
            let _ = reply.send(ChangeReply::Outcome(ChangeOutcome::Invalid { reason }));
            return;
        }
        let id = req.request_id;
        let is_about_domain = matches!(req.change, Change::Evacuate { .. } | Change::Return { .. });
        let limit = if is_about_domain {
            MAX_PENDING_CHANGES + RESERVED_FOR_DOMAINS
        } else {
            MAX_PENDING_CHANGES
        };
        let missing = self.raft.missing_voters(now);
        if missing > 0 && self.raft.role() == RaftRole::Leader {
            let _ = reply.send(ChangeReply::TooFewVoters(missing));
            return;
        }
        if self.pending_changes.len() >= limit || !self.raft.propose(now, req, effects) {
            let _ = reply.send(ChangeReply::NotLeader(self.leader_name()));
            return;
        }
        self.pending_changes.entry(id).or_default().push(reply);
    }

    /// Logs a change of this node's Raft role.
    fn log_role_change(&mut self) {
        let role = self.raft.role();
        if role != self.logged_role {
            self.logged_role = role;
            let (term, commit, last) = self.raft.position();
            log::info!(standing:? = role, term = term, commit = commit, last = last,
                voters = self.raft.voters().len(); "Raft role changed");
        }
    }

    /// Logs a change of the voters, and from time to time that this node is none of them or that it
    /// leads too few to accept changes.
    fn log_voters(&mut self, now: Instant) {
        let (term, commit, last) = self.raft.position();
        if self.raft.voters() != self.logged_voters {
            self.logged_voters = self.raft.voters().to_vec();
            let names: Vec<&str> = self.logged_voters.iter().map(|v| &*v.name).collect();
            log::info!(voters = names.join(","), term = term, commit = commit, last = last;
                "voters changed");
        }
        if now >= self.next_admission_log {
            self.next_admission_log = now + ADMISSION_LOG_INTERVAL;
            if !self.raft.voters().contains(self.raft.me()) {
                let leader = self.leader_name();
                log::warn!(leader:? = leader, term = term, commit = commit, last = last;
                    "this node is not a voter");
            }
            let missing = self.raft.missing_voters(now);
            if missing > 0 && self.raft.role() == RaftRole::Leader {
                log::warn!(voters = self.raft.voters().len(), missing = missing;
                    "changes are refused until more control nodes are admitted");
            }
        }
    }

    fn state_reply(&self, now: Instant) -> StateReply {
        let (term, commit, last) = self.raft.position();
        let log = LogStatus {
            node: self.raft.me().name.clone(),
            standing: self.raft.role(),
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

    /// Proposes a better placement of the registry's shards, if there is one and this node leads.
    fn propose_placement(&mut self, now: Instant, effects: &mut Effects) {
        if !self.raft.has_lease(now) {
            self.leader_since = None;
            return;
        }
        if self.dialer.is_some() {
            // With pooled jobs there is no registry of idempotency keys to place.
            return;
        }
        let since = *self.leader_since.get_or_insert(now);
        if now < self.next_placement || now.duration_since(since) < PLACEMENT_DELAY {
            return;
        }
        self.next_placement = now + PLACEMENT_INTERVAL;
        let cluster = self.raft.state().cluster.clone();
        let Some(change) = placement::plan(&cluster, &self.cluster.members(), clock::wall()) else {
            return;
        };
        if let Change::Place { shards } = &change {
            log::info!(shards = shards.len(); "placement of registry shards proposed");
        }
        let request_id = uuid::Uuid::from_u128(fastrand::u128(..));
        let req = ChangeRequest {
            request_id,
            base: cluster.revision,
            change,
        };
        self.raft.propose(now, req, effects);
    }
}
