//! Link changes and messages of agents.

use std::time::Duration;

use crate::answer::{Failure, FailureKind};
use crate::fleet::SentTask;
use crate::ids::{Digest, Name, NodeRef};
use crate::members::Member;
use crate::msg::{Offer, RefusalReason, TaskRef, TaskResult, ToAgent, ToEntry};

use super::{
    Action, DeclaredError, Dispatcher, MAX_TRIES, MetricEvent, Now, Phase, RunTimes, TaskState,
};

/// Minimum weight of a new sample in a learned run time; the first samples weigh more.
const RUN_TIME_RATE: f64 = 0.02;
/// Minimum weight of a new sample in the learned error of declared run times.
const DECLARED_RATE: f64 = 0.05;

impl Dispatcher {
    /// Handles a new link to an agent. Jobs with tasks on an earlier process of the same name fail.
    pub fn agent_link_up(&mut self, now: Now, node: NodeRef, out: &mut Vec<Action>) {
        let name = node.name.clone();
        let lost = self.fleet.link_up(now.mono, node);
        for sent in lost {
            self.fail_lost_task(now, &name, &sent, out);
        }
        self.query_worker(&name, out);
    }

    /// Handles the loss of an agent's link. The outcome of its tasks is open until it links again
    /// or their deadline passes.
    pub fn agent_link_down(&mut self, name: &Name) {
        self.fleet.link_down(name);
    }

    /// Applies a member list. Jobs with tasks on worker processes that were replaced fail.
    pub fn on_members(&mut self, now: Now, members: Vec<Member>, out: &mut Vec<Action>) {
        self.members = members;
        let replaced = |m: &&Member| {
            let worker = self.fleet.workers().get(&m.node.name);
            worker.is_some_and(|worker| m.node.incarnation > worker.node.incarnation)
        };
        let names: Vec<Name> = self
            .members
            .iter()
            .filter(replaced)
            .map(|m| m.node.name.clone())
            .collect();
        let mut lost: Vec<(Name, SentTask)> = Vec::new();
        for name in names {
            let sent = self.fleet.remove_all_sent(&name);
            lost.extend(sent.into_iter().map(|sent| (name.clone(), sent)));
        }
        for (name, sent) in lost {
            self.fail_lost_task(now, &name, &sent, out);
        }
    }

    fn fail_lost_task(&mut self, now: Now, worker: &Name, sent: &SentTask, out: &mut Vec<Action>) {
        let detail = format!("worker {worker} was lost with task {}", sent.task.index);
        let failure = Failure::unknown(FailureKind::WorkerLost, detail);
        if self.is_waiting_for(sent.task, worker) {
            self.fail(now, sent.task.key, failure, out);
        }
    }

    /// Returns whether the task's result is awaited from this worker.
    fn is_waiting_for(&self, task: TaskRef, from: &Name) -> bool {
        let state = self
            .jobs
            .get(&task.key)
            .and_then(|job| job.tasks.get(task.index as usize));
        matches!(state, Some(TaskState::Sent { worker, .. }) if worker == from)
    }

    /// Handles a message from a linked agent.
    pub fn on_agent(&mut self, now: Now, from: &Name, msg: ToEntry, out: &mut Vec<Action>) {
        self.record_contact(now, from);
        match msg {
            ToEntry::Offer(offer) => self.on_offer(from, offer, out),
            ToEntry::Grant { credits, epoch } => self.fleet.grant(from, credits, epoch),
            ToEntry::Recall { credits } => self.on_recall(now, from, credits, out),
            ToEntry::Running { .. } => {}
            ToEntry::Refused { task, reason } => self.on_refused(now, from, task, reason, out),
            ToEntry::Done {
                task,
                digest,
                run_us,
                result,
                credit,
                epoch,
            } => {
                if credit {
                    self.fleet.grant(from, 1, epoch);
                }
                let run = Duration::from_micros(u64::from(run_us));
                self.on_done(now, from, task, digest, run, result, out);
            }
            ToEntry::Collected {
                key,
                attempt,
                knows_since,
                running,
                done,
            } => {
                self.on_collected(now, from, key, attempt, knows_since, running, done, out);
            }
            ToEntry::Claimed {
                key,
                attempt,
                version,
                closed,
                reply,
            } => {
                self.on_claimed(now, from, key, (attempt, version, closed), reply, out);
                return;
            }
        }
        self.dispatch_queued(now, out);
    }

    /// Applies an offer. That of a leaving agent is acknowledged, since the agent exits only once
    /// no start against an earlier offer can follow.
    fn on_offer(&mut self, from: &Name, offer: Offer, out: &mut Vec<Action>) {
        let Offer { epoch, leaving, .. } = offer;
        self.fleet.on_offer(from, offer);
        if leaving {
            out.push(Action::Send(from.clone(), ToAgent::OfferSeen { epoch }));
        }
    }

    /// Records the time of a message from an agent.
    pub fn record_contact(&mut self, now: Now, from: &Name) {
        if let Some(worker) = self.fleet.worker_mut(from) {
            worker.heard_at = now.mono;
        }
    }

