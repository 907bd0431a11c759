//! HTTP helpers that the daemons share: health, readiness and metrics endpoints, problem documents,
//! bodies of limited size.

mod looped;
mod server;

use std::io::Read;

use rouille::{Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::cluster::Cluster;
use crate::json::{self, JsonLimits};
use crate::metrics;

pub use looped::{Service, serve_looped};
pub use server::{PendingRequests, serve};

/// Maximum estimated size of a parsed body, in bytes.
const MAX_PARSED_BYTES: usize = 64 * 1024 * 1024;

/// Answers the endpoints that all daemons serve (`/healthz`, `/readyz`, `/v1/inforce`, `/metrics`);
/// `None` for any other request. `/readyz` answers 200 if `ready`, else 503.
pub fn common_endpoints(req: &Request, ready: bool, cluster: &Cluster) -> Option<Response> {
    match (req.method(), req.url().as_str()) {
        ("GET", "/healthz") => Some(Response::text("ok\n")),
        ("GET", "/readyz") if ready => Some(Response::text("ready\n")),
        ("GET", "/readyz") => Some(Response::text("not ready\n").with_status_code(503)),
        ("GET", "/v1/inforce") => Some(json(&cluster.in_force())),
        ("GET", "/metrics") => Some(Response::text(metrics::render())),
        _ => None,
    }
}

/// A problem document (RFC 9457).
#[derive(Debug, Serialize)]
pub struct Problem<'a> {
    /// The problem type, a stable URN that clients may match.
    #[serde(rename = "type")]
    pub kind: String,
    /// The HTTP status code of the response.
    pub status: u16,
    /// Explanation of this occurrence, one line; not stable.
    pub detail: &'a str,
    /// Whether the work may have run, `not-run` or `unknown`; `None` where that does not apply.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<&'a str>,
}

/// Returns a response with a problem document of the type `urn:redwingwick:{kind}`.
pub fn problem(kind: &str, status: u16, detail: &str, outcome: Option<&str>) -> Response {
    let problem = Problem {
        kind: format!("urn:redwingwick:{kind}"),
        status,
        detail,
        outcome,
    };
    let text = serde_json::to_string(&problem).unwrap_or_default();
    Response::from_data("application/problem+json", text).with_status_code(status)
}

/// Returns a 200 response with `value` as JSON, or a 500 problem if it cannot be serialized.
pub fn json<T>(value: &T) -> Response
where
    T: Serialize,
{
    match serde_json::to_string(value) {
        Ok(text) => Response::from_data("application/json", text),
        Err(e) => problem("internal", 500, &e.to_string(), None),
    }
}

/// Reads a body of at most `max` bytes. Fails with the response to send: 413 if the body is longer,
/// 400 if it is cut off.
pub fn read_body(req: &Request, max: usize) -> Result<Vec<u8>, Response> {
    let too_large = || {
        problem(
            "too-large",
            413,
            &format!("the body has more than {max} bytes"),
            Some("not-run"),
        )
    };
    let content_length = req
        .header("Content-Length")
        .and_then(|value| value.parse::<usize>().ok());
    if content_length.is_some_and(|len| len > max) {
        return Err(too_large());
    }
    let mut buf = Vec::new();
    let Some(data) = req.data() else {
        return Ok(buf);
    };
    if data.take(max as u64 + 1).read_to_end(&mut buf).is_err() {
        return Err(problem(
            "malformed",
            400,
            "the body was cut off",
            Some("not-run"),
        ));
    }
    if buf.len() > max {
        Err(too_large())
    } else {
        Ok(buf)
    }
}

/// Reads and parses a JSON body of at most `max` bytes. Fails as [`read_body`] does, and with a 400
/// response if the body does not parse.
pub fn json_body<T>(req: &Request, max: usize) -> Result<T, Response>
where
    T: DeserializeOwned,
{
    let buf = read_body(req, max)?;
    json::from_slice(&buf, &JsonLimits::document(MAX_PARSED_BYTES))
        .map_err(|e| problem("malformed", 400, &e.to_string(), Some("not-run")))
}

/// Returns the BLAKE3 hash of a token in hexadecimal, the form in which settings and configuration
/// store tokens.
pub fn token_hash(token: &str) -> String {
    blake3::hash(token.as_bytes()).to_hex().to_string()
}

/// Returns the hash of a request's bearer token, as [`token_hash`] gives it; `None` without one.
pub fn bearer_hash(req: &Request) -> Option<String> {
    authorization_hash(req.header("Authorization"))
}

/// Returns the hash of the bearer token in the value of an `Authorization` header; `None` without
/// one.
pub fn authorization_hash(value: Option<&str>) -> Option<String> {
    let token = value?.strip_prefix("Bearer ")?;
    Some(token_hash(token.trim()))
}
