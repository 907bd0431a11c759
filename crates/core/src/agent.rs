//! The decisions of an agent: its backend servers, its slots, its fence and its registry shards.

mod backends;
mod starts;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use crate::config::ClusterState;
use crate::fence::{Fence, TaskMemory};
use crate::grants::{CreditAction, Grants};
use crate::ids::{Digest, Name, NodeRef, WallMs};
use crate::job::Needs;
use crate::msg::{Claim, Offer, RefusalReason, Start, TaskRef, TaskResult, ToAgent, ToEntry};
use crate::registry::{Collect, Registry};

pub use backends::Announcement;

use backends::{Backend, largest};

/// A backend server that does not renew its announcement for this long is gone.
pub const ANNOUNCE_LEASE: Duration = Duration::from_millis(1500);
/// A process that did nothing for this long was frozen: its credits are void.
pub const FREEZE_LIMIT: Duration = Duration::from_millis(1200);
/// Time between two clean-ups of expired memory.
const EXPIRE_EVERY: Duration = Duration::from_secs(5);

/// A call that an agent's adapter makes to a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// The dispatch.
    pub task: TaskRef,
    /// Digest of the request.
    pub digest: Digest,
    /// The backend server's name.
    pub backend: Name,
    /// Its address.
    pub url: Name,
    /// The entry whose slot it uses.
    pub entry: Name,
    /// The service.
    pub service: Name,
    /// The request's body.
    pub payload: Arc<[u8]>,
    /// Time after which the answer is of no use.
    pub timeout: Duration,
}

/// How a call to a backend server ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEnd {
    /// It answered, or failed after it may have started.
    Ended(TaskResult),
    /// The connection was refused: proof that it did not start.
    NotStarted,
}

/// What the agent's adapter has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send to the entry of this name.
    Send(Name, ToEntry),
    /// Call a backend server.
    Run(Run),
    /// Collect a shard's records.
    Collect(Collect),
}

/// One agent's decisions.
#[derive(Debug)]
pub struct Agent {
    me: NodeRef,
    backends: IndexMap<Name, Backend>,
    grants: Grants,
    fence: Fence,
    registry: Registry,
    cluster: Arc<ClusterState>,
    epoch: u64,
    offered: Option<Offer>,
    /// The epoch since which nothing is offered, once the agent leaves.
    left_at: Option<u64>,
    /// Linked entries that have not confirmed that the agent leaves; they may still send starts.
    unaware: IndexSet<Name>,
    seen: Instant,
    expire_at: Instant,
    links: Vec<Name>,
    dropped: u64,
    /// Baseline for measurements: starts wait here for a slot.
    queue_here: Option<VecDeque<(Name, Start)>>,
}

impl Agent {
    /// An agent process that just started.
    pub fn new(me: NodeRef, now: Instant) -> Self {
        Self {
            registry: Registry::new(me.clone()),
            me,
            backends: IndexMap::new(),
            grants: Grants::default(),
            fence: Fence::default(),
            cluster: Arc::default(),
            epoch: 1,
            offered: None,
            left_at: None,
            unaware: IndexSet::new(),
            seen: now,
            expire_at: now + EXPIRE_EVERY,
            links: Vec::new(),
            dropped: 0,
            queue_here: None,
        }
    }

    /// Notes the time. After a freeze all credits are void, so nothing sent before it starts.
    ///
    /// The adapter calls this before it hands on anything else.
    pub fn observe(&mut self, now: Instant, out: &mut Vec<Action>) {
        let frozen = now.duration_since(self.seen) > FREEZE_LIMIT;
        self.seen = now;
        if frozen {
            self.void_credits(out);
        }
    }

    /// Lets starts wait here for a slot, as a baseline for measurements.
    pub fn set_queue_here(&mut self, on: bool) {
        self.queue_here = on.then(VecDeque::new);
    }

    /// Acts on the passing of time.
    pub fn tick(&mut self, now: Instant, wall: WallMs, out: &mut Vec<Action>) {
        self.grants.tick();
        self.move_credits(out);
        let before = self.backends.len();
        self.backends
            .retain(|_, backend| backend.lease_until > now || backend.busy > 0);
        for backend in self.backends.values_mut().filter(|b| b.lease_until <= now) {
            backend.announced.leaving = true;
        }
        if now >= self.expire_at {
            self.expire_at = now + EXPIRE_EVERY;
            let window = self.cluster.preset().dedupe_window;
            self.fence.expire(wall, window);
            self.registry.expire(wall, window);
        }
        if before != self.backends.len() || self.offer_changed() {
            self.void_credits(out);
        }
    }

