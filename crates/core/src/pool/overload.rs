//! Order of waiting jobs under overload, and when a pool is overloaded.
//!
//! As long as all jobs can be answered within their aims, the one with the earliest aim goes first.
//! When more work waits than can be served in time, that order spends the room on jobs that end
//! too late. Jobs that are begun are then finished first. Jobs of queues within their share follow by
//! their latest starts, since there is room for them. Those of queues that ask for more than their
//! share come last, the ones with the least work first, so that as many of their callers as possible
//! are answered in time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Uptime;

/// A pool becomes overloaded when what waits takes longer than this to clear; most of the constant
/// part of an aim is then spent waiting.
pub const ENTER_WAIT: Duration = Duration::from_millis(50);
/// A pool stops being overloaded when what waits has taken less than this to clear for
/// [`CALM_TIME`].
pub const LEAVE_WAIT: Duration = Duration::from_millis(25);
/// See [`LEAVE_WAIT`].
pub const CALM_TIME: Duration = Duration::from_millis(250);
/// Number of levels of priority that a job gains while it waits until its latest start.
const AGING_LEVELS: f64 = 4.0;

/// Due time, from now, of tasks that cannot meet their aim: agents queue them behind those that
/// can.
const LATE_DUE: Duration = Duration::from_secs(10);
/// Due time, from now, of tasks of deferred jobs, besides the time to their aim.
const DEFERRED_DUE: Duration = Duration::from_secs(5);

/// Whether a pool is overloaded, with hysteresis.
#[derive(Clone, Debug, Default)]
pub struct OverloadGate {
    is_overloaded: bool,
    /// When the wait last was above [`LEAVE_WAIT`], or a job was refused.
    last_long: Uptime,
}

impl OverloadGate {
    /// Returns whether the pool is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Records that a job is refused for want of room: what waits would else seem to fit.
    pub fn refused(&mut self, now: Uptime) {
        self.last_long = now;
    }

    /// Takes the time that the waiting work takes to clear. Returns whether the state has changed.
    pub fn update(&mut self, now: Uptime, wait: Duration) -> bool {
        let before = self.is_overloaded;
        if wait >= LEAVE_WAIT {
            self.last_long = now;
        }
        if wait > ENTER_WAIT {
            self.is_overloaded = true;
        } else if now >= self.last_long + CALM_TIME {
            self.is_overloaded = false;
        }
        before != self.is_overloaded
    }
}

/// Priority class of a waiting job; jobs of earlier variants are placed first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Tier {
    /// Under overload: part of the job was sent, and it can meet its aim.
    Begun,
    /// Under overload: part of the job was sent, and it will be late. Given up, it would leave its
    /// caller without an answer.
    BegunLate,
    /// Under overload: the job can meet its aim, its queue gets all that it asks for, and jobs of its
    /// size or queue were served too rarely.
    Owed,
    /// The job can meet its aim.
    InTime,
    /// The job will be late, but part of it was sent: finishing it costs less than starting
    /// another.
    Started,
    /// The job can meet its aim, but its queue uses more than an equal share of an overloaded pool
    /// whose queues all have one priority.
    AboveShare,
    /// The job can meet its aim, but is not within the share of its queue.
    Deferred,
    /// The job is expected to miss its aim.
    Late,
}

/// Order of jobs within a tier.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Order {
    /// Binary logarithm of the work left, for deferred jobs; 0 for all others.
    size: u8,
    /// Priority, 0 first, for deferred jobs; 0 for all others.
    priority: u32,
    /// The aim, or under overload the latest start in time.
    time: Uptime,
}

impl Order {
    /// Orders a job by its aim or its latest start.
    pub fn by_time(time: Uptime) -> Self {
        Self {
            size: 0,
            priority: 0,
            time,
        }
    }
}

impl Tier {
    /// Returns whether the job can meet its aim, so that only workers are chosen that are expected
    /// to be fast enough.
    pub fn is_in_time(self) -> bool {
        matches!(
            self,
            Self::Begun | Self::Owed | Self::InTime | Self::Deferred
        )
    }
}

