//! A stand-in worker after PROTOCOL.md, "Running tasks": it announces itself to the agent on its
//! machine, runs tasks that do nothing for the time that their `spec` states (`ms=NUMBER`), and keeps
//! leases on its own steady clock.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, read_message, respond};
use crate::json::Json;
use crate::record::Record;

const CLOCK_START: u64 = 100_000;
const MAX_HOLD_MS: u64 = 1000;
/// `heartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// What a worker says of itself.
#[derive(Clone, Debug)]
pub struct Kind {
    pub service: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem: u64,
    /// Whether it rejects what does not fit.
    pub guards: bool,
}

#[derive(Clone, Debug)]
struct Run {
    task: String,
    attempt: u64,
    cpu: u64,
    began: Instant,
    until: Instant,
    saved: usize,
}

/// A run that has begun, for the checks.
#[derive(Clone, Debug)]
pub struct Begun {
    pub worker: String,
    pub life: u64,
    pub kind: Kind,
    pub task: String,
    pub attempt: u64,
    pub at: Instant,
    pub end: Option<(Instant, &'static str)>,
}

struct Life {
    number: u64,
    kind: Kind,
    state: &'static str,
    born: u64,
    begin: Instant,
    seq: u64,
    running: Vec<Run>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    blocked: BTreeMap<String, u64>,
    token: u64,
    lease: u64,
    conns: Vec<TcpStream>,
}

impl Life {
    fn new(number: u64, kind: Kind, time_offset_ms: i64) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let born = born.as_millis() as i64 + time_offset_ms;
        Self {
            number,
            kind,
            state: "ready",
            born: born as u64,
            begin: Instant::now(),
            seq: 0,
            running: Vec::new(),
            finished: Vec::new(),
            last_end: 0,
            blocked: BTreeMap::new(),
            token: 0,
            lease: 0,
            conns: Vec::new(),
        }
    }

    fn clock(&self) -> u64 {
        CLOCK_START + self.begin.elapsed().as_millis() as u64
    }
}

/// A start that a worker leaves unanswered and carries out late.
#[derive(Clone, Debug, Default)]
pub struct Late {
    /// The job whose next start is meant; `None` if there is none.
    pub job: Option<String>,
    /// The worker that has got it, and when.
    pub taken: Option<(String, Instant)>,
    /// Time until it is carried out.
    pub after: Duration,
}

struct Shared {
    id: String,
    addr: SocketAddr,
    agent: SocketAddr,
    life: Mutex<Option<Life>>,
    begun: Mutex<Vec<Begun>>,
    /// CPU of each job's tasks, as the clients sent it.
    needs: Arc<Mutex<BTreeMap<String, u64>>>,
    /// The start that is to be left unanswered and carried out late.
    late: Arc<Mutex<Late>>,
    /// How far the time of day of its machine is off, in milliseconds.
    time_offset_ms: AtomicI64,
    lives: AtomicU64,
    record: Arc<Record>,
}

#[derive(Clone)]
pub struct Worker(Arc<Shared>);

