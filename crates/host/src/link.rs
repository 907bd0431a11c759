//! Links: TCP connections with authenticated frames between the processes of a cluster.
//!
//! Each link has a reader and a writer thread. An idle side sends pings; a side that receives
//! nothing for [`SILENCE_LIMIT`] closes the link, because TCP does not report a partition.

mod unproven;

use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use flume::{Receiver, RecvTimeoutError, Sender};
use rw_core::codec::{
    ClusterKey, CodecError, HEADER_BYTES, NONCE_BYTES, Opener, Sealer, TAG_BYTES,
};
use rw_core::fleet::SILENCE_LIMIT;
use rw_core::msg::{Ask, AskReply, Hello, Msg, Role};
use thiserror::Error;

use crate::metrics;

use unproven::{AwaitedProof, Unproven};

/// Time since the last outgoing message after which a ping is sent.
pub const PING_AFTER: Duration = Duration::from_millis(500);
/// Time limit for establishing a TCP connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Capacity of a link's send queue, in messages; a link whose queue is full is closed.
pub const SEND_QUEUE_CAPACITY: usize = 16 * 1024;
/// Maximum number of open links of one process; further incoming links are dropped.
pub const MAX_LINKS: usize = 2048;
/// Size in bytes at which a batch of frames is written; also the size of the read buffer.
const BATCH_BYTES: usize = 64 * 1024;

/// An error on a link, with the step that failed and the peer.
#[derive(Debug, Error)]
#[error("{step} with {peer}: {source}")]
pub struct LinkError {
    /// The step that failed, such as `connect` or `read`.
    pub step: &'static str,
    /// The peer's address.
    pub peer: SocketAddr,
    /// The cause.
    pub source: LinkErrorKind,
}

/// The cause of a [`LinkError`].
#[derive(Debug, Error)]
pub enum LinkErrorKind {
    /// The connection failed or a read or write timed out.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A frame failed authentication or did not decode to a message.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The peer sent a message of this kind where another one was expected.
    #[error("unexpected message {0}")]
    Unexpected(&'static str),
}

trait LinkResultExt<T> {
    fn at_step(self, step: &'static str, peer: SocketAddr) -> Result<T, LinkError>;
}

impl<T, E> LinkResultExt<T> for Result<T, E>
where
    E: Into<LinkErrorKind>,
{
    fn at_step(self, step: &'static str, peer: SocketAddr) -> Result<T, LinkError> {
        self.map_err(|e| LinkError {
            step,
            peer,
            source: e.into(),
        })
    }
}

/// The sending half of a link. Clones share the same connection.
#[derive(Clone, Debug)]
pub struct Link {
    /// Identifies the link within this process; a later link has a higher number.
    pub id: u64,
    /// The identity that the peer sent.
    pub peer: Hello,
    /// The peer's address.
    pub addr: SocketAddr,
    tx: Sender<Msg>,
    stream: Arc<TcpStream>,
}

impl Link {
    /// Queues a message. If the send queue is full, closes the link instead, so that an open link
    /// never skips a message.
    pub fn send(&self, msg: Msg) {
        if self.tx.try_send(msg).is_err() {
            self.close();
        }
    }

    /// Closes the link in both directions. [`LinkEvent::Down`] follows.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// An event on a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// The handshake is complete.
    Up(Link),
    /// A message arrived on the link of this id.
    Msg(u64, Msg),
    /// The link of this id ended.
    Down(u64),
}

/// Callback for link events. It runs on the reader threads; the events of one link are in order.
pub type LinkSink = Arc<dyn Fn(LinkEvent) + Send + Sync>;

static NEXT_LINK: AtomicU64 = AtomicU64::new(1);
static OPEN_LINKS: AtomicUsize = AtomicUsize::new(0);

/// Accepts and opens links on behalf of one process.
#[derive(Clone)]
pub struct Linker {
    /// The key that authenticates the frames.
    pub key: ClusterKey,
    /// The identity of this process, sent to each peer.
    pub hello: Hello,
    /// Receives the events of all links.
    pub sink: LinkSink,
}

impl std::fmt::Debug for Linker {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Linker({})", self.hello.node)
    }
}

impl Linker {
    /// Starts a thread that accepts links on a bound listener.
    pub fn accept(&self, listener: TcpListener) {
        self.accept_within(listener, MAX_LINKS);
    }

