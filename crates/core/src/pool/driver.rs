//! The decisions of an agent that drives one worker over its calls: start, stop, and a list of what
//! runs and what ended, which also renews the worker's lease.
//!
//! The worker is the truth about what runs. A start without an answer may be carried out later: it
//! is settled by a stop of that run, which bars it, and a list that was asked for afterwards.

mod call;
mod lists;
mod note;
mod owners;
mod starts;
mod worker;

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::Uptime;
use super::job::{Resources, RunEnd, RunId};
use super::msg::{NotStarted, Room, ToEntry, WorkerInfo};
use crate::ids::{Name, NodeRef};

pub use call::{Call, EndedRow, Reply, RunningRow, StartRefusal};
pub use note::Note;
pub use worker::{Beat, BeatState, BeatVerdict};

/// A call is given up after this many times the usual time of an answer and a margin for the
/// scheduling of both processes, within these limits. What is given up is settled by a stop.
const ANSWER_TIMES: u32 = 6;
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(25);
const MAX_CALL_TIMEOUT: Duration = Duration::from_millis(150);
/// Time that a list waits for an end while something runs: ends are not seen for so long if the
/// list gets no answer.
const LIST_WAIT: Duration = Duration::from_millis(50);
/// The same while calls are lost.
const LOSSY_LIST_WAIT: Duration = Duration::from_millis(20);
/// Calls are taken to be lost now and then for this long after one was.
const LOSSY_TIME: Duration = Duration::from_secs(3);
/// A start is carried out within this time or not at all.
const START_WINDOW: Duration = Duration::from_millis(500);
/// Calls without an answer, none answered since, after which a worker gets no new run.
const SILENT_AFTER: u32 = 3;
/// ... and only if its last answer is this old.
const SILENT_TIME: Duration = Duration::from_millis(80);
/// Time between two looks at a silent worker.
const SILENT_LOOK: Duration = Duration::from_millis(150);
/// Runs found at the start that no entry asks for are stopped after this time.
const ORPHAN_GRACE: Duration = Duration::from_millis(150);
/// Ends that no entry could be told are remembered for this long.
const REMEMBER_ENDS: Duration = Duration::from_secs(3);
/// Runs that may wait here for room.
const MAX_QUEUED: usize = 24;
/// Room that was freed is told at once to so many entries in which tasks wait, in turn.
const TELL_AT_ONCE: usize = 2;
/// Time between two reports of room to an entry in which tasks wait.
const REPORT_WAITING: Duration = Duration::from_millis(12);
/// Time between two reports of room that changed a lot, and of room that changed at all.
const REPORT_EVERY: Duration = Duration::from_millis(25);
const REPORT_SLOWLY: Duration = Duration::from_millis(100);
/// Room changed a lot when this part of the worker's cores was taken or freed.
const MUCH_ROOM: u32 = 6;
/// What was learned of a worker's pace counts in full for this long, and half after each half-life.
const PACE_KEPT: Duration = Duration::from_secs(1);
const PACE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Learning of a worker's pace and failures.
const LEARN: f32 = 0.2;
/// The same for a run that is done on a worker whose share of failures is above a limit.
const LEARN_RECOVERY: f32 = 0.4;
const FAILING_A_LOT: f32 = 0.25;

/// What the agent's adapter has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send to the entry of this name.
    Send(Name, ToEntry),
    /// Call the worker; the number pairs the answer.
    Call(u64, Call),
    /// Nothing more is expected of this call; end its connection.
    DropCall(u64),
    /// End the link of the entry of this name, so that it learns that its runs are stopped.
    DropLink(Name),
    /// Log and count.
    Note(Note),
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    /// Waits here for room.
    Queued,
    /// The order is on its way.
    Starting,
    /// Runs.
    Running,
    /// Whether it runs is not known: the start got no answer. A stop is to settle it.
    Unknown,
    /// Ordered to stop.
    Stopping,
}

