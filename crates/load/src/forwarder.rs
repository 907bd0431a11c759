//! TCP forwarder on loopback in front of the link port of a process. It injects network faults.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::thread;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;

/// Interval at which a thread checks whether a fault has ended or a new connection has arrived.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Read timeout, so that a reset is noticed on an idle connection.
const READ_TIMEOUT: Duration = Duration::from_millis(50);
/// Buffer size of each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;
/// Stack size of a thread.
const STACK_BYTES: usize = 128 * 1024;

/// A network fault, which applies to all connections through a forwarder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFault {
    /// Data is delayed by this time in each direction.
    Delay(Duration),
    /// Data to the process is held back; connections stay open, so that neither side is notified.
    BlockInbound,
    /// Data from the process is held back; connections stay open.
    BlockOutbound,
    /// Data in both directions is held back, and new connections are not accepted.
    BlockAll,
}

/// The two connections between which data is forwarded.
#[derive(Debug)]
struct ConnectionPair {
    client: TcpStream,
    server: TcpStream,
    ended: AtomicBool,
}

#[derive(Debug, Default)]
struct Shared {
    fault: Mutex<Option<LinkFault>>,
    pairs: Mutex<Vec<Weak<ConnectionPair>>>,
    stopped: AtomicBool,
}

/// A running forwarder. Stops and resets its connections when dropped.
#[derive(Debug)]
pub struct Forwarder(Arc<Shared>);

impl Forwarder {
    /// Starts to forward connections from `listen` to `target`. Fails if the port is in use or no
    /// thread can be started.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let shared = Arc::<Shared>::default();
        let accepting = shared.clone();
        spawn(move || accepting.accept(&listener, target))?;
        Ok(Self(shared))
    }

    /// Sets the fault for present and new connections; `None` ends it.
    pub fn set_fault(&self, fault: Option<LinkFault>) {
        *self.0.fault() = fault;
    }

    /// Resets all present connections.
    pub fn reset_connections(&self) {
        let pairs = std::mem::take(&mut *self.0.pairs());
        for pair in pairs.iter().filter_map(Weak::upgrade) {
            for stream in [&pair.client, &pair.server] {
                if let Err(e) = set_socket_linger(stream, Some(Duration::ZERO)) {
                    eprintln!("soak: cannot reset a connection, closing it normally: {e}");
                }
            }
            pair.ended.store(true, Ordering::Relaxed);
        }
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.0.stopped.store(true, Ordering::Relaxed);
        self.reset_connections();
    }
}

impl Shared {
    fn fault(&self) -> std::sync::MutexGuard<'_, Option<LinkFault>> {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pairs(&self) -> std::sync::MutexGuard<'_, Vec<Weak<ConnectionPair>>> {
        self.pairs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts connections until the forwarder is dropped.
    fn accept(self: &Arc<Self>, listener: &TcpListener, target: SocketAddr) {
        while !self.stopped.load(Ordering::Relaxed) {
            if *self.fault() == Some(LinkFault::BlockAll) {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            match listener.accept() {
                Ok((client, _)) => {
                    // If the process is down, dropping `client` closes its connection.
                    if let Ok(server) = TcpStream::connect(target) {
                        self.connect(client, server);
                    }
                }
                Err(_) => thread::sleep(POLL_INTERVAL),
            }
        }
    }

    /// Starts to forward data between two connections.
    fn connect(self: &Arc<Self>, client: TcpStream, server: TcpStream) {
        for stream in [&client, &server] {
            let ready = stream
                .set_nonblocking(false)
                .and_then(|()| stream.set_nodelay(true))
                .and_then(|()| stream.set_read_timeout(Some(READ_TIMEOUT)));
            if ready.is_err() {
                return;
            }
        }
        let pair = Arc::new(ConnectionPair {
            client,
            server,
            ended: AtomicBool::new(false),
        });
        let mut pairs = self.pairs();
        pairs.retain(|pair| pair.strong_count() > 0);
        pairs.push(Arc::downgrade(&pair));
        drop(pairs);
        for inbound in [true, false] {
            let (shared, pair) = (self.clone(), pair.clone());
            if spawn(move || shared.forward(&pair, inbound)).is_err() {
                close_last_pair(&self.pairs());
            }
        }
    }

    /// Forwards one direction until either side closes its connection.
    fn forward(&self, pair: &ConnectionPair, inbound: bool) {
        let (mut from, mut to) = if inbound {
            (&pair.client, &pair.server)
        } else {
            (&pair.server, &pair.client)
        };
        let mut buf = [0; BUFFER_BYTES];
        while !pair.ended.load(Ordering::Relaxed) {
            match from.read(&mut buf) {
                Ok(0) => break,
                Ok(len) => {
                    self.wait_while_blocked(pair, inbound);
                    if pair.ended.load(Ordering::Relaxed) || to.write_all(&buf[..len]).is_err() {
                        break;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) if e.kind() == io::ErrorKind::TimedOut => {}
                Err(_) => break,
            }
        }
        if !pair.ended.swap(true, Ordering::Relaxed) {
            let _ = pair.client.shutdown(std::net::Shutdown::Both);
            let _ = pair.server.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Waits until the present fault lets data pass in this direction.
    fn wait_while_blocked(&self, pair: &ConnectionPair, inbound: bool) {
        while !pair.ended.load(Ordering::Relaxed) {
            let fault = *self.fault();
            match fault {
                Some(LinkFault::Delay(time)) => {
                    thread::sleep(time);
                    return;
                }
                Some(LinkFault::BlockAll) => thread::sleep(POLL_INTERVAL),
                Some(LinkFault::BlockInbound) if inbound => thread::sleep(POLL_INTERVAL),
                Some(LinkFault::BlockOutbound) if !inbound => thread::sleep(POLL_INTERVAL),
                _ => return,
            }
        }
    }
}

/// Closes the newest pair of connections, because a thread could not be started for it.
fn close_last_pair(pairs: &[Weak<ConnectionPair>]) {
    if let Some(pair) = pairs.last().and_then(Weak::upgrade) {
        pair.ended.store(true, Ordering::Relaxed);
    }
}

fn spawn<F>(work: F) -> io::Result<()>
where
    F: FnOnce() + Send + 'static,
{
    thread::Builder::new().stack_size(STACK_BYTES).spawn(work)?;
    Ok(())
}
