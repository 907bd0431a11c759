//! The state machine of an agent: its backend servers, slots, start fence and registry shards.

mod backends;
mod starts;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use crate::config::ClusterState;
use crate::fence::{Fence, TaskRecord};
use crate::grants::{CreditAction, Grants};
use crate::ids::{Digest, Name, NodeRef, WallMs};
use crate::job::Resources;
use crate::msg::{Claim, Offer, RefusalReason, Start, TaskRef, TaskResult, ToAgent, ToEntry};
use crate::registry::{Collect, Registry};

pub use backends::Announcement;

use backends::{Backend, fieldwise_max};

/// Lease of a backend server's announcement; a server that does not renew it in time gets no new
/// task and is removed once its running tasks have ended.
pub const ANNOUNCE_LEASE: Duration = Duration::from_millis(1500);
/// Maximum gap between two observations of the time; after a longer one the process assumes that it
/// was frozen and invalidates its credits.
pub const FREEZE_LIMIT: Duration = Duration::from_millis(1200);
/// Interval at which expired fence and registry records are removed.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(5);

/// A call to a backend server that the agent's I/O layer is to make.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// The dispatch that caused the call.
    pub task: TaskRef,
    /// Digest of the task's key, index and payload.
    pub digest: Digest,
    /// The backend server's name.
    pub backend: Name,
    /// The URL to which the backend server's tasks are sent.
    pub url: Name,
    /// The entry that sent the start and whose slot is in use.
    pub entry: Name,
    /// The service that the task is for.
    pub service: Name,
    /// The request's body.
    pub payload: Arc<[u8]>,
    /// Time after which the answer is no longer useful.
    pub timeout: Duration,
}

/// How a call to a backend server ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEnd {
    /// The backend server answered, or the call failed after the task may have started.
    Ended(TaskResult),
    /// The connection was refused, which proves that the task did not start.
    NotStarted,
}

/// An action that the agent's I/O layer has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to the entry of this name.
    Send(Name, ToEntry),
    /// Call a backend server.
    Run(Run),
    /// Collect a shard's records from its earlier replicas.
    Collect(Collect),
}

/// The state machine of one agent process.
#[derive(Debug)]
pub struct Agent {
    node: NodeRef,
    backends: IndexMap<Name, Backend>,
    grants: Grants,
    fence: Fence,
    registry: Registry,
    cluster: Arc<ClusterState>,
    epoch: u64,
    /// The offer that was last sent.
    last_offer: Option<Offer>,
    /// Once the agent leaves, the first epoch in which it offers nothing.
    leave_epoch: Option<u64>,
    /// Linked entries that have not yet confirmed that the agent leaves and may still send starts.
    unconfirmed_entries: IndexSet<Name>,
    last_observed: Instant,
    expire_at: Instant,
    links: Vec<Name>,
    /// Starts of tasks that had already started here.
    duplicate_starts: u64,
    /// Starts that are queued at the agent for a slot; `None` unless this mode, a baseline for
    /// measurements, is enabled.
    start_queue: Option<VecDeque<(Name, Start)>>,
    /// Its failure domain, if it is known.
    domain: Option<Name>,
}

impl Agent {
    /// Returns the state of an agent process that has just started.
    pub fn new(node: NodeRef, now: Instant) -> Self {
        Self {
            registry: Registry::new(node.clone()),
            node,
            backends: IndexMap::new(),
            grants: Grants::default(),
            fence: Fence::default(),
            cluster: Arc::default(),
            epoch: 1,
            last_offer: None,
            leave_epoch: None,
            unconfirmed_entries: IndexSet::new(),
            last_observed: now,
            expire_at: now + EXPIRE_INTERVAL,
            links: Vec::new(),
            duplicate_starts: 0,
            start_queue: None,
            domain: None,
        }
    }

