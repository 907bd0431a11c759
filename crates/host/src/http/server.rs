//! An HTTP server with a thread for each connection.
//!
//! The server that comes with `rouille` hands connections to a pool in which, when several arrive at
//! once, some wait until another connection ends: a request on it may stay unread for as long as
//! other callers keep theirs. It also does not tell when an answer was written. Its types of
//! requests and responses are kept.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use rouille::{Request, Response};

use super::problem;
use crate::net::{HttpLimits, HttpRequest, HttpResponse, Parsed, parse_request, response_bytes};

/// The largest body that is read; handlers have smaller limits of their own.
const BODY_BYTES: usize = 16 * 1024 * 1024;
/// Time that a connection may wait for its next request while many others are open.
const CROWDED_IDLE_TIME: Duration = Duration::from_secs(2);
/// Time for an answer to be taken by the other side.
const WRITE_TIME: Duration = Duration::from_secs(10);
/// Time until connections are accepted again after that failed, as it does without descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const READ_BYTES: usize = 16 * 1024;
/// Handlers parse JSON and wait; they do not nest deeply.
const STACK_BYTES: usize = 512 * 1024;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Counts responses that are not yet written in full.
#[derive(Clone, Debug, Default)]
pub struct Pending(Arc<AtomicUsize>);

impl Pending {
    /// Responses under way.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }

    fn enter(&self) -> Guard {
        Guard::new(&self.0)
    }
}

/// Counts as one until it is dropped.
struct Guard(Arc<AtomicUsize>);

impl Guard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count.clone())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

type Handler = dyn Fn(&Request) -> Response + Send + Sync;

/// Serves HTTP in threads of its own, at most `max_conns` connections at once; more are refused.
pub fn serve<F>(addr: SocketAddr, max_conns: usize, handler: F) -> io::Result<Pending>
where
    F: Fn(&Request) -> Response + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr)?;
    let server = Server {
        handler: Arc::new(handler),
        pending: Pending::default(),
        conns: Arc::default(),
        max_conns,
    };
    let pending = server.pending.clone();
    crate::link::spawn("http", move || server.accept(&listener));
    Ok(pending)
}

#[derive(Clone)]
struct Server {
    handler: Arc<Handler>,
    pending: Pending,
    /// Open connections.
    conns: Arc<AtomicUsize>,
    max_conns: usize,
}

impl Server {
    fn accept(&self, listener: &TcpListener) {
        loop {
            let (mut stream, peer) = match listener.accept() {
                Ok(accepted) => accepted,
                Err(e) => {
                    log::warn!(step = "accept", error:% = e; "connection not accepted");
                    std::thread::sleep(ACCEPT_PAUSE);
                    continue;
                }
            };
            if self.conns.load(Ordering::Acquire) >= self.max_conns {
                log::warn!(peer:% = peer, connections = self.max_conns; "connection refused: too many are open");
                let refusal = problem("overloaded", 503, "too many connections", Some("not-run"));
                if let Err(e) = write(&mut stream, refusal, true) {
                    log::debug!(step = "refuse", peer:% = peer, error:% = e; "connection ended");
                }
                continue;
            }
            let (server, open) = (self.clone(), Guard::new(&self.conns));
            let serve = move || {
                if let Err(e) = server.serve(stream) {
                    log::debug!(step = "serve", peer:% = peer, error:% = e; "connection ended");
                }
                drop(open);
            };
            let thread = std::thread::Builder::new()
                .name("http-conn".into())
                .stack_size(STACK_BYTES);
            if let Err(e) = thread.spawn(serve) {
                log::warn!(step = "start a thread", peer:% = peer, error:% = e; "connection not served");
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_TIME))?;
        let mut input = Vec::new();
        while let Some(received) = self.receive(&mut stream, &mut input)? {
            let (req, closes) = match received {
                Received::Request(req, closes) => (req, closes),
                Received::Bad(status, reason) => {
                    let kind = if status == 413 {
                        "too-large"
                    } else {
                        "malformed"
                    };
                    let refusal = problem(kind, status, reason, Some("not-run"));
                    return write(&mut stream, refusal, true);
                }
            };
            let pending = self.pending.enter();
            let req = Request::fake_http(req.method, req.path, req.headers, req.body);
            write(&mut stream, (self.handler)(&req), closes)?;
            drop(pending);
            if closes {
                break;
            }
        }
        Ok(())
    }

    /// Reads the next request. `None` when the other side ended the connection or was idle too long.
    fn receive(&self, stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<Option<Received>> {
        let limits = HttpLimits {
            body_bytes: BODY_BYTES,
            ..HttpLimits::default()
        };
        let mut begun = (!input.is_empty()).then(Instant::now);
        let mut told_to_go_on = false;
        let mut buf = [0; READ_BYTES];
        loop {
            if !input.is_empty() {
                match parse_request(input, &limits) {
                    Parsed::Whole(req, taken, closes) => {
                        input.drain(..taken);
                        return Ok(Some(Received::Request(req, closes)));
                    }
                    Parsed::Bad(status, reason) => {
                        return Ok(Some(Received::Bad(status, reason)));
                    }
                    Parsed::More => {}
                }
                if !told_to_go_on && expects_continue(input) {
                    told_to_go_on = true;
                    stream.write_all(CONTINUE)?;
                }
            }
            let time = match begun {
                Some(begun) => limits.request_time.checked_sub(begun.elapsed()),
                None if self.conns.load(Ordering::Acquire) * 2 > self.max_conns => {
                    Some(CROWDED_IDLE_TIME)
                }
                None => Some(limits.idle_time),
            };
            let Some(time) = time.filter(|time| !time.is_zero()) else {
                return Err(io::ErrorKind::TimedOut.into());
            };
            stream.set_read_timeout(Some(time))?;
            match stream.read(&mut buf) {
                Ok(0) => return Ok(None),
                Ok(len) => {
                    begun.get_or_insert_with(Instant::now);
                    input.extend_from_slice(&buf[..len]);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }
}

/// What arrived on a connection.
enum Received {
    /// A request, and whether the connection ends after its answer.
    Request(HttpRequest, bool),
    /// What is no request: status and reason.
    Bad(u16, &'static str),
}

/// Whether the other side waits for a word before it sends the body.
fn expects_continue(input: &[u8]) -> bool {
    let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&input[..end]).to_ascii_lowercase();
    head.contains("expect: 100-continue")
}

fn write(stream: &mut TcpStream, response: Response, closes: bool) -> io::Result<()> {
    let (mut reader, _) = response.data.into_reader_and_size();
    let mut body = Vec::new();
    reader.read_to_end(&mut body)?;
    let headers = response.headers.into_iter();
    let whole = HttpResponse {
        status: response.status_code,
        headers: headers
            .map(|(name, value)| (name.into_owned(), value.into_owned()))
            .collect(),
        body,
    };
    let mut buf = Vec::with_capacity(256 + whole.body.len());
    response_bytes(&whole, closes, &mut buf);
    stream.write_all(&buf)
}
