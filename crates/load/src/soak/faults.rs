//! Fault injection: a seed determines which faults affect which processes and when. Faults can
//! overlap and repeat.

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::time::Duration;

use fastrand::Rng;
use indexmap::IndexMap;
use rustix::process::{Pid, Resource, Rlimit, Signal, prlimit};

use crate::cluster::TestCluster;
use crate::forwarder::LinkFault;

use super::{CONTROLS, ENTRIES, WORKERS};

/// Pause between the starts of two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 250..1300;
/// Duration of a fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 100..2600;
/// Probability that a fault is repeated after it has ended.
const REPEAT_PROBABILITY: f64 = 0.3;
/// Pause before a fault is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(300);
/// Maximum number of simultaneous faults; a repeated fault may exceed it.
const MAX_ACTIVE: usize = 3;
/// Time within which a process must exit after SIGTERM: the longest deadline of a job and a margin.
const EXIT_TIMEOUT: Duration = Duration::from_secs(9);
/// A shutdown is checked only if no other fault was active from this long before it until its end.
const ISOLATION_TIME: Duration = Duration::from_secs(4);
/// Pause after a storage fault before the next one. A majority of the other control nodes has to
/// replace a lost disk before a further disk may be lost.
const STORAGE_PAUSE: Duration = Duration::from_secs(6);
/// Bytes that a control node can append to its journal before a write fails.
const SPARE_BYTES: std::ops::Range<u64> = 1..600;
/// Length of a torn record, in bytes.
const TORN_BYTES: std::ops::Range<usize> = 1..24;
/// Targets that comprise all control nodes or all agents; a fault affects these simultaneously.
const ALL_CONTROLS: &str = "controls";
const ALL_AGENTS: &str = "workers";

/// Kind of a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FaultKind {
    /// The links of a process are delayed or blocked.
    Link(LinkFault),
    /// All links of a process are reset.
    ResetLinks,
    /// A process is suspended (SIGSTOP) and resumed (SIGCONT).
    Suspend,
    /// A process is killed (SIGKILL) and restarted.
    Kill,
    /// A process shuts down gracefully (SIGTERM) and is restarted.
    Shutdown,
    /// A control node is killed during a write, so that its journal ends with an incomplete record.
    TornWrite,
    /// The writes of a control node fail once its journal has grown by a few bytes.
    FailWrites,
    /// A control node is restarted with an empty data folder.
    LoseFolder,
}

impl FaultKind {
    /// Returns the name of the fault in the report and in the list of faults.
    fn name(self) -> &'static str {
        match self {
            Self::Link(LinkFault::Delay(_)) => "link delayed",
            Self::Link(LinkFault::BlockInbound) => "link cut inwards",
            Self::Link(LinkFault::BlockOutbound) => "link cut outwards",
            Self::Link(LinkFault::BlockAll) => "link silent",
            Self::ResetLinks => "links reset",
            Self::Suspend => "frozen",
            Self::Kill => "killed",
            Self::Shutdown => "told to end",
            Self::TornWrite => "killed with a torn write",
            Self::FailWrites => "writes fail",
            Self::LoseFolder => "folder lost",
        }
    }

    fn affects_storage(self) -> bool {
        matches!(self, Self::TornWrite | Self::FailWrites | Self::LoseFolder)
    }
}

/// A fault that has not ended yet. `until` is its planned end.
#[derive(Clone, Debug)]
struct ActiveFault {
    kind: FaultKind,
    node: String,
    from: Duration,
    until: Duration,
}

/// A fault that has ended. `until` is its actual end.
#[derive(Clone, Debug)]
struct PastFault {
    kind: FaultKind,
    node: String,
    from: Duration,
    until: Duration,
}

/// A graceful shutdown of an entry.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// Index of the entry.
    pub entry: usize,
    /// Time at which the entry got SIGTERM, from the start of the fault injection.
    pub at: Duration,
}

/// Fault injector of one soak test. All times are measured from the start of the fault injection.
#[derive(Debug)]
pub struct FaultInjector {
    rng: Rng,
    /// Time of the next new fault.
    next_at: Duration,
    active: Vec<ActiveFault>,
    past: Vec<PastFault>,
    /// Faults to be repeated, with the time of the repetition.
    repeats: Vec<(Duration, FaultKind, String)>,
    /// Time before which no storage fault is injected.
    next_storage_at: Duration,
    /// Number of injected faults of each kind.
    pub counts: IndexMap<String, usize>,
    /// Start and end of each fault, with a description.
    pub events: Vec<(Duration, String)>,
    /// Descriptions of processes that did not exit in time after SIGTERM.
    pub violations: Vec<String>,
}

