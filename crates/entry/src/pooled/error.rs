//! Errors that end the daemon.

use std::io;

use thiserror::Error;

/// An error that ends the daemon.
#[derive(Debug, Error)]
pub enum EntryError {
    /// A socket or thread cannot be set up, or polling failed.
    #[error("{step}: {source}")]
    Io {
        /// The step that failed.
        step: &'static str,
        /// The cause.
        source: io::Error,
    },
}

pub(super) fn error_at(step: &'static str) -> impl FnOnce(io::Error) -> EntryError {
    move |source| EntryError::Io { step, source }
}
