//! The subcommands, one module each.

mod check;
mod completions;
mod domain;
mod explain;
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

/// A subcommand with its arguments.
pub trait Subcommand {
    /// Runs the subcommand and prints its result on standard output.
    fn run(&self) -> Result<(), Error>;
}

/// Returns the subcommand that the arguments select.
pub fn from_matches(matches: &ArgMatches) -> Box<dyn Subcommand + '_> {
    match matches.subcommand() {
        Some(("status", args)) => Box::new(status::Status::new(args)),
        Some(("service", args)) => Box::new(service::Service::new(args)),
        Some(("tenant", args)) => Box::new(tenant::Tenant::new(args)),
        Some(("preset", args)) => Box::new(preset::Preset::new(args)),
        Some(("domain", args)) => Box::new(domain::Domain::new(args)),
        Some(("explain", args)) => Box::new(explain::Explain::new(args)),
        Some(("worker", args)) => Box::new(worker::Worker::new(args)),
        Some(("check", args)) => Box::new(check::Check::new(args)),
        Some(("completions", args)) => Box::new(completions::Completions::new(args)),
        Some(("man", args)) => Box::new(man::Man::new(args)),
        _ => Box::new(hash_token::HashToken),
    }
}

/// Makes a change and prints the new revision of the configuration.
fn apply(client: &Client, change: Change) -> Result<(), Error> {
    let revision = client.change(change)?;
    writeln!(io::stdout(), "revision {revision}")?;
    Ok(())
}
