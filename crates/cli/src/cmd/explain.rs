//! `redwingwick explain`: where a job would go now, and why.

use std::io::{self, Write};
use std::time::Duration;

use clap::ArgMatches;
use indexmap::IndexMap;
use rw_core::ids::Name;
use rw_core::pool::fleet::{CandidateRow, WorkerVerdict};
use rw_core::pool::question::{EntryExplanation, Question};
use rw_core::pool::scheduler::{LoadView, Outcome, Refusal, StepView};

use super::Subcommand;
use crate::app::get;
use crate::client::{Client, parse};
use crate::error::Error;

/// Number of reasons that are summed up first.
const MAX_REASONS: usize = 3;
/// Number of workers named in the line of the outcome.
const MAX_NAMED_WORKERS: usize = 4;

/// The subcommand `explain`.
pub struct Explain<'a> {
    args: &'a ArgMatches,
}

impl<'a> Explain<'a> {
    /// Creates the subcommand from its parsed arguments.
    pub fn new(args: &'a ArgMatches) -> Self {
        Self { args }
    }

    fn question(&self) -> Question {
        let name = |id| get::<String>(self.args, id).map(Name::from);
        Question {
            queue: name("queue"),
            host: name("host"),
            path: name("path"),
            tasks: get(self.args, "count").unwrap_or(1),
            cpu_milli: get(self.args, "cpu").unwrap_or_default(),
            memory_mb: get(self.args, "memory").unwrap_or_default(),
            accelerators: get(self.args, "accelerators").unwrap_or_default(),
            estimate: get(self.args, "estimate").unwrap_or_default(),
            label: name("label"),
            rack: name("rack"),
            deadline: get(self.args, "deadline"),
        }
    }
}

impl Subcommand for Explain<'_> {
    fn run(&self) -> Result<(), Error> {
        let entry: String = get(self.args, "entry").unwrap_or_default();
        let text = Client::new(self.args).explain(&entry, &self.question())?;
        let mut out = io::stdout().lock();
        if self.args.get_flag("json") {
            writeln!(out, "{text}")?;
            return Ok(());
        }
        let answer: EntryExplanation = parse(&text)?;
        write_answer(&mut out, &answer)?;
        Ok(())
    }
}

fn write_answer<W>(out: &mut W, answer: &EntryExplanation) -> io::Result<()>
where
    W: Write,
{
    let explanation = &answer.explanation;
    if answer.shutting_down {
        writeln!(out, "refused: the entry is shutting down; otherwise:")?;
    }
    writeln!(out, "{}", outcome(&explanation.outcome))?;
    for reason in reasons(explanation.steps.first(), &explanation.evacuated) {
        writeln!(out, "  {reason}")?;
    }
    writeln!(
        out,
        "\nentry {}  catalogue {}  queue {} (priority {})  pool {}  tasks {}  aim {} ms",
        answer.entry,
        answer.catalog_version,
        explanation.queue,
        explanation.priority,
        explanation.pool,
        explanation.tasks,
        explanation.aim.as_millis()
    )?;
    write_load(out, &explanation.load)?;
    for step in &explanation.steps {
        writeln!(out)?;
        for row in &step.workers {
            write_row(out, row)?;
        }
    }
    Ok(())
}

/// Returns one line that says what would become of the job.
fn outcome(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Placed {
            workers,
            start,
            end,
        } => format!(
            "placed on {} (starts in {} ms, ends in about {} ms)",
            list(workers),
            start.as_millis(),
            end.as_millis()
        ),
        Outcome::Waits {
            workers,
            tier,
            jobs_before,
            start,
            end,
            ..
        } => {
            let sent = if workers.is_empty() {
                String::new()
            } else {
                format!(", part of it placed on {}", list(workers))
            };
            format!(
                "waits{sent}: tier {tier:?}, {jobs_before} jobs before it (turn in about {} ms, ends in about {} ms)",
                start.as_millis(),
                end.as_millis()
            )
        }
        Outcome::Refused(refusal) => refused(refusal),
    }
}

