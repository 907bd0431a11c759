//! A cluster of control servers whose machines fall silent, lose their disks, and are replaced and
//! added. Messages of a link arrive late but in order; a silent machine neither sends nor receives.

#[path = "losses/disturbances.rs"]
mod disturbances;

use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use indexmap::IndexMap;
use rw_core::config::{Change, ChangeRequest};
use rw_core::ids::Name;
use rw_core::journal::Record;
use rw_core::pool::catalog::Catalog;
use rw_core::raft::{Command, Effects, Raft, RaftMsg, VoterId};
use uuid::Uuid;

use crate::support::raft::TICK;

/// Interval at which changes are proposed.
const PROPOSAL_INTERVAL: Duration = Duration::from_millis(300);
/// Longest time that a message is under way.
const MAX_DELAY: Duration = Duration::from_millis(40);
/// Low, so that servers catch up from snapshots too.
const COMPACT_AFTER: usize = 20;

struct Machine {
    id: VoterId,
    disk: Vec<Record>,
    /// `None` while it is down.
    raft: Option<Raft>,
    /// When it starts if it is down, or is heard again if it is silent.
    back_at: Option<Instant>,
    /// When it ends for good.
    ends_at: Option<Instant>,
    /// It runs, but its messages are lost.
    is_cut: bool,
}

/// A lost disk that has not been replaced yet.
struct LostDisk {
    id: VoterId,
    /// The disk that replaces it; `None` if the machine ended for good without a successor.
    successor: Option<VoterId>,
    /// Until when it counts as lost in any case.
    until: Instant,
}

struct InFlight {
    from: Name,
    to: Name,
    at: Instant,
    msg: RaftMsg,
}

/// A cluster with simulated network, time and disks.
pub struct Losses {
    now: Instant,
    rng: Rng,
    machines: IndexMap<Name, Machine>,
    in_flight: Vec<InFlight>,
    /// Number of machines at the start.
    size: usize,
    /// Number of disks that the servers are told may be lost at a time.
    tolerated: usize,
    /// Number of disks that may be lost at a time.
    outlived: usize,
    lost: Vec<LostDisk>,
    /// Versions under way, by request id.
    proposed: IndexMap<Uuid, u64>,
    last_version: u64,
    newest_acked: u64,
    acked: usize,
    next_proposal: Instant,
    last_disk: u64,
    last_name: usize,
}

impl Losses {
    /// Starts a cluster of three founders, which the other servers join.
    pub fn with_founders(size: usize, seed: u64) -> Self {
        let mut losses = Self {
            now: Instant::now(),
            rng: Rng::with_seed(seed),
            machines: IndexMap::new(),
            in_flight: Vec::new(),
            size,
            tolerated: (size - 1) / 2,
            outlived: (size - 1) / 2,
            lost: Vec::new(),
            proposed: IndexMap::new(),
            last_version: 0,
            newest_acked: 0,
            acked: 0,
            next_proposal: Instant::now(),
            last_disk: 0,
            last_name: 0,
        };
        let ids: Vec<VoterId> = (0..size).map(|_| losses.new_machine_id()).collect();
        let founders = &ids[..3];
        for id in &ids {
            let records = if founders.contains(id) {
                Raft::bootstrap_records_with_voters(id, founders)
            } else {
                vec![Record::Identity(id.clone())]
            };
            losses.add(id.clone(), records, Duration::ZERO);
        }
        losses
    }

    /// Starts a cluster, which has admitted all its servers.
    pub fn founded(size: usize, seed: u64) -> Self {
        let mut losses = Self::with_founders(size, seed);
        let admitted = losses.run_until(Duration::from_secs(5), Self::is_whole);
        assert!(admitted.is_some(), "{}", losses.describe());
        losses
    }

    fn new_machine_id(&mut self) -> VoterId {
        self.last_name += 1;
        let name = format!("n{}", self.last_name);
        self.new_disk_id(name.as_str().into())
    }

    fn new_disk_id(&mut self, name: Name) -> VoterId {
        self.last_disk += 1;
        VoterId {
            name,
            disk: self.last_disk,
        }
    }

    /// Adds a machine that starts after a time.
    fn add(&mut self, id: VoterId, disk: Vec<Record>, after: Duration) {
        let machine = Machine {
            id: id.clone(),
            disk,
            raft: None,
            back_at: Some(self.now + after),
            ends_at: None,
            is_cut: false,
        };
        self.machines.insert(id.name, machine);
    }

    fn duration(&mut self, max: Duration) -> Duration {
        Duration::from_millis(self.rng.u64(0..=max.as_millis() as u64))
    }

