//! The project's programs as processes on loopback, with stand-in workers, an operator and clients.

use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer};
use crate::record::Record;
use crate::worker::{Kind, Late, Worker};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGTERM: i32 = 15;

/// A process of the project. It is killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Tells the process to end, as the platform does.
    pub fn terminate(&self) {
        // The child has not been waited for, so that its id is still its own.
        unsafe { kill(self.child.id() as i32, SIGTERM) };
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    fn spawn(program: &Path, settings: &Path, log: &Path) -> std::io::Result<Child> {
        let out = fs::OpenOptions::new().create(true).append(true).open(log)?;
        Command::new(program)
            .env_clear()
            .env("REDWINGWICK_CONFIG", settings)
            .env("REDWINGWICK_CLUSTER_SECRET", "change-me-before-production")
            .stdin(Stdio::null())
            .stdout(Stdio::from(out.try_clone()?))
            .stderr(Stdio::from(out))
            .spawn()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Cluster {
    pub folder: PathBuf,
    net: [u8; 2],
    _mark: TcpListener,
    pub control: Vec<Process>,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub workers: Vec<Worker>,
    pub needs: Arc<Mutex<BTreeMap<String, u64>>>,
    pub late: Arc<Mutex<Late>>,
    pub record: Arc<Record>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.control.clear();
        self.entries.clear();
        self.agents.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns a loopback network that no other run uses, and the listener that marks it as taken.
fn free_net() -> ([u8; 2], TcpListener) {
    let mut seed = std::process::id() ^ (Instant::now().elapsed().as_nanos() as u32);
    loop {
        seed = seed.wrapping_mul(1_103_515_245).wrapping_add(12_345);
        let net = [20 + ((seed >> 8) % 200) as u8, ((seed >> 16) % 250) as u8];
        let at = |host: u8, port: u16| SocketAddr::from(([127, net[0], net[1], host], port));
        let Ok(mark) = TcpListener::bind(at(254, 7999)) else {
            continue;
        };
        let ports = [
            (1, 7003),
            (1, 7010),
            (10, 7001),
            (10, 7010),
            (30, 7003),
            (30, 7009),
        ];
        if ports
            .iter()
            .all(|(h, p)| TcpListener::bind(at(*h, *p)).is_ok())
        {
            return (net, mark);
        }
    }
}

pub fn wait_for<F: FnMut() -> bool>(limit: Duration, mut done: F) -> bool {
    let begin = Instant::now();
    while !done() {
        if begin.elapsed() >= limit {
            return false;
        }
        thread::sleep(Duration::from_millis(5));
    }
    true
}

impl Cluster {
    /// Starts 3 control nodes, and entries and agents with one worker each. `None` if it does not get
    /// ready.
    pub fn start(
        bin: &Path,
        record: Arc<Record>,
        entries: u8,
        kinds: &[Kind],
        config: &str,
    ) -> Option<Self> {
        let (net, mark) = free_net();
        let folder = std::env::temp_dir().join(format!("rw-review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let mut cluster = Self {
            folder,
            net,
            _mark: mark,
            control: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            needs: Arc::default(),
            late: Arc::default(),
            record,
        };
        for i in 0..3 {
            let p = cluster.process(bin, "control", "core", "control", 1 + i)?;
            cluster.control.push(p);
        }
        for i in 0..entries {
            let p = cluster.process(bin, "entry", "edge", "edge", 10 + i)?;
            cluster.entries.push(p);
        }
        for (i, kind) in kinds.iter().enumerate() {
            let host = 30 + i as u8;
            let p = cluster.process(bin, "agent", "side", "side", host)?;
            cluster.agents.push(p);
            let worker = Worker::new(
                &format!("i-{i:08x}"),
                cluster.addr(host, 7009),
                cluster.addr(host, 7003),
                cluster.needs.clone(),
                cluster.late.clone(),
                cluster.record.clone(),
            );
            worker.start(kind.clone(), Duration::from_millis(300));
            cluster.workers.push(worker);
        }
        wait_for(Duration::from_secs(15), || cluster.publish(config) == 200).then_some(())?;
        for i in 0..cluster.entries.len() {
            let ready = cluster.addr(10 + i as u8, 7002);
            wait_for(Duration::from_secs(15), || {
                let second = Duration::from_secs(1);
                http::call(ready, "GET", "/-/readyz", &[("Host", "x")], "", second).status == 200
            })
            .then_some(())?;
        }
        // Until all entries are linked with all agents, and their workers are known.
        thread::sleep(Duration::from_millis(3500));
        Some(cluster)
    }

    pub fn addr(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.net[0], self.net[1], host], port))
    }

    pub fn entry(&self, i: usize) -> SocketAddr {
        self.addr(10 + i as u8, 7001)
    }

    fn process(
        &self,
        bin: &Path,
        program: &str,
        class: &str,
        serves: &str,
        host: u8,
    ) -> Option<Process> {
        let at = |port| self.addr(host, port);
        let seeds: Vec<String> = (1..=3)
            .map(|h| format!("\"{}\"", self.addr(h, 7003)))
            .collect();
        let data = self.folder.join(format!("data-{host}"));
        let (data_dir, tolerance) = if class == "core" {
            fs::create_dir_all(&data).ok()?;
            (format!("\"{}\"", data.display()), "true")
        } else {
            ("null".to_owned(), "false")
        };
        let listen = match class {
            "edge" => format!(
                "\"frontend\":\"{}\",\"readiness\":\"{}\"",
                at(7001),
                at(7002)
            ),
            _ => format!("\"controlPlane\":\"{}\"", at(7003)),
        };
        let app = if class == "side" {
            format!("\"app\":\"{}\",", at(7009))
        } else {
            String::new()
        };
        let name = format!("{class}-z-a-{host}");
        let text = format!(
            "{{\"nodeName\":\"{name}\",\"role\":\"{program}\",\"machineClass\":\"{class}\",\
             \"serves\":[\"{serves}\"],\"ip\":\"{}\",\"zone\":\"z-a\",\"region\":\"r\",\
             \"zones\":{{\"z-a\":\"r\"}},\"listen\":{{{listen}}},{app}\"portRange\":[7010,7025],\
             \"seedNodes\":[{}],\"bootstrap\":true,\"inTolerance\":{tolerance},\
             \"limits\":{{\"cpuQuota\":0.5,\"cores\":1,\"memoryMb\":256,\"maxFds\":4096,\
             \"linkMbps\":1000.0,\"diskMb\":128}},\"dataDir\":{data_dir},\"discovery\":\"local\",\
             \"entry\":\"vip\",\"heartbeatMs\":1500,\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"],\
             \"faultTolerance\":{{\"machines\":1,\"zones\":0,\"regions\":0}},\
             \"bounds\":{{\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,\
             \"graceS\":6,\"lossSlackMs\":200,\"configApplyMs\":2000,\"recoveryS\":12,\
             \"maxHoldMs\":1000,\"stopTimeoutMs\":50,\"cancel_ms\":3000,\"visible_ms\":3000,\
             \"remoteFactor\":1.5,\"fencingEnabled\":false,\"retransmitMs\":1300}},\
             \"config_mode\":\"highest\",\"controlMode\":\"invocation\"}}",
            at(0).ip(),
            seeds.join(",")
        );
        let settings = self.folder.join(format!("{name}.json"));
        fs::write(&settings, text).ok()?;
        let program = bin.join(format!("rw-platform-{program}"));
        let log = self.folder.join(format!("{name}.log"));
        let child = Process::spawn(&program, &settings, &log).ok()?;
        Some(Process { child })
    }

    /// Sends a configuration to the control nodes in turn, as the operator does. Returns the status.
    pub fn publish(&self, config: &str) -> u16 {
        let mut status = 0;
        for host in 1..=3 {
            let mut addr = self.addr(host, 7003);
            for _ in 0..2 {
                let headers = [("Host", "control")];
                let second = Duration::from_secs(1);
                let answer = http::call(addr, "PUT", "/-/config", &headers, config, second);
                status = answer.status;
                let target = answer
                    .location
                    .as_deref()
                    .and_then(|l| l.strip_prefix("http://"));
                let target = target.and_then(|l| l.split('/').next()?.parse().ok());
                match target {
                    Some(next) if status == 307 => addr = next,
                    _ => break,
                }
            }
            if status == 200 {
                break;
            }
        }
        self.record
            .line(&format!("operator: PUT /-/config -> {status}"));
        status
    }
}

