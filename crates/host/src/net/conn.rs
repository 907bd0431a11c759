//! One connection: its buffers, its times, what it speaks.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use mio::net::TcpStream;
use rw_core::codec::ClusterKey;
use rw_core::msg::{Hello, Msg};
use rw_core::pool::{PING_EVERY, SILENCE_TIMEOUT, Uptime};

use super::http::{
    HttpLimits, HttpResponse, Parsed, parse_request, parse_response, response_bytes,
};
use super::link::{Input, LinkInput, LinkPart, LinkState};
use super::{ConnId, NetEvent};
use crate::metrics;

/// Bytes that are read at once.
const READ_BYTES: usize = 16 * 1024;
/// Bytes that may wait to be written; a peer that is slower is given up.
const MAX_OUTPUT: usize = 8 * 1024 * 1024;
/// Bytes that may wait to be read of a peer whose request is being served.
const MAX_AHEAD: usize = 64 * 1024;
/// Time for a connection of ours to be opened.
const CONNECT_TIME: Duration = Duration::from_millis(700);
/// Bytes of a dropped request's first line that are logged.
const MAX_LOGGED_LINE: usize = 160;
/// Buffers above this are given back when they are empty.
const KEEP_BUFFER: usize = 32 * 1024;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Role {
    /// Requests come in; the mark of the listener.
    Http(u8),
    /// Calls go out.
    Calls,
    /// A link.
    Link,
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts of one connection"
)]
pub(super) struct Conn {
    pub(super) stream: TcpStream,
    pub(super) role: Role,
    /// Whether it was ever connected.
    pub(super) opened: bool,
    /// Whether it is to be ended.
    pub(super) broken: bool,
    peer: SocketAddr,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    /// A request is being served; the next one waits.
    serving: bool,
    /// The connection ends once the output is written.
    closing: Option<Uptime>,
    /// Whether the present request is the last.
    last: bool,
    /// The other side sends nothing more.
    ended: bool,
    since: Uptime,
    /// When the first byte of the unfinished request arrived.
    begun: Option<Uptime>,
    heard: Uptime,
    sent: Uptime,
    link: Option<LinkPart>,
}

