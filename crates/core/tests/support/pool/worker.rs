//! A worker that follows the platform's rules: it ends its runs when the lease expires, blocks
//! attempts that were stopped or ended, and may execute a lost call late.

use fastrand::Rng;
use indexmap::IndexMap;
use rw_core::ids::Name;
use rw_core::pool::Uptime;
use rw_core::pool::driver::{
    Call, EndedRow, Heartbeat, HeartbeatState, Reply, RunningRow, StartRefusal,
};
use rw_core::pool::job::{Resources, RunEnd, RunId, TaskId};

use super::{Duration, STEP, Workloads};

/// Capacity of each worker in thousandths of a core.
const CAPACITY: u32 = 8_000;
/// Longest lease that a worker grants, in milliseconds.
pub const MAX_LEASE: u64 = 1000;
/// A worker's clock when it starts, in milliseconds.
const FIRST_CLOCK: u64 = 5_000;

struct WorkerRun {
    needs: Resources,
    left: Duration,
    total: Duration,
    /// Whether a call to an earlier life of the worker started it.
    is_stray: bool,
}

/// A lost call that is executed late.
struct LateCall {
    at: Uptime,
    /// Start time of the life that it was sent to.
    born: u64,
    call: Call,
    token: u64,
}

/// One life of a worker.
pub struct Worker {
    pub id: Name,
    pub born: u64,
    began: Uptime,
    heartbeats: u64,
    /// Rate of its clock relative to real time.
    drift: f64,
    lease_until: u64,
    /// Highest fencing token of a call.
    token: u64,
    runs: IndexMap<RunId, WorkerRun>,
    ended: Vec<EndedRow>,
    end_count: u64,
    /// Highest attempt of each task that was stopped or ended; it and lower ones are not started.
    blocked: IndexMap<TaskId, u32>,
    late_calls: Vec<LateCall>,
    /// Until when it accepts no connections after a restart.
    pub down_until: Uptime,
    /// Until when calls to it and answers of it are lost.
    pub cut_until: [Uptime; 2],
}

impl Worker {
    pub fn new(rng: &mut Rng, now: Uptime, id: Name, born: u64, slow_clock: bool) -> Self {
        let drift = 0.98 + 0.02 * rng.f64();
        Self {
            id,
            born,
            began: now,
            heartbeats: 0,
            drift: if slow_clock { 0.98 } else { drift },
            lease_until: 0,
            token: 0,
            runs: IndexMap::new(),
            ended: Vec::new(),
            end_count: 0,
            blocked: IndexMap::new(),
            late_calls: Vec::new(),
            down_until: now,
            cut_until: [now; 2],
        }
    }

    /// Starts again under the same id, with nothing left but the calls that are still under way.
    pub fn restart(&mut self, now: Uptime, born: u64, down_until: Uptime) {
        *self = Self {
            id: self.id.clone(),
            born,
            began: now,
            heartbeats: 0,
            drift: self.drift,
            lease_until: 0,
            token: 0,
            runs: IndexMap::new(),
            ended: Vec::new(),
            end_count: 0,
            blocked: IndexMap::new(),
            late_calls: std::mem::take(&mut self.late_calls),
            down_until,
            cut_until: self.cut_until,
        };
    }

    pub fn runs(&self) -> impl Iterator<Item = &RunId> {
        self.runs.keys()
    }

    pub fn clock(&self, now: Uptime) -> u64 {
        let time = now.saturating_sub(self.began).as_secs_f64();
        (time * 1000.0 * self.drift) as u64 + FIRST_CLOCK
    }

    pub fn heartbeat(&mut self, now: Uptime) -> Heartbeat {
        self.heartbeats += 1;
        Heartbeat {
            id: self.id.clone(),
            start_time_ms: self.born,
            number: self.heartbeats,
            pool: "p".into(),
            state: HeartbeatState::Ready,
            capacity: Resources {
                cpu_milli: CAPACITY,
                memory_mb: 1000,
                accelerators: 0,
            },
            labels: vec!["r1".into()],
            clock_ms: Some(self.clock(now)),
            cold_left: Duration::ZERO,
        }
    }

    /// Leaves a call unanswered and executes it at this time.
    pub fn execute_late(&mut self, at: Uptime, call: Call, token: u64) {
        let born = self.born;
        let late = LateCall {
            at,
            born,
            call,
            token,
        };
        self.late_calls.push(late);
    }

