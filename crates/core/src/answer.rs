//! Answers to jobs: whole, or failed as a whole.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What is surely known of a failed job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// Proved: no task of this submission started.
    NotRun,
    /// Some task started or may have started.
    Unknown,
}

/// Why a job failed. Each kind is a stable problem type for callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureKind {
    /// The request could not be read.
    Malformed,
    /// The body or a payload is larger than allowed.
    TooLarge,
    /// The token is missing or wrong.
    Unauthorized,
    /// No such tenant.
    UnknownTenant,
    /// No such service.
    UnknownService,
    /// A non-idempotent request came without a key.
    KeyRequired,
    /// The key was used with another body.
    KeyConflict,
    /// The key was refused as not run before; another try needs a new key.
    KeyClosed,
    /// The key is older than the dedupe window, or from the future.
    KeyExpired,
    /// No worker is large enough.
    NeverFits,
    /// The tenant's quota is used up.
    OverQuota,
    /// The preset in force does not accept this class.
    NotAccepted,
    /// The expected wait passes the deadline, or a queue is full.
    Overloaded,
    /// No configuration yet, or no registry placement.
    NotReady,
    /// The entry is draining.
    Draining,
    /// The deadline passed.
    DeadlinePassed,
    /// The caller cancelled.
    Cancelled,
    /// A backend server answered a task with an error.
    TaskFailed,
    /// A worker with a started task was lost.
    WorkerLost,
    /// Another entry took the job over.
    TakenOver,
    /// The registry cannot tell whether the job ran before.
    OutcomeUnknown,
    /// No such job is known here.
    NoSuchJob,
}

impl FailureKind {
    /// The stable name in problem types, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::TooLarge => "too-large",
            Self::Unauthorized => "unauthorized",
            Self::UnknownTenant => "unknown-tenant",
            Self::UnknownService => "unknown-service",
            Self::KeyRequired => "key-required",
            Self::KeyConflict => "key-conflict",
            Self::KeyClosed => "key-closed",
            Self::KeyExpired => "key-expired",
            Self::NeverFits => "never-fits",
            Self::OverQuota => "over-quota",
            Self::NotAccepted => "not-accepted",
            Self::Overloaded => "overloaded",
            Self::NotReady => "not-ready",
            Self::Draining => "draining",
            Self::DeadlinePassed => "deadline-passed",
            Self::Cancelled => "cancelled",
            Self::TaskFailed => "task-failed",
            Self::WorkerLost => "worker-lost",
            Self::TakenOver => "taken-over",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::NoSuchJob => "no-such-job",
        }
    }

    /// The HTTP status that goes with it.
    pub fn http_status(self) -> u16 {
        match self {
            Self::Malformed | Self::KeyRequired | Self::KeyExpired => 400,
            Self::Unauthorized => 401,
            Self::UnknownTenant | Self::UnknownService | Self::NoSuchJob => 404,
            Self::KeyConflict | Self::KeyClosed | Self::Cancelled | Self::TakenOver => 409,
            Self::TooLarge => 413,
            Self::NeverFits => 422,
            Self::OverQuota => 429,
            Self::TaskFailed | Self::WorkerLost | Self::OutcomeUnknown => 502,
            Self::NotAccepted | Self::Overloaded | Self::NotReady | Self::Draining => 503,
            Self::DeadlinePassed => 504,
        }
    }
}

/// A job that failed as a whole.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Failure {
    /// Why.
    pub kind: FailureKind,
    /// What is known of its tasks.
    pub ran: Ran,
    /// One line for people.
    pub detail: String,
    /// Seconds after which another try makes sense, if any.
    pub retry_after_s: Option<u32>,
}

impl Failure {
    /// A failure of which it is proved that nothing started.
    pub fn not_run(kind: FailureKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            ran: Ran::NotRun,
            detail: detail.into(),
            retry_after_s: None,
        }
    }

    /// A failure after which tasks may have started.
    pub fn unknown(kind: FailureKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            ran: Ran::Unknown,
            detail: detail.into(),
            retry_after_s: None,
        }
    }

    /// The same with a hint when to try again.
    #[must_use]
    pub fn retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }
}

/// The answer to a job: every task's result in the order asked, or a failure.
pub type Answer = Result<Arc<[Arc<[u8]>]>, Failure>;