fn refused(refusal: &Refusal) -> String {
    let ms = |time: Duration| time.as_millis();
    let wait = refusal
        .wait
        .map(|wait| format!("; turn in {} ms", ms(wait)));
    let tier = refusal.tier.map(|tier| format!("; tier {tier:?}"));
    let retry = match refusal.retry_after {
        Some(time) => format!("; come back after {} ms", ms(time)),
        None => "; not to be sent again".to_owned(),
    };
    let (wait, tier) = (wait.unwrap_or_default(), tier.unwrap_or_default());
    format!(
        "refused after {} ms: {}{wait}{tier}{retry}",
        ms(refusal.after),
        refusal.reason
    )
}

fn list(workers: &IndexMap<Name, u32>) -> String {
    let named = workers.iter().take(MAX_NAMED_WORKERS);
    let named: Vec<String> = named.map(|(name, n)| format!("{name} x{n}")).collect();
    let others = workers.len().saturating_sub(MAX_NAMED_WORKERS);
    let more = if others > 0 {
        format!(" and {others} more")
    } else {
        String::new()
    };
    named.join(", ") + &more
}

/// Returns the reasons nearest to a placement: how many workers are suitable, and why the next ones
/// are not.
fn reasons(step: Option<&StepView>, evacuated: &[Name]) -> Vec<String> {
    let Some(step) = step else {
        return Vec::new();
    };
    let known: usize = step.counts.iter().map(|(_, n)| n).sum();
    if known == 0 {
        return vec!["no worker is known to this entry".to_owned()];
    }
    let counts = step.counts.iter().take(MAX_REASONS);
    let mut lines: Vec<String> = counts
        .map(|(reason, n)| format!("{n} of {known} workers: {reason}"))
        .collect();
    if !evacuated.is_empty() {
        let names: Vec<&str> = evacuated.iter().take(MAX_REASONS).map(|n| &**n).collect();
        lines.push(format!("evacuated domains: {}", names.join(", ")));
    }
    lines
}

fn write_load<W>(out: &mut W, load: &LoadView) -> io::Result<()>
where
    W: Write,
{
    // Also core-seconds of core-milliseconds.
    let cores = |milli: f64| milli / 1000.0;
    writeln!(
        out,
        "pool: {} jobs wait ({:.1} core-s), {:.1} cores free, rate {:.1} cores, overloaded {}",
        load.waiting_jobs,
        cores(load.waiting_work),
        cores(load.free_cpu_milli),
        cores(load.rate),
        if load.overloaded { "yes" } else { "no" }
    )?;
    writeln!(
        out,
        "sent lately: queue {:.1} of {:.1} cores; {} of {} jobs open; {} entries report, oldest {} ms ago",
        cores(load.sent_of_queue),
        cores(load.sent_of_pool),
        load.open_jobs,
        load.max_open_jobs,
        load.reports,
        load.reports_age.as_millis()
    )
}

fn write_row<W>(out: &mut W, row: &CandidateRow) -> io::Result<()>
where
    W: Write,
{
    let detail = match row.verdict {
        WorkerVerdict::Suitable { score, expected } => {
            format!(": score {score:.2}, {} ms", expected.as_millis())
        }
        WorkerVerdict::TooSlow { expected, aim } => {
            format!(": {} of {} ms", expected.as_millis(), aim.as_millis())
        }
        WorkerVerdict::Ejected { left } | WorkerVerdict::Avoided { left } => {
            format!(": for {} ms", left.as_millis())
        }
        _ => String::new(),
    };
    writeln!(
        out,
        "{:<24} {}{detail}; free {:.1} cores, {:.1} for this entry, as of {} ms ago",
        row.worker,
        row.verdict.as_str(),
        f64::from(row.free_cpu_milli) / 1000.0,
        f64::from(row.obtainable_cpu_milli) / 1000.0,
        row.age.as_millis()
    )
}