    pub fn run(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Runs until a condition holds, for at most `time`. Returns the time that it took.
    pub fn run_until<F>(&mut self, time: Duration, mut holds: F) -> Option<Duration>
    where
        F: FnMut(&Self) -> bool,
    {
        let start = self.now;
        while self.now - start < time {
            self.step();
            if holds(self) {
                return Some(self.now - start);
            }
        }
        None
    }

    fn step(&mut self) {
        self.now += TICK;
        let now = self.now;
        self.machines
            .retain(|_, machine| machine.ends_at.is_none_or(|at| now < at));
        let allowed: Vec<Name> = self.machines.keys().cloned().collect();
        for name in &allowed {
            let machine = &mut self.machines[name];
            if machine.back_at.is_some_and(|at| now >= at) {
                machine.back_at = None;
                machine.is_cut = false;
                if machine.raft.is_none() {
                    let rng = Rng::with_seed(self.rng.u64(..));
                    let records = machine.disk.clone();
                    let mut raft = Raft::new(machine.id.clone(), Vec::new(), records, now, rng);
                    raft.set_tolerated_losses(self.tolerated);
                    raft.set_compact_after(COMPACT_AFTER);
                    machine.raft = Some(raft);
                }
            }
            self.with_server(name, |raft, now, effects| {
                raft.set_allowed(allowed.clone());
                raft.tick(now, effects);
            });
        }
        self.deliver();
        if now >= self.next_proposal {
            self.next_proposal = now + PROPOSAL_INTERVAL;
            self.propose();
        }
        self.note_repairs();
        self.check_leader();
    }

    fn deliver(&mut self) {
        // Handling a message sends further ones, which arrive in a later step.
        for sent in std::mem::take(&mut self.in_flight) {
            if sent.at > self.now {
                self.in_flight.push(sent);
            } else if self.is_heard(&sent.from) && self.is_heard(&sent.to) {
                self.with_server(&sent.to, |raft, now, effects| {
                    raft.on_msg(now, sent.msg, effects);
                });
            }
        }
    }

    /// Returns whether messages from and to a machine arrive.
    fn is_heard(&self, name: &Name) -> bool {
        let machine = self.machines.get(name);
        machine.is_some_and(|machine| machine.back_at.is_none())
    }

    /// Lets a server that runs work, saves its records and sends its messages.
    fn with_server<F>(&mut self, name: &Name, work: F)
    where
        F: FnOnce(&mut Raft, Instant, &mut Effects),
    {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let is_frozen = machine.back_at.is_some() && !machine.is_cut;
        let Some(raft) = machine.raft.as_mut().filter(|_| !is_frozen) else {
            return;
        };
        let mut effects = Effects::default();
        work(raft, self.now, &mut effects);
        if effects.compact {
            machine.disk = raft.journal();
        } else {
            machine.disk.append(&mut effects.records);
        }
        for (to, msg) in effects.send {
            let is_link = |other: &&InFlight| other.from == *name && other.to == to;
            let before = self.in_flight.iter().filter(is_link).map(|other| other.at);
            let delay = Duration::from_millis(self.rng.u64(0..=MAX_DELAY.as_millis() as u64));
            let at = before.max().max(Some(self.now + delay));
            self.in_flight.push(InFlight {
                from: name.clone(),
                at: at.unwrap_or(self.now),
                to,
                msg,
            });
        }
        for (id, _) in effects.outcomes {
            self.on_acknowledged(id);
        }
    }

    /// Checks that a committed change rests on enough disks: a majority that outlives the tolerated
    /// losses, of which some may have happened.
    fn on_acknowledged(&mut self, id: Uuid) {
        let Some(version) = self.proposed.shift_remove(&id) else {
            return;
        };
        let disks = self.holders(id).len();
        assert!(
            disks + self.lost.len() > self.outlived,
            "version {version} rests on {disks} disks: {}",
            self.describe()
        );
        self.acked += 1;
        self.newest_acked = self.newest_acked.max(version);
    }

    /// Returns the machines whose disks hold a change.
    fn holders(&self, id: Uuid) -> Vec<Name> {
        let holds = |record: &Record| match record {
            Record::Append(entry) => {
                matches!(&entry.command, Command::Change(req) if req.request_id == id)
            }
            Record::Snapshot(snapshot) => snapshot.state.recent.contains_key(&id),
            _ => false,
        };
        let holders = self.machines.iter();
        let holders = holders.filter(|(_, machine)| machine.disk.iter().rev().any(holds));
        holders.map(|(name, _)| name.clone()).collect()
    }

    fn leader(&self) -> Option<&Raft> {
        let servers = self.machines.values().filter(|m| m.back_at.is_none());
        let mut rafts = servers.filter_map(|machine| machine.raft.as_ref());
        rafts.find(|raft| raft.has_lease(self.now))
    }

    fn check_leader(&self) {
        let Some(raft) = self.leader() else { return };
        let catalog = raft.state().cluster.catalog.as_ref();
        let version = catalog.map_or(0, |catalog| catalog.version);
        assert!(
            version >= self.newest_acked,
            "the leader holds version {version}: {}",
            self.describe()
        );
    }

    fn propose(&mut self) {
        let Some(name) = self.leader().map(|raft| raft.me().name.clone()) else {
            return;
        };
        self.last_version += 1;
        let version = self.last_version;
        let id = Uuid::from_u128(version.into());
        let catalog = Catalog {
            version,
            document: version.to_string().into(),
            ..Catalog::default()
        };
        let req = ChangeRequest {
            request_id: id,
            base: u64::MAX,
            change: Change::Publish {
                catalog: Arc::new(catalog),
            },
        };
        self.proposed.insert(id, version);
        self.with_server(&name, |raft, now, effects| {
            raft.propose(now, req, effects);
        });
    }

    /// Removes the lost disks that the present voters do without.
    fn note_repairs(&mut self) {
        let Some(voters) = self.settled_voters() else {
            return;
        };
        let now = self.now;
        self.lost.retain(|lost| {
            let is_replaced = lost.successor.as_ref().is_none_or(|id| voters.contains(id));
            now < lost.until || voters.contains(&lost.id) || !is_replaced
        });
    }

    /// Returns the voters if there is a leader that has committed all its log.
    fn settled_voters(&self) -> Option<Vec<VoterId>> {
        let leader = self.leader()?;
        let (_, commit, last) = leader.position();
        (commit == last).then(|| leader.voters().to_vec())
    }

    /// Returns whether a change is acknowledged within two seconds.
    pub fn publishes(&mut self) -> bool {
        let before = self.newest_acked;
        let acked = self.run_until(Duration::from_secs(2), |losses| {
            losses.newest_acked > before
        });
        acked.is_some()
    }

    /// Takes disks that hold the change acknowledged last, at most as many as may be lost.
    pub fn wipe_latest_holders(&mut self, count: usize) {
        let id = Uuid::from_u128(self.newest_acked.into());
        for name in self.holders(id).into_iter().take(count) {
            if self.may_lose() {
                self.lose_disk(&name);
            }
        }
    }

    /// Returns whether a leader holds the newest acknowledged version and commits another one.
    pub fn serves_what_it_acknowledged(&mut self) -> bool {
        // `check_leader` compares the versions.
        self.leader().is_some() && self.publishes()
    }

    /// Returns whether the voters are exactly the present machines.
    pub fn all_are_voters(&self) -> bool {
        let Some(voters) = self.settled_voters() else {
            return false;
        };
        let is_voter = |machine: &Machine| voters.contains(&machine.id);
        voters.len() == self.machines.len() && self.machines.values().all(is_voter)
    }

    /// Returns whether no lost disk is left to replace and all machines are voters.
    pub fn is_whole(&self) -> bool {
        self.lost.is_empty() && self.all_are_voters()
    }

    /// Returns the number of voters of the leader, or of all machines if there is none.
    pub fn voter_count(&self) -> usize {
        self.leader()
            .map_or(self.machines.len(), |raft| raft.voters().len())
    }

    pub fn acknowledged(&self) -> usize {
        self.acked
    }

    /// Describes the machines and what they hold.
    pub fn describe(&self) -> String {
        let mut text = format!(
            "newest acknowledged version {}, {} disks lost",
            self.newest_acked,
            self.lost.len()
        );
        for (name, machine) in &self.machines {
            let state = match (&machine.raft, machine.back_at, machine.is_cut) {
                (None, _, _) => "down",
                (_, None, _) => "up",
                (_, Some(_), true) => "cut off",
                (_, Some(_), false) => "frozen",
            };
            let _ = write!(text, "\n  {name} disk {} {state}", machine.id.disk);
            if let Some(raft) = &machine.raft {
                let voters: Vec<String> = raft
                    .voters()
                    .iter()
                    .map(|voter| format!("{}/{}", voter.name, voter.disk))
                    .collect();
                let (term, commit, last) = raft.position();
                let _ = write!(
                    text,
                    " {:?} term {term} commit {commit} last {last} voters {}",
                    raft.role(),
                    voters.join(" ")
                );
            }
        }
        text
    }
}
