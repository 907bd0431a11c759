//! The decisions of an entry: admission, claims, queues, dispatch, assembly of answers.

mod admit;
mod claims;
mod finish;
mod links;
mod loans;
mod pump;
mod recover;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::answer::{Answer, Failure, FailureKind, Ran};
use crate::claim::ClaimRound;
use crate::config::ClusterState;
use crate::fleet::Fleet;
use crate::ids::{Digest, JobKey, Name, NodeRef, WallMs};
use crate::job::{Class, JobSpec};
use crate::members::Member;
use crate::msg::{Peer, ToAgent};
use crate::queue::{Rank, ServiceQueue};
use crate::quota::Quotas;

use recover::Collection;

/// Jobs that one entry holds at once.
pub const MAX_JOBS: usize = 20_000;
/// Answers and keys that are remembered after the end.
pub const MAX_ENDED: usize = 300_000;
/// Bytes of answers that are retained; beyond them the oldest are collected again when asked for.
pub const MAX_RETAINED_BYTES: usize = 64 * 1024 * 1024;
/// Tasks that may wait for one service when its configuration says nothing.
pub const MAX_QUEUED_TASKS: u32 = 100_000;
/// Times that other holders of a key are met before the outcome is given up as unknown.
const MAX_MET: u32 = 12;
/// Dispatches of one task before its job fails.
const MAX_TRIES: u32 = 8;

/// How tasks find a worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Tasks wait at the entry for credits that agents grant.
    #[default]
    Credits,
    /// Baseline: each task goes to a random worker's queue.
    Random,
    /// Baseline: tasks go to the workers' queues in turn.
    RoundRobin,
    /// Baseline: each task goes to the shorter of two random workers' queues.
    TwoChoices,
}

/// Parts of the policy, each of which can be switched off to measure what it earns.
#[expect(clippy::struct_excessive_bools, reason = "independent switches")]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// How tasks find a worker.
    pub mode: Mode,
    /// Long work holds only a share of the slots.
    pub class_shares: bool,
    /// Nearly finished jobs go first.
    pub job_order: bool,
    /// Workers' speeds are learned and used.
    pub learn_speeds: bool,
    /// Workers that fail everything are ejected.
    pub eject: bool,
    /// Jobs whose expected wait is too long are refused at once.
    pub refuse_early: bool,
    /// Tenants share by weight.
    pub fair_tenants: bool,
    /// Cancelled and abandoned work leaves the queue.
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

/// Who waits for an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Waiter {
    /// A caller of this entry, by its number.
    Caller(u64),
    /// Another entry.
    Entry(Name),
}

/// What the entry's adapter has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send to the agent of this name.
    Send(Name, ToAgent),
    /// Send to the entry of this name.
    Peer(Name, Peer),
    /// Answer a caller.
    Answer(u64, Answer),
    /// Count and time.
    Note(Note),
}

/// What metrics are made of.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A task left the queue.
    Started {
        /// The tenant.
        tenant: Name,
        /// The class.
        class: Class,
        /// Time in the queue.
        wait: Duration,
    },
    /// A task ended.
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
        /// The failure, if it failed.
        failure: Option<(FailureKind, Ran)>,
    },
    /// A dispatch came back as never started, and the task waits again.
    Retried,
    /// A message was dropped: late, doubled, or with a wrong digest.
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
    /// Another entry has the job; its answer is awaited.
    Attached {
        owner: NodeRef,
        attempt: u32,
        asked: Option<Instant>,
    },
    /// An earlier attempt's results are being collected.
    Collecting(Collection),
    /// Tasks wait, run or are done.
    Running,
}

#[derive(Debug)]
struct Job {
    spec: JobSpec,
    digest: Digest,
    arrived: Instant,
    /// Invariant: `arrived + spec.deadline`.
    deadline: Instant,
    phase: Phase,
    attempt: u32,
    /// Tasks go only to worker processes first linked before this number.
    workers_before: u64,
    tasks: Vec<TaskState>,
    queued: VecDeque<u16>,
    /// Dispatches so far of tasks that wait again.
    tries: IndexMap<u16, u32>,
    rank: Rank,
    done: usize,
    /// Whether any dispatch was sent and is not proved to have been refused.
    started: u32,
    /// Whether its tenant's concurrency is charged.
    admitted: bool,
    /// Times that another holder of the key was met.
    met: u32,
    /// The refusal that is answered once the key is closed.
    closing: Option<Failure>,
    waiters: Vec<Waiter>,
}

#[derive(Debug)]
struct Ended {
    tenant: Name,
    digest: Digest,
    attempt: u32,
    /// `None` once the answer was dropped for space.
    answer: Option<Answer>,
    bytes: usize,
}

/// What a job's state looks like to its caller.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobStatus {
    /// `claiming`, `attached`, `collecting`, `running`, `done` or `failed`.
    pub state: &'static str,
    /// Tasks in all.
    pub tasks: usize,
    /// Tasks that are done.
    pub done: usize,
    /// Tasks that wait.
    pub queued: usize,
}

