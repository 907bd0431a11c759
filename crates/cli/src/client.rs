//! HTTP client for the control nodes, and for entries that explain.

use std::time::Duration;

use attohttpc::{ProxySettings, RequestBuilder, Response};
use clap::ArgMatches;
use rw_core::config::{Change, ChangeOutcome, ChangeRequest, ClusterState};
use rw_core::members::Member;
use rw_core::pool::question::{EXPLAIN_PATH, Question};
use rw_host::cluster::InForce;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use uuid::Uuid;

use crate::error::Error;

/// Maximum duration of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
/// Time-out of connecting to a control node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of rounds over all control nodes while no leader answers.
const MAX_ROUNDS: usize = 10;
/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// Cluster status as reported by a control node.
#[derive(Debug, Deserialize)]
pub struct Status {
    /// Status of the node's replicated log.
    pub log: serde_json::Value,
    /// Configuration of the cluster.
    pub state: ClusterState,
    /// Members of the cluster.
    pub members: Vec<Member>,
}

/// Client that tries the given control nodes in turn.
#[derive(Debug)]
pub struct Client {
    nodes: Vec<String>,
    token: String,
    request_id: Option<Uuid>,
    base: Option<u64>,
}

/// Result of a request to one node.
enum Reply {
    /// HTTP status and body.
    Answer(u16, String),
    /// The node does not lead or refused the connection, so the request had no effect.
    NotAccepted(String),
    /// No complete response arrived; the request may have taken effect.
    NoResponse(String),
}

impl Client {
    /// Creates a client from the global arguments.
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

    /// Returns the cluster status, confirmed by the leader or, with `any`, from any control node.
    pub fn status(&self, any: bool) -> Result<Status, Error> {
        parse(&self.status_text(any)?)
    }

    /// Returns the same status as JSON text.
    pub fn status_text(&self, any: bool) -> Result<String, Error> {
        let path = if any {
            "/v1/status"
        } else {
            "/v1/status?confirmed=1"
        };
        let mut last_reason = String::new();
        for round in 0..MAX_ROUNDS {
            pause_between_rounds(round);
            for node in &self.nodes {
                match self.call(node, attohttpc::get(format!("http://{node}{path}")), None) {
                    Reply::Answer(200, text) => return Ok(text),
                    Reply::Answer(401, text) => return Err(Error::Invalid(text)),
                    Reply::Answer(_, text) | Reply::NotAccepted(text) | Reply::NoResponse(text) => {
                        last_reason = text;
                    }
                }
            }
        }
        Err(Error::Unavailable(last_reason))
    }

    /// Returns the revision and preset in force at one node, or the reason why they are unknown.
    pub fn in_force(&self, node: &str) -> Result<InForce, String> {
        match self.call(
            node,
            attohttpc::get(format!("http://{node}/v1/inforce")),
            None,
        ) {
            Reply::Answer(200, text) => serde_json::from_str(&text).map_err(|e| e.to_string()),
            Reply::Answer(_, text) | Reply::NotAccepted(text) | Reply::NoResponse(text) => {
                Err(text)
            }
        }
    }

    /// Returns an entry's explanation, as JSON text, of where a job would go.
    pub fn explain(&self, entry: &str, question: &Question) -> Result<String, Error> {
        let body = serde_json::to_string(question).map_err(|e| Error::Invalid(e.to_string()))?;
        let url = format!("http://{entry}{EXPLAIN_PATH}");
        match self.call(entry, attohttpc::post(url), Some(&body)) {
            Reply::Answer(200, text) => Ok(text),
            Reply::Answer(422, text) => Err(Error::UnknownQueue(text)),
            Reply::Answer(400 | 401 | 413, text) => Err(Error::Invalid(text)),
            Reply::Answer(status, text) => {
                Err(Error::Entry(format!("{entry}: status {status} {text}")))
            }
            Reply::NotAccepted(reason) | Reply::NoResponse(reason) => Err(Error::Entry(reason)),
        }
    }

    /// Makes a change and returns the new revision.
    ///
    /// All attempts carry the same request id, so that the change takes effect at most once.
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
        let mut undecided = None;
        let mut last_reason = String::new();
        for round in 0..MAX_ROUNDS {
            pause_between_rounds(round);
            for node in &self.nodes {
                let url = format!("http://{node}/v1/changes");
                match self.call(node, attohttpc::post(url), Some(&body)) {
                    Reply::Answer(504, reason) | Reply::NoResponse(reason) => {
                        undecided = Some(reason);
                    }
                    Reply::Answer(200 | 409 | 422, text) => return parse_outcome(&text),
                    Reply::Answer(400..=499, text) => return Err(Error::Invalid(text)),
                    Reply::Answer(_, reason) | Reply::NotAccepted(reason) => last_reason = reason,
                }
            }
        }
        match undecided {
            Some(reason) => Err(Error::Undecided { request_id, reason }),
            None => Err(Error::Unavailable(last_reason)),
        }
    }

    fn call(&self, node: &str, req: RequestBuilder, body: Option<&str>) -> Reply {
        let req = req
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(REQUEST_TIMEOUT)
            .proxy_settings(ProxySettings::builder().build())
            .header("Authorization", format!("Bearer {}", self.token));
        let sent = match body {
            Some(body) => req
                .header("Content-Type", "application/json")
                .text(body)
                .send(),
            None => req.send(),
        };
        match sent.and_then(read_response) {
            Ok((421, text)) => Reply::NotAccepted(text),
            Ok((status, text)) => Reply::Answer(status, text),
            Err(e) if is_refused(&e) => Reply::NotAccepted(format!("{node}: {e}")),
            Err(e) => Reply::NoResponse(format!("{node}: {e}")),
        }
    }
}

fn pause_between_rounds(round: usize) {
    if round > 0 {
        std::thread::sleep(ROUND_PAUSE);
    }
}

fn read_response(response: Response) -> attohttpc::Result<(u16, String)> {
    let status = response.status().as_u16();
    Ok((status, response.text()?))
}

fn is_refused(e: &attohttpc::Error) -> bool {
    matches!(e.kind(), attohttpc::ErrorKind::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// Parses an answer.
pub fn parse<T>(text: &str) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    serde_json::from_str(text)
        .map_err(|e| Error::Unavailable(format!("cannot parse the answer: {e}")))
}

fn parse_outcome(text: &str) -> Result<u64, Error> {
    match parse(text)? {
        ChangeOutcome::Applied { revision } => Ok(revision),
        ChangeOutcome::Conflict { base, changed_at } => Err(Error::Conflict { base, changed_at }),
        ChangeOutcome::Invalid { reason } => Err(Error::Invalid(reason)),
    }
}
