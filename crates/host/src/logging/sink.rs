//! A bounded buffer between the logger and standard output.
//!
//! A line that does not fit is dropped and counted, so that a slow reader of the logs never blocks
//! the program.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use crate::link::spawn;

/// Capacity of the buffer, in bytes.
const BUFFER_BYTES: usize = 256 * 1024;
/// Maximum size of one write in bytes, unless a single line is longer. The operators' platform
/// keeps 8,192 bytes of a write and drops the rest, as the logs of a busy entry showed.
pub const MAX_WRITE_BYTES: usize = 8 * 1024;
/// Time for which lines are collected before they are written together, so that the writer thread
/// seldom wakes up.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
    writer_notified: bool,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    filled: Condvar,
}

static SHARED: OnceLock<Arc<Shared>> = OnceLock::new();

/// The writer that the logger uses; it appends to the buffer.
struct Sink(Arc<Shared>);

/// Starts the thread that writes the buffer to standard output. Returns the writer that fills it.
pub(super) fn start() -> Box<dyn Write + Send> {
    let shared = SHARED.get_or_init(Arc::default).clone();
    let writer = shared.clone();
    spawn("log", move || {
        loop {
            writer.wait_for_lines();
            std::thread::sleep(WRITE_INTERVAL);
            writer.write_out();
        }
    });
    Box::new(Sink(shared))
}

/// Writes the buffered lines to standard output; called before the program exits.
pub fn flush() {
    if let Some(shared) = SHARED.get() {
        shared.write_out();
    }
}

impl Shared {
    fn wait_for_lines(&self) {
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
        buffer.writer_notified = false;
        drop(buffer);
        if dropped > 0 {
            let _ = writeln!(
                bytes,
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":\"{dropped}\"}}"
            );
        }
        for chunk in line_chunks(&bytes) {
            // A failure of standard output could only be logged to standard output: it is ignored.
            let _ = std::io::stdout().write_all(chunk);
        }
    }
}

/// Splits text at line ends into chunks of at most [`MAX_WRITE_BYTES`]; a longer line is one chunk.
pub fn line_chunks(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = text;
    std::iter::from_fn(move || {
        let last_line_end = |part: &[u8]| part.iter().rposition(|b| *b == b'\n').map(|at| at + 1);
        let first_line_end = || rest.iter().position(|b| *b == b'\n').map(|at| at + 1);
        let len = match rest.len() {
            0 => return None,
            len if len <= MAX_WRITE_BYTES => len,
            len => last_line_end(&rest[..MAX_WRITE_BYTES])
                .or_else(first_line_end)
                .unwrap_or(len),
        };
        let (chunk, after) = rest.split_at(len);
        rest = after;
        Some(chunk)
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
        if !buffer.writer_notified {
            buffer.writer_notified = true;
            self.0.filled.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
