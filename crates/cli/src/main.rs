//! `redwingwick`: the operators' command line.

mod app;
mod client;
mod cmd;
mod error;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = app::build().get_matches();
    match cmd::of(&matches).run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => error::exit(&e),
    }
}
