//! HTTP that all daemons serve: health, readiness, metrics, problems, bounded bodies.

mod server;

use std::io::Read;

use rouille::{Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::cluster::Cluster;
use crate::metrics;

pub use server::{Pending, serve};

/// Answers the paths that all daemons have.
pub fn common(req: &Request, ready: bool, cluster: &Cluster) -> Option<Response> {
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
    /// Stable type.
    #[serde(rename = "type")]
    pub kind: String,
    /// HTTP status.
    pub status: u16,
    /// One line for people.
    pub detail: &'a str,
    /// `not-run` or `unknown`, where it applies.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<&'a str>,
}

/// A response with a problem document.
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

/// A response with a JSON document.
pub fn json<T>(value: &T) -> Response
where
    T: Serialize,
{
    match serde_json::to_string(value) {
        Ok(text) => Response::from_data("application/json", text),
        Err(e) => problem("internal", 500, &e.to_string(), None),
    }
}

/// Reads a body of at most `max` bytes.
pub fn body(req: &Request, max: usize) -> Result<Vec<u8>, Response> {
    let too_large = || {
        problem(
            "too-large",
            413,
            &format!("the body has more than {max} bytes"),
            Some("not-run"),
        )
    };
    let announced = req
        .header("Content-Length")
        .and_then(|value| value.parse::<usize>().ok());
    if announced.is_some_and(|len| len > max) {
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

/// Reads a JSON body of at most `max` bytes.
pub fn json_body<T>(req: &Request, max: usize) -> Result<T, Response>
where
    T: DeserializeOwned,
{
    let buf = body(req, max)?;
    serde_json::from_slice(&buf)
        .map_err(|e| problem("malformed", 400, &e.to_string(), Some("not-run")))
}

/// The hash under which a token stands in settings and configuration.
pub fn token_hash(token: &str) -> String {
    blake3::hash(token.as_bytes()).to_hex().to_string()
}

/// The bearer token of a request, hashed.
pub fn bearer_hash(req: &Request) -> Option<String> {
    let token = req.header("Authorization")?.strip_prefix("Bearer ")?;
    Some(token_hash(token.trim()))
}
