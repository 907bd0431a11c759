//! Simulated callers, which use persistent connections and resubmit a job if its answer is lost.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use fastrand::Rng;
use rw_core::ids::JobKey;

use crate::caller::{End, Job, body_of, end_of, new_key};
use crate::cluster::{CALLER_TOKEN, TestCluster};

const CALLERS: usize = 12;
const MAX_TASKS: usize = 10;
/// Run times of tasks, in milliseconds.
const RUN_MS: std::ops::Range<u64> = 20..90;
/// Longest pause of a caller between two jobs, in milliseconds.
const MAX_PAUSE_MS: u64 = 150;
const DEADLINE: Duration = Duration::from_secs(5);
/// Read timeout of a connection, longer than the deadline of the jobs.
const ANSWER_TIME: Duration = Duration::from_secs(7);
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Maximum number of submissions of one job.
const TRIES: usize = 4;
/// Pause before a job is resubmitted.
const TRY_PAUSE: Duration = Duration::from_millis(150);
/// Maximum number of header fields in an answer.
const MAX_HEADERS: usize = 24;

/// One submission of a job, and its result.
#[derive(Clone, Debug)]
pub struct Try {
    /// Key of the job.
    pub key: JobKey,
    /// Index of the entry.
    pub entry: usize,
    /// Time at which the request was sent, from the start of the load; `None` if it could not be
    /// sent.
    pub sent: Option<Duration>,
    /// Time at which the answer arrived or the submission failed, from the start of the load.
    pub ended: Duration,
    /// Result of the submission.
    pub end: End,
}

/// Running threads of the simulated callers.
#[derive(Debug)]
pub struct Callers {
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Try>>>,
}

impl Callers {
    /// Starts the caller threads.
    pub fn start(cluster: &TestCluster, rng: &mut Rng) -> io::Result<Self> {
        let over = Arc::new(AtomicBool::new(false));
        let begun = Instant::now();
        let threads = (0..CALLERS).map(|_| {
            let caller = Caller {
                entries: cluster.entries(),
                conns: Vec::new(),
                rng: rng.fork(),
                begun,
            };
            let over = over.clone();
            thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || caller.run(&over))
        });
        Ok(Self {
            threads: threads.collect::<io::Result<_>>()?,
            over,
        })
    }

    /// Stops the callers and waits until their last jobs have ended. Returns all submissions; those
    /// of one job are in the order in which they were sent.
    pub fn end(self) -> Vec<Try> {
        self.over.store(true, Ordering::Relaxed);
        let ended = self.threads.into_iter().map(JoinHandle::join);
        ended.filter_map(Result::ok).flatten().collect()
    }
}

struct Caller {
    entries: Vec<String>,
    /// Open connections, each with the index of its entry.
    conns: Vec<(usize, TcpStream)>,
    rng: Rng,
    begun: Instant,
}

impl Caller {
    fn run(mut self, over: &AtomicBool) -> Vec<Try> {
        let mut tries = Vec::new();
        while !over.load(Ordering::Relaxed) {
            let key = new_key();
            let tasks = self.rng.usize(1..=MAX_TASKS);
            let runs = (0..tasks).map(|_| Duration::from_millis(self.rng.u64(RUN_MS)));
            let job = Job {
                at: Duration::ZERO,
                tenant: "t1".into(),
                long: false,
                deadline: DEADLINE,
                runs: runs.collect(),
                declared_factor: None,
            };
            let first = self.rng.usize(0..self.entries.len());
            for i in 0..TRIES {
                let entry = (first + i) % self.entries.len();
                let tried = self.submit(entry, key, &job);
                let done = matches!(tried.end, End::Whole | End::Wrong | End::NotRun);
                tries.push(tried);
                if done {
                    break;
                }
                thread::sleep(TRY_PAUSE);
            }
            thread::sleep(Duration::from_millis(self.rng.u64(0..MAX_PAUSE_MS)));
        }
        tries
    }

    fn submit(&mut self, entry: usize, key: JobKey, job: &Job) -> Try {
        let mut tried = Try {
            key,
            entry,
            sent: None,
            ended: self.begun.elapsed(),
            end: End::Lost,
        };
        let kept = self.conns.iter().position(|(at, _)| *at == entry);
        let conn = match kept {
            Some(i) => Ok(self.conns.swap_remove(i).1),
            None => self.connect(entry),
        };
        if let Ok(mut conn) = conn {
            let request = request(&self.entries[entry], key, &body_of(key, job));
            if conn.write_all(request.as_bytes()).is_ok() {
                tried.sent = Some(self.begun.elapsed());
                if let Ok((status, text, closes)) = answer(&mut conn) {
                    tried.end = end_of(status, &text, key, job).0;
                    if !closes {
                        self.conns.push((entry, conn));
                    }
                }
            }
        }
        tried.ended = self.begun.elapsed();
        tried
    }

    fn connect(&self, entry: usize) -> io::Result<TcpStream> {
        let addr = self.entries[entry].parse().map_err(io::Error::other)?;
        let conn = TcpStream::connect_timeout(&addr, CONNECT_TIME)?;
        conn.set_nodelay(true)?;
        conn.set_read_timeout(Some(ANSWER_TIME))?;
        Ok(conn)
    }
}

fn request(entry: &str, key: JobKey, body: &str) -> String {
    format!(
        "POST /v1/jobs HTTP/1.1\r\nHost: {entry}\r\nAuthorization: Bearer {CALLER_TOKEN}\r\n\
         Idempotency-Key: {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads one answer. Returns its status, its body, and whether the server closes the connection.
fn answer(conn: &mut TcpStream) -> io::Result<(u16, String, bool)> {
    let mut input = Vec::new();
    let mut buf = [0; 4096];
    loop {
        let len = conn.read(&mut buf)?;
        if len == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        input.extend_from_slice(&buf[..len]);
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let parsed = head.parse(&input).map_err(io::Error::other)?;
        let httparse::Status::Complete(start) = parsed else {
            continue;
        };
        let header = |name: &str| {
            let found = head
                .headers
                .iter()
                .find(|h| h.name.eq_ignore_ascii_case(name));
            found.and_then(|header| std::str::from_utf8(header.value).ok())
        };
        let len = header("content-length").and_then(|text| text.parse().ok());
        let len: usize =
            len.ok_or_else(|| io::Error::other("HTTP answer has no valid Content-Length header"))?;
        let closes = header("connection").is_some_and(|text| text.eq_ignore_ascii_case("close"));
        if let Some(body) = input.get(start..start + len) {
            let text = String::from_utf8_lossy(body).into_owned();
            return Ok((head.code.unwrap_or_default(), text, closes));
        }
    }
}
