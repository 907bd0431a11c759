//! Voters that are replaced by servers of other names, one after another.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use indexmap::IndexMap;
use rw_core::config::{Change, ChangeRequest};
use rw_core::ids::Name;
use rw_core::pool::catalog::Catalog;
use rw_core::raft::{Effects, LEASE, Raft, RaftMsg, VoterId};
use uuid::Uuid;

const TICK: Duration = Duration::from_millis(20);

struct Net {
    now: Instant,
    servers: IndexMap<Name, Raft>,
    wire: Vec<(Name, RaftMsg)>,
    next: u128,
}

fn voter(name: &str) -> VoterId {
    VoterId {
        name: name.into(),
        disk: 1,
    }
}

impl Net {
    /// A cluster that these servers founded together.
    fn founded(names: &[&str]) -> Self {
        let voters: Vec<VoterId> = names.iter().map(|name| voter(name)).collect();
        let mut net = Self {
            now: Instant::now(),
            servers: IndexMap::new(),
            wire: Vec::new(),
            next: 1,
        };
        for (i, me) in voters.iter().enumerate() {
            let records = Raft::founding_records(me, &voters);
            let rng = Rng::with_seed(i as u64);
            let raft = Raft::new(me.clone(), Vec::new(), records, net.now, rng);
            net.servers.insert(me.name.clone(), raft);
        }
        net
    }

    fn join(&mut self, name: &str) {
        let rng = Rng::with_seed(77);
        let raft = Raft::new(voter(name), Vec::new(), Vec::new(), self.now, rng);
        self.servers.insert(name.into(), raft);
    }

    fn lose(&mut self, name: &str) {
        self.servers.shift_remove(name);
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            let names: Vec<Name> = self.servers.keys().cloned().collect();
            for name in &names {
                let mut fx = Effects::default();
                self.servers[name].set_allowed(names.clone());
                self.servers[name].tick(self.now, &mut fx);
                self.wire.extend(fx.send);
            }
            while let Some((to, msg)) = self.wire.pop() {
                let mut fx = Effects::default();
                if let Some(server) = self.servers.get_mut(&to) {
                    server.on_msg(self.now, msg, &mut fx);
                }
                self.wire.extend(fx.send);
            }
        }
    }

    fn leader(&self) -> Option<&Raft> {
        self.servers.values().find(|raft| raft.has_lease(self.now))
    }

    fn voters(&self) -> Vec<String> {
        let leader = self.leader().expect("somebody leads");
        let mut names: Vec<String> = leader.voters().iter().map(|v| v.name.to_string()).collect();
        names.sort();
        names
    }

    /// Publishes a version and tells whether it was committed within two seconds.
    fn publish(&mut self, version: u64) -> bool {
        self.next += 1;
        let catalog = Catalog {
            version,
            document: version.to_string().into(),
            ..Catalog::default()
        };
        let req = ChangeRequest {
            request_id: Uuid::from_u128(self.next),
            base: u64::MAX,
            change: Change::Publish {
                catalog: Arc::new(catalog),
            },
        };
        let now = self.now;
        let Some(name) = self.leader().map(|raft| raft.me().name.clone()) else {
            return false;
        };
        let mut fx = Effects::default();
        assert!(self.servers[&name].propose(now, req, &mut fx));
        self.wire.extend(fx.send);
        self.run(Duration::from_secs(2));
        let held = self
            .leader()
            .and_then(|raft| raft.state().cluster.catalog.clone());
        held.is_some_and(|catalog| catalog.version == version)
    }
}

#[test]
fn founders_elect_one_leader_and_commit() {
    let mut net = Net::founded(&["a", "b", "c"]);
    net.run(Duration::from_secs(2));
    assert!(net.publish(3));
    assert_eq!(net.voters(), ["a", "b", "c"]);
}

#[test]
fn a_cluster_that_starts_as_a_whole_has_a_leader_at_once() {
    for seed in 0..20 {
        let mut net = Net::founded(&["a", "b", "c"]);
        for (i, name) in ["a", "b", "c"].into_iter().enumerate() {
            let records = Raft::founding_records(&voter(name), &["a", "b", "c"].map(voter));
            let rng = Rng::with_seed(seed * 3 + i as u64);
            let raft = Raft::new(voter(name), Vec::new(), records, net.now, rng);
            net.servers.insert(name.into(), raft);
            // The platform starts the machines of a cluster within 0.3 s of each other.
            net.run(Duration::from_millis(100));
        }
        // A majority is up for 0.3 s then: no vote for the time of a lease, and a few round trips.
        net.run(Duration::from_millis(200));
        assert!(net.leader().is_some(), "seed {seed}");
    }
}

