//! How the backend server behaves, from its arguments and from payloads.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Settings of one backend server.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Where it serves.
    pub listen: SocketAddr,
    /// Its agent's HTTP address.
    pub agent: Option<SocketAddr>,
    /// Its name.
    pub name: String,
    /// Its services.
    pub services: Vec<String>,
    /// Tasks at once.
    pub slots: u32,
    /// Run times are divided by this.
    pub speed: f64,
    /// Fail every task at once.
    pub fail: bool,
    /// Where starts are recorded.
    pub journal: Option<PathBuf>,
}

/// The command line.
pub fn command() -> Command {
    let arg = |id: &'static str, help: &'static str| Arg::new(id).long(id).help(help);
    Command::new("rw-backend")
        .version(env!("CARGO_PKG_VERSION"))
        .about("A small backend server for tests and measurements")
        .arg(
            arg("listen", "Where to serve")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(arg("agent", "The agent's HTTP address").value_parser(value_parser!(SocketAddr)))
        .arg(arg("name", "Its name").default_value("backend"))
        .arg(
            arg("service", "A service that it serves")
                .action(ArgAction::Append)
                .default_value("echo"),
        )
        .arg(
            arg("slots", "Tasks at once")
                .default_value("8")
                .value_parser(value_parser!(u32)),
        )
        .arg(
            arg("speed", "Run times are divided by this")
                .default_value("1")
                .value_parser(value_parser!(f64)),
        )
        .arg(arg("fail", "Fail every task at once").action(ArgAction::SetTrue))
        .arg(arg("journal", "File that records every start").value_parser(value_parser!(PathBuf)))
}

impl Behaviour {
    /// From the arguments.
    pub fn new(matches: &ArgMatches) -> Self {
        let services = matches.get_many::<String>("service").into_iter().flatten();
        let get = |id: &str| matches.get_one::<String>(id).cloned();
        Self {
            listen: *matches.get_one("listen").expect("listen is required"),
            agent: matches.get_one("agent").copied(),
            name: get("name").unwrap_or_default(),
            services: services.cloned().collect(),
            slots: matches.get_one("slots").copied().unwrap_or(8),
            speed: matches.get_one("speed").copied().unwrap_or(1.0),
            fail: matches.get_flag("fail"),
            journal: matches.get_one("journal").cloned(),
        }
    }

    /// The time that a task with this payload takes here.
    pub fn run_time(&self, payload: &str) -> Duration {
        let ms: f64 = field(payload, "run")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0.0);
        Duration::from_secs_f64((ms / 1000.0 / self.speed).max(0.0))
    }

    /// Whether a task with this payload fails here.
    pub fn fails(&self, payload: &str) -> bool {
        self.fail || field(payload, "fail").is_some()
    }
}

/// The value of a field of a payload.
pub fn field<'a>(payload: &'a str, name: &str) -> Option<&'a str> {
    payload
        .split_whitespace()
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}
