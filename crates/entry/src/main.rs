//! `rw-entry`: accepts jobs from callers and dispatches their tasks.

use std::process::ExitCode;

use rw_host::program;

fn main() -> ExitCode {
    let matches =
        program::command("rw-entry", "Accepts jobs and dispatches their tasks").get_matches();
    program::exit_code("rw-entry", rw_entry::run(&program::args(&matches)))
}
