//! The subcommands, one file each.

mod check;
mod completions;
mod hash_token;
mod man;
mod preset;
mod service;
mod status;
mod tenant;
mod worker;

use std::io::{self, Write};

use clap::ArgMatches;
use rw_core::config::Change;

use crate::client::Client;
use crate::error::Error;

/// A subcommand that is ready to run.
pub trait Run {
    /// Runs it.
    fn run(&self) -> Result<(), Error>;
}

/// The subcommand that the arguments name.
pub fn of(matches: &ArgMatches) -> Box<dyn Run + '_> {
    match matches.subcommand() {
        Some(("status", args)) => Box::new(status::Status::new(args)),
        Some(("service", args)) => Box::new(service::Service::new(args)),
        Some(("tenant", args)) => Box::new(tenant::Tenant::new(args)),
        Some(("preset", args)) => Box::new(preset::Preset::new(args)),
        Some(("worker", args)) => Box::new(worker::Worker::new(args)),
        Some(("check", args)) => Box::new(check::Check::new(args)),
        Some(("completions", args)) => Box::new(completions::Completions::new(args)),
        Some(("man", args)) => Box::new(man::Man::new(args)),
        _ => Box::new(hash_token::HashToken),
    }
}

/// Makes a change and prints the new revision.
fn apply(client: &Client, change: Change) -> Result<(), Error> {
    let revision = client.change(change)?;
    writeln!(io::stdout(), "revision {revision}")?;
    Ok(())
}
