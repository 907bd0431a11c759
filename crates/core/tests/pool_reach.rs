//! Links that an entry opens to further agents while its tasks find no worker.

use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use rw_core::ids::{Name, NodeRef};
use rw_core::members::{Member, MemberState};
use rw_core::msg::Role;
use rw_core::pool::Uptime;
use rw_core::pool::fleet::Fleet;
use rw_core::pool::job::Resources;
use rw_core::pool::msg::{CapacityReport, WorkerInfo};
use rw_core::pool::reach::{Reach, Shortage};

const TICK: Duration = Duration::from_millis(20);
const CAPACITY: Resources = Resources {
    cpu_milli: 4000,
    memory_mb: 100,
    accelerators: 0,
};

fn info(pool: &str, label: &str) -> WorkerInfo {
    WorkerInfo {
        pool: Some(pool.into()),
        capacity: CAPACITY,
        labels: vec![label.into()],
    }
}

fn member(role: Role, name: String, domain: usize, offers: Option<WorkerInfo>) -> Member {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        node: NodeRef {
            name: name.into(),
            incarnation: 1,
        },
        version: 1,
        role,
        domain: format!("d{domain}").into(),
        gossip: addr,
        link: addr,
        http: addr,
        state: MemberState::Alive,
        leaving: false,
        ready_for: 0,
        offers,
    }
}

/// Workers that link to the entry by themselves.
const SUBSET: usize = 12;

/// One entry of many. The test says which shortage there is.
struct Harness {
    reach: Reach,
    fleet: Fleet,
    members: Vec<Member>,
    now: Uptime,
    rng: Rng,
    /// Whether workers that are linked on demand have room.
    has_room: bool,
}

impl Harness {
    fn new(has_room: bool) -> Self {
        let entries = (0..40).map(|i| member(Role::Entry, format!("e{i}"), i % 4, None));
        let agents = (0..200).map(|i| {
            let info = info(if i % 2 == 0 { "p" } else { "q" }, "l");
            member(Role::Agent, format!("a{i}"), i / 2 % 4, Some(info))
        });
        let members: Vec<Member> = entries.chain(agents).collect();
        let mut reach = Reach::new("e0".into());
        reach.set_members(&members);
        let mut harness = Self {
            reach,
            fleet: Fleet::default(),
            members,
            now: Duration::from_secs(10),
            rng: Rng::with_seed(1),
            has_room,
        };
        for i in 0..SUBSET {
            harness.link(&format!("own{i}").into());
        }
        harness
    }

    fn targets(&self) -> Vec<Name> {
        self.reach.targets().map(|(name, _)| name.clone()).collect()
    }

    /// Lets time pass, with links to the targets that come up at once.
    fn pass(&mut self, time: Duration, shortage: Option<&Shortage>) -> Vec<Name> {
        let mut closed = Vec::new();
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            let changed = self
                .reach
                .tick(self.now, shortage, &self.fleet, &mut self.rng);
            for name in changed.unwrap_or_default() {
                self.fleet.link_down(self.now, &name);
                closed.push(name);
            }
            for name in self.targets() {
                if self.fleet.get(&name).is_none() {
                    self.link(&name);
                }
            }
        }
        closed
    }

    fn use_own_workers(&mut self, cpu_milli: u32) {
        let free = Resources {
            cpu_milli: CAPACITY.cpu_milli - cpu_milli,
            ..CAPACITY
        };
        for i in 0..SUBSET {
            let report = CapacityReport {
                open: true,
                free,
                ..CapacityReport::default()
            };
            let name = format!("own{i}").into();
            self.fleet.on_capacity_report(self.now, &name, report);
        }
    }

    fn link(&mut self, name: &Name) {
        self.fleet.link_up(self.now, name);
        self.fleet.on_info(name, info("p", "l"));
        let free = if self.has_room {
            CAPACITY
        } else {
            Resources::default()
        };
        let report = CapacityReport {
            open: true,
            free,
            ..CapacityReport::default()
        };
        self.fleet.on_capacity_report(self.now, name, report);
    }
}

fn shortage(pool: &str, label: Option<&str>) -> Shortage {
    Shortage {
        pool: pool.into(),
        needs: CAPACITY,
        label: label.map(Into::into),
    }
}

