//! The callers: new jobs, answers, and jobs that are sent again.

use rw_core::pool::Uptime;
use rw_core::pool::job::{Job, JobId, Resources, Step};
use rw_core::pool::owners::MAX_RUN_TIME_AFTER_LOSS;
use rw_core::pool::scheduler::{Answer, CancelAnswer};

use super::{Duration, Simulation};

/// Time from the loss of a caller's connection until it sends the job again.
const RESEND_AFTER: Duration = Duration::from_millis(1300);
/// Time for which a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(5);

pub enum CallerState {
    Waiting {
        /// The entry and the number of each open connection.
        connections: Vec<(usize, u64)>,
        until: Uptime,
        /// When it sends the job again although its connection is open.
        again: Option<Uptime>,
    },
    Resend(Uptime),
}

impl CallerState {
    fn resend(now: Uptime) -> Self {
        Self::Resend(now + RESEND_AFTER)
    }

    /// Closes the connections that match. Returns whether the job is to be sent again for it.
    fn close<F>(&mut self, now: Uptime, matching: F) -> bool
    where
        F: Fn(&(usize, u64)) -> bool,
    {
        let Self::Waiting { connections, .. } = self else {
            return false;
        };
        connections.retain(|connection| !matching(connection));
        let closed = connections.is_empty();
        if closed {
            *self = Self::resend(now);
        }
        closed
    }

    /// Handles the end of an entry process. Returns whether the job is to be sent again for it.
    pub fn on_entry_killed(&mut self, now: Uptime, e: usize) -> bool {
        self.close(now, |(entry, _)| *entry == e)
    }

    fn has(&self, caller: u64) -> bool {
        match self {
            Self::Waiting { connections, .. } => connections.iter().any(|(_, c)| *c == caller),
            Self::Resend(_) => false,
        }
    }
}

impl Simulation {
    pub(super) fn on_answer(&mut self, caller: u64, answer: &Answer) {
        self.trace(format!("caller {caller} is answered {answer:?}"));
        let found = self.callers.iter().find(|(_, state)| state.has(caller));
        let Some(job) = found.map(|(job, _)| *job) else {
            return;
        };
        let now = self.now;
        let this = |(_, other): &(usize, u64)| *other == caller;
        match answer {
            Answer::Completed | Answer::Failed(_) => {
                self.completed += usize::from(*answer == Answer::Completed);
                self.disconnect(job, false);
            }
            Answer::NotRun { .. } => {
                self.refused += 1;
                if self.callers[&job].close(now, this) {
                    self.callers.swap_remove(&job);
                }
                let runs = self.agents.iter().flat_map(|agent| agent.worker.runs());
                let runs: Vec<_> = runs.filter(|run| run.task.job == job).collect();
                assert!(
                    runs.is_empty() || self.resent > 0,
                    "{job} was answered as not run, but these runs exist: {runs:?}"
                );
            }
            Answer::OtherJobOpen(reason) => {
                panic!("{reason}: all submissions of a job are the same")
            }
            Answer::OutcomeUnknown(_) => {
                if self.callers[&job].close(now, this) {
                    self.resent += 1;
                }
            }
        }
    }

    pub(super) fn step_callers(&mut self) {
        let now = self.now;
        if self.callers.len() < 12 && now >= self.idle_until && self.chance(300) {
            self.new_job();
        }
        let is_due = |state: &CallerState| match state {
            CallerState::Waiting { again, .. } => again.is_some_and(|at| now >= at),
            CallerState::Resend(at) => now >= *at,
        };
        let due: Vec<JobId> = self
            .callers
            .iter()
            .filter(|(_, state)| is_due(state))
            .map(|(job, _)| *job)
            .collect();
        for job in due {
            self.submit(job);
        }
        let still_waits = |state: &CallerState| match state {
            CallerState::Waiting { until, .. } => now < *until,
            CallerState::Resend(_) => true,
        };
        let timed_out: Vec<JobId> = self
            .callers
            .iter()
            .filter(|(_, state)| !still_waits(state))
            .map(|(job, _)| *job)
            .collect();
        for job in timed_out {
            self.disconnect(job, false);
        }
        if self.faults.cancel > 0 && self.chance(self.faults.cancel) {
            self.cancel();
        }
        if self.chance(self.faults.disconnect) && !self.callers.is_empty() {
            let at = self.rng.usize(0..self.callers.len());
            let job = self.callers.get_index(at).map(|(job, _)| *job);
            if let Some(job) = job {
                self.disconnect(job, true);
            }
        }
    }