    /// As [`Self::accept`], with at most `max_unproven` links that have not proved the key yet.
    pub fn accept_within(&self, listener: TcpListener, max_unproven: usize) {
        let linker = self.clone();
        let unproven = Unproven::new(max_unproven);
        spawn("link-accept", move || {
            for stream in listener.incoming().flatten() {
                if OPEN_LINKS.load(Ordering::Relaxed) >= MAX_LINKS {
                    continue;
                }
                let stream = Arc::new(stream);
                let Some(proof) = unproven.register(Instant::now(), &stream) else {
                    continue;
                };
                let linker = linker.clone();
                spawn("link-read", move || linker.serve(stream, Some(proof)));
            }
        });
    }

    /// Opens a link and serves it on the calling thread until it ends. Errors are only logged.
    pub fn dial(&self, addr: SocketAddr) {
        match TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT) {
            Ok(stream) => self.serve(Arc::new(stream), None),
            Err(e) => log::debug!(peer:% = addr, error:% = e; "cannot connect to the peer"),
        }
    }

    /// Serves a link until it ends. `proof` is held by an incoming one until it has proved the key.
    fn serve(&self, stream: Arc<TcpStream>, proof: Option<AwaitedProof>) {
        OPEN_LINKS.fetch_add(1, Ordering::Relaxed);
        if let Err(e) = self.run(stream, proof) {
            if matches!(e.source, LinkErrorKind::Codec(_)) {
                metrics::BAD_FRAMES.inc();
                log::warn!(error:% = e; "link ended: frame not accepted");
            } else {
                log::debug!(error:% = e; "link ended");
            }
        }
        OPEN_LINKS.fetch_sub(1, Ordering::Relaxed);
    }

    fn run(&self, stream: Arc<TcpStream>, proof: Option<AwaitedProof>) -> Result<(), LinkError> {
        let is_client = proof.is_none();
        let (mut framed, peer) =
            FramedStream::open(stream.clone(), &self.key, &self.hello, is_client)?;
        drop(proof);
        let (tx, rx) = flume::bounded(SEND_QUEUE_CAPACITY);
        let id = NEXT_LINK.fetch_add(1, Ordering::Relaxed);
        let writer = framed.take_writer().at_step("open", framed.peer)?;
        spawn("link-write", move || writer.run(&rx));
        (self.sink)(LinkEvent::Up(Link {
            id,
            peer,
            addr: framed.peer,
            tx,
            stream,
        }));
        let end = self.read_loop(id, &mut framed);
        (self.sink)(LinkEvent::Down(id));
        let _ = framed.stream.shutdown(Shutdown::Both);
        end
    }

    fn read_loop(&self, id: u64, framed: &mut FramedStream) -> Result<(), LinkError> {
        loop {
            let msg = framed.read().at_step("read", framed.peer)?;
            (self.sink)(LinkEvent::Msg(id, msg));
        }
    }
}

/// Sends one request on a new connection and returns the reply.
pub fn ask(
    addr: SocketAddr,
    key: &ClusterKey,
    hello: &Hello,
    ask: Ask,
) -> Result<AskReply, LinkError> {
    let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).at_step("connect", addr)?;
    // With the real role, the peer would treat this connection as the permanent link.
    let hello = Hello {
        role: Role::Tool,
        ..hello.clone()
    };
    let (mut framed, _) = FramedStream::open(Arc::new(stream), key, &hello, true)?;
    framed.write(&Msg::Ask(ask)).at_step("ask", addr)?;
    loop {
        match framed.read().at_step("await reply", addr)? {
            Msg::AskReply(reply) => return Ok(reply),
            Msg::Ping | Msg::Hello(_) => {}
            other => {
                return Err(LinkErrorKind::Unexpected(other.kind())).at_step("await reply", addr);
            }
        }
    }
}

/// The reading half of a connection. Halves share one descriptor.
struct SharedStream(Arc<TcpStream>);

impl Read for SharedStream {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        (&*self.0).read(buf)
    }
}

/// A connection after the exchange of nonces, in both directions.
struct FramedStream {
    peer: SocketAddr,
    stream: Arc<TcpStream>,
    reader: BufReader<SharedStream>,
    opener: Opener,
    sealer: Option<Sealer>,
    buf: Vec<u8>,
}

