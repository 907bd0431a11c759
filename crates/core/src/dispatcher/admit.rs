//! Submission and admission of jobs.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use crate::answer::{Failure, FailureKind};
use crate::claim::ClaimRound;
use crate::ids::{JobKey, Name};
use crate::job::{Class, JobSpec, MAX_PAYLOAD_BYTES, MAX_TASKS};
use crate::placement::{CLOCK_TOLERANCE, shard_of};
use crate::queue::{Rank, ServiceQueue};

use super::{
    Action, Dispatcher, Job, MAX_ENDED, MAX_JOBS, MAX_QUEUED_TASKS, Mode, Now, Phase, TaskState,
    Waiter,
};

/// Upper bound of a run time, in mean absolute deviations above the mean.
const LONG_RUN_DEVIATIONS: f64 = 3.0;
/// Factor on the expected wait, as a margin for estimation errors.
const WAIT_MARGIN: f64 = 1.1;

impl Dispatcher {
    /// Accepts or refuses a job. The caller is answered exactly once, by an [`Action::Answer`].
    ///
    /// The key of a refused keyed job is closed before the answer, so that "not run" holds: no
    /// entry has run the key, and none will.
    pub fn submit(&mut self, now: Now, spec: JobSpec, caller: u64, out: &mut Vec<Action>) {
        let digest = spec.digest();
        if self.attach_known(now, &spec, caller, out) {
            return;
        }
        if let Err(failure) = self.check_request(now, &spec) {
            out.push(Action::Answer(caller, Err(failure)));
            return;
        }
        let key = spec.key;
        let keyed = spec.keyed;
        let tasks = spec.tasks.len();
        let job = Job {
            digest,
            arrived: now.mono,
            deadline: now.mono + spec.deadline,
            phase: Phase::Running,
            attempt: self.ended.get(&key).map_or(1, |ended| ended.attempt + 1),
            link_seq_below: u64::MAX,
            tasks: (0..tasks).map(|_| TaskState::Queued).collect(),
            queued: VecDeque::new(),
            tries: IndexMap::new(),
            rank: Rank(0),
            done: 0,
            started: 0,
            admitted: false,
            held_rounds: 0,
            closing: None,
            waiters: vec![Waiter::Caller(caller)],
            spec,
        };
        self.jobs.insert(key, job);
        match self.check_admission(now, key) {
            Err(failure) if keyed => self.close_key(now, key, failure, out),
            Err(failure) => self.finish(now, key, Err(failure), out),
            Ok(()) if keyed => self.begin_claim(now, key, out),
            Ok(()) => self.queue_tasks(key),
        }
        self.dispatch_queued(now, out);
    }

    /// Attaches the caller to a job with the same key, or repeats the retained answer. Returns
    /// `false` if neither is known here.
    fn attach_known(
        &mut self,
        now: Now,
        spec: &JobSpec,
        caller: u64,
        out: &mut Vec<Action>,
    ) -> bool {
        let digest = spec.digest();
        let conflict = || {
            Failure::not_run(
                FailureKind::KeyConflict,
                "the key was used for another request",
            )
        };
        if let Some(job) = self.jobs.get_mut(&spec.key) {
            if job.digest == digest {
                job.deadline = job.deadline.max(now.mono + spec.deadline);
                job.waiters.push(Waiter::Caller(caller));
            } else {
                out.push(Action::Answer(caller, Err(conflict())));
            }
            return true;
        }
        let Some(ended) = self.ended.get(&spec.key) else {
            return false;
        };
        let answer = if ended.digest == digest {
            ended.answer.clone()
        } else {
            Some(Err(conflict()))
        };
        let Some(answer) = answer else { return false };
        out.push(Action::Answer(caller, answer));
        true
    }

