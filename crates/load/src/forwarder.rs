//! TCP forwarder on loopback in front of the link port of a process. It injects network faults.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::thread;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;

/// Interval at which a thread checks whether a fault has ended or a new connection has arrived.
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// Read timeout, so that a reset is noticed on an idle connection.
const READ_TIME: Duration = Duration::from_millis(50);
/// Buffer size of each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;
/// Stack size of a thread.
const STACK_BYTES: usize = 128 * 1024;

/// A network fault, which applies to all connections through a forwarder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// Data is delayed by this time in each direction.
    Delay(Duration),
    /// Data to the process is held back; connections stay open, so that neither side is notified.
    HoldIn,
    /// Data from the process is held back; connections stay open.
    HoldOut,
    /// Data in both directions is held back, and new connections are not accepted.
    Silence,
}

/// The two connections between which data is forwarded.
#[derive(Debug)]
struct Pair {
    dialler: TcpStream,
    process: TcpStream,
    ended: AtomicBool,
}

#[derive(Debug, Default)]
struct Shared {
    trouble: Mutex<Option<Trouble>>,
    pairs: Mutex<Vec<Weak<Pair>>>,
    over: AtomicBool,
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
    pub fn set(&self, trouble: Option<Trouble>) {
        *self.0.trouble() = trouble;
    }

    /// Resets all present connections.
    pub fn reset(&self) {
        let pairs = std::mem::take(&mut *self.0.pairs());
        for pair in pairs.iter().filter_map(Weak::upgrade) {
            for stream in [&pair.dialler, &pair.process] {
                if let Err(e) = set_socket_linger(stream, Some(Duration::ZERO)) {
                    eprintln!("soak: cannot reset a connection, closing it in order: {e}");
                }
            }
            pair.ended.store(true, Ordering::Relaxed);
        }
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.0.over.store(true, Ordering::Relaxed);
        self.reset();
    }
}

impl Shared {
    fn trouble(&self) -> std::sync::MutexGuard<'_, Option<Trouble>> {
        self.trouble.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pairs(&self) -> std::sync::MutexGuard<'_, Vec<Weak<Pair>>> {
        self.pairs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts connections until the forwarder is dropped.
    fn accept(self: &Arc<Self>, listener: &TcpListener, target: SocketAddr) {
        while !self.over.load(Ordering::Relaxed) {
            if *self.trouble() == Some(Trouble::Silence) {
                thread::sleep(LOOK_EVERY);
                continue;
            }
            match listener.accept() {
                Ok((dialler, _)) => {
                    // If the process is down, dropping `dialler` closes the peer's connection.
                    if let Ok(process) = TcpStream::connect(target) {
                        self.join(dialler, process);
                    }
                }
                Err(_) => thread::sleep(LOOK_EVERY),
            }
        }
    }

    /// Starts to forward data between two connections.
    fn join(self: &Arc<Self>, dialler: TcpStream, process: TcpStream) {
        for stream in [&dialler, &process] {
            let ready = stream
                .set_nonblocking(false)
                .and_then(|()| stream.set_nodelay(true))
                .and_then(|()| stream.set_read_timeout(Some(READ_TIME)));
            if ready.is_err() {
                return;
            }
        }
        let pair = Arc::new(Pair {
            dialler,
            process,
            ended: AtomicBool::new(false),
        });
        let mut pairs = self.pairs();
        pairs.retain(|pair| pair.strong_count() > 0);
        pairs.push(Arc::downgrade(&pair));
        drop(pairs);
        for inward in [true, false] {
            let (shared, pair) = (self.clone(), pair.clone());
            if spawn(move || shared.pump(&pair, inward)).is_err() {
                pair_over(&self.pairs());
            }
        }
    }

    /// Forwards one direction until either side closes its connection.
    fn pump(&self, pair: &Pair, inward: bool) {
        let (mut from, mut to) = if inward {
            (&pair.dialler, &pair.process)
        } else {
            (&pair.process, &pair.dialler)
        };
        let mut buf = [0; BUFFER_BYTES];
        while !pair.ended.load(Ordering::Relaxed) {
            match from.read(&mut buf) {
                Ok(0) => break,
                Ok(len) => {
                    self.hold(pair, inward);
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
            let _ = pair.dialler.shutdown(std::net::Shutdown::Both);
            let _ = pair.process.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Waits until the present fault lets data pass in this direction.
    fn hold(&self, pair: &Pair, inward: bool) {
        while !pair.ended.load(Ordering::Relaxed) {
            let trouble = *self.trouble();
            match trouble {
                Some(Trouble::Delay(time)) => {
                    thread::sleep(time);
                    return;
                }
                Some(Trouble::Silence) => thread::sleep(LOOK_EVERY),
                Some(Trouble::HoldIn) if inward => thread::sleep(LOOK_EVERY),
                Some(Trouble::HoldOut) if !inward => thread::sleep(LOOK_EVERY),
                _ => return,
            }
        }
    }
}

/// Closes the newest pair of connections, because a thread could not be started for it.
fn pair_over(pairs: &[Weak<Pair>]) {
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
