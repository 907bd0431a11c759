//! `redwingwick worker`.

use clap::ArgMatches;
use rw_core::config::Change;
use rw_core::ids::Name;

use super::{Run, apply};
use crate::app::get;
use crate::client::Client;
use crate::error::Error;

/// The subcommand's arguments.
pub struct Worker<'a> {
    args: &'a ArgMatches,
}

impl<'a> Worker<'a> {
    /// Keeps the arguments.
    pub fn new(args: &'a ArgMatches) -> Self {
        Self { args }
    }
}

impl Run for Worker<'_> {
    fn run(&self) -> Result<(), Error> {
        let Some((verb, args)) = self.args.subcommand() else {
            return Ok(());
        };
        let worker = Name::from(get::<String>(args, "name").unwrap_or_default());
        let client = Client::new(args);
        let change = match verb {
            "drain" => Change::Drain { worker },
            "undrain" => Change::Undrain { worker },
            _ => {
                let members = client.status(false)?.members;
                let known = members.iter().find(|m| m.node.name == worker);
                let incarnation = known
                    .map(|m| m.node.incarnation)
                    .ok_or_else(|| Error::Invalid(format!("no worker {worker} is known")))?;
                Change::Forget {
                    worker,
                    incarnation,
                }
            }
        };
        apply(&client, change)
    }
}
