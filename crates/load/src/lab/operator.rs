//! What an operator does at a laboratory's control nodes.

use std::io;
use std::time::{Duration, Instant};

use rw_core::config::{Change, ChangeRequest};
use serde_json::Value;

use super::{OPERATOR, http};

/// How long a change is sent again while no control node takes it.
const CHANGE_TIME: Duration = Duration::from_secs(20);
/// Time between two rounds over all control nodes.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// An operator who knows the control nodes' HTTP addresses.
#[derive(Clone, Debug)]
pub struct Operator {
    controls: Vec<String>,
}

impl Operator {
    /// An operator of these control nodes.
    pub fn new(controls: Vec<String>) -> Self {
        Self { controls }
    }

    /// Makes a change at whichever control node leads. Returns the new revision.
    pub fn change(&self, change: Change) -> io::Result<u64> {
        self.request(&request(u64::MAX, change))
    }

    /// Sends a change request, again under the same id, until a control node takes it.
    pub fn request(&self, req: &ChangeRequest) -> io::Result<u64> {
        let body = serde_json::to_string(req).map_err(io::Error::other)?;
        let until = Instant::now() + CHANGE_TIME;
        let mut last = String::new();
        while Instant::now() < until {
            for control in &self.controls {
                let url = format!("http://{control}/v1/changes");
                match http("POST", &url, OPERATOR, Some(&body)) {
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
            "no control node took the change: {last}"
        )))
    }

    /// The status as the one leader confirms it.
    pub fn confirmed_status(&self, time: Duration) -> Option<Value> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            for control in &self.controls {
                let url = format!("http://{control}/v1/status?confirmed=1");
                if let Ok((200, text)) = http("GET", &url, OPERATOR, None) {
                    return serde_json::from_str(&text).ok();
                }
            }
            std::thread::sleep(ROUND_PAUSE / 2);
        }
        None
    }

    /// The status that some control node gives.
    pub fn status(&self) -> Option<Value> {
        self.controls.iter().find_map(|control| {
            let url = format!("http://{control}/v1/status");
            let (status, text) = http("GET", &url, OPERATOR, None).ok()?;
            (status == 200).then(|| serde_json::from_str(&text).ok())?
        })
    }
}

/// A change under a new id, on the revision `base`.
pub fn request(base: u64, change: Change) -> ChangeRequest {
    ChangeRequest {
        request_id: uuid::Uuid::now_v7(),
        base,
        change,
    }
}

fn revision_in(text: &str) -> u64 {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    value["applied"]["revision"].as_u64().unwrap_or(0)
}
