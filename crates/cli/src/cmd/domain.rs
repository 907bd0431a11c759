//! `redwingwick domain`: evacuates failure domains, or takes them back.

use clap::ArgMatches;
use rw_core::config::Change;
use rw_core::ids::Name;

use super::{Subcommand, apply};
use crate::app::get;
use crate::client::Client;
use crate::error::Error;

/// The subcommand `domain`.
pub struct Domain<'a> {
    args: &'a ArgMatches,
}

impl<'a> Domain<'a> {
    /// Creates the subcommand from its parsed arguments.
    pub fn new(args: &'a ArgMatches) -> Self {
        Self { args }
    }
}

impl Subcommand for Domain<'_> {
    fn run(&self) -> Result<(), Error> {
        let Some((action, args)) = self.args.subcommand() else {
            return Ok(());
        };
        let domain = Name::from(get::<String>(args, "name").unwrap_or_default());
        let client = Client::new(args);
        if action == "return" {
            return apply(&client, Change::Return { domain });
        }
        let members = client.status(false)?.members;
        if !members.iter().any(|member| member.domain == domain) {
            let reason = format!("no member of the cluster is in the failure domain {domain}");
            return Err(Error::Invalid(reason));
        }
        apply(&client, Change::Evacuate { domain })
    }
}
