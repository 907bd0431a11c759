//! `redwingwick check`: checks a settings file.

use std::io::{self, Write};
use std::path::PathBuf;

use clap::ArgMatches;
use rw_host::settings::{self, NodeSettings};
use serde::Deserialize;

use super::Subcommand;
use crate::app::get;
use crate::error::Error;

/// Settings that all daemons have in common. The remaining settings are checked by each daemon's
/// `--check`.
#[derive(Debug, Deserialize)]
struct CommonSettings {
    node: NodeSettings,
}

/// The subcommand `check`.
pub struct Check {
    path: PathBuf,
}

impl Check {
    /// Creates the subcommand from its parsed arguments.
    pub fn new(args: &ArgMatches) -> Self {
        Self {
            path: get(args, "file").unwrap_or_default(),
        }
    }
}

impl Subcommand for Check {
    fn run(&self) -> Result<(), Error> {
        let invalid = |e: settings::SettingsError| Error::Invalid(e.to_string());
        let loaded = settings::load::<CommonSettings>(&self.path).map_err(invalid)?;
        loaded.check_node(&loaded.settings.node).map_err(invalid)?;
        writeln!(io::stdout(), "{}: ok", self.path.display())?;
        Ok(())
    }
}
