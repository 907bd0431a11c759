//! Stand-ins and scripts of the third review. `rw-review-3 SCRIPT FOLDER` plays one script against the
//! project's programs in `target/release` and writes `record.txt` into the folder.
//!
//! Exit codes: 0 the rule held, 1 it was broken, 2 the script could not run.

mod cluster;
mod http;
mod json;
mod record;
mod scripts;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// What a script found.
pub enum Outcome {
    Held,
    Broken,
    NotRun(&'static str),
}

/// What all scripts need.
pub struct Setting {
    pub bin: PathBuf,
    pub record: Arc<Record>,
    /// Whether the disruption is played.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(script), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: rw-review-3 SCRIPT FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let bin = folder.join("../../target/release");
    let Ok(record) = Record::create(&folder.join("record.txt")) else {
        eprintln!("record.txt cannot be written");
        return ExitCode::from(2);
    };
    let setting = Setting {
        bin,
        record: Arc::new(record),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let outcome = match scripts::find(script) {
        Some(script) => script(&setting),
        None => Outcome::NotRun("there is no such script"),
    };
    let (code, text) = match outcome {
        Outcome::Held => (0, "the rule held".to_owned()),
        Outcome::Broken => (1, "the rule was broken".to_owned()),
        Outcome::NotRun(why) => (2, format!("not run: {why}")),
    };
    setting.record.line(&text);
    println!("{script}: {text}");
    ExitCode::from(code)
}
