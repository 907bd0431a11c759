//! `redwingwick`: command line for cluster operators.

mod app;
mod client;
mod cmd;
mod error;
mod units;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = app::build().get_matches();
    match cmd::from_matches(&matches).run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => error::report(&e),
    }
}
