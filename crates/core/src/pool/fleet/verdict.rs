//! Whether a worker is suitable for a task, and otherwise why not. The choice of a worker and its
//! explanation use the same verdict.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::super::job::Resources;
use super::super::{Uptime, scaled};
use super::choice::{IN_TIME_SHARE, Need};
use super::{Fleet, Worker};
use crate::ids::Name;

/// Whether a worker is suitable for a task; otherwise the first requirement that it does not meet.
/// Later variants are nearer to being suitable: they meet the requirements of the earlier ones.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "verdict")]
pub enum WorkerVerdict {
    /// Its agent is not linked, or has not described it yet.
    Unlinked,
    /// It serves another pool.
    WrongPool,
    /// It lacks the label that the task requires.
    NoLabel,
    /// Its failure domain is evacuated.
    Evacuated,
    /// Its agent accepts no runs: it drains, its worker does not answer, or it has not reported yet.
    Closed,
    /// It fails too often and is not due for a try.
    Ejected {
        /// Time until it may be tried; 0 if a run that tries it is at work.
        #[serde(rename = "for_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        left: Duration,
    },
    /// It refused a start a short time ago.
    Avoided {
        /// Time until it gets runs again; 0 if that is at its next report.
        #[serde(rename = "for_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        left: Duration,
    },
    /// Its free capacity is too small.
    NoRoom,
    /// Its free capacity would do, but is promised to other entries.
    Reserved,
    /// It has started a short time ago and has as many runs as it may have.
    Cold,
    /// The task is expected to end too late on it.
    TooSlow {
        /// Expected run time.
        #[serde(rename = "expected_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        expected: Duration,
        /// Time to the aim.
        #[serde(rename = "aim_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        aim: Duration,
    },
    /// It has room for so few such tasks, none of it promised to this entry, that a start would
    /// often be refused.
    Unpromised,
    /// It may be chosen.
    Suitable {
        /// Its score without the random part; the lowest is the best.
        score: f64,
        /// Expected run time.
        #[serde(rename = "expected_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        expected: Duration,
    },
}

impl WorkerVerdict {
    /// Returns the order of nearness to being suitable; suitable ones come last.
    pub fn nearness(&self) -> u8 {
        match self {
            Self::Unlinked => 0,
            Self::WrongPool => 1,
            Self::NoLabel => 2,
            Self::Evacuated => 3,
            Self::Closed => 4,
            Self::Ejected { .. } => 5,
            Self::Avoided { .. } => 6,
            Self::NoRoom => 7,
            Self::Reserved => 8,
            Self::Cold => 9,
            Self::TooSlow { .. } => 10,
            Self::Unpromised => 11,
            Self::Suitable { .. } => 12,
        }
    }

    /// Returns a description of the kind, for operators.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Unlinked => "not linked to this entry",
            Self::WrongPool => "serves another pool",
            Self::NoLabel => "lacks the label",
            Self::Evacuated => "failure domain evacuated",
            Self::Closed => "accepts no runs: draining, or not ready",
            Self::Ejected { .. } => "ejected since it fails too often",
            Self::Avoided { .. } => "refused a start a short time ago",
            Self::NoRoom => "no room",
            Self::Reserved => "room is promised to other entries",
            Self::Cold => "just started, has as many runs as it may have",
            Self::TooSlow { .. } => "too slow for the aim",
            Self::Unpromised => "little room, not promised to this entry",
            Self::Suitable { .. } => "suitable",
        }
    }

    /// Returns the score of a suitable worker, and 0 for the others.
    fn score(&self) -> f64 {
        match self {
            Self::Suitable { score, .. } => *score,
            _ => 0.0,
        }
    }
}

/// What the workers of a pool are measured by.
#[derive(Clone, Copy, Debug)]
pub(super) struct Measures {
    /// Median ratio of run time to estimate.
    pub(super) median: f64,
    /// Factor on the run time of a task outside the rack of its data.
    pub(super) other_rack_factor: f64,
    /// Needs of the large tasks for which room is to be left, if any.
    pub(super) large: Option<Resources>,
}