#[derive(Debug)]
struct Run {
    /// The entry process; `None` for runs found at the start.
    owner: Option<NodeRef>,
    state: State,
    needs: Resources,
    estimate: Duration,
    payload: Arc<str>,
    /// The aim's time; orders waiting runs.
    due: Uptime,
    /// How long it may wait here for room.
    patience: Duration,
    /// When it came here.
    arrived: Uptime,
    /// When the worker was told to start it.
    ordered: Uptime,
    /// When the worker said that it runs.
    started: Uptime,
    percent: u8,
    /// When the percent last rose.
    advanced: Uptime,
    /// Run time after which the entry is told again that it is behind.
    tell_behind: Duration,
    /// When the entry is told again that it stands still.
    tell_still: Uptime,
    /// Whether its pace was learned before its end.
    judged: bool,
    /// When a stop was answered; lists that were asked for later tell the truth about it.
    stop_answered: Option<Uptime>,
    /// Whether a stop is on its way.
    stop_call: bool,
    next_stop: Uptime,
}

#[derive(Debug)]
struct Entry {
    node: NodeRef,
    linked: bool,
    heard: Uptime,
    /// Starts received on the present link.
    seen: u64,
    /// Tasks that wait there.
    waiting: u32,
    reported: Option<(Uptime, Room)>,
    told_info: bool,
}

#[derive(Debug)]
struct Worker {
    id: Name,
    born: u64,
    info: WorkerInfo,
    state: BeatState,
    beat: u64,
    /// Its clock, and when it was read; the truth is never behind this.
    clock: Option<(u64, Uptime)>,
    seen_end: u64,
    /// Whether its lists were read once.
    listed: bool,
}

#[derive(Clone, Debug)]
struct Pending {
    call: Call,
    sent: Uptime,
    timeout: Uptime,
}

/// One agent's decisions on its worker.
#[derive(Debug)]
pub struct Driver {
    began: Uptime,
    lease: Duration,
    /// The usual time of an answer to a start or stop.
    answer_time: Duration,
    /// When a call last got no answer.
    lost_call: Option<Uptime>,
    worker: Option<Worker>,
    runs: IndexMap<RunId, Run>,
    entries: IndexMap<Name, Entry>,
    calls: IndexMap<u64, Pending>,
    next_call: u64,
    /// When a call that extends the worker's lease was last sent.
    lease_sent: Uptime,
    unanswered: u32,
    last_answer: Uptime,
    silent: bool,
    next_look: Uptime,
    /// Entry that is told of freed room first next time.
    turn: usize,
    /// Ends that could not be told.
    ended: IndexMap<RunId, (RunEnd, u32, Uptime)>,
    pace: f32,
    pace_learned: Uptime,
    failing: f32,
    leaving: bool,
}

impl Driver {
    /// An agent process that just started. `lease` is the longest that the worker grants.
    pub fn new(now: Uptime, lease: Duration) -> Self {
        Self {
            began: now,
            lease: lease.min(super::LEASE),
            answer_time: Duration::from_millis(1),
            lost_call: None,
            worker: None,
            runs: IndexMap::new(),
            entries: IndexMap::new(),
            calls: IndexMap::new(),
            next_call: 1,
            lease_sent: now,
            unanswered: 0,
            last_answer: now,
            silent: false,
            next_look: now,
            turn: 0,
            ended: IndexMap::new(),
            pace: 0.0,
            pace_learned: now,
            failing: 0.0,
            leaving: false,
        }
    }

    /// The worker's id, if one is known.
    pub fn worker_id(&self) -> Option<&Name> {
        self.worker.as_ref().map(|worker| &worker.id)
    }

    /// Whether nothing runs or waits here.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Runs here.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// The process is to end: nothing new is started.
    pub fn leave(&mut self, out: &mut Vec<Action>) {
        self.leaving = true;
        self.refuse_queued(NotStarted::NoWorker, out);
    }

    /// Acts on the passing of time, then reports.
    pub fn tick(&mut self, now: Uptime, out: &mut Vec<Action>) {
        self.expire_calls(now, out);
        self.drop_silent_entries(now, out);
        self.end_lapsed(now, out);
        self.stop_orphans(now, out);
        self.retry_stops(now, out);
        self.start_queued(now, out);
        self.look(now, out);
        self.ended.retain(|_, (_, _, at)| now < *at + REMEMBER_ENDS);
        self.report(now, out);
    }

    /// When [`Driver::tick`] should be called next at the latest.
    pub fn next_tick(&self, now: Uptime) -> Duration {
        if self.runs.is_empty() && self.calls.is_empty() {
            return super::PING_EVERY;
        }
        let soonest = self.calls.values().map(|pending| pending.timeout).min();
        let limit = REPORT_WAITING;
        soonest.map_or(limit, |at| at.saturating_sub(now).min(limit))
    }

