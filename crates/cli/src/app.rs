//! The command line, defined in one place.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// The whole command line.
pub fn build() -> Command {
    Command::new("redwingwick")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a redwingwick cluster")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global())
        .subcommand(status())
        .subcommand(service())
        .subcommand(tenant())
        .subcommand(preset())
        .subcommand(worker())
        .subcommand(
            Command::new("check")
                .about("Checks settings files by their programs' rules")
                .arg(
                    Arg::new("file")
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .help("The settings file"),
                ),
        )
        .subcommand(
            Command::new("hash-token").about("Prints the hash of the token on standard input"),
        )
        .subcommand(
            Command::new("completions")
                .about("Prints shell completions")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(clap_complete::Shell))
                        .help("The shell"),
                ),
        )
        .subcommand(
            Command::new("man")
                .about("Writes man pages into a folder")
                .arg(
                    Arg::new("folder")
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .help("The folder"),
                ),
        )
}

fn global() -> [Arg; 4] {
    [
        Arg::new("control")
            .long("control")
            .global(true)
            .env("REDWINGWICK_CONTROL")
            .value_delimiter(',')
            .default_value("127.0.0.1:7103")
            .value_name("ADDR,..")
            .help("HTTP addresses of the control nodes"),
        Arg::new("token")
            .long("token")
            .global(true)
            .env("REDWINGWICK_TOKEN")
            .hide_env_values(true)
            .value_name("TOKEN")
            .help("The operator's token"),
        Arg::new("request-id")
            .long("request-id")
            .global(true)
            .value_parser(value_parser!(uuid::Uuid))
            .value_name("UUID")
            .help("Resends the change of this id; it takes effect once"),
        Arg::new("base")
            .long("base")
            .global(true)
            .value_parser(value_parser!(u64))
            .value_name("REVISION")
            .help("The revision that the change is based on; the present one by default"),
    ]
}

fn name(help: &'static str) -> Arg {
    Arg::new("name")
        .required(true)
        .value_name("NAME")
        .help(help)
}

fn number(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .long(id)
        .value_parser(value_parser!(u32))
        .value_name("N")
        .help(help)
}

fn status() -> Command {
    Command::new("status")
        .about("Shows the configuration and what is in force where")
        .arg(
            Arg::new("where")
                .long("where")
                .action(ArgAction::SetTrue)
                .help("Asks every node what is in force there"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("As JSON"),
        )
        .arg(
            Arg::new("any")
                .long("any")
                .action(ArgAction::SetTrue)
                .help("From any control node, even if it may be behind"),
        )
}

fn service() -> Command {
    Command::new("service")
        .about("Creates, changes and removes services")
        .subcommand_required(true)
        .subcommand(
            Command::new("put")
                .about("Creates or replaces a service")
                .arg(name("The service"))
                .arg(number(
                    "max-queued-tasks",
                    "Tasks that may wait at one entry",
                )),
        )
        .subcommand(
            Command::new("remove")
                .about("Removes a service")
                .arg(name("The service")),
        )
}

fn tenant() -> Command {
    Command::new("tenant")
        .about("Creates, changes and removes tenants")
        .subcommand_required(true)
        .subcommand(
            Command::new("put")
                .about("Creates or replaces a tenant")
                .arg(name("The tenant"))
                .arg(number("weight", "Share among tenants").default_value("1"))
                .arg(number("rate", "Task starts a second; 0 is no limit").default_value("0"))
                .arg(
                    number("concurrency", "Tasks waiting or running; 0 is no limit")
                        .default_value("0"),
                )
                .arg(
                    Arg::new("token-hash")
                        .long("token-hash")
                        .action(ArgAction::Append)
                        .value_name("HASH")
                        .help("Hash of a caller token, from hash-token"),
                ),
        )
        .subcommand(
            Command::new("remove")
                .about("Removes a tenant")
                .arg(name("The tenant")),
        )
}

fn preset() -> Command {
    Command::new("preset")
        .about("Changes presets and puts one in force")
        .subcommand_required(true)
        .subcommand(
            Command::new("put")
                .about("Creates or replaces a preset; what is not given stays")
                .arg(name("The preset"))
                .arg(
                    Arg::new("accept")
                        .long("accept")
                        .value_delimiter(',')
                        .value_parser(["short", "long"])
                        .value_name("CLASS,..")
                        .help("Classes that are accepted"),
                )
                .arg(number("long-share-percent", "Share of slots for long work"))
                .arg(number(
                    "quota-percent",
                    "Tenants' limits as a share of their quotas",
                ))
                .arg(number(
                    "max-wait-ms",
                    "Longest expected wait that is accepted",
                ))
                .arg(number(
                    "dedupe-window-s",
                    "How long keys and results are remembered",
                )),
        )
        .subcommand(
            Command::new("use")
                .about("Puts a preset in force")
                .arg(name("The preset")),
        )
        .subcommand(
            Command::new("remove")
                .about("Removes a preset")
                .arg(name("The preset")),
        )
}

fn worker() -> Command {
    Command::new("worker")
        .about("Drains workers, or declares them gone")
        .subcommand_required(true)
        .subcommand(
            Command::new("drain")
                .about("Gives a worker no new work")
                .arg(name("The worker")),
        )
        .subcommand(
            Command::new("undrain")
                .about("Gives a worker work again")
                .arg(name("The worker")),
        )
        .subcommand(
            Command::new("forget")
                .about("Declares that a worker's process is surely gone")
                .arg(name("The worker")),
        )
}

/// The value of an argument that has one.
pub fn get<T>(matches: &ArgMatches, id: &str) -> Option<T>
where
    T: Clone + Send + Sync + 'static,
{
    matches.get_one::<T>(id).cloned()
}
