//! A single-threaded event loop over all sockets of a daemon: HTTP from callers, HTTP calls to
//! workers, and links.
//!
//! On a machine with a small share of a core, wake-ups and threads are expensive, so an idle
//! connection costs only its buffers. Input is delivered as [`NetEvent`]s.

pub mod budget;
mod conn;
mod http;
mod link;
mod reader;
mod strangers;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use rw_core::codec::ClusterKey;
use rw_core::msg::{Hello, Msg};
use rw_core::pool::{KeepAlive, Uptime};

use crate::settings::MachineLimits;

pub(crate) use http::{CONTINUE, response_bytes};
pub use http::{HttpLimits, HttpRequest, HttpResponse, request_bytes};
pub use reader::{BodyUse, Progress, RequestReader};

use budget::StrangerLimits;
use conn::{Conn, ConnKind, ParseContext};
use strangers::Strangers;

/// Maximum number of ready sockets that one poll reports; the next one reports the others.
const MAX_READY_SOCKETS: usize = 256;
/// Time limit for sending the rest of the output of a connection that is closing.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// The waker's token; listeners and connections are numbered from 1.
const WAKER_TOKEN: Token = Token(0);

/// A connection's number, never reused by the same [`Net`].
pub type ConnId = usize;

/// The protocol of a listener's connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Accepts {
    /// HTTP; the tag is chosen by the caller and passed on with each request.
    Http(u8),
    /// Links with other processes of the cluster.
    Links,
}

/// Decides from the head of a request whether its body is kept.
pub trait BodyFilter: Send {
    /// Returns what is done with the body of a request to the listener with this tag.
    fn body_use(&self, tag: u8, head: &HttpRequest) -> BodyUse;
}

/// An event on a socket.
#[derive(Debug)]
pub enum NetEvent {
    /// A complete HTTP request, with the tag of its listener.
    Request(ConnId, u8, HttpRequest),
    /// A caller's HTTP connection ended; a request that was delivered may still be unanswered.
    CallerDisconnected(ConnId),
    /// The response to an outgoing HTTP call.
    Response(ConnId, HttpResponse),
    /// A connection for outgoing HTTP calls ended; `true` if it had been established.
    CallConnClosed(ConnId, bool),
    /// The handshake of a link is complete; holds the peer's identity.
    LinkUp(ConnId, Hello),
    /// A message arrived on a link.
    LinkMsg(ConnId, Msg),
    /// A link ended, or could not be established.
    LinkDown(ConnId),
    /// Another thread used the waker.
    Woken,
}

/// The readiness of one socket.
struct Ready {
    token: usize,
    readable: bool,
    writable: bool,
    /// The peer has closed its sending half, or the connection failed.
    half_closed: bool,
}

impl Ready {
    fn of(event: &mio::event::Event) -> Self {
        let half_closed = event.is_read_closed() || event.is_error();
        Self {
            token: event.token().0,
            readable: event.is_readable() || half_closed,
            writable: event.is_writable(),
            half_closed,
        }
    }
}

/// The event loop and its sockets.
pub struct Net {
    poll: Poll,
    events: Events,
    conns: IndexMap<ConnId, Conn>,
    listeners: IndexMap<usize, (TcpListener, Accepts)>,
    next_token: usize,
    key: ClusterKey,
    hello: Hello,
    limits: HttpLimits,
    /// Connections to write to and to parse input of at the next poll; may contain duplicates.
    dirty: Vec<ConnId>,
    /// Listeners that have connections to accept at the next poll.
    waiting_listeners: Vec<usize>,
    strangers: Strangers,
    filter: Option<Box<dyn BodyFilter>>,
}

impl std::fmt::Debug for Net {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Net({} connections)", self.conns.len())
    }
}

