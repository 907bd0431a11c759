//! What every daemon's `main` does: arguments, settings, signals, errors.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use flume::Receiver;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::link::spawn;

/// Exit code of a daemon that could not start.
pub const EXIT_CANNOT_START: u8 = 2;
/// Exit code after a second signal.
const EXIT_FORCED: i32 = 130;

/// The arguments of a daemon.
#[derive(Clone, Debug)]
pub struct Args {
    /// The settings file.
    pub settings: PathBuf,
    /// Whether only to check it.
    pub check: bool,
}

/// The command line that all daemons share.
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
                .help("The settings file (TOML)"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
}

/// Reads the shared arguments.
pub fn args(matches: &clap::ArgMatches) -> Args {
    Args {
        settings: matches
            .get_one::<PathBuf>("settings")
            .cloned()
            .unwrap_or_default(),
        check: matches.get_flag("check"),
    }
}

/// Turns a result into an exit code, with one line on standard error.
pub fn exit<E>(name: &str, result: Result<(), E>) -> ExitCode
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

/// Delivers the first SIGTERM or SIGINT; a second one ends the process at once.
pub fn shutdown_signal() -> std::io::Result<Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (tx, rx) = flume::bounded(1);
    spawn("signals", move || {
        let mut count = 0;
        for signal in signals.forever() {
            if signal == SIGHUP {
                log::info!("SIGHUP: settings that may change are read again within a second");
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
