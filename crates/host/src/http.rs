//! HTTP that all daemons serve: health, readiness, metrics, problems, bounded bodies.

use std::io::{self, Cursor, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use rouille::{Request, Response, ResponseBody, Server};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::cluster::Cluster;
use crate::link::spawn;
use crate::metrics;

/// Counts responses that are not yet written in full.
#[derive(Clone, Debug, Default)]
pub struct Pending(Arc<AtomicUsize>);

impl Pending {
    /// Responses under way.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }

    fn guard(&self) -> PendingGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        PendingGuard(self.clone())
    }
}

struct PendingGuard(Pending);

impl Drop for PendingGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A response body that counts as pending until it is dropped.
struct GuardedBody {
    body: Cursor<Vec<u8>>,
    _guard: PendingGuard,
}

impl Read for GuardedBody {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        self.body.read(buf)
    }
}

/// Serves HTTP in threads of its own, with at most `threads` requests at once.
pub fn serve<F>(addr: SocketAddr, threads: usize, handler: F) -> io::Result<Pending>
where
    F: Fn(&Request) -> Response + Send + Sync + 'static,
{
    let pending = Pending::default();
    let counted = pending.clone();
    let respond = move |req: &Request| {
        let guard = counted.guard();
        guard_body(handler(req), guard)
    };
    let server = Server::new(addr, respond)
        .map_err(|e| io::Error::new(io::ErrorKind::AddrInUse, e.to_string()))?
        .pool_size(threads);
    spawn("http", move || server.run());
    Ok(pending)
}

fn guard_body(mut response: Response, guard: PendingGuard) -> Response {
    let (mut reader, _) = response.data.into_reader_and_size();
    let mut body = Vec::new();
    if reader.read_to_end(&mut body).is_err() {
        body.clear();
    }
    let len = body.len();
    let guarded = GuardedBody {
        body: Cursor::new(body),
        _guard: guard,
    };
    response.data = ResponseBody::from_reader_and_size(guarded, len);
    response
}

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
