//! All sockets of a daemon on one thread: callers' HTTP, calls to workers, links.
//!
//! A machine with a small share of a core pays for each wake-up and each thread, so connections
//! that wait cost a buffer each and nothing else. What arrived is handed on as [`NetEvent`]s.

mod conn;
mod http;
mod link;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use rw_core::codec::ClusterKey;
use rw_core::msg::{Hello, Msg};
use rw_core::pool::Uptime;

pub use http::{HttpLimits, HttpRequest, HttpResponse, request_bytes};
pub(crate) use http::{Parsed, parse_request, response_bytes};

use conn::{Conn, Role};

/// Ready sockets that one poll reports.
const EVENTS: usize = 256;
/// Time that an orderly end of a connection may take.
const LINGER: Duration = Duration::from_secs(2);
/// The waker's token; connections count up from 1.
const WAKER: Token = Token(0);

/// A connection's number, never used twice in one process.
pub type ConnId = usize;

/// What a listener's connections speak.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Accepts {
    /// HTTP; the mark tells the listener apart.
    Http(u8),
    /// Links.
    Links,
}

/// What happened on sockets.
#[derive(Debug)]
pub enum NetEvent {
    /// A whole HTTP request.
    Request(ConnId, u8, HttpRequest),
    /// The other side of an HTTP connection went away; with its request unanswered, if any.
    HungUp(ConnId),
    /// The answer to an HTTP call of ours.
    Response(ConnId, HttpResponse),
    /// A connection of ours for HTTP calls ended; whether it had ever been open.
    CallEnded(ConnId, bool),
    /// A link is up.
    LinkUp(ConnId, Hello),
    /// A message arrived on a link.
    LinkMsg(ConnId, Msg),
    /// A link, or an attempt at one, ended.
    LinkDown(ConnId),
    /// Another thread called.
    Woken,
}

/// What a socket is ready for.
struct Ready {
    token: usize,
    readable: bool,
    writable: bool,
    /// The other side sends nothing more, or the connection failed.
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

/// The sockets.
pub struct Net {
    poll: Poll,
    events: Events,
    conns: IndexMap<ConnId, Conn>,
    listeners: IndexMap<usize, (TcpListener, Accepts)>,
    next: usize,
    key: ClusterKey,
    hello: Hello,
    limits: HttpLimits,
    /// Connections with bytes to write.
    dirty: Vec<ConnId>,
    max_conns: usize,
    refused: u64,
}

impl std::fmt::Debug for Net {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Net({} connections)", self.conns.len())
    }
}

