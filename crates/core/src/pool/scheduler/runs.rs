//! Events of runs at agents: ends, refusals, lost links, and slow runs.

use std::time::Duration;

use super::super::Uptime;
use super::super::fleet::{Basis, Need};
use super::super::job::{EndEvidence, Resources, RunEnd, RunId, Step};
use super::super::msg::{NotStarted, ToAgent, ToEntry};
use super::super::owners::MAX_RUN_TIME_AFTER_LOSS;
use super::super::seconds;
use super::{Action, Answer, Name, Note, OpenJob, Scheduler, TaskState};

/// A run is moved only if its expected time left exceeds that of a new run times this factor, plus
/// [`MIN_MOVE_GAIN`].
const MOVE_FACTOR: f64 = 1.3;
/// Minimum expected gain of a move.
const MIN_MOVE_GAIN: Duration = Duration::from_millis(40);
/// Maximum number of moves of one task, so that a task that is slow on every worker is not moved
/// forever.
const MAX_MOVES: u32 = 2;
/// Increase of the attempt number after a refusal with [`NotStarted::OldAttempt`].
const ATTEMPT_JUMP: u32 = 8;

impl Scheduler {
    /// Handles a new link to an agent: tells it which runs this entry still expects, and repeats the
    /// stops, which may have been lost with the earlier link.
    pub fn agent_up(&mut self, now: Uptime, name: &Name, out: &mut Vec<Action>) {
        self.fleet.link_up(now, name);
        let mut runs = Vec::new();
        for job in self.jobs.values() {
            for task in &job.tasks {
                if matches!(&task.state, TaskState::Sent { worker, .. } if worker == name) {
                    runs.push((job.run(task), job.step(task).needs));
                }
            }
        }
        let stopping: Vec<(RunId, Resources)> = self
            .stopping
            .iter()
            .filter(|(_, stopping)| stopping.worker == *name)
            .map(|(run, stopping)| (*run, stopping.needs))
            .collect();
        runs.extend(&stopping);
        out.push(Action::Send(name.clone(), ToAgent::Resume { runs }));
        for (run, _) in stopping {
            out.push(Action::Send(name.clone(), ToAgent::Stop { run }));
        }
        if self.announced_waiting > 0 {
            let tasks = self.announced_waiting;
            out.push(Action::Send(name.clone(), ToAgent::Waiting { tasks }));
        }
    }

    /// Handles the loss of an agent's link. Its runs may continue until their lease expires.
    pub fn agent_down(&mut self, now: Uptime, name: &Name) {
        self.fleet.link_down(now, name);
    }

    /// Handles a message of an agent.
    pub fn on_agent(&mut self, now: Uptime, name: &Name, msg: ToEntry, out: &mut Vec<Action>) {
        match msg {
            ToEntry::Worker(info) => self.fleet.on_info(name, info),
            ToEntry::Capacity(report) => {
                if self.fleet.on_capacity_report(now, name, report) {
                    out.push(Action::Note(Note::Ejected {
                        worker: name.clone(),
                        failing: report.failing,
                    }));
                }
            }
            ToEntry::Ended {
                run,
                end,
                evidence,
                ran_ms,
            } => {
                Self::push_run_ended(run, name, (end, evidence), ran_ms, out);
                self.on_run_end(now, name, run, end, out);
            }
            ToEntry::Refused { run, reason } => {
                out.push(Action::Note(Note::RunRefused {
                    run,
                    worker: name.clone(),
                    reason,
                    basis: self.basis_of(run),
                }));
                self.on_refused(now, name, run, reason, out);
            }
            ToEntry::Behind {
                run,
                ran_ms,
                left_ms,
            } => {
                self.on_behind(now, name, run, (ran_ms, left_ms), out);
            }
            ToEntry::Cold(cold) => self.fleet.on_cold(now, name, cold),
            ToEntry::Forecast(forecast) => self.fleet.on_forecast(now, name, forecast),
            ToEntry::Reserved {
                task,
                granted,
                ready,
            } => self.on_reserved(now, name, task, (granted, ready), out),
        }
    }

