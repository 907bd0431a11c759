//! The state machine of an entry: admission, key claims, queueing, dispatch and assembly of
//! answers.
//!
//! It does no I/O and reads no clock: callers pass the time and carry out the [`Action`]s it emits.

mod admit;
mod claims;
mod dispatch;
mod finish;
mod links;
mod loans;
mod recover;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::answer::{Answer, Failure, FailureKind, RunCertainty};
use crate::claim::ClaimRound;
use crate::config::ClusterState;
use crate::fleet::Fleet;
use crate::ids::{Digest, JobKey, Name, NodeRef, WallMs};
use crate::job::{Class, JobSpec};
use crate::members::Member;
use crate::msg::{PeerMsg, ToAgent};
use crate::queue::{Rank, ServiceQueue};
use crate::quota::Quotas;

use recover::Collection;

/// Maximum number of unanswered jobs at one entry; further ones are refused.
pub const MAX_JOBS: usize = 20_000;
/// Maximum number of ended jobs whose keys, and answers where space allows, are retained.
pub const MAX_ENDED: usize = 300_000;
/// Maximum size of the retained answers, in bytes. Above it the oldest are dropped, and collected
/// from the agents again when a caller resubmits the key.
pub const MAX_RETAINED_BYTES: usize = 64 * 1024 * 1024;
/// Default limit of the tasks queued for one service, where its configuration sets none.
pub const MAX_QUEUED_TASKS: u32 = 100_000;
/// Claim rounds of one job that may find another holder of its key; after that the job fails with
/// an unknown outcome.
const MAX_HELD_ROUNDS: u32 = 12;
/// Maximum dispatches of one task; when the last one is refused, its job fails.
const MAX_TRIES: u32 = 8;

/// How tasks are assigned to workers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Tasks wait at the entry until an agent grants a credit for a slot.
    #[default]
    Credits,
    /// Baseline: each task is sent to the queue of a random worker.
    Random,
    /// Baseline: tasks are sent to the workers' queues in turn.
    RoundRobin,
    /// Baseline: each task is sent to the shorter queue of two random workers.
    TwoChoices,
}

/// Scheduling policy. Each part can be switched off, to measure its effect.
#[expect(clippy::struct_excessive_bools, reason = "independent switches")]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// How tasks are assigned to workers.
    pub mode: Mode,
    /// Limits long tasks to a share of the slots.
    pub class_shares: bool,
    /// Orders a tenant's jobs by arrival plus remaining work; if off, by arrival only.
    pub job_order: bool,
    /// Learns workers' speeds and uses them to place tasks.
    pub learn_speeds: bool,
    /// Ejects workers that fail every task.
    pub eject: bool,
    /// Refuses jobs whose expected wait is too long. With `drop_abandoned`, also fails queued jobs
    /// that can no longer finish in time.
    pub refuse_early: bool,
    /// Shares slots between tenants by weight.
    pub fair_tenants: bool,
    /// Fails jobs whose deadline has passed, and removes their tasks from the queue.
    pub drop_abandoned: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            mode: Mode::Credits,
            class_shares: true,
            job_order: true,
            learn_speeds: true,
            eject: true,
            refuse_early: true,
            fair_tenants: true,
            drop_abandoned: true,
        }
    }
}

/// The recipient of a job's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Waiter {
    /// A caller of this entry, by the number given to [`Dispatcher::submit`].
    Caller(u64),
    /// Another entry that attached to the job.
    Entry(Name),
}

/// An effect that the caller of the dispatcher carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a message to the agent of this name.
    Send(Name, ToAgent),
    /// Sends a message to the entry of this name.
    Peer(Name, PeerMsg),
    /// Answers the caller of this number.
    Answer(u64, Answer),
    /// Updates the metrics.
    Metric(MetricEvent),
}

