//! `rw-entry`: accepts jobs from callers and dispatches their tasks.

mod api;
mod callers;
mod duty;
mod request;
mod settings;
mod stats;

use std::process::ExitCode;

use rw_host::program;

fn main() -> ExitCode {
    let matches =
        program::command("rw-entry", "Accepts jobs and dispatches their tasks").get_matches();
    program::exit("rw-entry", duty::run(&program::args(&matches)))
}
