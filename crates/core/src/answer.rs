//! Answers to jobs: the results of all tasks, or one failure for the whole job.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Whether tasks of a failed job may have started.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunCertainty {
    /// Provably no task of this submission started.
    NotRun,
    /// A task started or may have started.
    Unknown,
}

/// The reason of a job's failure; each kind is a stable problem type for callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureKind {
    /// The request could not be read.
    Malformed,
    /// The body or a payload is larger than allowed.
    TooLarge,
    /// The token is missing or wrong.
    Unauthorized,
    /// The tenant is not in the configuration.
    UnknownTenant,
    /// The service is not in the configuration.
    UnknownService,
    /// A request for a non-idempotent service has no idempotency key.
    KeyRequired,
    /// The key was used before with another request.
    KeyConflict,
    /// The job was refused before without running, which closed the key; a retry needs a new key.
    KeyClosed,
    /// The key was created before the dedupe window or in the future.
    KeyExpired,
    /// No worker is large enough for the job's tasks.
    NeverFits,
    /// The tenant's quota is used up.
    OverQuota,
    /// The preset in force does not accept jobs of this class.
    NotAccepted,
    /// The expected wait exceeds the deadline, or a queue is full.
    Overloaded,
    /// The entry has no configuration yet, or the registry has no placement.
    NotReady,
    /// The entry is draining.
    Draining,
    /// The deadline passed.
    DeadlinePassed,
    /// The caller cancelled the job.
    Cancelled,
    /// A backend server answered a task with an error.
    TaskFailed,
    /// A worker was lost on which a task had started or may have started.
    WorkerLost,
    /// Another entry took over the job.
    TakenOver,
    /// The registry cannot tell whether the job ran before.
    OutcomeUnknown,
    /// The entry does not know the job.
    NoSuchJob,
}

impl FailureKind {
    /// Returns the stable name used in problem types, logs and metrics.
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

    /// Returns the HTTP status code of the answer.
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

/// The failure of a whole job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Failure {
    /// The reason.
    pub kind: FailureKind,
    /// Whether tasks may have started.
    pub ran: RunCertainty,
    /// One line of text for the caller's developers or operators.
    pub detail: String,
    /// Seconds after which a retry may succeed; `None` if no time is known.
    pub retry_after_s: Option<u32>,
}

impl Failure {
    /// Returns a failure for a job of which provably no task started.
    pub fn not_run(kind: FailureKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            ran: RunCertainty::NotRun,
            detail: detail.into(),
            retry_after_s: None,
        }
    }

    /// Returns a failure for a job of which tasks may have started.
    pub fn unknown(kind: FailureKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            ran: RunCertainty::Unknown,
            detail: detail.into(),
            retry_after_s: None,
        }
    }

    /// Returns the same failure with a hint to retry after `seconds`.
    #[must_use]
    pub fn retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }
}

/// The answer to a job: every task's result in the order of the request, or a failure.
pub type Answer = Result<Arc<[Arc<[u8]>]>, Failure>;
