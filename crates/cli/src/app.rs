//! Definition of the command line, used for parsing, shell completions and man pages.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::units;

/// Returns the definition of the whole command line.
pub fn build() -> Command {
    Command::new("redwingwick")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a redwingwick cluster")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommand(status())
        .subcommand(service())
        .subcommand(tenant())
        .subcommand(preset())
        .subcommand(worker())
        .subcommand(domain())
        .subcommand(explain())
        .subcommand(
            Command::new("check")
                .about("Checks the settings that all daemons have in common")
                .arg(
                    Arg::new("file")
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .help("Settings file (TOML)"),
                ),
        )
        .subcommand(
            Command::new("hash-token").about("Prints the hash of a token read from standard input"),
        )
        .subcommand(
            Command::new("completions")
                .about("Prints shell completions")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(clap_complete::Shell))
                        .help("Shell to print completions for"),
                ),
        )
        .subcommand(
            Command::new("man")
                .about("Writes man pages to a directory")
                .arg(
                    Arg::new("folder")
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .help("Existing directory to write to"),
                ),
        )
}

/// Returns the arguments that all subcommands share.
fn global_args() -> [Arg; 4] {
    [
        Arg::new("control")
            .long("control")
            .global(true)
            .env("REDWINGWICK_CONTROL")
            .value_delimiter(',')
            .default_value("127.0.0.1:7103")
            .value_name("ADDR,..")
            .help("HTTP addresses of the control nodes, separated by commas"),
        Arg::new("token")
            .long("token")
            .global(true)
            .env("REDWINGWICK_TOKEN")
            .hide_env_values(true)
            .value_name("TOKEN")
            .help("Operator token"),
        Arg::new("request-id")
            .long("request-id")
            .global(true)
            .value_parser(value_parser!(uuid::Uuid))
            .value_name("UUID")
            .help("Request id of the change; a change resent under the same id takes effect once"),
        Arg::new("base")
            .long("base")
            .global(true)
            .value_parser(value_parser!(u64))
            .value_name("REVISION")
            .help("Revision that the change is based on; the current one by default"),
    ]
}

/// Returns the required positional argument `NAME`.
fn name_arg(help: &'static str) -> Arg {
    Arg::new("name")
        .required(true)
        .value_name("NAME")
        .help(help)
}

/// Returns an option `--id N` that takes a 32-bit unsigned integer.
fn number_arg(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .long(id)
        .value_parser(value_parser!(u32))
        .value_name("N")
        .help(help)
}