    /// Performs the checks that need no claim of the key. Their refusals do not depend on whether the
    /// key ran before.
    fn check_request(&self, now: Now, spec: &JobSpec) -> Result<(), Failure> {
        let refuse = |kind, detail: &str| Err(Failure::not_run(kind, detail));
        if spec.tasks.is_empty() || spec.tasks.len() > MAX_TASKS {
            return refuse(FailureKind::Malformed, "a job has 1 to 410 tasks");
        }
        if spec
            .tasks
            .iter()
            .any(|task| task.payload.len() > MAX_PAYLOAD_BYTES)
        {
            return refuse(FailureKind::TooLarge, "a payload has at most 65536 bytes");
        }
        let Some(cluster) = &self.cluster else {
            return Err(
                refusal_before_claim(spec, FailureKind::NotReady, "no configuration yet")
                    .retry_after(1),
            );
        };
        if !cluster.tenants.contains_key(&spec.tenant) {
            return Err(refusal_before_claim(
                spec,
                FailureKind::UnknownTenant,
                "no such tenant",
            ));
        }
        if self.draining {
            return Err(refusal_before_claim(
                spec,
                FailureKind::Draining,
                "this entry is draining",
            )
            .retry_after(1));
        }
        if self.jobs.len() >= MAX_JOBS || self.ended.len() >= MAX_ENDED {
            return Err(
                refusal_before_claim(spec, FailureKind::Overloaded, "too many open jobs")
                    .retry_after(1),
            );
        }
        let window = cluster.preset().dedupe_window;
        let created = spec.key.created();
        if created < now.wall.before(window) || created > now.wall.after(CLOCK_TOLERANCE) {
            let detail = "the key is older than the dedupe window or from the future";
            return Err(Failure::unknown(FailureKind::KeyExpired, detail));
        }
        Ok(())
    }

    /// Starts a round of claims for the job's key at its current attempt.
    pub(super) fn begin_claim(&mut self, now: Now, key: JobKey, out: &mut Vec<Action>) {
        let next_link_seq = self.fleet.next_link_seq();
        let Some(cluster) = self.cluster.clone() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let Some((_, shard)) = shard_of(&cluster, key) else {
            let failure =
                Failure::unknown(FailureKind::NotReady, "the job registry is not placed yet");
            self.fail(now, key, failure.retry_after(1), out);
            return;
        };
        job.link_seq_below = next_link_seq;
        job.phase = Phase::Claiming(ClaimRound::new(job.attempt, shard, job.closing.is_some()));
        self.send_claims(now, key, out);
    }

    /// Admits a job that was taken over and is proved not to have started.
    pub(super) fn admit(&mut self, now: Now, key: JobKey, out: &mut Vec<Action>) {
        let admitted = self.jobs.get(&key).is_some_and(|job| job.admitted);
        match if admitted {
            Ok(())
        } else {
            self.check_admission(now, key)
        } {
            Ok(()) => self.queue_tasks(key),
            Err(failure) => self.close_key(now, key, failure, out),
        }
    }

    /// Queues all tasks of an admitted job.
    pub(super) fn queue_tasks(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(&key) {
            job.phase = Phase::Running;
            job.queued = (0..job.tasks.len() as u16).collect();
        }
        self.enqueue(key);
    }

    fn check_admission(&mut self, now: Now, key: JobKey) -> Result<(), Failure> {
        let (Some(cluster), Some(job)) = (self.cluster.clone(), self.jobs.get(&key)) else {
            return Err(Failure::not_run(
                FailureKind::NotReady,
                "no configuration yet",
            ));
        };
        let spec = &job.spec;
        let refuse = |kind, detail: String| Err(Failure::not_run(kind, detail));
        let Some(service) = cluster.services.get(&spec.service) else {
            return refuse(
                FailureKind::UnknownService,
                format!("no service is named {}", spec.service),
            );
        };
        if !cluster.preset().accept.contains(&spec.class) {
            let preset = &cluster.in_force.value;
            return refuse(
                FailureKind::NotAccepted,
                format!("preset {preset} takes no {} work", spec.class.as_str()),
            );
        }
        if self.fleet.any_worker_fits(&spec.service, spec.needs) == Some(false) {
            return refuse(FailureKind::NeverFits, "no worker is large enough".into());
        }
        if !cluster.tenants.contains_key(&spec.tenant) {
            // Removed while the job's key was being claimed.
            return refuse(FailureKind::UnknownTenant, "no such tenant".into());
        }
        let tasks = spec.tasks.len() as u32;
        let limit = if service.value.max_queued_tasks == 0 {
            MAX_QUEUED_TASKS
        } else {
            service.value.max_queued_tasks
        };
        let waiting = self
            .queues
            .get(&spec.service)
            .map_or(0, ServiceQueue::total);
        if waiting + tasks > limit {
            return Err(
                Failure::not_run(FailureKind::Overloaded, "the queue is full").retry_after(1),
            );
        }
        if self.policy.refuse_early {
            self.check_wait(spec, cluster.preset().max_wait)?;
        }
        let tenant = spec.tenant.clone();
        self.quotas
            .admit(now.mono, &cluster, &tenant, tasks)
            .map_err(|limit| {
                let detail = format!("the tenant's {limit} is used up");
                Failure::not_run(FailureKind::OverQuota, detail).retry_after(1)
            })?;
        if let Some(job) = self.jobs.get_mut(&key) {
            job.admitted = true;
        }
        Ok(())
    }

