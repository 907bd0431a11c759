//! Membership under datagram loss, killed and restarted processes, and healed partitions.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fastrand::Rng;
use rw_core::ids::NodeRef;
use rw_core::members::{Gossip, JOIN_INTERVAL, Member, MemberState, Members, Outgoing};
use rw_core::msg::Role;

const COUNT: u16 = 30;
const TICK: Duration = Duration::from_millis(50);
/// Interval at which a joining process fetches the member list of another one.
const LIST_INTERVAL: Duration = Duration::from_millis(200);

/// Members on a simulated network with simulated time.
struct Net {
    now: Instant,
    nodes: Vec<Option<Members>>,
    in_flight: VecDeque<(SocketAddr, SocketAddr, Gossip)>,
    rng: Rng,
    /// Share of datagrams that are lost, in percent.
    loss: u32,
    /// Nodes with a lower number are partitioned from the others.
    partition_below: u16,
    /// Time of each node's next fetch of a member list, as a joining process makes; empty if no
    /// node fetches any.
    next_list: Vec<Instant>,
}

fn addr(i: u16) -> SocketAddr {
    ([127, 0, 0, 1], 1000 + i).into()
}

fn member(i: u16, incarnation: u64) -> Member {
    Member {
        node: NodeRef {
            name: format!("n{i}").into(),
            incarnation,
        },
        version: 1,
        role: Role::Agent,
        domain: "d".into(),
        gossip: addr(i),
        link: addr(i),
        http: addr(i),
        state: MemberState::Alive,
        leaving: false,
        ready_for: 0,
        offers: None,
    }
}

impl Net {
    fn new(loss: u32) -> Self {
        Self::with_loss_and_seed(loss, 3)
    }

    fn with_loss_and_seed(loss: u32, seed: u64) -> Self {
        let mut net = Self {
            now: Instant::now(),
            nodes: Vec::new(),
            in_flight: VecDeque::new(),
            rng: Rng::with_seed(seed),
            loss,
            partition_below: 0,
            next_list: Vec::new(),
        };
        for i in 0..COUNT {
            net.nodes.push(None);
            net.restart(i, 1);
        }
        net.run(Duration::from_secs(10));
        net
    }

    fn restart(&mut self, i: u16, incarnation: u64) {
        let seeds = vec![addr(0), addr(1)];
        let rng = Rng::with_seed(u64::from(i));
        self.nodes[i as usize] = Some(Members::new(member(i, incarnation), seeds, rng));
    }

