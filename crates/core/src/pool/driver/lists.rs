//! List calls: the running and ended runs at the worker, and the renewal of its lease.

use super::super::Uptime;
use super::super::job::{EndEvidence, RunEnd, RunId};
use super::super::msg::{NotStarted, ToEntry};
use super::super::{LEASE_EXPIRY_MARGIN, WORKER_LEASE};
use super::{
    Action, Call, Driver, Duration, EndedRow, LIST_WAIT, LOSSY_LIST_WAIT, LOSSY_PERIOD,
    ORPHAN_GRACE, Run, RunningRow, State, UNRESPONSIVE_LIST_INTERVAL, UndeliveredEnd,
};

/// A run is behind when its run time exceeds its estimate times this factor plus [`BEHIND_MARGIN`].
const BEHIND_FACTOR: f64 = 1.4;
/// Constant part of the time by which a run must exceed its estimate to be behind.
const BEHIND_MARGIN: Duration = Duration::from_millis(40);
/// Minimum run time before the entry is notified that a run is behind. The progress until then says
/// too little.
pub(super) const MIN_BEHIND_RUN_TIME: Duration = Duration::from_millis(60);
/// The entry is notified again that a run is behind when its run time has grown by this factor.
const BEHIND_REPORT_FACTOR: f64 = 1.4;
/// A run is stalled when its progress has not risen for this long and for the usual time of
/// [`STALL_PERCENT`].
const STALL_TIME: Duration = Duration::from_millis(150);
/// Progress in percent whose usual time must pass without progress before a run is stalled.
const STALL_PERCENT: f64 = 15.0;
/// Smoothing factor of the failure rate for a run that stands still. It holds room and delays its job
/// far longer than a failed one, and shows only once.
const STALL_LEARNING_RATE: f32 = 0.4;
/// Time without a worker after which claimed runs end; longer than its lease, and than the interval
/// between heartbeats.
const NO_WORKER_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum time between two messages to the entry that a run is stalled.
const STALL_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// When a list was requested, and what its answer states beside the runs.
#[derive(Clone, Copy)]
pub(super) struct ListSource {
    pub(super) requested: Uptime,
    /// The worker's clock in milliseconds.
    pub(super) clock_ms: Option<u64>,
    /// Whether the list holds all running runs.
    pub(super) is_complete: bool,
}

/// Returns the expected run time from which a run is behind.
fn behind_threshold(estimate: Duration) -> Duration {
    estimate.mul_f64(BEHIND_FACTOR) + BEHIND_MARGIN
}

impl Driver {
    /// Sends a list call if one is due and none is in flight. The call also renews the lease.
    pub(super) fn request_list(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let Some(worker) = &self.worker else { return };
        if self
            .calls
            .values()
            .any(|p| matches!(p.call, Call::List { .. }))
        {
            return;
        }
        let listed = worker.listed;
        let started = |run: &Run| run.state != State::Queued;
        if listed && !self.unresponsive && !self.runs.values().any(started) {
            return;
        }
        if self.unresponsive && now < self.next_list || now < self.list_pause_until {
            return;
        }
        self.next_list = now + UNRESPONSIVE_LIST_INTERVAL;
        // The lease of an unresponsive worker must expire. So must the lease of unclaimed runs:
        // their entry may have been lost at an unknown time before this process started. Before the
        // first list, there may be such runs.
        let let_expire = self.unresponsive || !listed || self.has_orphans();
        let clock = self.worker_clock(now).filter(|_| !let_expire);
        if clock.is_some() {
            self.last_renewal = now;
        }
        let stop_answered = self.runs.values().any(|run| run.stop_answered.is_some());
        let lossy = self
            .last_lost_call
            .is_some_and(|at| now < at + LOSSY_PERIOD);
        let wait = if !listed || self.unresponsive || stop_answered {
            Duration::ZERO
        } else if let Some(time) = self.time_to_settle(now) {
            time.min(LOSSY_LIST_WAIT)
        } else if lossy {
            LOSSY_LIST_WAIT
        } else {
            LIST_WAIT
        };
        let call = Call::List {
            last_end_number: self
                .worker
                .as_ref()
                .map_or(0, |worker| worker.last_end_number),
            deadline_ms: clock.map(|clock| clock + self.lease.as_millis() as u64),
            wait,
        };
        self.call(now, call, wait + self.call_timeout(), out);
    }

