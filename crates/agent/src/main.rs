//! `rw-agent`: the process that runs tasks on the backend servers of one VM.

use std::process::ExitCode;

use rw_host::program;

fn main() -> ExitCode {
    let matches =
        program::command("rw-agent", "Runs tasks on the backend servers of one VM").get_matches();
    program::exit_code("rw-agent", rw_agent::run(&program::args(&matches)))
}
