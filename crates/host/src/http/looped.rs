//! HTTP servers on one event loop, whose handlers run on a thread for each request in progress.
//!
//! A connection takes no thread, so what strangers hold is bounded as on other event loops.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flume::{Receiver, Sender};
use mio::Waker;
use rouille::{Request, Response};
use rw_core::codec::ClusterKey;
use rw_core::msg::Hello;

use super::server::{Handler, to_http};
use crate::net::budget::StrangerLimits;
use crate::net::{Accepts, ConnId, HttpRequest, HttpResponse, Net, NetEvent};
use crate::panics::CONNECTION_THREAD;
use crate::{clock, metrics};

/// Interval at which time-outs are handled.
const TICK: Duration = Duration::from_millis(100);
/// Stack size of a handler's thread, in bytes. Handlers parse JSON and wait, so a small one suffices.
const STACK_BYTES: usize = 512 * 1024;
/// Number of times that a body is held at most while its request is handled.
const HANDLED_COPIES: usize = 3;

/// One server of an event loop.
pub struct Service {
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Maximum number of requests in progress; further ones are answered with 503.
    pub max_requests: usize,
    /// Handles a request; may block.
    pub handler: Arc<dyn Fn(&Request) -> Response + Send + Sync>,
}

impl std::fmt::Debug for Service {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Service({})", self.addr)
    }
}

/// Binds the addresses of the services and serves HTTP on them, within the limits on strangers. At
/// most 250 services.
pub fn serve_looped(
    services: Vec<Service>,
    limits: StrangerLimits,
    hello: Hello,
) -> io::Result<()> {
    // The event loop opens and accepts no links, so that no key is used.
    let (mut net, waker) = Net::new(ClusterKey::new(""), hello, limits.all_conns)?;
    net.set_stranger_limits(limits);
    for (tag, service) in services.iter().enumerate() {
        net.listen(service.addr, Accepts::Http(tag as u8))?;
    }
    let (tx, rx) = flume::unbounded();
    let services = services.into_iter().map(|service| Slot {
        service,
        requests: 0,
    });
    let server = Server {
        net,
        services: services.collect(),
        max_bytes: limits.bytes,
        bytes: 0,
        tx,
        waker,
    };
    crate::link::spawn("http", move || server.run(&rx));
    Ok(())
}

/// The end of a request: its connection, its listener, the bytes counted for it, and the response.
type Done = (ConnId, u8, usize, HttpResponse);

struct Slot {
    service: Service,
    /// Requests in progress.
    requests: usize,
}

struct Server {
    net: Net,
    services: Vec<Slot>,
    /// Maximum of `bytes` for more than one request.
    max_bytes: usize,
    /// Bytes that the requests in progress take.
    bytes: usize,
    tx: Sender<Done>,
    waker: Arc<Waker>,
}

impl Server {
    fn run(mut self, rx: &Receiver<Done>) {
        let mut events = Vec::new();
        let mut next_tick = clock::uptime();
        loop {
            let timeout = next_tick.saturating_sub(clock::uptime());
            if let Err(e) = self.net.poll(timeout, &mut events) {
                log::error!(step = "poll", error:% = e; "HTTP server ended");
                return;
            }
            let now = clock::uptime();
            if now >= next_tick {
                next_tick = now + TICK;
                self.net.tick(now, &mut events);
                let bytes = self.net.stranger_bytes() + self.bytes;
                let held = metrics::HELD.with_label_values(&["stranger_bytes"]);
                held.set(bytes as i64);
            }
            for event in events.drain(..) {
                if let NetEvent::Request(conn, tag, req) = event {
                    self.begin(conn, tag, req);
                }
            }
            while let Ok((conn, tag, bytes, response)) = rx.try_recv() {
                self.bytes -= bytes;
                if let Some(slot) = self.services.get_mut(usize::from(tag)) {
                    slot.requests -= 1;
                }
                self.net.respond(conn, &response);
            }
        }
    }

    /// Starts a request, or refuses it if too many are in progress.
    fn begin(&mut self, conn: ConnId, tag: u8, req: HttpRequest) {
        let Some(slot) = self.services.get_mut(usize::from(tag)) else {
            return;
        };
        let bytes = req.body.capacity() * HANDLED_COPIES;
        let is_full = slot.requests >= slot.service.max_requests;
        if is_full || self.bytes > 0 && self.bytes + bytes > self.max_bytes {
            metrics::STRANGERS_CLOSED
                .with_label_values(&[&format!("http-{tag}"), "requests"])
                .inc();
            let refusal = super::problem("overloaded", 503, "too many requests", Some("not-run"));
            self.net.respond(conn, &respond_with(refusal));
            return;
        }
        let handler = slot.service.handler.clone();
        let (tx, waker) = (self.tx.clone(), self.waker.clone());
        let thread = std::thread::Builder::new()
            .name(CONNECTION_THREAD.into())
            .stack_size(STACK_BYTES);
        let handle = move || {
            let response = respond_with(run_handler(&*handler, req));
            let _ = tx.send((conn, tag, bytes, response));
            if let Err(e) = waker.wake() {
                log::error!(step = "wake", error:% = e; "cannot wake the HTTP server");
            }
        };
        match thread.spawn(handle) {
            Ok(_) => {
                slot.requests += 1;
                self.bytes += bytes;
            }
            Err(e) => {
                log::warn!(step = "start a thread", error:% = e; "cannot handle a request");
                self.net.close(conn);
            }
        }
    }
}

/// Runs a handler; a panic becomes a response with status 500.
fn run_handler(handler: &Handler, req: HttpRequest) -> Response {
    let req = Request::fake_http(req.method, req.path, req.headers, req.body);
    let handled = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| handler(&req)));
    handled.unwrap_or_else(|_| super::problem("internal", 500, "the handler failed", None))
}

fn respond_with(response: Response) -> HttpResponse {
    to_http(response).unwrap_or_else(|e| {
        log::warn!(step = "read a response", error:% = e; "response not sent");
        HttpResponse::empty(500)
    })
}
