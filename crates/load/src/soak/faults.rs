//! Fault injection: a seed determines which faults hit which process and when. Faults can overlap
//! and repeat.

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::time::Duration;

use fastrand::Rng;
use indexmap::IndexMap;
use rustix::process::{Pid, Resource, Rlimit, Signal, prlimit};

use crate::cluster::TestCluster;
use crate::forwarder::Trouble;

use super::{CONTROLS, ENTRIES, WORKERS};

/// Pause between the starts of two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 250..1300;
/// Duration of a fault, in milliseconds.
const LAST_MS: std::ops::Range<u64> = 100..2600;
/// Probability that a fault is repeated after it has ended.
const SERIES: f64 = 0.3;
/// Pause before a fault is repeated.
const SERIES_PAUSE: Duration = Duration::from_millis(300);
/// Maximum number of simultaneous faults; a repeated fault may exceed it.
const MAX_AT_ONCE: usize = 3;
/// Time within which a process must exit after SIGTERM: the longest deadline of a job and a margin.
const END_TIME: Duration = Duration::from_secs(9);
/// A shutdown is checked only if no other fault was active from this long before it until its end.
const CALM: Duration = Duration::from_secs(4);
/// Pause after a storage fault before the next one. A majority of the other control nodes has to
/// replace a lost disk before a further disk may be lost.
const STORAGE_PAUSE: Duration = Duration::from_secs(6);
/// Bytes that a control node can append to its journal before a write fails.
const SPARE_BYTES: std::ops::Range<u64> = 1..600;
/// Length of a torn record, in bytes.
const TORN_BYTES: std::ops::Range<usize> = 1..24;
/// Target names that stand for all control nodes or all agents, which are hit simultaneously.
const ALL_CONTROLS: &str = "controls";
const ALL_AGENTS: &str = "workers";

/// Kind of a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    /// The links of a process are delayed or blocked.
    Link(Trouble),
    /// All links of a process are reset.
    Resets,
    /// A process is suspended (SIGSTOP) and resumed (SIGCONT).
    Freeze,
    /// A process is killed (SIGKILL) and restarted.
    Kill,
    /// A process shuts down in order (SIGTERM) and is restarted.
    Stop,
    /// A control node is killed during a write, so that its journal ends with an incomplete record.
    TornWrite,
    /// The writes of a control node fail once its journal has grown by a few bytes.
    FailedWrite,
    /// A control node is restarted with an empty data folder.
    LostFolder,
}

impl Kind {
    /// Returns the name of the fault in the report and in the list of faults.
    fn name(self) -> &'static str {
        match self {
            Self::Link(Trouble::Delay(_)) => "link delayed",
            Self::Link(Trouble::HoldIn) => "link cut inwards",
            Self::Link(Trouble::HoldOut) => "link cut outwards",
            Self::Link(Trouble::Silence) => "link silent",
            Self::Resets => "links reset",
            Self::Freeze => "frozen",
            Self::Kill => "killed",
            Self::Stop => "told to end",
            Self::TornWrite => "killed with a torn write",
            Self::FailedWrite => "writes fail",
            Self::LostFolder => "folder lost",
        }
    }

    fn strikes_storage(self) -> bool {
        matches!(self, Self::TornWrite | Self::FailedWrite | Self::LostFolder)
    }
}

/// A fault that has not ended yet. `until` is its planned end.
#[derive(Clone, Debug)]
struct Active {
    kind: Kind,
    node: String,
    from: Duration,
    until: Duration,
}

/// A fault that has ended. `until` is its actual end.
#[derive(Clone, Debug)]
struct Past {
    kind: Kind,
    node: String,
    from: Duration,
    until: Duration,
}

/// An orderly shutdown of an entry.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// Index of the entry.
    pub entry: usize,
    /// Time at which the entry got SIGTERM, from the start of the fault injection.
    pub at: Duration,
}

/// Fault injector of one soak test. All times are measured from the start of the fault injection.
#[derive(Debug)]
pub struct Faults {
    rng: Rng,
    /// Time of the next new fault.
    next: Duration,
    active: Vec<Active>,
    past: Vec<Past>,
    /// Faults to be repeated, with the time of the repetition.
    again: Vec<(Duration, Kind, String)>,
    /// Time before which no storage fault is injected.
    storage_after: Duration,
    /// Number of injected faults of each kind.
    pub counts: IndexMap<String, usize>,
    /// Start and end of each fault, with a description.
    pub events: Vec<(Duration, String)>,
    /// Descriptions of processes that did not exit in time after SIGTERM.
    pub violations: Vec<String>,
}

