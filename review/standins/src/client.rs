//! Clients: jobs handed in on a connection that stays open until the answer, and cancels.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use crate::cluster::{HOST, PREFIX};
use crate::http;
use crate::record::Record;

/// A job that was handed in; its answer comes later.
pub struct Submitted {
    answer: Receiver<(u16, String)>,
}

impl Submitted {
    /// Waits for the answer; status 0 if the connection ended without one.
    pub fn answer(&self, timeout: Duration) -> (u16, String) {
        self.answer
            .recv_timeout(timeout)
            .unwrap_or((0, "no answer in time".into()))
    }
}

/// Returns the body of a job with one task a step, each after the one before it.
pub fn chain(steps: usize, run_ms: u64) -> String {
    let phases: Vec<String> = (0..steps)
        .map(|step| {
            let after = if step == 0 {
                String::new()
            } else {
                format!(",\"after\":[{}]", step - 1)
            };
            format!("{{\"count\":1,\"cpu\":1600,\"memMb\":64,\"estRuntimeMs\":{run_ms}{after}}}")
        })
        .collect();
    format!(
        "{{\"spec\":\"ms={run_ms}\",\"bestEffort\":true,\"phases\":[{}]}}",
        phases.join(",")
    )
}

/// Returns the body of a job with one step of equal tasks.
pub fn wide(count: usize, run_ms: u64) -> String {
    format!(
        "{{\"spec\":\"ms={run_ms}\",\"bestEffort\":true,\
         \"phases\":[{{\"count\":{count},\"cpu\":1600,\"memMb\":64,\"estRuntimeMs\":{run_ms}}}]}}"
    )
}

/// Hands a job in.
pub fn submit(
    entry: SocketAddr,
    id: &str,
    body: &str,
    deadline: Duration,
    record: &Record,
) -> Submitted {
    let (tx, answer) = channel();
    let (id, body, record) = (id.to_owned(), body.to_owned(), record.clone());
    record.line(format!("client sends POST {PREFIX}{id} to {entry}: {body}"));
    thread::spawn(move || {
        let headers = format!(
            "Host: {HOST}\r\nX-Deadline-Ms: {}\r\n",
            deadline.as_millis()
        );
        let path = format!("{PREFIX}{id}");
        let timeout = deadline + Duration::from_secs(1);
        let answer = match http::call(entry, "POST", &path, &headers, &body, timeout) {
            Ok(Some(answer)) => (answer.status(), answer.body),
            Ok(None) => (0, "the connection ended".into()),
            Err(e) => (0, e.to_string()),
        };
        record.line(format!("answer to POST {id}: {} {}", answer.0, answer.1));
        let _ = tx.send(answer);
    });
    Submitted { answer }
}

/// Cancels a job at this entry and returns the status.
pub fn cancel(entry: SocketAddr, id: &str, timeout: Duration, record: &Record) -> u16 {
    record.line(format!("client sends DELETE {PREFIX}{id} to {entry}"));
    let headers = format!("Host: {HOST}\r\n");
    let path = format!("{PREFIX}{id}");
    let sent = http::call(entry, "DELETE", &path, &headers, "", timeout);
    let status = sent.ok().flatten().map_or(0, |answer| answer.status());
    record.line(format!("answer to DELETE {id}: {status}"));
    status
}
