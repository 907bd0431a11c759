//! `redwingwick tenant`: creates, changes and removes tenants.

use clap::ArgMatches;
use rw_core::config::{self, Change};
use rw_core::ids::Name;

use super::{Subcommand, apply};
use crate::app::get;
use crate::client::Client;
use crate::error::Error;

/// The subcommand `tenant`.
pub struct Tenant<'a> {
    args: &'a ArgMatches,
}

impl<'a> Tenant<'a> {
    /// Creates the subcommand from its parsed arguments.
    pub fn new(args: &'a ArgMatches) -> Self {
        Self { args }
    }
}

impl Subcommand for Tenant<'_> {
    fn run(&self) -> Result<(), Error> {
        let Some((action, args)) = self.args.subcommand() else {
            return Ok(());
        };
        let name = Name::from(get::<String>(args, "name").unwrap_or_default());
        let change = match action {
            "remove" => Change::RemoveTenant { name },
            _ => Change::PutTenant {
                name,
                tenant: tenant_from_args(args),
            },
        };
        apply(&Client::new(args), change)
    }
}

fn tenant_from_args(args: &ArgMatches) -> config::Tenant {
    let hashes = args.get_many::<String>("token-hash").into_iter().flatten();
    config::Tenant {
        weight: get(args, "weight").unwrap_or(1),
        rate: get(args, "rate").unwrap_or(0),
        concurrency: get(args, "concurrency").unwrap_or(0),
        token_hashes: hashes.cloned().collect(),
    }
}
