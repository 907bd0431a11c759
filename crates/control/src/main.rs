//! `rw-control`: the control node, which maintains the replicated log of the configuration.

use std::process::ExitCode;

use clap::{Arg, ArgAction};
use rw_host::program;

fn main() -> ExitCode {
    let init = Arg::new("init")
        .long("init")
        .action(ArgAction::SetTrue)
        .help("Create the journal of a new cluster and exit; the other nodes join automatically");
    let about = "Maintains the replicated log of the configuration";
    let matches = program::command("rw-control", about)
        .arg(init)
        .get_matches();
    program::exit_code(
        "rw-control",
        rw_control::run(&program::args(&matches), matches.get_flag("init")),
    )
}
