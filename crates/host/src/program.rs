//! Helpers for the `main` function of the daemons: command line, signals, exit code.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Arg, ArgAction, Command, value_parser};
use flume::Receiver;
use rustix::process::Signal;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::link::spawn;

/// Exit code of a daemon that could not start.
pub const EXIT_CANNOT_START: u8 = 2;
/// Exit code after a second SIGTERM or SIGINT.
const EXIT_FORCED: i32 = 130;

/// The command-line arguments that all daemons share.
#[derive(Clone, Debug)]
pub struct Args {
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Whether to check the settings and exit without starting.
    pub check: bool,
}

/// Returns the command line of a daemon with the shared arguments. `about` is its help text.
pub fn command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .version(env!("CARGO_PKG_VERSION"))
        .about(about)
        .arg(
            Arg::new("settings")
                .short('s')
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Path of the settings file (TOML)"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings file and exit"),
        )
}

/// Extracts the shared arguments from the parsed command line.
pub fn args(matches: &clap::ArgMatches) -> Args {
    Args {
        settings: matches
            .get_one::<PathBuf>("settings")
            .cloned()
            .unwrap_or_default(),
        check: matches.get_flag("check"),
    }
}

/// Returns the exit code for a result: 0, or [`EXIT_CANNOT_START`] after printing the error to
/// standard error.
pub fn exit_code<E>(name: &str, result: Result<(), E>) -> ExitCode
where
    E: std::fmt::Display,
{
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{name}: {e}");
            ExitCode::from(EXIT_CANNOT_START)
        }
    }
}

/// Returns a channel that receives the first SIGTERM or SIGINT. A second one exits the process at
/// once with code 130; SIGHUP is only logged.
pub fn shutdown_signal() -> std::io::Result<Receiver<()>> {
    // A write beyond a limit of the file size then fails, as one on a full disk does.
    signal_hook::flag::register(Signal::XFSZ.as_raw(), Arc::default())?;
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (tx, rx) = flume::bounded(1);
    spawn("signals", move || {
        let mut count = 0;
        for signal in signals.forever() {
            if signal == SIGHUP {
                log::info!("SIGHUP: reloadable settings are read again within a second");
                continue;
            }
            count += 1;
            if count > 1 {
                std::process::exit(EXIT_FORCED);
            }
            let _ = tx.try_send(());
        }
    });
    Ok(rx)
}