impl Faults {
    /// Creates an injector without active faults.
    pub fn new(rng: Rng) -> Self {
        Self {
            rng,
            next: Duration::from_millis(500),
            active: Vec::new(),
            past: Vec::new(),
            again: Vec::new(),
            storage_after: Duration::from_secs(2),
            counts: IndexMap::new(),
            events: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Ends the faults that have lasted long enough, and injects those that are due. Fails if a
    /// process cannot be restarted or its files cannot be changed.
    pub fn step(&mut self, now: Duration, cluster: &mut TestCluster) -> io::Result<()> {
        self.end_due(now, cluster, false)?;
        let due = self.again.iter().position(|(at, ..)| now >= *at);
        if let Some(i) = due {
            let (_, kind, node) = self.again.swap_remove(i);
            self.strike(now, kind, node, cluster)?;
        }
        if now >= self.next {
            self.next = now + Duration::from_millis(self.rng.u64(PAUSE_MS));
            if self.active.len() < MAX_AT_ONCE {
                let (kind, node) = self.draw();
                self.strike(now, kind, node, cluster)?;
            }
        }
        Ok(())
    }

    /// Ends all faults and restarts the processes that were killed. Waits for processes that are
    /// still shutting down.
    pub fn heal(&mut self, now: Duration, cluster: &mut TestCluster) -> io::Result<()> {
        self.again.clear();
        self.end_due(now, cluster, true)
    }

    /// Picks a random fault, and a target to which it applies.
    fn draw(&mut self) -> (Kind, String) {
        let rng = &mut self.rng;
        let node = match rng.u32(0..10) {
            0..3 => format!("e{}", rng.usize(0..ENTRIES)),
            3..6 if rng.u32(0..8) == 0 => ALL_CONTROLS.into(),
            3..6 => format!("c{}", rng.usize(0..CONTROLS)),
            6..9 if rng.u32(0..16) == 0 => ALL_AGENTS.into(),
            6..9 => format!("w{}", rng.usize(0..WORKERS)),
            _ => format!("b{}", rng.usize(0..WORKERS)),
        };
        let delay = Trouble::Delay(Duration::from_millis(rng.u64(5..120)));
        let kinds: &[Kind] = match &node[..1] {
            _ if node == ALL_CONTROLS || node == ALL_AGENTS => &[Kind::Freeze, Kind::Kill],
            "b" => &[Kind::Freeze, Kind::Kill],
            "c" => &[
                Kind::Link(delay),
                Kind::Link(Trouble::HoldIn),
                Kind::Link(Trouble::HoldOut),
                Kind::Link(Trouble::Silence),
                Kind::Resets,
                Kind::Freeze,
                Kind::Kill,
                Kind::TornWrite,
                Kind::FailedWrite,
                Kind::LostFolder,
            ],
            _ => &[
                Kind::Link(delay),
                Kind::Link(Trouble::HoldIn),
                Kind::Link(Trouble::HoldOut),
                Kind::Link(Trouble::Silence),
                Kind::Resets,
                Kind::Freeze,
                Kind::Kill,
                Kind::Stop,
            ],
        };
        (kinds[rng.usize(0..kinds.len())], node)
    }

    /// Returns whether the fault can be injected beside the active ones.
    fn may_strike(&self, now: Duration, kind: Kind, node: &str) -> bool {
        let struck = processes(node);
        let busy = self.active.iter().any(|active| {
            let processes = processes(&active.node);
            processes.iter().any(|process| struck.contains(process))
        });
        let others = |active: &Active| active.node.starts_with('c');
        let storage = self
            .active
            .iter()
            .any(|active| active.kind.strikes_storage());
        let control = node.starts_with('c');
        // While the disk of one control node is lost or damaged, the others have to be undisturbed.
        let alone =
            kind.strikes_storage() && (now < self.storage_after || self.active.iter().any(others));
        let harmed = control && (storage || now < self.storage_after.saturating_sub(CALM));
        !busy && !alone && !harmed
    }

    /// Injects the fault, unless the active faults rule it out.
    fn strike(
        &mut self,
        now: Duration,
        kind: Kind,
        node: String,
        cluster: &mut TestCluster,
    ) -> io::Result<()> {
        if !self.may_strike(now, kind, &node) {
            return Ok(());
        }
        match kind {
            Kind::Link(trouble) => {
                if let Some(forwarder) = cluster.forwarder(&node) {
                    forwarder.set(Some(trouble));
                }
            }
            Kind::Resets => {
                if let Some(forwarder) = cluster.forwarder(&node) {
                    forwarder.reset();
                }
            }
            Kind::Freeze => {
                for process in processes(&node) {
                    cluster.signal(&process, Signal::STOP);
                }
            }
            Kind::Kill | Kind::LostFolder | Kind::TornWrite => {
                for process in processes(&node) {
                    cluster.kill(&process);
                }
            }
            Kind::Stop => cluster.signal(&node, Signal::TERM),
            Kind::FailedWrite => self.limit_writes(&node, cluster)?,
        }
        match kind {
            Kind::TornWrite => self.tear(&node, cluster)?,
            Kind::LostFolder => empty(&cluster.data(&node))?,
            _ => {}
        }
        let last = Duration::from_millis(self.rng.u64(LAST_MS));
        let until = now + if kind == Kind::Stop { END_TIME } else { last };
        if kind.strikes_storage() {
            self.storage_after = until + STORAGE_PAUSE;
        }
        *self.counts.entry(kind.name().into()).or_default() += 1;
        self.events.push((now, format!("{node}: {}", kind.name())));
        self.active.push(Active {
            kind,
            node,
            from: now,
            until,
        });
        Ok(())
    }

    /// Ends the faults whose time has passed and completed shutdowns, or all faults if `all` is
    /// set.
    fn end_due(&mut self, now: Duration, cluster: &mut TestCluster, all: bool) -> io::Result<()> {
        for active in std::mem::take(&mut self.active) {
            let stopped = active.kind == Kind::Stop && !cluster.is_running(&active.node);
            let waits = active.kind == Kind::Stop && !stopped && now < active.until;
            if waits && all {
                cluster.wait_end(&active.node, active.until.saturating_sub(now));
            } else if !stopped && now < active.until && !all {
                self.active.push(active);
                continue;
            }
            self.end(now, active, cluster)?;
        }
        Ok(())
    }

    /// Ends a fault and restores the processes concerned.
    fn end(&mut self, now: Duration, active: Active, cluster: &mut TestCluster) -> io::Result<()> {
        let Active { kind, node, .. } = &active;
        match kind {
            Kind::Link(_) => {
                if let Some(forwarder) = cluster.forwarder(node) {
                    forwarder.set(None);
                }
            }
            Kind::Resets => {}
            Kind::Freeze => {
                for process in processes(node) {
                    cluster.signal(&process, Signal::CONT);
                }
            }
            Kind::Stop => {
                if cluster.is_running(node) {
                    let violation =
                        format!("{node} did not exit within {END_TIME:?} after SIGTERM");
                    self.violations.push(violation);
                }
                restart(node, cluster)?;
            }
            Kind::Kill | Kind::TornWrite | Kind::FailedWrite | Kind::LostFolder => {
                restart(node, cluster)?;
            }
        }
        self.events
            .push((now, format!("{node}: end of fault: {}", kind.name())));
        if self.rng.f64() < SERIES {
            self.again.push((now + SERIES_PAUSE, *kind, node.clone()));
        }
        self.past.push(Past {
            kind: active.kind,
            node: active.node,
            from: active.from,
            until: now,
        });
        Ok(())
    }

    /// Limits the file size of a process to a few bytes more than its journal has now. The kernel
    /// terminates the process when it writes beyond the limit.
    fn limit_writes(&mut self, node: &str, cluster: &TestCluster) -> io::Result<()> {
        let written = fs::metadata(cluster.data(node).join("journal")).map_or(0, |meta| meta.len());
        let limit = Some(written + self.rng.u64(SPARE_BYTES));
        let pid = cluster.pid(node).and_then(|pid| Pid::from_raw(pid as i32));
        let limits = Rlimit {
            current: limit,
            maximum: limit,
        };
        prlimit(pid, Resource::Fsize, limits)?;
        Ok(())
    }

    /// Appends a few bytes to the journal, such as an unsynced write leaves behind after a power
    /// failure.
    fn tear(&mut self, node: &str, cluster: &TestCluster) -> io::Result<()> {
        let torn: Vec<u8> = (0..self.rng.usize(TORN_BYTES))
            .map(|_| self.rng.u8(..))
            .collect();
        let path = cluster.data(node).join("journal");
        OpenOptions::new().append(true).open(path)?.write_all(&torn)
    }

    /// Returns the shutdowns of entries during which, and shortly before which, no other fault was
    /// active.
    pub fn calm_stops(&self) -> Vec<Stop> {
        let is_stop = |past: &&Past| past.kind == Kind::Stop && past.node.starts_with('e');
        let calm = |stop: &&Past| {
            let near = |other: &&Past| {
                let same = other.node == stop.node && other.from == stop.from;
                !same && other.until + CALM > stop.from && other.from <= stop.until
            };
            !self.past.iter().any(|other| near(&other))
        };
        let stops = self.past.iter().filter(is_stop).filter(calm);
        let stops = stops.filter_map(|stop| {
            Some(Stop {
                entry: stop.node[1..].parse().ok()?,
                at: stop.from,
            })
        });
        stops.collect()
    }
}

/// Returns the names of the processes for which a target name stands.
fn processes(node: &str) -> Vec<String> {
    match node {
        ALL_CONTROLS => (0..CONTROLS).map(|i| format!("c{i}")).collect(),
        ALL_AGENTS => (0..WORKERS).map(|i| format!("w{i}")).collect(),
        one => vec![one.into()],
    }
}

/// Kills the processes of a target, if they still run, and starts them again.
fn restart(node: &str, cluster: &mut TestCluster) -> io::Result<()> {
    for process in processes(node) {
        cluster.kill(&process);
        match process.strip_prefix('b').and_then(|i| i.parse().ok()) {
            Some(i) => cluster.start_backend(i, &[])?,
            None => cluster.start_node(&process)?,
        }
    }
    Ok(())
}

fn empty(folder: &std::path::Path) -> io::Result<()> {
    fs::remove_dir_all(folder)?;
    fs::create_dir_all(folder)
}
