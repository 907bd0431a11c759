//! The project's programs as processes on loopback, with the commands of the deploy file and
//! settings like those of a small deployment.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::worker::Worker;

/// The value of the deploy file.
const SECRET: &str = "change-me-before-production";
const FRONTEND: u16 = 8161;
const CONTROL_PLANE: u16 = 8166;
const READINESS: u16 = 8167;
const APP: u16 = 8080;
const PORTS: (u16, u16) = (7720, 7735);
/// Longest time for the cluster to start.
const START_TIMEOUT: Duration = Duration::from_secs(25);
/// `contactMs` of the settings: a machine that was left alone for this long is in touch.
pub const CONTACT: Duration = Duration::from_millis(3000);
/// `cancel_ms` of the settings.
pub const CANCEL_MS: u64 = 3000;
pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
const SERVICE: &str = "huvo11a";

/// A process that this case has started.
pub struct Process {
    pub name: String,
    pub ip: Ipv4Addr,
    child: Child,
}

impl Process {
    /// Sends a signal by name to this process alone.
    pub fn signal(&self, signal: &str) {
        let command = format!("kill -s {signal} {}", self.child.id());
        let sent = Command::new("sh").args(["-c", &command]).status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "signal {signal} is sent"
        );
    }

    /// Returns the address for clients.
    pub fn frontend(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONTEND))
    }

    /// Returns the address for the worker, or for operators.
    pub fn control_plane(&self) -> SocketAddr {
        SocketAddr::from((self.ip, CONTROL_PLANE))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The control nodes, entries and agents, and the workers beside the agents.
pub struct Cluster {
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub workers: Vec<Worker>,
    folder: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in self
            .agents
            .drain(..)
            .chain(self.entries.drain(..))
            .chain(self.controls.drain(..))
        {
            drop(process);
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Number of machines of each class.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub controls: u8,
    pub entries: u8,
    pub agents: u8,
    /// Speed of the workers' steady clocks; 0.98 is 2% slow.
    pub clock_rate: f64,
}

impl Cluster {
    /// Starts all programs, publishes a configuration, and waits until all machines are in touch.
    pub fn start(size: Size, record: &Record) -> io::Result<Self> {
        let net = free_net()?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut cluster = Self {
            controls: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            folder,
        };
        for i in 0..size.controls {
            let process = cluster.spawn(net, "control", "core", 1 + i, size)?;
            cluster.controls.push(process);
        }
        for i in 0..size.entries {
            let process = cluster.spawn(net, "entry", "edge", 50 + i, size)?;
            cluster.entries.push(process);
        }
        for i in 0..size.agents {
            let process = cluster.spawn(net, "agent", "side", 100 + i, size)?;
            let app = SocketAddr::from((process.ip, APP));
            let (id, rack) = (format!("i-{i}f3a91c2"), format!("r1-{}", i / 3));
            let worker = Worker::start(
                &id,
                app,
                process.control_plane(),
                SERVICE,
                &rack,
                size.clock_rate,
                record,
            );
            cluster.agents.push(process);
            cluster.workers.push(worker);
        }
        cluster.wait_until_in_touch(record)?;
        Ok(cluster)
    }

    fn spawn(
        &self,
        net: [u8; 2],
        role: &str,
        class: &str,
        host: u8,
        size: Size,
    ) -> io::Result<Process> {
        let ip = Ipv4Addr::new(127, net[0], net[1], host);
        let name = format!("{class}-{host}");
        let data = self.folder.join(&name);
        fs::create_dir_all(&data)?;
        let seeds: Vec<String> = (0..size.controls.min(3))
            .map(|i| {
                let seed = Ipv4Addr::new(127, net[0], net[1], 1 + i);
                format!("\"{seed}:{CONTROL_PLANE}\"")
            })
            .collect();
        let path = self.folder.join(format!("{name}.json"));
        fs::write(
            &path,
            settings(&name, role, class, ip, &data, &seeds.join(",")),
        )?;
        let log = fs::File::create(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(format!("target/release/rw-platform-{role}"))
            .env("REDWINGWICK_CONFIG", &path)
            .env("REDWINGWICK_CLUSTER_SECRET", SECRET)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        Ok(Process { name, ip, child })
    }

    fn wait_until_in_touch(&self, record: &Record) -> io::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        let operator = self.controls[0].control_plane();
        wait("a configuration is acknowledged", until, || {
            put_config(operator).is_some_and(|status| status == 200)
        })?;
        record.line("configuration 7 acknowledged");
        wait("all entries are ready", until, || {
            self.entries.iter().all(|entry| {
                let at = SocketAddr::from((entry.ip, READINESS));
                let answer = http::call(
                    at,
                    "GET",
                    "/-/readyz",
                    "Host: platform\r\n",
                    "",
                    Duration::from_secs(1),
                );
                answer
                    .ok()
                    .flatten()
                    .is_some_and(|answer| answer.status() == 200)
            })
        })?;
        wait("all workers were asked for their lists", until, || {
            self.workers.iter().all(|worker| worker.lists() > 0)
        })?;
        thread::sleep(CONTACT + Duration::from_millis(1000));
        record.line("all machines are in touch");
        Ok(())
    }
}

fn wait<F: FnMut() -> bool>(what: &str, until: Instant, mut done: F) -> io::Result<()> {
    while !done() {
        if Instant::now() >= until {
            return Err(io::Error::other(format!("timed out waiting until {what}")));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Returns the second and third number of a loopback network that no other case uses.
fn free_net() -> io::Result<[u8; 2]> {
    let pid = std::process::id();
    for i in 0..40 {
        let net = [64 + (pid % 60) as u8, ((pid / 60 + i * 7) % 250) as u8];
        let probe = |host: u8, port: u16| {
            TcpListener::bind((Ipv4Addr::new(127, net[0], net[1], host), port)).is_ok()
        };
        if probe(1, CONTROL_PLANE) && probe(50, FRONTEND) && probe(100, APP) && probe(100, PORTS.0)
        {
            return Ok(net);
        }
    }
    Err(io::Error::other("no free loopback network"))
}

fn settings(name: &str, role: &str, class: &str, ip: Ipv4Addr, data: &Path, seeds: &str) -> String {
    let (listen, data_dir, serves) = match class {
        "edge" => (
            format!("\"frontend\":\"{ip}:{FRONTEND}\",\"readiness\":\"{ip}:{READINESS}\""),
            "null".to_owned(),
            "edge",
        ),
        "side" => (
            format!("\"controlPlane\":\"{ip}:{CONTROL_PLANE}\""),
            "null".to_owned(),
            "side",
        ),
        _ => (
            format!("\"controlPlane\":\"{ip}:{CONTROL_PLANE}\""),
            format!("\"{}\"", data.display()),
            "control",
        ),
    };
    let app = if class == "side" {
        format!("\"{ip}:{APP}\"")
    } else {
        "null".to_owned()
    };
    format!(
        "{{\"nodeName\":\"{name}\",\"role\":\"{role}\",\"machineClass\":\"{class}\",\"serves\":[\"{serves}\"],\
         \"ip\":\"{ip}\",\"zone\":\"z-a\",\"region\":\"z\",\"zones\":{{\"z-a\":\"z\"}},\
         \"listen\":{{{listen}}},\"portRange\":[{},{}],\"seedNodes\":[{seeds}],\"bootstrap\":true,\
         \"inTolerance\":{},\"limits\":{{\"cpuQuota\":0.5,\"cores\":1,\"memoryMb\":256,\"maxFds\":4096,\
         \"linkMbps\":1000.0,\"diskMb\":128}},\"dataDir\":{data_dir},\"app\":{app},\"discovery\":\"local\",\
         \"entry\":\"vip\",\"heartbeatMs\":1500,\
         \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"advice\",\"upkeep\",\"sharing\"],\
         \"faultTolerance\":{{\"machines\":1,\"zones\":0,\"regions\":0}},\
         \"bounds\":{{\"seedLagS\":3,\"addrReuseS\":2,\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\
         \"drainMs\":2000,\"graceS\":6,\"lossSlackMs\":200,\"configApplyMs\":2000,\"rollbackSlackMs\":250,\
         \"outerMs\":5000,\"recoveryS\":12,\"maxHoldMs\":1000,\"stopTimeoutMs\":50,\"gangTimeoutMs\":3000,\
         \"cancel_ms\":{CANCEL_MS},\"visible_ms\":3000,\"early_ms\":250,\"finish_s\":14,\"status_s\":120,\
         \"remoteFactor\":1.5,\"checkpointS\":1,\"restoreMs\":600,\"noticeMs\":4500,\"migrationS\":1.5,\
         \"maintenanceS\":2,\"fencingEnabled\":false,\"leaseMs\":3000,\"thawMs\":300,\"paceMs\":100,\
         \"interferenceMs\":4000,\"retransmitMs\":1300}},\"config_mode\":\"highest\",\"controlMode\":\"invocation\"}}",
        PORTS.0,
        PORTS.1,
        class == "core",
    )
}

/// Sends the configuration to a control node, follows redirects, and returns the status.
fn put_config(operator: SocketAddr) -> Option<u16> {
    let body = format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-3hwrr6x\",\"host\":\"{HOST}\",\"pathPrefix\":\"{PREFIX}\",\
         \"kind\":\"non_idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":60,\"priority\":0,\
         \"service\":\"{SERVICE}\",\"maxAttempts\":3,\"slackFactor\":1.6}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":64,\"protocol\":\"h1\",\
         \"tls\":false,\"rejectsOverload\":true,\"standby\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    );
    let mut at = operator;
    for _ in 0..3 {
        let headers = format!("Host: {at}\r\n");
        let sent = http::call(
            at,
            "PUT",
            "/-/config",
            &headers,
            &body,
            Duration::from_secs(1),
        );
        let answer = sent.ok().flatten()?;
        if answer.status() != 307 {
            return Some(answer.status());
        }
        let location = answer.header("location")?;
        at = location
            .strip_prefix("http://")?
            .split('/')
            .next()?
            .parse()
            .ok()?;
    }
    None
}
