//! `rw-agent`: the process beside each backend server.

mod announce;
mod calls;
mod duty;
mod replicas;
mod settings;
mod stats;

use std::process::ExitCode;

use rw_host::program;

fn main() -> ExitCode {
    let matches =
        program::command("rw-agent", "Runs tasks on the backend servers of one VM").get_matches();
    program::exit("rw-agent", duty::run(&program::args(&matches)))
}
