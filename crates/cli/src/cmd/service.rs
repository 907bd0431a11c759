//! `redwingwick service`.

use clap::ArgMatches;
use rw_core::config::{self, Change};
use rw_core::ids::Name;

use super::{Run, apply};
use crate::app::get;
use crate::client::Client;
use crate::error::Error;

/// The subcommand's arguments.
pub struct Service<'a> {
    args: &'a ArgMatches,
}

impl<'a> Service<'a> {
    /// Keeps the arguments.
    pub fn new(args: &'a ArgMatches) -> Self {
        Self { args }
    }
}

impl Run for Service<'_> {
    fn run(&self) -> Result<(), Error> {
        let Some((verb, args)) = self.args.subcommand() else {
            return Ok(());
        };
        let name = Name::from(get::<String>(args, "name").unwrap_or_default());
        let change = if verb == "remove" {
            Change::RemoveService { name }
        } else {
            let max_queued_tasks = get(args, "max-queued-tasks").unwrap_or(0);
            Change::PutService {
                name,
                service: config::Service { max_queued_tasks },
            }
        };
        apply(&Client::new(args), change)
    }
}