    fn end(&mut self, run: RunId, end: RunEnd) {
        self.runs.shift_remove(&run);
        self.end_count += 1;
        let number = self.end_count;
        self.ended.push(EndedRow { number, run, end });
        let highest = self.blocked.entry(run.task).or_default();
        *highest = (*highest).max(run.attempt);
    }

    /// Executes the late calls that are due, and returns the starts of earlier lives among them
    /// with their replies; then ends the runs that are complete or have no lease.
    pub fn step(&mut self, now: Uptime, workloads: &Workloads) -> Vec<(RunId, Reply)> {
        let mut strays = Vec::new();
        if now >= self.down_until {
            let calls = std::mem::take(&mut self.late_calls);
            let (due, later) = calls.into_iter().partition(|late| now >= late.at);
            self.late_calls = later;
            for late in due {
                let is_stray = late.born != self.born;
                let reply = self.execute(now, &late.call, late.token, is_stray, workloads);
                if let Call::Start { run, .. } = late.call
                    && is_stray
                {
                    strays.push((run, reply));
                }
            }
        }
        let completed: Vec<RunId> = self
            .runs
            .iter_mut()
            .filter_map(|(id, run)| {
                run.left = run.left.saturating_sub(STEP);
                run.left.is_zero().then_some(*id)
            })
            .collect();
        for run in completed {
            self.end(run, RunEnd::Done);
        }
        if self.clock(now) > self.lease_until {
            for run in self.runs.keys().copied().collect::<Vec<_>>() {
                self.end(run, RunEnd::Gone);
            }
        }
        strays
    }

    fn extend_lease(&mut self, now: Uptime, deadline: u64) {
        let limit = self.clock(now) + MAX_LEASE;
        self.lease_until = self.lease_until.max(deadline.min(limit));
    }

    /// Executes a call. `is_stray` is whether it was sent to an earlier life.
    pub fn execute(
        &mut self,
        now: Uptime,
        call: &Call,
        token: u64,
        is_stray: bool,
        workloads: &Workloads,
    ) -> Reply {
        if token < self.token {
            return Reply::Fenced;
        }
        self.token = token;
        match call {
            Call::Start {
                run, deadline_ms, ..
            } => self.start(now, *run, *deadline_ms, is_stray, workloads),
            Call::Stop { run } => {
                if self.runs.contains_key(run) {
                    self.end(*run, RunEnd::Gone);
                }
                let highest = self.blocked.entry(run.task).or_default();
                *highest = (*highest).max(run.attempt);
                Reply::Stopped
            }
            Call::List {
                last_end_number,
                deadline_ms,
                ..
            } => {
                if let Some(deadline) = deadline_ms {
                    self.extend_lease(now, *deadline);
                }
                self.ended.retain(|row| row.number > *last_end_number);
                self.lists()
            }
            Call::Identify { .. } => self.lists(),
        }
    }

    fn lists(&self) -> Reply {
        let percent = |run: &WorkerRun| {
            (100.0 * (1.0 - run.left.as_secs_f64() / run.total.as_secs_f64())) as u8
        };
        let running = self.runs.iter().map(|(id, run)| RunningRow {
            run: *id,
            percent: percent(run),
        });
        Reply::Lists {
            start_time_ms: Some(self.born),
            running: running.collect(),
            is_complete: true,
            ended: self.ended.clone(),
        }
    }

    fn start(
        &mut self,
        now: Uptime,
        run: RunId,
        deadline: u64,
        is_stray: bool,
        workloads: &Workloads,
    ) -> Reply {
        if self.clock(now) > deadline {
            return Reply::Refused(StartRefusal::DeadlinePassed);
        }
        if self.runs.contains_key(&run) {
            return Reply::Started;
        }
        if self
            .blocked
            .get(&run.task)
            .is_some_and(|highest| run.attempt <= *highest)
        {
            return Reply::Refused(StartRefusal::OldAttempt);
        }
        self.extend_lease(now, deadline);
        let (needs, work) = workloads[&run.task.job];
        let used: u32 = self.runs.values().map(|run| run.needs.cpu_milli).sum();
        if used + needs.cpu_milli > CAPACITY {
            // Its agent cannot know of what a call to an earlier life has started.
            let has_strays = is_stray || self.runs.values().any(|run| run.is_stray);
            assert!(
                has_strays,
                "the start of {run} exceeds the capacity of its worker"
            );
            return Reply::Refused(StartRefusal::NoCapacity);
        }
        let run_state = WorkerRun {
            needs,
            left: work,
            total: work,
            is_stray,
        };
        self.runs.insert(run, run_state);
        Reply::Started
    }
}
