//! Links: TCP connections between the system's processes with authenticated frames.
//!
//! Each link has a thread that reads and one that writes. A side that has nothing to send sends a
//! ping; a side that hears nothing for [`SILENCE_LIMIT`] ends the link, since partitions are silent.

use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use flume::{Receiver, RecvTimeoutError, Sender};
use rw_core::codec::{ClusterKey, CodecError, NONCE_BYTES, Opener, Sealer, TAG_BYTES};
use rw_core::fleet::SILENCE_LIMIT;
use rw_core::msg::{Ask, AskReply, Hello, Msg, Role};
use thiserror::Error;

use crate::metrics;

/// Time without a message after which a ping is sent.
pub const PING_AFTER: Duration = Duration::from_millis(500);
/// Time that a new connection may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Messages that may wait on one link; a link that is slower is ended.
pub const LINK_QUEUE: usize = 16 * 1024;
/// Links that one process accepts.
pub const MAX_LINKS: usize = 2048;
/// Bytes after which a batch of frames is written.
const BATCH_BYTES: usize = 64 * 1024;

/// A failure on a link, with the step and the peer.
#[derive(Debug, Error)]
#[error("{step} with {peer}: {source}")]
pub struct LinkError {
    /// What was being done.
    pub step: &'static str,
    /// The other side's address.
    pub peer: SocketAddr,
    /// What went wrong.
    pub source: LinkFault,
}

/// What went wrong on a link.
#[derive(Debug, Error)]
pub enum LinkFault {
    /// The connection failed or was silent for too long.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A frame was not authentic or not a message.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// Another message was expected.
    #[error("unexpected message {0}")]
    Unexpected(&'static str),
}

trait At<T> {
    fn at(self, step: &'static str, peer: SocketAddr) -> Result<T, LinkError>;
}

impl<T, E> At<T> for Result<T, E>
where
    E: Into<LinkFault>,
{
    fn at(self, step: &'static str, peer: SocketAddr) -> Result<T, LinkError> {
        self.map_err(|e| LinkError {
            step,
            peer,
            source: e.into(),
        })
    }
}

/// The sending half of a link.
#[derive(Clone, Debug)]
pub struct Link {
    /// Unique in this process; a later link has a higher number.
    pub id: u64,
    /// The other side.
    pub peer: Hello,
    /// Its address.
    pub addr: SocketAddr,
    tx: Sender<Msg>,
    stream: Arc<TcpStream>,
}

impl Link {
    /// Queues a message. A link that is too slow to take it is ended, so that no message is lost
    /// on a link that goes on.
    pub fn send(&self, msg: Msg) {
        if self.tx.try_send(msg).is_err() {
            self.close();
        }
    }

    /// Ends the link.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// What happens on links.
#[derive(Debug)]
pub enum LinkEvent {
    /// A link is up.
    Up(Link),
    /// A message arrived.
    Msg(u64, Msg),
    /// A link is down.
    Down(u64),
}

/// Takes the events of links, each link's in order.
pub type Sink = Arc<dyn Fn(LinkEvent) + Send + Sync>;

static NEXT_LINK: AtomicU64 = AtomicU64::new(1);
static OPEN_LINKS: AtomicUsize = AtomicUsize::new(0);

/// What a process needs to link with others.
#[derive(Clone)]
pub struct Linker {
    /// The cluster's key.
    pub key: ClusterKey,
    /// This process.
    pub hello: Hello,
    /// Where events go.
    pub sink: Sink,
}

impl std::fmt::Debug for Linker {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Linker({})", self.hello.node)
    }
}

impl Linker {
    /// Accepts links on a bound listener, in a thread of its own.
    pub fn accept(&self, listener: TcpListener) {
        let linker = self.clone();
        spawn("link-accept", move || {
            for stream in listener.incoming().flatten() {
                if OPEN_LINKS.load(Ordering::Relaxed) >= MAX_LINKS {
                    continue;
                }
                let linker = linker.clone();
                spawn("link-read", move || linker.serve(stream, false));
            }
        });
    }

    /// Opens a link and serves it on this thread until it ends.
    pub fn dial(&self, addr: SocketAddr) {
        match TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT) {
            Ok(stream) => self.serve(stream, true),
            Err(e) => log::debug!(peer:% = addr, error:% = e; "link refused"),
        }
    }

    fn serve(&self, stream: TcpStream, is_client: bool) {
        OPEN_LINKS.fetch_add(1, Ordering::Relaxed);
        if let Err(e) = self.run(stream, is_client) {
            if matches!(e.source, LinkFault::Codec(_)) {
                metrics::BAD_FRAMES.inc();
            }
            log::debug!(error:% = e; "link ended");
        }
        OPEN_LINKS.fetch_sub(1, Ordering::Relaxed);
    }

    fn run(&self, stream: TcpStream, is_client: bool) -> Result<(), LinkError> {
        let (mut wire, peer) = Wire::open(stream, &self.key, &self.hello, is_client)?;
        let (tx, rx) = flume::bounded(LINK_QUEUE);
        let id = NEXT_LINK.fetch_add(1, Ordering::Relaxed);
        let writer = wire.writer().at("open", wire.peer)?;
        spawn("link-write", move || writer.run(&rx));
        let stream = Arc::new(wire.reader.get_ref().try_clone().at("open", wire.peer)?);
        (self.sink)(LinkEvent::Up(Link {
            id,
            peer,
            addr: wire.peer,
            tx,
            stream,
        }));
        let end = self.read_all(id, &mut wire);
        (self.sink)(LinkEvent::Down(id));
        let _ = wire.reader.get_ref().shutdown(Shutdown::Both);
        end
    }

