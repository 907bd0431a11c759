//! One connection of the event loop: its protocol, buffers and time limits.

mod standing;

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

use mio::net::TcpStream;
use rw_core::codec::ClusterKey;
use rw_core::msg::{Hello, Msg};
use rw_core::pool::{KeepAlive, Uptime};

use super::budget;
use super::http::{
    CONTINUE, HttpLimits, HttpRequest, HttpResponse, Parsed, parse_response, response_bytes,
};
use super::link::{Input, LinkInput, LinkSession, LinkState};
use super::reader::{BodyUse, Progress, RequestReader};
use super::{BodyFilter, ConnId, NetEvent};
use crate::metrics;

/// Size of the buffer of one read, in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Output in bytes that is queued for a peer, beyond which the connection is closed if there is more
/// to send. A single longer message is not cut off.
const MAX_OUTPUT_BYTES: usize = 8 * 1024 * 1024;
/// Bytes that are read from a connection before others get their turn.
const MAX_TURN_BYTES: usize = 256 * 1024;
/// Time limit for a peer to prove that it has the cluster's key.
const PROOF_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for establishing an outgoing connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Length in bytes to which the start line of a dropped request is cut in the log.
const MAX_LOGGED_LINE_BYTES: usize = 160;
/// Capacity in bytes above which an empty buffer is freed.
const MAX_RETAINED_BYTES: usize = 32 * 1024;

/// The protocol of a connection and which side of it this process is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ConnKind {
    /// HTTP server; holds the tag of the listener.
    Http(u8),
    /// HTTP client.
    Calls,
    /// A link with another process.
    Link,
}

/// What the parsing of input depends on beside the connection.
pub(super) struct ParseContext<'a> {
    pub(super) key: &'a ClusterKey,
    pub(super) hello: &'a Hello,
    pub(super) limits: &'a HttpLimits,
    pub(super) filter: Option<&'a dyn BodyFilter>,
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts of one connection"
)]
pub(super) struct Conn {
    pub(super) stream: TcpStream,
    pub(super) kind: ConnKind,
    /// Whether the connection has been established.
    pub(super) opened: bool,
    /// Whether an event has told of the connection, and with it of what arrived before.
    pub(super) heard: bool,
    /// Whether the connection has failed and is to be ended.
    pub(super) broken: bool,
    pub(super) peer: SocketAddr,
    input: Vec<u8>,
    /// The socket may have input, since reading paused before it was empty.
    pub(super) unread: bool,
    reader: RequestReader,
    output: Vec<u8>,
    /// Number of bytes of `output` that have been written.
    written: usize,
    /// When the oldest byte of `output` was queued, and the bytes written since.
    output_since: Option<(Uptime, u64)>,
    /// The caller of the present request was told to send its body.
    sent_continue: bool,
    /// Input is left that was not parsed because a response was not read.
    has_next: bool,
    /// Bytes that the budget of strangers has counted for this connection.
    pub(super) charged: usize,
    /// Whether a complete request was received.
    was_served: bool,
    /// A request was delivered and its response is not queued yet; the next request waits.
    serving: bool,
    /// Set once the connection is to be closed after the output is written; the time of the last
    /// input before that.
    closing_since: Option<Uptime>,
    /// Whether the connection closes after the current or next response.
    last_request: bool,
    /// An event told that the peer has closed its sending half, or that the connection failed; there
    /// may be input before the end.
    pub(super) half_closed: bool,
    /// The peer has closed its sending half, and all input is read or dropped.
    peer_closed: bool,
    created_at: Uptime,
    /// When the first byte of the incomplete request arrived.
    request_started: Option<Uptime>,
    /// Bytes received since `request_started`.
    request_bytes: u64,
    last_written: Uptime,
    last_received: Uptime,
    /// When the last message was queued on a link.
    last_sent: Uptime,
    pub(super) keep_alive: KeepAlive,
    link: Option<LinkSession>,
}

