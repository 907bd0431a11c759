//! Explains where a job would go now, and why, without submitting it.
//!
//! The job is submitted to a copy of the scheduler, which is then dropped. So the explanation comes
//! from the code that decides, and changes nothing: no random number of the scheduler itself is
//! drawn, no share charged, no message sent.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::super::catalog::Queue;
use super::super::fleet::{CandidateRow, Need};
use super::super::job::{Job, JobId};
use super::super::overload::Tier;
use super::super::{Uptime, seconds};
use super::load::RANKING_INTERVAL;
use super::open_job::{OpenJob, aim_of};
use super::{Action, Answer, MAX_JOBS, Name, Note, Scheduler};

/// Number of rankings after the submission that are played on the copy: a late job that found no
/// worker in one is refused in the next.
const PLAYED_RANKINGS: u32 = 3;
/// Number of workers described one by one, for each step.
const MAX_ROWS: usize = 10;
/// Connection id of the caller on the copy.
const CALLER: u64 = u64::MAX;

/// Where a job would go now, and why.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Explanation {
    /// Its queue.
    pub queue: Name,
    /// The pool that serves the queue.
    pub pool: Name,
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// Number of its tasks.
    pub tasks: usize,
    /// Time from its arrival after which its answer is late.
    #[serde(rename = "aim_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub aim: Duration,
    /// What would become of it within a few rankings of the waiting jobs, if nothing else happens.
    pub outcome: Outcome,
    /// The load of its pool before it.
    pub load: LoadView,
    /// The workers, for each of its steps.
    pub steps: Vec<StepView>,
    /// Failure domains that get no new work.
    pub evacuated: Vec<Name>,
}

/// What would become of a job.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Outcome {
    /// All tasks that depend on no others would be sent to workers.
    Placed {
        /// Number of tasks by worker, by one draw of the random choice between similar workers.
        workers: IndexMap<Name, u32>,
        /// Time until the last of them is sent.
        #[serde(rename = "start_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        start: Duration,
        /// Expected time until the last of them ends.
        #[serde(rename = "end_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        end: Duration,
    },
    /// It would wait for workers.
    Waits {
        /// Number of its tasks that would be sent at once, by worker.
        workers: IndexMap<Name, u32>,
        /// Its priority class.
        tier: Tier,
        /// Number of waiting jobs of its pool that are placed before it.
        jobs_before: usize,
        /// Their work in core-milliseconds.
        work_before: f64,
        /// Expected time until its turn.
        #[serde(rename = "start_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        start: Duration,
        /// Expected time until the end of its tasks that are ready.
        #[serde(rename = "end_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        end: Duration,
    },
    /// It would be refused.
    Refused(Refusal),
}

impl Outcome {
    /// Returns the name in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Placed { .. } => "placed",
            Self::Waits { .. } => "waits",
            Self::Refused(_) => "refused",
        }
    }
}

/// Why a job would be refused.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refusal {
    /// The reason that its caller gets.
    pub reason: String,
    /// Time until the refusal.
    #[serde(rename = "after_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub after: Duration,
    /// Delay after which its caller may come back; `None` if it never fits.
    #[serde(rename = "retry_after_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub retry_after: Option<Duration>,
    /// Expected time until its turn, if that is the cause.
    #[serde(rename = "wait_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub wait: Option<Duration>,
    /// Its priority class, if the time until its turn is the cause and the queues of its pool differ
    /// in priority.
    pub tier: Option<Tier>,
}

/// The load of a pool as known to the entry.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadView {
    /// Number of open jobs of all pools at this entry.
    pub open_jobs: usize,
    /// Number of open jobs at which further ones are refused.
    pub max_open_jobs: usize,
    /// Number of waiting jobs of the pool.
    pub waiting_jobs: usize,
    /// Their work that is ready, in core-milliseconds.
    pub waiting_work: f64,
    /// Rate of the work that this entry can place, in core-milliseconds per second.
    pub rate: f64,
    /// Free CPU of the workers that accept runs, in thousandths of a core.
    pub free_cpu_milli: f64,
    /// Recent work of the queue that was sent to workers, in core-milliseconds per second.
    pub sent_of_queue: f64,
    /// Recent work of all queues of the pool that was sent to workers, in the same unit.
    pub sent_of_pool: f64,
    /// Whether queues of different priority compete for the pool.
    pub contended: bool,
    /// Whether such a pool is overloaded, by the latest ranking of the waiting jobs.
    pub overloaded: bool,
    /// Number of other entries that have reported their load.
    pub reports: usize,
    /// Age of the oldest of these reports.
    #[serde(rename = "reports_age_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub reports_age: Duration,
}

