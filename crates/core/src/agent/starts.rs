//! Starts of tasks: the fence, the credit, the choice of a backend server.

use std::collections::VecDeque;
use std::time::Duration;

use crate::fence::Verdict;
use crate::ids::{Digest, Name, WallMs};
use crate::job::task_digest;
use crate::msg::{RefusalReason, Start, TaskRef, ToEntry};

use super::{Action, Agent, Run};

impl Agent {
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
        if self.queue_here.is_some() {
            self.start_or_queue(wall, entry, start, out);
            return;
        }
        let had_credit =
            start.epoch == self.epoch && self.grants.start(entry, &start.account, start.backlog);
        match self.decide(wall, had_credit, &start) {
            Ok(backend) => {
                let digest = task_digest(start.key, start.index, &start.payload);
                self.fence.started(entry, task, digest);
                out.push(Action::Run(self.run(entry, backend, task, digest, start)));
            }
            Err(reply) => {
                if had_credit {
                    self.grants.end(entry);
                }
                let msg = match reply {
                    Verdict::Known(known) => {
                        self.dropped += 1;
                        self.tell(task, known)
                    }
                    Verdict::Refuse(reason) => ToEntry::Refused { task, reason },
                    Verdict::Start => return,
                };
                out.push(Action::Send(entry.clone(), msg));
            }
        }
    }

    /// Runs a start when a slot is free, else lets it wait here.
    fn start_or_queue(&mut self, wall: WallMs, entry: &Name, start: Start, out: &mut Vec<Action>) {
        let task = TaskRef {
            key: start.key,
            attempt: start.attempt,
            index: start.index,
            dispatch: start.dispatch,
        };
        match self.decide(wall, true, &start) {
            Ok(backend) => {
                let digest = task_digest(start.key, start.index, &start.payload);
                self.fence.started(entry, task, digest);
                out.push(Action::Run(self.run(entry, backend, task, digest, start)));
            }
            Err(Verdict::Refuse(RefusalReason::NoBackend)) => {
                if let Some(queue) = &mut self.queue_here {
                    queue.push_back((entry.clone(), start));
                }
            }
            Err(Verdict::Refuse(reason)) => {
                out.push(Action::Send(
                    entry.clone(),
                    ToEntry::Refused { task, reason },
                ));
            }
            Err(_) => self.dropped += 1,
        }
    }

    pub(super) fn start_queued(&mut self, out: &mut Vec<Action>) {
        let queue = self.queue_here.as_mut();
        if let Some((entry, start)) = queue.and_then(VecDeque::pop_front) {
            let wall = start.key.created();
            self.start_or_queue(wall, &entry, start, out);
        }
    }

    /// The backend server to run on, or why the task does not start now.
    fn decide(&self, wall: WallMs, had_credit: bool, start: &Start) -> Result<Name, Verdict> {
        match self
            .fence
            .check(start, wall, self.cluster.preset().dedupe_window)
        {
            Verdict::Start => {}
            other => return Err(other),
        }
        if !had_credit {
            return Err(Verdict::Refuse(RefusalReason::StaleCredit));
        }
        if start.deadline_ms == 0 {
            return Err(Verdict::Refuse(RefusalReason::TooLate));
        }
        self.backends
            .iter()
            .filter(|(_, backend)| backend.can_run(&start.service))
            .min_by_key(|(_, backend)| backend.busy)
            .map(|(name, _)| name.clone())
            .ok_or(Verdict::Refuse(RefusalReason::NoBackend))
    }

    fn run(
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
