//! `redwingwick check`.

use std::io::{self, Write};
use std::path::PathBuf;

use clap::ArgMatches;
use rw_host::settings::{self, NodeSettings};
use serde::Deserialize;

use super::Run;
use crate::app::get;
use crate::error::Error;

/// What all daemons' settings share; the programs' own `--check` knows the rest.
#[derive(Debug, Deserialize)]
struct Shared {
    node: NodeSettings,
}

/// The subcommand's arguments.
pub struct Check {
    path: PathBuf,
}

impl Check {
    /// Keeps the arguments.
    pub fn new(args: &ArgMatches) -> Self {
        Self {
            path: get(args, "file").unwrap_or_default(),
        }
    }
}

impl Run for Check {
    fn run(&self) -> Result<(), Error> {
        let invalid = |e: settings::SettingsError| Error::Invalid(e.to_string());
        let loaded = settings::load::<Shared>(&self.path).map_err(invalid)?;
        loaded.check_node(&loaded.settings.node).map_err(invalid)?;
        writeln!(io::stdout(), "{}: ok", self.path.display())?;
        Ok(())
    }
}
