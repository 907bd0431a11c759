//! Quotas of tenants at one entry.

use std::time::Instant;

use rw_core::config::ClusterState;
use rw_core::quota::Quotas;

#[test]
fn a_tenant_that_was_removed_is_refused_and_the_process_goes_on() {
    let mut quotas = Quotas::default();
    let cluster = ClusterState::default();
    let admitted = quotas.admit(Instant::now(), &cluster, &"removed".into(), 1);
    assert!(admitted.is_err(), "{admitted:?}");
}