    /// Returns idle credits that the agent asked for, or none while tasks are queued.
    fn on_recall(&mut self, now: Now, from: &Name, credits: u32, out: &mut Vec<Action>) {
        let waiting: u32 = self
            .queues
            .values()
            .map(crate::queue::ServiceQueue::total)
            .sum();
        let Some(worker) = self.fleet.worker_mut(from) else {
            return;
        };
        let idle = if waiting > 0 {
            0
        } else {
            worker.credits.min(credits)
        };
        worker.credits -= idle;
        worker.reported_backlog = waiting;
        let (epoch, held) = (worker.offer.epoch, worker.outstanding_credits(now.mono));
        let account = self.me.name.clone();
        out.push(Action::Send(
            from.clone(),
            ToAgent::Return {
                credits: idle,
                epoch,
                backlog: waiting,
                account,
                held,
            },
        ));
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    fn on_done(
        &mut self,
        now: Now,
        from: &Name,
        task: TaskRef,
        digest: Digest,
        run: Duration,
        result: TaskResult,
        out: &mut Vec<Action>,
    ) {
        let failed = matches!(result, TaskResult::Failed(_));
        if let Some(sent) = self.fleet.take_sent(from, task) {
            self.fleet.record_end(now.mono, from, &sent, run, failed);
            if !failed && !run.is_zero() {
                self.learn_run_time(task, &sent, run, out);
            }
        }
        if !self.is_waiting_for(task, from) {
            out.push(Action::Metric(MetricEvent::Dropped("late")));
            return;
        }
        match self.store_result(task.key, task.index, digest, result, out) {
            Ok(()) => self.finish_if_done(now, task.key, out),
            Err(failure) => self.fail(now, task.key, failure, out),
        }
    }

    fn learn_run_time(
        &mut self,
        task: TaskRef,
        sent: &SentTask,
        run: Duration,
        out: &mut Vec<Action>,
    ) {
        let id = (sent.service.clone(), sent.class);
        let seconds = run.as_secs_f64();
        let times = self.run_times.entry(id).or_insert(RunTimes {
            mean: seconds,
            deviation: 0.0,
            samples: 0,
        });
        times.samples = times.samples.saturating_add(1);
        let rate = (1.0 / f64::from(times.samples)).max(RUN_TIME_RATE);
        let error = seconds - times.mean;
        times.mean += rate * error;
        times.deviation += rate * (error.abs() - times.deviation);
        let Some(job) = self.jobs.get(&task.key) else {
            return;
        };
        let (tenant, class) = (job.spec.tenant.clone(), sent.class);
        if let Some(declared) = job
            .spec
            .tasks
            .get(task.index as usize)
            .and_then(|t| t.declared_run_time)
        {
            let log_ratio = (seconds / declared.as_secs_f64().max(1e-6)).ln();
            self.declared_errors
                .entry((tenant.clone(), class))
                .or_default()
                .learn(log_ratio);
        }
        out.push(Action::Metric(MetricEvent::TaskEnded {
            tenant,
            class,
            run,
        }));
    }

    /// Queues a task again whose dispatch was refused before it started. Fails its job instead if the
    /// task's tries or the tenant's retry budget are used up, or if another entry has taken over.
    fn on_refused(
        &mut self,
        now: Now,
        from: &Name,
        task: TaskRef,
        reason: RefusalReason,
        out: &mut Vec<Action>,
    ) {
        if self.fleet.take_sent(from, task).is_none() {
            out.push(Action::Metric(MetricEvent::Dropped("refusal")));
            return;
        }
        if !self.is_waiting_for(task, from) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&task.key) else {
            return;
        };
        job.started = job.started.saturating_sub(1);
        let tenant = job.spec.tenant.clone();
        let TaskState::Sent { tries, .. } = &job.tasks[task.index as usize] else {
            return;
        };
        let tries = *tries;
        if reason == RefusalReason::Superseded {
            let failure =
                Failure::unknown(FailureKind::TakenOver, "another entry took the job over");
            self.fail(now, task.key, failure, out);
        } else if tries >= MAX_TRIES || !self.quotas.take_retry(&tenant) {
            let detail = format!(
                "task {} was refused {tries} times, last: {reason:?}",
                task.index
            );
            self.fail(
                now,
                task.key,
                Failure::unknown(FailureKind::Overloaded, detail),
                out,
            );
        } else {
            out.push(Action::Metric(MetricEvent::Retried));
            self.requeue(task, tries);
        }
    }

    fn requeue(&mut self, task: TaskRef, tries: u32) {
        self.dequeue(task.key);
        if let Some(job) = self.jobs.get_mut(&task.key) {
            debug_assert!(matches!(job.phase, Phase::Running));
            job.tasks[task.index as usize] = TaskState::Queued;
            job.queued.push_front(task.index);
            job.set_tries(task.index, tries);
        }
        self.enqueue(task.key);
    }
}

impl DeclaredError {
    fn learn(&mut self, log_ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        let rate = (1.0 / f64::from(self.samples)).max(DECLARED_RATE);
        let error = log_ratio - self.bias;
        self.bias += rate * error;
        self.variance += rate * (error * error - self.variance);
    }
}
