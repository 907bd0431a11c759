//! Cases of the second review. `review2 CASE FOLDER` plays one and writes FOLDER/record.txt.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0`
//! in the environment the disruption is left out.

mod cases;
mod client;
mod http;
mod json;
mod nodes;
mod operator;
mod record;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// The end of a case.
pub enum Verdict {
    Broken(String),
    Held(String),
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = Record::create(&PathBuf::from(folder));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.note(format!(
        "case {case}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    let verdict = match case.as_str() {
        "voters" => cases::voters::play(trouble, &record),
        "shutdown" => cases::shutdown::play(trouble, &record),
        "kind" => cases::kind::play(trouble, &record),
        "heartbeat" => cases::heartbeat::play(trouble, &record),
        "woken" => cases::woken::play(trouble, &record),
        "life" => cases::life::play(trouble, &record),
        "cancel" => cases::cancel::play(trouble, &record),
        other => Verdict::CouldNotRun(format!("there is no case {other}")),
    };
    let (code, text) = match verdict {
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    record.note(text);
    ExitCode::from(code)
}
