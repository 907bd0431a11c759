//! A worker as PROTOCOL.md describes it: it runs tasks under a lease and reports what runs.

use std::collections::HashMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::json::Json;
use crate::record::Record;

/// Longest lease that the worker grants, as `maxHoldMs` says.
const MAX_HOLD_MS: u64 = 1000;
/// Interval of heartbeats, as `heartbeatMs` says.
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Longest wait of a list, in milliseconds.
const MAX_WAIT_MS: u64 = 2000;
/// Number of tasks that fit beside one another.
const ROOM: usize = 10;
/// Number of ends in one answer.
const MAX_ENDS: usize = 500;

#[derive(Debug)]
struct Run {
    task: String,
    attempt: u64,
    record: usize,
    began: Instant,
    length: Duration,
}

#[derive(Debug)]
struct End {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
}

/// One incarnation of the worker.
#[derive(Debug)]
struct Life {
    up: bool,
    /// Number of the incarnation, from 1.
    number: u64,
    born: u64,
    began: Instant,
    /// Speed of its steady clock; 0.98 is 2% slow.
    clock_rate: f64,
    running: Vec<Run>,
    ended: Vec<End>,
    last_end: u64,
    /// Highest attempt of each task that was stopped or ended here.
    bars: HashMap<String, u64>,
    fence: u64,
    /// End of the lease on the worker's clock.
    lease_ms: u64,
    conns: Vec<TcpStream>,
    lists: u64,
}

impl Life {
    fn new(number: u64, clock_rate: f64) -> Self {
        Self {
            up: true,
            number,
            born: unix_ms(),
            began: Instant::now(),
            clock_rate,
            running: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            bars: HashMap::new(),
            fence: 0,
            lease_ms: 0,
            conns: Vec::new(),
            lists: 0,
        }
    }

    /// Returns the steady clock of this incarnation in milliseconds.
    fn clock(&self) -> u64 {
        (self.began.elapsed().as_secs_f64() * 1000.0 * self.clock_rate) as u64
    }

    fn extend_lease(&mut self, deadline_ms: u64) {
        let clock = self.clock();
        self.lease_ms = self.lease_ms.max(deadline_ms.min(clock + MAX_HOLD_MS));
    }
}

/// An order that is left unanswered and carried out late.
#[derive(Clone, Debug)]
pub struct LateOrder {
    /// The job whose first start is held.
    pub job: String,
    pub delay: Duration,
}

/// A worker on one machine. Clones share it.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub app: SocketAddr,
    /// Address of its machine's agent for heartbeats.
    pub agent: SocketAddr,
    life: Arc<(Mutex<Life>, Condvar)>,
    late: Arc<Mutex<Option<LateOrder>>>,
    /// Whether the worker is cut off: what is sent to it or by it is lost.
    cut: Arc<AtomicBool>,
    /// A job whose first start cuts the worker off once it has been carried out.
    cut_at: Arc<Mutex<Option<String>>>,
    /// Number of calls received in all lives.
    orders: Arc<AtomicU64>,
    /// When the held order arrived, if one did.
    held: Arc<Mutex<Option<Instant>>>,
    record: Record,
    service: String,
    rack: String,
    clock_rate: f64,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}

impl Worker {
    pub fn start(
        id: &str,
        app: SocketAddr,
        agent: SocketAddr,
        service: &str,
        rack: &str,
        clock_rate: f64,
        record: &Record,
    ) -> Self {
        let worker = Self {
            id: id.into(),
            app,
            agent,
            life: Arc::new((Mutex::new(Life::new(1, clock_rate)), Condvar::new())),
            late: Arc::default(),
            cut: Arc::default(),
            cut_at: Arc::default(),
            orders: Arc::default(),
            held: Arc::default(),
            record: record.clone(),
            service: service.into(),
            rack: rack.into(),
            clock_rate,
        };
        worker.begin_life(1);
        worker
    }

