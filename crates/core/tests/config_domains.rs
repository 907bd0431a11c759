//! Orders of operators about failure domains, as they change the replicated configuration.

mod support;

use std::time::Duration;

use rw_core::config::{Change, ChangeOutcome, ClusterState, MAX_DOMAIN_BYTES, MAX_EVACUATED};

use support::raft::Net;

const ANY_BASE: u64 = u64::MAX;

fn evacuate(domain: &str) -> Change {
    Change::Evacuate {
        domain: domain.into(),
    }
}

fn take_back(domain: &str) -> Change {
    Change::Return {
        domain: domain.into(),
    }
}

/// Guards against a resend that is refused, or that raises the revision, so that all processes fetch
/// the configuration for nothing.
#[test]
fn an_order_sent_again_is_acknowledged_and_changes_nothing() {
    let mut state = ClusterState::default();
    for (change, evacuated_at) in [(evacuate("a"), Some(1)), (take_back("a"), None)] {
        let first = state.apply(ANY_BASE, change.clone());
        let after_first = state.clone();
        assert_eq!(state.apply(ANY_BASE, change), first);
        assert_eq!(state, after_first);
        assert_eq!(state.evacuated.get("a").copied(), evacuated_at);
    }
    assert_eq!(state.revision, 2);
    assert_eq!(
        state.apply(ANY_BASE, take_back("never evacuated")),
        ChangeOutcome::Applied { revision: 2 }
    );
}

/// Guards against names that fill the configuration, and against a limit that refuses a resend.
#[test]
fn odd_names_and_too_many_domains_are_invalid() {
    let mut state = ClusterState::default();
    let long = "x".repeat(MAX_DOMAIN_BYTES + 1);
    for odd in ["", "a\nb", long.as_str()] {
        let outcome = state.apply(ANY_BASE, evacuate(odd));
        assert!(matches!(outcome, ChangeOutcome::Invalid { .. }), "{odd:?}");
    }
    let applied = |outcome| matches!(outcome, ChangeOutcome::Applied { .. });
    for i in 0..MAX_EVACUATED {
        assert!(applied(state.apply(ANY_BASE, evacuate(&format!("d{i}")))));
    }
    assert!(!applied(state.apply(ANY_BASE, evacuate("one more"))));
    assert!(applied(state.apply(ANY_BASE, evacuate("d0"))));
    assert!(applied(state.apply(ANY_BASE, take_back("d0"))));
}

/// Guards against control nodes that differ after two operators' orders, and against a node that
/// joins and does not learn of an evacuation.
#[test]
fn control_nodes_agree_on_the_last_of_two_operators_orders() {
    let mut net = Net::with_voters(&["a", "b", "c"]);
    net.run(Duration::from_secs(2));
    for change in [
        evacuate("x"),
        evacuate("y"),
        take_back("x"),
        evacuate("x"),
        take_back("y"),
    ] {
        assert!(net.propose(change));
    }
    net.run(Duration::from_secs(1));
    net.start_learner("d");
    net.run(Duration::from_secs(2));
    for (name, server) in &net.servers {
        let evacuated: Vec<&str> = server
            .state()
            .cluster
            .evacuated
            .keys()
            .map(|d| &**d)
            .collect();
        assert_eq!(evacuated, ["x"], "at {name}");
    }
}
