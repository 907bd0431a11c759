//! `redwingwick man`.

use std::path::PathBuf;

use clap::ArgMatches;

use super::Run;
use crate::app::{self, get};
use crate::error::Error;

/// The subcommand's arguments.
pub struct Man {
    folder: PathBuf,
}

impl Man {
    /// Keeps the arguments.
    pub fn new(args: &ArgMatches) -> Self {
        Self {
            folder: get(args, "folder").unwrap_or_default(),
        }
    }
}

impl Run for Man {
    fn run(&self) -> Result<(), Error> {
        clap_mangen::generate_to(app::build(), &self.folder)?;
        Ok(())
    }
}
