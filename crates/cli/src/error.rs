//! Errors that an operator can act on, and exit codes.

use std::io;
use std::process::ExitCode;

use thiserror::Error;

/// Another change was first.
pub const EXIT_CONFLICT: u8 = 3;
/// The change makes no sense, or the settings are wrong.
pub const EXIT_INVALID: u8 = 4;
/// No control node answered, or none leads.
pub const EXIT_UNAVAILABLE: u8 = 5;
/// It is not known whether the change was made; resend it.
pub const EXIT_UNDECIDED: u8 = 6;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Error {
    /// Another change was first.
    #[error(
        "conflict: based on revision {base}, but it was changed at revision {changed_at}; look again and retry"
    )]
    Conflict {
        /// What the change was based on.
        base: u64,
        /// When the object last changed.
        changed_at: u64,
    },
    /// The change or file is wrong.
    #[error("{0}")]
    Invalid(String),
    /// No control node could be used.
    #[error("no control node can take this now: {0}")]
    Unavailable(String),
    /// The change's fate is open.
    #[error(
        "not known whether the change was made ({reason}); repeat it with --request-id {request_id}"
    )]
    Undecided {
        /// What to resend.
        request_id: uuid::Uuid,
        /// Why.
        reason: String,
    },
    /// Writing or reading failed here.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The exit code, with one line on standard error unless the reader went away.
pub fn exit(e: &Error) -> ExitCode {
    if matches!(e, Error::Io(e) if e.kind() == io::ErrorKind::BrokenPipe) {
        return ExitCode::SUCCESS;
    }
    eprintln!("redwingwick: {e}");
    ExitCode::from(match e {
        Error::Conflict { .. } => EXIT_CONFLICT,
        Error::Invalid(_) => EXIT_INVALID,
        Error::Unavailable(_) => EXIT_UNAVAILABLE,
        Error::Undecided { .. } => EXIT_UNDECIDED,
        Error::Io(_) => 1,
    })
}