impl Net {
    /// Sockets for the process `hello`, with at most `max_conns` connections.
    pub fn new(key: ClusterKey, hello: Hello, max_conns: usize) -> io::Result<(Self, Arc<Waker>)> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
        let net = Self {
            poll,
            events: Events::with_capacity(EVENTS),
            conns: IndexMap::new(),
            listeners: IndexMap::new(),
            next: 1,
            key,
            hello,
            limits: HttpLimits::default(),
            dirty: Vec::new(),
            max_conns,
            refused: 0,
        };
        Ok((net, waker))
    }

    /// Sets the limits of callers' requests.
    pub fn set_limits(&mut self, limits: HttpLimits) {
        self.limits = limits;
    }

    /// Open connections and those refused for their number.
    pub fn counts(&self) -> (usize, u64) {
        (self.conns.len(), self.refused)
    }

    /// Accepts connections on an address.
    pub fn listen(&mut self, addr: SocketAddr, accepts: Accepts) -> io::Result<()> {
        let mut listener = TcpListener::bind(addr)?;
        let token = self.take_token();
        self.poll
            .registry()
            .register(&mut listener, Token(token), Interest::READABLE)?;
        self.listeners.insert(token, (listener, accepts));
        Ok(())
    }

    /// Opens a link. Its end or its failure comes as [`NetEvent::LinkDown`].
    pub fn dial(&mut self, now: Uptime, addr: SocketAddr) -> io::Result<ConnId> {
        let mut stream = TcpStream::connect(addr)?;
        let token = self.take_token();
        self.register(&mut stream, token)?;
        let conn = Conn::link(now, stream, addr, true);
        self.insert(token, conn);
        Ok(token)
    }

    /// Opens a connection for HTTP calls.
    pub fn open_calls(&mut self, now: Uptime, addr: SocketAddr) -> io::Result<ConnId> {
        let mut stream = TcpStream::connect(addr)?;
        let token = self.take_token();
        self.register(&mut stream, token)?;
        self.insert(token, Conn::calls(now, stream, addr));
        Ok(token)
    }

    fn take_token(&mut self) -> usize {
        let token = self.next;
        self.next += 1;
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

    /// Answers a request.
    pub fn respond(&mut self, id: ConnId, response: &HttpResponse) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.respond(response);
            self.dirty.push(id);
        }
    }

    /// Sends the bytes of a call.
    pub fn call(&mut self, id: ConnId, bytes: &[u8]) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.queue(bytes);
            self.dirty.push(id);
        }
    }

    /// Sends on a link.
    pub fn send(&mut self, now: Uptime, id: ConnId, msg: &Msg) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.send(now, msg);
            self.dirty.push(id);
        }
    }

    /// Ends a connection at once. No event follows.
    pub fn close(&mut self, id: ConnId) {
        if let Some(mut conn) = self.conns.swap_remove(&id) {
            let _ = self.poll.registry().deregister(&mut conn.stream);
        }
    }

    /// Each HTTP connection ends after its next answer, as the answer says.
    pub fn last_requests(&mut self) {
        for conn in self.conns.values_mut() {
            conn.last_request();
        }
    }

    /// Accepts no more HTTP connections of this mark.
    pub fn stop_listening(&mut self, mark: u8) {
        let poll = &self.poll;
        self.listeners.retain(|_, (listener, accepts)| {
            let ends = *accepts == Accepts::Http(mark);
            if ends && let Err(e) = poll.registry().deregister(listener) {
                log::warn!(step = "stop listening", error:% = e; "listener not taken off");
            }
            !ends
        });
    }

    /// Ends HTTP connections that wait for a request.
    pub fn close_idle(&mut self) {
        let idle = self.conns.iter().filter(|(_, conn)| conn.is_idle_http());
        let idle: Vec<ConnId> = idle.map(|(id, _)| *id).collect();
        for id in idle {
            self.close(id);
        }
    }

    /// Whether a caller's request or its answer is under way.
    pub fn serves(&self, mark: u8) -> bool {
        self.conns
            .values()
            .any(|conn| conn.role == Role::Http(mark) && conn.is_serving())
    }

    /// Waits for sockets at most for `timeout` and adds what happened to `out`.
    pub fn poll(&mut self, timeout: Duration, out: &mut Vec<NetEvent>) -> io::Result<()> {
        self.flush(out);
        let timeout = if out.is_empty() {
            timeout
        } else {
            Duration::ZERO
        };
        match self.poll.poll(&mut self.events, Some(timeout)) {
            Ok(()) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return Ok(()),
            Err(e) => return Err(e),
        }
        let ready: Vec<Ready> = self.events.iter().map(Ready::of).collect();
        let now = crate::clock::uptime();
        for ready in ready {
            let token = ready.token;
            if token == WAKER.0 {
                out.push(NetEvent::Woken);
            } else if self.listeners.contains_key(&token) {
                self.accept(now, token);
            } else {
                self.serve(now, &ready, out);
            }
        }
        Ok(())
    }

    fn accept(&mut self, now: Uptime, token: usize) {
        loop {
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
            if self.conns.len() >= self.max_conns {
                self.refused += 1;
                continue;
            }
            let id = self.take_token();
            if let Err(e) = self.register(&mut stream, id) {
                log::warn!(step = "register", peer:% = addr, error:% = e; "connection not accepted");
                continue;
            }
            let conn = match accepts {
                Accepts::Http(mark) => Conn::http(now, stream, addr, mark),
                Accepts::Links => Conn::link(now, stream, addr, false),
            };
            self.insert(id, conn);
        }
    }

    fn serve(&mut self, now: Uptime, ready: &Ready, out: &mut Vec<NetEvent>) {
        let (id, writable) = (ready.token, ready.writable);
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        if !conn.opened && writable {
            conn.opened = conn.stream.peer_addr().is_ok();
        }
        let mut open = true;
        if ready.readable {
            open = conn.read(now, ready.half_closed);
            if open || !conn.drop_request() {
                conn.take_events(now, id, &self.key, &self.hello, &self.limits, out);
            }
        }
        if conn.broken {
            open = false;
        }
        if open && (writable || conn.has_output()) {
            open = conn.write();
        }
        if !open || conn.broken {
            self.ended(id, out);
        }
    }

    /// Writes what is queued; looks at connections that wait for room for their next request.
    fn flush(&mut self, out: &mut Vec<NetEvent>) {
        let now = crate::clock::uptime();
        let mut dirty = std::mem::take(&mut self.dirty);
        dirty.sort_unstable();
        dirty.dedup();
        for id in dirty {
            let Some(conn) = self.conns.get_mut(&id) else {
                continue;
            };
            conn.begin(&self.key);
            let mut open = conn.write();
            if open {
                conn.take_events(now, id, &self.key, &self.hello, &self.limits, out);
                open = !conn.broken;
            }
            if !open {
                self.ended(id, out);
            }
        }
    }

    fn ended(&mut self, id: ConnId, out: &mut Vec<NetEvent>) {
        let Some(mut conn) = self.conns.swap_remove(&id) else {
            return;
        };
        let _ = self.poll.registry().deregister(&mut conn.stream);
        match conn.role {
            Role::Http(_) => out.push(NetEvent::HungUp(id)),
            Role::Calls => out.push(NetEvent::CallEnded(id, conn.opened)),
            Role::Link => out.push(NetEvent::LinkDown(id)),
        }
    }

    /// Ends connections that are silent, trickle or linger for too long; pings idle links.
    pub fn tick(&mut self, now: Uptime, out: &mut Vec<NetEvent>) {
        let mut over = Vec::new();
        for (id, conn) in &mut self.conns {
            if conn.is_overdue(now, &self.limits, LINGER) {
                over.push(*id);
            } else if conn.ping(now) {
                self.dirty.push(*id);
            }
        }
        for id in over {
            self.ended(id, out);
        }
    }
}
