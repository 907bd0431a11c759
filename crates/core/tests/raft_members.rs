//! Elections, membership changes and confirmed reads of a cluster over a simulated network that
//! loses nothing.

mod support;

use std::time::Duration;

use fastrand::Rng;
use rw_core::ids::Name;
use rw_core::raft::{Effects, LEASE, Raft};

use support::raft::{Net, TICK, voter};

#[test]
fn initial_voters_elect_a_leader_and_commit() {
    let mut net = Net::with_voters(&["a", "b", "c"]);
    net.run(Duration::from_secs(2));
    assert!(net.publish(3));
    assert_eq!(net.voters(), ["a", "b", "c"]);
}

/// After a power loss all servers start at nearly the same time. They must not wait for a full
/// election timeout.
#[test]
fn a_cluster_that_starts_as_a_whole_elects_a_leader_within_half_a_second() {
    for seed in 0..20 {
        let mut net = Net::with_voters(&["a", "b", "c"]);
        for (i, name) in ["a", "b", "c"].into_iter().enumerate() {
            let records =
                Raft::bootstrap_records_with_voters(&voter(name), &["a", "b", "c"].map(voter));
            let rng = Rng::with_seed(seed * 3 + i as u64);
            let raft = Raft::new(voter(name), Vec::new(), records, net.now, rng);
            net.servers.insert(name.into(), raft);
            // The platform starts the machines of a cluster within 0.3 s of each other, so a server
            // starts every 0.1 s here.
            net.run(Duration::from_millis(100));
        }
        // By then a majority has been up for 0.3 s: a lease's duration without votes and a few
        // round trips.
        net.run(Duration::from_millis(200));
        assert!(net.leader().is_some(), "seed {seed}");
    }
}

/// Two servers that become candidates at the same time would each vote for themselves, and neither
/// would be elected. One of them has to yield in the pre-vote.
#[test]
fn two_simultaneous_candidates_do_not_split_the_vote() {
    let mut net = Net::with_voters(&["a", "b", "c"]);
    net.stop("c");
    let now = net.now + LEASE + Duration::from_millis(100);
    // All messages of a round are sent before any is delivered, so that requests cross.
    for name in ["a", "b"] {
        let mut effects = Effects::default();
        net.servers[name].tick(now, &mut effects);
        net.in_flight.extend(effects.send);
    }
    while !net.in_flight.is_empty() {
        for (to, msg) in std::mem::take(&mut net.in_flight) {
            let mut effects = Effects::default();
            if let Some(server) = net.servers.get_mut(&to) {
                server.on_msg(now, msg, &mut effects);
            }
            net.in_flight.extend(effects.send);
        }
    }
    assert!(
        net.servers["a"].has_lease(now),
        "with equal logs, the server with the lower name is elected"
    );
}

/// A restarted server does not know whether it acknowledged a leader's heartbeat. If it voted
/// within that leader's lease, two leaders could hold a lease at the same time.
#[test]
fn a_restarted_server_does_not_vote_within_a_lease_it_may_have_acknowledged() {
    let mut net = Net::with_voters(&["a", "b", "c"]);
    net.stop("c");
    net.run(LEASE);
    assert!(net.leader().is_none());
    assert!(net.servers.values().all(|raft| raft.position().0 == 1));
}

/// Failed voters that stay in the set of voters would cost the cluster its majority after a few
/// replacements by servers of other names.
#[test]
fn replaced_servers_do_not_remain_voters() {
    let mut net = Net::with_voters(&["a", "b", "c"]);
    net.run(Duration::from_secs(2));
    assert!(net.publish(3));
    net.start_learner("d");
    net.run(Duration::from_secs(3));
    net.stop("a");
    net.run(Duration::from_secs(4));
    assert_eq!(net.voters(), ["b", "c", "d"]);
    assert!(net.publish(4));
    let leader = net
        .leader()
        .expect("the cluster has a leader")
        .me()
        .name
        .clone();
    net.stop(&leader);
    net.run(Duration::from_secs(1));
    net.start_learner("e");
    net.run(Duration::from_secs(6));
    assert_eq!(net.voters().len(), 3);
    assert!(net.publish(5));
}

/// A removed server still considers itself a voter when it returns, so it requests votes instead of
/// admission.
#[test]
fn a_removed_voter_that_returns_is_admitted_again() {
    let mut net = Net::with_voters(&["a", "b", "c", "d"]);
    net.run(Duration::from_secs(2));
    let follower = net.servers.values().find(|raft| !raft.has_lease(net.now));
    let name = follower
        .expect("three servers are followers")
        .me()
        .name
        .clone();
    let removed = net.servers.shift_remove(&name).expect("the server is up");
    net.run(Duration::from_secs(4));
    assert_eq!(net.voters().len(), 3);
    net.servers.insert(name.clone(), removed);
    net.run(Duration::from_secs(4));
    assert!(
        net.voters().contains(&name.to_string()),
        "{:?}",
        net.voters()
    );
    assert!(net.publish(9));
}

/// A removed server asked only the voters that it knew, so it stayed out for good once all of these had
/// been replaced.
#[test]
fn a_removed_voter_is_admitted_by_a_leader_that_it_does_not_know() {
    let mut net = Net::with_voters(&["a", "b", "c", "d"]);
    net.run(Duration::from_secs(2));
    let removed = net.servers.shift_remove("a").expect("the server is up");
    net.run(Duration::from_secs(4));
    for (old, new) in [("b", "e"), ("c", "f"), ("d", "g")] {
        net.start_learner(new);
        net.run(Duration::from_secs(3));
        net.stop(old);
        net.run(Duration::from_secs(4));
    }
    assert_eq!(net.voters(), ["e", "f", "g"]);
    net.servers.insert("a".into(), removed);
    net.run(Duration::from_secs(4));
    assert_eq!(net.voters(), ["a", "e", "f", "g"]);
}

#[test]
fn a_read_is_confirmed_only_by_a_majority() {
    let mut net = Net::with_voters(&["a", "b", "c"]);
    net.run(Duration::from_secs(2));
    assert!(net.publish(3));
    let name = net
        .leader()
        .expect("the cluster has a leader")
        .me()
        .name
        .clone();
    let mut effects = Effects::default();
    let read = net.servers[&name]
        .begin_read(net.now, &mut effects)
        .expect("the leader starts a read round");
    assert_eq!(net.servers[&name].is_read_confirmed(read), Some(false));
    net.in_flight.extend(effects.send);
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
    let mut effects = Effects::default();
    let read = net.servers[&name]
        .begin_read(net.now, &mut effects)
        .expect("the isolated leader starts a read round");
    net.run(Duration::from_millis(100));
    assert_ne!(net.servers[&name].is_read_confirmed(read), Some(true));
}
