//! A bounded buffer between the program and standard output.
//!
//! A line that does not fit is dropped and counted, so that a slow reader of the logs never holds
//! up the program.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use crate::link::spawn;

/// Bytes that may wait to be written.
const BUFFER_BYTES: usize = 256 * 1024;
/// Bytes of one write, whole lines only: the operators' platform keeps 8,192 bytes of a write and drops
/// the rest of it, as was seen in what it shows of a busy entry.
pub const WRITE_BYTES: usize = 8 * 1024;
/// Lines are written together after this time, so that the writer seldom wakes up.
const WRITE_EVERY: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
    writing: bool,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    filled: Condvar,
}

static SHARED: OnceLock<Arc<Shared>> = OnceLock::new();

/// The writing end, for the logger.
struct Sink(Arc<Shared>);

/// Starts the thread that writes.
pub(super) fn start() -> Box<dyn Write + Send> {
    let shared = SHARED.get_or_init(Arc::default).clone();
    let writer = shared.clone();
    spawn("log", move || {
        loop {
            writer.wait();
            std::thread::sleep(WRITE_EVERY);
            writer.write_out();
        }
    });
    Box::new(Sink(shared))
}

/// Writes what waits, before the program ends.
pub fn flush() {
    if let Some(shared) = SHARED.get() {
        shared.write_out();
    }
}

impl Shared {
    fn wait(&self) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        while buffer.bytes.is_empty() {
            buffer = self
                .filled
                .wait(buffer)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn write_out(&self) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let mut bytes = std::mem::take(&mut buffer.bytes);
        let dropped = std::mem::take(&mut buffer.dropped);
        buffer.writing = false;
        drop(buffer);
        if dropped > 0 {
            let _ = writeln!(
                bytes,
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":\"{dropped}\"}}"
            );
        }
        for piece in pieces(&bytes) {
            // Standard output is the only place to tell of its own failure, so the error is dropped.
            let _ = std::io::stdout().write_all(piece);
        }
    }
}

/// Cuts text at ends of lines into pieces of at most [`WRITE_BYTES`]; a longer line is one piece.
pub fn pieces(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = text;
    std::iter::from_fn(move || {
        let end = |part: &[u8]| part.iter().rposition(|b| *b == b'\n').map(|at| at + 1);
        let first = || rest.iter().position(|b| *b == b'\n').map(|at| at + 1);
        let len = match rest.len() {
            0 => return None,
            len if len <= WRITE_BYTES => len,
            len => end(&rest[..WRITE_BYTES]).or_else(first).unwrap_or(len),
        };
        let (piece, after) = rest.split_at(len);
        rest = after;
        Some(piece)
    })
}

impl Write for Sink {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let mut buffer = self.0.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + line.len() > BUFFER_BYTES {
            buffer.dropped += 1;
            return Ok(line.len());
        }
        buffer.bytes.extend_from_slice(line);
        if !buffer.writing {
            buffer.writing = true;
            self.0.filled.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