#[test]
fn a_shortage_brings_agents_of_the_pool_within_a_few_ticks() {
    let mut harness = Harness::new(true);
    assert!(harness.pass(10 * TICK, None).is_empty());
    assert!(harness.targets().is_empty(), "no link without a shortage");
    harness.pass(5 * TICK, Some(&shortage("p", None)));
    let targets = harness.targets();
    assert!(targets.len() >= 24, "{targets:?}");
    let offers: Vec<_> = harness.reach.offers().collect();
    for name in &targets {
        let (_, info) = offers.iter().find(|(n, _)| *n == name).expect("known");
        assert_eq!(info.pool.as_deref(), Some("p"), "{name}");
    }
}

#[test]
fn no_agent_is_linked_for_a_task_that_it_cannot_run() {
    let mut harness = Harness::new(true);
    harness.pass(10 * TICK, Some(&shortage("p", Some("other"))));
    harness.pass(10 * TICK, Some(&shortage("nowhere", None)));
    let mut too_large = shortage("p", None);
    too_large.needs.cpu_milli += 1;
    harness.pass(10 * TICK, Some(&too_large));
    assert!(harness.targets().is_empty(), "{:?}", harness.targets());
}

#[test]
fn a_full_pool_is_asked_ever_more_rarely() {
    let mut harness = Harness::new(false);
    harness.pass(Duration::from_secs(2), Some(&shortage("p", None)));
    let links = harness.targets().len();
    assert!(links <= 48, "{links} links after 2 s without room");
}

#[test]
fn extra_links_without_use_are_closed_and_dead_agents_forgotten() {
    let mut harness = Harness::new(true);
    harness.pass(5 * TICK, Some(&shortage("p", None)));
    let dead = harness.targets()[0].clone();
    for m in &mut harness.members {
        if m.node.name == dead {
            m.state = MemberState::Dead;
        }
    }
    harness.reach.set_members(&harness.members);
    let closed = harness.pass(2 * TICK, None);
    assert_eq!(closed, [dead]);
    let busy = harness.targets()[0].clone();
    harness.fleet.start_sent(harness.now, &busy, CAPACITY);
    harness.pass(Duration::from_secs(6), None);
    assert_eq!(harness.targets(), [busy], "only the one with a run is left");
}

/// Guards against an entry that waits until tasks find no worker before it uses more of them.
#[test]
fn workers_that_fill_up_bring_links_in_the_own_domain_before_tasks_wait() {
    let mut harness = Harness::new(true);
    harness.pass(10 * TICK, None);
    for used in [1000, 2000, 3000, 3600] {
        harness.use_own_workers(used);
        harness.pass(5 * TICK, None);
    }
    let targets = harness.targets();
    assert!(!targets.is_empty() && targets.len() <= 18, "{targets:?}");
    for name in &targets {
        let i: usize = name[1..].parse().expect("a number");
        assert_eq!(i / 2 % 4, 0, "{name} is in another domain");
    }
    harness.use_own_workers(0);
    harness.pass(Duration::from_secs(6), None);
    assert!(
        harness.targets().is_empty(),
        "links that are of no more use"
    );
}

/// Guards against links of all entries to all agents when the whole pool is nearly full.
#[test]
fn a_pool_that_is_full_everywhere_brings_few_links_before_tasks_wait() {
    let mut harness = Harness::new(false);
    harness.use_own_workers(3900);
    harness.pass(Duration::from_secs(3), None);
    let links = harness.targets().len();
    assert!(links <= 18, "{links} links");
}

/// Guards against jobs that are refused for lack of room while agents without a link may have some.
#[test]
fn a_reach_is_exhausted_only_once_batches_were_of_no_use() {
    for (has_room, exhausted) in [(true, false), (false, true)] {
        let mut harness = Harness::new(has_room);
        let shortage = shortage("p", None);
        harness.pass(TICK, Some(&shortage));
        assert!(!harness.reach.is_exhausted(), "no batch was tried");
        harness.pass(8 * TICK, Some(&shortage));
        assert_eq!(harness.reach.is_exhausted(), exhausted, "room: {has_room}");
    }
}
