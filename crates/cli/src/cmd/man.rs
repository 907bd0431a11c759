//! `redwingwick man`: writes man pages.

use std::path::PathBuf;

use clap::ArgMatches;

use super::Subcommand;
use crate::app::{self, get};
use crate::error::Error;

/// The subcommand `man`.
pub struct Man {
    dir: PathBuf,
}

impl Man {
    /// Creates the subcommand from its parsed arguments.
    pub fn new(args: &ArgMatches) -> Self {
        Self {
            dir: get(args, "folder").unwrap_or_default(),
        }
    }
}

impl Subcommand for Man {
    fn run(&self) -> Result<(), Error> {
        clap_mangen::generate_to(app::build(), &self.dir)?;
        Ok(())
    }
}