/// An event that the metrics count or time.
#[derive(Clone, Debug, PartialEq)]
pub enum MetricEvent {
    /// A task was sent to a worker.
    Started {
        /// The tenant.
        tenant: Name,
        /// The class.
        class: Class,
        /// Time from the job's arrival to this dispatch.
        wait: Duration,
    },
    /// A task succeeded and its run time is known.
    TaskEnded {
        /// The tenant.
        tenant: Name,
        /// The class.
        class: Class,
        /// Run time on the worker.
        run: Duration,
    },
    /// A job was answered.
    JobEnded {
        /// The tenant.
        tenant: Name,
        /// The class.
        class: Class,
        /// Time from submission to answer.
        time: Duration,
        /// The kind of failure and whether a task may have run; `None` if the job succeeded.
        failure: Option<(FailureKind, RunCertainty)>,
    },
    /// A dispatch was refused before it started, and the task is queued again.
    Retried,
    /// A message was dropped: late, duplicate, with a wrong digest, or a refusal of a dispatch that
    /// is not outstanding. The value is the metric label.
    Dropped(&'static str),
}

#[derive(Debug, PartialEq)]
enum TaskState {
    Queued,
    Sent { worker: Name, tries: u32 },
    Done(Arc<[u8]>),
}

#[derive(Debug)]
enum Phase {
    /// The key is being claimed.
    Claiming(ClaimRound),
    /// Another entry holds the job, and this one waits for its answer.
    Attached {
        owner: NodeRef,
        attempt: u32,
        asked_at: Option<Instant>,
    },
    /// The job was taken over; agents are asked for results of earlier attempts.
    Collecting(Collection),
    /// Tasks are queued, running or done.
    Running,
}

#[derive(Debug)]
struct Job {
    spec: JobSpec,
    digest: Digest,
    arrived: Instant,
    /// At first `arrived + spec.deadline`. Extended when a caller with a later deadline attaches,
    /// and replaced by a timeout while the key is being closed.
    deadline: Instant,
    phase: Phase,
    attempt: u32,
    /// Only workers with a lower [`Worker::link_seq`](crate::fleet::Worker::link_seq) are eligible.
    link_seq_below: u64,
    tasks: Vec<TaskState>,
    queued: VecDeque<u16>,
    /// Dispatches so far of tasks that were refused and are queued again, by index.
    tries: IndexMap<u16, u32>,
    rank: Rank,
    done: usize,
    /// Dispatches that started or may have started; refused ones are subtracted.
    started: u32,
    /// Whether the job counts against its tenant's concurrency quota.
    admitted: bool,
    /// Claim rounds that found another holder of the key.
    held_rounds: u32,
    /// The refusal to answer once the key is closed; `None` unless it is being closed.
    closing: Option<Failure>,
    waiters: Vec<Waiter>,
}

#[derive(Debug)]
struct EndedJob {
    tenant: Name,
    digest: Digest,
    attempt: u32,
    /// `None` once the answer has been dropped to limit memory.
    answer: Option<Answer>,
    bytes: usize,
}

/// A job's state as reported to its caller.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobStatus {
    /// `claiming`, `attached`, `collecting`, `running`, `done`, `failed`, or `ended` when the
    /// answer is no longer retained.
    pub state: &'static str,
    /// Number of tasks; 0 if the job failed or its answer is no longer retained.
    pub tasks: usize,
    /// Tasks whose result is known.
    pub done: usize,
    /// Tasks that are queued.
    pub queued: usize,
}

/// The current time on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic time, for timeouts and leases.
    pub mono: Instant,
    /// Wall-clock time, for the age of keys.
    pub wall: WallMs,
}

/// Learned run times of one class of a service, in seconds.
#[derive(Clone, Copy, Debug)]
struct RunTimes {
    mean: f64,
    /// Mean absolute deviation from the mean.
    deviation: f64,
    samples: u32,
}

/// Learned error of the run times that a tenant declares for one class.
#[derive(Clone, Copy, Debug, Default)]
struct DeclaredError {
    /// Mean of the natural logarithm of actual over declared run time.
    bias: f64,
    /// Variance of that logarithm.
    variance: f64,
    samples: u32,
}