    /// Records the present time.
    ///
    /// If the process was frozen for more than [`FREEZE_LIMIT`], all credits become invalid, so
    /// that no start that was sent before the freeze is executed. The caller must invoke this
    /// before any other method that handles an event.
    pub fn observe(&mut self, now: Instant, out: &mut Vec<Action>) {
        let frozen = now.duration_since(self.last_observed) > FREEZE_LIMIT;
        self.last_observed = now;
        if frozen {
            self.invalidate_credits(out);
        }
    }

    /// Enables or disables queueing of starts at the agent, a baseline for measurements. Starts that
    /// are queued now are dropped.
    pub fn set_queue_here(&mut self, on: bool) {
        self.start_queue = on.then(VecDeque::new);
    }

    /// Applies time-outs: expires leases and old records, and reassigns idle credits.
    pub fn tick(&mut self, now: Instant, wall: WallMs, out: &mut Vec<Action>) {
        self.grants.tick();
        self.rebalance_credits(out);
        let before = self.backends.len();
        self.backends
            .retain(|_, backend| backend.lease_until > now || backend.busy > 0);
        for backend in self.backends.values_mut().filter(|b| b.lease_until <= now) {
            backend.announced.leaving = true;
        }
        if now >= self.expire_at {
            self.expire_at = now + EXPIRE_INTERVAL;
            let window = self.cluster.preset().dedupe_window;
            self.fence.expire(wall, window);
            self.registry.expire(wall, window);
        }
        if before != self.backends.len() || self.offer_changed() {
            self.invalidate_credits(out);
        }
    }

    /// Records or renews a backend server's announcement.
    pub fn announce(&mut self, now: Instant, announced: Announcement, out: &mut Vec<Action>) {
        let lease_until = now + ANNOUNCE_LEASE;
        let name = announced.name.clone();
        let busy = self.backends.get(&name).map_or(0, |backend| backend.busy);
        self.backends.insert(
            name,
            Backend {
                announced,
                lease_until,
                busy,
            },
        );
        if self.offer_changed() {
            self.invalidate_credits(out);
        }
    }

    /// Stops sending new tasks to a backend server. Returns `false` if no such server is known.
    pub fn withdraw(&mut self, name: &Name, out: &mut Vec<Action>) -> bool {
        let Some(backend) = self.backends.get_mut(name) else {
            return false;
        };
        backend.announced.leaving = true;
        self.invalidate_credits(out);
        true
    }

    /// Starts the agent's departure: offers nothing more and waits for running tasks and for the
    /// confirmations of the linked entries.
    pub fn leave(&mut self, out: &mut Vec<Action>) {
        self.leave_epoch.get_or_insert(self.epoch + 1);
        self.unconfirmed_entries = self.links.iter().cloned().collect();
        self.invalidate_credits(out);
    }

    /// Returns whether the agent is leaving, no task runs and no start can still be in flight.
    pub fn has_left(&self) -> bool {
        self.leave_epoch.is_some() && self.is_idle() && self.unconfirmed_entries.is_empty()
    }

    /// Applies a new configuration; one that is not newer than the present one is ignored.
    pub fn on_config(&mut self, cluster: Arc<ClusterState>, out: &mut Vec<Action>) {
        if cluster.revision <= self.cluster.revision {
            return;
        }
        self.cluster = cluster;
        let collects = self.registry.on_config(&self.cluster);
        out.extend(collects.into_iter().map(Action::Collect));
        if self.offer_changed() {
            self.invalidate_credits(out);
        }
    }

    /// Returns the registry, for requests of other replicas.
    pub fn registry(&mut self) -> &mut Registry {
        &mut self.registry
    }

    /// Returns the revision of the newest shard placement on this node once all its shards are
    /// served, and 0 before that.
    ///
    /// The value changes only when shards move, so that other configuration changes cause no
    /// gossip.
    pub fn ready_for(&self) -> u64 {
        if !self.registry.is_ready(&self.cluster) {
            return 0;
        }
        let placed_here = self
            .cluster
            .shards
            .iter()
            .filter(|shard| shard.has(&self.node));
        placed_here.map(|shard| shard.placed_at).max().unwrap_or(0)
    }

    /// Returns the configuration in force on this agent.
    pub fn cluster(&self) -> &Arc<ClusterState> {
        &self.cluster
    }

