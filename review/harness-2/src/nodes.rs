//! The programs of the deploy file as processes on loopback addresses, each with a settings file.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// Port of the worker, of clients, of readiness checks and of the control plane, and the range for links.
pub const APP: u16 = 7009;
pub const FRONTEND: u16 = 7001;
pub const READINESS: u16 = 7002;
pub const CONTROL_PLANE: u16 = 7003;
const PORT_RANGE: (u16, u16) = (7010, 7025);

/// Bounds and limits as the settings of a deployment state them.
pub struct Deployment {
    pub site: &'static str,
    pub machines_lost: u32,
    pub bounds: &'static str,
}

/// From the page of the small deployment.
pub const SMALL: Deployment = Deployment {
    site: "brazos-hallmark",
    machines_lost: 1,
    bounds: r#"{"seedLagS":3,"addrReuseS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":6,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"outerMs":5000,"recoveryS":12,"maxHoldMs":1000,"stopTimeoutMs":50,"gangTimeoutMs":3000,"cancel_ms":3000,"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,"remoteFactor":1.5,"checkpointS":1,"restoreMs":600,"noticeMs":4500,"migrationS":1.5,"maintenanceS":2,"fencingEnabled":false,"leaseMs":3000,"thawMs":300,"paceMs":100,"interferenceMs":4000,"retransmitMs":1300}"#,
};

/// From the page of the grown deployment, with five core machines.
pub const GROWN: Deployment = Deployment {
    site: "brazos-hallmark-grown",
    machines_lost: 2,
    bounds: r#"{"seedLagS":3,"addrReuseS":2,"contactMs":4000,"ackMs":5000,"catchUpS":6,"drainMs":2500,"graceS":6,"lossSlackMs":200,"configApplyMs":2500,"rollbackSlackMs":250,"outerMs":6000,"recoveryS":15,"maxHoldMs":1000,"stopTimeoutMs":50,"gangTimeoutMs":4000,"cancel_ms":4000,"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,"remoteFactor":1.5,"checkpointS":1,"restoreMs":600,"noticeMs":5500,"migrationS":1.5,"maintenanceS":2,"fencingEnabled":false,"leaseMs":3000,"thawMs":300,"paceMs":100,"interferenceMs":4500,"retransmitMs":1300}"#,
};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Role {
    Entry,
    Agent,
    Control,
}

pub struct Node {
    pub role: Role,
    pub host: u8,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Cluster {
    pub folder: PathBuf,
    programs: PathBuf,
    subnet: [u8; 2],
    deployment: &'static Deployment,
    seeds: Vec<SocketAddr>,
    zones: u8,
    pub nodes: Vec<Node>,
}

impl Cluster {
    /// `controls` is the number of control nodes that will be started; the first three are the seeds.
    pub fn new(deployment: &'static Deployment, controls: u8, zones: u8) -> Option<Self> {
        let programs = PathBuf::from("target/release");
        let programs = programs.canonicalize().ok()?;
        let pid = std::process::id();
        let subnet = (0..500u32).find_map(|i| {
            let number = pid.wrapping_mul(7).wrapping_add(i * 13);
            let subnet = [60 + (number / 250 % 100) as u8, (number % 250) as u8];
            let free = (1..8).chain(10..14).chain(30..36).all(|host| {
                let ip = [127, subnet[0], subnet[1], host];
                let ports = [
                    APP,
                    FRONTEND,
                    READINESS,
                    CONTROL_PLANE,
                    PORT_RANGE.0,
                    PORT_RANGE.0 + 1,
                ];
                ports
                    .iter()
                    .all(|port| TcpListener::bind(SocketAddr::from((ip, *port))).is_ok())
            });
            free.then_some(subnet)
        })?;
        let folder = std::env::temp_dir().join(format!("rw-review-2-{pid}"));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).ok()?;
        let mut cluster = Self {
            folder,
            programs,
            subnet,
            deployment,
            seeds: Vec::new(),
            zones,
            nodes: Vec::new(),
        };
        cluster.seeds = (1..=controls.min(3))
            .map(|host| cluster.addr(host, CONTROL_PLANE))
            .collect();
        Some(cluster)
    }

