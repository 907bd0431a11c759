//! The operator: sends configurations and reads them back, at any control node, and follows redirects.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::Json;
use crate::record::Record;

/// Longest time for one answer, of the operator's own.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// One call, with at most two redirects. Returns the last answer and the node that gave it.
fn call(node: SocketAddr, method: &str, body: &str) -> Option<(Message, SocketAddr)> {
    let mut node = node;
    for _ in 0..3 {
        let answer = http::call(node, method, "/-/config", "", body, ANSWER_TIME)?;
        if answer.status() != 307 {
            return Some((answer, node));
        }
        let location = answer.header("Location")?;
        let address = location.strip_prefix("http://")?.split('/').next()?;
        node = address.parse().ok()?;
    }
    None
}

/// Sends a configuration until it is acknowledged, for at most this long. Returns whether it was.
pub fn publish(
    nodes: &[SocketAddr],
    config: &str,
    what: &str,
    time: Duration,
    record: &Record,
) -> bool {
    let begin = Instant::now();
    let mut last = String::new();
    while begin.elapsed() < time {
        for node in nodes {
            let answer = call(*node, "PUT", config);
            let status = answer.as_ref().map_or(0, |(answer, _)| answer.status());
            let line = format!("operator: PUT {what} at {node} -> {status}");
            if line != last {
                record.note(&line);
                last = line;
            }
            if status == 200 {
                return true;
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Asks each node once for the newest configuration. Returns its versions as answered with 200.
pub fn read(nodes: &[SocketAddr], record: &Record) -> Vec<(u64, String)> {
    let mut versions = Vec::new();
    for node in nodes {
        let answer = call(*node, "GET", "");
        let status = answer.as_ref().map_or(0, |(answer, _)| answer.status());
        let body = answer.map(|(answer, _)| answer.body).unwrap_or_default();
        let version = Json::parse(&body).and_then(|doc| doc.get("version").number());
        let shown = version.map_or("-".to_owned(), |version| version.to_string());
        record.note(format!(
            "operator: GET at {node} -> {status}, version {shown}"
        ));
        if let (200, Some(version)) = (status, version) {
            versions.push((version, body));
        }
    }
    versions
}

/// A configuration with the queue `/q/` of host `h` on service `s`.
pub fn config(version: u64, timeout_ms: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-q","host":"h","pathPrefix":"/q/","kind":"non_idempotent","timeoutMs":{timeout_ms},"targetLatencyMs":60,"priority":0,"service":"s","maxAttempts":3,"slackFactor":1.6}}],"services":[{{"name":"s","healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"rejectsOverload":true,"standby":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}
