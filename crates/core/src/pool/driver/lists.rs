//! The worker's lists: what runs, what ended; and the renewal of its lease.

use super::super::Uptime;
use super::super::job::{RunEnd, RunId};
use super::super::msg::{NotStarted, ToEntry};
use super::super::{LAPSE_MARGIN, WORKER_LEASE};
use super::{
    Action, Call, Driver, Duration, EndedRow, LIST_WAIT, LOSSY_LIST_WAIT, LOSSY_TIME, ORPHAN_GRACE,
    Run, RunningRow, SILENT_LOOK, State,
};

/// A run is behind when it ran this much longer than estimated, and by this time.
const BEHIND_FACTOR: f64 = 1.4;
const BEHIND_TIME: Duration = Duration::from_millis(40);
/// The entry is told again when the run time grew by this factor.
const BEHIND_AGAIN: f64 = 1.4;
/// A run whose percent did not rise for this long, and for the time of so many percents, stands
/// still.
const STILL_TIME: Duration = Duration::from_millis(150);
const STILL_PERCENTS: f64 = 15.0;
/// Time between two words to the entry that a run stands still.
const STILL_AGAIN: Duration = Duration::from_millis(250);

/// Run time after which an entry is first told that a run is behind.
pub(super) fn first_behind(estimate: Duration) -> Duration {
    estimate.mul_f64(BEHIND_FACTOR) + BEHIND_TIME
}

impl Driver {
    /// Asks for the lists when it is time; the call also renews the lease.
    pub(super) fn look(&mut self, now: Uptime, out: &mut Vec<Action>) {
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
        if listed && !self.silent && !self.runs.values().any(started) {
            return;
        }
        if self.silent && now < self.next_look {
            return;
        }
        self.next_look = now + SILENT_LOOK;
        // A silent worker's lease is left to lapse. So is that of runs whose entry may have been
        // lost before this process began: nobody here knows for how long it was silent.
        let lapses = self.silent || self.has_orphans();
        let clock = self.worker_clock(now).filter(|_| !lapses);
        if clock.is_some() {
            self.lease_sent = now;
        }
        let settling = self.runs.values().any(|run| run.stop_answered.is_some());
        let lossy = self.lost_call.is_some_and(|at| now < at + LOSSY_TIME);
        let wait = if !listed || self.silent || settling {
            Duration::ZERO
        } else if lossy {
            LOSSY_LIST_WAIT
        } else {
            LIST_WAIT
        };
        let call = Call::List {
            seen_end: self.worker.as_ref().map_or(0, |worker| worker.seen_end),
            deadline_ms: clock.map(|clock| clock + self.lease.as_millis() as u64),
            wait,
        };
        self.call(now, call, wait + self.call_timeout(), out);
    }

    /// The lists arrived; they were asked for at `asked`.
    pub(super) fn on_lists(
        &mut self,
        now: Uptime,
        asked: Uptime,
        born: Option<u64>,
        running: &[RunningRow],
        ended: &[EndedRow],
        out: &mut Vec<Action>,
    ) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        if born.is_some_and(|born| born != worker.born && worker.born != 0) {
            self.worker_gone(now, out);
            return;
        }
        worker.listed = true;
        for row in ended {
            if row.number > worker.seen_end {
                worker.seen_end = row.number;
            }
        }
        for row in ended {
            self.on_ended(now, row, out);
        }
        for row in running {
            self.on_running(now, row, out);
        }
        self.settle_absent(now, asked, running, out);
    }

    fn on_ended(&mut self, now: Uptime, row: &EndedRow, out: &mut Vec<Action>) {
        if self.runs.contains_key(&row.run) {
            self.end(now, row.run, row.end, out);
        } else if now < self.began + super::REMEMBER_ENDS {
            self.ended.entry(row.run).or_insert((row.end, 0, now));
        }
    }

    fn on_running(&mut self, now: Uptime, row: &RunningRow, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(&row.run) else {
            self.runs.insert(row.run, Run::found(now));
            return;
        };
        if run.state == State::Starting {
            run.state = State::Running;
            run.started = now;
        }
        if run.state != State::Running {
            return;
        }
        if row.percent > run.percent {
            run.percent = row.percent;
            run.advanced = now;
        }
        self.judge_progress(now, row.run, out);
    }

    /// Tells the owner when a run is behind or stands still.
    fn judge_progress(&mut self, now: Uptime, id: RunId, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let ran = now.saturating_sub(run.started);
        let stands = run.stands_still(now);
        let due = if stands {
            now >= run.tell_still
        } else {
            ran >= run.tell_behind
        };
        if !due || !stands && run.percent == 0 {
            return;
        }
        run.tell_behind = run.tell_behind.max(ran.mul_f64(BEHIND_AGAIN));
        run.tell_still = now + STILL_AGAIN;
        let percent = f64::from(run.percent.max(1));
        let left = ran.mul_f64((100.0 - percent).max(0.0) / percent);
        let left_ms = (!stands).then(|| left.as_millis().min(u128::from(u32::MAX)) as u32);
        let msg = ToEntry::Behind {
            run: id,
            ran_ms: ran.as_millis() as u32,
            left_ms,
        };
        let learned = (!run.judged && !stands).then_some((run.estimate, ran + left));
        run.judged = true;
        let owner = run.owner.clone();
        if let Some((estimate, total)) = learned {
            self.learn_pace(now, estimate, total);
        }
        if stands {
            self.failing += super::LEARN * (1.0 - self.failing);
        }
        if let Some(owner) = owner {
            self.send(&owner, msg, out);
        }
    }

    /// Runs that a list does not show, though it was asked for after they were there or barred,
    /// are gone.
    fn settle_absent(
        &mut self,
        now: Uptime,
        asked: Uptime,
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
                since.is_some_and(|since| since < asked)
                    && !running.iter().any(|row| row.run == **id)
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
                self.end(now, id, RunEnd::Gone, out);
            }
        }
    }

    /// What a silent worker ran has ended once its lease has surely lapsed.
    pub(super) fn end_lapsed(&mut self, now: Uptime, out: &mut Vec<Action>) {
        if !self.silent || now < self.lease_sent + WORKER_LEASE + LAPSE_MARGIN {
            return;
        }
        let runs: Vec<RunId> = self.runs.keys().copied().collect();
        for run in runs {
            self.end(now, run, RunEnd::Gone, out);
        }
    }

    /// Stops runs that were found at the start and that no entry asked for.
    pub(super) fn stop_orphans(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let orphans: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                run.owner.is_none()
                    && run.state == State::Running
                    && now >= run.arrived + ORPHAN_GRACE
            })
            .map(|(id, _)| *id)
            .collect();
        for id in orphans {
            self.stop(now, id, "no entry asks for it", out);
        }
    }
}

impl Run {
    /// Whether its percent rises far too slowly for its estimate and for what it did so far.
    fn stands_still(&self, now: Uptime) -> bool {
        let worked = self.advanced.saturating_sub(self.started);
        let percent = f64::from(self.percent.max(1));
        let pace = self.estimate.div_f64(100.0).max(worked.div_f64(percent));
        let still = now.saturating_sub(self.advanced);
        !self.estimate.is_zero() && still > STILL_TIME.max(pace.mul_f64(STILL_PERCENTS))
    }
}
