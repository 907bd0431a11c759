//! Dispatch of queued tasks to workers with credits.

use std::time::Duration;

use crate::fleet::{SentTask, TaskRequirements};
use crate::ids::{JobKey, Name};
use crate::job::Class;
use crate::msg::{Start, TaskRef, ToAgent};

use super::{Action, Dispatcher, MetricEvent, Mode, Now, TaskState};

/// Maximum number of queued jobs of a class that are tried for one dispatch.
const MAX_CANDIDATES: usize = 8;
/// Factor on the recent peak of short tasks, for the slots that long tasks leave free.
const SHORT_MARGIN: f64 = 1.2;
/// Share of the slots reserved for short tasks, unless `long_share_percent` grants long ones more.
const RESERVED_FOR_SHORT: f64 = 0.1;
/// Declared run times are used only while the variance of ln(actual / declared) is below this.
const MAX_DECLARED_VARIANCE: f64 = 0.5;
/// Completed tasks with a declared run time before a tenant's declarations are used.
const MIN_DECLARED_SAMPLES: u32 = 20;

impl Dispatcher {
    /// Dispatches queued tasks as long as credits and policy allow, and requests credits for the
    /// rest.
    pub(super) fn dispatch_queued(&mut self, now: Now, out: &mut Vec<Action>) {
        let services: Vec<Name> = self
            .queues
            .iter()
            .filter(|(_, queue)| queue.total() > 0)
            .map(|(service, _)| service.clone())
            .collect();
        for service in services {
            self.update_short_peak(&service);
            while self.dispatch_one(now, &service, out) {}
            self.request_credits(now, &service, out);
        }
    }

    /// Raises the peak of short tasks to the current demand, if that is higher.
    fn update_short_peak(&mut self, service: &Name) {
        let Some(queue) = self.queues.get(service) else {
            return;
        };
        let demand =
            f64::from(queue.tasks(Class::Short) + self.fleet.sent_count(service, Class::Short));
        let slots = f64::from(self.fleet.slots_held(service));
        let peak = self.short_peak.entry(service.clone()).or_default();
        *peak = peak.max(demand.min(slots));
    }

    /// Dispatches one task of a service. Returns `false` if none can start now.
    fn dispatch_one(&mut self, now: Now, service: &Name, out: &mut Vec<Action>) -> bool {
        if self.policy.mode == Mode::Credits && !self.fleet.has_credit(service) {
            return false;
        }
        for class in self.class_order(service) {
            let Some(queue) = self.queues.get(service) else {
                return false;
            };
            if queue.tasks(class) == 0 || class == Class::Long && !self.may_start_long(service) {
                continue;
            }
            for key in queue.candidates(class, MAX_CANDIDATES) {
                if let Some(worker) = self.find_worker(now, key) {
                    self.send_start(now, key, worker, out);
                    return true;
                }
            }
        }
        false
    }

    /// Returns the classes in the order to serve: short before long, or without class shares the
    /// class whose first candidate arrived earlier.
    fn class_order(&self, service: &Name) -> [Class; 2] {
        if self.policy.class_shares {
            return Class::ALL;
        }
        let arrived = |class: Class| {
            let key = self
                .queues
                .get(service)?
                .candidates(class, 1)
                .first()
                .copied()?;
            self.jobs.get(&key).map(|job| job.arrived)
        };
        match (arrived(Class::Short), arrived(Class::Long)) {
            (Some(short), Some(long)) if long < short => [Class::Long, Class::Short],
            _ => Class::ALL,
        }
    }

    /// Returns whether another long task may start. Long tasks leave slots free for the recent peak of
    /// short ones, but may always use their configured share and at least one slot.
    fn may_start_long(&self, service: &Name) -> bool {
        if !self.policy.class_shares {
            return true;
        }
        let slots = f64::from(self.fleet.slots_held(service));
        let percent = self
            .cluster
            .as_ref()
            .map_or(100, |c| c.preset().long_share_percent);
        let share = slots * f64::from(percent) / 100.0;
        let peak = self.short_peak.get(service).copied().unwrap_or(0.0);
        let not_reserved = (slots - peak * SHORT_MARGIN).min(slots * (1.0 - RESERVED_FOR_SHORT));
        let limit = not_reserved.max(share).floor().max(1.0);
        f64::from(self.fleet.sent_count(service, Class::Long)) < limit
    }

