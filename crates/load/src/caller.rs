//! Simulated callers, which submit jobs by HTTP and classify the answers.

use std::time::{Duration, Instant};

use attohttpc::ProxySettings;
use rw_core::ids::JobKey;
use rw_host::clock;
use serde::Serialize;
use serde_json::{Value, json};

use crate::cluster::{CALLER_TOKEN, SERVICE};

/// A job to submit.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Time of submission, from the start of the load.
    pub at: Duration,
    /// Name of the tenant.
    pub tenant: String,
    /// Whether the job is of class `long` instead of `short`.
    pub long: bool,
    /// Deadline, from the submission.
    pub deadline: Duration,
    /// Run times of the tasks on a worker of speed 1.
    pub runs: Vec<Duration>,
    /// Ratio of the declared run times to the actual ones; `None` declares no run times.
    pub declared_factor: Option<f64>,
}

impl Job {
    /// Returns the sum of the run times of all tasks.
    pub fn work(&self) -> Duration {
        self.runs.iter().sum()
    }
}

/// Result of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SubmissionResult {
    /// The answer is complete and correct.
    Whole,
    /// The answer is incomplete or incorrect.
    Wrong,
    /// The job failed or was refused, and no task was run.
    NotRun,
    /// The job failed, and it is unknown which tasks were run.
    Unknown,
    /// No answer was received.
    Lost,
}

/// Result of one submission, with its duration.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Result of the submission.
    pub result: SubmissionResult,
    /// Time from the submission to the answer.
    pub time: Duration,
    /// Problem type of the answer without its URN prefix, `lost` without an answer, or empty on
    /// success.
    pub problem: String,
}

/// Returns a new random job key, based on the current wall-clock time.
pub fn new_key() -> JobKey {
    JobKey::new(clock::wall(), fastrand::u128(..))
}

/// Returns the text with which the backend server answers a task.
fn expected_answer(key: JobKey, i: usize) -> String {
    format!("{key}-{i}")
}

/// Returns the JSON body of a submission.
pub fn request_body(key: JobKey, job: &Job) -> String {
    let task = |(i, run): (usize, &Duration)| {
        let payload = format!("run={} echo={}", run.as_millis(), expected_answer(key, i));
        let mut task = json!({ "payload": payload });
        if let Some(factor) = job.declared_factor {
            task["run_ms"] = json!((run.as_secs_f64() * factor * 1000.0).max(1.0) as u64);
        }
        task
    };
    let body = json!({
        "tenant": job.tenant,
        "service": SERVICE,
        "class": if job.long { "long" } else { "short" },
        "deadline_ms": job.deadline.as_millis() as u64,
        "tasks": job.runs.iter().enumerate().map(task).collect::<Vec<_>>(),
    });
    body.to_string()
}

/// Classifies an answer. Returns the result of the submission and the problem type without its URN
/// prefix; the latter is empty on success and `none` if the answer does not state it.
pub fn classify_answer(
    status: u16,
    text: &str,
    key: JobKey,
    job: &Job,
) -> (SubmissionResult, String) {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    if status == 200 {
        let expected = (0..job.runs.len()).map(|i| json!(expected_answer(key, i)));
        let is_correct = value["results"] == Value::Array(expected.collect());
        let result = if is_correct {
            SubmissionResult::Whole
        } else {
            SubmissionResult::Wrong
        };
        return (result, String::new());
    }
    let result = if value["outcome"] == "not-run" {
        SubmissionResult::NotRun
    } else {
        SubmissionResult::Unknown
    };
    let problem = value["type"].as_str().unwrap_or("none");
    (result, problem.replace("urn:redwingwick:", ""))
}

/// Submits a job under a key to the entry at an HTTP address `host:port`, and waits for the answer
/// until 5 s after the deadline.
pub fn submit(entry: &str, key: JobKey, job: &Job) -> Outcome {
    let start = Instant::now();
    let reply = attohttpc::post(format!("http://{entry}/v1/jobs"))
        .connect_timeout(Duration::from_secs(1))
        .timeout(job.deadline + Duration::from_secs(5))
        .read_timeout(job.deadline + Duration::from_secs(5))
        .proxy_settings(ProxySettings::builder().build())
        .header("Authorization", format!("Bearer {CALLER_TOKEN}"))
        .header("Idempotency-Key", key.to_string())
        .text(request_body(key, job))
        .send()
        .and_then(|response| Ok((response.status().as_u16(), response.text()?)));
    let time = start.elapsed();
    let (result, problem) = match reply {
        Ok((status, text)) => classify_answer(status, &text, key, job),
        Err(_) => (SubmissionResult::Lost, "lost".into()),
    };
    Outcome {
        result,
        time,
        problem,
    }
}

/// Submits all jobs at their times and returns the outcomes in the order of the jobs. `entry_of`
/// returns the HTTP address of the entry for the index of a job. The load is open-loop: a slow
/// answer does not delay other submissions.
pub fn submit_all<F>(jobs: &[Job], entry_of: F) -> Vec<Outcome>
where
    F: Fn(usize) -> String,
{
    let start = Instant::now();
    let mut threads = Vec::new();
    for (i, job) in jobs.iter().enumerate() {
        if let Some(wait) = job.at.checked_sub(start.elapsed()) {
            std::thread::sleep(wait);
        }
        let (entry, job) = (entry_of(i), job.clone());
        let thread = std::thread::Builder::new()
            .stack_size(256 * 1024)
            .spawn(move || submit(&entry, new_key(), &job));
        threads.push(thread);
    }
    let lost = || Outcome {
        result: SubmissionResult::Lost,
        time: Duration::ZERO,
        problem: "lost".into(),
    };
    threads
        .into_iter()
        .map(|thread| {
            thread
                .ok()
                .and_then(|thread| thread.join().ok())
                .unwrap_or_else(lost)
        })
        .collect()
}
