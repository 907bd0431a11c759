//! A stand-in of an application worker, as PROTOCOL.md describes one: it registers by heartbeats, runs
//! tasks under a lease, and guards its capacity.
//!
//! The spec of a job says what each of its tasks is: `t=MS cpu=MILLI`.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::json::Json;
use crate::record::Record;

const HEARTBEAT: Duration = Duration::from_millis(1500);
const MAX_HOLD_MS: u64 = 1000;

#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub attempt: u64,
    cpu: u64,
    started: Instant,
    until: Instant,
}

/// A start that the worker has carried out.
#[derive(Clone, Debug)]
pub struct Begun {
    pub task: String,
    pub attempt: u64,
    /// When and how it ended; `None` while it runs.
    pub ended: Option<(Instant, &'static str)>,
    /// When the life of the worker began.
    life: Instant,
    pub at: Instant,
    /// Id and labels of the worker at that time.
    pub worker: String,
    pub labels: String,
}

struct Life {
    id: String,
    service: String,
    labels: Vec<String>,
    cpu: u64,
    born: u64,
    begin: Instant,
    seq: u64,
    state: &'static str,
    running: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest attempt of each task that was stopped or has ended here.
    barred: HashMap<String, u64>,
    lease_ms: u64,
    token: u64,
    /// Time of the first heartbeat.
    silent_until: Instant,
    /// Task, attempt, time and kind of each end.
    past: Vec<(String, u64, Instant, &'static str)>,
}

impl Life {
    fn clock(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    fn end(&mut self, run: &Run, at: Instant, how: &'static str) {
        self.past.push((run.task.clone(), run.attempt, at, how));
        self.last_end += 1;
        self.ended
            .push((self.last_end, run.task.clone(), run.attempt, how));
        let barred = self.barred.entry(run.task.clone()).or_insert(0);
        *barred = (*barred).max(run.attempt);
    }

    /// Ends what is done or whose lease has expired.
    fn settle(&mut self) {
        let lapses = self.begin + Duration::from_millis(self.lease_ms);
        let now = Instant::now();
        let mut running = std::mem::take(&mut self.running);
        running.sort_by_key(|run| run.until);
        for run in running {
            if run.until <= now && run.until <= lapses {
                let until = run.until;
                self.end(&run, until, "done");
            } else if lapses <= now {
                self.end(&run, lapses, "lapsed");
            } else {
                self.running.push(run);
            }
        }
    }

    fn extend(&mut self, deadline: Option<u64>) {
        if let Some(deadline) = deadline {
            let longest = self.clock() + MAX_HOLD_MS;
            self.lease_ms = self.lease_ms.max(deadline.min(longest));
        }
    }
}

struct State {
    life: Option<Life>,
    conns: Vec<TcpStream>,
    begun: Vec<Begun>,
    /// Ends in former lives, each with the begin of that life.
    past: Vec<(Instant, String, u64, Instant, &'static str)>,
    /// Number of orders that have arrived.
    orders: usize,
    /// Time by which the next start is carried out late, without an answer; 0 for at once.
    delay_ms: u64,
    /// Starts that are carried out late, and when.
    delayed: Vec<(Instant, Message)>,
    has_delayed: bool,
    /// When a heartbeat with `draining` was first acknowledged.
    draining_acked: Option<Instant>,
}

#[derive(Clone)]
pub struct Worker {
    addr: SocketAddr,
    agent: SocketAddr,
    record: Record,
    state: Arc<Mutex<State>>,
}

impl Worker {
    /// Creates the place of a worker on the machine of an agent. No worker runs there yet.
    pub fn new(addr: SocketAddr, agent: SocketAddr, record: &Record) -> Self {
        let worker = Self {
            addr,
            agent,
            record: record.clone(),
            state: Arc::new(Mutex::new(State {
                life: None,
                conns: Vec::new(),
                begun: Vec::new(),
                past: Vec::new(),
                orders: 0,
                delay_ms: 0,
                delayed: Vec::new(),
                has_delayed: false,
                draining_acked: None,
            })),
        };
        let (serving, beating, ticking) = (worker.clone(), worker.clone(), worker.clone());
        thread::spawn(move || serving.serve());
        thread::spawn(move || beating.beat());
        thread::spawn(move || {
            loop {
                ticking.tick();
                ticking.carry_out_late();
                thread::sleep(Duration::from_millis(2));
            }
        });
        worker
    }

    /// Starts a worker: a new incarnation that knows nothing of one before.
    pub fn start(&self, id: &str, service: &str, labels: &[&str], cpu: u64) {
        self.start_silent(id, service, labels, cpu, 0);
    }