/// The state of one entry's dispatcher.
#[derive(Debug)]
pub struct Dispatcher {
    me: NodeRef,
    policy: Policy,
    cluster: Option<Arc<ClusterState>>,
    members: Vec<Member>,
    jobs: IndexMap<JobKey, Job>,
    ended: IndexMap<JobKey, EndedJob>,
    retained_bytes: usize,
    queues: IndexMap<Name, ServiceQueue>,
    fleet: Fleet,
    quotas: Quotas,
    run_times: IndexMap<(Name, Class), RunTimes>,
    declared_errors: IndexMap<(Name, Class), DeclaredError>,
    /// Decaying peak number of queued and running short tasks, capped at the held slots; by
    /// service.
    short_peak: IndexMap<Name, f64>,
    next_dispatch: u64,
    draining: bool,
    started_at: Instant,
    last_tick: Instant,
    /// Counter that selects the next worker in [`Mode::RoundRobin`].
    next_worker: usize,
    next_credit_request: Instant,
    next_loan_request: Instant,
    /// When tasks began to wait without a credit; by service.
    without_credit_since: IndexMap<Name, Instant>,
    next_maintenance: Instant,
    rng: Rng,
}

impl Dispatcher {
    /// Returns the dispatcher of an entry process that just started, without a configuration.
    pub fn new(me: NodeRef, policy: Policy, now: Instant, rng: Rng) -> Self {
        Self {
            me,
            policy,
            cluster: None,
            members: Vec::new(),
            jobs: IndexMap::new(),
            ended: IndexMap::new(),
            retained_bytes: 0,
            queues: IndexMap::new(),
            fleet: Fleet::new(policy.learn_speeds, policy.eject),
            quotas: Quotas::default(),
            run_times: IndexMap::new(),
            declared_errors: IndexMap::new(),
            short_peak: IndexMap::new(),
            next_dispatch: 1,
            draining: false,
            started_at: now,
            last_tick: now,
            next_worker: 0,
            next_credit_request: now,
            next_loan_request: now,
            without_credit_since: IndexMap::new(),
            next_maintenance: now,
            rng,
        }
    }

    /// Returns the current configuration, or `None` before the first one arrived.
    pub fn cluster(&self) -> Option<&Arc<ClusterState>> {
        self.cluster.as_ref()
    }

    /// Returns the workers as this entry sees them.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the number of jobs that are not answered yet.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of ended jobs that are retained, and the size of their answers in bytes.
    pub fn retained(&self) -> (usize, usize) {
        (self.ended.len(), self.retained_bytes)
    }

    /// Returns the number of queued tasks of each service.
    pub fn queued_tasks(&self) -> impl Iterator<Item = (&Name, u32)> {
        self.queues
            .iter()
            .map(|(service, queue)| (service, queue.total()))
    }

    /// Applies a configuration, unless its revision is no higher than the current one.
    pub fn on_config(&mut self, cluster: Arc<ClusterState>) {
        if self
            .cluster
            .as_ref()
            .is_none_or(|present| cluster.revision > present.revision)
        {
            self.cluster = Some(cluster);
        }
    }

    /// Stops accepting new jobs; accepted ones continue.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns the tenant and the state of a job, or `None` if the key is unknown here.
    pub fn status(&self, key: JobKey) -> Option<(Name, JobStatus)> {
        if let Some(job) = self.jobs.get(&key) {
            return Some((job.spec.tenant.clone(), job.status()));
        }
        let ended = self.ended.get(&key)?;
        let (state, tasks) = match &ended.answer {
            Some(Ok(results)) => ("done", results.len()),
            Some(Err(_)) => ("failed", 0),
            None => ("ended", 0),
        };
        let status = JobStatus {
            state,
            tasks,
            done: tasks,
            queued: 0,
        };
        Some((ended.tenant.clone(), status))
    }