/// A worker as a candidate for a task.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CandidateRow {
    /// The worker.
    pub worker: Name,
    /// Whether it is suitable.
    #[serde(flatten)]
    pub verdict: WorkerVerdict,
    /// Free CPU in thousandths of a core, to whomever it is promised.
    pub free_cpu_milli: u32,
    /// CPU that this entry may use, in thousandths of a core.
    pub obtainable_cpu_milli: u32,
    /// Age of the report behind these figures.
    #[serde(rename = "age_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

impl Worker {
    /// Returns whether it is suitable for a task now.
    ///
    /// Never [`WorkerVerdict::Reserved`] or [`WorkerVerdict::Unpromised`], which the choice of a
    /// worker does not distinguish.
    pub(super) fn verdict(&self, now: Uptime, need: Need<'_>, measures: Measures) -> WorkerVerdict {
        let needs = need.step.needs;
        if self.down_since.is_some() || self.info.is_none() {
            return WorkerVerdict::Unlinked;
        }
        if !self.serves(need.pool) {
            return WorkerVerdict::WrongPool;
        }
        if !need.step.label.as_ref().is_none_or(|l| self.has_label(l)) {
            return WorkerVerdict::NoLabel;
        }
        if self.evacuated {
            return WorkerVerdict::Evacuated;
        }
        if !self.report.open {
            return WorkerVerdict::Closed;
        }
        if !self.may_be_tried(now) {
            let until = self.ejected_until.unwrap_or(now);
            return WorkerVerdict::Ejected {
                left: until.saturating_sub(now),
            };
        }
        if !self.accepts_runs(now) {
            return WorkerVerdict::Avoided {
                left: self.avoid_until.saturating_sub(now),
            };
        }
        if !needs.fits(self.obtainable()) {
            return WorkerVerdict::NoRoom;
        }
        if !self.is_warm_enough(now) {
            return WorkerVerdict::Cold;
        }
        let factor = self.expected_run_factor(now, need.step, measures.other_rack_factor);
        let expected = scaled(need.step.estimate, factor);
        match need.in_time {
            Some(aim) if expected > scaled(aim, IN_TIME_SHARE) => {
                WorkerVerdict::TooSlow { expected, aim }
            }
            _ => WorkerVerdict::Suitable {
                score: factor / measures.median * self.score_factor(needs, measures.large),
                expected,
            },
        }
    }
}

impl Fleet {
    /// Returns what the workers are measured by for a task.
    pub(super) fn measures(&self, need: Need<'_>) -> Measures {
        Measures {
            median: self.median_factor(need.pool),
            other_rack_factor: self.other_rack_factor,
            large: self.large_needs_for(need),
        }
    }

    /// Returns all workers as candidates for a task: the suitable ones first, the best of them
    /// first, then the others by how near they are to being suitable.
    pub fn candidates(&self, now: Uptime, need: Need<'_>) -> Vec<CandidateRow> {
        let measures = self.measures(need);
        let needs = need.step.needs;
        let row = |(name, worker): (&Name, &Worker)| {
            let mut verdict = worker.verdict(now, need, measures);
            let may_be_chosen = worker.is_safe(needs) || worker.may_be_asked(needs);
            match verdict {
                WorkerVerdict::Suitable { .. } if !may_be_chosen => {
                    verdict = WorkerVerdict::Unpromised;
                }
                WorkerVerdict::NoRoom if needs.fits(worker.free()) => {
                    verdict = WorkerVerdict::Reserved;
                }
                _ => {}
            }
            CandidateRow {
                worker: name.clone(),
                verdict,
                free_cpu_milli: worker.free().cpu_milli,
                obtainable_cpu_milli: worker.obtainable().cpu_milli,
                age: now.saturating_sub(worker.reported),
            }
        };
        let mut rows: Vec<CandidateRow> = self.workers.iter().map(row).collect();
        rows.sort_by(|a, b| {
            let nearness = b.verdict.nearness().cmp(&a.verdict.nearness());
            nearness.then_with(|| a.verdict.score().total_cmp(&b.verdict.score()))
        });
        rows
    }

    /// Returns the evacuated failure domains.
    pub fn evacuated_domains(&self) -> impl Iterator<Item = &Name> {
        self.evacuated.iter()
    }
}
