//! Questions of operators about where a job would go, and the answers of entries.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use thiserror::Error;

use super::catalog::{Queue, QueueTable};
use super::job::{Job, JobId, MAX_TASKS, Resources, Step};
use super::scheduler::Explanation;
use crate::ids::Name;

/// Path of the interface at the metrics address of an entry.
pub const EXPLAIN_PATH: &str = "/v1/explain";

/// The reason why a question is not answered.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum QuestionError {
    /// The number of tasks is out of range.
    #[error("tasks must be 1 to {MAX_TASKS}")]
    Tasks,
    /// Neither the queue nor both host and path are given.
    #[error("queue, or host and path, must be given")]
    NoQueue,
    /// No queue of the catalogue in force has this name, or this host and path.
    #[error("queue {0:?} does not exist")]
    UnknownQueue(String),
}

/// A question: a job of one step, and its queue.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Question {
    /// Name of the queue; without it, `host` and `path` select the queue as for a caller's request.
    pub queue: Option<Name>,
    /// Host name in the caller's request.
    pub host: Option<Name>,
    /// Path in the caller's request.
    pub path: Option<Name>,
    /// Number of tasks, 1 to [`MAX_TASKS`].
    pub tasks: u16,
    /// CPU that each task needs, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory that each task needs, in MiB.
    pub memory_mb: u32,
    /// Number of accelerators that each task needs.
    pub accelerators: u32,
    /// Estimated run time of each task.
    #[serde(rename = "estimate_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub estimate: Duration,
    /// A label that the worker must have.
    pub label: Option<Name>,
    /// Label of the rack that has the data.
    pub rack: Option<Name>,
    /// Time for which the caller waits; the queue's timeout by default.
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub deadline: Option<Duration>,
}

/// The answer to a [`Question`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryExplanation {
    /// The entry that answers.
    pub entry: Name,
    /// Version of the catalogue in force there.
    pub catalog_version: u64,
    /// Whether the entry refuses all requests since it is shutting down.
    pub shutting_down: bool,
    /// Where the job would go.
    #[serde(flatten)]
    pub explanation: Explanation,
}

impl Question {
    /// Checks the number of tasks.
    pub fn check(&self) -> Result<(), QuestionError> {
        if (1..=MAX_TASKS).contains(&usize::from(self.tasks)) {
            return Ok(());
        }
        Err(QuestionError::Tasks)
    }

    /// Returns the queue that it is about.
    pub fn find<'a>(&self, queues: &'a QueueTable) -> Result<&'a Arc<Queue>, QuestionError> {
        let (queue, sought) = match (&self.queue, &self.host, &self.path) {
            (Some(name), ..) => (queues.named(name), name.to_string()),
            (None, Some(host), Some(path)) => (queues.find(host, path), format!("{host}{path}")),
            _ => return Err(QuestionError::NoQueue),
        };
        queue.ok_or(QuestionError::UnknownQueue(sought))
    }

    /// Returns the job that it describes, with an id that means nothing.
    pub fn job(&self) -> Job {
        let step = Step {
            count: self.tasks,
            needs: Resources {
                cpu_milli: self.cpu_milli,
                memory_mb: self.memory_mb,
                accelerators: self.accelerators,
            },
            estimate: self.estimate,
            label: self.label.clone(),
            rack: self.rack.clone(),
            ..Step::default()
        };
        Job {
            id: JobId(0),
            request: "explain".into(),
            payload: "".into(),
            steps: vec![step],
        }
    }
}