/// The workers as candidates for the tasks of a step.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StepView {
    /// Number of its tasks.
    pub tasks: u16,
    /// Number of known workers by their verdicts, those nearest to being suitable first.
    pub counts: Vec<(String, usize)>,
    /// The best workers: suitable ones, then those nearest to being suitable.
    pub workers: Vec<CandidateRow>,
}

impl Scheduler {
    /// Explains where a job would go if it were submitted now, and why. Its id does not count: it is
    /// treated as a new job.
    ///
    /// Copies the state of the scheduler, which may take milliseconds with many open jobs.
    pub fn explain(
        &self,
        now: Uptime,
        job: &Job,
        queue: &Arc<Queue>,
        deadline: Duration,
    ) -> Explanation {
        let mut trial = Trial::new(self, now, job, queue, deadline);
        trial.play();
        let aim = trial.aim;
        let tier = trial.tier().unwrap_or(Tier::InTime);
        let in_time = tier.is_in_time().then_some(aim);
        let step_view = |step| {
            let need = Need {
                pool: &queue.pool,
                step,
                in_time,
                announced: false,
            };
            StepView::new(step.count, self.fleet.candidates(now, need))
        };
        Explanation {
            queue: queue.name.clone(),
            pool: queue.pool.clone(),
            priority: queue.priority,
            tasks: job.tasks(),
            aim,
            outcome: trial.outcome(),
            load: self.load_view(now, queue),
            steps: job.steps.iter().map(step_view).collect(),
            evacuated: self.fleet.evacuated_domains().cloned().collect(),
        }
    }

    fn load_view(&self, now: Uptime, queue: &Queue) -> LoadView {
        let waiting = self
            .waiting
            .iter()
            .filter_map(|rank| self.jobs.get(&rank.2));
        let waiting = waiting.filter(|job| job.queue.pool == queue.pool);
        let mut load = self.loads.get(&queue.pool).cloned().unwrap_or_default();
        load.decay(now);
        let free_cpu_milli = self.fleet.free_cpu(now, &queue.pool);
        let (reports, reports_age) = self.shares.heard(now);
        LoadView {
            open_jobs: self.jobs.len(),
            max_open_jobs: MAX_JOBS,
            waiting_jobs: waiting.clone().count(),
            waiting_work: total_work(waiting),
            rate: load.rate().max(free_cpu_milli),
            free_cpu_milli,
            sent_of_queue: load.sent.of(&queue.name),
            sent_of_pool: load.sent.total(),
            contended: self.queues.is_contended(&queue.pool),
            overloaded: load.gate.is_overloaded(),
            reports,
            reports_age,
        }
    }

    /// Returns an id that no job has that is known here.
    fn unused_id(&self) -> JobId {
        let mut id = JobId(u64::MAX);
        while self.is_open(id) || self.cancels.contains(id) || self.owners.owner(id).is_some() {
            id.0 -= 1;
        }
        id
    }
}

impl StepView {
    fn new(tasks: u16, mut workers: Vec<CandidateRow>) -> Self {
        let mut counts: IndexMap<&str, usize> = IndexMap::new();
        for row in &workers {
            *counts.entry(row.verdict.as_str()).or_default() += 1;
        }
        workers.truncate(MAX_ROWS);
        let counts = counts.into_iter();
        Self {
            tasks,
            counts: counts.map(|(reason, n)| (reason.to_owned(), n)).collect(),
            workers,
        }
    }
}

/// The submission of a job to a copy of the scheduler.
struct Trial {
    scheduler: Scheduler,
    id: JobId,
    queue: Arc<Queue>,
    submitted: Uptime,
    /// The time that the copy has reached.
    now: Uptime,
    aim: Duration,
    out: Vec<Action>,
    /// Tasks sent, by worker.
    workers: IndexMap<Name, u32>,
    /// Time until the latest one is sent, and expected time until the last of them ends.
    start: Duration,
    end: Duration,
    /// What the refusal was based on: expected time until the turn, and the tier.
    wait: Option<Duration>,
    tier: Option<Tier>,
    /// The answer, and the time until it.
    answer: Option<(Answer, Duration)>,
}

