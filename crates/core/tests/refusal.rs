//! Early refusal depends on the expected wait, and never on the number of held credits.
//!
//! Guards against an entry that refuses jobs because another entry holds the credits at the moment,
//! or because no worker is linked yet: credits move to a backlog within milliseconds.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use rw_core::config::{Change, ClusterState, Service, Tenant};
use rw_core::dispatcher::{Action, Dispatcher, Now, Policy};
use rw_core::ids::{JobKey, NodeRef, WallMs};
use rw_core::job::{Class, JobSpec, Resources, TaskSpec};
use rw_core::msg::{Offer, ToEntry};

fn node(name: &str) -> NodeRef {
    NodeRef {
        name: name.into(),
        incarnation: 1,
    }
}

fn entry(now: Now) -> Dispatcher {
    let mut cluster = ClusterState::default();
    let tenant = Tenant {
        weight: 1,
        rate: 0,
        concurrency: 0,
        token_hashes: Vec::new(),
    };
    cluster.apply(
        0,
        Change::PutService {
            name: "s".into(),
            service: Service::default(),
        },
    );
    cluster.apply(
        0,
        Change::PutTenant {
            name: "t".into(),
            tenant,
        },
    );
    let mut dispatcher = Dispatcher::new(node("e"), Policy::default(), now.mono, Rng::with_seed(1));
    dispatcher.on_config(Arc::new(cluster));
    dispatcher
}

fn job(now: Now, tasks: usize) -> JobSpec {
    let task = TaskSpec {
        payload: b"x"[..].into(),
        declared_run_time: None,
    };
    JobSpec {
        key: JobKey::new(now.wall, 1),
        keyed: false,
        tenant: "t".into(),
        service: "s".into(),
        class: Class::Short,
        deadline: Duration::from_secs(10),
        needs: Resources::default(),
        tasks: vec![task; tasks],
    }
}

fn count_answers(out: &[Action]) -> usize {
    out.iter()
        .filter(|action| matches!(action, Action::Answer(..)))
        .count()
}

#[test]
fn a_large_job_is_not_refused_while_another_entry_holds_the_credits() {
    let now = Now {
        mono: Instant::now(),
        wall: WallMs(1_700_000_000_000),
    };
    let mut dispatcher = entry(now);
    let mut out = Vec::new();
    dispatcher.agent_link_up(now, node("w"), &mut out);
    let offer = Offer {
        epoch: 1,
        services: vec!["s".into()],
        slots: 88,
        size: Resources::default(),
        leaving: false,
    };
    dispatcher.on_agent(now, &"w".into(), ToEntry::Offer(offer), &mut out);
    dispatcher.submit(now, job(now, 410), 1, &mut out);
    assert_eq!(count_answers(&out), 0, "job refused: {out:?}");
}

#[test]
fn the_expected_wait_counts_the_share_of_offered_slots_not_only_held_ones() {
    let now = Now {
        mono: Instant::now(),
        wall: WallMs(1_700_000_000_000),
    };
    let mut dispatcher = entry(now);
    let mut out = Vec::new();
    dispatcher.agent_link_up(now, node("w"), &mut out);
    let offer = Offer {
        epoch: 1,
        services: vec!["s".into()],
        slots: 24,
        size: Resources::default(),
        leaving: false,
    };
    dispatcher.on_agent(now, &"w".into(), ToEntry::Offer(offer), &mut out);
    let grant = ToEntry::Grant {
        credits: 1,
        epoch: 1,
    };
    dispatcher.on_agent(now, &"w".into(), grant, &mut out);
    // 150 tasks of 300 ms take 45 s on the one held slot, but 2 s on the 24 offered slots.
    for i in 0..15 {
        let mut spec = job(now, 10);
        spec.key = JobKey::new(now.wall, 100 + i);
        dispatcher.submit(now, spec, 1, &mut out);
    }
    assert_eq!(count_answers(&out), 0, "job refused: {out:?}");
}

#[test]
fn a_job_is_queued_while_no_worker_is_linked() {
    let now = Now {
        mono: Instant::now(),
        wall: WallMs(1_700_000_000_000),
    };
    let mut dispatcher = entry(now);
    let mut out = Vec::new();
    dispatcher.submit(now, job(now, 40), 1, &mut out);
    assert_eq!(count_answers(&out), 0, "job refused: {out:?}");
}