impl FramedStream {
    /// Exchanges nonces and [`Hello`] messages.
    fn open(
        stream: Arc<TcpStream>,
        key: &ClusterKey,
        hello: &Hello,
        is_client: bool,
    ) -> Result<(Self, Hello), LinkError> {
        let unknown_addr = SocketAddr::from(([0, 0, 0, 0], 0));
        let peer = stream.peer_addr().at_step("accept", unknown_addr)?;
        stream.set_nodelay(true).at_step("open", peer)?;
        stream
            .set_read_timeout(Some(SILENCE_LIMIT))
            .at_step("open", peer)?;
        stream
            .set_write_timeout(Some(SILENCE_LIMIT))
            .at_step("open", peer)?;
        let local_nonce: [u8; NONCE_BYTES] = std::array::from_fn(|_| fastrand::u8(..));
        let mut peer_nonce = [0; NONCE_BYTES];
        (&*stream).write_all(&local_nonce).at_step("greet", peer)?;
        (&*stream)
            .read_exact(&mut peer_nonce)
            .at_step("greet", peer)?;
        let (client, server) = if is_client {
            (&local_nonce, &peer_nonce)
        } else {
            (&peer_nonce, &local_nonce)
        };
        let (sealer, opener) = key.directions(client, server, is_client);
        let reader = BufReader::with_capacity(BATCH_BYTES, SharedStream(stream.clone()));
        let mut framed = Self {
            peer,
            stream,
            reader,
            opener,
            sealer: Some(sealer),
            buf: Vec::new(),
        };
        framed
            .write(&Msg::Hello(hello.clone()))
            .at_step("greet", peer)?;
        match framed.read().at_step("greet", peer)? {
            Msg::Hello(hello) => Ok((framed, hello)),
            other => Err(LinkErrorKind::Unexpected(other.kind())).at_step("greet", peer),
        }
    }

    fn write(&mut self, msg: &Msg) -> Result<(), LinkErrorKind> {
        let Some(sealer) = &mut self.sealer else {
            return Ok(());
        };
        let buf = sealer.seal(msg, Vec::new())?;
        metrics::count_sent(msg);
        (&*self.stream).write_all(&buf)?;
        Ok(())
    }

    fn read(&mut self) -> Result<Msg, LinkErrorKind> {
        loop {
            let mut header = [0; HEADER_BYTES];
            self.reader.read_exact(&mut header)?;
            let header = self.opener.read_header(header)?;
            self.buf.resize(header.len + TAG_BYTES, 0);
            self.reader.read_exact(&mut self.buf)?;
            let (payload, tag) = self.buf.split_at(header.len);
            if let Some(msg) = self.opener.open(header, payload, tag)? {
                return Ok(msg);
            }
        }
    }

    /// Moves the sending direction to a [`Writer`]. Fails if it was moved already.
    fn take_writer(&mut self) -> io::Result<Writer> {
        let stream = self.stream.clone();
        let sealer = self.sealer.take().ok_or(io::ErrorKind::Other)?;
        Ok(Writer {
            peer: self.peer,
            stream,
            sealer,
            buf: Vec::new(),
        })
    }
}

struct Writer {
    peer: SocketAddr,
    stream: Arc<TcpStream>,
    sealer: Sealer,
    buf: Vec<u8>,
}

impl Writer {
    fn run(mut self, rx: &Receiver<Msg>) {
        let end = self.write_loop(rx);
        if let Err(e) = end {
            log::debug!(error:% = e; "link closed: write failed");
        }
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    fn write_loop(&mut self, rx: &Receiver<Msg>) -> Result<(), LinkErrorKind> {
        loop {
            match rx.recv_timeout(PING_AFTER) {
                Ok(msg) => self.seal(&msg)?,
                Err(RecvTimeoutError::Timeout) => self.seal(&Msg::Ping)?,
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            while self.buf.len() < BATCH_BYTES
                && let Ok(msg) = rx.try_recv()
            {
                self.seal(&msg)?;
            }
            (&*self.stream).write_all(&self.buf)?;
            self.buf.clear();
        }
    }

    fn seal(&mut self, msg: &Msg) -> Result<(), LinkErrorKind> {
        let before = self.buf.len();
        let sealed = self.sealer.seal(msg, std::mem::take(&mut self.buf));
        self.buf = sealed.inspect_err(|e| {
            metrics::UNSENT.with_label_values(&[msg.kind()]).inc();
            log::error!(peer:% = self.peer, kind = msg.kind(), error:% = e; "message not sent; link closed");
        })?;
        metrics::count_sent(msg);
        metrics::SENT_BYTES.inc_by((self.buf.len() - before) as u64);
        Ok(())
    }
}

/// Starts a thread named `name`. A failure is logged and `f` does not run.
pub fn spawn<F>(name: &'static str, f: F)
where
    F: FnOnce() + Send + 'static,
{
    let started = thread::Builder::new()
        .name(name.into())
        .stack_size(512 * 1024)
        .spawn(f);
    if let Err(e) = started {
        log::error!(duty = name, error:% = e; "cannot start a thread");
    }
}