    /// Returns whether no task runs.
    pub fn is_idle(&self) -> bool {
        self.grants.running() == 0
    }

    /// Returns the numbers of recorded tasks, registry records and duplicate starts, in this
    /// order.
    pub fn record_counts(&self) -> (usize, usize, u64) {
        (self.fence.len(), self.registry.len(), self.duplicate_starts)
    }

    /// Returns the current offer, with the credit epoch.
    pub fn offer(&self) -> Offer {
        let leaving = self.takes_no_work();
        let mut offer = Offer {
            epoch: self.epoch,
            services: Vec::new(),
            slots: 0,
            size: Resources::default(),
            leaving,
        };
        if leaving {
            return offer;
        }
        for backend in self.backends.values().filter(|backend| backend.slots() > 0) {
            offer.slots += backend.slots();
            offer.size = fieldwise_max(offer.size, backend.announced.size);
            for service in &backend.announced.services {
                if !offer.services.contains(service) {
                    offer.services.push(service.clone());
                }
            }
        }
        offer
    }

    /// Handles a new link of an entry.
    ///
    /// The caller must discard messages that still arrive on an earlier link of this entry.
    pub fn link_up(&mut self, entry: &Name, out: &mut Vec<Action>) {
        if !self.links.contains(entry) {
            self.links.push(entry.clone());
        }
        if self.leave_epoch.is_some() {
            self.unconfirmed_entries.insert(entry.clone());
        }
        self.grants.open_account(entry);
        out.push(Action::Send(entry.clone(), ToEntry::Offer(self.offer())));
        self.rebalance_credits(out);
    }

    /// Handles the loss of an entry's link.
    pub fn link_down(&mut self, entry: &Name, out: &mut Vec<Action>) {
        self.links.retain(|link| link != entry);
        self.unconfirmed_entries.swap_remove(entry);
        self.grants.close_account(entry);
        self.rebalance_credits(out);
    }

    /// Handles a message from a linked entry.
    pub fn on_msg(&mut self, wall: WallMs, entry: &Name, msg: ToAgent, out: &mut Vec<Action>) {
        match msg {
            ToAgent::Start(start) => self.on_start(wall, entry, start, out),
            ToAgent::ReportBacklog { backlog } => self.grants.set_backlog(entry, backlog),
            ToAgent::Return {
                credits,
                epoch,
                backlog,
                account,
                held,
            } => {
                if epoch == self.epoch {
                    self.grants
                        .return_credits(entry, &account, credits, held, backlog);
                } else {
                    self.grants.set_backlog(entry, backlog);
                }
            }
            ToAgent::OfferSeen { epoch } => {
                if self
                    .leave_epoch
                    .is_some_and(|leave_epoch| epoch >= leave_epoch)
                {
                    self.unconfirmed_entries.swap_remove(entry);
                }
            }
            ToAgent::Query { tasks } => {
                for task in tasks {
                    let record = self.fence.query_or_block(task);
                    out.push(Action::Send(entry.clone(), self.status_reply(task, record)));
                }
            }
            ToAgent::Collect { key, attempt } => {
                let records = self.fence.block_and_collect(entry, key, attempt);
                let Some(records) = records else { return };
                out.push(Action::Send(
                    entry.clone(),
                    self.collected_reply(key, attempt, records),
                ));
            }
            ToAgent::Claim(claim) => {
                let reply = self.registry.claim(&self.cluster, &claim);
                let Claim {
                    key,
                    attempt,
                    version,
                    closed,
                    ..
                } = claim;
                let msg = ToEntry::Claimed {
                    key,
                    attempt,
                    version,
                    closed,
                    reply,
                };
                out.push(Action::Send(entry.clone(), msg));
                return;
            }
        }
        self.rebalance_credits(out);
    }