    /// Room that no run takes.
    fn free(&self) -> Resources {
        let Some(worker) = &self.worker else {
            return Resources::default();
        };
        let running = self.runs.values().filter(|run| run.state != State::Queued);
        running.fold(worker.info.capacity, |free, run| free.minus(run.needs))
    }

    /// Whether the worker may be given runs.
    fn open(&self) -> bool {
        let ready = |worker: &Worker| worker.listed && worker.state == BeatState::Ready;
        !self.leaving
            && !self.silent
            && !self.has_orphans()
            && self.worker.as_ref().is_some_and(ready)
    }

    /// Whether runs of an earlier process are left that no entry has asked for.
    fn has_orphans(&self) -> bool {
        self.runs.values().any(|run| run.owner.is_none())
    }

    fn call(&mut self, now: Uptime, call: Call, timeout: Duration, out: &mut Vec<Action>) {
        let id = self.next_call;
        self.next_call += 1;
        let pending = Pending {
            call: call.clone(),
            sent: now,
            timeout: now + timeout,
        };
        self.calls.insert(id, pending);
        out.push(Action::Call(id, call));
    }

    /// Time for the answer to a call.
    fn call_timeout(&self) -> Duration {
        let usual = self.answer_time * ANSWER_TIMES + ANSWER_MARGIN;
        usual.clamp(MIN_CALL_TIMEOUT, MAX_CALL_TIMEOUT)
    }

    /// The worker's clock now, or a little before.
    fn worker_clock(&self, now: Uptime) -> Option<u64> {
        let (clock, read) = self.worker.as_ref()?.clock?;
        Some(clock + now.saturating_sub(read).as_millis() as u64)
    }

    /// The answer to a call. `clock_ms` is the worker's clock in it.
    pub fn on_reply(
        &mut self,
        now: Uptime,
        id: u64,
        reply: Reply,
        clock_ms: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.calls.swap_remove(&id) else {
            return;
        };
        if matches!(reply, Reply::NotSent | Reply::Unknown) {
            self.on_no_answer(now, &pending, reply == Reply::NotSent, out);
        } else {
            self.on_answer(now, pending, reply, clock_ms, out);
        }
        self.start_queued(now, out);
        self.look(now, out);
        self.report(now, out);
    }

    fn on_answer(
        &mut self,
        now: Uptime,
        pending: Pending,
        reply: Reply,
        clock_ms: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        self.unanswered = 0;
        self.last_answer = now;
        if std::mem::take(&mut self.silent) {
            out.push(Action::Note(Note::Heard));
        }
        if reply == Reply::OtherWorker {
            self.worker_gone(now, out);
            return;
        }
        if !matches!(pending.call, Call::List { .. }) {
            let took = now.saturating_sub(pending.sent);
            self.answer_time = (self.answer_time * 7 + took) / 8;
        }
        if let (Some(worker), Some(clock)) = (&mut self.worker, clock_ms) {
            worker.clock = Some((clock, now));
        }
        match (pending.call, reply) {
            (Call::Start { run, .. }, Reply::Started) => self.on_started(now, run),
            (Call::Start { run, .. }, Reply::Refused(why)) => {
                self.on_start_refused(now, run, why, out);
            }
            (Call::Stop { run }, _) => self.on_stop_answered(now, run),
            (
                Call::List { .. },
                Reply::Lists {
                    born,
                    running,
                    ended,
                },
            ) => self.on_lists(now, pending.sent, born, &running, &ended, out),
            (Call::Start { run, .. }, _) => self.on_start_unanswered(now, run, pending.sent, out),
            (Call::List { .. }, _) => {}
        }
    }

    fn on_no_answer(
        &mut self,
        now: Uptime,
        pending: &Pending,
        not_sent: bool,
        out: &mut Vec<Action>,
    ) {
        self.unanswered += 1;
        self.lost_call = Some(now);
        // A connection that is refused says at once that nobody is there.
        let quiet = not_sent || now.saturating_sub(self.last_answer) >= SILENT_TIME;
        if !self.silent && self.unanswered >= SILENT_AFTER && quiet {
            self.silent = true;
            self.next_look = now + SILENT_LOOK / 3;
            out.push(Action::Note(Note::Silent {
                calls: self.unanswered,
                since: now.saturating_sub(self.last_answer),
            }));
            self.refuse_queued(NotStarted::NoWorker, out);
        }
        match &pending.call {
            Call::Start { run, .. } if not_sent => {
                self.refuse(*run, NotStarted::NoWorker, out);
            }
            Call::Start { run, .. } => self.on_start_unanswered(now, *run, pending.sent, out),
            Call::Stop { run } => {
                if let Some(run) = self.runs.get_mut(run) {
                    run.stop_call = false;
                }
            }
            Call::List { .. } => {}
        }
    }

