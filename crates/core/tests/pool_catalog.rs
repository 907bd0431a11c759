//! Tests of the catalogue: validation, versions, and the lookup of queues.

use std::sync::Arc;
use std::time::Duration;

use rw_core::config::{Change, ChangeOutcome, ClusterState};
use rw_core::pool::catalog::{Catalog, CatalogError, Pool, Queue, QueueTable};

fn queue(name: &str, host: &str, prefix: &str, pool: &str) -> Queue {
    Queue {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        pool: pool.into(),
        timeout: Duration::from_secs(1),
        aim: Duration::from_millis(60),
        slack: 1.6,
        priority: 0,
        max_failures: 3,
        advised: false,
    }
}

fn catalog(version: u64, document: &str) -> Catalog {
    Catalog {
        version,
        queues: vec![queue("a", "h", "/a/", "p"), queue("b", "h", "/a/b/", "p")],
        pools: vec![Pool {
            name: "p".into(),
            health_path: "/healthz".into(),
            max_connections: 64,
            guards_room: true,
            standby: false,
        }],
        document: document.into(),
        ..Catalog::default()
    }
}

fn publish(state: &mut ClusterState, catalog: Catalog) -> ChangeOutcome {
    let change = Change::Publish {
        catalog: Arc::new(catalog),
    };
    state.apply(u64::MAX, change)
}

fn version(state: &ClusterState) -> u64 {
    state.catalog.as_ref().map_or(0, |catalog| catalog.version)
}

#[test]
fn the_highest_version_is_in_force_regardless_of_the_order_of_publication() {
    let mut state = ClusterState::default();
    for version in [7, 3, 12, 12, 9] {
        let outcome = publish(&mut state, catalog(version, &format!("v{version}")));
        assert!(
            matches!(outcome, ChangeOutcome::Applied { .. }),
            "{version}: {outcome:?}"
        );
    }
    assert_eq!(version(&state), 12);
}

#[test]
fn a_lower_version_is_acknowledged_and_changes_nothing() {
    let mut state = ClusterState::default();
    publish(&mut state, catalog(5, "five"));
    publish(&mut state, catalog(8, "eight"));
    let before = state.clone();
    let outcome = publish(&mut state, catalog(5, "five"));
    assert!(
        matches!(outcome, ChangeOutcome::Applied { .. }),
        "{outcome:?}"
    );
    assert_eq!(state, before);
}

#[test]
fn other_content_under_the_version_in_force_is_refused_and_a_repetition_is_accepted() {
    let mut state = ClusterState::default();
    publish(&mut state, catalog(5, "first"));
    let outcome = publish(&mut state, catalog(5, "second"));
    assert!(
        matches!(outcome, ChangeOutcome::Conflict { .. }),
        "{outcome:?}"
    );
    let outcome = publish(&mut state, catalog(5, "first"));
    assert!(
        matches!(outcome, ChangeOutcome::Applied { .. }),
        "{outcome:?}"
    );
    let document = state
        .catalog
        .as_ref()
        .map(|catalog| catalog.document.clone());
    assert_eq!(document.as_deref(), Some("first"));
}

#[test]
fn an_invalid_catalogue_is_refused_with_the_reason() {
    let mut unknown_pool = catalog(2, "x");
    unknown_pool.queues[1].pool = "other".into();
    let mut same_address = catalog(2, "x");
    same_address.queues[1].prefix = "/a/".into();
    let mut no_timeout = catalog(2, "x");
    no_timeout.queues[0].timeout = Duration::ZERO;
    let mut same_name = catalog(2, "x");
    same_name.queues[1].name = "a".into();
    let mut bad_prefix = catalog(2, "x");
    bad_prefix.queues[0].prefix = "a/".into();
    assert!(matches!(
        unknown_pool.check(),
        Err(CatalogError::UnknownPool { .. })
    ));
    assert!(matches!(
        same_address.check(),
        Err(CatalogError::SameAddress { .. })
    ));
    assert!(matches!(
        no_timeout.check(),
        Err(CatalogError::NoTimeout(_))
    ));
    assert!(matches!(
        same_name.check(),
        Err(CatalogError::SameName { .. })
    ));
    assert!(matches!(
        bad_prefix.check(),
        Err(CatalogError::BadPrefix { .. })
    ));
    let mut state = ClusterState::default();
    for invalid in [
        unknown_pool,
        same_address,
        no_timeout,
        same_name,
        bad_prefix,
    ] {
        let outcome = publish(&mut state, invalid);
        assert!(
            matches!(outcome, ChangeOutcome::Invalid { .. }),
            "{outcome:?}"
        );
    }
    assert_eq!(version(&state), 0);
}

#[test]
fn a_request_goes_to_the_queue_with_the_longest_matching_prefix() {
    let table = QueueTable::new(&catalog(1, "x"));
    let find = |host: &str, path: &str| table.find(host, path).map(|queue| queue.name.to_string());
    assert_eq!(find("h", "/a/1").as_deref(), Some("a"));
    assert_eq!(find("h", "/a/b/1").as_deref(), Some("b"));
    assert_eq!(find("h", "/c/1"), None);
    assert_eq!(find("other", "/a/1"), None);
}