    fn send(&mut self, from: SocketAddr, out: Vec<Outgoing>) {
        for (to, gossip) in out {
            let sides = [from, to].map(|addr| addr.port() - 1000 < self.partition_below);
            if self.rng.u32(0..100) >= self.loss && sides[0] == sides[1] {
                self.in_flight.push_back((from, to, gossip));
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            for i in 0..self.nodes.len() as u16 {
                let now = self.now;
                let out = self.nodes[i as usize].as_mut().map(|node| node.tick(now));
                self.send(addr(i), out.unwrap_or_default());
                self.deliver();
            }
        }
    }

    fn deliver(&mut self) {
        while let Some((from, to, gossip)) = self.in_flight.pop_front() {
            let now = self.now;
            let node = self.nodes[(to.port() - 1000) as usize].as_mut();
            let out = node.map(|node| node.on_gossip(now, from, gossip));
            self.send(to, out.unwrap_or_default());
            self.fetch_list(to.port() - 1000, from.port() - 1000);
        }
    }

    /// Merges the member list of `from` into that of `to`, which received a datagram from it, if a
    /// fetch is due.
    fn fetch_list(&mut self, to: u16, from: u16) {
        let due = self.next_list.get_mut(to as usize);
        let Some(due) = due.filter(|due| self.now >= **due) else {
            return;
        };
        *due = self.now + LIST_INTERVAL;
        let list = self.nodes[from as usize].as_ref().map(Members::list);
        if let (Some(list), Some(node)) = (list, &mut self.nodes[to as usize]) {
            node.merge(self.now, list);
        }
    }

    /// Returns the number of nodes whose list has `of` in this state and incarnation.
    fn count_seeing(&self, of: u16, state: MemberState, incarnation: u64) -> usize {
        let name = format!("n{of}");
        let sees = |node: &&Members| {
            node.list().iter().any(|m| {
                *m.node.name == *name && m.state == state && m.node.incarnation == incarnation
            })
        };
        self.nodes.iter().flatten().filter(sees).count()
    }
}

/// With 10 % loss, direct and relayed probes fail now and then. A live member has to learn of the
/// suspicion and refute it in time, for any order of probes.
#[test]
fn no_live_member_is_declared_dead_under_loss_with_any_seed() {
    for seed in 0..20 {
        let mut net = Net::with_loss_and_seed(10, seed);
        net.run(Duration::from_secs(20));
        let dead: usize = (0..COUNT)
            .map(|i| net.count_seeing(i, MemberState::Dead, 1))
            .sum();
        assert_eq!(dead, 0, "seed {seed}");
    }
}

#[test]
fn all_members_find_each_other_and_few_are_suspected_under_loss() {
    let mut net = Net::new(10);
    net.run(Duration::from_secs(20));
    let alive: usize = (0..COUNT)
        .map(|i| net.count_seeing(i, MemberState::Alive, 1))
        .sum();
    let dead: usize = (0..COUNT)
        .map(|i| net.count_seeing(i, MemberState::Dead, 1))
        .sum();
    assert_eq!(dead, 0, "a live member was declared dead");
    assert!(
        alive > (COUNT * COUNT) as usize * 9 / 10,
        "{alive} of {} seen alive",
        COUNT * COUNT
    );
}

#[test]
fn a_killed_process_is_declared_dead_by_all_and_its_restart_is_detected() {
    let mut net = Net::new(0);
    net.nodes[7] = None;
    net.run(Duration::from_secs(12));
    assert_eq!(
        net.count_seeing(7, MemberState::Dead, 1),
        COUNT as usize - 1
    );
    net.restart(7, 2);
    net.run(Duration::from_secs(6));
    assert_eq!(net.count_seeing(7, MemberState::Alive, 2), COUNT as usize);
}

#[test]
fn both_halves_of_a_healed_partition_rejoin() {
    let mut net = Net::new(0);
    net.partition_below = COUNT / 2;
    net.run(Duration::from_secs(40));
    let across = net.nodes[0].as_ref().unwrap().list();
    let dead = across
        .iter()
        .filter(|m| m.state == MemberState::Dead)
        .count();
    assert!(
        dead >= COUNT as usize / 2 - 1,
        "only {dead} members were declared dead during the partition"
    );
    net.partition_below = 0;
    net.run(Duration::from_secs(60));
    for i in 0..COUNT {
        assert_eq!(
            net.count_seeing(i, MemberState::Alive, 1),
            COUNT as usize,
            "nodes that see n{i} alive"
        );
    }
}

#[test]
fn a_new_revision_is_sent_to_some_members_at_once_and_an_older_one_is_ignored() {
    let mut net = Net::new(0);
    let out = net.nodes[4].as_mut().unwrap().set_revision(9);
    assert_eq!(out.len(), rw_core::members::REVISION_FANOUT);
    assert!(out.iter().all(|(_, gossip)| gossip.revision == 9));
    assert!(
        net.nodes[4].as_mut().unwrap().set_revision(8).is_empty(),
        "an older revision is not sent"
    );
    assert_eq!(net.nodes[4].as_ref().unwrap().revision(), 9);
}

/// When a whole cluster starts and the seeds come up last, the first replies of a seed list few
/// members. Entries that other processes do not know then could not be used.
#[test]
fn entries_of_a_cluster_that_starts_as_a_whole_are_known_to_all_within_one_join_interval() {
    const LARGE: u16 = 76;
    let entries = 2..12;
    let mut net = Net::new(0);
    net.nodes.clear();
    for i in 0..LARGE {
        let mut me = member(i, 2);
        if entries.contains(&i) {
            me.role = Role::Entry;
        }
        let rng = Rng::with_seed(u64::from(i));
        let node = Members::new(me, vec![addr(0), addr(1)], rng);
        // The seeds start later than the others.
        net.nodes.push((i >= 2).then_some(node));
    }
    net.next_list = vec![net.now; usize::from(LARGE)];
    net.run(Duration::from_millis(300));
    net.restart(0, 2);
    net.restart(1, 2);
    // One interval of pings to the seeds, and a tick for the introductions of the entries.
    net.run(JOIN_INTERVAL + TICK);
    for entry in entries {
        let known = net.count_seeing(entry, MemberState::Alive, 2);
        assert_eq!(known, usize::from(LARGE), "nodes that know n{entry}");
    }
}
