//! Errors of the command line and their exit codes.

use std::io;
use std::process::ExitCode;

use thiserror::Error;

/// Exit code: the object was changed since the revision that the change is based on.
pub const EXIT_CONFLICT: u8 = 3;
/// Exit code: the change, the token or the settings are invalid.
pub const EXIT_INVALID: u8 = 4;
/// Exit code: no control node answered, or none leads.
pub const EXIT_UNAVAILABLE: u8 = 5;
/// Exit code: it is unknown whether the change was made; resend it with the same request id.
pub const EXIT_UNDECIDED: u8 = 6;

/// Exit code: the queue is not in the catalogue that is in force at the entry.
pub const EXIT_UNKNOWN_QUEUE: u8 = 7;
/// Exit code: the entry cannot be reached, or does not answer operators.
pub const EXIT_ENTRY: u8 = 8;

/// An error of a command.
#[derive(Debug, Error)]
pub enum Error {
    /// The object was changed since the revision that the change is based on.
    #[error(
        "conflict: the change is based on revision {base}, but its object was changed at revision {changed_at}; check the status and retry"
    )]
    Conflict {
        /// Revision that the change is based on.
        base: u64,
        /// Revision at which the object last changed.
        changed_at: u64,
    },
    /// The change, the token or a settings file is invalid, for the given reason.
    #[error("{0}")]
    Invalid(String),
    /// No control node accepted the request; holds the last reason.
    #[error("no control node accepted the request: {0}")]
    Unavailable(String),
    /// It is unknown whether the change was made.
    #[error(
        "it is unknown whether the change was made ({reason}); resend it with --request-id {request_id}"
    )]
    Undecided {
        /// Request id under which to resend the change.
        request_id: uuid::Uuid,
        /// Reason why the outcome is unknown.
        reason: String,
    },
    /// The queue is not in the catalogue that is in force at the entry; holds the entry's answer.
    #[error("{0}")]
    UnknownQueue(String),
    /// The entry cannot be reached, or does not answer operators; holds the cause.
    #[error("the entry did not answer the question: {0}")]
    Entry(String),
    /// Local input or output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Prints the error as one line on standard error and returns its exit code. A closed pipe, as when
/// the reader of the output exits early, counts as success.
pub fn report(e: &Error) -> ExitCode {
    if matches!(e, Error::Io(e) if e.kind() == io::ErrorKind::BrokenPipe) {
        return ExitCode::SUCCESS;
    }
    eprintln!("redwingwick: {e}");
    ExitCode::from(match e {
        Error::Conflict { .. } => EXIT_CONFLICT,
        Error::Invalid(_) => EXIT_INVALID,
        Error::Unavailable(_) => EXIT_UNAVAILABLE,
        Error::Undecided { .. } => EXIT_UNDECIDED,
        Error::UnknownQueue(_) => EXIT_UNKNOWN_QUEUE,
        Error::Entry(_) => EXIT_ENTRY,
        Error::Io(_) => 1,
    })
}