/// Returns the due time, from now, by which agents order the run of a job of this tier; `left` is
/// the time to its aim.
pub fn due_time(tier: Tier, left: Duration) -> Duration {
    match tier {
        Tier::Begun | Tier::Owed | Tier::InTime | Tier::AboveShare => left,
        Tier::BegunLate => Duration::ZERO,
        Tier::Deferred => DEFERRED_DUE + left,
        Tier::Started | Tier::Late => LATE_DUE,
    }
}

/// What a job's queue gets of a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Share {
    /// All that it asks for.
    Whole,
    /// Less than it asks for, and the job is within that.
    Within,
    /// Less than it asks for, and the job is not within that.
    Above,
}

/// A waiting job of an overloaded pool that can be in time and is not begun.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// What its queue gets of the pool.
    pub share: Share,
    /// Whether jobs of its size or queue were served too rarely.
    pub is_owed: bool,
    /// Work of it that was not sent, in core-milliseconds.
    pub work: f64,
    /// Priority of its queue.
    pub priority: u32,
    /// Time since its arrival.
    pub waited: Duration,
    /// Time from now to its latest start in time.
    pub slack: Duration,
    /// Its latest start in time.
    pub latest_start: Uptime,
}

impl Candidate {
    /// Returns the place of the job. There is room for all jobs within their queue's share, so they
    /// go in the order of their latest starts; of the others as many are served as possible.
    pub fn rank(&self) -> (Tier, Order) {
        if self.share == Share::Above {
            let order = Order {
                size: self.size(),
                priority: self.aged_priority(),
                time: self.latest_start,
            };
            return (Tier::Deferred, order);
        }
        let tier = if self.is_owed && self.share == Share::Whole {
            Tier::Owed
        } else {
            Tier::InTime
        };
        (tier, Order::by_time(self.latest_start))
    }

    /// Returns the binary logarithm of the work, or 0 for an owed job. Jobs of one size are of equal
    /// standing; priority decides between them.
    pub fn size(&self) -> u8 {
        if self.is_owed {
            return 0;
        }
        self.work.max(1.0).log2() as u8
    }

    /// Returns the priority, which rises the more of the time for a start is used up.
    fn aged_priority(&self) -> u32 {
        let waited = self.waited.as_secs_f64();
        let levels = waited / (waited + self.slack.as_secs_f64()).max(1e-3) * AGING_LEVELS;
        self.priority.saturating_sub(levels as u32)
    }
}

/// What is known about the room of a pool when a job's turn is estimated. Work is in
/// core-milliseconds, rates are in core-milliseconds per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// Rate at which this entry gets room.
    pub rate: f64,
    /// Rate of the work that callers ask of this entry.
    pub asked: f64,
    /// Waiting work that is placed before all late jobs.
    pub in_time: f64,
}

/// Times of a job that decide on its admission.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Time from now to its latest start in time; zero if it is late.
    pub slack: Duration,
    /// Time from now to its latest start of any use.
    pub useful: Duration,
}

/// Factor on the expected wait by which it must exceed the slack of a job that is refused before
/// it is late; the rate of room varies within the time of one wait.
const WAIT_MARGIN: f64 = 1.5;

impl Room {
    /// Returns the time until the work before the job is placed if its turn cannot come while an
    /// answer is of use; `None` if it may.
    ///
    /// `before` is the work of the jobs that are placed before it.
    pub fn too_late(&self, before: f64, times: Times) -> Option<Duration> {
        let turn = super::seconds(before / self.rate.max(1.0));
        if !times.slack.is_zero() && turn < super::scaled(times.slack, WAIT_MARGIN) {
            return None;
        }
        // A late job is placed after all that can be in time, also after what is still to come.
        let left = self.rate - self.asked.min(self.rate);
        let late_turn = super::seconds(before.max(self.in_time) / left.max(1.0));
        (late_turn > times.useful).then_some(turn)
    }
}
