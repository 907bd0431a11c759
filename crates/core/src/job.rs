//! Jobs and tasks as callers submit them.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Digest, JobKey, Name};

/// The most tasks that one job may hold.
pub const MAX_TASKS: usize = 410;
/// The largest payload of one task, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024;

/// How long a job's tasks run by the caller's word.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Up to about a second.
    Short,
    /// Several seconds and more.
    Long,
}

impl Class {
    /// Both classes, short first.
    pub const ALL: [Self; 2] = [Self::Short, Self::Long];

    /// The label in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Long => "long",
        }
    }

    /// The run time that is assumed before any task was seen.
    pub fn prior(self) -> Duration {
        match self {
            Self::Short => Duration::from_millis(300),
            Self::Long => Duration::from_secs(5),
        }
    }
}

/// What one task of a job needs from a worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Needs {
    /// Cores, at least.
    #[serde(default)]
    pub cores: u32,
    /// Memory in MiB, at least.
    #[serde(default)]
    pub memory_mb: u32,
    /// Accelerators, at least.
    #[serde(default)]
    pub accelerators: u32,
}

impl Needs {
    /// Whether a worker of size `offer` can run the task.
    pub fn fit(self, offer: Self) -> bool {
        self.cores <= offer.cores
            && self.memory_mb <= offer.memory_mb
            && self.accelerators <= offer.accelerators
    }
}

/// One task of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskSpec {
    /// Opaque bytes for the backend server.
    pub payload: Arc<[u8]>,
    /// The declared run time; only a prior, corrected by what is seen.
    pub declared: Option<Duration>,
}

/// One job as a caller submitted it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// The key, from the caller or made by the entry.
    pub key: JobKey,
    /// Whether the caller gave the key, so that the job may be submitted again.
    pub keyed: bool,
    /// The tenant that is charged.
    pub tenant: Name,
    /// The service whose backend servers run the tasks.
    pub service: Name,
    /// Short or long work.
    pub class: Class,
    /// Time from submission until the answer is of no use.
    pub deadline: Duration,
    /// What each task needs.
    pub needs: Needs,
    /// 1 to [`MAX_TASKS`] tasks.
    pub tasks: Vec<TaskSpec>,
}

impl JobSpec {
    /// The digest of everything that makes two requests the same.
    pub fn digest(&self) -> Digest {
        let mut parts: Vec<&[u8]> = vec![
            self.tenant.as_bytes(),
            self.service.as_bytes(),
            self.class.as_str().as_bytes(),
        ];
        parts.extend(self.tasks.iter().map(|task| &*task.payload));
        Digest::of(&parts)
    }
}

/// The digest of one task's request, which its result must repeat.
pub fn task_digest(key: JobKey, index: u16, payload: &[u8]) -> Digest {
    Digest::of(&[&key.0.to_le_bytes(), &index.to_le_bytes(), payload])
}
