//! The JSON that callers send and get.

use std::str;
use std::sync::Arc;
use std::time::Duration;

use rw_core::answer::{Failure, FailureKind};
use rw_core::dispatcher::Now;
use rw_core::ids::{JobKey, Name};
use rw_core::job::{Class, JobSpec, MAX_TASKS, Needs, TaskSpec};
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::{DurationMilliSeconds, serde_as};

/// The longest deadline.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// A job as a caller writes it.
#[serde_as]
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    tenant: Name,
    service: Name,
    class: Class,
    #[serde(default = "yes")]
    idempotent: bool,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    deadline: Duration,
    #[serde(default)]
    needs: Needs,
    tasks: Vec<TaskRequest>,
}

fn yes() -> bool {
    true
}

#[serde_as]
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TaskRequest {
    payload: Bytes,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default, rename = "run_ms")]
    run: Option<Duration>,
}

/// Bytes as text, or in base64 when they are not UTF-8.
#[serde_as]
#[derive(Debug, Deserialize, Serialize)]
#[serde(untagged)]
pub enum Bytes {
    /// UTF-8 text.
    Text(String),
    /// Any bytes.
    Base64 {
        /// The bytes.
        #[serde_as(as = "Base64")]
        base64: Vec<u8>,
    },
}

impl Bytes {
    fn into_payload(self) -> Arc<[u8]> {
        match self {
            Self::Text(text) => text.into_bytes().into(),
            Self::Base64 { base64 } => base64.into(),
        }
    }

    fn of(result: &[u8]) -> Self {
        match str::from_utf8(result) {
            Ok(text) => Self::Text(text.into()),
            Err(_) => Self::Base64 {
                base64: result.into(),
            },
        }
    }
}

/// A whole answer as a caller gets it.
#[derive(Debug, Serialize)]
pub struct JobAnswer {
    key: String,
    results: Vec<Bytes>,
}

impl JobAnswer {
    /// The answer with these results.
    pub fn new(key: JobKey, results: &[Arc<[u8]>]) -> Self {
        Self {
            key: key.to_string(),
            results: results.iter().map(|result| Bytes::of(result)).collect(),
        }
    }
}

impl JobRequest {
    /// The tenant that the caller names.
    pub fn tenant(&self) -> &Name {
        &self.tenant
    }

    /// Checks the request and turns it into a job. The key is the caller's, or made here.
    pub fn into_spec(self, key: Option<&str>, now: Now) -> Result<JobSpec, Failure> {
        let malformed = |detail: &str| Err(Failure::not_run(FailureKind::Malformed, detail));
        if self.tasks.is_empty() || self.tasks.len() > MAX_TASKS {
            return malformed("a job has 1 to 410 tasks");
        }
        if self.deadline.is_zero() || self.deadline > MAX_DEADLINE {
            return malformed("deadline_ms must be 1 to 3600000");
        }
        let (key, keyed) = match key.map(JobKey::parse) {
            Some(Some(key)) => (key, true),
            Some(None) => return malformed("Idempotency-Key must be a UUID of version 7"),
            None if self.idempotent => (JobKey::new(now.wall, fastrand::u128(..)), false),
            None => {
                let detail = "a request that is not idempotent needs an Idempotency-Key";
                return Err(Failure::not_run(FailureKind::KeyRequired, detail));
            }
        };
        let tasks = self.tasks.into_iter().map(|task| TaskSpec {
            payload: task.payload.into_payload(),
            declared: task.run,
        });
        Ok(JobSpec {
            key,
            keyed,
            tenant: self.tenant,
            service: self.service,
            class: self.class,
            deadline: self.deadline,
            needs: self.needs,
            tasks: tasks.collect(),
        })
    }
}
