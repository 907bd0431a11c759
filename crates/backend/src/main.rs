//! `rw-backend`: a small backend server for tests and measurements.
//!
//! A task's payload is text such as `run=120 echo=abc`; see `docs/TESTING.md`.

mod announcer;
mod behaviour;
mod journal;
mod server;

use std::process::ExitCode;

use rw_host::program;

fn main() -> ExitCode {
    let matches = behaviour::command().get_matches();
    program::exit_code(
        "rw-backend",
        server::run(behaviour::Behaviour::new(&matches)),
    )
}