    /// As [`Worker::start`], with the first heartbeat after this time.
    pub fn start_silent(&self, id: &str, service: &str, labels: &[&str], cpu: u64, silent_ms: u64) {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("after 1970");
        self.record.note(format!(
            "worker {id} starts: service {service}, labels {labels:?}"
        ));
        let mut state = self.state.lock().unwrap();
        state.life = Some(Life {
            id: id.into(),
            service: service.into(),
            labels: labels.iter().map(|l| (*l).to_owned()).collect(),
            cpu,
            born: now.as_millis() as u64,
            begin: Instant::now(),
            seq: 0,
            state: "ready",
            running: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            barred: HashMap::new(),
            lease_ms: 0,
            token: 0,
            silent_until: Instant::now() + Duration::from_millis(silent_ms),
            past: Vec::new(),
        });
    }

    /// Ends the worker at once; nothing is sent.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        if let Some(mut life) = state.life.take() {
            life.settle();
            let now = Instant::now();
            for run in &life.running {
                life.past
                    .push((run.task.clone(), run.attempt, now, "crashed"));
            }
            for (task, attempt, at, how) in life.past.drain(..) {
                state.past.push((life.begin, task, attempt, at, how));
            }
            self.record.note(format!(
                "worker {} crashes with {} tasks",
                life.id,
                life.running.len()
            ));
        }
        for conn in state.conns.drain(..) {
            let _ = conn.shutdown(Shutdown::Both);
        }
    }

    /// Lets the worker say from now on that it drains.
    pub fn drain(&self) {
        let mut state = self.state.lock().unwrap();
        if let Some(life) = &mut state.life {
            life.state = "draining";
        }
    }

    /// Returns all starts that were carried out, with their ends.
    pub fn begun(&self) -> Vec<Begun> {
        let state = self.state.lock().unwrap();
        let mut past = state.past.clone();
        if let Some(life) = &state.life {
            let ends = life.past.iter().cloned();
            past.extend(ends.map(|(task, attempt, at, how)| (life.begin, task, attempt, at, how)));
        }
        let mut begun = state.begun.clone();
        for run in &mut begun {
            let is_end = |end: &&(Instant, String, u64, Instant, &'static str)| {
                (end.0, &end.1, end.2) == (run.life, &run.task, run.attempt)
            };
            run.ended = past.iter().find(is_end).map(|end| (end.3, end.4));
        }
        begun
    }

    /// Lets the next start get no answer and be carried out this much later; 0 for no such start.
    pub fn delay_next_start(&self, delay_ms: u64) {
        self.state.lock().unwrap().delay_ms = delay_ms;
    }

    /// Returns whether a start was held back since the last call.
    pub fn take_delayed(&self) -> bool {
        std::mem::take(&mut self.state.lock().unwrap().has_delayed)
    }

    /// Returns the number of orders that have arrived.
    pub fn orders(&self) -> usize {
        self.state.lock().unwrap().orders
    }

    /// Returns how many tasks of a job run now.
    pub fn running(&self, job: &str) -> usize {
        let state = self.state.lock().unwrap();
        let life = state.life.as_ref();
        life.map_or(0, |life| {
            life.running
                .iter()
                .filter(|run| run.task.starts_with(job))
                .count()
        })
    }

    pub fn draining_acked(&self) -> Option<Instant> {
        self.state.lock().unwrap().draining_acked
    }

    /// Returns the id and the next sequence number of the present incarnation, and its start.
    pub fn identity(&self) -> Option<(String, u64, u64)> {
        let state = self.state.lock().unwrap();
        let life = state.life.as_ref()?;
        Some((life.id.clone(), life.seq + 1, life.born))
    }

    /// Sends the next heartbeat now. Returns the status of the answer.
    pub fn heartbeat(&self) -> Option<u16> {
        let (id, body, draining) = {
            let mut state = self.state.lock().unwrap();
            let life = state.life.as_mut()?;
            life.seq += 1;
            let labels: Vec<String> = life.labels.iter().map(|l| format!("\"{l}\"")).collect();
            let left = if life.state == "draining" {
                ",\"remainingMs\":2000"
            } else {
                ""
            };
            let body = format!(
                r#"{{"service":"{}","address":"{}","zone":"z0","version":"v1","slots":8,"state":"{}","coldLeftMs":0,"capacity":{{"cpu":{},"memMb":65536,"gpu":0}},"labels":[{}],"clockMs":{},"seqNo":{},"born":{}{left}}}"#,
                life.service,
                self.addr,
                life.state,
                life.cpu,
                labels.join(","),
                life.clock(),
                life.seq,
                life.born
            );
            (life.id.clone(), body, life.state == "draining")
        };
        let sent = http::call(
            self.agent,
            "PUT",
            &format!("/-/instances/{id}"),
            "",
            &body,
            Duration::from_secs(1),
        );
        let status = sent.map_or(0, |answer| answer.status());
        if draining {
            self.record
                .note(format!("heartbeat of {id}: draining -> {status}"));
            if (200..300).contains(&status) {
                let mut state = self.state.lock().unwrap();
                state.draining_acked.get_or_insert_with(Instant::now);
            }
        }
        Some(status)
    }