    fn begin_life(&self, number: u64) {
        let listener = TcpListener::bind(self.app).expect("the worker's address is free");
        listener
            .set_nonblocking(true)
            .expect("the listener is set up");
        let this = self.clone();
        thread::spawn(move || this.accept(&listener, number));
        let this = self.clone();
        thread::spawn(move || this.expire(number));
        let this = self.clone();
        thread::spawn(move || this.beat(number));
    }

    fn is_up(&self, number: u64) -> bool {
        let life = self.life.0.lock().unwrap();
        life.up && life.number == number
    }

    /// Ends the process of the worker: its connections are reset and all that ran is gone.
    pub fn crash(&self) {
        self.record.line(format!("{} crashes", self.id));
        let mut life = self.life.0.lock().unwrap();
        life.up = false;
        for run in life.running.drain(..) {
            self.record.run_ended(run.record, "lost with its worker");
        }
        for conn in life.conns.drain(..) {
            let _ = conn.shutdown(Shutdown::Both);
        }
        self.life.1.notify_all();
    }

    /// Starts the worker again under its id and address. It knows nothing of before.
    pub fn restart(&self) {
        let number = {
            let mut life = self.life.0.lock().unwrap();
            let number = life.number + 1;
            *life = Life::new(number, self.clock_rate);
            self.record.line(format!(
                "{} is up again under its id, born {}",
                self.id, life.born
            ));
            number
        };
        self.begin_life(number);
    }

    /// Leaves the first start of the job without an answer and carries it out late.
    pub fn hold_start_of(&self, order: LateOrder) {
        *self.late.lock().unwrap() = Some(order);
    }

    /// Cuts the worker off as soon as it has carried out a start of the job.
    pub fn cut_at_start_of(&self, job: &str) {
        *self.cut_at.lock().unwrap() = Some(job.into());
    }

    /// Returns whether the worker is cut off.
    pub fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    /// Ends the cut, or the intent of one.
    pub fn heal(&self) {
        *self.cut_at.lock().unwrap() = None;
        if self.cut.swap(false, Ordering::SeqCst) {
            self.record
                .line(format!("{} is no longer cut off", self.id));
        }
    }

    /// Holds no further order back.
    pub fn release_orders(&self) {
        *self.late.lock().unwrap() = None;
    }

    /// Returns whether this worker holds the order back, and since when.
    pub fn held_since(&self) -> Option<Instant> {
        *self.held.lock().unwrap()
    }

    /// Returns the number of calls received so far.
    pub fn orders(&self) -> u64 {
        self.orders.load(Ordering::Relaxed)
    }

    /// Returns how often this incarnation was asked for its lists.
    pub fn lists(&self) -> u64 {
        self.life.0.lock().unwrap().lists
    }

    /// Returns whether a task of the job runs here.
    pub fn runs(&self, job: &str) -> bool {
        let life = self.life.0.lock().unwrap();
        life.running.iter().any(|run| run.task.starts_with(job))
    }

