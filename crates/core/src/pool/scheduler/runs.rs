//! What becomes of runs: ends, refusals, lost links, and runs that fall behind.

use std::time::Duration;

use super::super::Uptime;
use super::super::fleet::Need;
use super::super::job::{RunEnd, RunId};
use super::super::msg::{NotStarted, ToAgent, ToEntry};
use super::super::owners::SURE_AFTER;
use super::{Action, Answer, Name, Note, OpenJob, Scheduler, TaskState};

/// A run is moved only if a new one is expected to end sooner by this factor and time.
const MOVE_FACTOR: f64 = 1.3;
const MOVE_GAIN: Duration = Duration::from_millis(40);
/// A task that is behind wherever it runs is left alone after so many moves.
const MAX_MOVES: u32 = 2;
/// After a refusal for an old attempt the next ones are this much higher.
const ATTEMPT_JUMP: u32 = 8;

impl Scheduler {
    /// An agent's link is up.
    pub fn agent_up(&mut self, now: Uptime, name: &Name, out: &mut Vec<Action>) {
        self.fleet.up(now, name);
        let mut runs = Vec::new();
        for job in self.jobs.values() {
            for task in &job.tasks {
                if matches!(&task.state, TaskState::Sent { worker, .. } if worker == name) {
                    runs.push((job.run(task), job.step(task).needs));
                }
            }
        }
        out.push(Action::Send(name.clone(), ToAgent::Resume { runs }));
        if self.told_waiting > 0 {
            let tasks = self.told_waiting;
            out.push(Action::Send(name.clone(), ToAgent::Waiting { tasks }));
        }
    }

    /// An agent's link is lost: its runs go on for a while, and are in doubt.
    pub fn agent_down(&mut self, now: Uptime, name: &Name) {
        self.fleet.down(now, name);
    }

    /// Handles a message of an agent.
    pub fn on_agent(&mut self, now: Uptime, name: &Name, msg: ToEntry, out: &mut Vec<Action>) {
        match msg {
            ToEntry::Worker(info) => self.fleet.on_info(name, info),
            ToEntry::Room(room) => {
                if self.fleet.on_room(now, name, room) {
                    out.push(Action::Note(Note::Ejected {
                        worker: name.clone(),
                        failing: room.failing,
                    }));
                }
            }
            ToEntry::Ended { run, end, ran_ms } => {
                Self::note_over(run, name, (Some(end), None, ran_ms), out);
                self.run_over(now, name, run, end, out);
            }
            ToEntry::Refused { run, reason } => {
                Self::note_over(run, name, (None, Some(reason), 0), out);
                self.on_refused(now, name, run, reason, out);
            }
            ToEntry::Behind {
                run,
                ran_ms,
                left_ms,
            } => {
                self.on_behind(now, name, run, (ran_ms, left_ms), out);
            }
        }
    }

