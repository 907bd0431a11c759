//! Simulated callers, which use persistent connections and resubmit a job if its answer is lost.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use fastrand::Rng;
use rw_core::ids::JobKey;

use crate::caller::{Job, SubmissionResult, classify_answer, new_key, request_body};
use crate::cluster::{CALLER_TOKEN, TestCluster};

const CALLERS: usize = 12;
const MAX_TASKS: usize = 10;
/// Run times of tasks, in milliseconds.
const RUN_MS: std::ops::Range<u64> = 20..90;
/// Longest pause of a caller between two jobs, in milliseconds.
const MAX_PAUSE_MS: u64 = 150;
const DEADLINE: Duration = Duration::from_secs(5);
/// Read timeout of a connection, longer than the deadline of the jobs.
const READ_TIMEOUT: Duration = Duration::from_secs(7);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of submissions of one job.
const MAX_SUBMISSIONS: usize = 4;
/// Pause before a job is resubmitted.
const RESUBMIT_PAUSE: Duration = Duration::from_millis(150);
/// Maximum number of header fields in an answer.
const MAX_HEADERS: usize = 24;

/// One submission of a job, and its result.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Key of the job.
    pub key: JobKey,
    /// Index of the entry.
    pub entry: usize,
    /// Time at which the request was sent, from the start of the load; `None` if it could not be
    /// sent.
    pub sent_at: Option<Duration>,
    /// Time at which the answer arrived or the submission failed, from the start of the load.
    pub ended_at: Duration,
    /// Result of the submission.
    pub result: SubmissionResult,
}

/// Running threads of the simulated callers.
#[derive(Debug)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Submission>>>,
}

impl Callers {
    /// Starts the caller threads.
    pub fn start(cluster: &TestCluster, rng: &mut Rng) -> io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let load_start = Instant::now();
        let threads = (0..CALLERS).map(|_| {
            let caller = Caller {
                entries: cluster.entry_addrs(),
                conns: Vec::new(),
                rng: rng.fork(),
                load_start,
            };
            let stop = stop.clone();
            thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || caller.run(&stop))
        });
        Ok(Self {
            threads: threads.collect::<io::Result<_>>()?,
            stop,
        })
    }

    /// Stops the callers and waits until their last jobs have ended. Returns all submissions; those
    /// of one job are in the order in which they were sent.
    pub fn finish(self) -> Vec<Submission> {
        self.stop.store(true, Ordering::Relaxed);
        let joined = self.threads.into_iter().map(JoinHandle::join);
        joined.filter_map(Result::ok).flatten().collect()
    }
}

struct Caller {
    entries: Vec<String>,
    /// Open connections, each with the index of its entry.
    conns: Vec<(usize, TcpStream)>,
    rng: Rng,
    load_start: Instant,
}

impl Caller {
    fn run(mut self, stop: &AtomicBool) -> Vec<Submission> {
        let mut submissions = Vec::new();
        while !stop.load(Ordering::Relaxed) {
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
            for i in 0..MAX_SUBMISSIONS {
                let entry = (first + i) % self.entries.len();
                let submission = self.submit(entry, key, &job);
                let done = matches!(
                    submission.result,
                    SubmissionResult::Whole | SubmissionResult::Wrong | SubmissionResult::NotRun
                );
                submissions.push(submission);
                if done {
                    break;
                }
                thread::sleep(RESUBMIT_PAUSE);
            }
            thread::sleep(Duration::from_millis(self.rng.u64(0..MAX_PAUSE_MS)));
        }
        submissions
    }

    fn submit(&mut self, entry: usize, key: JobKey, job: &Job) -> Submission {
        let mut submission = Submission {
            key,
            entry,
            sent_at: None,
            ended_at: self.load_start.elapsed(),
            result: SubmissionResult::Lost,
        };
        let reusable = self.conns.iter().position(|(at, _)| *at == entry);
        let conn = match reusable {
            Some(i) => Ok(self.conns.swap_remove(i).1),
            None => self.connect(entry),
        };
        if let Ok(mut conn) = conn {
            let request = http_request(&self.entries[entry], key, &request_body(key, job));
            if conn.write_all(request.as_bytes()).is_ok() {
                submission.sent_at = Some(self.load_start.elapsed());
                if let Ok((status, text, closing)) = read_answer(&mut conn) {
                    submission.result = classify_answer(status, &text, key, job).0;
                    if !closing {
                        self.conns.push((entry, conn));
                    }
                }
            }
        }
        submission.ended_at = self.load_start.elapsed();
        submission
    }

    fn connect(&self, entry: usize) -> io::Result<TcpStream> {
        let addr = self.entries[entry].parse().map_err(io::Error::other)?;
        let conn = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)?;
        conn.set_nodelay(true)?;
        conn.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(conn)
    }
}

fn http_request(entry: &str, key: JobKey, body: &str) -> String {
    format!(
        "POST /v1/jobs HTTP/1.1\r\nHost: {entry}\r\nAuthorization: Bearer {CALLER_TOKEN}\r\n\
         Idempotency-Key: {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads one answer. Returns its status, its body, and whether the server closes the connection.
fn read_answer(conn: &mut TcpStream) -> io::Result<(u16, String, bool)> {
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
        let closing = header("connection").is_some_and(|text| text.eq_ignore_ascii_case("close"));
        if let Some(body) = input.get(start..start + len) {
            let text = String::from_utf8_lossy(body).into_owned();
            return Ok((head.code.unwrap_or_default(), text, closing));
        }
    }
}