#[test]
fn two_servers_that_stand_at_the_same_time_do_not_split_the_vote() {
    let mut net = Net::founded(&["a", "b", "c"]);
    net.lose("c");
    let now = net.now + LEASE + Duration::from_millis(100);
    // Each round of messages crosses on its way: all are sent before any is delivered.
    for name in ["a", "b"] {
        let mut fx = Effects::default();
        net.servers[name].tick(now, &mut fx);
        net.wire.extend(fx.send);
    }
    while !net.wire.is_empty() {
        for (to, msg) in std::mem::take(&mut net.wire) {
            let mut fx = Effects::default();
            if let Some(server) = net.servers.get_mut(&to) {
                server.on_msg(now, msg, &mut fx);
            }
            net.wire.extend(fx.send);
        }
    }
    assert!(
        net.servers["a"].has_lease(now),
        "of equal logs the lower name goes first"
    );
}

#[test]
fn a_server_that_starts_gives_no_vote_before_the_lease_it_may_have_granted_is_over() {
    let mut net = Net::founded(&["a", "b", "c"]);
    net.lose("c");
    net.run(LEASE);
    assert!(net.leader().is_none());
    assert!(net.servers.values().all(|raft| raft.position().0 == 1));
}

#[test]
fn members_that_are_replaced_one_after_another_leave_no_dead_voter_behind() {
    let mut net = Net::founded(&["a", "b", "c"]);
    net.run(Duration::from_secs(2));
    assert!(net.publish(3));
    net.join("d");
    net.run(Duration::from_secs(3));
    net.lose("a");
    net.run(Duration::from_secs(4));
    assert_eq!(net.voters(), ["b", "c", "d"]);
    assert!(net.publish(4));
    let leader = net.leader().expect("somebody leads").me().name.clone();
    net.lose(&leader);
    net.run(Duration::from_secs(1));
    net.join("e");
    net.run(Duration::from_secs(6));
    assert_eq!(net.voters().len(), 3);
    assert!(net.publish(5));
}

#[test]
fn a_voter_that_comes_back_after_it_was_removed_is_admitted_again() {
    let mut net = Net::founded(&["a", "b", "c", "d"]);
    net.run(Duration::from_secs(2));
    let follower = net.servers.values().find(|raft| !raft.has_lease(net.now));
    let name = follower.expect("three follow").me().name.clone();
    let away = net.servers.shift_remove(&name).expect("it is there");
    net.run(Duration::from_secs(4));
    assert_eq!(net.voters().len(), 3);
    net.servers.insert(name.clone(), away);
    net.run(Duration::from_secs(4));
    assert!(
        net.voters().contains(&name.to_string()),
        "{:?}",
        net.voters()
    );
    assert!(net.publish(9));
}

#[test]
fn a_read_is_confirmed_only_by_a_majority() {
    let mut net = Net::founded(&["a", "b", "c"]);
    net.run(Duration::from_secs(2));
    assert!(net.publish(3));
    let name = net.leader().expect("somebody leads").me().name.clone();
    let mut fx = Effects::default();
    let read = net.servers[&name]
        .begin_read(net.now, &mut fx)
        .expect("it leads");
    assert_eq!(net.servers[&name].is_read_confirmed(read), Some(false));
    net.wire.extend(fx.send);
    net.run(TICK);
    assert_eq!(net.servers[&name].is_read_confirmed(read), Some(true));
    let others: Vec<Name> = net
        .servers
        .keys()
        .filter(|n| **n != name)
        .cloned()
        .collect();
    for other in &others {
        net.servers.shift_remove(other);
    }
    let mut fx = Effects::default();
    let read = net.servers[&name]
        .begin_read(net.now, &mut fx)
        .expect("it seems to lead");
    net.run(Duration::from_millis(100));
    assert_ne!(net.servers[&name].is_read_confirmed(read), Some(true));
}