impl Conn {
    fn new(now: Uptime, stream: TcpStream, peer: SocketAddr, role: Role) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            role,
            opened: false,
            broken: false,
            peer,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            serving: false,
            closing: None,
            last: false,
            ended: false,
            since: now,
            begun: None,
            heard: now,
            sent: now,
            link: None,
        }
    }

    pub(super) fn http(now: Uptime, stream: TcpStream, peer: SocketAddr, mark: u8) -> Self {
        let mut conn = Self::new(now, stream, peer, Role::Http(mark));
        conn.opened = true;
        conn
    }

    pub(super) fn calls(now: Uptime, stream: TcpStream, peer: SocketAddr) -> Self {
        Self::new(now, stream, peer, Role::Calls)
    }

    pub(super) fn link(now: Uptime, stream: TcpStream, peer: SocketAddr, is_client: bool) -> Self {
        let mut conn = Self::new(now, stream, peer, Role::Link);
        conn.link = Some(LinkPart {
            state: LinkState::New,
            is_client,
        });
        conn.opened = !is_client;
        conn
    }

    /// Begins a link's greeting.
    pub(super) fn begin(&mut self, _key: &ClusterKey) {
        if let Some(link) = &mut self.link {
            link.begin(&mut self.output);
        }
    }

    pub(super) fn queue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
        self.broken |= self.output.len() - self.written > MAX_OUTPUT;
    }

    pub(super) fn respond(&mut self, response: &HttpResponse) {
        let close = self.last || self.ended;
        response_bytes(response, close, &mut self.output);
        self.serving = false;
        self.begun = None;
        if close {
            self.closing = Some(self.heard);
        }
    }

    pub(super) fn send(&mut self, now: Uptime, msg: &Msg) {
        let Some(link) = &mut self.link else { return };
        self.sent = now;
        if let Err(e) = link.seal(msg, &mut self.output) {
            log::warn!(step = "seal", peer:% = self.peer, error:% = e; "link ended");
            self.broken = true;
        }
        self.broken |= self.output.len() - self.written > MAX_OUTPUT;
    }

    pub(super) fn has_output(&self) -> bool {
        self.output.len() > self.written
    }

    /// The present request, or the next one, is the last that is served.
    pub(super) fn last_request(&mut self) {
        if matches!(self.role, Role::Http(_)) {
            self.last = true;
        }
    }

    pub(super) fn is_idle_http(&self) -> bool {
        matches!(self.role, Role::Http(_)) && !self.is_serving() && self.input.is_empty()
    }

    pub(super) fn is_serving(&self) -> bool {
        self.serving || self.has_output()
    }

    /// Reads what arrived. `false` when the connection is over. Unless the other side has ended its
    /// half, a read that does not fill the buffer took all: what comes later is a new event.
    pub(super) fn read(&mut self, now: Uptime, half_closed: bool) -> bool {
        let mut buf = [0; READ_BYTES];
        loop {
            if self.serving && self.input.len() > MAX_AHEAD {
                return true;
            }
            match self.stream.read(&mut buf) {
                Ok(0) => {
                    self.ended = true;
                    // A caller that ends its side while its job runs has hung up.
                    return false;
                }
                Ok(len) => {
                    self.opened = true;
                    self.heard = now;
                    if self.begun.is_none() && !self.serving {
                        self.begun = Some(now);
                    }
                    self.input.extend_from_slice(&buf[..len]);
                    if len < READ_BYTES && !half_closed {
                        return true;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    log::debug!(step = "read", peer:% = self.peer, error:% = e; "connection ended");
                    return false;
                }
            }
        }
    }

    /// Drops what was read of a caller that has gone, so that nothing is begun for it: it may have sent
    /// its request elsewhere already. `false` on connections that are not callers'.
    pub(super) fn drop_request(&mut self) -> bool {
        if !matches!(self.role, Role::Http(_)) {
            return false;
        }
        if !self.serving && !self.input.is_empty() {
            let line = self.input.split(|b| *b == b'\r').next().unwrap_or_default();
            let line = String::from_utf8_lossy(&line[..line.len().min(MAX_LOGGED_LINE)]);
            log::info!(peer:% = self.peer, bytes = self.input.len(), line:% = line;
                "request dropped: its caller has gone");
            self.input.clear();
        }
        true
    }

    /// Writes what it can. `false` when the connection is over.
    pub(super) fn write(&mut self) -> bool {
        while self.has_output() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return false,
                Ok(len) => {
                    self.opened = true;
                    self.written += len;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    log::debug!(step = "write", peer:% = self.peer, error:% = e; "connection ended");
                    return false;
                }
            }
        }
        self.output.clear();
        self.written = 0;
        if self.output.capacity() > KEEP_BUFFER {
            self.output = Vec::new();
        }
        if self.closing.is_some() {
            let _ = self.stream.shutdown(std::net::Shutdown::Write);
            return false;
        }
        true
    }

    /// Turns the input into events.
    pub(super) fn take_events(
        &mut self,
        now: Uptime,
        id: ConnId,
        key: &ClusterKey,
        hello: &Hello,
        limits: &HttpLimits,
        out: &mut Vec<NetEvent>,
    ) {
        match self.role {
            Role::Http(mark) => self.take_request(now, id, mark, limits, out),
            Role::Calls => self.take_responses(id, limits, out),
            Role::Link => self.take_msgs(id, key, hello, out),
        }
        if self.input.is_empty() && self.input.capacity() > KEEP_BUFFER {
            self.input = Vec::new();
        }
    }

    fn take_request(
        &mut self,
        now: Uptime,
        id: ConnId,
        mark: u8,
        limits: &HttpLimits,
        out: &mut Vec<NetEvent>,
    ) {
        if self.serving || self.closing.is_some() || self.input.is_empty() {
            return;
        }
        match parse_request(&self.input, limits) {
            Parsed::More => {
                self.begun.get_or_insert(now);
            }
            Parsed::Whole(request, taken, close) => {
                self.input.drain(..taken);
                self.serving = true;
                self.begun = None;
                self.last |= close;
                out.push(NetEvent::Request(id, mark, request));
            }
            Parsed::Bad(status, reason) => {
                log::info!(peer:% = self.peer, status = status, reason = reason; "request refused");
                self.last = true;
                self.input.clear();
                let body = format!("{{\"error\":\"{reason}\"}}").into_bytes();
                self.respond(&HttpResponse::with_body(status, "application/json", body));
            }
        }
    }

    fn take_responses(&mut self, id: ConnId, limits: &HttpLimits, out: &mut Vec<NetEvent>) {
        while !self.input.is_empty() {
            match parse_response(&self.input, limits) {
                Parsed::More => return,
                Parsed::Whole(response, taken, close) => {
                    self.input.drain(..taken);
                    out.push(NetEvent::Response(id, response));
                    self.broken |= close;
                }
                Parsed::Bad(_, reason) => {
                    log::warn!(peer:% = self.peer, reason = reason; "response dropped");
                    self.broken = true;
                    return;
                }
            }
        }
    }

    fn take_msgs(&mut self, id: ConnId, key: &ClusterKey, hello: &Hello, out: &mut Vec<NetEvent>) {
        let Some(link) = &mut self.link else { return };
        let mut input = Input {
            buf: &self.input,
            taken: 0,
        };
        loop {
            match link.take(&mut input, key, hello, &mut self.output) {
                Ok(LinkInput::More) => break,
                Ok(LinkInput::Up(peer)) => out.push(NetEvent::LinkUp(id, peer)),
                Ok(LinkInput::Msg(msg)) => out.push(NetEvent::LinkMsg(id, msg)),
                Err(e) => {
                    metrics::BAD_FRAMES.inc();
                    log::warn!(step = "open frame", peer:% = self.peer, error:% = e; "link ended");
                    self.broken = true;
                    break;
                }
            }
        }
        let taken = input.taken;
        self.input.drain(..taken);
    }

    /// Whether the connection took too long for what it does.
    pub(super) fn is_overdue(&self, now: Uptime, limits: &HttpLimits, linger: Duration) -> bool {
        if !self.opened {
            return now >= self.since + CONNECT_TIME;
        }
        if let Some(closing) = self.closing {
            return now >= closing.max(self.heard) + linger;
        }
        match self.role {
            Role::Http(_) if self.is_serving() => false,
            Role::Http(_) => match self.begun {
                Some(begun) => now >= begun + limits.request_time,
                None => now >= self.heard + limits.idle_time,
            },
            Role::Calls => false,
            Role::Link => now >= self.heard + SILENCE_TIMEOUT,
        }
    }

    /// Sends a ping on a link that has nothing else to say.
    pub(super) fn ping(&mut self, now: Uptime) -> bool {
        let up = self.link.as_ref().is_some_and(LinkPart::is_up);
        if !up || now < self.sent + PING_EVERY {
            return false;
        }
        self.send(now, &Msg::Ping);
        true
    }
}