    pub fn addr(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.subnet[0], self.subnet[1], host], port))
    }

    /// Writes the settings of a node and starts it.
    pub fn start(&mut self, role: Role, host: u8, bootstrap: bool) {
        let (name, class, program) = match role {
            Role::Entry => ("entry", "edge", "rw-platform-entry"),
            Role::Agent => ("agent", "side", "rw-platform-agent"),
            Role::Control => ("control", "core", "rw-platform-control"),
        };
        let zone = format!("z{}", host % self.zones);
        let zones: Vec<String> = (0..self.zones).map(|i| format!(r#""z{i}":"r""#)).collect();
        let listen = match role {
            Role::Entry => format!(
                r#"{{"frontend":"{}","readiness":"{}"}}"#,
                self.addr(host, FRONTEND),
                self.addr(host, READINESS)
            ),
            _ => format!(r#"{{"controlPlane":"{}"}}"#, self.addr(host, CONTROL_PLANE)),
        };
        let data = self.folder.join(format!("data-{host}"));
        let data_dir = match role {
            Role::Control => {
                fs::create_dir_all(&data).expect("data folder");
                format!("{:?}", data.display().to_string())
            }
            _ => "null".to_owned(),
        };
        let (quota, memory, fds, disk) = match role {
            Role::Entry => ("0.25", 260, 4100, 0),
            Role::Agent => ("0.15", 128, 4096, 0),
            Role::Control => ("0.5", 256, 4096, 128),
        };
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let app = match role {
            Role::Agent => format!(r#""app":"{}","service":"s","#, self.addr(host, APP)),
            _ => String::new(),
        };
        let text = format!(
            r#"{{"nodeName":"{class}-z-{host}","role":"{name}","machineClass":"{class}","serves":["{class}"],"ip":"{ip}","zone":"{zone}","region":"r","zones":{{{zones}}},"listen":{listen},"portRange":[{first},{last}],"seedNodes":[{seeds}],"bootstrap":{bootstrap},"inTolerance":{counted},"limits":{{"cpuQuota":{quota},"cores":1,"memoryMb":{memory},"maxFds":{fds},"linkMbps":1000.0,"diskMb":{disk}}},"dataDir":{data_dir},"discovery":"local","entry":"vip","heartbeatMs":1500,"contracts":["base","drain","config","cost","recover","sched","advice","upkeep","sharing"],"faultTolerance":{{"machines":{lost},"zones":0,"regions":0}},"bounds":{bounds},"config_mode":"highest","controlMode":"invocation",{app}"advice":"127.0.0.1:9","cloudApi":{{"address":"127.0.0.1:9","ratePerS":60.0,"duties":[],"dutyPerS":60.0}}}}"#,
            ip = self.addr(host, 0).ip(),
            zones = zones.join(","),
            first = PORT_RANGE.0,
            last = PORT_RANGE.1,
            seeds = seeds.join(","),
            counted = role == Role::Control,
            lost = self.deployment.machines_lost,
            bounds = self.deployment.bounds,
        );
        let settings = self.folder.join(format!("{class}-{host}.json"));
        fs::write(&settings, text).expect("settings are written");
        let log = self.folder.join(format!("{class}-{host}.log"));
        let program = self.programs.join(program);
        let child = spawn(&program, &settings, &log);
        self.nodes.retain(|node| node.host != host);
        self.nodes.push(Node {
            role,
            host,
            log,
            child: Some(child),
        });
    }

    pub fn node(&mut self, host: u8) -> &mut Node {
        let node = self.nodes.iter_mut().find(|node| node.host == host);
        node.expect("the node was started")
    }

    /// Kills a node at once, as a loss of power does. Its disk stays.
    pub fn power_off(&mut self, host: u8) {
        self.node(host).end();
    }

    /// Starts a node again on its disk.
    pub fn power_on(&mut self, host: u8) {
        let role = self.node(host).role;
        self.start(role, host, false);
    }

    /// Empties the disk of a node that is off.
    pub fn lose_disk(&mut self, host: u8) {
        let data = self.folder.join(format!("data-{host}"));
        let _ = fs::remove_dir_all(&data);
        fs::create_dir_all(&data).expect("data folder");
    }

    /// Returns the lines of a node's log that hold all of these words.
    pub fn log_lines(&mut self, host: u8, words: &[&str]) -> Vec<String> {
        let text = fs::read_to_string(&self.node(host).log).unwrap_or_default();
        text.lines()
            .filter(|line| words.iter().all(|word| line.contains(word)))
            .map(str::to_owned)
            .collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.end();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Node {
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> Child {
    let open = || {
        let mut options = fs::OpenOptions::new();
        options
            .create(true)
            .append(true)
            .open(log)
            .expect("log opens")
    };
    let mut command = Command::new(program);
    // No process is left behind if this one is killed.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command
        .env_clear()
        .env("REDWINGWICK_CONFIG", settings)
        .env("REDWINGWICK_CLUSTER_SECRET", "change-me-before-production")
        .stdin(Stdio::null())
        .stdout(Stdio::from(open()))
        .stderr(Stdio::from(open()))
        .spawn()
        .expect("the program starts")
}
