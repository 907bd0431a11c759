//! Early refusal: only when the expected wait passes the deadline, never for want of credits in hand.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use rw_core::config::{Change, ClusterState, Service, Tenant};
use rw_core::dispatcher::{Action, Dispatcher, Now, Policy};
use rw_core::ids::{JobKey, NodeRef, WallMs};
use rw_core::job::{Class, JobSpec, Needs, TaskSpec};
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
    let mut core = Dispatcher::new(node("e"), Policy::default(), now.mono, Rng::with_seed(1));
    core.on_config(Arc::new(cluster));
    core
}

fn job(now: Now, tasks: usize) -> JobSpec {
    let task = TaskSpec {
        payload: b"x"[..].into(),
        declared: None,
    };
    JobSpec {
        key: JobKey::new(now.wall, 1),
        keyed: false,
        tenant: "t".into(),
        service: "s".into(),
        class: Class::Short,
        deadline: Duration::from_secs(10),
        needs: Needs::default(),
        tasks: vec![task; tasks],
    }
}

fn answers(out: &[Action]) -> usize {
    out.iter()
        .filter(|action| matches!(action, Action::Answer(..)))
        .count()
}

#[test]
fn a_large_job_is_not_refused_because_another_entry_holds_the_credits() {
    let now = Now {
        mono: Instant::now(),
        wall: WallMs(1_700_000_000_000),
    };
    let mut core = entry(now);
    let mut out = Vec::new();
    core.agent_up(now, node("w"), &mut out);
    let offer = Offer {
        epoch: 1,
        services: vec!["s".into()],
        slots: 88,
        size: Needs::default(),
        leaving: false,
    };
    core.on_agent(now, &"w".into(), ToEntry::Offer(offer), &mut out);
    core.submit(now, job(now, 410), 1, &mut out);
    assert_eq!(answers(&out), 0, "{out:?}");
}

#[test]
fn a_backlog_is_counted_against_the_share_of_the_slots_not_the_few_in_hand() {
    let now = Now {
        mono: Instant::now(),
        wall: WallMs(1_700_000_000_000),
    };
    let mut core = entry(now);
    let mut out = Vec::new();
    core.agent_up(now, node("w"), &mut out);
    let offer = Offer {
        epoch: 1,
        services: vec!["s".into()],
        slots: 24,
        size: Needs::default(),
        leaving: false,
    };
    core.on_agent(now, &"w".into(), ToEntry::Offer(offer), &mut out);
    let grant = ToEntry::Grant {
        credits: 1,
        epoch: 1,
    };
    core.on_agent(now, &"w".into(), grant, &mut out);
    // 150 tasks of 300 ms take 45 s on the one slot in hand, and 2 s on the slots that are offered.
    for i in 0..15 {
        let mut spec = job(now, 10);
        spec.key = JobKey::new(now.wall, 100 + i);
        core.submit(now, spec, 1, &mut out);
    }
    assert_eq!(answers(&out), 0, "{out:?}");
}

#[test]
fn a_job_waits_while_no_worker_is_linked_yet() {
    let now = Now {
        mono: Instant::now(),
        wall: WallMs(1_700_000_000_000),
    };
    let mut core = entry(now);
    let mut out = Vec::new();
    core.submit(now, job(now, 40), 1, &mut out);
    assert_eq!(answers(&out), 0, "{out:?}");
}
