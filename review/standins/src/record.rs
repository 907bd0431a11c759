//! What the stand-ins saw: every run of a task, and a text line for every event.

use std::sync::{Arc, Mutex};
use std::time::Instant;

/// One run of a task at a worker.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub task: String,
    pub attempt: u64,
    pub worker: String,
    pub started_ms: u64,
    /// When and how it ended; `None` while it runs.
    pub end: Option<(u64, String)>,
}

impl RunRecord {
    /// Returns for how many milliseconds both were running.
    pub fn overlap_ms(&self, other: &Self, now_ms: u64) -> u64 {
        let end = |run: &Self| run.end.as_ref().map_or(now_ms, |(at, _)| *at);
        end(self)
            .min(end(other))
            .saturating_sub(self.started_ms.max(other.started_ms))
    }
}

#[derive(Debug, Default)]
struct Inner {
    lines: Vec<String>,
    runs: Vec<RunRecord>,
}

/// The record of one case. Clones share it.
#[derive(Clone, Debug)]
pub struct Record {
    began: Instant,
    inner: Arc<Mutex<Inner>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            inner: Arc::default(),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line<S: AsRef<str>>(&self, text: S) {
        let line = format!("{:8.3} s  {}", self.now_ms() as f64 / 1000.0, text.as_ref());
        self.inner.lock().unwrap().lines.push(line);
    }

    /// Records the begin of a run and returns its index.
    pub fn run_started(&self, task: &str, attempt: u64, worker: &str) -> usize {
        self.line(format!("{worker} starts {task} attempt {attempt}"));
        let run = RunRecord {
            task: task.into(),
            attempt,
            worker: worker.into(),
            started_ms: self.now_ms(),
            end: None,
        };
        let mut inner = self.inner.lock().unwrap();
        inner.runs.push(run);
        inner.runs.len() - 1
    }

    pub fn run_ended(&self, index: usize, how: &str) {
        let now = self.now_ms();
        let mut inner = self.inner.lock().unwrap();
        let run = &mut inner.runs[index];
        run.end = Some((now, how.into()));
        let line = format!(
            "{:8.3} s  {} ends {} attempt {}: {how}",
            now as f64 / 1000.0,
            run.worker,
            run.task,
            run.attempt
        );
        inner.lines.push(line);
    }

    /// Returns the runs of the tasks of one job.
    pub fn runs_of(&self, job: &str) -> Vec<RunRecord> {
        let inner = self.inner.lock().unwrap();
        inner
            .runs
            .iter()
            .filter(|run| run.task.starts_with(job))
            .cloned()
            .collect()
    }

    pub fn run_count(&self) -> usize {
        self.inner.lock().unwrap().runs.len()
    }

    pub fn text(&self) -> String {
        self.inner.lock().unwrap().lines.join("\n") + "\n"
    }
}