/// A job with steps of equal tasks.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub spec: String,
    /// The `phases` of the body.
    pub phases: String,
    /// CPU of each of its tasks.
    pub cpu: u64,
    pub deadline_ms: u64,
}

pub fn submit(
    record: &Record,
    needs: &Mutex<BTreeMap<String, u64>>,
    addr: SocketAddr,
    entry: usize,
    job: &Job,
    patience: Duration,
) -> Answer {
    needs.lock().unwrap().insert(job.id.clone(), job.cpu);
    let body = format!(
        "{{\"spec\":\"{}\",\"bestEffort\":true,\"phases\":{}}}",
        job.spec, job.phases
    );
    let path = format!("/q/{}", job.id);
    let deadline = job.deadline_ms.to_string();
    let headers = [("Host", "h.example"), ("X-Deadline-Ms", deadline.as_str())];
    record.line(&format!("client: POST {path} to entry {entry}: {body}"));
    let answer = http::call(addr, "POST", &path, &headers, &body, patience);
    record.line(&format!(
        "client: POST {path} to entry {entry} -> {} {} ({})",
        answer.status, answer.body, answer.end
    ));
    answer
}

/// A configuration with one queue (`/q/` on `h.example`) and one service.
pub fn config(version: u64, rejects_overload: bool) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-q\",\"host\":\"h.example\",\
         \"pathPrefix\":\"/q/\",\"kind\":\"non_idempotent\",\"timeoutMs\":60000,\
         \"targetLatencyMs\":60,\"priority\":0,\"service\":\"s\",\"maxAttempts\":3,\
         \"slackFactor\":1.6}}],\"services\":[{{\"name\":\"s\",\"healthPath\":\"/healthz\",\
         \"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"rejectsOverload\":{rejects_overload},\
         \"standby\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}
