//! JSON format of job requests and answers.

use std::str;
use std::sync::Arc;
use std::time::Duration;

use rw_core::answer::{Failure, FailureKind};
use rw_core::dispatcher::Now;
use rw_core::ids::{JobKey, Name};
use rw_core::job::{Class, JobSpec, MAX_TASKS, Resources, TaskSpec};
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::{DurationMilliSeconds, serde_as};

/// Longest deadline that a job may have, from its arrival.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// A job as submitted by a caller. Unknown keys are an error.
#[serde_as]
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    tenant: Name,
    service: Name,
    class: Class,
    #[serde(default = "default_idempotent")]
    idempotent: bool,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    deadline: Duration,
    #[serde(default)]
    needs: Resources,
    tasks: Vec<TaskRequest>,
}

fn default_idempotent() -> bool {
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

/// A payload or result: a JSON string if the bytes are UTF-8, otherwise an object with base64.
#[serde_as]
#[derive(Debug, Deserialize, Serialize)]
#[serde(untagged)]
pub enum Bytes {
    /// UTF-8 text, encoded as a string.
    Text(String),
    /// Arbitrary bytes, encoded as `{"base64": "..."}`.
    Base64 {
        /// The decoded bytes.
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

    fn from_result(result: &[u8]) -> Self {
        match str::from_utf8(result) {
            Ok(text) => Self::Text(text.into()),
            Err(_) => Self::Base64 {
                base64: result.into(),
            },
        }
    }
}

/// The answer to a job whose tasks all succeeded.
#[derive(Debug, Serialize)]
pub struct JobAnswer {
    key: String,
    results: Vec<Bytes>,
}

impl JobAnswer {
    /// Creates the answer from the tasks' results, in the order of the tasks.
    pub fn new(key: JobKey, results: &[Arc<[u8]>]) -> Self {
        Self {
            key: key.to_string(),
            results: results
                .iter()
                .map(|result| Bytes::from_result(result))
                .collect(),
        }
    }
}

impl JobRequest {
    /// Returns the tenant named in the request. It is not checked against the caller's token here.
    pub fn tenant(&self) -> &Name {
        &self.tenant
    }

    /// Validates the request and converts it to a job.
    ///
    /// `key` is the caller's idempotency key. Without one, an idempotent request gets a new key and
    /// any other request fails with [`FailureKind::KeyRequired`]. Other invalid requests fail with
    /// [`FailureKind::Malformed`].
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
            declared_run_time: task.run,
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
