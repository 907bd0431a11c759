//! A test cluster of real processes on loopback, with its files in a temporary folder. Only tests
//! and benchmarks start processes; the programs of the system never do.

mod operator;
mod probe;

use std::fmt::Write as _;
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use attohttpc::ProxySettings;
use indexmap::IndexMap;
use rustix::process::{Pid, Signal, kill_process};
use rw_core::config::{Change, ChangeRequest, Service, Tenant};
use rw_host::http::token_hash;
use serde_json::Value;

use crate::forwarder::Forwarder;

pub use operator::{OperatorClient, change_request};

/// Token of the operator in a test cluster.
pub const OPERATOR_TOKEN: &str = "lab-operator";
/// Token of the callers in a test cluster, valid for all tenants.
pub const CALLER_TOKEN: &str = "lab-caller";
/// Name of the service in a test cluster.
pub const SERVICE: &str = "lab";
const SECRET: &str = "laboratory-secret-0123456789";
/// Range of the ports. It lies below the ephemeral ports, which the kernel assigns to outgoing
/// connections.
const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 30_000;
/// Number of consecutive ports of a node: link, gossip, HTTP, backend server and forwarder.
const PORTS_PER_NODE: u16 = 5;
/// Offset of the forwarder's port from the first port of its node.
const FORWARDER_OFFSET: u16 = 4;

/// Number of port ranges that were tried in this process.
static NEXT_RANGE: AtomicU16 = AtomicU16::new(0);

/// Size and settings of a test cluster.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Number of control nodes, named `c0`, `c1` and so on.
    pub controls: usize,
    /// Number of entries, named `e0`, `e1` and so on.
    pub entries: usize,
    /// Relative speed of each worker's backend server. Agents are named `w0`, `w1` and so on, and
    /// their backend servers `b0`, `b1` and so on.
    pub speeds: Vec<f64>,
    /// Number of failure domains over which the nodes of each kind are spread.
    pub domains: usize,
    /// Number of tasks that a backend server runs at once.
    pub slots: u32,
    /// Additional settings of the entries, in TOML.
    pub entry_settings: String,
    /// Additional settings of the agents, in TOML.
    pub agent_settings: String,
    /// Names of the tenants and their weights.
    pub tenants: Vec<(&'static str, u32)>,
    /// Whether there is a forwarder in front of each node's link port.
    pub forwarders: bool,
}

impl Default for ClusterPlan {
    fn default() -> Self {
        Self {
            controls: 1,
            entries: 2,
            speeds: vec![1.0; 3],
            domains: 3,
            slots: 8,
            entry_settings: String::new(),
            agent_settings: String::new(),
            tenants: vec![("t1", 1)],
            forwarders: false,
        }
    }
}

/// A running test cluster. When it is dropped, its processes are killed, and its folder is removed
/// unless the thread panics or [`TestCluster::keep_folder`] was called.
#[derive(Debug)]
pub struct TestCluster {
    /// Folder with settings, logs, journals and data.
    pub dir: PathBuf,
    plan: ClusterPlan,
    bin_dir: PathBuf,
    ports: IndexMap<String, u16>,
    children: IndexMap<String, Child>,
    forwarders: IndexMap<String, Forwarder>,
    folder_kept: bool,
}

impl TestCluster {
    /// Starts the cluster, configures its service and tenants, and waits until every entry is ready
    /// and the placement of shards is complete. Fails if either takes longer than 30 s.
    pub fn start(plan: ClusterPlan) -> io::Result<Self> {
        let mut cluster = Self::prepare(plan)?;
        cluster.spawn("c0", "rw-control", &["--init"])?.wait()?;
        for i in 0..cluster.plan.controls {
            cluster.start_node(&format!("c{i}"))?;
        }
        for i in 0..cluster.plan.entries {
            cluster.start_node(&format!("e{i}"))?;
        }
        for i in 0..cluster.plan.speeds.len() {
            cluster.start_node(&format!("w{i}"))?;
            cluster.start_backend(i, &[])?;
        }
        cluster.configure()?;
        for i in 0..cluster.plan.entries {
            cluster.wait_ready(&format!("e{i}"), Duration::from_secs(30))?;
        }
        cluster.wait_for(
            Duration::from_secs(30),
            "placement of shards",
            TestCluster::is_placement_complete,
        )?;
        std::thread::sleep(Duration::from_millis(700));
        Ok(cluster)
    }

