//! Claims of keys at the registry replicas, and attaching to jobs that other entries hold.

use std::time::Duration;

use crate::answer::{Answer, Failure, FailureKind};
use crate::claim::{ClaimState, Holder};
use crate::ids::{JobKey, Name, NodeRef};
use crate::members::MemberState;
use crate::msg::{Claim, ClaimReply, PeerMsg, ToAgent};
use crate::placement::shard_of;

use super::{Action, Dispatcher, MAX_HELD_ROUNDS, Now, Phase, Waiter};

/// Timeout for closing the key of a refused job; after it the outcome is answered as unknown.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the entry that holds a job is asked again for its answer.
const ATTACH_RETRY: Duration = Duration::from_secs(1);

/// Attempt, placement version and whether the key is to be closed. Replies to another round are
/// ignored.
type RoundId = (u32, u64, bool);

impl Dispatcher {
    /// Sends the claims of the current round that are due.
    pub(super) fn send_claims(&mut self, now: Now, key: JobKey, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let Phase::Claiming(round) = &mut job.phase else {
            return;
        };
        let fleet = &self.fleet;
        let linked = |node: &NodeRef| {
            fleet
                .workers()
                .get(&node.name)
                .is_some_and(|worker| worker.linked && worker.node == *node)
        };
        for replica in round.replicas_to_ask(now.mono, linked) {
            let claim = Claim {
                key,
                version: round.version,
                replica: replica.clone(),
                owner: self.me.clone(),
                attempt: round.attempt,
                digest: job.digest,
                closed: round.closed,
            };
            out.push(Action::Send(replica.name, ToAgent::Claim(claim)));
        }
    }

    /// Repeats unanswered claims and requests for answers, and starts a new claim round for each job
    /// whose shard was placed anew.
    pub(super) fn tick_claims(&mut self, now: Now, out: &mut Vec<Action>) {
        let Some(cluster) = self.cluster.clone() else {
            return;
        };
        let mut moved = Vec::new();
        let mut open = Vec::new();
        let mut attached = Vec::new();
        for (key, job) in &self.jobs {
            match &job.phase {
                Phase::Claiming(round) => {
                    let version = shard_of(&cluster, *key).map(|(_, shard)| shard.version);
                    let list = if version == Some(round.version) {
                        &mut open
                    } else {
                        &mut moved
                    };
                    list.push(*key);
                }
                Phase::Attached { .. } => attached.push(*key),
                Phase::Collecting(_) | Phase::Running => {}
            }
        }
        for key in moved {
            self.begin_claim(now, key, out);
        }
        for key in open {
            self.send_claims(now, key, out);
        }
        for key in attached {
            self.ask_owner(now, key, out);
        }
    }

    /// Handles a replica's reply to a claim.
    pub(super) fn on_claimed(
        &mut self,
        now: Now,
        from: &Name,
        key: JobKey,
        round_id: RoundId,
        reply: ClaimReply,
        out: &mut Vec<Action>,
    ) {
        let Some(node) = self
            .fleet
            .workers()
            .get(from)
            .map(|worker| worker.node.clone())
        else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let Phase::Claiming(round) = &mut job.phase else {
            return;
        };
        if (round.attempt, round.version, round.closed) != round_id {
            return;
        }
        match round.on_reply(&node, reply) {
            ClaimState::Waiting => {}
            ClaimState::Granted => self.on_claim_granted(now, key, out),
            ClaimState::Held(holder) => self.on_key_held(now, key, holder, out),
            ClaimState::Undecidable => {
                let detail = "the registry's records of that time are lost";
                self.fail(
                    now,
                    key,
                    Failure::unknown(FailureKind::OutcomeUnknown, detail),
                    out,
                );
            }
        }
        self.dispatch_queued(now, out);
    }

    fn on_claim_granted(&mut self, now: Now, key: JobKey, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if let Some(failure) = job.closing.take() {
            self.finish(now, key, Err(failure), out);
        } else if job.attempt == 1 {
            self.queue_tasks(key);
        } else {
            self.begin_collection(now, key, out);
        }
    }