    /// Cancels a job at any entry. Its connections stay open, and it is not sent again.
    fn cancel(&mut self) {
        let e = self.rng.usize(0..self.entries.len());
        if self.callers.is_empty() || self.now < self.entries[e].suspended_until {
            return;
        }
        let at = self.rng.usize(0..self.callers.len());
        let Some((job, _)) = self.callers.swap_remove_index(at) else {
            return;
        };
        let caller = self.next_caller;
        self.next_caller += 1;
        self.trace(format!("caller {caller} cancels job {job} at entry {e}"));
        self.cancels.insert(caller, job);
        let mut out = Vec::new();
        let scheduler = &mut self.entries[e].scheduler;
        scheduler.observe(self.now, &mut out);
        scheduler.cancel(self.now, job, caller, &mut out);
        self.apply_entry(e, out);
    }

    pub(super) fn on_cancel_answer(&mut self, caller: u64, answer: CancelAnswer) {
        self.trace(format!(
            "the cancel of caller {caller} is answered {answer:?}"
        ));
        let job = self.cancels.swap_remove(&caller);
        if answer == CancelAnswer::Unconfirmed {
            return;
        }
        if let Some(job) = job {
            self.cancelled.insert(job, self.now);
        }
    }

    /// Checks that no task of a job runs long after its cancel was acknowledged.
    pub(super) fn check_cancelled(&self) {
        for run in self.agents.iter().flat_map(|agent| agent.worker.runs()) {
            let cancelled = self.cancelled.get(&run.task.job);
            assert!(
                cancelled.is_none_or(|at| self.now < *at + MAX_RUN_TIME_AFTER_LOSS),
                "{run} runs at {:?}, cancelled at {cancelled:?}, seed {}, after\n{:#?}",
                self.now,
                self.seed,
                self.trace
            );
        }
    }

    /// Closes a caller's connections. With `resend` the caller submits the job again later.
    fn disconnect(&mut self, job: JobId, resend: bool) {
        let state = self.callers.swap_remove(&job);
        if let Some(CallerState::Waiting { connections, .. }) = state {
            for (entry, caller) in connections {
                // A suspended entry notices the closed connection only when it continues.
                self.entries[entry].disconnected.push(caller);
            }
            if resend {
                self.resent += 1;
                self.callers.insert(job, CallerState::resend(self.now));
            }
        }
    }

    fn new_job(&mut self) {
        let id = JobId(self.next_job);
        self.next_job += 1;
        let needs = Resources {
            cpu_milli: self.rng.u32(800..2600),
            memory_mb: 10,
            accelerators: 0,
        };
        // Some tasks run longer than the time after which a caller sends its job again.
        let max_ms = if self.chance(200) { 4000 } else { 900 };
        let work = Duration::from_millis(self.rng.u64(30..max_ms));
        self.workloads.insert(id, (needs, work));
        let step = Step {
            count: self.rng.u16(1..6),
            needs,
            estimate: work.mul_f64(0.6 + 0.8 * self.rng.f64()),
            ..Step::default()
        };
        let job = Job {
            id,
            request: "r".into(),
            payload: "x".into(),
            steps: vec![step],
        };
        self.jobs.insert(id, job);
        self.submit(id);
    }

    /// Opens a connection for a job, beside those that it has, and sends it.
    fn submit(&mut self, id: JobId) {
        let now = self.now;
        let e = self.rng.usize(0..self.entries.len());
        let caller = self.next_caller;
        self.next_caller += 1;
        self.trace(format!("caller {caller} submits job {id} to entry {e}"));
        let mut open = match self.callers.swap_remove(&id) {
            Some(CallerState::Waiting { connections, .. }) => connections,
            Some(CallerState::Resend(_)) | None => Vec::new(),
        };
        let resends = !open.is_empty();
        let accepted = now >= self.entries[e].suspended_until;
        if accepted {
            open.push((e, caller));
        }
        let silent = self.chance(self.faults.silent_caller);
        let impatient = self.chance(self.faults.impatient_caller);
        if silent {
            self.trace(format!("the connection of caller {caller} goes silent"));
        }
        let state = if silent || open.is_empty() {
            // If the connection is not accepted, the caller tries again later.
            CallerState::resend(now)
        } else {
            CallerState::Waiting {
                connections: open,
                until: now + PATIENCE,
                again: impatient.then_some(now + RESEND_AFTER),
            }
        };
        self.resent += usize::from(silent || resends);
        self.callers.insert(id, state);
        if !accepted {
            return;
        }
        let mut out = Vec::new();
        let spec = self.jobs[&id].clone();
        let queue = self.queue.clone();
        let scheduler = &mut self.entries[e].scheduler;
        scheduler.observe(now, &mut out);
        scheduler.submit(now, spec, queue, caller, PATIENCE, &mut out);
        self.apply_entry(e, out);
    }
}