    fn accept(&self, listener: &TcpListener, number: u64) {
        while self.is_up(number) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(copy) = stream.try_clone() {
                        self.life.0.lock().unwrap().conns.push(copy);
                    }
                    let this = self.clone();
                    thread::spawn(move || this.serve(stream, number));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, stream: TcpStream, number: u64) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let mut stream = stream;
        while let Ok(Some(request)) = http::read(&mut reader) {
            if !self.is_up(number) {
                return;
            }
            if self.is_cut() {
                continue;
            }
            let Some((status, body)) = self.handle(&request) else {
                continue;
            };
            if self.is_cut() {
                continue;
            }
            if !self.is_up(number) || http::respond(&mut stream, status, &body).is_err() {
                return;
            }
        }
    }

    /// Carries out a call and returns its response; `None` if it is left unanswered.
    fn handle(&self, request: &Message) -> Option<(u16, String)> {
        let (_, path) = request.request();
        self.orders.fetch_add(1, Ordering::Relaxed);
        if request
            .header("x-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return Some((421, "{}".into()));
        }
        let Some(body) = Json::parse(&request.body) else {
            return Some((400, "{}".into()));
        };
        match path {
            "/-/run-start" => {
                if self.holds_back(&body) {
                    return None;
                }
                let answer = self.start_run(&body);
                self.cut_after(&body);
                Some(answer)
            }
            "/-/run-stop" => Some(self.stop_run(&body)),
            "/-/hold" => Some(self.list(&body)),
            _ => Some((404, "{}".into())),
        }
    }

    fn holds_back(&self, body: &Json) -> bool {
        let mut late = self.late.lock().unwrap();
        let task = body.text("task").unwrap_or_default();
        let Some(order) = late.take_if(|order| task.starts_with(&order.job)) else {
            return false;
        };
        *self.held.lock().unwrap() = Some(Instant::now());
        self.record.line(format!(
            "{} gets no answer out: start of {task} attempt {} with deadlineMs {} at clock {}, carried out {} ms later",
            self.id,
            body.number("attempt").unwrap_or(0),
            body.number("deadlineMs").unwrap_or(0),
            self.life.0.lock().unwrap().clock(),
            order.delay.as_millis()
        ));
        let (this, body) = (self.clone(), body.clone());
        thread::spawn(move || {
            thread::sleep(order.delay);
            let (status, answer) = this.start_run(&body);
            this.record.line(format!(
                "{} carries the late order out: {status} {answer}",
                this.id
            ));
        });
        true
    }

    /// Cuts the worker off if this start is the one that it waits for.
    fn cut_after(&self, body: &Json) {
        let task = body.text("task").unwrap_or_default();
        let mut cut_at = self.cut_at.lock().unwrap();
        if cut_at
            .take_if(|job| task.starts_with(job.as_str()))
            .is_some()
        {
            let clock = self.life.0.lock().unwrap().clock();
            self.record.line(format!(
                "{} is cut off and runs on, at its clock {clock}; the start had deadlineMs {}",
                self.id,
                body.number("deadlineMs").unwrap_or(0)
            ));
            self.cut.store(true, Ordering::SeqCst);
        }
    }

    fn refused(clock: u64, reason: &str) -> (u16, String) {
        (
            409,
            format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}"),
        )
    }

    fn start_run(&self, body: &Json) -> (u16, String) {
        let mut life = self.life.0.lock().unwrap();
        let clock = life.clock();
        let (Some(task), Some(attempt), Some(deadline)) = (
            body.text("task"),
            body.number("attempt"),
            body.number("deadlineMs"),
        ) else {
            return (400, format!("{{\"clockMs\":{clock}}}"));
        };
        let fence = body.number("fencingToken").unwrap_or(0);
        if !life.up || fence < life.fence {
            return Self::refused(clock, "fence");
        }
        life.fence = fence;
        if clock > deadline {
            return Self::refused(clock, "late");
        }
        life.extend_lease(deadline);
        if life
            .running
            .iter()
            .any(|run| run.task == task && run.attempt == attempt)
        {
            return (200, format!("{{\"clockMs\":{clock}}}"));
        }
        if life.bars.get(task).is_some_and(|bar| attempt <= *bar) {
            return Self::refused(clock, "old");
        }
        if life.running.len() >= ROOM {
            return Self::refused(clock, "room");
        }
        let spec = body.text("spec").unwrap_or_default();
        let length = spec
            .strip_prefix("ms=")
            .and_then(|ms| ms.parse().ok())
            .unwrap_or(100);
        let record = self.record.run_started(task, attempt, &self.id);
        life.running.push(Run {
            task: task.into(),
            attempt,
            record,
            began: Instant::now(),
            length: Duration::from_millis(length),
        });
        (200, format!("{{\"clockMs\":{clock}}}"))
    }

    fn stop_run(&self, body: &Json) -> (u16, String) {
        let mut life = self.life.0.lock().unwrap();
        let clock = life.clock();
        let (Some(task), Some(attempt)) = (body.text("task"), body.number("attempt")) else {
            return (400, format!("{{\"clockMs\":{clock}}}"));
        };
        let bar = life.bars.entry(task.into()).or_insert(0);
        *bar = (*bar).max(attempt);
        let stopped = life
            .running
            .iter()
            .position(|r| r.task == task && r.attempt <= attempt);
        if let Some(index) = stopped {
            self.end(&mut life, index, "stopped");
        }
        (200, format!("{{\"clockMs\":{clock}}}"))
    }

    fn list(&self, body: &Json) -> (u16, String) {
        let (lock, changed) = &*self.life;
        let mut life = lock.lock().unwrap();
        life.lists += 1;
        let fence = body.number("fencingToken").unwrap_or(0);
        if fence < life.fence {
            return Self::refused(life.clock(), "fence");
        }
        life.fence = fence;
        if let Some(deadline) = body.number("deadlineMs") {
            life.extend_lease(deadline);
        }
        let cursor = body.number("ackCursor").unwrap_or(0);
        life.ended.retain(|end| end.number > cursor);
        let wait = body.number("waitMs").unwrap_or(0).min(MAX_WAIT_MS);
        let until = Instant::now() + Duration::from_millis(wait);
        let number = life.number;
        while life.ended.is_empty() && life.up && life.number == number {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            life = changed.wait_timeout(life, left).unwrap().0;
        }
        let running: Vec<String> = life
            .running
            .iter()
            .map(|run| {
                let share = run.began.elapsed().as_secs_f64() / run.length.as_secs_f64().max(0.001);
                let percent = (share * 100.0).min(99.0) as u64;
                format!("[\"{}\",{},\"\",{percent},1600]", run.task, run.attempt)
            })
            .collect();
        let ended: Vec<String> = life
            .ended
            .iter()
            .take(MAX_ENDS)
            .map(|end| {
                let End {
                    number,
                    task,
                    attempt,
                    how,
                } = end;
                format!("[{number},\"{task}\",{attempt},\"{how}\",\"\"]")
            })
            .collect();
        let body = format!(
            "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            life.clock(),
            life.born,
            running.join(","),
            ended.join(",")
        );
        (200, body)
    }

    fn end(&self, life: &mut Life, index: usize, how: &'static str) {
        let run = life.running.remove(index);
        self.record.run_ended(run.record, how);
        let bar = life.bars.entry(run.task.clone()).or_insert(0);
        *bar = (*bar).max(run.attempt);
        life.last_end += 1;
        let number = life.last_end;
        life.ended.push(End {
            number,
            task: run.task,
            attempt: run.attempt,
            how,
        });
        self.life.1.notify_all();
    }

    /// Ends runs that are done, and all once the lease is over.
    fn expire(&self, number: u64) {
        while self.is_up(number) {
            let mut life = self.life.0.lock().unwrap();
            let lapsed = life.clock() > life.lease_ms;
            let due = |run: &Run| lapsed || run.began.elapsed() >= run.length;
            while life.number == number
                && let Some(index) = life.running.iter().position(due)
            {
                let done = life.running[index].began.elapsed() >= life.running[index].length;
                self.end(&mut life, index, if done { "done" } else { "lapsed" });
            }
            drop(life);
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Sends heartbeats to the agent, the first at once.
    fn beat(&self, number: u64) {
        let mut seq = 0;
        while self.is_up(number) {
            if self.is_cut() {
                thread::sleep(Duration::from_millis(50));
                continue;
            }
            seq += 1;
            let (clock, born) = {
                let life = self.life.0.lock().unwrap();
                (life.clock(), life.born)
            };
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":8,\
                 \"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{{\"cpu\":16000,\"memMb\":65536,\"gpu\":0}},\
                 \"labels\":[\"a\",\"{}\"],\"clockMs\":{clock},\"seqNo\":{seq},\"born\":{born}}}",
                self.service, self.app, self.rack
            );
            let path = format!("/-/instances/{}", self.id);
            let sent = http::call(
                self.agent,
                "PUT",
                &path,
                "Host: agent\r\n",
                &body,
                Duration::from_secs(1),
            );
            let acknowledged = sent
                .ok()
                .flatten()
                .is_some_and(|answer| answer.status() == 200);
            thread::sleep(if acknowledged {
                HEARTBEAT
            } else {
                Duration::from_millis(200)
            });
        }
    }
}