impl Net {
    /// Returns an event loop without sockets, and the waker that interrupts [`Net::poll`]. `hello`
    /// is sent on links. Incoming connections are refused while `max_conns` connections are open.
    pub fn new(key: ClusterKey, hello: Hello, max_conns: usize) -> io::Result<(Self, Arc<Waker>)> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER_TOKEN)?);
        let net = Self {
            poll,
            events: Events::with_capacity(MAX_READY_SOCKETS),
            conns: IndexMap::new(),
            listeners: IndexMap::new(),
            next_token: 1,
            key,
            hello,
            limits: HttpLimits::default(),
            dirty: Vec::new(),
            waiting_listeners: Vec::new(),
            strangers: Strangers::new(StrangerLimits::new(&MachineLimits::default(), max_conns)),
            filter: None,
        };
        Ok((net, waker))
    }

    /// Sets the limits for HTTP messages and connections, also of open connections.
    pub fn set_limits(&mut self, limits: HttpLimits) {
        self.limits = limits;
    }

    /// Sets the limits on what strangers hold.
    pub fn set_stranger_limits(&mut self, limits: StrangerLimits) {
        self.strangers.limits = limits;
    }

    /// Sets what decides whether bodies are kept. Without it, all are.
    pub fn set_body_filter(&mut self, filter: Box<dyn BodyFilter>) {
        self.filter = Some(filter);
    }

    /// Returns the number of open connections, and of those refused so far for lack of room.
    pub fn counts(&self) -> (usize, u64) {
        (self.conns.len(), self.strangers.refused)
    }

    /// Returns the number of bytes that strangers hold.
    pub fn stranger_bytes(&self) -> usize {
        self.strangers.bytes
    }

    /// Binds an address and accepts connections on it.
    pub fn listen(&mut self, addr: SocketAddr, accepts: Accepts) -> io::Result<()> {
        let mut listener = TcpListener::bind(addr)?;
        let token = self.allocate_token();
        self.poll
            .registry()
            .register(&mut listener, Token(token), Interest::READABLE)?;
        self.listeners.insert(token, (listener, accepts));
        Ok(())
    }

    /// Starts to open a link. Its end or its failure is reported as [`NetEvent::LinkDown`].
    pub fn dial(&mut self, now: Uptime, addr: SocketAddr) -> io::Result<ConnId> {
        let mut stream = TcpStream::connect(addr)?;
        let token = self.allocate_token();
        self.register(&mut stream, token)?;
        let conn = Conn::link(now, stream, addr, true);
        self.insert(token, conn);
        Ok(token)
    }

    /// Starts to open a connection for outgoing HTTP calls. Its end or its failure is reported as
    /// [`NetEvent::CallConnClosed`].
    pub fn open_call_conn(&mut self, now: Uptime, addr: SocketAddr) -> io::Result<ConnId> {
        let mut stream = TcpStream::connect(addr)?;
        let token = self.allocate_token();
        self.register(&mut stream, token)?;
        self.insert(token, Conn::calls(now, stream, addr));
        Ok(token)
    }

    fn allocate_token(&mut self) -> usize {
        let token = self.next_token;
        self.next_token += 1;
        token
    }

    fn register(&self, stream: &mut TcpStream, token: usize) -> io::Result<()> {
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll
            .registry()
            .register(stream, Token(token), interest)
    }

    fn insert(&mut self, token: usize, conn: Conn) {
        self.conns.insert(token, conn);
        self.dirty.push(token);
    }

    /// Queues the response to the request in progress on a connection.
    pub fn respond(&mut self, id: ConnId, response: &HttpResponse) {
        let is_full = self.conns.len() >= self.strangers.limits.conns;
        if let Some(conn) = self.conns.get_mut(&id) {
            // A caller that always has the next request ready would never make room for another.
            if is_full && conn.has_further_requests() {
                conn.set_last_request();
            }
            conn.respond(response);
            self.dirty.push(id);
        }
    }

    /// Queues the bytes of an HTTP request, as [`request_bytes`] gives them.
    pub fn call(&mut self, id: ConnId, bytes: &[u8]) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.queue(bytes);
            self.dirty.push(id);
        }
    }

    /// Queues a message on a link. A message before the link is up is dropped.
    pub fn send(&mut self, now: Uptime, id: ConnId, msg: &Msg) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.send(now, msg);
            self.dirty.push(id);
        }
    }

    /// Sets the timing of keep-alive messages on a link.
    pub fn set_keep_alive(&mut self, id: ConnId, keep_alive: KeepAlive) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.keep_alive = keep_alive;
        }
    }

    /// Closes a connection without sending its queued output. No event follows.
    pub fn close(&mut self, id: ConnId) {
        if let Some(mut conn) = self.conns.swap_remove(&id) {
            self.strangers.release(&conn);
            let _ = self.poll.registry().deregister(&mut conn.stream);
        }
    }

    /// Makes each HTTP connection of a caller close after its next response, which carries
    /// `Connection: close`.
    pub fn close_after_next_response(&mut self) {
        for conn in self.conns.values_mut() {
            conn.set_last_request();
        }
    }

    /// Closes the HTTP listeners with this tag. Open connections stay.
    pub fn stop_listening(&mut self, tag: u8) {
        let poll = &self.poll;
        self.listeners.retain(|_, (listener, accepts)| {
            let closes = *accepts == Accepts::Http(tag);
            if closes && let Err(e) = poll.registry().deregister(listener) {
                log::warn!(step = "stop listening", error:% = e; "failed to deregister a listener");
            }
            !closes
        });
    }

    /// Closes the callers' HTTP connections that have no request in progress and no input.
    pub fn close_idle(&mut self) {
        let idle = self.conns.iter().filter(|(_, conn)| conn.is_idle_http());
        let idle: Vec<ConnId> = idle.map(|(id, _)| *id).collect();
        for id in idle {
            self.close(id);
        }
    }

    /// Returns whether a listener with this tag has a request in progress or a response not yet
    /// written in full.
    pub fn has_pending_requests(&self, tag: u8) -> bool {
        self.conns
            .values()
            .any(|conn| conn.kind == ConnKind::Http(tag) && conn.is_serving())
    }

    /// Writes queued output, waits for sockets for at most `timeout`, and appends events to `out`.
    pub fn poll(&mut self, timeout: Duration, out: &mut Vec<NetEvent>) -> io::Result<()> {
        self.strangers.delivered = 0;
        self.flush(out);
        let is_idle = out.is_empty() && self.dirty.is_empty() && self.waiting_listeners.is_empty();
        let timeout = if is_idle { timeout } else { Duration::ZERO };
        match self.poll.poll(&mut self.events, Some(timeout)) {
            Ok(()) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return Ok(()),
            Err(e) => return Err(e),
        }
        let ready: Vec<Ready> = self.events.iter().map(Ready::of).collect();
        let now = crate::clock::uptime();
        // Listeners come last: what has arrived is read before a connection makes room for a new one.
        let mut accepting = std::mem::take(&mut self.waiting_listeners);
        for ready in ready {
            let token = ready.token;
            if token == WAKER_TOKEN.0 {
                out.push(NetEvent::Woken);
            } else if self.listeners.contains_key(&token) {
                if !accepting.contains(&token) {
                    accepting.push(token);
                }
            } else {
                self.on_ready(now, &ready, out);
            }
        }
        for token in accepting {
            self.accept(now, token, out);
        }
        Ok(())
    }

    fn accept(&mut self, now: Uptime, token: usize, out: &mut Vec<NetEvent>) {
        loop {
            if self.has_unheard_conn_when_full() {
                self.waiting_listeners.push(token);
                return;
            }
            let Some((listener, accepts)) = self.listeners.get(&token) else {
                return;
            };
            let accepts = *accepts;
            let (mut stream, addr) = match listener.accept() {
                Ok(accepted) => accepted,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) => {
                    log::warn!(step = "accept", error:% = e; "connection not accepted");
                    return;
                }
            };
            if !self.make_room_for_conn(now, out) {
                continue;
            }
            let id = self.allocate_token();
            if let Err(e) = self.register(&mut stream, id) {
                log::warn!(step = "register", peer:% = addr, error:% = e; "connection not accepted");
                continue;
            }
            let conn = match accepts {
                Accepts::Http(tag) => Conn::http(now, stream, addr, tag),
                Accepts::Links => Conn::link(now, stream, addr, false),
            };
            self.insert(id, conn);
        }
    }

    fn on_ready(&mut self, now: Uptime, ready: &Ready, out: &mut Vec<NetEvent>) {
        let (id, writable) = (ready.token, ready.writable);
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        if !conn.opened && writable {
            conn.opened = conn.stream.peer_addr().is_ok();
        }
        conn.heard = true;
        conn.half_closed |= ready.half_closed;
        let mut open = true;
        let mut read = false;
        if ready.readable {
            if self.strangers.pauses(conn) && !ready.half_closed {
                conn.unread = true;
            } else {
                open = conn.read(now, &self.limits);
                read = open || !conn.drop_request();
            }
        }
        if read {
            self.parse(now, id, out);
        }
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        if conn.broken {
            open = false;
        }
        if open && (writable || conn.has_output()) {
            open = conn.write(now);
        }
        if !open || conn.broken {
            self.finish(id, out);
        } else if conn.can_go_on(&self.limits) {
            self.dirty.push(id);
        }
    }

    /// Parses the input of a connection and settles what it holds.
    fn parse(&mut self, now: Uptime, id: ConnId, out: &mut Vec<NetEvent>) {
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        let events = out.len();
        let cx = ParseContext {
            key: &self.key,
            hello: &self.hello,
            limits: &self.limits,
            filter: self.filter.as_deref(),
        };
        conn.parse_input(now, id, &cx, out);
        for event in &out[events..] {
            if let NetEvent::Request(_, _, req) = event {
                self.strangers.delivered += req.held_bytes();
            }
        }
        self.settle(now, id, out);
    }

    /// Writes queued output, then reads and parses input that waited for the previous response or
    /// for other connections.
    fn flush(&mut self, out: &mut Vec<NetEvent>) {
        let now = crate::clock::uptime();
        let mut dirty = std::mem::take(&mut self.dirty);
        dirty.sort_unstable();
        dirty.dedup();
        for id in dirty {
            let Some(conn) = self.conns.get_mut(&id) else {
                continue;
            };
            conn.begin_handshake(&self.key);
            let mut open = conn.write(now);
            if open && !conn.is_serving() && self.strangers.pauses(conn) {
                self.dirty.push(id);
                continue;
            }
            let mut parses = open;
            if open && conn.unread && !conn.is_full(&self.limits) {
                open = conn.read(now, &self.limits);
                parses = open || !conn.drop_request();
            }
            if parses {
                self.parse(now, id, out);
                let Some(conn) = self.conns.get_mut(&id) else {
                    continue;
                };
                // Parsing queues refusals and parts of a handshake.
                open = open && !conn.broken && conn.write(now);
                if open && conn.can_go_on(&self.limits) {
                    self.dirty.push(id);
                }
            }
            if !open {
                self.finish(id, out);
            }
        }
    }

    fn finish(&mut self, id: ConnId, out: &mut Vec<NetEvent>) {
        let Some(mut conn) = self.conns.swap_remove(&id) else {
            return;
        };
        self.strangers.release(&conn);
        let _ = self.poll.registry().deregister(&mut conn.stream);
        match conn.kind {
            ConnKind::Http(_) => out.push(NetEvent::CallerDisconnected(id)),
            ConnKind::Calls => out.push(NetEvent::CallConnClosed(id, conn.opened)),
            ConnKind::Link => out.push(NetEvent::LinkDown(id)),
        }
    }

    /// Ends connections that are silent, send a request too slowly or linger for too long, and
    /// pings idle links.
    pub fn tick(&mut self, now: Uptime, out: &mut Vec<NetEvent>) {
        let mut overdue = Vec::new();
        for (id, conn) in &mut self.conns {
            if conn.is_overdue(now, &self.limits, LINGER_TIMEOUT) {
                overdue.push(*id);
            } else if conn.ping(now) {
                self.dirty.push(*id);
            }
        }
        for id in overdue {
            if let Some(conn) = self.conns.get(&id).filter(|conn| conn.is_awaited()) {
                self.strangers.count(conn, "time");
            }
            self.finish(id, out);
        }
        self.strangers.report(now);
    }
}