    fn expire_calls(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let due: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, pending)| now >= pending.timeout)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            out.push(Action::DropCall(id));
            if let Some(pending) = self.calls.swap_remove(&id) {
                self.on_no_answer(now, &pending, false, out);
            }
        }
    }

    /// Tells the owner that a run was not started, and forgets it.
    fn refuse(&mut self, run: RunId, reason: NotStarted, out: &mut Vec<Action>) {
        let Some(gone) = self.runs.swap_remove(&run) else {
            return;
        };
        out.push(Action::Note(Note::Refused { run, reason }));
        if let Some(owner) = gone.owner {
            // The entry believed that there was room: it is told better at once.
            if let Some(entry) = self.entries.get_mut(&owner.name) {
                entry.reported = None;
            }
            self.send(&owner, ToEntry::Refused { run, reason }, out);
        }
    }

    fn refuse_queued(&mut self, reason: NotStarted, out: &mut Vec<Action>) {
        let queued = |(_, run): &(&RunId, &Run)| run.state == State::Queued;
        let runs: Vec<RunId> = self.runs.iter().filter(queued).map(|(id, _)| *id).collect();
        for run in runs {
            self.refuse(run, reason, out);
        }
    }

    /// Tells the owner that a run ended, and forgets it.
    fn end(&mut self, now: Uptime, run: RunId, end: RunEnd, out: &mut Vec<Action>) {
        let Some(gone) = self.runs.swap_remove(&run) else {
            return;
        };
        let ran = now.saturating_sub(gone.started);
        self.learn(now, &gone, end, ran);
        out.push(Action::Note(Note::Ended { run, end, ran }));
        let ran_ms = ran.as_millis() as u32;
        let Some(owner) = gone.owner else {
            self.ended.insert(run, (end, ran_ms, now));
            return;
        };
        if !self.send(&owner, ToEntry::Ended { run, end, ran_ms }, out) {
            self.ended.insert(run, (end, ran_ms, now));
        }
    }

    fn learn(&mut self, now: Uptime, run: &Run, end: RunEnd, ran: Duration) {
        let failed = match end {
            RunEnd::Done => 0.0,
            RunEnd::Failed => 1.0,
            RunEnd::Gone => return,
        };
        // A worker that failed a lot is tried with few runs, so each that is done says more.
        let recovers = end == RunEnd::Done && self.failing > FAILING_A_LOT;
        let rate = if recovers { LEARN_RECOVERY } else { LEARN };
        self.failing += rate * (failed - self.failing);
        if end == RunEnd::Done && !run.judged {
            self.learn_pace(now, run.estimate, ran);
        }
    }

    /// What was learned of the worker's pace. It fades while nothing new is learned, so that a worker
    /// that was slow is tried again.
    fn pace(&self, now: Uptime) -> f32 {
        let idle = now
            .saturating_sub(self.pace_learned)
            .saturating_sub(PACE_KEPT);
        let halves = idle.as_secs_f32() / PACE_HALF_LIFE.as_secs_f32();
        self.pace * 0.5_f32.powf(halves)
    }

    fn learn_pace(&mut self, now: Uptime, estimate: Duration, ran: Duration) {
        if estimate.is_zero() || ran.is_zero() {
            return;
        }
        let ratio = (ran.as_secs_f32() / estimate.as_secs_f32()).ln();
        self.pace = self.pace(now);
        self.pace_learned = now;
        self.pace += LEARN * (ratio.clamp(-3.0, 3.0) - self.pace);
    }

    /// Sends to the entry process if it is linked.
    fn send(&self, to: &NodeRef, msg: ToEntry, out: &mut Vec<Action>) -> bool {
        let linked = self
            .entries
            .get(&to.name)
            .is_some_and(|entry| entry.linked && entry.node == *to);
        if linked {
            out.push(Action::Send(to.name.clone(), msg));
        }
        linked
    }
}
