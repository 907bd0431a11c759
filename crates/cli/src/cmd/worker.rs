//! `redwingwick worker`: drains workers, or declares them permanently ended.

use clap::ArgMatches;
use rw_core::config::Change;
use rw_core::ids::Name;

use super::{Subcommand, apply};
use crate::app::get;
use crate::client::Client;
use crate::error::Error;

/// The subcommand `worker`.
pub struct Worker<'a> {
    args: &'a ArgMatches,
}

impl<'a> Worker<'a> {
    /// Creates the subcommand from its parsed arguments.
    pub fn new(args: &'a ArgMatches) -> Self {
        Self { args }
    }
}

impl Subcommand for Worker<'_> {
    fn run(&self) -> Result<(), Error> {
        let Some((action, args)) = self.args.subcommand() else {
            return Ok(());
        };
        let worker = Name::from(get::<String>(args, "name").unwrap_or_default());
        let client = Client::new(args);
        let change = match action {
            "drain" => Change::Drain { worker },
            "undrain" => Change::Undrain { worker },
            _ => {
                let members = client.status(false)?.members;
                let member = members.iter().find(|m| m.node.name == worker);
                let incarnation = member.map(|m| m.node.incarnation).ok_or_else(|| {
                    Error::Invalid(format!("worker {worker} is not a member of the cluster"))
                })?;
                Change::Forget {
                    worker,
                    incarnation,
                }
            }
        };
        apply(&client, change)
    }
}