    /// Takes or renews a backend server's announcement.
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
            self.void_credits(out);
        }
    }

    /// A backend server leaves: it gets nothing new.
    pub fn withdraw(&mut self, name: &Name, out: &mut Vec<Action>) -> bool {
        let Some(backend) = self.backends.get_mut(name) else {
            return false;
        };
        backend.announced.leaving = true;
        self.void_credits(out);
        true
    }

    /// The agent itself leaves.
    pub fn leave(&mut self, out: &mut Vec<Action>) {
        self.left_at.get_or_insert(self.epoch + 1);
        self.unaware = self.links.iter().cloned().collect();
        self.void_credits(out);
    }

    /// Whether the agent leaves, nothing runs, and no start can be on its way any more.
    pub fn has_left(&self) -> bool {
        self.left_at.is_some() && self.is_idle() && self.unaware.is_empty()
    }

    /// Follows a new configuration.
    pub fn on_config(&mut self, cluster: Arc<ClusterState>, out: &mut Vec<Action>) {
        if cluster.revision <= self.cluster.revision {
            return;
        }
        self.cluster = cluster;
        let collects = self.registry.on_config(&self.cluster);
        out.extend(collects.into_iter().map(Action::Collect));
        if self.offer_changed() {
            self.void_credits(out);
        }
    }

    /// The registry, for questions of other replicas.
    pub fn registry(&mut self) -> &mut Registry {
        &mut self.registry
    }

    /// The newest placement of a shard here, once all shards placed here are served; else 0.
    ///
    /// It changes only when shards move, so that a change of the configuration costs no gossip.
    pub fn ready_for(&self) -> u64 {
        if !self.registry.is_ready(&self.cluster) {
            return 0;
        }
        let placed_here = self
            .cluster
            .shards
            .iter()
            .filter(|shard| shard.has(&self.me));
        placed_here.map(|shard| shard.placed_at).max().unwrap_or(0)
    }

    /// The configuration in force here.
    pub fn cluster(&self) -> &Arc<ClusterState> {
        &self.cluster
    }

    /// Whether nothing runs.
    pub fn is_idle(&self) -> bool {
        self.grants.running() == 0
    }

    /// Remembered tasks, registry records and dropped messages.
    pub fn sizes(&self) -> (usize, usize, u64) {
        (self.fence.len(), self.registry.len(), self.dropped)
    }

    /// What is offered now, with the credit epoch.
    pub fn offer(&self) -> Offer {
        let gone = self.left_at.is_some() || self.cluster.drained.contains_key(&self.me.name);
        let mut offer = Offer {
            epoch: self.epoch,
            services: Vec::new(),
            slots: 0,
            size: Needs::default(),
            leaving: gone,
        };
        if gone {
            return offer;
        }
        for backend in self.backends.values().filter(|backend| backend.slots() > 0) {
            offer.slots += backend.slots();
            offer.size = largest(offer.size, backend.announced.size);
            for service in &backend.announced.services {
                if !offer.services.contains(service) {
                    offer.services.push(service.clone());
                }
            }
        }
        offer
    }

    /// An entry linked up. Whatever an earlier link of it still brings must not be handed on.
    pub fn link_up(&mut self, entry: &Name, out: &mut Vec<Action>) {
        if !self.links.contains(entry) {
            self.links.push(entry.clone());
        }
        if self.left_at.is_some() {
            self.unaware.insert(entry.clone());
        }
        self.grants.link(entry);
        out.push(Action::Send(entry.clone(), ToEntry::Offer(self.offer())));
        self.move_credits(out);
    }

    /// An entry's link is lost.
    pub fn link_down(&mut self, entry: &Name, out: &mut Vec<Action>) {
        self.links.retain(|link| link != entry);
        self.unaware.swap_remove(entry);
        self.grants.unlink(entry);
        self.move_credits(out);
    }

    /// Handles a message of a linked entry.
    pub fn on_msg(&mut self, wall: WallMs, entry: &Name, msg: ToAgent, out: &mut Vec<Action>) {
        match msg {
            ToAgent::Start(start) => self.on_start(wall, entry, start, out),
            ToAgent::Want { backlog } => self.grants.want(entry, backlog),
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
                    self.grants.want(entry, backlog);
                }
            }
            ToAgent::OfferSeen { epoch } => {
                if self.left_at.is_some_and(|left_at| epoch >= left_at) {
                    self.unaware.swap_remove(entry);
                }
            }
            ToAgent::Query { tasks } => {
                for task in tasks {
                    let known = self.fence.query(task);
                    out.push(Action::Send(entry.clone(), self.tell(task, known)));
                }
            }
            ToAgent::Collect { key, attempt } => {
                let known = self.fence.collect(entry, key, attempt);
                let Some(known) = known else { return };
                out.push(Action::Send(
                    entry.clone(),
                    self.collected(key, attempt, known),
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
        self.move_credits(out);
    }

    /// A call to a backend server ended.
    pub fn on_end(&mut self, run: &Run, end: RunEnd, run_time: Duration, out: &mut Vec<Action>) {
        if let Some(backend) = self.backends.get_mut(&run.backend) {
            backend.busy = backend.busy.saturating_sub(1);
        }
        if self.queue_here.is_some() {
            self.start_queued(out);
        } else {
            self.grants.end(&run.entry);
        }
        match end {
            RunEnd::Ended(result) => {
                let owner = self.fence.ended(run.task, run.digest, result.clone());
                let credit = owner.as_ref() == Some(&run.entry)
                    && self.queue_here.is_none()
                    && self.grants.renew(&run.entry);
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
                let owner = self.fence.never_started(run.task);
                if let Some(backend) = self.backends.get_mut(&run.backend) {
                    backend.announced.leaving = true;
                }
                let (task, reason) = (run.task, RefusalReason::ConnectionRefused);
                self.send_linked(owner, ToEntry::Refused { task, reason }, out);
                self.void_credits(out);
            }
        }
        self.move_credits(out);
    }

    fn send_linked(&self, to: Option<Name>, msg: ToEntry, out: &mut Vec<Action>) {
        if let Some(entry) = to.filter(|entry| self.links.contains(entry)) {
            out.push(Action::Send(entry, msg));
        }
    }

    fn tell(&self, task: TaskRef, known: TaskMemory) -> ToEntry {
        match known {
            TaskMemory::Running(started, _) => ToEntry::Running {
                task: TaskRef { ..started },
            },
            TaskMemory::Done(started, digest, result) => ToEntry::Done {
                task: started,
                digest,
                run_us: 0,
                result,
                credit: false,
                epoch: self.epoch,
            },
            TaskMemory::Barred(_) => ToEntry::Refused {
                task,
                reason: RefusalReason::NeverArrived,
            },
        }
    }

    fn collected(
        &self,
        key: crate::ids::JobKey,
        attempt: u32,
        known: Vec<(u16, TaskMemory)>,
    ) -> ToEntry {
        let mut running = Vec::new();
        let mut done = Vec::new();
        for (index, memory) in known {
            match memory {
                TaskMemory::Running(..) => running.push(index),
                TaskMemory::Done(_, digest, result) => done.push((index, digest, result)),
                TaskMemory::Barred(_) => {}
            }
        }
        let knows_since = WallMs(self.me.incarnation);
        ToEntry::Collected {
            key,
            attempt,
            knows_since,
            running,
            done,
        }
    }

    fn offer_changed(&self) -> bool {
        self.offered.as_ref() != Some(&self.offer())
    }

    /// Raises the epoch, so that every outstanding credit is void, and offers anew.
    fn void_credits(&mut self, out: &mut Vec<Action>) {
        self.epoch += 1;
        let offer = self.offer();
        self.grants.reset(offer.slots);
        for entry in &self.links {
            out.push(Action::Send(entry.clone(), ToEntry::Offer(offer.clone())));
        }
        self.offered = Some(offer);
        self.move_credits(out);
    }

    fn move_credits(&mut self, out: &mut Vec<Action>) {
        if self.queue_here.is_some() {
            return;
        }
        for step in self.grants.moves() {
            out.push(match step {
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
