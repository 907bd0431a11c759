//! A client: submits a job and waits for its answer.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::record::Record;

/// What a client saw of one request.
#[derive(Clone, Debug)]
pub enum Seen {
    Answer(u16, String),
    /// The connection ended without a complete answer.
    Cut,
    /// Nothing came until the client stopped waiting.
    Silence,
    NoConnection,
}

pub struct Job<'a> {
    pub id: &'a str,
    pub tasks: u32,
    pub cpu: u32,
    pub run_ms: u64,
    pub estimate_ms: u64,
    pub deadline_ms: u64,
    /// Further fields of the step, each with a comma before it.
    pub step: &'a str,
}

impl Job<'_> {
    pub fn request(&self) -> String {
        let body = format!(
            r#"{{"spec":"t={} cpu={}","bestEffort":true,"phases":[{{"count":{},"cpu":{},"memMb":64,"estRuntimeMs":{}{}}}]}}"#,
            self.run_ms, self.cpu, self.tasks, self.cpu, self.estimate_ms, self.step
        );
        let headers = format!("Host: h\r\nX-Deadline-Ms: {}\r\n", self.deadline_ms);
        http::request_text("POST", &format!("/q/{}", self.id), &headers, &body)
    }
}

pub fn connect(entry: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Sends a job on a connection and waits for its answer until its deadline.
pub fn submit_on(stream: &mut TcpStream, job: &Job<'_>, record: &Record) -> Seen {
    let begin = Instant::now();
    record.note(format!(
        "client: POST /q/{} ({} tasks of {} ms)",
        job.id, job.tasks, job.run_ms
    ));
    if stream.write_all(job.request().as_bytes()).is_err() {
        return Seen::Cut;
    }
    let wait = Duration::from_millis(job.deadline_ms);
    let _ = stream.set_read_timeout(Some(wait));
    let answer: Option<Message> = http::read_message(stream, &mut Vec::new());
    let seen = match answer {
        Some(answer) => Seen::Answer(answer.status(), answer.body),
        None if begin.elapsed() >= wait => Seen::Silence,
        None => Seen::Cut,
    };
    record.note(format!(
        "client: job {} after {} ms: {seen:?}",
        job.id,
        begin.elapsed().as_millis()
    ));
    seen
}

pub fn submit(entry: SocketAddr, job: &Job<'_>, record: &Record) -> Seen {
    match connect(entry) {
        Some(mut stream) => submit_on(&mut stream, job, record),
        None => Seen::NoConnection,
    }
}
