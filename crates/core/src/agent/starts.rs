//! Handling of task starts: fence check, credit check and choice of a backend server.

use std::collections::VecDeque;
use std::time::Duration;

use crate::fence::StartDecision;
use crate::ids::{Digest, Name, WallMs};
use crate::job::task_digest;
use crate::msg::{RefusalReason, Start, TaskRef, ToEntry};

use super::{Action, Agent, Run};

impl Agent {
    /// Sets the agent's failure domain, whose evacuation it follows.
    pub fn set_domain(&mut self, domain: Name) {
        self.domain = Some(domain);
    }

    /// Returns whether the worker gets no new work: the agent leaves, or an operator drained the
    /// worker or evacuated its failure domain.
    pub(super) fn takes_no_work(&self) -> bool {
        let domain = self.domain.as_ref();
        self.leave_epoch.is_some()
            || self.cluster.drained.contains_key(&self.node.name)
            || domain.is_some_and(|domain| self.cluster.evacuated.contains_key(domain))
    }

    /// Handles a start from an entry: runs its task, or replies with the reason for refusing it.
    pub(super) fn on_start(
        &mut self,
        wall: WallMs,
        entry: &Name,
        start: Start,
        out: &mut Vec<Action>,
    ) {
        let task = TaskRef {
            key: start.key,
            attempt: start.attempt,
            index: start.index,
            dispatch: start.dispatch,
        };
        if self.start_queue.is_some() {
            self.start_or_queue(wall, entry, start, out);
            return;
        }
        let had_credit = start.epoch == self.epoch
            && self.grants.use_credit(entry, &start.account, start.backlog);
        match self.choose_backend(wall, had_credit, &start) {
            Ok(backend) => {
                let digest = task_digest(start.key, start.index, &start.payload);
                self.fence.record_start(entry, task, digest);
                out.push(Action::Run(
                    self.occupy_slot(entry, backend, task, digest, start),
                ));
            }
            Err(decision) => {
                if had_credit {
                    self.grants.release_slot(entry);
                }
                let msg = match decision {
                    StartDecision::AlreadyStarted(record) => {
                        self.duplicate_starts += 1;
                        self.status_reply(task, record)
                    }
                    StartDecision::Refuse(reason) => ToEntry::Refused { task, reason },
                    StartDecision::Start => return,
                };
                out.push(Action::Send(entry.clone(), msg));
            }
        }
    }

    /// Runs a start if a slot is free, otherwise queues it.
    fn start_or_queue(&mut self, wall: WallMs, entry: &Name, start: Start, out: &mut Vec<Action>) {
        let task = TaskRef {
            key: start.key,
            attempt: start.attempt,
            index: start.index,
            dispatch: start.dispatch,
        };
        match self.choose_backend(wall, true, &start) {
            Ok(backend) => {
                let digest = task_digest(start.key, start.index, &start.payload);
                self.fence.record_start(entry, task, digest);
                out.push(Action::Run(
                    self.occupy_slot(entry, backend, task, digest, start),
                ));
            }
            Err(StartDecision::Refuse(RefusalReason::NoBackend)) => {
                if let Some(queue) = &mut self.start_queue {
                    queue.push_back((entry.clone(), start));
                }
            }
            Err(StartDecision::Refuse(reason)) => {
                out.push(Action::Send(
                    entry.clone(),
                    ToEntry::Refused { task, reason },
                ));
            }
            Err(_) => self.duplicate_starts += 1,
        }
    }

    /// Runs the start that has been queued longest, or queues it again if no slot is free.
    pub(super) fn start_next_queued(&mut self, out: &mut Vec<Action>) {
        let queue = self.start_queue.as_mut();
        if let Some((entry, start)) = queue.and_then(VecDeque::pop_front) {
            let wall = start.key.created();
            self.start_or_queue(wall, &entry, start, out);
        }
    }

    /// Returns the least busy backend server for a start, or the reason for refusing it.
    fn choose_backend(
        &self,
        wall: WallMs,
        had_credit: bool,
        start: &Start,
    ) -> Result<Name, StartDecision> {
        match self
            .fence
            .check(start, wall, self.cluster.preset().dedupe_window)
        {
            StartDecision::Start => {}
            other => return Err(other),
        }
        if !had_credit {
            return Err(StartDecision::Refuse(RefusalReason::StaleCredit));
        }
        if start.deadline_ms == 0 {
            return Err(StartDecision::Refuse(RefusalReason::TooLate));
        }
        self.backends
            .iter()
            .filter(|(_, backend)| backend.can_run(&start.service))
            .min_by_key(|(_, backend)| backend.busy)
            .map(|(name, _)| name.clone())
            .ok_or(StartDecision::Refuse(RefusalReason::NoBackend))
    }

    /// Takes a slot of a backend server and returns the call to make.
    fn occupy_slot(
        &mut self,
        entry: &Name,
        name: Name,
        task: TaskRef,
        digest: Digest,
        start: Start,
    ) -> Run {
        let backend = &mut self.backends[&name];
        backend.busy += 1;
        Run {
            task,
            digest,
            url: backend.announced.url.clone(),
            backend: name,
            entry: entry.clone(),
            service: start.service,
            payload: start.payload,
            timeout: Duration::from_millis(u64::from(start.deadline_ms)),
        }
    }
}