    fn on_key_held(&mut self, now: Now, key: JobKey, holder: Holder, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if job.digest != holder.digest {
            let detail = "the key was used for another request";
            let failure = Failure::not_run(FailureKind::KeyConflict, detail);
            self.finish(now, key, Err(failure), out);
            return;
        }
        job.held_rounds += 1;
        if job.held_rounds > MAX_HELD_ROUNDS {
            let detail = "the key's holders could not be sorted out";
            self.fail(
                now,
                key,
                Failure::unknown(FailureKind::OutcomeUnknown, detail),
                out,
            );
            return;
        }
        // An open claim of this process that started nothing does not prevent closing the key.
        let own = holder.owner == self.me && !self.ended.contains_key(&key);
        if holder.closed || own && job.closing.is_some() {
            job.attempt = holder.attempt + 1;
            let detail = "the key was refused as not run before; try again with a new key";
            self.close_key(
                now,
                key,
                Failure::not_run(FailureKind::KeyClosed, detail),
                out,
            );
            return;
        }
        job.closing = None;
        if holder.owner == self.me || !self.is_alive(&holder.owner) {
            self.take_over(now, key, holder.attempt, out);
            return;
        }
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let Holder { owner, attempt, .. } = holder;
        job.phase = Phase::Attached {
            owner,
            attempt,
            asked_at: None,
        };
        self.ask_owner(now, key, out);
    }

    /// Closes the key of a job that is proved not to have started. The refusal is answered once a
    /// majority of replicas has recorded that no entry may start it.
    pub(super) fn close_key(
        &mut self,
        now: Now,
        key: JobKey,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        self.dequeue(key);
        if let Some(job) = self.jobs.get_mut(&key) {
            job.queued.clear();
            job.closing = Some(failure);
            job.deadline = now.mono + CLOSE_TIMEOUT;
            self.begin_claim(now, key, out);
        }
    }

    fn is_alive(&self, node: &NodeRef) -> bool {
        self.members
            .iter()
            .any(|m| m.node == *node && m.state != MemberState::Dead)
    }

    /// Claims the key at an attempt above its holder's.
    fn take_over(&mut self, now: Now, key: JobKey, attempt: u32, out: &mut Vec<Action>) {
        if let Some(job) = self.jobs.get_mut(&key) {
            job.attempt = attempt + 1;
            self.begin_claim(now, key, out);
        }
    }

    /// Asks the entry that holds the key for the answer, or takes the job over if that entry is
    /// dead.
    fn ask_owner(&mut self, now: Now, key: JobKey, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let Phase::Attached {
            owner,
            attempt,
            asked_at,
        } = &job.phase
        else {
            return;
        };
        if !self.is_alive(owner) {
            let attempt = *attempt;
            self.take_over(now, key, attempt, out);
            return;
        }
        if asked_at.is_some_and(|at| now.mono.duration_since(at) < ATTACH_RETRY) {
            return;
        }
        out.push(Action::Peer(owner.name.clone(), PeerMsg::Attach { key }));
        if let Some(job) = self.jobs.get_mut(&key)
            && let Phase::Attached { asked_at, .. } = &mut job.phase
        {
            *asked_at = Some(now.mono);
        }
    }

    /// Handles a message from another entry.
    pub fn on_peer(&mut self, now: Now, entry: &NodeRef, msg: PeerMsg, out: &mut Vec<Action>) {
        match msg {
            PeerMsg::Attach { key } => self.on_attach(entry, key, out),
            PeerMsg::Attached { key, answer } => self.on_attached(now, entry, key, answer, out),
            PeerMsg::Borrow { service, tasks } => self.on_borrow(now, entry, &service, tasks, out),
            PeerMsg::Lent { loans } => self.on_lent(now, loans, out),
            PeerMsg::Demand { tenants } => {
                self.quotas
                    .on_peer_demand(now.mono, entry.name.clone(), tenants);
            }
        }
    }

    fn on_attach(&mut self, entry: &NodeRef, key: JobKey, out: &mut Vec<Action>) {
        if let Some(job) = self.jobs.get_mut(&key) {
            // Two entries that attach to each other would never be answered.
            if !matches!(job.phase, Phase::Attached { .. }) {
                let waiter = Waiter::Entry(entry.name.clone());
                if !job.waiters.contains(&waiter) {
                    job.waiters.push(waiter);
                }
                return;
            }
        }
        let answer = self.ended.get(&key).and_then(|ended| ended.answer.clone());
        out.push(Action::Peer(
            entry.name.clone(),
            PeerMsg::Attached { key, answer },
        ));
    }

    fn on_attached(
        &mut self,
        now: Now,
        entry: &NodeRef,
        key: JobKey,
        answer: Option<Answer>,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let Phase::Attached { owner, attempt, .. } = &job.phase else {
            return;
        };
        if owner != entry {
            return;
        }
        let attempt = *attempt;
        match answer {
            Some(answer) => self.finish(now, key, answer, out),
            None => self.take_over(now, key, attempt, out),
        }
    }
}