/// The present time on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// For timeouts and leases.
    pub mono: Instant,
    /// For ages of keys.
    pub wall: WallMs,
}

/// Mean run times of a service's class, learned.
#[derive(Clone, Copy, Debug)]
struct RunTimes {
    mean: f64,
    /// Mean absolute deviation from it.
    deviation: f64,
    seen: u32,
}

/// How far a tenant's declared run times can be trusted, learned.
#[derive(Clone, Copy, Debug, Default)]
struct Declared {
    /// Mean natural logarithm of actual over declared.
    bias: f64,
    /// Mean square deviation from it.
    spread: f64,
    seen: u32,
}

/// One entry's decisions.
#[derive(Debug)]
pub struct Dispatcher {
    me: NodeRef,
    policy: Policy,
    cluster: Option<Arc<ClusterState>>,
    members: Vec<Member>,
    jobs: IndexMap<JobKey, Job>,
    ended: IndexMap<JobKey, Ended>,
    retained_bytes: usize,
    queues: IndexMap<Name, ServiceQueue>,
    fleet: Fleet,
    quotas: Quotas,
    run_times: IndexMap<(Name, Class), RunTimes>,
    declared: IndexMap<(Name, Class), Declared>,
    /// Short tasks that wait or run, a maximum that decays; by service.
    short_peak: IndexMap<Name, f64>,
    next_dispatch: u64,
    draining: bool,
    begun: Instant,
    seen: Instant,
    turn: usize,
    next_want: Instant,
    next_borrow: Instant,
    /// Since when tasks of a service wait without a credit.
    starved: IndexMap<Name, Instant>,
    next_second: Instant,
    rng: Rng,
}

impl Dispatcher {
    /// An entry process that just started.
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
            declared: IndexMap::new(),
            short_peak: IndexMap::new(),
            next_dispatch: 1,
            draining: false,
            begun: now,
            seen: now,
            turn: 0,
            next_want: now,
            next_borrow: now,
            starved: IndexMap::new(),
            next_second: now,
            rng,
        }
    }

    /// The configuration in force here.
    pub fn cluster(&self) -> Option<&Arc<ClusterState>> {
        self.cluster.as_ref()
    }

    /// The workers as this entry sees them.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Jobs that are not answered yet.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Ended jobs that are remembered, and bytes of their answers.
    pub fn remembered(&self) -> (usize, usize) {
        (self.ended.len(), self.retained_bytes)
    }

    /// Waiting tasks by service.
    pub fn waiting(&self) -> impl Iterator<Item = (&Name, u32)> {
        self.queues
            .iter()
            .map(|(service, queue)| (service, queue.total()))
    }

    /// Follows a new configuration; an older one is ignored.
    pub fn on_config(&mut self, cluster: Arc<ClusterState>) {
        if self
            .cluster
            .as_ref()
            .is_none_or(|present| cluster.revision > present.revision)
        {
            self.cluster = Some(cluster);
        }
    }

    /// Stops accepting jobs; what was accepted goes on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// The state of a job, with its tenant.
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

    /// Cancels a job. Waiting tasks leave without a slot; what runs is left to end, unanswered.
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

    /// Acts on the passing of time.
    pub fn tick(&mut self, now: Now, out: &mut Vec<Action>) {
        self.seen = now.mono;
        self.drop_overdue(now, out);
        self.tick_claims(now, out);
        self.tick_collections(now, out);
        self.return_loans(now, out);
        if now.mono >= self.next_second {
            self.next_second = now.mono + Duration::from_secs(1);
            self.each_second(now, out);
        }
        self.pump(now, out);
    }

    fn each_second(&mut self, now: Now, out: &mut Vec<Action>) {
        self.expire(now.wall);
        self.fleet.tidy(now.mono, Duration::from_secs(60));
        for queue in self.queues.values_mut() {
            queue.tidy();
        }
        for peak in self.short_peak.values_mut() {
            *peak *= 0.9;
        }
        let tenants = self.quotas.exchange();
        for entry in self.other_entries() {
            out.push(Action::Peer(
                entry,
                Peer::Demand {
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

    /// Fails jobs whose deadline passed.
    fn drop_overdue(&mut self, now: Now, out: &mut Vec<Action>) {
        if !self.policy.drop_abandoned {
            return;
        }
        // A job that has not started and cannot end in time leaves before it costs a slot.
        let run = |job: &Job| self.mean_run(&job.spec.service, job.spec.class);
        let doomed = |job: &Job| {
            let waits = matches!(job.phase, Phase::Running) && job.started == 0 && job.done == 0;
            self.policy.refuse_early && waits && now.mono + run(job) >= job.deadline
        };
        let overdue = |job: &Job| now.mono >= job.deadline || doomed(job);
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

    /// Drops what no caller may ask for any more.
    fn expire(&mut self, wall: WallMs) {
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