    fn beat(&self) {
        let mut last: (String, &str) = (String::new(), "");
        let mut sent = Instant::now();
        loop {
            let now = {
                let state = self.state.lock().unwrap();
                let life = state.life.as_ref();
                let life = life.filter(|life| Instant::now() >= life.silent_until);
                life.map(|life| (life.id.clone(), life.state))
            };
            if let Some(now) = now {
                if now != last || sent.elapsed() >= HEARTBEAT {
                    sent = Instant::now();
                    match self.heartbeat() {
                        Some(200..=299) => last = now,
                        // The agent may not listen yet.
                        _ => thread::sleep(Duration::from_millis(100)),
                    }
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let Some(life) = &mut state.life else { return };
        let before = life.last_end;
        life.settle();
        let (id, rows) = (life.id.clone(), life.ended.clone());
        for (number, task, attempt, how) in rows {
            if number > before {
                self.record
                    .note(format!("{id}: {task} #{attempt} ends {how}"));
            }
        }
    }

    fn serve(&self) {
        loop {
            let up = self.state.lock().unwrap().life.is_some();
            if !up {
                thread::sleep(Duration::from_millis(2));
                continue;
            }
            let Ok(listener) = TcpListener::bind(self.addr) else {
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            let _ = listener.set_nonblocking(true);
            while self.state.lock().unwrap().life.is_some() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(clone) = stream.try_clone() {
                            self.state.lock().unwrap().conns.push(clone);
                        }
                        let worker = self.clone();
                        thread::spawn(move || worker.serve_conn(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        }
    }

    fn serve_conn(&self, mut stream: TcpStream) {
        let mut buf = Vec::new();
        while let Some(request) = http::read_message(&mut stream, &mut buf) {
            if self.is_held_back(&request) {
                continue;
            }
            let Some((status, body)) = self.handle(&request) else {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            };
            let text = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Counts an order, and keeps it if it is to be carried out late.
    fn is_held_back(&self, request: &Message) -> bool {
        let mut state = self.state.lock().unwrap();
        state.orders += 1;
        let delay = std::mem::take(&mut state.delay_ms);
        if delay == 0 || !request.line.contains("/-/run-start") {
            state.delay_ms = delay;
            return false;
        }
        let due = Instant::now() + Duration::from_millis(delay);
        self.record.note(format!(
            "{}: a start gets no answer and is carried out {delay} ms later: {}",
            self.addr, request.body
        ));
        state.delayed.push((due, request.clone()));
        state.has_delayed = true;
        true
    }

    /// Carries out the late orders now.
    pub fn carry_out_late_now(&self) {
        let now = Instant::now();
        for (due, _) in &mut self.state.lock().unwrap().delayed {
            *due = now;
        }
        self.carry_out_late();
    }

    /// Carries out the late orders that are due.
    fn carry_out_late(&self) {
        let now = Instant::now();
        let due: Vec<Message> = {
            let mut state = self.state.lock().unwrap();
            let (due, rest) = std::mem::take(&mut state.delayed)
                .into_iter()
                .partition(|(at, _)| *at <= now);
            state.delayed = rest;
            let due: Vec<(Instant, Message)> = due;
            due.into_iter().map(|(_, request)| request).collect()
        };
        for request in due {
            let answer = self.handle(&request);
            self.record
                .note(format!("the late start is carried out: {answer:?}"));
        }
    }

    /// Handles a call; `None` if the worker has crashed meanwhile.
    fn handle(&self, request: &Message) -> Option<(u16, String)> {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let path = request
            .line
            .split(' ')
            .nth(1)
            .unwrap_or_default()
            .to_owned();
        let begin = Instant::now();
        let mut life_begin = None;
        loop {
            let mut state = self.state.lock().unwrap();
            let state = &mut *state;
            let life = state.life.as_mut()?;
            if *life_begin.get_or_insert(life.begin) != life.begin {
                return None;
            }
            life.settle();
            if request
                .header("X-Expect-Instance")
                .is_some_and(|id| id != life.id)
            {
                return Some((421, "{}".into()));
            }
            let clock = life.clock();
            let token = body.get("fencingToken").number().unwrap_or(0);
            if token < life.token {
                return Some((409, format!(r#"{{"clockMs":{clock},"reason":"fence"}}"#)));
            }
            life.token = token;
            let task = body.get("task").text().to_owned();
            let attempt = body.get("attempt").number().unwrap_or(0);
            match path.as_str() {
                "/-/run-start" => {
                    let refuse = |reason: &str| {
                        Some((409, format!(r#"{{"clockMs":{clock},"reason":"{reason}"}}"#)))
                    };
                    let deadline = body.get("deadlineMs").number();
                    if deadline.is_none_or(|deadline| deadline < clock) {
                        return refuse("late");
                    }
                    if life
                        .running
                        .iter()
                        .any(|run| run.task == task && run.attempt == attempt)
                    {
                        life.extend(deadline);
                        return Some((200, format!(r#"{{"clockMs":{clock}}}"#)));
                    }
                    life.extend(deadline);
                    if life
                        .barred
                        .get(&task)
                        .is_some_and(|barred| attempt <= *barred)
                    {
                        return refuse("old");
                    }
                    let spec = body.get("spec").text().to_owned();
                    let number = |key: &str| {
                        let mut words = spec.split(' ').filter_map(|word| word.split_once('='));
                        words
                            .find(|(name, _)| *name == key)
                            .and_then(|(_, v)| v.parse::<u64>().ok())
                    };
                    let cpu = number("cpu").unwrap_or(1000);
                    let used: u64 = life.running.iter().map(|run| run.cpu).sum();
                    if used + cpu > life.cpu {
                        return refuse("room");
                    }
                    let started = Instant::now();
                    let until = started + Duration::from_millis(number("t").unwrap_or(100));
                    self.record.note(format!(
                        "{}: {task} #{attempt} starts (spec {spec:?}, labels {:?})",
                        life.id, life.labels
                    ));
                    state.begun.push(Begun {
                        attempt,
                        ended: None,
                        life: life.begin,
                        task: task.clone(),
                        at: started,
                        worker: life.id.clone(),
                        labels: life.labels.join(","),
                    });
                    life.running.push(Run {
                        task,
                        attempt,
                        cpu,
                        started,
                        until,
                    });
                    return Some((200, format!(r#"{{"clockMs":{clock}}}"#)));
                }
                "/-/run-stop" => {
                    let found = life
                        .running
                        .iter()
                        .position(|run| run.task == task && run.attempt == attempt);
                    if let Some(found) = found {
                        let run = life.running.remove(found);
                        life.end(&run, Instant::now(), "stopped");
                        self.record
                            .note(format!("{}: {task} #{attempt} ends stopped", life.id));
                    } else {
                        let barred = life.barred.entry(task).or_insert(0);
                        *barred = (*barred).max(attempt);
                    }
                    return Some((200, format!(r#"{{"clockMs":{clock}}}"#)));
                }
                "/-/hold" => {
                    life.extend(body.get("deadlineMs").number());
                    let acked = body.get("ackCursor").number().unwrap_or(0);
                    life.ended.retain(|(number, ..)| *number > acked);
                    let wait = Duration::from_millis(body.get("waitMs").number().unwrap_or(0));
                    if life.ended.is_empty() && begin.elapsed() < wait {
                        // Waits for an end, without the lock.
                    } else {
                        let running: Vec<String> = life
                            .running
                            .iter()
                            .map(|run| {
                                let total =
                                    run.until.duration_since(run.started).as_millis().max(1);
                                let percent =
                                    (run.started.elapsed().as_millis() * 100 / total).min(99);
                                format!(
                                    r#"["{}",{},"",{percent},{}]"#,
                                    run.task, run.attempt, run.cpu
                                )
                            })
                            .collect();
                        let ended: Vec<String> = life
                            .ended
                            .iter()
                            .take(500)
                            .map(|(n, task, attempt, how)| {
                                format!(r#"[{n},"{task}",{attempt},"{how}",""]"#)
                            })
                            .collect();
                        return Some((
                            200,
                            format!(
                                r#"{{"clockMs":{clock},"born":{},"running":[{}],"finished":[{}]}}"#,
                                life.born,
                                running.join(","),
                                ended.join(",")
                            ),
                        ));
                    }
                }
                _ => return Some((404, "{}".into())),
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}
