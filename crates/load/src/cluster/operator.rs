//! HTTP client of an operator for the control nodes of a test cluster.

use std::io;
use std::time::{Duration, Instant};

use rw_core::config::{Change, ChangeRequest};
use serde_json::Value;

use super::{OPERATOR_TOKEN, http_request};

/// Time for which a change is resent while no control node accepts or rejects it.
const CHANGE_TIME: Duration = Duration::from_secs(20);
/// Pause between two rounds over all control nodes; reads use half of it.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Client that knows the HTTP addresses of all control nodes.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    controls: Vec<String>,
}

impl OperatorClient {
    /// Creates a client for control nodes with these HTTP addresses, given as `host:port`.
    pub fn new(controls: Vec<String>) -> Self {
        Self { controls }
    }

    /// Sends a change that overrides earlier changes of the same object. Returns the new revision,
    /// or the errors of [`Self::send_change`].
    pub fn change(&self, change: Change) -> io::Result<u64> {
        self.send_change(&change_request(u64::MAX, change))
    }

    /// Sends a change request to all control nodes in turn until one of them accepts or rejects it;
    /// each resend carries the same id. Returns the new revision. The error has the kind
    /// `InvalidInput` and the text of the answer if the change was rejected (status 409 or 422),
    /// and the kind `Other` if no control node gave a final answer within 20 s.
    pub fn send_change(&self, req: &ChangeRequest) -> io::Result<u64> {
        let body = serde_json::to_string(req).map_err(io::Error::other)?;
        let until = Instant::now() + CHANGE_TIME;
        let mut last = String::new();
        while Instant::now() < until {
            for control in &self.controls {
                let url = format!("http://{control}/v1/changes");
                match http_request("POST", &url, OPERATOR_TOKEN, Some(&body)) {
                    Ok((200, text)) => return Ok(revision_in(&text)),
                    Ok((409 | 422, text)) => {
                        return Err(io::Error::new(io::ErrorKind::InvalidInput, text));
                    }
                    Ok((_, text)) => last = text,
                    Err(e) => last = e.to_string(),
                }
            }
            std::thread::sleep(ROUND_PAUSE);
        }
        Err(io::Error::other(format!(
            "no control node accepted the change within {CHANGE_TIME:?}; last answer: {last}"
        )))
    }

    /// Returns the status as confirmed by the leader, or `None` if there is no answer within
    /// `time`.
    pub fn confirmed_status(&self, time: Duration) -> Option<Value> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            for control in &self.controls {
                let url = format!("http://{control}/v1/status?confirmed=1");
                if let Ok((200, text)) = http_request("GET", &url, OPERATOR_TOKEN, None) {
                    return serde_json::from_str(&text).ok();
                }
            }
            std::thread::sleep(ROUND_PAUSE / 2);
        }
        None
    }

    /// Returns the unconfirmed status of the first control node that answers.
    pub fn status(&self) -> Option<Value> {
        self.controls.iter().find_map(|control| {
            let url = format!("http://{control}/v1/status");
            let (status, text) = http_request("GET", &url, OPERATOR_TOKEN, None).ok()?;
            (status == 200).then(|| serde_json::from_str(&text).ok())?
        })
    }
}

/// Returns a change request with a new id. It conflicts with changes of the same object after the
/// revision `base`; `u64::MAX` rules out conflicts.
pub fn change_request(base: u64, change: Change) -> ChangeRequest {
    ChangeRequest {
        request_id: uuid::Uuid::now_v7(),
        base,
        change,
    }
}

/// Returns the revision of an applied change from the answer of a control node, or 0 without one.
fn revision_in(text: &str) -> u64 {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    value["applied"]["revision"].as_u64().unwrap_or(0)
}
