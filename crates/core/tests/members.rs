//! Membership under loss, deaths, restarts and healed cuts.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fastrand::Rng;
use rw_core::ids::NodeRef;
use rw_core::members::{Gossip, JOIN_INTERVAL, Member, MemberState, Members, Outgoing};
use rw_core::msg::Role;

const COUNT: u16 = 30;
const TICK: Duration = Duration::from_millis(50);
const LIST_EVERY: Duration = Duration::from_millis(200);

struct Net {
    now: Instant,
    nodes: Vec<Option<Members>>,
    wire: VecDeque<(SocketAddr, SocketAddr, Gossip)>,
    rng: Rng,
    /// Datagrams lost, in percent.
    loss: u32,
    /// Nodes below this number hear nothing of the others.
    cut: u16,
    /// When each node asks for a list again, as the adapter of a young process does; empty: never.
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
    }
}

impl Net {
    fn new(loss: u32) -> Self {
        Self::seeded(loss, 3)
    }

    fn seeded(loss: u32, seed: u64) -> Self {
        let mut net = Self {
            now: Instant::now(),
            nodes: Vec::new(),
            wire: VecDeque::new(),
            rng: Rng::with_seed(seed),
            loss,
            cut: 0,
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
            let sides = [from, to].map(|addr| addr.port() - 1000 < self.cut);
            if self.rng.u32(0..100) >= self.loss && sides[0] == sides[1] {
                self.wire.push_back((from, to, gossip));
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
        while let Some((from, to, gossip)) = self.wire.pop_front() {
            let now = self.now;
            let node = self.nodes[(to.port() - 1000) as usize].as_mut();
            let out = node.map(|node| node.on_gossip(now, from, gossip));
            self.send(to, out.unwrap_or_default());
            self.fetch_list(to.port() - 1000, from.port() - 1000);
        }
    }

    /// Who got a datagram asks its sender for its list.
    fn fetch_list(&mut self, to: u16, from: u16) {
        let due = self.next_list.get_mut(to as usize);
        let Some(due) = due.filter(|due| self.now >= **due) else {
            return;
        };
        *due = self.now + LIST_EVERY;
        let list = self.nodes[from as usize].as_ref().map(Members::list);
        if let (Some(list), Some(node)) = (list, &mut self.nodes[to as usize]) {
            node.merge(self.now, list);
        }
    }

    /// How many nodes see `of` in this state.
    fn seen(&self, of: u16, state: MemberState, incarnation: u64) -> usize {
        let name = format!("n{of}");
        let sees = |node: &&Members| {
            node.list().iter().any(|m| {
                *m.node.name == *name && m.state == state && m.node.incarnation == incarnation
            })
        };
        self.nodes.iter().flatten().filter(sees).count()
    }
}

#[test]
fn no_living_member_is_declared_dead_under_loss_whatever_the_seed() {
    for seed in 0..20 {
        let mut net = Net::seeded(10, seed);
        net.run(Duration::from_secs(20));
        let dead: usize = (0..COUNT).map(|i| net.seen(i, MemberState::Dead, 1)).sum();
        assert_eq!(dead, 0, "seed {seed}");
    }
}

#[test]
fn all_find_one_another_and_none_is_suspected_for_long_under_loss() {
    let mut net = Net::new(10);
    net.run(Duration::from_secs(20));
    let alive: usize = (0..COUNT).map(|i| net.seen(i, MemberState::Alive, 1)).sum();
    let dead: usize = (0..COUNT).map(|i| net.seen(i, MemberState::Dead, 1)).sum();
    assert_eq!(dead, 0, "a living member was declared dead");
    assert!(
        alive > (COUNT * COUNT) as usize * 9 / 10,
        "{alive} of {} seen alive",
        COUNT * COUNT
    );
}

#[test]
fn a_killed_process_is_declared_dead_everywhere_and_its_restart_is_seen() {
    let mut net = Net::new(0);
    net.nodes[7] = None;
    net.run(Duration::from_secs(12));
    assert_eq!(net.seen(7, MemberState::Dead, 1), COUNT as usize - 1);
    net.restart(7, 2);
    net.run(Duration::from_secs(6));
    assert_eq!(net.seen(7, MemberState::Alive, 2), COUNT as usize);
}

#[test]
fn two_halves_that_were_cut_off_join_again() {
    let mut net = Net::new(0);
    net.cut = COUNT / 2;
    net.run(Duration::from_secs(40));
    let across = net.nodes[0].as_ref().unwrap().list();
    let dead = across
        .iter()
        .filter(|m| m.state == MemberState::Dead)
        .count();
    assert!(dead >= COUNT as usize / 2 - 1, "{dead} dead while cut");
    net.cut = 0;
    net.run(Duration::from_secs(60));
    for i in 0..COUNT {
        assert_eq!(
            net.seen(i, MemberState::Alive, 1),
            COUNT as usize,
            "n{i} is alive for all"
        );
    }
}

#[test]
fn a_new_revision_is_told_and_every_later_datagram_carries_it() {
    let mut net = Net::new(0);
    let out = net.nodes[4].as_mut().unwrap().set_revision(9);
    assert_eq!(out.len(), rw_core::members::REVISION_FANOUT);
    assert!(out.iter().all(|(_, gossip)| gossip.revision == 9));
    assert!(
        net.nodes[4].as_mut().unwrap().set_revision(8).is_empty(),
        "a revision never falls"
    );
    assert_eq!(net.nodes[4].as_ref().unwrap().revision(), 9);
}

#[test]
fn a_cluster_that_starts_as_a_whole_knows_its_entries_at_once() {
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
        // The seeds come later than the others.
        net.nodes.push((i >= 2).then_some(node));
    }
    net.next_list = vec![net.now; usize::from(LARGE)];
    net.run(Duration::from_millis(300));
    net.restart(0, 2);
    net.restart(1, 2);
    // One interval of pings, and a tick for what entries say of themselves then.
    net.run(JOIN_INTERVAL + TICK);
    for entry in entries {
        let known = net.seen(entry, MemberState::Alive, 2);
        assert_eq!(known, usize::from(LARGE), "of n{entry}");
    }
}