    /// Handles the end of a call to a backend server that took `run_time`.
    pub fn on_end(&mut self, run: &Run, end: RunEnd, run_time: Duration, out: &mut Vec<Action>) {
        if let Some(backend) = self.backends.get_mut(&run.backend) {
            backend.busy = backend.busy.saturating_sub(1);
        }
        if self.start_queue.is_some() {
            self.start_next_queued(out);
        } else {
            self.grants.release_slot(&run.entry);
        }
        match end {
            RunEnd::Ended(result) => {
                let owner = self
                    .fence
                    .record_result(run.task, run.digest, result.clone());
                let credit = owner.as_ref() == Some(&run.entry)
                    && self.start_queue.is_none()
                    && self.grants.regrant(&run.entry);
                let run_us = run_time.as_micros().min(u128::from(u32::MAX)) as u32;
                let (task, digest, epoch) = (run.task, run.digest, self.epoch);
                let msg = ToEntry::Done {
                    task,
                    digest,
                    run_us,
                    result,
                    credit,
                    epoch,
                };
                self.send_linked(owner, msg, out);
            }
            RunEnd::NotStarted => {
                let owner = self.fence.record_not_started(run.task);
                if let Some(backend) = self.backends.get_mut(&run.backend) {
                    backend.announced.leaving = true;
                }
                let (task, reason) = (run.task, RefusalReason::ConnectionRefused);
                self.send_linked(owner, ToEntry::Refused { task, reason }, out);
                self.invalidate_credits(out);
            }
        }
        self.rebalance_credits(out);
    }

    fn send_linked(&self, to: Option<Name>, msg: ToEntry, out: &mut Vec<Action>) {
        if let Some(entry) = to.filter(|entry| self.links.contains(entry)) {
            out.push(Action::Send(entry, msg));
        }
    }

    /// Returns the reply that reports the recorded state of a dispatch to an entry.
    fn status_reply(&self, task: TaskRef, record: TaskRecord) -> ToEntry {
        match record {
            TaskRecord::Running(started, _) => ToEntry::Running {
                task: TaskRef { ..started },
            },
            TaskRecord::Done(started, digest, result) => ToEntry::Done {
                task: started,
                digest,
                run_us: 0,
                result,
                credit: false,
                epoch: self.epoch,
            },
            TaskRecord::Blocked(_) => ToEntry::Refused {
                task,
                reason: RefusalReason::NeverArrived,
            },
        }
    }

    fn collected_reply(
        &self,
        key: crate::ids::JobKey,
        attempt: u32,
        records: Vec<(u16, TaskRecord)>,
    ) -> ToEntry {
        let mut running = Vec::new();
        let mut done = Vec::new();
        for (index, record) in records {
            match record {
                TaskRecord::Running(..) => running.push(index),
                TaskRecord::Done(_, digest, result) => done.push((index, digest, result)),
                TaskRecord::Blocked(_) => {}
            }
        }
        let knows_since = WallMs(self.node.incarnation);
        ToEntry::Collected {
            key,
            attempt,
            knows_since,
            running,
            done,
        }
    }

    fn offer_changed(&self) -> bool {
        self.last_offer.as_ref() != Some(&self.offer())
    }

    /// Raises the epoch, which invalidates all outstanding credits, and sends a new offer.
    fn invalidate_credits(&mut self, out: &mut Vec<Action>) {
        self.epoch += 1;
        let offer = self.offer();
        self.grants.reset(offer.slots);
        for entry in &self.links {
            out.push(Action::Send(entry.clone(), ToEntry::Offer(offer.clone())));
        }
        self.last_offer = Some(offer);
        self.rebalance_credits(out);
    }

    /// Grants free slots and recalls idle credits.
    fn rebalance_credits(&mut self, out: &mut Vec<Action>) {
        if self.start_queue.is_some() {
            return;
        }
        for credit_action in self.grants.rebalance() {
            out.push(match credit_action {
                CreditAction::Grant(entry, credits) => Action::Send(
                    entry,
                    ToEntry::Grant {
                        credits,
                        epoch: self.epoch,
                    },
                ),
                CreditAction::Recall(entry, credits) => {
                    Action::Send(entry, ToEntry::Recall { credits })
                }
            });
        }
    }
}