impl Conn {
    fn new(now: Uptime, stream: TcpStream, peer: SocketAddr, kind: ConnKind) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            kind,
            opened: false,
            heard: false,
            broken: false,
            peer,
            input: Vec::new(),
            unread: false,
            reader: RequestReader::default(),
            output: Vec::new(),
            written: 0,
            output_since: None,
            sent_continue: false,
            has_next: false,
            charged: 0,
            was_served: false,
            serving: false,
            closing_since: None,
            last_request: false,
            half_closed: false,
            peer_closed: false,
            created_at: now,
            request_started: None,
            request_bytes: 0,
            last_written: now,
            last_received: now,
            last_sent: now,
            keep_alive: KeepAlive::AGENT,
            link: None,
        }
    }

    pub(super) fn http(now: Uptime, stream: TcpStream, peer: SocketAddr, tag: u8) -> Self {
        let mut conn = Self::new(now, stream, peer, ConnKind::Http(tag));
        conn.opened = true;
        conn
    }

    pub(super) fn calls(now: Uptime, stream: TcpStream, peer: SocketAddr) -> Self {
        Self::new(now, stream, peer, ConnKind::Calls)
    }

    pub(super) fn link(now: Uptime, stream: TcpStream, peer: SocketAddr, is_client: bool) -> Self {
        let mut conn = Self::new(now, stream, peer, ConnKind::Link);
        conn.link = Some(LinkSession {
            state: LinkState::New,
            is_client,
        });
        conn.opened = !is_client;
        conn
    }

    /// Starts the handshake of a link. Does nothing on other connections or if it was started.
    pub(super) fn begin_handshake(&mut self, _key: &ClusterKey) {
        if let Some(link) = &mut self.link {
            link.send_nonce(&mut self.output);
        }
    }

    pub(super) fn queue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
        self.broken |= self.pending_output() > MAX_OUTPUT_BYTES;
    }

    pub(super) fn respond(&mut self, response: &HttpResponse) {
        let close = self.last_request || self.peer_closed;
        response_bytes(response, close, &mut self.output);
        self.serving = false;
        self.request_started = None;
        if close {
            self.closing_since = Some(self.last_received);
        }
    }

    pub(super) fn send(&mut self, now: Uptime, msg: &Msg) {
        self.broken |= self.pending_output() > MAX_OUTPUT_BYTES;
        let Some(link) = self.link.as_mut().filter(|_| !self.broken) else {
            return;
        };
        self.last_sent = now;
        if let Err(e) = link.seal(msg, &mut self.output) {
            metrics::UNSENT.with_label_values(&[msg.kind()]).inc();
            log::error!(peer:% = self.peer, kind = msg.kind(), error:% = e; "message not sent; link closed");
            self.broken = true;
        }
    }

    /// Returns the number of bytes of output that are not written yet.
    fn pending_output(&self) -> usize {
        self.output.len() - self.written
    }

    pub(super) fn has_output(&self) -> bool {
        self.output.len() > self.written
    }

    /// Makes a caller's connection close after the response to the current or next request.
    pub(super) fn set_last_request(&mut self) {
        if matches!(self.kind, ConnKind::Http(_)) {
            self.last_request = true;
        }
    }

    /// Returns whether input has arrived behind the request in progress.
    pub(super) fn has_further_requests(&self) -> bool {
        self.unread || self.is_midway()
    }

    pub(super) fn is_idle_http(&self) -> bool {
        matches!(self.kind, ConnKind::Http(_)) && !self.is_serving() && !self.is_midway()
    }

    /// Returns whether a part of a request has been received.
    fn is_midway(&self) -> bool {
        !self.input.is_empty() || self.reader.is_midway()
    }

    pub(super) fn is_serving(&self) -> bool {
        self.serving || self.has_output()
    }

    /// Reads the available input, as far as the connection may hold it. Returns `false` when the
    /// connection has ended. A read that does not fill the buffer has emptied the socket, and later
    /// input raises a new event, unless the peer has closed its sending half.
    pub(super) fn read(&mut self, now: Uptime, limits: &HttpLimits) -> bool {
        let mut buf = [0; READ_BYTES];
        let mut turn = 0;
        let half_closed = self.half_closed;
        self.unread = false;
        loop {
            if self.is_full(limits) || turn >= MAX_TURN_BYTES {
                self.unread = true;
                // What a caller that has disconnected sent is not needed.
                return !(half_closed && matches!(self.kind, ConnKind::Http(_)));
            }
            match self.stream.read(&mut buf) {
                Ok(0) => {
                    self.peer_closed = true;
                    // A caller that closes its sending half while its job runs counts as
                    // disconnected.
                    return false;
                }
                Ok(len) => {
                    turn += len;
                    self.receive(now, &buf[..len]);
                    if half_closed && matches!(self.kind, ConnKind::Http(_)) {
                        self.peer_closed = true;
                        return false;
                    }
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

    fn receive(&mut self, now: Uptime, bytes: &[u8]) {
        self.opened = true;
        self.last_received = now;
        if self.request_started.is_none() && !self.serving {
            self.request_started = Some(now);
            self.request_bytes = 0;
        }
        self.request_bytes += bytes.len() as u64;
        let direct = if self.input.is_empty() && !self.serving {
            self.reader.take_body(bytes)
        } else {
            0
        };
        self.input.extend_from_slice(&bytes[direct..]);
    }

    /// Drops the input of a caller that has disconnected, so that no request is started for it: the
    /// caller may have sent it elsewhere already. Returns `false` on other connections.
    pub(super) fn drop_request(&mut self) -> bool {
        if !matches!(self.kind, ConnKind::Http(_)) {
            return false;
        }
        if !self.serving && self.is_midway() {
            let line = match self.reader.head() {
                Some(req) => format!("{} {}", req.method, req.path).into_bytes(),
                None => self.input.clone(),
            };
            let line = line.split(|b| *b == b'\r').next().unwrap_or_default();
            let line = String::from_utf8_lossy(&line[..line.len().min(MAX_LOGGED_LINE_BYTES)]);
            log::info!(peer:% = self.peer, bytes = self.request_bytes, line:% = line;
                "request dropped: the caller has disconnected");
            self.input.clear();
            self.reader.clear();
        }
        true
    }

    /// Writes as much output as the socket takes. Returns `false` when the connection has ended.
    pub(super) fn write(&mut self, now: Uptime) -> bool {
        if self.has_output() {
            self.output_since.get_or_insert((now, 0));
        }
        while self.has_output() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return false,
                Ok(len) => {
                    self.opened = true;
                    self.written += len;
                    self.last_written = now;
                    if let Some((_, written)) = &mut self.output_since {
                        *written += len as u64;
                    }
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
        self.output_since = None;
        if self.output.capacity() > MAX_RETAINED_BYTES {
            self.output = Vec::new();
        }
        if self.closing_since.is_some() {
            let _ = self.stream.shutdown(std::net::Shutdown::Write);
            return false;
        }
        true
    }

    /// Parses the input and appends the resulting events to `out`.
    pub(super) fn parse_input(
        &mut self,
        now: Uptime,
        id: ConnId,
        cx: &ParseContext<'_>,
        out: &mut Vec<NetEvent>,
    ) {
        match self.kind {
            ConnKind::Http(tag) => self.read_request(now, id, tag, cx, out),
            ConnKind::Calls => self.read_responses(id, cx.limits, out),
            ConnKind::Link => self.read_messages(id, cx.key, cx.hello, out),
        }
        if self.input.is_empty() && self.input.capacity() > MAX_RETAINED_BYTES {
            self.input = Vec::new();
        }
    }

    fn read_request(
        &mut self,
        now: Uptime,
        id: ConnId,
        tag: u8,
        cx: &ParseContext<'_>,
        out: &mut Vec<NetEvent>,
    ) {
        // The next request waits until the previous response is read, so that responses do not pile
        // up for a caller that reads none.
        self.has_next = self.is_serving() && self.is_midway();
        if self.is_serving() || self.closing_since.is_some() || !self.is_midway() {
            return;
        }
        let body_use = |req: &_| match cx.filter {
            Some(filter) => filter.body_use(tag, req),
            None => BodyUse::Keep,
        };
        match self.reader.read(&mut self.input, cx.limits, body_use) {
            Progress::Incomplete => {
                self.request_started.get_or_insert(now);
                let expects = |req: &HttpRequest| req.expects_continue();
                if !self.sent_continue && self.reader.head().is_some_and(expects) {
                    self.sent_continue = true;
                    self.output.extend_from_slice(CONTINUE);
                }
            }
            Progress::Complete(request, close) => {
                self.serving = true;
                self.sent_continue = false;
                self.was_served = true;
                self.request_started = None;
                self.last_request |= close;
                out.push(NetEvent::Request(id, tag, request));
            }
            Progress::Invalid(status, reason) => {
                log::info!(peer:% = self.peer, status = status, reason = reason; "request refused");
                self.last_request = true;
                self.input.clear();
                self.reader.clear();
                let body = format!("{{\"error\":\"{reason}\"}}").into_bytes();
                self.respond(&HttpResponse::with_body(status, "application/json", body));
            }
        }
    }

    fn read_responses(&mut self, id: ConnId, limits: &HttpLimits, out: &mut Vec<NetEvent>) {
        while !self.input.is_empty() {
            match parse_response(&self.input, limits) {
                Parsed::Incomplete => return,
                Parsed::Complete(response, consumed, close) => {
                    self.input.drain(..consumed);
                    out.push(NetEvent::Response(id, response));
                    self.broken |= close;
                }
                Parsed::Invalid(_, reason) => {
                    log::warn!(peer:% = self.peer, reason = reason; "response dropped");
                    self.broken = true;
                    return;
                }
            }
        }
    }

    fn read_messages(
        &mut self,
        id: ConnId,
        key: &ClusterKey,
        hello: &Hello,
        out: &mut Vec<NetEvent>,
    ) {
        let Some(link) = &mut self.link else { return };
        let mut input = Input {
            buf: &self.input,
            consumed: 0,
        };
        loop {
            match link.next_message(&mut input, key, hello, &mut self.output) {
                Ok(LinkInput::Incomplete) => break,
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
        let consumed = input.consumed;
        self.input.drain(..consumed);
    }

    /// Returns whether the connection has exceeded the time limit of its current state.
    pub(super) fn is_overdue(&self, now: Uptime, limits: &HttpLimits, linger: Duration) -> bool {
        if !self.opened {
            return now >= self.created_at + CONNECT_TIMEOUT;
        }
        if let Some(since) = self.closing_since {
            return now >= since.max(self.last_received) + linger;
        }
        match self.kind {
            ConnKind::Http(_) if self.serving => false,
            ConnKind::Http(_) if self.has_output() => {
                self.output_since.is_some_and(|(since, written)| {
                    budget::is_too_slow(written, now.saturating_sub(since))
                })
            }
            ConnKind::Http(_) => match self.request_started {
                Some(started) => {
                    now >= started + limits.request_time
                        || budget::is_too_slow(self.request_bytes, now.saturating_sub(started))
                }
                None => now >= self.last_received + limits.idle_time,
            },
            ConnKind::Calls => false,
            ConnKind::Link if self.is_stranger() && now >= self.created_at + PROOF_TIMEOUT => true,
            ConnKind::Link => now >= self.last_received + self.keep_alive.silence_timeout,
        }
    }

    /// Queues a ping on a link that has sent nothing for the time of its keep-alive. Returns whether it did.
    pub(super) fn ping(&mut self, now: Uptime) -> bool {
        let is_up = self.link.as_ref().is_some_and(LinkSession::is_up);
        if !is_up || now < self.last_sent + self.keep_alive.ping_every {
            return false;
        }
        self.send(now, &Msg::Ping);
        true
    }
}
