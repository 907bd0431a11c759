//! Behaviour of the backend server, as set by its arguments and by task payloads.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Settings of a backend server.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// HTTP address of the agent to announce to, if any.
    pub agent: Option<SocketAddr>,
    /// Name of the backend server.
    pub name: String,
    /// Names of the services that it serves.
    pub services: Vec<String>,
    /// Number of tasks that it runs at once.
    pub slots: u32,
    /// Factor by which the run times from payloads are divided.
    pub speed: f64,
    /// Whether every task fails immediately.
    pub fail: bool,
    /// File to which every task start is appended, if any.
    pub journal: Option<PathBuf>,
}

/// Returns the definition of the command line.
pub fn command() -> Command {
    let arg = |id: &'static str, help: &'static str| Arg::new(id).long(id).help(help);
    Command::new("rw-backend")
        .version(env!("CARGO_PKG_VERSION"))
        .about("A small backend server for tests and measurements")
        .arg(
            arg("listen", "Address to listen on")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            arg("agent", "HTTP address of the agent to announce to")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(arg("name", "Name of the backend server").default_value("backend"))
        .arg(
            arg("service", "Name of a service to serve; may be repeated")
                .action(ArgAction::Append)
                .default_value("echo"),
        )
        .arg(
            arg("slots", "Number of tasks to run at once")
                .default_value("8")
                .value_parser(value_parser!(u32)),
        )
        .arg(
            arg("speed", "Factor by which run times are divided")
                .default_value("1")
                .value_parser(value_parser!(f64)),
        )
        .arg(arg("fail", "Fail every task immediately").action(ArgAction::SetTrue))
        .arg(
            arg("journal", "File to append every task start to")
                .value_parser(value_parser!(PathBuf)),
        )
}

impl Behaviour {
    /// Creates the settings from the parsed arguments.
    pub fn new(matches: &ArgMatches) -> Self {
        let services = matches.get_many::<String>("service").into_iter().flatten();
        let get = |id: &str| matches.get_one::<String>(id).cloned();
        Self {
            listen: *matches
                .get_one("listen")
                .expect("--listen is a required argument"),
            agent: matches.get_one("agent").copied(),
            name: get("name").unwrap_or_default(),
            services: services.cloned().collect(),
            slots: matches.get_one("slots").copied().unwrap_or(8),
            speed: matches.get_one("speed").copied().unwrap_or(1.0),
            fail: matches.get_flag("fail"),
            journal: matches.get_one("journal").cloned(),
        }
    }

    /// Returns the run time of a task with this payload: its field `run`, in milliseconds and 0 by
    /// default, divided by the speed.
    pub fn run_time(&self, payload: &str) -> Duration {
        let ms: f64 = field(payload, "run")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0.0);
        Duration::from_secs_f64((ms / 1000.0 / self.speed).max(0.0))
    }

    /// Returns whether a task with this payload fails: if all tasks fail or it has a field `fail`.
    pub fn fails(&self, payload: &str) -> bool {
        self.fail || field(payload, "fail").is_some()
    }
}

/// Returns the value of a payload field. A payload consists of `name=value` words separated by
/// white space.
pub fn field<'a>(payload: &'a str, name: &str) -> Option<&'a str> {
    payload
        .split_whitespace()
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}