    fn read_all(&self, id: u64, wire: &mut Wire) -> Result<(), LinkError> {
        loop {
            let msg = wire.read().at("read", wire.peer)?;
            (self.sink)(LinkEvent::Msg(id, msg));
        }
    }
}

/// Asks one question on a connection of its own.
pub fn ask(
    addr: SocketAddr,
    key: &ClusterKey,
    hello: &Hello,
    ask: Ask,
) -> Result<AskReply, LinkError> {
    let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).at("connect", addr)?;
    // A question must not pass for the asker's lasting link.
    let hello = Hello {
        role: Role::Tool,
        ..hello.clone()
    };
    let (mut wire, _) = Wire::open(stream, key, &hello, true)?;
    wire.write(&Msg::Ask(ask)).at("ask", addr)?;
    loop {
        match wire.read().at("await reply", addr)? {
            Msg::AskReply(told) => return Ok(told),
            Msg::Ping | Msg::Hello(_) => {}
            other => return Err(LinkFault::Unexpected(other.kind())).at("await reply", addr),
        }
    }
}

/// One connection's two directions.
struct Wire {
    peer: SocketAddr,
    reader: BufReader<TcpStream>,
    opener: Opener,
    sealer: Option<Sealer>,
    buf: Vec<u8>,
}

impl Wire {
    /// Exchanges nonces and greetings.
    fn open(
        stream: TcpStream,
        key: &ClusterKey,
        hello: &Hello,
        is_client: bool,
    ) -> Result<(Self, Hello), LinkError> {
        let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
        let peer = stream.peer_addr().at("accept", unknown)?;
        stream.set_nodelay(true).at("open", peer)?;
        stream
            .set_read_timeout(Some(SILENCE_LIMIT))
            .at("open", peer)?;
        stream
            .set_write_timeout(Some(SILENCE_LIMIT))
            .at("open", peer)?;
        let mine: [u8; NONCE_BYTES] = std::array::from_fn(|_| fastrand::u8(..));
        let mut theirs = [0; NONCE_BYTES];
        (&stream).write_all(&mine).at("greet", peer)?;
        (&stream).read_exact(&mut theirs).at("greet", peer)?;
        let (client, server) = if is_client {
            (&mine, &theirs)
        } else {
            (&theirs, &mine)
        };
        let (sealer, opener) = key.directions(client, server, is_client);
        let reader = BufReader::with_capacity(BATCH_BYTES, stream);
        let mut wire = Self {
            peer,
            reader,
            opener,
            sealer: Some(sealer),
            buf: Vec::new(),
        };
        wire.write(&Msg::Hello(hello.clone())).at("greet", peer)?;
        match wire.read().at("greet", peer)? {
            Msg::Hello(hello) => Ok((wire, hello)),
            other => Err(LinkFault::Unexpected(other.kind())).at("greet", peer),
        }
    }

    fn write(&mut self, msg: &Msg) -> Result<(), LinkFault> {
        let Some(sealer) = &mut self.sealer else {
            return Ok(());
        };
        let buf = sealer.seal(msg, Vec::new())?;
        metrics::sent(msg);
        self.reader.get_mut().write_all(&buf)?;
        Ok(())
    }

    fn read(&mut self) -> Result<Msg, LinkFault> {
        let mut len = [0; 4];
        self.reader.read_exact(&mut len)?;
        let len = u32::from_le_bytes(len) as usize;
        self.opener.check_len(len)?;
        self.buf.resize(len + TAG_BYTES, 0);
        self.reader.read_exact(&mut self.buf)?;
        let (payload, tag) = self.buf.split_at(len);
        Ok(self.opener.open(payload, tag)?)
    }

    /// Splits off the sending direction.
    fn writer(&mut self) -> io::Result<Writer> {
        let stream = self.reader.get_ref().try_clone()?;
        let sealer = self.sealer.take().ok_or(io::ErrorKind::Other)?;
        Ok(Writer {
            stream,
            sealer,
            buf: Vec::new(),
        })
    }
}

struct Writer {
    stream: TcpStream,
    sealer: Sealer,
    buf: Vec<u8>,
}

impl Writer {
    fn run(mut self, rx: &Receiver<Msg>) {
        let end = self.write_all(rx);
        if let Err(e) = end {
            log::debug!(error:% = e; "link write ended");
        }
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    fn write_all(&mut self, rx: &Receiver<Msg>) -> Result<(), LinkFault> {
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
            self.stream.write_all(&self.buf)?;
            self.buf.clear();
        }
    }

    fn seal(&mut self, msg: &Msg) -> Result<(), LinkFault> {
        let before = self.buf.len();
        self.buf = self.sealer.seal(msg, std::mem::take(&mut self.buf))?;
        metrics::sent(msg);
        metrics::SENT_BYTES.inc_by((self.buf.len() - before) as u64);
        Ok(())
    }
}

/// Starts a named thread for one duty.
pub fn spawn<F>(duty: &'static str, f: F)
where
    F: FnOnce() + Send + 'static,
{
    let started = thread::Builder::new()
        .name(duty.into())
        .stack_size(512 * 1024)
        .spawn(f);
    if let Err(e) = started {
        log::error!(duty = duty, error:% = e; "thread cannot be started");
    }
}
