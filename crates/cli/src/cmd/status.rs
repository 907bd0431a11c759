//! `redwingwick status`: shows the configuration and the cluster members.

use std::io::{self, Write};

use clap::ArgMatches;
use rw_core::members::{Member, MemberState};
use rw_core::msg::Role;

use super::Subcommand;
use crate::client::{self, Client};
use crate::error::Error;

/// The subcommand `status`.
pub struct Status<'a> {
    args: &'a ArgMatches,
}

impl<'a> Status<'a> {
    /// Creates the subcommand from its parsed arguments.
    pub fn new(args: &'a ArgMatches) -> Self {
        Self { args }
    }
}

impl Subcommand for Status<'_> {
    fn run(&self) -> Result<(), Error> {
        let client = Client::new(self.args);
        let any = self.args.get_flag("any");
        let mut out = io::stdout().lock();
        if self.args.get_flag("json") {
            writeln!(out, "{}", client.status_text(any)?)?;
            return Ok(());
        }
        let status = client.status(any)?;
        write_state(&mut out, &status)?;
        write_members(&mut out, &status)?;
        if self.args.get_flag("where") {
            write_in_force(&mut out, &client, &status)?;
        }
        Ok(())
    }
}

fn write_state<W>(out: &mut W, status: &client::Status) -> io::Result<()>
where
    W: Write,
{
    let state = &status.state;
    let log_field = |key: &str| status.log[key].to_string().replace('"', "");
    writeln!(
        out,
        "revision {}  preset {}",
        state.revision, state.in_force.value
    )?;
    writeln!(
        out,
        "leader {}  term {}  commit {}",
        log_field("leader"),
        log_field("term"),
        log_field("commit")
    )?;
    for (name, service) in &state.services {
        writeln!(out, "service {name}  changed at {}", service.changed_at)?;
    }
    for (name, tenant) in &state.tenants {
        let quota = &tenant.value;
        writeln!(
            out,
            "tenant {name}  weight {}  rate {}  concurrency {}  changed at {}",
            quota.weight, quota.rate, quota.concurrency, tenant.changed_at
        )?;
    }
    for (domain, changed_at) in &state.evacuated {
        let agents = status.members.iter().filter(|m| {
            m.role == Role::Agent && m.domain == *domain && m.state != MemberState::Dead
        });
        writeln!(
            out,
            "domain {domain}  evacuated at {changed_at}  agents {}",
            agents.count()
        )?;
    }
    let settled = state.shards.iter().filter(|shard| shard.settled).count();
    writeln!(
        out,
        "registry shards {} placed, {settled} settled",
        state.shards.len()
    )
}

/// Writes the revision and preset that are in force at each member, as the member reports them.
fn write_in_force<W>(out: &mut W, client: &Client, status: &client::Status) -> io::Result<()>
where
    W: Write,
{
    for m in &status.members {
        match client.in_force(&m.http.to_string()) {
            Ok(in_force) => {
                let preset = in_force.preset.as_deref().unwrap_or("none");
                writeln!(
                    out,
                    "in force at {}  revision {}  preset {preset}",
                    m.node.name, in_force.revision
                )?;
            }
            Err(reason) => writeln!(out, "in force at {}  not known: {reason}", m.node.name)?,
        }
    }
    Ok(())
}

fn write_members<W>(out: &mut W, status: &client::Status) -> io::Result<()>
where
    W: Write,
{
    let mut members: Vec<&Member> = status.members.iter().collect();
    members.sort_by_key(|m| (m.role, m.node.name.clone()));
    for m in members {
        let health = match (m.state, m.leaving) {
            (MemberState::Dead, _) => "dead",
            (MemberState::Suspect, _) => "suspect",
            (MemberState::Alive, true) => "leaving",
            (MemberState::Alive, false) => "alive",
        };
        let drained = if status.state.drained.contains_key(&m.node.name) {
            "  drained"
        } else {
            ""
        };
        let role = format!("{:?}", m.role).to_lowercase();
        writeln!(
            out,
            "{role} {}  {health}{drained}  domain {}  http {}",
            m.node.name, m.domain, m.http
        )?;
    }
    Ok(())
}
