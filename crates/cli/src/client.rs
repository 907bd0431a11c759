//! HTTP to the control nodes.

use std::time::Duration;

use attohttpc::{ProxySettings, RequestBuilder, Response};
use clap::ArgMatches;
use rw_core::config::{Change, ChangeOutcome, ChangeRequest, ClusterState};
use rw_core::members::Member;
use rw_host::cluster::InForce;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use uuid::Uuid;

use crate::error::Error;

const TIMEOUT: Duration = Duration::from_secs(8);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Rounds over all control nodes while none leads.
const ROUNDS: usize = 10;
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// What a control node says of the cluster.
#[derive(Debug, Deserialize)]
pub struct Status {
    /// Its replicated log.
    pub log: serde_json::Value,
    /// The configuration.
    pub state: ClusterState,
    /// The members.
    pub members: Vec<Member>,
}

/// The control nodes, and how changes are sent.
#[derive(Debug)]
pub struct Client {
    nodes: Vec<String>,
    token: String,
    request_id: Option<Uuid>,
    base: Option<u64>,
}

/// One node's reply.
enum Reply {
    Answer(u16, String),
    /// Certainly not taken.
    Elsewhere(String),
    /// Perhaps taken.
    Lost(String),
}

impl Client {
    /// From the global arguments.
    pub fn new(matches: &ArgMatches) -> Self {
        let nodes = matches
            .get_many::<String>("control")
            .into_iter()
            .flatten()
            .cloned();
        Self {
            nodes: nodes.collect(),
            token: crate::app::get(matches, "token").unwrap_or_default(),
            request_id: crate::app::get(matches, "request-id"),
            base: crate::app::get(matches, "base"),
        }
    }

    /// The state of the cluster: from the one leader, or from any node.
    pub fn status(&self, any: bool) -> Result<Status, Error> {
        parse(&self.status_text(any)?)
    }

    /// The same as JSON text.
    pub fn status_text(&self, any: bool) -> Result<String, Error> {
        let path = if any {
            "/v1/status"
        } else {
            "/v1/status?confirmed=1"
        };
        let mut last = String::new();
        for round in 0..ROUNDS {
            pause(round);
            for node in &self.nodes {
                match self.call(node, attohttpc::get(format!("http://{node}{path}")), None) {
                    Reply::Answer(200, text) => return Ok(text),
                    Reply::Answer(401, text) => return Err(Error::Invalid(text)),
                    Reply::Answer(_, text) | Reply::Elsewhere(text) | Reply::Lost(text) => {
                        last = text;
                    }
                }
            }
        }
        Err(Error::Unavailable(last))
    }

    /// What is in force at one node, or why that is not known.
    pub fn in_force(&self, node: &str) -> Result<InForce, String> {
        match self.call(
            node,
            attohttpc::get(format!("http://{node}/v1/inforce")),
            None,
        ) {
            Reply::Answer(200, text) => serde_json::from_str(&text).map_err(|e| e.to_string()),
            Reply::Answer(_, text) | Reply::Elsewhere(text) | Reply::Lost(text) => Err(text),
        }
    }

    /// Makes a change, once. Returns the new revision.
    pub fn change(&self, change: Change) -> Result<u64, Error> {
        let base = match self.base {
            Some(base) => base,
            None => self.status(false)?.state.revision,
        };
        let request_id = self.request_id.unwrap_or_else(Uuid::now_v7);
        let req = ChangeRequest {
            request_id,
            base,
            change,
        };
        let body = serde_json::to_string(&req).map_err(|e| Error::Invalid(e.to_string()))?;
        let mut lost = None;
        let mut last = String::new();
        for round in 0..ROUNDS {
            pause(round);
            for node in &self.nodes {
                let url = format!("http://{node}/v1/changes");
                match self.call(node, attohttpc::post(url), Some(&body)) {
                    Reply::Answer(504, reason) | Reply::Lost(reason) => lost = Some(reason),
                    Reply::Answer(200 | 409 | 422, text) => return outcome(&text),
                    Reply::Answer(400..=499, text) => return Err(Error::Invalid(text)),
                    Reply::Answer(_, reason) | Reply::Elsewhere(reason) => last = reason,
                }
            }
        }
        match lost {
            Some(reason) => Err(Error::Undecided { request_id, reason }),
            None => Err(Error::Unavailable(last)),
        }
    }

    fn call(&self, node: &str, req: RequestBuilder, body: Option<&str>) -> Reply {
        let req = req
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(TIMEOUT)
            .proxy_settings(ProxySettings::builder().build())
            .header("Authorization", format!("Bearer {}", self.token));
        let sent = match body {
            Some(body) => req
                .header("Content-Type", "application/json")
                .text(body)
                .send(),
            None => req.send(),
        };
        match sent.and_then(read) {
            Ok((421, text)) => Reply::Elsewhere(text),
            Ok((status, text)) => Reply::Answer(status, text),
            Err(e) if is_refused(&e) => Reply::Elsewhere(format!("{node}: {e}")),
            Err(e) => Reply::Lost(format!("{node}: {e}")),
        }
    }
}

fn pause(round: usize) {
    if round > 0 {
        std::thread::sleep(ROUND_PAUSE);
    }
}

fn read(response: Response) -> attohttpc::Result<(u16, String)> {
    let status = response.status().as_u16();
    Ok((status, response.text()?))
}

fn is_refused(e: &attohttpc::Error) -> bool {
    matches!(e.kind(), attohttpc::ErrorKind::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn parse<T>(text: &str) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    serde_json::from_str(text).map_err(|e| Error::Unavailable(format!("unreadable answer: {e}")))
}

fn outcome(text: &str) -> Result<u64, Error> {
    match parse(text)? {
        ChangeOutcome::Applied { revision } => Ok(revision),
        ChangeOutcome::Conflict { base, changed_at } => Err(Error::Conflict { base, changed_at }),
        ChangeOutcome::Invalid { reason } => Err(Error::Invalid(reason)),
    }
}
