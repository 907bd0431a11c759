//! An HTTP server with a thread for each connection.
//!
//! Replaces the server of `rouille` but keeps its request and response types. That server runs
//! connections in a thread pool: of several that arrive at once, some wait until another connection
//! ends, so a request may stay unread for as long as other callers keep their connections open. It
//! also does not report when a response has been written.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use rouille::{Request, Response};

use super::problem;
use crate::net::{
    BodyUse, CONTINUE, HttpLimits, HttpRequest, HttpResponse, Progress, RequestReader,
    response_bytes,
};
use crate::panics::CONNECTION_THREAD;

/// Maximum body size in bytes that the server accepts; handlers apply smaller limits.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Idle time after which a connection is closed while more than half of the permitted connections
/// are open.
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time-out of one write to a caller.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, which would otherwise repeat at once while the process has no free
/// file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const READ_BYTES: usize = 16 * 1024;
/// Stack size of a connection's thread. Handlers parse JSON and wait, so a small stack suffices.
const STACK_BYTES: usize = 512 * 1024;

/// A count of the requests whose responses are not yet written in full. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct PendingRequests(Arc<AtomicUsize>);

impl PendingRequests {
    /// Returns the number of requests being handled or answered.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }

    fn count_request(&self) -> CountGuard {
        CountGuard::new(&self.0)
    }
}

/// Holds a count up by one until it is dropped.
struct CountGuard(Arc<AtomicUsize>);

impl CountGuard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

pub(super) type Handler = dyn Fn(&Request) -> Response + Send + Sync;

/// Binds `addr` and serves HTTP with one thread for each connection. While `max_conns` connections
/// are open, further ones are answered with 503. Returns the count of pending responses.
pub fn serve<F>(addr: SocketAddr, max_conns: usize, handler: F) -> io::Result<PendingRequests>
where
    F: Fn(&Request) -> Response + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr)?;
    let server = Server {
        handler: Arc::new(handler),
        pending: PendingRequests::default(),
        open_conns: Arc::default(),
        max_conns,
    };
    let pending = server.pending.clone();
    crate::link::spawn("http", move || server.accept(&listener));
    Ok(pending)
}

#[derive(Clone)]
struct Server {
    handler: Arc<Handler>,
    pending: PendingRequests,
    /// Open connections.
    open_conns: Arc<AtomicUsize>,
    max_conns: usize,
}

impl Server {
    fn accept(&self, listener: &TcpListener) {
        loop {
            let (mut stream, peer) = match listener.accept() {
                Ok(accepted) => accepted,
                Err(e) => {
                    log::warn!(step = "accept", error:% = e; "connection not accepted");
                    std::thread::sleep(ACCEPT_RETRY_DELAY);
                    continue;
                }
            };
            if self.open_conns.load(Ordering::Acquire) >= self.max_conns {
                log::warn!(peer:% = peer, connections = self.max_conns; "connection refused: too many open connections");
                let refusal = problem("overloaded", 503, "too many connections", Some("not-run"));
                if let Err(e) = write(&mut stream, refusal, true) {
                    log::debug!(step = "refuse", peer:% = peer, error:% = e; "connection ended");
                }
                continue;
            }
            let (server, open_conn) = (self.clone(), CountGuard::new(&self.open_conns));
            let serve = move || {
                if let Err(e) = server.serve(stream) {
                    log::debug!(step = "serve", peer:% = peer, error:% = e; "connection ended");
                }
                drop(open_conn);
            };
            let thread = std::thread::Builder::new()
                .name(CONNECTION_THREAD.into())
                .stack_size(STACK_BYTES);
            if let Err(e) = thread.spawn(serve) {
                log::warn!(step = "start a thread", peer:% = peer, error:% = e; "cannot serve a connection");
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let mut input = Vec::new();
        while let Some(received) = self.receive(&mut stream, &mut input)? {
            let (req, close) = match received {
                Received::Request(req, close) => (req, close),
                Received::Invalid(status, reason) => {
                    let kind = if status == 413 {
                        "too-large"
                    } else {
                        "malformed"
                    };
                    let refusal = problem(kind, status, reason, Some("not-run"));
                    return write(&mut stream, refusal, true);
                }
            };
            let pending = self.pending.count_request();
            let req = Request::fake_http(req.method, req.path, req.headers, req.body);
            write(&mut stream, (self.handler)(&req), close)?;
            drop(pending);
            if close {
                break;
            }
        }
        Ok(())
    }

    /// Reads the next request; `None` when the caller closed the connection. Fails with a time-out
    /// if the connection is idle or the request arrives too slowly.
    fn receive(&self, stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<Option<Received>> {
        let limits = HttpLimits {
            body_bytes: MAX_BODY_BYTES,
            ..HttpLimits::default()
        };
        let mut started_at = (!input.is_empty()).then(Instant::now);
        let mut sent_continue = false;
        let mut reader = RequestReader::default();
        let mut buf = [0; READ_BYTES];
        loop {
            if !input.is_empty() || reader.is_midway() {
                match reader.read(input, &limits, |_| BodyUse::Keep) {
                    Progress::Complete(req, close) => {
                        return Ok(Some(Received::Request(req, close)));
                    }
                    Progress::Invalid(status, reason) => {
                        return Ok(Some(Received::Invalid(status, reason)));
                    }
                    Progress::Incomplete => {}
                }
                if !sent_continue && reader.head().is_some_and(HttpRequest::expects_continue) {
                    sent_continue = true;
                    stream.write_all(CONTINUE)?;
                }
            }
            let remaining = match started_at {
                Some(started_at) => limits.request_time.checked_sub(started_at.elapsed()),
                None if self.open_conns.load(Ordering::Acquire) * 2 > self.max_conns => {
                    Some(SHORT_IDLE_TIMEOUT)
                }
                None => Some(limits.idle_time),
            };
            let Some(remaining) = remaining.filter(|time| !time.is_zero()) else {
                return Err(io::ErrorKind::TimedOut.into());
            };
            stream.set_read_timeout(Some(remaining))?;
            match stream.read(&mut buf) {
                Ok(0) => return Ok(None),
                Ok(len) => {
                    started_at.get_or_insert_with(Instant::now);
                    let direct = if input.is_empty() {
                        reader.take_body(&buf[..len])
                    } else {
                        0
                    };
                    input.extend_from_slice(&buf[direct..len]);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }
}

/// The result of parsing input.
enum Received {
    /// A request, and whether the connection closes after the response.
    Request(HttpRequest, bool),
    /// Not an acceptable request: the status and detail of the response.
    Invalid(u16, &'static str),
}

fn write(stream: &mut TcpStream, response: Response, close: bool) -> io::Result<()> {
    let response = to_http(response)?;
    let mut buf = Vec::with_capacity(256 + response.body.len());
    response_bytes(&response, close, &mut buf);
    stream.write_all(&buf)
}

/// Reads the body of a response.
pub(super) fn to_http(response: Response) -> io::Result<HttpResponse> {
    let (mut reader, size) = response.data.into_reader_and_size();
    let mut body = Vec::with_capacity(size.unwrap_or_default());
    reader.read_to_end(&mut body)?;
    let headers = response.headers.into_iter();
    Ok(HttpResponse {
        status: response.status_code,
        headers: headers
            .map(|(name, value)| (name.into_owned(), value.into_owned()))
            .collect(),
        body,
    })
}