impl Worker {
    pub fn new(
        id: &str,
        addr: SocketAddr,
        agent: SocketAddr,
        needs: Arc<Mutex<BTreeMap<String, u64>>>,
        late: Arc<Mutex<Late>>,
        record: Arc<Record>,
    ) -> Self {
        let worker = Self(Arc::new(Shared {
            id: id.into(),
            addr,
            agent,
            life: Mutex::new(None),
            begun: Mutex::default(),
            needs,
            late,
            time_offset_ms: AtomicI64::new(0),
            lives: AtomicU64::new(0),
            record,
        }));
        let ticking = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1));
                let mut life = ticking.life();
                if let Some(life) = life.as_mut() {
                    ticking.end_due(life);
                }
            }
        });
        worker
    }

    fn life(&self) -> MutexGuard<'_, Option<Life>> {
        self.0.life.lock().unwrap()
    }

    /// Starts a life of the worker: its listener at once, its first heartbeat after `first_beat`, and
    /// further ones every 1,500 ms.
    pub fn start(&self, kind: Kind, first_beat: Duration) {
        let number = self.0.lives.fetch_add(1, Ordering::SeqCst) + 1;
        let listener = loop {
            match TcpListener::bind(self.0.addr) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        };
        listener.set_nonblocking(true).unwrap();
        self.0.record.line(&format!(
            "worker {} starts life {number}: labels {:?}, {} thousandths of a core",
            self.0.id, kind.labels, kind.cpu
        ));
        let offset = self.0.time_offset_ms.load(Ordering::SeqCst);
        *self.life() = Some(Life::new(number, kind, offset));
        let accepting = self.clone();
        thread::spawn(move || accepting.accept(&listener, number));
        let beating = self.clone();
        thread::spawn(move || {
            thread::sleep(first_beat);
            while beating.is_alive(number) {
                beating.beat(number);
                thread::sleep(HEARTBEAT);
            }
        });
    }

    fn is_alive(&self, number: u64) -> bool {
        self.life().as_ref().is_some_and(|l| l.number == number)
    }

    /// The worker's process crashes: everything on it ends, its connections are reset.
    pub fn crash(&self) {
        let mut guard = self.life();
        let Some(mut life) = guard.take() else { return };
        self.end_due(&mut life);
        let now = Instant::now();
        for run in std::mem::take(&mut life.running) {
            self.note_end(&run, life.number, now, "crashed");
        }
        for conn in &life.conns {
            let _ = conn.shutdown(std::net::Shutdown::Both);
        }
        self.0.record.line(&format!(
            "worker {} crashes (life {})",
            self.0.id, life.number
        ));
    }

    /// Sets the state that its heartbeats state, and sends one at once. Returns whether it was
    /// acknowledged.
    pub fn set_state(&self, state: &'static str) -> bool {
        let number = {
            let mut life = self.life();
            let Some(life) = life.as_mut() else {
                return false;
            };
            life.state = state;
            life.number
        };
        self.beat(number)
    }

    /// The time of day of its machine jumps: it is off by this from now on.
    pub fn set_time_offset(&self, ms: i64) {
        self.0.time_offset_ms.store(ms, Ordering::SeqCst);
        self.0.record.line(&format!(
            "the time of day at worker {} is off by {ms} ms from now on",
            self.0.id
        ));
    }

    fn beat(&self, number: u64) -> bool {
        let body = {
            let mut life = self.life();
            let Some(life) = life.as_mut().filter(|l| l.number == number) else {
                return false;
            };
            life.seq += 1;
            let labels: Vec<Json> = life.kind.labels.iter().cloned().map(Json::Str).collect();
            format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":8,\
                 \"state\":\"{}\",\"coldLeftMs\":0,\"capacity\":{{\"cpu\":{},\"memMb\":{},\"gpu\":0}},\
                 \"labels\":{},\"clockMs\":{},\"seqNo\":{},\"born\":{}}}",
                life.kind.service,
                self.0.addr,
                life.state,
                life.kind.cpu,
                life.kind.mem,
                Json::List(labels),
                life.clock(),
                life.seq,
                life.born
            )
        };
        let path = format!("/-/instances/{}", self.0.id);
        let answer = http::call(
            self.0.agent,
            "PUT",
            &path,
            &[("Host", "agent")],
            &body,
            Duration::from_secs(1),
        );
        self.0.record.line(&format!(
            "heartbeat of {} life {number} -> {} ({}): {body}",
            self.0.id, answer.status, answer.end
        ));
        answer.status / 100 == 2
    }

    fn accept(&self, listener: &TcpListener, number: u64) {
        while self.is_alive(number) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    {
                        let mut life = self.life();
                        let Some(life) = life.as_mut().filter(|l| l.number == number) else {
                            return;
                        };
                        if let Ok(clone) = stream.try_clone() {
                            life.conns.push(clone);
                        }
                    }
                    let serving = self.clone();
                    thread::spawn(move || serving.serve(stream, number));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, mut stream: TcpStream, number: u64) {
        let mut buf = Vec::new();
        while let Some(message) = read_message(&mut stream, &mut buf) {
            let path = message
                .line
                .split(' ')
                .nth(1)
                .unwrap_or_default()
                .to_owned();
            let body = Json::parse(&message.body).unwrap_or(Json::Null);
            if message
                .header("x-expect-instance")
                .is_some_and(|id| id != self.0.id)
            {
                respond(&mut stream, 421, "{}");
                continue;
            }
            if path == "/-/run-start" && self.is_left_late(&body) {
                // The connection stays open, as that of a call that is still to be answered.
                thread::sleep(Duration::from_secs(3));
                return;
            }
            let Some((status, answer)) = self.handle(number, &path, &body) else {
                return;
            };
            if !respond(&mut stream, status, &answer) {
                return;
            }
        }
    }

    /// Leaves the start that is meant unanswered, and carries it out late, in whatever life the worker
    /// is by then.
    fn is_left_late(&self, body: &Json) -> bool {
        let mut late = self.0.late.lock().unwrap();
        let task = body.text("task").unwrap_or_default();
        let is_meant = |job: &String| task.starts_with(job.as_str());
        if !late.job.as_ref().is_some_and(is_meant) {
            return false;
        }
        late.job = None;
        late.taken = Some((self.0.id.clone(), Instant::now()));
        let after = late.after;
        drop(late);
        self.0.record.line(&format!(
            "worker {} leaves a start unanswered and carries it out {:.1} s later: {body}",
            self.0.id,
            after.as_secs_f64()
        ));
        let (worker, body) = (self.clone(), body.clone());
        thread::spawn(move || {
            thread::sleep(after);
            let number = worker.life().as_ref().map_or(0, |life| life.number);
            let answer = worker.handle(number, "/-/run-start", &body);
            worker.0.record.line(&format!(
                "worker {} life {number} carries the late start out: {answer:?}",
                worker.0.id
            ));
        });
        true
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    /// `None` if this life is over.
    fn handle(&self, number: u64, path: &str, body: &Json) -> Option<(u16, String)> {
        let task = body.text("task").unwrap_or_default().to_owned();
        let attempt = body.u64("attempt").unwrap_or(0);
        let token = body.u64("fencingToken").unwrap_or(0);
        let deadline = body.u64("deadlineMs").unwrap_or(0);
        let begin = Instant::now();
        loop {
            let mut guard = self.life();
            let life = guard.as_mut().filter(|l| l.number == number)?;
            self.end_due(life);
            if token < life.token {
                return Some((409, refusal(life, "fence")));
            }
            life.token = token;
            match path {
                "/-/run-start" => {
                    let spec = body.text("spec").unwrap_or_default();
                    let answer = self.start_run(life, &task, attempt, spec, deadline);
                    let reason = match answer {
                        Ok(()) => return Some((200, format!("{{\"clockMs\":{}}}", life.clock()))),
                        Err(reason) => reason,
                    };
                    self.0.record.line(&format!(
                        "worker {} life {number} refuses {task} run {attempt}: {reason}",
                        self.0.id
                    ));
                    return Some((409, refusal(life, reason)));
                }
                "/-/run-stop" => {
                    let found = life
                        .running
                        .iter()
                        .position(|r| r.task == task && r.attempt == attempt);
                    if let Some(at) = found {
                        let run = life.running.remove(at);
                        self.finish(life, &run, Instant::now(), "stopped");
                    }
                    let highest = life.blocked.entry(task).or_default();
                    *highest = (*highest).max(attempt);
                    return Some((200, format!("{{\"clockMs\":{}}}", life.clock())));
                }
                "/-/hold" => {
                    extend(life, deadline);
                    let seen = body.u64("ackCursor").unwrap_or(0);
                    life.finished.retain(|(n, ..)| *n > seen);
                    let wait = body.u64("waitMs").unwrap_or(0).min(2000);
                    if life.finished.is_empty() && begin.elapsed().as_millis() < u128::from(wait) {
                        drop(guard);
                        thread::sleep(Duration::from_millis(1));
                        continue;
                    }
                    return Some((200, lists(life)));
                }
                _ => return Some((404, "{}".into())),
            }
        }
    }

    fn start_run(
        &self,
        life: &mut Life,
        task: &str,
        attempt: u64,
        spec: &str,
        deadline: u64,
    ) -> Result<(), &'static str> {
        if life.clock() > deadline {
            return Err("late");
        }
        extend(life, deadline);
        if life
            .running
            .iter()
            .any(|r| r.task == task && r.attempt == attempt)
        {
            return Ok(());
        }
        if life
            .blocked
            .get(task)
            .is_some_and(|highest| attempt <= *highest)
        {
            return Err("old");
        }
        let job = task.split('.').next().unwrap_or_default();
        let cpu = self.0.needs.lock().unwrap().get(job).copied().unwrap_or(0);
        let used: u64 = life.running.iter().map(|r| r.cpu).sum::<u64>() + cpu;
        if life.kind.guards && used > life.kind.cpu {
            return Err("room");
        }
        let ms = spec
            .split_once("ms=")
            .and_then(|(_, n)| n.split_whitespace().next()?.parse().ok())
            .unwrap_or(100);
        let now = Instant::now();
        life.running.push(Run {
            task: task.into(),
            attempt,
            cpu,
            began: now,
            until: now + Duration::from_millis(ms),
            saved: 0,
        });
        self.0.begun.lock().unwrap().push(Begun {
            worker: self.0.id.clone(),
            life: life.number,
            kind: life.kind.clone(),
            task: task.into(),
            attempt,
            at: now,
            end: None,
        });
        self.0.record.line(&format!(
            "worker {} life {} (labels {:?}) begins {task} run {attempt}; in use {used} of {}",
            self.0.id, life.number, life.kind.labels, life.kind.cpu
        ));
        Ok(())
    }

    fn end_due(&self, life: &mut Life) {
        let now = Instant::now();
        let left = life.lease.saturating_sub(CLOCK_START);
        let lease_end = life.begin + Duration::from_millis(left);
        let mut running = std::mem::take(&mut life.running);
        running.sort_by_key(|run| run.until);
        for mut run in running {
            if run.until.min(lease_end) > now {
                run.saved = run.began.elapsed().as_millis() as usize / 500;
                life.running.push(run);
            } else if run.until < lease_end {
                let until = run.until;
                self.finish(life, &run, until, "done");
            } else {
                self.finish(life, &run, lease_end, "lapsed");
            }
        }
    }

    fn finish(&self, life: &mut Life, run: &Run, at: Instant, how: &'static str) {
        life.last_end += 1;
        let row = (life.last_end, run.task.clone(), run.attempt, how);
        life.finished.push(row);
        let highest = life.blocked.entry(run.task.clone()).or_default();
        *highest = (*highest).max(run.attempt);
        self.note_end(run, life.number, at, how);
    }

    fn note_end(&self, run: &Run, number: u64, at: Instant, how: &'static str) {
        let mut begun = self.0.begun.lock().unwrap();
        let found = begun.iter_mut().rev().find(|b| {
            (b.life, &b.task, b.attempt) == (number, &run.task, run.attempt) && b.end.is_none()
        });
        if let Some(begun) = found {
            begun.end = Some((at, how));
        }
        self.0.record.line_at(
            at,
            &format!(
                "worker {} life {number}: {} run {} ends {how}",
                self.0.id, run.task, run.attempt
            ),
        );
    }

    pub fn begun(&self) -> Vec<Begun> {
        self.0.begun.lock().unwrap().clone()
    }
}

fn refusal(life: &Life, reason: &str) -> String {
    format!("{{\"clockMs\":{},\"reason\":\"{reason}\"}}", life.clock())
}

fn extend(life: &mut Life, deadline: u64) {
    life.lease = life.lease.max(deadline.min(life.clock() + MAX_HOLD_MS));
}

fn lists(life: &Life) -> String {
    let running: Vec<String> = life
        .running
        .iter()
        .map(|r| {
            let total = r.until.duration_since(r.began).as_millis().max(1);
            let percent = (r.began.elapsed().as_millis() * 100 / total).min(99);
            let saved = if r.saved == 0 {
                String::new()
            } else {
                format!("{:016x}", r.saved)
            };
            format!(
                "[\"{}\",{},\"{saved}\",{percent},{}]",
                r.task, r.attempt, r.cpu
            )
        })
        .collect();
    let finished: Vec<String> = life
        .finished
        .iter()
        .take(500)
        .map(|(n, task, attempt, how)| format!("[{n},\"{task}\",{attempt},\"{how}\",\"\"]"))
        .collect();
    format!(
        "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
        life.clock(),
        life.born,
        running.join(","),
        finished.join(",")
    )
}