fn status() -> Command {
    Command::new("status")
        .about("Shows the configuration, the cluster members and their state")
        .arg(
            Arg::new("where")
                .long("where")
                .action(ArgAction::SetTrue)
                .help("Also asks each node which revision and preset are in force there"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints JSON"),
        )
        .arg(
            Arg::new("any")
                .long("any")
                .action(ArgAction::SetTrue)
                .help("Accepts the state of any control node, which may be out of date"),
        )
}

fn service() -> Command {
    Command::new("service")
        .about("Creates, changes and removes services")
        .subcommand_required(true)
        .subcommand(
            Command::new("put")
                .about("Creates or replaces a service")
                .arg(name_arg("Name of the service"))
                .arg(number_arg(
                    "max-queued-tasks",
                    "Maximum number of tasks queued at one entry; 0 selects the default",
                )),
        )
        .subcommand(
            Command::new("remove")
                .about("Removes a service")
                .arg(name_arg("Name of the service")),
        )
}

fn tenant() -> Command {
    Command::new("tenant")
        .about("Creates, changes and removes tenants")
        .subcommand_required(true)
        .subcommand(
            Command::new("put")
                .about("Creates or replaces a tenant")
                .arg(name_arg("Name of the tenant"))
                .arg(
                    number_arg("weight", "Weight of the tenant's share of the slots")
                        .default_value("1"),
                )
                .arg(
                    number_arg("rate", "Maximum task starts per second; 0 means no limit")
                        .default_value("0"),
                )
                .arg(
                    number_arg(
                        "concurrency",
                        "Maximum number of tasks queued or running; 0 means no limit",
                    )
                    .default_value("0"),
                )
                .arg(
                    Arg::new("token-hash")
                        .long("token-hash")
                        .action(ArgAction::Append)
                        .value_name("HASH")
                        .help(
                            "Hash of a caller's token, as printed by hash-token; may be repeated",
                        ),
                ),
        )
        .subcommand(
            Command::new("remove")
                .about("Removes a tenant")
                .arg(name_arg("Name of the tenant")),
        )
}

fn preset() -> Command {
    Command::new("preset")
        .about("Creates, changes, activates and removes presets")
        .subcommand_required(true)
        .subcommand(
            Command::new("put")
                .about("Creates or changes a preset; options not given keep their value")
                .arg(name_arg("Name of the preset"))
                .arg(
                    Arg::new("accept")
                        .long("accept")
                        .value_delimiter(',')
                        .value_parser(["short", "long"])
                        .value_name("CLASS,..")
                        .help("Job classes to accept, separated by commas"),
                )
                .arg(number_arg(
                    "long-share-percent",
                    "Share of slots for long tasks while short tasks are queued, in percent",
                ))
                .arg(number_arg(
                    "quota-percent",
                    "Factor applied to the tenants' quotas, in percent",
                ))
                .arg(number_arg(
                    "max-wait-ms",
                    "Maximum expected wait; jobs expected to wait longer are refused",
                ))
                .arg(number_arg(
                    "dedupe-window-s",
                    "Time for which keys and results are kept for deduplication",
                )),
        )
        .subcommand(
            Command::new("use")
                .about("Activates a preset")
                .arg(name_arg("Name of the preset")),
        )
        .subcommand(
            Command::new("remove")
                .about("Removes a preset")
                .arg(name_arg("Name of the preset")),
        )
}

fn worker() -> Command {
    Command::new("worker")
        .about("Drains workers, or declares them permanently ended")
        .subcommand_required(true)
        .subcommand(
            Command::new("drain")
                .about("Stops giving a worker new work")
                .arg(name_arg("Name of the worker")),
        )
        .subcommand(
            Command::new("undrain")
                .about("Resumes giving work to a drained worker")
                .arg(name_arg("Name of the worker")),
        )
        .subcommand(
            Command::new("forget")
                .about("Declares that a worker's process has ended for good")
                .arg(name_arg("Name of the worker")),
        )
}

fn domain() -> Command {
    Command::new("domain")
        .about("Evacuates failure domains, or takes them back")
        .subcommand_required(true)
        .subcommand(
            Command::new("evacuate")
                .about("Stops giving new work to the workers of a failure domain")
                .arg(name_arg("Name of the failure domain")),
        )
        .subcommand(
            Command::new("return")
                .about("Resumes giving work to the workers of an evacuated failure domain")
                .arg(name_arg("Name of the failure domain")),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Explains where a job would go now, and why, without submitting it")
        .arg(
            Arg::new("entry")
                .long("entry")
                .required(true)
                .value_name("ADDR")
                .help("Metrics address of the entry to ask"),
        )
        .args([
            text_arg("queue", "Queue of the job").required_unless_present("host"),
            text_arg("host", "Host of the request, instead of the queue").requires("path"),
            text_arg("path", "Path of the request").requires("host"),
            text_arg("label", "Label that the worker must have"),
            text_arg("rack", "Label of the rack that has the data"),
        ])
        .args([
            value_arg("count", "N", "Number of tasks")
                .value_parser(value_parser!(u16).range(1..))
                .default_value("1"),
            value_arg("cpu", "CORES", "Cores that each task needs")
                .value_parser(units::cpu_milli)
                .default_value("0"),
            value_arg(
                "memory",
                "SIZE",
                "Memory that each task needs, as 64MB or 2GB",
            )
            .value_parser(units::memory_mb)
            .default_value("0MB"),
            value_arg("accelerators", "N", "Accelerators that each task needs")
                .value_parser(value_parser!(u32))
                .default_value("0"),
            value_arg(
                "estimate",
                "TIME",
                "Run time of each task, as 200ms or 1.5s",
            )
            .value_parser(units::duration)
            .required(true),
            value_arg(
                "deadline",
                "TIME",
                "Time that the caller waits; by default the queue's timeout",
            )
            .value_parser(units::duration),
        ])
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints the entry's answer as JSON"),
        )
}

fn text_arg(id: &'static str, help: &'static str) -> Arg {
    value_arg(id, "NAME", help)
}

fn value_arg(id: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(id).long(id).value_name(value_name).help(help)
}

/// Returns the value of an argument, or `None` if it has none.
///
/// Panics if the argument is not defined or has another type.
pub fn get<T>(matches: &ArgMatches, id: &str) -> Option<T>
where
    T: Clone + Send + Sync + 'static,
{
    matches.get_one::<T>(id).cloned()
}
