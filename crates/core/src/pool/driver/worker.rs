//! The worker's announcements: which incarnation is there, what it offers, whether it leaves.

use serde::{Deserialize, Serialize};

use super::super::Uptime;
use super::super::job::{Resources, RunEnd, RunId};
use super::super::msg::{NotStarted, WorkerInfo};
use super::{Action, Driver, Name, Note, Worker};

/// What a worker says of itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum BeatState {
    /// Takes runs.
    Ready,
    /// Leaves soon and takes nothing new.
    Draining,
}

/// One announcement of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Beat {
    /// The worker's id.
    pub id: Name,
    /// When it started, by its own word, in milliseconds since 1970; 0 when it does not say.
    pub born: u64,
    /// Rises with each announcement of one incarnation.
    pub number: u64,
    /// The pool that it serves.
    pub pool: Name,
    /// What it takes.
    pub state: BeatState,
    /// All that it offers.
    pub capacity: Resources,
    /// Its kind, rack and other marks.
    pub labels: Vec<Name>,
    /// Its clock in milliseconds.
    pub clock_ms: Option<u64>,
}

/// What an announcement was taken for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BeatVerdict {
    /// The newest word of the present incarnation.
    Taken,
    /// An older word, or of an earlier incarnation; changes nothing.
    Late,
}

impl Driver {
    /// Takes an announcement.
    pub fn on_beat(&mut self, now: Uptime, beat: Beat, out: &mut Vec<Action>) -> BeatVerdict {
        let verdict = match &self.worker {
            Some(worker) if beat.born < worker.born => BeatVerdict::Late,
            Some(worker) if beat.born == worker.born && beat.id == worker.id => {
                if beat.number <= worker.beat {
                    BeatVerdict::Late
                } else {
                    self.renew(now, beat, out);
                    BeatVerdict::Taken
                }
            }
            _ => {
                self.replace(now, beat, out);
                BeatVerdict::Taken
            }
        };
        self.look(now, out);
        self.report(now, out);
        verdict
    }

    fn renew(&mut self, now: Uptime, beat: Beat, out: &mut Vec<Action>) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        worker.beat = beat.number;
        let info = WorkerInfo {
            pool: Some(beat.pool),
            capacity: beat.capacity,
            labels: beat.labels,
        };
        if worker.info != info {
            worker.info = info;
            for entry in self.entries.values_mut() {
                entry.told_info = false;
            }
        }
        if let Some(clock) = beat.clock_ms
            && worker.clock.is_none()
        {
            worker.clock = Some((clock, now));
        }
        if worker.state != beat.state {
            worker.state = beat.state;
            out.push(Action::Note(Note::WorkerState {
                id: worker.id.clone(),
                state: beat.state,
            }));
        }
        if worker.state == BeatState::Draining {
            self.refuse_queued(NotStarted::NoWorker, out);
        }
    }

    /// A new incarnation: what ran under the one before is gone.
    fn replace(&mut self, now: Uptime, beat: Beat, out: &mut Vec<Action>) {
        let before = self.worker.is_some();
        let lost = if before { self.runs.len() } else { 0 };
        if before {
            self.worker_gone(now, out);
        }
        out.push(Action::Note(Note::Worker {
            id: beat.id.clone(),
            born: beat.born,
            lost,
        }));
        self.worker = Some(Worker {
            id: beat.id,
            born: beat.born,
            info: WorkerInfo {
                pool: Some(beat.pool),
                capacity: beat.capacity,
                labels: beat.labels,
            },
            state: beat.state,
            beat: beat.number,
            clock: beat.clock_ms.map(|clock| (clock, now)),
            seen_end: 0,
            listed: false,
        });
        self.pace = 0.0;
        self.failing = 0.0;
        self.silent = false;
        self.unanswered = 0;
        for entry in self.entries.values_mut() {
            entry.told_info = false;
        }
    }

    /// The worker said that it ends now.
    pub fn on_leave(&mut self, now: Uptime, id: &str, out: &mut Vec<Action>) {
        if self.worker.as_ref().is_some_and(|worker| &*worker.id == id) {
            self.worker_gone(now, out);
            self.report(now, out);
        }
    }

    /// The incarnation has ended, and all that it ran with it.
    pub(super) fn worker_gone(&mut self, now: Uptime, out: &mut Vec<Action>) {
        self.worker = None;
        for (id, _) in std::mem::take(&mut self.calls) {
            out.push(Action::DropCall(id));
        }
        self.refuse_queued(NotStarted::NoWorker, out);
        let runs: Vec<RunId> = self.runs.keys().copied().collect();
        for run in runs {
            self.end(now, run, RunEnd::Gone, out);
        }
    }
}