    /// Returns the time until the worker's clock passes the first deadline of the unanswered starts
    /// that are settled by it; `None` if there are none.
    fn time_to_settle(&self, now: Uptime) -> Option<Duration> {
        let clock = self.worker_clock(now)?;
        let unsettled = |run: &&Run| {
            run.state == State::Unknown && !run.settled_by_stop && run.start_deadline > 0
        };
        let deadlines = self.runs.values().filter(unsettled);
        let first = deadlines.map(|run| run.start_deadline).min()?;
        // One millisecond more, since the clock must be beyond the deadline.
        Some(Duration::from_millis(first.saturating_sub(clock) + 1))
    }

    /// Handles the answer to a list call.
    pub(super) fn on_lists(
        &mut self,
        now: Uptime,
        source: ListSource,
        start_time_ms: Option<u64>,
        running: &[RunningRow],
        ended: &[EndedRow],
        out: &mut Vec<Action>,
    ) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        if let Some(start_time_ms) = start_time_ms
            && start_time_ms != worker.start_time_ms
            && worker.start_time_ms != 0
        {
            self.next_life(now, start_time_ms, source.clock_ms, out);
            return;
        }
        worker.listed = true;
        for row in ended {
            if row.number > worker.last_end_number {
                worker.last_end_number = row.number;
            }
        }
        self.note_proof();
        for row in ended {
            self.on_ended(now, row, out);
        }
        for row in running {
            self.on_running(now, row);
        }
        if self.learn_from_progress(now) {
            // Entries weigh a move by the speeds of both workers.
            self.report(now, out);
        }
        for row in running {
            self.check_progress(now, row.run, out);
        }
        if source.is_complete {
            self.resolve_absent(now, source, running, out);
        }
    }

    /// Handles an ended run. Shortly after the start of this process the ends of unknown runs are
    /// kept, since an entry may still claim them.
    fn on_ended(&mut self, now: Uptime, row: &EndedRow, out: &mut Vec<Action>) {
        if self.runs.contains_key(&row.run) {
            self.end(now, row.run, (row.end, EndEvidence::Listed), out);
        } else if now < self.started_at + super::END_RETENTION {
            self.undelivered_ends
                .entry(row.run)
                .or_insert(UndeliveredEnd {
                    end: row.end,
                    evidence: EndEvidence::Listed,
                    ran_ms: 0,
                    at: now,
                });
        }
    }

    /// Handles a running run. An unknown one was started by an earlier agent process.
    fn on_running(&mut self, now: Uptime, row: &RunningRow) {
        let Some(run) = self.runs.get_mut(&row.run) else {
            self.runs.insert(row.run, Run::adopted(now));
            return;
        };
        let answer_was_lost = run.state == State::Unknown && !run.settled_by_stop;
        if run.state == State::Starting || answer_was_lost {
            run.state = State::Running;
            run.started = now;
        }
        if run.state != State::Running {
            return;
        }
        run.observe_progress(now, row.percent);
    }

    /// Notifies the owner when a run is behind its estimate or stalled.
    fn check_progress(&mut self, now: Uptime, id: RunId, out: &mut Vec<Action>) {
        let slowed = self.has_slowed(now);
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if run.state != State::Running {
            return;
        }
        let ran = now.saturating_sub(run.started);
        let left = run.time_left(now);
        let threshold = behind_threshold(run.estimate);
        let stalled = run.is_stalled(now);
        let due = if stalled {
            now >= run.next_stall_report
        } else {
            ran >= run.next_behind_report && (ran >= threshold || slowed && ran + left >= threshold)
        };
        if !due || !stalled && run.percent == 0 {
            return;
        }
        run.next_behind_report = ran.mul_f64(BEHIND_REPORT_FACTOR);
        run.next_stall_report = now + STALL_REPORT_INTERVAL;
        let left_ms = (!stalled).then(|| left.as_millis().min(u128::from(u32::MAX)) as u32);
        let msg = ToEntry::Behind {
            run: id,
            ran_ms: ran.as_millis() as u32,
            left_ms,
        };
        let pace_sample = (!run.pace_counted && !stalled).then_some((run.estimate, ran + left));
        run.pace_counted = true;
        let owner = run.owner.clone();
        if let Some((estimate, total)) = pace_sample {
            self.learn_pace(now, estimate, total);
        }
        if stalled {
            self.failure_rate += STALL_LEARNING_RATE * (1.0 - self.failure_rate);
        }
        if let Some(owner) = owner {
            self.send(&owner, msg, out);
        }
    }

    /// Ends or refuses the runs that are missing from a list that was requested after they were
    /// reported as running or their stop was answered, and refuses those whose unanswered start the
    /// worker would refuse by its clock.
    fn resolve_absent(
        &mut self,
        now: Uptime,
        source: ListSource,
        running: &[RunningRow],
        out: &mut Vec<Action>,
    ) {
        let absent: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(id, run)| {
                let since = match run.state {
                    State::Running => Some(run.started),
                    State::Stopping | State::Unknown => run.stop_answered,
                    State::Queued | State::Starting => None,
                };
                let is_too_late = run.state == State::Unknown
                    && run.start_deadline > 0
                    && source
                        .clock_ms
                        .is_some_and(|clock| clock > run.start_deadline);
                // Another attempt, of a start that was carried out late, is stopped first.
                (is_too_late || since.is_some_and(|since| since < source.requested))
                    && !running.iter().any(|row| row.run.task == id.task)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in absent {
            if self
                .runs
                .get(&id)
                .is_some_and(|run| run.state == State::Unknown)
            {
                self.refuse(id, NotStarted::Unanswered, out);
            } else {
                self.end(now, id, (RunEnd::Gone, EndEvidence::NotListed), out);
            }
        }
    }

    /// Ends all runs of an unresponsive worker once its lease must have expired, and those that
    /// entries claimed at this process if no worker was found for long.
    pub(super) fn end_runs_of_expired_lease(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let wait = if self.worker.is_none() {
            NO_WORKER_TIMEOUT
        } else if self.unresponsive {
            WORKER_LEASE + LEASE_EXPIRY_MARGIN
        } else {
            return;
        };
        if now < self.last_renewal + wait {
            return;
        }
        let runs: Vec<RunId> = self.runs.keys().copied().collect();
        for run in runs {
            self.end(now, run, (RunEnd::Gone, EndEvidence::LeaseExpired), out);
        }
    }

    /// Stops runs of an earlier agent process that no entry has claimed within [`ORPHAN_GRACE`].
    pub(super) fn stop_orphans(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let orphans: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                run.owner.is_none()
                    && run.state == State::Running
                    && now >= run.received + ORPHAN_GRACE
            })
            .map(|(id, _)| *id)
            .collect();
        for id in orphans {
            self.stop(now, id, "no entry claimed it after the agent restart", out);
        }
    }
}

impl Run {
    /// Returns whether the time since the last progress is far longer than expected both from its
    /// estimate and from its progress so far.
    fn is_stalled(&self, now: Uptime) -> bool {
        let progress_time = self.last_progress.saturating_sub(self.started);
        let percent = f64::from(self.percent.max(1));
        let time_per_percent = self
            .estimate
            .div_f64(100.0)
            .max(progress_time.div_f64(percent));
        let stalled_for = now.saturating_sub(self.last_progress);
        !self.estimate.is_zero()
            && stalled_for > STALL_TIME.max(time_per_percent.mul_f64(STALL_PERCENT))
    }
}
