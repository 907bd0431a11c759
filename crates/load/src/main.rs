//! `rw-load`: benchmarks, trace replay and soak tests on a local test cluster.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use rw_load::soak::Soak;
use rw_load::{bench, bounds, caller, flood, replay, slopes};

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
        .help("Trace file to replay");
    let only = Arg::new("only")
        .long("only")
        .value_delimiter(',')
        .value_name("WAY.MEASURE,..")
        .help(
            "Run only benchmarks whose name starts with one of these, e.g. credits.crest or random",
        );
    let workers = Arg::new("workers")
        .long("workers")
        .value_delimiter(',')
        .value_parser(value_parser!(usize))
        .help("Comma-separated cluster sizes, in workers");
    Command::new("rw-load")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Benchmarks, trace replay and soak tests on a local test cluster")
        .subcommand_required(true)
        .subcommand(Command::new("key").about("Prints a new job key"))
        .subcommand(
            Command::new("bench")
                .about("Runs the benchmarks of the dispatch policies and checks their bounds")
                .arg(only),
        )
        .subcommand(Command::new("flood").about("Measures the task starts per second of one entry"))
        .subcommand(
            Command::new("replay")
                .about("Replays a trace and checks its expected outcomes")
                .arg(file),
        )
        .subcommand(
            Command::new("soak")
                .about("Runs soak tests: load on a test cluster under injected faults")
                .arg(number_arg("seed", "The first seed", "1"))
                .arg(number_arg(
                    "seeds",
                    "Number of consecutive seeds to run",
                    "1",
                ))
                .arg(number_arg(
                    "seconds",
                    "Duration of the fault injection for each seed, in seconds",
                    "20",
                ))
                .arg(
                    Arg::new("trace")
                        .long("trace")
                        .action(ArgAction::SetTrue)
                        .help("Print the list of faults even if no guarantee was violated"),
                ),
        )
        .subcommand(
            Command::new("slopes")
                .about("Measures the overhead of the control plane at several cluster sizes")
                .arg(workers),
        )
}

fn number_arg(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

/// Runs the soak tests and prints a report for each as a line of JSON. Returns `false` if a
/// guarantee was violated.
fn run_soaks(args: &ArgMatches) -> io::Result<bool> {
    let get = |name: &str| args.get_one(name).copied().unwrap_or(1_u64);
    let mut passed = true;
    for seed in get("seed")..get("seed") + get("seeds") {
        let time = Duration::from_secs(get("seconds"));
        let trace = args.get_flag("trace");
        let report = Soak { seed, time, trace }.run()?;
        println!("{}", serde_json::to_string(&report)?);
        passed &= report.violations.is_empty();
    }
    Ok(passed)
}

/// Runs a subcommand. Returns `false` if a bound, a guarantee or an expected outcome was violated.
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
            let results = bench::run_benchmarks(&only)?;
            return Ok(bounds::check(&results, Path::new(".")));
        }
        Some(("flood", _)) => {
            for tasks in [1, 40, 410] {
                let report = flood::run(8, 12, tasks, Duration::from_secs(5))?;
                println!("{}", serde_json::to_string(&report)?);
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
                slopes::DEFAULT_WORKERS.to_vec()
            } else {
                sizes
            } {
                println!("{}", slopes::run(workers)?);
            }
        }
        Some(("soak", args)) => return run_soaks(args),
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
