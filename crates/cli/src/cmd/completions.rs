//! `redwingwick completions`: prints shell completions.

use std::io::{self, Write};

use clap::ArgMatches;
use clap_complete::Shell;

use super::Subcommand;
use crate::app::{self, get};
use crate::error::Error;

/// The subcommand `completions`.
pub struct Completions {
    shell: Option<Shell>,
}

impl Completions {
    /// Creates the subcommand from its parsed arguments.
    pub fn new(args: &ArgMatches) -> Self {
        Self {
            shell: get(args, "shell"),
        }
    }
}

impl Subcommand for Completions {
    fn run(&self) -> Result<(), Error> {
        let Some(shell) = self.shell else {
            return Ok(());
        };
        let mut buf = Vec::new();
        clap_complete::generate(shell, &mut app::build(), "redwingwick", &mut buf);
        io::stdout().write_all(&buf)?;
        Ok(())
    }
}