    /// Refuses a job that is not expected to finish in time behind the queued tasks.
    fn check_wait(&self, spec: &JobSpec, max_wait: Duration) -> Result<(), Failure> {
        if self.policy.mode != Mode::Credits {
            return Ok(());
        }
        let wait = self.expected_wait(&spec.service, spec.class);
        let tasks = spec.tasks.len() as u32;
        // Credits move to where tasks are queued, so the job may use every slot that is offered.
        let Some(rounds) = tasks.checked_div(self.fleet.offered_slots(&spec.service)) else {
            return Ok(());
        };
        let own_run = self.mean_run(&spec.service, spec.class) * rounds
            + self.run_upper_bound(&spec.service, spec.class);
        if wait <= max_wait && wait.mul_f64(WAIT_MARGIN) + own_run <= spec.deadline {
            return Ok(());
        }
        let detail = format!(
            "expected wait {} ms, run {} ms",
            wait.as_millis(),
            own_run.as_millis()
        );
        let seconds = (wait.as_secs() as u32).clamp(1, 30);
        Err(Failure::not_run(FailureKind::Overloaded, detail).retry_after(seconds))
    }

    /// Returns the expected time until a task queued now starts.
    ///
    /// Divides the queued work by the held slots or by this entry's share of all offered slots,
    /// whichever is more. Credits move to a backlog within milliseconds, so the held slots alone are
    /// too low an estimate.
    fn expected_wait(&self, service: &Name, class: Class) -> Duration {
        let Some(queue) = self.queues.get(service) else {
            return Duration::ZERO;
        };
        let entries = self.other_entries().len() as u32 + 1;
        let share = self.fleet.offered_slots(service) / entries;
        let slots = self.fleet.slots_held(service).max(share);
        if slots == 0 {
            return Duration::ZERO;
        }
        let ahead = |class: Class| self.mean_run(service, class) * queue.tasks(class);
        let work = match class {
            Class::Short => ahead(Class::Short),
            Class::Long => ahead(Class::Short) + ahead(Class::Long),
        };
        work / slots
    }

    /// Returns the learned mean run time of a class, or its default.
    pub(super) fn mean_run(&self, service: &Name, class: Class) -> Duration {
        self.run_times
            .get(&(service.clone(), class))
            .map_or(class.default_run_time(), |times| {
                Duration::from_secs_f64(times.mean)
            })
    }

    /// Returns a run time that few tasks of a class exceed.
    fn run_upper_bound(&self, service: &Name, class: Class) -> Duration {
        let times = self.run_times.get(&(service.clone(), class));
        times.map_or(class.default_run_time(), |times| {
            Duration::from_secs_f64(times.mean + LONG_RUN_DEVIATIONS * times.deviation)
        })
    }

    /// Inserts a job with queued tasks into the queue of its service, at its current rank.
    pub(super) fn enqueue(&mut self, key: JobKey) {
        let rank = self.rank(key);
        let fair = self.policy.fair_tenants;
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if job.queued.is_empty() {
            return;
        }
        job.rank = rank;
        let queue = self
            .queues
            .entry(job.spec.service.clone())
            .or_insert_with(|| ServiceQueue::new(fair));
        queue.insert(
            job.spec.class,
            &job.spec.tenant,
            rank,
            key,
            job.queued.len() as u32,
        );
    }

    /// Removes a job from the queue of its service.
    pub(super) fn dequeue(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&job.spec.service) {
            queue.remove(
                job.spec.class,
                &job.spec.tenant,
                job.rank,
                key,
                job.queued.len() as u32,
            );
        }
    }

    fn rank(&self, key: JobKey) -> Rank {
        let Some(job) = self.jobs.get(&key) else {
            return Rank(0);
        };
        let arrived = job.arrived.duration_since(self.started_at);
        if !self.policy.job_order {
            return Rank::new(arrived, Duration::ZERO, 1);
        }
        let run = self.mean_run(&job.spec.service, job.spec.class);
        let slots = self.fleet.slots_held(&job.spec.service);
        Rank::new(arrived, run * job.queued.len() as u32, slots)
    }
}

/// Returns a refusal before the claim. "Not run" is proved only without a caller's key; a keyed job
/// may have run at another entry.
fn refusal_before_claim(spec: &JobSpec, kind: FailureKind, detail: &str) -> Failure {
    if spec.keyed {
        Failure::unknown(kind, detail)
    } else {
        Failure::not_run(kind, detail)
    }
}