impl FaultInjector {
    /// Creates an injector without active faults.
    pub fn new(rng: Rng) -> Self {
        Self {
            rng,
            next_at: Duration::from_millis(500),
            active: Vec::new(),
            past: Vec::new(),
            repeats: Vec::new(),
            next_storage_at: Duration::from_secs(2),
            counts: IndexMap::new(),
            events: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Ends the faults that have lasted long enough, and injects those that are due. Fails if a
    /// process cannot be restarted or its files cannot be changed.
    pub fn step(&mut self, now: Duration, cluster: &mut TestCluster) -> io::Result<()> {
        self.end_due(now, cluster, false)?;
        let due = self.repeats.iter().position(|(at, ..)| now >= *at);
        if let Some(i) = due {
            let (_, kind, node) = self.repeats.swap_remove(i);
            self.inject(now, kind, node, cluster)?;
        }
        if now >= self.next_at {
            self.next_at = now + Duration::from_millis(self.rng.u64(PAUSE_MS));
            if self.active.len() < MAX_ACTIVE {
                let (kind, node) = self.pick_fault();
                self.inject(now, kind, node, cluster)?;
            }
        }
        Ok(())
    }

    /// Ends all faults and restarts the processes that were killed. Waits for processes that are
    /// still shutting down.
    pub fn end_all(&mut self, now: Duration, cluster: &mut TestCluster) -> io::Result<()> {
        self.repeats.clear();
        self.end_due(now, cluster, true)
    }

    /// Picks a random fault, and a target to which it applies.
    fn pick_fault(&mut self) -> (FaultKind, String) {
        let rng = &mut self.rng;
        let node = match rng.u32(0..10) {
            0..3 => format!("e{}", rng.usize(0..ENTRIES)),
            3..6 if rng.u32(0..8) == 0 => ALL_CONTROLS.into(),
            3..6 => format!("c{}", rng.usize(0..CONTROLS)),
            6..9 if rng.u32(0..16) == 0 => ALL_AGENTS.into(),
            6..9 => format!("w{}", rng.usize(0..WORKERS)),
            _ => format!("b{}", rng.usize(0..WORKERS)),
        };
        let delay = LinkFault::Delay(Duration::from_millis(rng.u64(5..120)));
        let kinds: &[FaultKind] = match &node[..1] {
            _ if node == ALL_CONTROLS || node == ALL_AGENTS => {
                &[FaultKind::Suspend, FaultKind::Kill]
            }
            "b" => &[FaultKind::Suspend, FaultKind::Kill],
            "c" => &[
                FaultKind::Link(delay),
                FaultKind::Link(LinkFault::BlockInbound),
                FaultKind::Link(LinkFault::BlockOutbound),
                FaultKind::Link(LinkFault::BlockAll),
                FaultKind::ResetLinks,
                FaultKind::Suspend,
                FaultKind::Kill,
                FaultKind::TornWrite,
                FaultKind::FailWrites,
                FaultKind::LoseFolder,
            ],
            _ => &[
                FaultKind::Link(delay),
                FaultKind::Link(LinkFault::BlockInbound),
                FaultKind::Link(LinkFault::BlockOutbound),
                FaultKind::Link(LinkFault::BlockAll),
                FaultKind::ResetLinks,
                FaultKind::Suspend,
                FaultKind::Kill,
                FaultKind::Shutdown,
            ],
        };
        (kinds[rng.usize(0..kinds.len())], node)
    }

    /// Returns whether the fault can be injected beside the active ones.
    fn is_allowed(&self, now: Duration, kind: FaultKind, node: &str) -> bool {
        let targets = process_names(node);
        let busy = self.active.iter().any(|active| {
            let processes = process_names(&active.node);
            processes.iter().any(|process| targets.contains(process))
        });
        let on_control = |active: &ActiveFault| active.node.starts_with('c');
        let storage_fault = self
            .active
            .iter()
            .any(|active| active.kind.affects_storage());
        let control = node.starts_with('c');
        // While the disk of one control node is lost or damaged, the others have to be undisturbed.
        let must_wait = kind.affects_storage()
            && (now < self.next_storage_at || self.active.iter().any(on_control));
        let disturbs_storage_fault =
            control && (storage_fault || now < self.next_storage_at.saturating_sub(ISOLATION_TIME));
        !busy && !must_wait && !disturbs_storage_fault
    }

    /// Injects the fault, unless the active faults rule it out.
    fn inject(
        &mut self,
        now: Duration,
        kind: FaultKind,
        node: String,
        cluster: &mut TestCluster,
    ) -> io::Result<()> {
        if !self.is_allowed(now, kind, &node) {
            return Ok(());
        }
        match kind {
            FaultKind::Link(fault) => {
                if let Some(forwarder) = cluster.forwarder(&node) {
                    forwarder.set_fault(Some(fault));
                }
            }
            FaultKind::ResetLinks => {
                if let Some(forwarder) = cluster.forwarder(&node) {
                    forwarder.reset_connections();
                }
            }
            FaultKind::Suspend => {
                for process in process_names(&node) {
                    cluster.signal(&process, Signal::STOP);
                }
            }
            FaultKind::Kill | FaultKind::LoseFolder | FaultKind::TornWrite => {
                for process in process_names(&node) {
                    cluster.kill(&process);
                }
            }
            FaultKind::Shutdown => cluster.signal(&node, Signal::TERM),
            FaultKind::FailWrites => self.limit_writes(&node, cluster)?,
        }
        match kind {
            FaultKind::TornWrite => self.append_torn_record(&node, cluster)?,
            FaultKind::LoseFolder => clear_folder(&cluster.data_dir(&node))?,
            _ => {}
        }
        let duration = Duration::from_millis(self.rng.u64(DURATION_MS));
        let until = now
            + if kind == FaultKind::Shutdown {
                EXIT_TIMEOUT
            } else {
                duration
            };
        if kind.affects_storage() {
            self.next_storage_at = until + STORAGE_PAUSE;
        }
        *self.counts.entry(kind.name().into()).or_default() += 1;
        self.events.push((now, format!("{node}: {}", kind.name())));
        self.active.push(ActiveFault {
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
            let has_exited =
                active.kind == FaultKind::Shutdown && !cluster.is_running(&active.node);
            let is_shutting_down =
                active.kind == FaultKind::Shutdown && !has_exited && now < active.until;
            if is_shutting_down && all {
                cluster.wait_for_exit(&active.node, active.until.saturating_sub(now));
            } else if !has_exited && now < active.until && !all {
                self.active.push(active);
                continue;
            }
            self.end(now, active, cluster)?;
        }
        Ok(())
    }

    /// Ends a fault and restores the processes concerned.
    fn end(
        &mut self,
        now: Duration,
        active: ActiveFault,
        cluster: &mut TestCluster,
    ) -> io::Result<()> {
        let ActiveFault { kind, node, .. } = &active;
        match kind {
            FaultKind::Link(_) => {
                if let Some(forwarder) = cluster.forwarder(node) {
                    forwarder.set_fault(None);
                }
            }
            FaultKind::ResetLinks => {}
            FaultKind::Suspend => {
                for process in process_names(node) {
                    cluster.signal(&process, Signal::CONT);
                }
            }
            FaultKind::Shutdown => {
                if cluster.is_running(node) {
                    let violation =
                        format!("{node} did not exit within {EXIT_TIMEOUT:?} after SIGTERM");
                    self.violations.push(violation);
                }
                restart(node, cluster)?;
            }
            FaultKind::Kill
            | FaultKind::TornWrite
            | FaultKind::FailWrites
            | FaultKind::LoseFolder => {
                restart(node, cluster)?;
            }
        }
        self.events
            .push((now, format!("{node}: end of fault: {}", kind.name())));
        if self.rng.f64() < REPEAT_PROBABILITY {
            self.repeats.push((now + REPEAT_PAUSE, *kind, node.clone()));
        }
        self.past.push(PastFault {
            kind: active.kind,
            node: active.node,
            from: active.from,
            until: now,
        });
        Ok(())
    }

    /// Limits the file size of a process to a few bytes more than its journal has now. Writes beyond
    /// the limit fail.
    fn limit_writes(&mut self, node: &str, cluster: &TestCluster) -> io::Result<()> {
        let written =
            fs::metadata(cluster.data_dir(node).join("journal")).map_or(0, |meta| meta.len());
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
    fn append_torn_record(&mut self, node: &str, cluster: &TestCluster) -> io::Result<()> {
        let torn: Vec<u8> = (0..self.rng.usize(TORN_BYTES))
            .map(|_| self.rng.u8(..))
            .collect();
        let path = cluster.data_dir(node).join("journal");
        OpenOptions::new().append(true).open(path)?.write_all(&torn)
    }

    /// Returns the shutdowns of entries during which, and shortly before which, no other fault was
    /// active.
    pub fn isolated_shutdowns(&self) -> Vec<Shutdown> {
        let is_shutdown =
            |past: &&PastFault| past.kind == FaultKind::Shutdown && past.node.starts_with('e');
        let is_isolated = |shutdown: &&PastFault| {
            let is_near = |other: &&PastFault| {
                let is_same = other.node == shutdown.node && other.from == shutdown.from;
                !is_same
                    && other.until + ISOLATION_TIME > shutdown.from
                    && other.from <= shutdown.until
            };
            !self.past.iter().any(|other| is_near(&other))
        };
        let shutdowns = self.past.iter().filter(is_shutdown).filter(is_isolated);
        let shutdowns = shutdowns.filter_map(|shutdown| {
            Some(Shutdown {
                entry: shutdown.node[1..].parse().ok()?,
                at: shutdown.from,
            })
        });
        shutdowns.collect()
    }
}

/// Returns the names of the processes of a target.
fn process_names(node: &str) -> Vec<String> {
    match node {
        ALL_CONTROLS => (0..CONTROLS).map(|i| format!("c{i}")).collect(),
        ALL_AGENTS => (0..WORKERS).map(|i| format!("w{i}")).collect(),
        one => vec![one.into()],
    }
}

/// Kills the processes of a target, if they still run, and starts them again.
fn restart(node: &str, cluster: &mut TestCluster) -> io::Result<()> {
    for process in process_names(node) {
        cluster.kill(&process);
        match process.strip_prefix('b').and_then(|i| i.parse().ok()) {
            Some(i) => cluster.start_backend(i, &[])?,
            None => cluster.start_node(&process)?,
        }
    }
    Ok(())
}

fn clear_folder(folder: &std::path::Path) -> io::Result<()> {
    fs::remove_dir_all(folder)?;
    fs::create_dir_all(folder)
}