    fn note_over(
        run: RunId,
        worker: &Name,
        how: (Option<RunEnd>, Option<NotStarted>, u32),
        out: &mut Vec<Action>,
    ) {
        let (end, refused, ran_ms) = how;
        out.push(Action::Note(Note::RunOver {
            run,
            worker: worker.clone(),
            end,
            refused,
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
        match reason {
            NotStarted::NoRoom => self.fleet.no_room(name),
            NotStarted::NoWorker | NotStarted::Unhealthy => self.fleet.refused(now, name),
            NotStarted::OldAttempt => {
                if let Some(job) = self.jobs.get_mut(&run.task.job) {
                    for task in &mut job.tasks {
                        if (task.step, task.index) == (run.task.step, run.task.index) {
                            task.floor = task.attempt + ATTEMPT_JUMP;
                        }
                    }
                }
            }
            NotStarted::Unanswered => {}
            NotStarted::Malformed => {
                if self.current(name, run) {
                    self.fleet.over(name);
                    let answer = Answer::Failed("the worker cannot read the task");
                    self.forget_run(run);
                    self.answer(now, run.task.job, &answer, out);
                    return;
                }
            }
        }
        self.run_over(now, name, run, RunEnd::Gone, out);
    }

    /// Whether the run is the one under way for its task.
    fn current(&self, name: &Name, run: RunId) -> bool {
        self.jobs.get(&run.task.job).is_some_and(|job| {
            job.tasks.iter().any(|task| {
                job.run(task) == run
                    && matches!(&task.state, TaskState::Sent { worker, .. } if worker == name)
            })
        })
    }

    /// Marks a run as not under way any more, without a retry.
    fn forget_run(&mut self, run: RunId) {
        if let Some(job) = self.jobs.get_mut(&run.task.job) {
            for task in &mut job.tasks {
                if (task.step, task.index) == (run.task.step, run.task.index) {
                    task.state = TaskState::Waiting;
                }
            }
        }
    }

    /// A run is over: done, failed, or gone without a trace.
    pub(super) fn run_over(
        &mut self,
        now: Uptime,
        name: &Name,
        run: RunId,
        end: RunEnd,
        out: &mut Vec<Action>,
    ) {
        let id = run.task.job;
        if self.stopping.swap_remove(&run).is_some() {
            self.fleet.over(name);
            self.settle(now, id, out);
            return;
        }
        if !self.current(name, run) {
            return;
        }
        self.fleet.over(name);
        if end == RunEnd::Done {
            self.fleet.completed(now, name);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let verdict = job.end_task(now, run, end);
        match verdict {
            Verdict::Again | Verdict::StepDone => {
                self.waiting.insert(job.rank);
                self.untried.push(id);
            }
            Verdict::Nothing => {}
            Verdict::Completed => self.answer(now, id, &Answer::Completed, out),
            Verdict::Failed => {
                let answer = Answer::Failed("a task failed as often as its queue allows");
                self.answer(now, id, &answer, out);
            }
        }
    }

    /// Runs on workers that have been away long enough have surely ended.
    pub(super) fn end_doubts(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let lost: Vec<Name> = self
            .fleet
            .iter()
            .filter(|(_, worker)| {
                worker.runs > 0 && worker.down_since.is_some_and(|t| now >= t + SURE_AFTER)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in lost {
            for run in self.runs_at(&name) {
                Self::note_over(run, &name, (Some(RunEnd::Gone), None, 0), out);
                self.run_over(now, &name, run, RunEnd::Gone, out);
            }
        }
    }

    fn runs_at(&self, name: &Name) -> Vec<RunId> {
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

    /// A run fell behind: it is stopped if a new run elsewhere is expected to end sooner.
    fn on_behind(
        &mut self,
        now: Uptime,
        name: &Name,
        run: RunId,
        progress: (u32, Option<u32>),
        out: &mut Vec<Action>,
    ) {
        let (ran_ms, left_ms) = progress;
        if !self.current(name, run) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let Some(step) = job.spec.steps.get(usize::from(run.task.step)) else {
            return;
        };
        let elsewhere = |other: &Name| other != name;
        let pool = &job.queue.pool;
        let need = Need {
            pool,
            step,
            in_time: None,
        };
        let Some(choice) = self.fleet.choose(now, need, elsewhere, &mut self.rng) else {
            return;
        };
        // A long task on a sound worker would be as long elsewhere: only the difference in speed
        // counts.
        let worthwhile = |left: u32| {
            let here = self.fleet.slowdown_of(name, pool);
            let there = self.fleet.slowdown_of(&choice.worker, pool);
            let total = f64::from(ran_ms + left) / here * there;
            let fresh = Duration::from_secs_f64(total / 1000.0).mul_f64(MOVE_FACTOR) + MOVE_GAIN;
            Duration::from_millis(left.into()) > fresh
        };
        if left_ms.is_some_and(|left| !worthwhile(left)) {
            return;
        }
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
                    fresh: choice.expected,
                }));
            }
        }
    }
}

/// What the end of a run means for its job.
enum Verdict {
    Nothing,
    Again,
    StepDone,
    Completed,
    Failed,
}

impl OpenJob {
    fn end_task(&mut self, now: Uptime, run: RunId, end: RunEnd) -> Verdict {
        let place = (run.task.step, run.task.index);
        let Some(task) = self
            .tasks
            .iter_mut()
            .find(|task| (task.step, task.index) == place)
        else {
            return Verdict::Nothing;
        };
        match end {
            RunEnd::Done => {
                task.state = TaskState::Done;
                let left = &mut self.left[usize::from(run.task.step)];
                *left = left.saturating_sub(1);
                let step_done = *left == 0;
                if self.left.iter().all(|left| *left == 0) {
                    Verdict::Completed
                } else if step_done && self.has_ready() {
                    Verdict::StepDone
                } else {
                    Verdict::Nothing
                }
            }
            RunEnd::Failed | RunEnd::Gone => {
                task.failures += u32::from(end == RunEnd::Failed);
                task.state = TaskState::Waiting;
                task.waiting_since = now;
                if task.failures >= self.queue.max_failures.max(1) {
                    Verdict::Failed
                } else {
                    Verdict::Again
                }
            }
        }
    }
}
