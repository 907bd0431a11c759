//! Which connections are closed when strangers hold too much, and the size of parsed JSON.

use std::time::Duration;

use rw_host::json::{JsonError, JsonLimits, check};
use rw_host::net::budget::{Holding, Standing, StrangerLimits, is_too_slow, victims};
use rw_host::settings::MachineLimits;

const NOW: Duration = Duration::from_secs(100);

fn holding(id: usize, standing: Standing, silent_ms: u64) -> Holding {
    Holding {
        id,
        bytes: 1000,
        standing,
        active_at: NOW.saturating_sub(Duration::from_millis(silent_ms)),
    }
}

/// A crowd that keeps sending must not push out those that came before it, nor jobs that were taken.
#[test]
fn the_longest_silent_go_first_then_the_newest_and_never_one_in_progress() {
    let holdings = [
        holding(1, Standing::InProgress, 9000),
        holding(2, Standing::Incomplete, 0),
        holding(3, Standing::Incomplete, 100),
        holding(4, Standing::Incomplete, 2000),
        holding(5, Standing::Idle, 8000),
        holding(6, Standing::Unread, 8000),
    ];
    assert_eq!(victims(NOW, holdings, 2500, 0), [4, 3, 2]);
    assert_eq!(victims(NOW, holdings, 0, 1), [4]);
    assert_eq!(victims(NOW, holdings, 9000, 9), [4, 3, 2, 5, 6]);
}

/// A machine of the smallest size must still take a body of the largest size.
#[test]
fn the_limits_follow_from_the_machine() {
    let machine = |memory_mb, fds| MachineLimits {
        memory_mb,
        file_descriptors: fds,
        ..MachineLimits::default()
    };
    let small = StrangerLimits::new(&machine(Some(16), Some(40)), 3000);
    assert!(
        small.bytes > 4 * 1024 * 1024 && small.all_conns == 8,
        "{small:?}"
    );
    let usual = StrangerLimits::new(&machine(Some(260), Some(3900)), 3000);
    assert_eq!(
        (usual.bytes >> 20, usual.all_conns, usual.conns),
        (65, 3000, 2625)
    );
}

/// A client that is only slow must not be taken for one that misbehaves.
#[test]
fn a_peer_is_too_slow_only_after_some_time() {
    assert!(!is_too_slow(0, Duration::from_secs(20)));
    assert!(is_too_slow(5000, Duration::from_secs(21)));
    assert!(!is_too_slow(64 * 1024, Duration::from_secs(200)));
}

/// A short text took many times its length once parsed.
#[test]
fn texts_that_are_long_once_parsed_are_refused_and_the_largest_job_is_not() {
    let limits = JsonLimits::REQUEST;
    let many = |item: &str| format!("[{}0]", item.repeat(100_000));
    for item in ["0,", "{},", "\"\",", "{\"\":0},"] {
        let refused = check(many(item).as_bytes(), &limits);
        assert!(matches!(refused, Err(JsonError::TooLarge(_))), "{item}");
    }
    let deep = check("[".repeat(40).as_bytes(), &limits);
    assert!(matches!(deep, Err(JsonError::TooDeep(_))));
    let after: Vec<String> = (0..63).map(|i| i.to_string()).collect();
    let step = format!(
        r#"{{"count":9,"cpu":500,"memMb":256,"gpu":1,"estRuntimeMs":900,"after":[{}],"constraints":"a","affinity":"r1-3","antiAffinity":2,"gang":false,"longRunning":false,"utilization":false}}"#,
        after.join(",")
    );
    let spec = "{[\\\"".repeat(4000);
    let job = format!(
        r#"{{"spec":"{spec}","bestEffort":true,"phases":[{}]}}"#,
        vec![step; 64].join(",")
    );
    assert!(check(job.as_bytes(), &limits).is_ok());
}
