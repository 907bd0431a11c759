//! `redwingwick preset`: creates, changes, activates and removes presets.

use std::time::Duration;

use clap::ArgMatches;
use rw_core::config::{self, Change};
use rw_core::ids::Name;
use rw_core::job::Class;

use super::{Subcommand, apply};
use crate::app::get;
use crate::client::Client;
use crate::error::Error;

/// The subcommand `preset`.
pub struct Preset<'a> {
    args: &'a ArgMatches,
}

impl<'a> Preset<'a> {
    /// Creates the subcommand from its parsed arguments.
    pub fn new(args: &'a ArgMatches) -> Self {
        Self { args }
    }
}

impl Subcommand for Preset<'_> {
    fn run(&self) -> Result<(), Error> {
        let Some((action, args)) = self.args.subcommand() else {
            return Ok(());
        };
        let name = Name::from(get::<String>(args, "name").unwrap_or_default());
        let client = Client::new(args);
        let change = match action {
            "use" => Change::Activate { name },
            "remove" => Change::RemovePreset { name },
            _ => {
                let state = client.status(false)?.state;
                let existing = state.presets.get(&name).map(|preset| preset.value.clone());
                let preset = with_options(existing.unwrap_or_else(|| state.preset().clone()), args);
                Change::PutPreset { name, preset }
            }
        };
        apply(&client, change)
    }
}

/// Applies the options given on the command line to the preset.
fn with_options(mut preset: config::Preset, args: &ArgMatches) -> config::Preset {
    if let Some(classes) = args.get_many::<String>("accept") {
        let class = |name: &String| {
            if name == "long" {
                Class::Long
            } else {
                Class::Short
            }
        };
        preset.accept = classes.map(class).collect();
    }
    preset.long_share_percent =
        get(args, "long-share-percent").unwrap_or(preset.long_share_percent);
    preset.quota_percent = get(args, "quota-percent").unwrap_or(preset.quota_percent);
    if let Some(ms) = get::<u32>(args, "max-wait-ms") {
        preset.max_wait = Duration::from_millis(u64::from(ms));
    }
    if let Some(seconds) = get::<u32>(args, "dedupe-window-s") {
        preset.dedupe_window = Duration::from_secs(u64::from(seconds));
    }
    preset
}
