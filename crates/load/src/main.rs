//! `rw-load`: load, replay and measurement.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use rw_load::{bench, bounds, caller, flood, replay, slopes, soak};

fn main() -> ExitCode {
    match run(&command().get_matches()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("rw-load: {e}");
            ExitCode::from(2)
        }
    }
}

fn command() -> Command {
    let file = Arg::new("file")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The trace");
    let only = Arg::new("only")
        .long("only")
        .value_delimiter(',')
        .value_name("WAY.MEASURE,..")
        .help("Only these, such as credits.crest or random");
    let workers = Arg::new("workers")
        .long("workers")
        .value_delimiter(',')
        .value_parser(value_parser!(usize))
        .help("Numbers of workers");
    Command::new("rw-load")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Load, replay and measurement")
        .subcommand_required(true)
        .subcommand(Command::new("key").about("Prints a new job key"))
        .subcommand(
            Command::new("bench")
                .about("The four measures for each dispatch policy")
                .arg(only),
        )
        .subcommand(Command::new("flood").about("Task starts that one core of an entry carries"))
        .subcommand(
            Command::new("replay")
                .about("Replays a trace against its stated outcomes")
                .arg(file),
        )
        .subcommand(
            Command::new("soak")
                .about("A fault run: kills and freezes under load")
                .arg(
                    Arg::new("seconds")
                        .long("seconds")
                        .default_value("300")
                        .value_parser(value_parser!(u64))
                        .help("How long"),
                ),
        )
        .subcommand(
            Command::new("slopes")
                .about("Cost of control at several sizes")
                .arg(workers),
        )
}

/// Runs a subcommand. `false` when a stated outcome was not met.
fn run(matches: &ArgMatches) -> io::Result<bool> {
    match matches.subcommand() {
        Some(("key", _)) => println!("{}", caller::new_key()),
        Some(("bench", args)) => {
            let only: Vec<String> = args
                .get_many("only")
                .into_iter()
                .flatten()
                .cloned()
                .collect();
            let lines = bench::run_all_ways(&only)?;
            return Ok(bounds::check(&lines, Path::new(".")));
        }
        Some(("flood", _)) => {
            for tasks in [1, 40, 410] {
                let flood = flood::run(8, 12, tasks, Duration::from_secs(5))?;
                println!("{}", serde_json::to_string(&flood)?);
            }
        }
        Some(("slopes", args)) => {
            let sizes: Vec<usize> = args
                .get_many("workers")
                .into_iter()
                .flatten()
                .copied()
                .collect();
            for workers in if sizes.is_empty() {
                slopes::WORKERS.to_vec()
            } else {
                sizes
            } {
                println!("{}", slopes::run(workers)?);
            }
        }
        Some(("soak", args)) => {
            let seconds = args.get_one("seconds").copied().unwrap_or(300);
            let report = soak::run(Duration::from_secs(seconds), 300.0, 1)?;
            println!("{}", serde_json::to_string(&report)?);
            return Ok(report.holds());
        }
        Some(("replay", args)) => {
            let path = args.get_one::<PathBuf>("file").cloned().unwrap_or_default();
            let differences = replay::run(&path)?;
            for difference in &differences {
                println!("{}: {difference}", path.display());
            }
            println!("{}: {} differences", path.display(), differences.len());
            return Ok(differences.is_empty());
        }
        _ => {}
    }
    Ok(true)
}