    /// Cancels an open job of this tenant; returns `false` if there is none. Queued tasks are
    /// removed, and results of running ones are discarded.
    pub fn cancel(&mut self, now: Now, key: JobKey, tenant: &Name, out: &mut Vec<Action>) -> bool {
        if self
            .jobs
            .get(&key)
            .is_none_or(|job| job.spec.tenant != *tenant)
        {
            return false;
        }
        let failure = Failure::unknown(FailureKind::Cancelled, "cancelled by the caller");
        self.fail(now, key, failure, out);
        true
    }

    /// Handles timeouts, retries and periodic work, and dispatches queued tasks.
    pub fn tick(&mut self, now: Now, out: &mut Vec<Action>) {
        self.last_tick = now.mono;
        self.fail_overdue(now, out);
        self.tick_claims(now, out);
        self.tick_collections(now, out);
        self.return_loans(now, out);
        if now.mono >= self.next_maintenance {
            self.next_maintenance = now.mono + Duration::from_secs(1);
            self.run_maintenance(now, out);
        }
        self.dispatch_queued(now, out);
    }

    fn run_maintenance(&mut self, now: Now, out: &mut Vec<Action>) {
        self.expire_ended(now.wall);
        self.fleet
            .remove_inactive_workers(now.mono, Duration::from_secs(60));
        for queue in self.queues.values_mut() {
            queue.evict_idle_tenants();
        }
        for peak in self.short_peak.values_mut() {
            *peak *= 0.9;
        }
        let tenants = self.quotas.report_demand();
        for entry in self.other_entries() {
            out.push(Action::Peer(
                entry,
                PeerMsg::Demand {
                    tenants: tenants.clone(),
                },
            ));
        }
    }

    fn other_entries(&self) -> Vec<Name> {
        use crate::members::MemberState::Dead;
        use crate::msg::Role;
        let other =
            |m: &&Member| m.role == Role::Entry && m.state != Dead && m.node.name != self.me.name;
        self.members
            .iter()
            .filter(other)
            .map(|m| m.node.name.clone())
            .collect()
    }

    /// Fails jobs whose deadline has passed or cannot be met.
    fn fail_overdue(&mut self, now: Now, out: &mut Vec<Action>) {
        if !self.policy.drop_abandoned {
            return;
        }
        // A job that has not started and cannot finish in time must not use a slot.
        let run = |job: &Job| self.mean_run(&job.spec.service, job.spec.class);
        let cannot_finish = |job: &Job| {
            let waits = matches!(job.phase, Phase::Running) && job.started == 0 && job.done == 0;
            self.policy.refuse_early && waits && now.mono + run(job) >= job.deadline
        };
        let overdue = |job: &Job| now.mono >= job.deadline || cannot_finish(job);
        let keys: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| overdue(job))
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            let failure = Failure::unknown(FailureKind::DeadlinePassed, "the deadline passed");
            self.fail(now, key, failure, out);
        }
    }

    /// Drops ended jobs whose keys are older than the dedupe window.
    fn expire_ended(&mut self, wall: WallMs) {
        let Some(cluster) = &self.cluster else { return };
        let kept = cluster.preset().dedupe_window + crate::placement::CLOCK_TOLERANCE;
        let oldest = wall.before(kept);
        let mut freed = 0;
        self.ended.retain(|key, ended| {
            let keep = key.created() >= oldest;
            if !keep {
                freed += ended.bytes;
            }
            keep
        });
        self.retained_bytes -= freed;
        self.ended.shrink_to(self.ended.len() * 2);
    }
}

impl Job {
    fn status(&self) -> JobStatus {
        let state = match self.phase {
            Phase::Claiming(_) => "claiming",
            Phase::Attached { .. } => "attached",
            Phase::Collecting(_) => "collecting",
            Phase::Running => "running",
        };
        JobStatus {
            state,
            tasks: self.tasks.len(),
            done: self.done,
            queued: self.queued.len(),
        }
    }
}