    /// Selects a worker for the job's next task, or `None` if it has to wait.
    fn find_worker(&mut self, now: Now, key: JobKey) -> Option<Name> {
        let expected = self.expected_run(key);
        let job = self.jobs.get(&key)?;
        let requirements = TaskRequirements {
            service: &job.spec.service,
            needs: job.spec.needs,
            link_seq_below: job.link_seq_below,
        };
        let queued = self.queues.get(&job.spec.service)?.tasks(job.spec.class);
        if self.policy.mode == Mode::Credits {
            return self
                .fleet
                .choose_worker(now.mono, requirements, expected, queued);
        }
        let workers: Vec<(Name, usize)> = self.fleet.eligible_workers(requirements);
        let pick = |i: usize| workers.get(i).cloned();
        let (name, _) = match self.policy.mode {
            Mode::RoundRobin => {
                self.next_worker += 1;
                pick(self.next_worker % workers.len().max(1))?
            }
            Mode::TwoChoices => {
                let a = pick(self.rng.usize(0..workers.len().max(1)))?;
                let b = pick(self.rng.usize(0..workers.len().max(1)))?;
                if a.1 <= b.1 { a } else { b }
            }
            Mode::Random | Mode::Credits => pick(self.rng.usize(0..workers.len().max(1)))?,
        };
        Some(name)
    }

    /// Returns the expected run time of the job's next task on a worker of mean speed.
    fn expected_run(&self, key: JobKey) -> Duration {
        let Some(job) = self.jobs.get(&key) else {
            return Class::Short.default_run_time();
        };
        let mean = self.mean_run(&job.spec.service, job.spec.class);
        let index = job.queued.front().copied().unwrap_or(0);
        let Some(declared) = job
            .spec
            .tasks
            .get(index as usize)
            .and_then(|task| task.declared_run_time)
        else {
            return mean;
        };
        let id = (job.spec.tenant.clone(), job.spec.class);
        match self.declared_errors.get(&id) {
            Some(learned)
                if learned.samples >= MIN_DECLARED_SAMPLES
                    && learned.variance < MAX_DECLARED_VARIANCE =>
            {
                declared.mul_f64(learned.bias.exp().clamp(0.001, 1000.0))
            }
            _ => mean,
        }
    }

    fn send_start(&mut self, now: Now, key: JobKey, worker: Name, out: &mut Vec<Action>) {
        let expected = self.expected_run(key);
        self.dequeue(key);
        let dispatch = self.next_dispatch;
        self.next_dispatch += 1;
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let Some(index) = job.queued.pop_front() else {
            return;
        };
        let tries = job.tries.swap_remove(&index).unwrap_or(0) + 1;
        job.tasks[index as usize] = TaskState::Sent {
            worker: worker.clone(),
            tries,
        };
        job.started += 1;
        let (tenant, class, service) = (
            job.spec.tenant.clone(),
            job.spec.class,
            job.spec.service.clone(),
        );
        let task = TaskRef {
            key,
            attempt: job.attempt,
            index,
            dispatch,
        };
        let remaining = job.deadline.saturating_duration_since(now.mono);
        let payload = job.spec.tasks[index as usize].payload.clone();
        let wait = now.mono.duration_since(job.arrived);
        self.enqueue(key);
        let backlog = self
            .queues
            .get(&service)
            .map_or(0, crate::queue::ServiceQueue::total);
        let sent = SentTask {
            task,
            class,
            service: service.clone(),
            expected,
            at: now.mono,
        };
        let account = self
            .fleet
            .record_sent(&worker, sent, backlog)
            .unwrap_or_else(|| self.me.name.clone());
        let epoch = self
            .fleet
            .workers()
            .get(&worker)
            .map_or(0, |w| w.offer.epoch);
        let weight = self.weight(&tenant);
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.charge(class, &tenant, expected.as_secs_f64(), weight);
        }
        self.quotas.task_started(&tenant);
        let deadline_ms = remaining.as_millis().min(u128::from(u32::MAX)) as u32;
        let start = Start {
            key,
            attempt: task.attempt,
            index,
            dispatch,
            epoch,
            account,
            service,
            deadline_ms,
            backlog,
            payload,
        };
        out.push(Action::Send(worker, ToAgent::Start(start)));
        out.push(Action::Metric(MetricEvent::Started {
            tenant,
            class,
            wait,
        }));
    }

    fn weight(&self, tenant: &Name) -> u32 {
        let cluster = self.cluster.as_ref();
        cluster
            .and_then(|c| c.tenants.get(tenant))
            .map_or(1, |tenant| tenant.value.weight)
    }
}
