//! Departure of an agent: it must not end while a linked entry can still send it a start, because
//! that start would get no reply.

use std::sync::Arc;
use std::time::Instant;

use fastrand::Rng;
use rw_core::agent::{Action, Agent, Announcement};
use rw_core::config::{Change, ClusterState, Service};
use rw_core::dispatcher::{self, Dispatcher, Now, Policy};
use rw_core::ids::{JobKey, NodeRef, WallMs};
use rw_core::job::Resources;
use rw_core::msg::{Offer, Start, ToAgent, ToEntry};

const WALL: WallMs = WallMs(1_700_000_000_000);

fn node(name: &str) -> NodeRef {
    NodeRef {
        name: name.into(),
        incarnation: 1,
    }
}

/// Returns an agent `w` with two slots and the linked entry `e`, and its actions so far.
fn agent(now: Instant) -> (Agent, Vec<Action>) {
    let mut cluster = ClusterState::default();
    let service = Service::default();
    cluster.apply(
        0,
        Change::PutService {
            name: "s".into(),
            service,
        },
    );
    let mut core = Agent::new(node("w"), now);
    let mut out = Vec::new();
    core.on_config(Arc::new(cluster), &mut out);
    let announced = Announcement {
        name: "b".into(),
        url: "http://127.0.0.1:1/".into(),
        services: vec!["s".into()],
        slots: 2,
        connections: 2,
        size: Resources::default(),
        leaving: false,
    };
    core.announce(now, announced, &mut out);
    core.link_up(&"e".into(), &mut out);
    (core, out)
}

/// Returns the epoch of the last grant.
fn granted_epoch(out: &[Action]) -> u64 {
    out.iter()
        .rev()
        .find_map(|action| match action {
            Action::Send(_, ToEntry::Grant { epoch, .. }) => Some(*epoch),
            _ => None,
        })
        .expect("no credits were granted")
}

fn last_offer(out: &[Action]) -> Offer {
    out.iter()
        .rev()
        .find_map(|action| match action {
            Action::Send(_, ToEntry::Offer(offer)) => Some(offer.clone()),
            _ => None,
        })
        .expect("no offer was sent")
}

#[test]
fn refuses_a_start_that_was_in_flight_when_the_agent_left() {
    let now = Instant::now();
    let (mut core, mut out) = agent(now);
    let epoch = granted_epoch(&out);
    out.clear();
    core.leave(&mut out);
    assert!(core.is_idle());
    assert!(
        !core.has_left(),
        "the agent has left although the entry may have sent a start"
    );
    let start = Start {
        key: JobKey::new(WALL, 1),
        attempt: 1,
        index: 0,
        dispatch: 1,
        epoch,
        account: "e".into(),
        service: "s".into(),
        deadline_ms: 1000,
        backlog: 0,
        payload: b"x"[..].into(),
    };
    let offer = last_offer(&out);
    core.on_msg(WALL, &"e".into(), ToAgent::Start(start), &mut out);
    let refused = |action: &Action| matches!(action, Action::Send(_, ToEntry::Refused { .. }));
    assert!(out.iter().any(refused), "{out:?}");
    let seen = ToAgent::OfferSeen { epoch: offer.epoch };
    core.on_msg(WALL, &"e".into(), seen, &mut out);
    assert!(core.has_left());
}

#[test]
fn does_not_wait_for_an_entry_whose_link_is_lost() {
    let (mut core, mut out) = agent(Instant::now());
    core.leave(&mut out);
    core.link_up(&"f".into(), &mut out);
    core.link_down(&"e".into(), &mut out);
    assert!(
        !core.has_left(),
        "the agent did not wait for an entry that linked after the departure began"
    );
    core.link_down(&"f".into(), &mut out);
    assert!(core.has_left());
}

#[test]
fn an_entry_confirms_the_offer_of_a_leaving_agent() {
    let now = Now {
        mono: Instant::now(),
        wall: WALL,
    };
    let mut entry = Dispatcher::new(node("e"), Policy::default(), now.mono, Rng::with_seed(1));
    let mut out = Vec::new();
    entry.agent_link_up(now, node("w"), &mut out);
    let mut offer = Offer {
        epoch: 7,
        services: vec!["s".into()],
        slots: 1,
        size: Resources::default(),
        leaving: false,
    };
    entry.on_agent(now, &"w".into(), ToEntry::Offer(offer.clone()), &mut out);
    assert!(out.is_empty(), "{out:?}");
    offer.leaving = true;
    entry.on_agent(now, &"w".into(), ToEntry::Offer(offer), &mut out);
    let seen = dispatcher::Action::Send("w".into(), ToAgent::OfferSeen { epoch: 7 });
    assert_eq!(out, vec![seen]);
}

/// Guards against tasks that are sent on to the workers of an evacuated failure domain, and against a
/// domain that is not used again after it was taken back.
#[test]
fn offers_nothing_while_its_failure_domain_is_evacuated() {
    let (mut core, mut out) = agent(Instant::now());
    core.set_domain("d".into());
    let mut cluster = ClusterState::clone(core.cluster());
    for (change, leaving) in [
        (Change::Evacuate { domain: "d".into() }, true),
        (Change::Return { domain: "d".into() }, false),
    ] {
        cluster.apply(u64::MAX, change);
        core.on_config(Arc::new(cluster.clone()), &mut out);
        core.tick(Instant::now(), WALL, &mut out);
        let offer = last_offer(&out);
        assert_eq!((offer.leaving, offer.slots == 0), (leaving, leaving));
    }
}
