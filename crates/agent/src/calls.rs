//! Calls to backend servers, each on a thread of a pool that grows with the number of concurrent
//! calls.

use std::io::{self, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use attohttpc::{ErrorKind, ProxySettings, header};
use flume::{Receiver, Sender};
use rw_core::agent::{Run, RunEnd};
use rw_core::msg::{MAX_RESULT_BYTES, TaskResult};
use rw_host::link::spawn;

/// Maximum number of concurrent calls, and of runs that wait for a thread.
pub const MAX_CALLS: usize = 256;
/// Time-out of connecting to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of bytes to which the body of an error response is truncated in the failure text.
const MAX_ERROR_BYTES: usize = 200;

/// Callback for the end of a call, with the time that the call took.
pub type EndSink = Arc<dyn Fn(Run, RunEnd, Duration) + Send + Sync>;

/// A pool of threads that call backend servers.
pub struct CallPool {
    tx: Sender<Run>,
    rx: Receiver<Run>,
    idle: Arc<AtomicUsize>,
    threads: usize,
    sink: EndSink,
}

impl CallPool {
    /// Creates a pool without threads. `sink` receives the end of every call.
    pub fn new(sink: EndSink) -> Self {
        let (tx, rx) = flume::bounded(MAX_CALLS);
        Self {
            tx,
            rx,
            idle: Arc::default(),
            threads: 0,
            sink,
        }
    }

    /// Starts a call on an idle or new thread. If the queue is full, the run ends as not started.
    pub fn start(&mut self, run: Run) {
        if self.idle.load(Ordering::Acquire) <= self.tx.len() && self.threads < MAX_CALLS {
            self.threads += 1;
            self.spawn_thread();
        }
        if let Err(flume::TrySendError::Full(run) | flume::TrySendError::Disconnected(run)) =
            self.tx.try_send(run)
        {
            (self.sink)(run, RunEnd::NotStarted, Duration::ZERO);
        }
    }

    fn spawn_thread(&self) {
        let (rx, idle, sink) = (self.rx.clone(), self.idle.clone(), self.sink.clone());
        spawn("call", move || {
            loop {
                idle.fetch_add(1, Ordering::AcqRel);
                let Ok(run) = rx.recv() else { return };
                idle.fetch_sub(1, Ordering::AcqRel);
                let started_at = Instant::now();
                let end = call(&run);
                sink(run, end, started_at.elapsed());
            }
        });
    }
}

/// Calls the backend server and waits for its response. Only a refused connection proves that the
/// task did not start; any other error counts as a failure of the task.
fn call(run: &Run) -> RunEnd {
    let sent = attohttpc::post(format!("{}/run", run.url))
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(run.timeout)
        .timeout(run.timeout)
        .follow_redirects(false)
        .proxy_settings(ProxySettings::builder().build())
        .header(header::CONTENT_TYPE, "application/octet-stream")
        .header("Redwingwick-Job", run.task.key.to_string())
        .header("Redwingwick-Task", run.task.index.to_string())
        .header("Redwingwick-Attempt", run.task.attempt.to_string())
        .header("Redwingwick-Service", &*run.service)
        .bytes(&*run.payload)
        .send();
    let response = match sent {
        Ok(response) => response,
        Err(e) if is_refused(e.kind()) => return RunEnd::NotStarted,
        Err(e) => return failed(run, &e),
    };
    let (status, _, reader) = response.split();
    let mut body = Vec::new();
    if let Err(e) = reader
        .take(MAX_RESULT_BYTES as u64 + 1)
        .read_to_end(&mut body)
    {
        return failed(run, &e);
    }
    if body.len() > MAX_RESULT_BYTES {
        return failed(run, &"the result is larger than 65536 bytes");
    }
    if status.is_success() {
        return RunEnd::Ended(TaskResult::Done(body.into()));
    }
    body.truncate(MAX_ERROR_BYTES);
    let text = String::from_utf8_lossy(&body);
    failed(run, &format!("status {}: {}", status.as_u16(), text.trim()))
}

fn is_refused(kind: &ErrorKind) -> bool {
    matches!(kind, ErrorKind::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused)
}

fn failed(run: &Run, reason: &dyn std::fmt::Display) -> RunEnd {
    RunEnd::Ended(TaskResult::Failed(format!(
        "call to backend server {}: {reason}",
        run.backend
    )))
}