impl Trial {
    fn new(
        scheduler: &Scheduler,
        now: Uptime,
        job: &Job,
        queue: &Arc<Queue>,
        deadline: Duration,
    ) -> Self {
        let mut copy = scheduler.clone();
        let id = copy.unused_id();
        let spec = Job { id, ..job.clone() };
        let mut out = Vec::new();
        let aim = aim_of(&spec, queue);
        copy.submit(now, spec, queue.clone(), CALLER, deadline, &mut out);
        let mut trial = Self {
            scheduler: copy,
            id,
            queue: queue.clone(),
            submitted: now,
            now,
            aim,
            out,
            workers: IndexMap::new(),
            start: Duration::ZERO,
            end: Duration::ZERO,
            wait: None,
            tier: None,
            answer: None,
        };
        trial.read();
        trial
    }

    /// Lets the copy rank and place its waiting jobs until the job does not wait any more, or for
    /// [`PLAYED_RANKINGS`].
    fn play(&mut self) {
        for _ in 0..PLAYED_RANKINGS {
            if self.tier().is_none() {
                return;
            }
            self.now += RANKING_INTERVAL;
            self.scheduler.tick(self.now, &mut self.out);
            self.read();
        }
    }

    /// Returns the job's tier if it waits.
    fn tier(&self) -> Option<Tier> {
        let job = self.scheduler.jobs.get(&self.id)?;
        job.has_ready().then_some(job.rank.0)
    }

    /// Reads what the copy has decided about the job.
    fn read(&mut self) {
        let elapsed = self.now.saturating_sub(self.submitted);
        for action in self.out.drain(..) {
            match action {
                Action::Answer(CALLER, answer) => self.answer = Some((answer, elapsed)),
                Action::Note(Note::Placed { job, runs, .. }) if job == self.id => {
                    self.start = elapsed;
                    for run in runs {
                        self.end = self.end.max(elapsed + run.choice.expected);
                        *self.workers.entry(run.choice.worker).or_default() += 1;
                    }
                }
                Action::Note(Note::Overload { job, wait }) if job == self.id => {
                    self.wait = Some(wait);
                }
                Action::Note(Note::Hopeless {
                    job, wait, tier, ..
                }) if job == self.id => {
                    (self.wait, self.tier) = (Some(wait), Some(tier));
                }
                _ => {}
            }
        }
    }

    fn outcome(self) -> Outcome {
        if let Some((answer, after)) = &self.answer {
            let (reason, retry_after) = match answer {
                Answer::NotRun {
                    reason,
                    retry_after,
                } => (*reason, Some(*retry_after)),
                Answer::Failed(reason)
                | Answer::OtherJobOpen(reason)
                | Answer::OutcomeUnknown(reason) => (*reason, None),
                Answer::Completed => ("", None),
            };
            return Outcome::Refused(Refusal {
                reason: reason.to_owned(),
                after: *after,
                retry_after,
                wait: self.wait,
                tier: self.tier,
            });
        }
        let Some(tier) = self.tier() else {
            return Outcome::Placed {
                workers: self.workers,
                start: self.start,
                end: self.end,
            };
        };
        self.waits(tier)
    }

    fn waits(self, tier: Tier) -> Outcome {
        let scheduler = &self.scheduler;
        let before = scheduler
            .waiting
            .iter()
            .take_while(|rank| rank.2 != self.id);
        let before = before.filter_map(|rank| scheduler.jobs.get(&rank.2));
        let before = before.filter(|job| job.queue.pool == self.queue.pool);
        let work_before = total_work(before.clone());
        let rate = scheduler.load_view(self.now, &self.queue).rate;
        let start = seconds(work_before / rate);
        let job = scheduler.jobs.get(&self.id);
        let run = job.map_or(Duration::ZERO, |job| scheduler.expected_run(job));
        Outcome::Waits {
            jobs_before: before.count(),
            work_before,
            start,
            end: self.end.max(start + run),
            workers: self.workers,
            tier,
        }
    }
}

/// Returns the ready work of jobs, in core-milliseconds. A plain sum of none would be shown as -0.
fn total_work<'a, I>(jobs: I) -> f64
where
    I: Iterator<Item = &'a OpenJob>,
{
    jobs.map(OpenJob::ready_work)
        .fold(0.0, |sum, work| sum + work)
}
