//! `redwingwick service`: creates, changes and removes services.

use clap::ArgMatches;
use rw_core::config::{self, Change};
use rw_core::ids::Name;

use super::{Subcommand, apply};
use crate::app::get;
use crate::client::Client;
use crate::error::Error;

/// The subcommand `service`.
pub struct Service<'a> {
    args: &'a ArgMatches,
}

impl<'a> Service<'a> {
    /// Creates the subcommand from its parsed arguments.
    pub fn new(args: &'a ArgMatches) -> Self {
        Self { args }
    }
}

impl Subcommand for Service<'_> {
    fn run(&self) -> Result<(), Error> {
        let Some((action, args)) = self.args.subcommand() else {
            return Ok(());
        };
        let name = Name::from(get::<String>(args, "name").unwrap_or_default());
        let change = if action == "remove" {
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