    fn prepare(plan: ClusterPlan) -> io::Result<Self> {
        let id = fastrand::u32(..);
        let dir = std::env::temp_dir().join(format!("redwingwick-lab-{}-{id}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let exe = std::env::current_exe()?;
        let folder = exe.parent().map(Path::to_path_buf).unwrap_or_default();
        let bin_dir = if folder.ends_with("deps") {
            folder.join("..")
        } else {
            folder
        };
        let mut cluster = Self {
            dir,
            plan,
            bin_dir,
            ports: IndexMap::new(),
            children: IndexMap::new(),
            forwarders: IndexMap::new(),
            folder_kept: false,
        };
        let names = |letter: char, count: usize| (0..count).map(move |i| format!("{letter}{i}"));
        let controls: Vec<String> = names('c', cluster.plan.controls).collect();
        let others = names('e', cluster.plan.entries).chain(names('w', cluster.plan.speeds.len()));
        for name in controls.iter().cloned().chain(others).collect::<Vec<_>>() {
            cluster.ports.insert(name, find_free_ports()?);
        }
        for name in cluster.ports.keys().cloned().collect::<Vec<_>>() {
            cluster.write_settings(&name, &controls)?;
            if cluster.plan.forwarders {
                let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
                let (listen, target) = (cluster.advertised_port(&name), cluster.port(&name));
                let forwarder = Forwarder::start(loopback(listen), loopback(target))?;
                cluster.forwarders.insert(name, forwarder);
            }
        }
        Ok(cluster)
    }

    fn write_settings(&self, name: &str, controls: &[String]) -> io::Result<()> {
        let port = self.port(name);
        let number: usize = name[1..].parse().unwrap_or(0);
        let seeds: Vec<String> = controls
            .iter()
            .map(|c| format!("\"127.0.0.1:{}\"", self.port(c) + 1))
            .collect();
        let mut text = format!(
            "[node]\nname = \"{name}\"\ndomain = \"d{}\"\nlink = \"127.0.0.1:{port}\"\n\
             advertise = \"127.0.0.1:{}\"\ngossip = \"127.0.0.1:{}\"\nhttp = \"127.0.0.1:{}\"\nseeds = [{}]\n\
             cluster_secret = \"{SECRET}\"\n[log]\nlevel = \"info\"\n",
            number % self.plan.domains.max(1),
            self.advertised_port(name),
            port + 1,
            port + 2,
            seeds.join(", "),
        );
        match &name[..1] {
            "c" => {
                let data = self.data_dir(name);
                fs::create_dir_all(&data)?;
                let hash = token_hash(OPERATOR_TOKEN);
                let _ = writeln!(
                    text,
                    "[control]\ndata = \"{}\"\noperator_token_hashes = [\"{hash}\"]",
                    data.display()
                );
                let _ = writeln!(text, "[control.peers]");
                for control in controls {
                    let _ = writeln!(
                        text,
                        "{control} = \"127.0.0.1:{}\"",
                        self.advertised_port(control)
                    );
                }
            }
            "e" => text.push_str(&self.plan.entry_settings),
            _ => text.push_str(&self.plan.agent_settings),
        }
        fs::write(self.settings_path(name), text)
    }

    fn settings_path(&self, name: &str) -> PathBuf {
        self.dir.join(format!("{name}.toml"))
    }

    /// Returns the port at which other nodes link to a node: that of its forwarder, if it has one.
    fn advertised_port(&self, name: &str) -> u16 {
        let offset = if self.plan.forwarders {
            FORWARDER_OFFSET
        } else {
            0
        };
        self.port(name) + offset
    }

    /// Returns the forwarder in front of a node's link port, if any.
    pub fn forwarder(&self, name: &str) -> Option<&Forwarder> {
        self.forwarders.get(name)
    }

    fn port(&self, name: &str) -> u16 {
        self.ports.get(name).copied().unwrap_or(0)
    }

    /// Returns the HTTP address of a node as `host:port`.
    pub fn http_addr(&self, name: &str) -> String {
        format!("127.0.0.1:{}", self.port(name) + 2)
    }

    /// Returns the link address of a node as `host:port`, without its forwarder.
    pub fn link_addr(&self, name: &str) -> String {
        format!("127.0.0.1:{}", self.port(name))
    }

    /// Returns the gossip address of a node as `host:port`.
    pub fn gossip_addr(&self, name: &str) -> String {
        format!("127.0.0.1:{}", self.port(name) + 1)
    }

    /// Returns the HTTP addresses of all entries as `host:port`.
    pub fn entry_addrs(&self) -> Vec<String> {
        (0..self.plan.entries)
            .map(|i| self.http_addr(&format!("e{i}")))
            .collect()
    }

    /// Returns the data folder of a control node.
    pub fn data_dir(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    /// Keeps the folder when the cluster is dropped. Returns its path.
    pub fn keep_folder(&mut self) -> PathBuf {
        self.folder_kept = true;
        self.dir.clone()
    }

    /// Returns the names of all processes that were started and have not been killed or waited for.
    pub fn process_names(&self) -> Vec<String> {
        self.children.keys().cloned().collect()
    }

    /// Starts a program and appends its standard error to the process's log file.
    fn spawn(&self, name: &str, program: &str, args: &[&str]) -> io::Result<Child> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{name}.log")))?;
        let mut command = Command::new(self.bin_dir.join(program));
        if program != "rw-backend" {
            command.arg("--settings").arg(self.settings_path(name));
        }
        command.args(args).stdout(Stdio::null()).stderr(log).spawn()
    }

    /// Starts a control node, an entry or an agent. The first letter of the name determines which.
    /// Fails if the program cannot be executed.
    pub fn start_node(&mut self, name: &str) -> io::Result<()> {
        let program = match &name[..1] {
            "c" => "rw-control",
            "e" => "rw-entry",
            _ => "rw-agent",
        };
        let child = self.spawn(name, program, &[])?;
        self.children.insert(name.into(), child);
        Ok(())
    }

    /// Starts the backend server of a worker with additional arguments. Fails if the program cannot
    /// be executed.
    pub fn start_backend(&mut self, i: usize, extra_args: &[&str]) -> io::Result<()> {
        let (worker, name) = (format!("w{i}"), format!("b{i}"));
        let listen = format!("127.0.0.1:{}", self.port(&worker) + 3);
        let agent = self.http_addr(&worker);
        let (speed, slots) = (self.plan.speeds[i].to_string(), self.plan.slots.to_string());
        let journal = self
            .dir
            .join(format!("starts-{name}"))
            .display()
            .to_string();
        let mut args = vec![
            "--listen",
            &listen,
            "--agent",
            &agent,
            "--name",
            &name,
            "--service",
            SERVICE,
            "--speed",
            &speed,
            "--slots",
            &slots,
            "--journal",
            &journal,
        ];
        args.extend(extra_args);
        let child = self.spawn(&name, "rw-backend", &args)?;
        self.children.insert(name, child);
        Ok(())
    }

    /// Sends a signal to a process; does nothing if it does not run.
    pub fn signal(&self, name: &str, signal: Signal) {
        let pid = self
            .children
            .get(name)
            .and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills a process with SIGKILL and waits for its end; does nothing if it was not started.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.children.swap_remove(name) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for a process to exit. Returns whether its exit status was successful, or `None` if it
    /// did not exit in time or was not started.
    pub fn wait_for_exit(&mut self, name: &str, time: Duration) -> Option<bool> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if let Some(status) = self.children.get_mut(name)?.try_wait().ok()? {
                self.children.swap_remove(name);
                return Some(status.success());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Returns whether a process is running.
    pub fn is_running(&mut self, name: &str) -> bool {
        self.children
            .get_mut(name)
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the process id of a process, or `None` if it was not started.
    pub fn pid(&self, name: &str) -> Option<u32> {
        self.children.get(name).map(Child::id)
    }

    /// Creates the service and the tenants.
    fn configure(&self) -> io::Result<()> {
        self.change(Change::PutService {
            name: SERVICE.into(),
            service: Service::default(),
        })?;
        for (name, weight) in &self.plan.tenants {
            let token_hashes = vec![token_hash(CALLER_TOKEN)];
            let tenant = Tenant {
                weight: *weight,
                rate: 0,
                concurrency: 0,
                token_hashes,
            };
            self.change(Change::PutTenant {
                name: (*name).into(),
                tenant,
            })?;
        }
        Ok(())
    }

    /// Returns an operator's client for the control nodes of this cluster.
    pub fn operator(&self) -> OperatorClient {
        let controls = 0..self.plan.controls;
        OperatorClient::new(controls.map(|i| self.http_addr(&format!("c{i}"))).collect())
    }

    /// Sends a change that overrides earlier changes of the same object. Returns the new revision,
    /// or the errors of [`OperatorClient::send_change`].
    pub fn change(&self, change: Change) -> io::Result<u64> {
        self.operator().change(change)
    }

    /// Sends a change request to the control nodes. See [`OperatorClient::send_change`].
    pub fn send_change(&self, req: &ChangeRequest) -> io::Result<u64> {
        self.operator().send_change(req)
    }

    /// Returns the status as confirmed by the leader, or `None` if there is no answer within
    /// `time`.
    pub fn confirmed_status(&self, time: Duration) -> Option<Value> {
        self.operator().confirmed_status(time)
    }

    /// Returns the unconfirmed status of the first control node that answers.
    pub fn status(&self) -> Option<Value> {
        self.operator().status()
    }

    /// Returns whether all shards are settled.
    fn is_placement_complete(&self) -> bool {
        let Some(status) = self.status() else {
            return false;
        };
        let shards = status["state"]["shards"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        !shards.is_empty()
            && shards
                .iter()
                .all(|shard| shard["settled"] == Value::Bool(true))
    }

    /// Waits until a node reports that it is ready. Fails if it does not within `time`.
    pub fn wait_ready(&self, name: &str, time: Duration) -> io::Result<()> {
        let url = format!("http://{}/readyz", self.http_addr(name));
        self.wait_for(time, name, |_| {
            matches!(http_request("GET", &url, "", None), Ok((200, _)))
        })
    }

    /// Waits until a condition is met. Fails if it is not met within `time`; the error names
    /// `description` and the folder of the cluster.
    pub fn wait_for<F>(&self, time: Duration, description: &str, is_met: F) -> io::Result<()>
    where
        F: Fn(&Self) -> bool,
    {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if is_met(self) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!(
            "{description}: condition not met within {time:?}, logs are in {}",
            self.dir.display()
        )))
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        for name in self.process_names() {
            self.kill(&name);
        }
        if !std::thread::panicking() && !self.folder_kept {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Returns the first of [`PORTS_PER_NODE`] consecutive free ports. The search starts at a port that
/// depends on the process id, so that tests in several processes rarely collide.
fn find_free_ports() -> io::Result<u16> {
    let count = (LAST_PORT - FIRST_PORT) / PORTS_PER_NODE;
    let seed = (std::process::id() as u16).wrapping_mul(37) % count;
    for _ in 0..count {
        let at = (seed + NEXT_RANGE.fetch_add(1, Ordering::Relaxed)) % count;
        let port = FIRST_PORT + at * PORTS_PER_NODE;
        if (port..port + PORTS_PER_NODE).all(|port| TcpListener::bind(("127.0.0.1", port)).is_ok())
        {
            return Ok(port);
        }
    }
    Err(io::Error::other("no free range of TCP ports for a node"))
}

/// Sends an HTTP request with a bearer token. Methods other than `POST` and `DELETE` are sent as
/// `GET`. Returns the status and the body, or an error if the connection fails or 8 s have passed.
pub fn http_request(
    method: &str,
    url: &str,
    token: &str,
    body: Option<&str>,
) -> attohttpc::Result<(u16, String)> {
    let req = match method {
        "POST" => attohttpc::post(url),
        "DELETE" => attohttpc::delete(url),
        _ => attohttpc::get(url),
    };
    let req = req
        .connect_timeout(Duration::from_secs(1))
        .timeout(Duration::from_secs(8))
        .proxy_settings(ProxySettings::builder().build())
        .header("Authorization", format!("Bearer {token}"));
    let response = match body {
        Some(body) => req.text(body).send()?,
        None => req.send()?,
    };
    Ok((response.status().as_u16(), response.text()?))
}