    fn push_run_ended(
        run: RunId,
        worker: &Name,
        (end, evidence): (RunEnd, EndEvidence),
        ran_ms: u32,
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Note(Note::RunEnded {
            run,
            worker: worker.clone(),
            end,
            evidence,
            ran_ms,
        }));
    }

    fn on_refused(
        &mut self,
        now: Uptime,
        name: &Name,
        run: RunId,
        reason: NotStarted,
        out: &mut Vec<Action>,
    ) {
        if self.is_current(name, run) {
            self.count_refused(now, run, reason);
        }
        match reason {
            NotStarted::NoRoom => self.fleet.capacity_refused(name),
            NotStarted::NoWorker | NotStarted::OtherKind | NotStarted::Unhealthy => {
                self.fleet.start_refused(now, name);
            }
            NotStarted::OldAttempt => {
                if let Some(job) = self.jobs.get_mut(&run.task.job) {
                    for task in &mut job.tasks {
                        if (task.step, task.index) == (run.task.step, run.task.index) {
                            task.attempt_floor = task.attempt + ATTEMPT_JUMP;
                        }
                    }
                }
            }
            NotStarted::Unanswered => {}
            NotStarted::Malformed => {
                if self.is_current(name, run) {
                    self.fleet.run_ended(name);
                    let answer = Answer::Failed("the worker cannot read the task");
                    self.reset_task(run);
                    self.answer(now, run.task.job, &answer, out);
                    return;
                }
            }
        }
        self.on_run_end(now, name, run, RunEnd::Gone, out);
    }

    /// Returns why room was expected for the latest run of a task.
    fn basis_of(&self, run: RunId) -> Option<Basis> {
        let job = self.jobs.get(&run.task.job)?;
        let task = job.tasks.iter().find(|task| job.run(task) == run)?;
        Some(task.basis)
    }

    /// Takes a start that was refused back from the work sent.
    fn count_refused(&mut self, now: Uptime, run: RunId, reason: NotStarted) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        match reason {
            NotStarted::NoRoom
            | NotStarted::NoWorker
            | NotStarted::OtherKind
            | NotStarted::Unhealthy => job.refused_starts += 1,
            NotStarted::OldAttempt | NotStarted::Unanswered | NotStarted::Malformed => {}
        }
        let step = job.spec.steps.get(usize::from(run.task.step));
        let work = step.map_or(0.0, Step::work);
        let pool = &job.queue.pool;
        if let Some(load) = self.loads.get_mut(pool)
            && self.queues.is_contended(pool)
        {
            load.returned(now, &job.queue.name, work);
        }
    }

    /// Returns whether the run is the current one of its task and was sent to this worker.
    fn is_current(&self, name: &Name, run: RunId) -> bool {
        self.jobs.get(&run.task.job).is_some_and(|job| {
            job.tasks.iter().any(|task| {
                job.run(task) == run
                    && matches!(&task.state, TaskState::Sent { worker, .. } if worker == name)
            })
        })
    }

    /// Marks the task of a run as waiting, without placing it again.
    fn reset_task(&mut self, run: RunId) {
        if let Some(job) = self.jobs.get_mut(&run.task.job) {
            for task in &mut job.tasks {
                if (task.step, task.index) == (run.task.step, run.task.index) {
                    task.state = TaskState::Waiting;
                }
            }
        }
    }

    /// Handles the end of a run: done, failed, or gone.
    pub(super) fn on_run_end(
        &mut self,
        now: Uptime,
        name: &Name,
        run: RunId,
        end: RunEnd,
        out: &mut Vec<Action>,
    ) {
        let id = run.task.job;
        if self.stopping.swap_remove(&run).is_some() {
            self.fleet.run_ended(name);
            self.finish_stopping(now, id, out);
            return;
        }
        if !self.is_current(name, run) {
            return;
        }
        self.fleet.run_ended(name);
        if end == RunEnd::Done {
            self.fleet.run_completed(now, name);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let effect = job.end_task(now, run, end);
        match effect {
            JobEffect::Retry | JobEffect::StepDone => {
                self.waiting.insert(job.rank);
                self.untried.push(id);
            }
            JobEffect::Nothing => {}
            JobEffect::Completed => self.answer(now, id, &Answer::Completed, out),
            JobEffect::Failed => {
                let answer = Answer::Failed("a task failed as often as its queue allows");
                self.answer(now, id, &answer, out);
            }
        }
    }

    /// Ends the runs of workers that have been disconnected for [`MAX_RUN_TIME_AFTER_LOSS`].
    pub(super) fn end_lost_runs(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let lost: Vec<Name> = self
            .fleet
            .iter()
            .filter(|(_, worker)| {
                worker.runs > 0
                    && worker
                        .down_since
                        .is_some_and(|t| now >= t + MAX_RUN_TIME_AFTER_LOSS)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in lost {
            for run in self.runs_on(&name) {
                let end = (RunEnd::Gone, EndEvidence::AgentLost);
                Self::push_run_ended(run, &name, end, 0, out);
                self.on_run_end(now, &name, run, RunEnd::Gone, out);
            }
        }
    }

    fn runs_on(&self, name: &Name) -> Vec<RunId> {
        let mut runs: Vec<RunId> = self
            .stopping
            .iter()
            .filter(|(_, stopping)| stopping.worker == *name)
            .map(|(run, _)| *run)
            .collect();
        for job in self.jobs.values() {
            for task in &job.tasks {
                if matches!(&task.state, TaskState::Sent { worker, .. } if worker == name) {
                    runs.push(job.run(task));
                }
            }
        }
        runs
    }

    /// Handles a slow run: stops it if a new run on another worker is expected to end sooner. A run
    /// without progress is stopped even if no other worker has room now, since it only holds room
    /// itself.
    fn on_behind(
        &mut self,
        now: Uptime,
        name: &Name,
        run: RunId,
        progress: (u32, Option<u32>),
        out: &mut Vec<Action>,
    ) {
        let (ran_ms, left_ms) = progress;
        if !self.is_current(name, run) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let Some(step) = job.spec.steps.get(usize::from(run.task.step)) else {
            return;
        };
        let other_worker = |other: &Name| other != name;
        let pool = &job.queue.pool;
        let need = Need {
            pool,
            step,
            in_time: None,
            announced: false,
        };
        let choice = self.fleet.choose(now, need, other_worker, &mut self.rng);
        // A long task takes as long on any worker of the same speed: only the difference in speed
        // between the two workers counts.
        let worthwhile = |left: u32| {
            let Some(choice) = &choice else {
                return false;
            };
            let current = self.fleet.slowdown_of(name, pool);
            let other = self.fleet.slowdown_of(&choice.worker, pool);
            let total = (f64::from(ran_ms) + f64::from(left)) / current * other;
            let new_run = seconds(total / 1000.0 * MOVE_FACTOR) + MIN_MOVE_GAIN;
            Duration::from_millis(left.into()) > new_run
        };
        let may_move = match left_ms {
            Some(left) => worthwhile(left),
            None => self.fleet.has_other(name, pool),
        };
        if !may_move {
            return;
        }
        let fresh = choice.map(|choice| choice.expected);
        for task in &mut job.tasks {
            if (task.step, task.index) != (run.task.step, run.task.index) {
                continue;
            }
            if let TaskState::Sent { stopping, .. } = &mut task.state
                && !*stopping
                && task.moves < MAX_MOVES
            {
                *stopping = true;
                task.moves += 1;
                out.push(Action::Send(name.clone(), ToAgent::Stop { run }));
                out.push(Action::Note(Note::Moved {
                    run,
                    worker: name.clone(),
                    left_ms,
                    fresh,
                }));
            }
        }
    }
}

/// Consequence of the end of a run for its job.
enum JobEffect {
    /// Other tasks are still in progress or waiting.
    Nothing,
    /// The task has to run again.
    Retry,
    /// The last task of a step is done, and tasks of later steps are ready.
    StepDone,
    /// All tasks are done.
    Completed,
    /// The task has failed as often as its queue allows.
    Failed,
}

impl OpenJob {
    fn end_task(&mut self, now: Uptime, run: RunId, end: RunEnd) -> JobEffect {
        let position = (run.task.step, run.task.index);
        let Some(task) = self
            .tasks
            .iter_mut()
            .find(|task| (task.step, task.index) == position)
        else {
            return JobEffect::Nothing;
        };
        match end {
            RunEnd::Done => {
                task.state = TaskState::Done;
                let left = &mut self.left[usize::from(run.task.step)];
                *left = left.saturating_sub(1);
                let step_done = *left == 0;
                if self.left.iter().all(|left| *left == 0) {
                    JobEffect::Completed
                } else if step_done && self.has_ready() {
                    JobEffect::StepDone
                } else {
                    JobEffect::Nothing
                }
            }
            RunEnd::Failed | RunEnd::Gone => {
                task.failures += u32::from(end == RunEnd::Failed);
                task.state = TaskState::Waiting;
                task.waiting_since = now;
                if task.failures >= self.queue.max_failures.max(1) {
                    JobEffect::Failed
                } else {
                    JobEffect::Retry
                }
            }
        }
    }
}
