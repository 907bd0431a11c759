//! Tasks under crashes with total loss of memory, freezes, cuts, resubmissions, wrong suspicions,
//! moved shards, and loss, delay, doubling and reordering of messages: no task starts twice, an
//! answer is whole or failed, and "not run" is true.

mod support;

use std::time::Duration;

use quickcheck::{Arbitrary, Gen};
use support::tasks::{AGENTS, ENTRIES, World};

#[derive(Clone, Debug)]
enum Step {
    Deliver(u8),
    DeliverMany(u8),
    Double(u8),
    Lose(u8),
    Pass(u8),
    Submit(u8, u8),
    Resubmit(u8, u8),
    Cancel(u8, u8),
    EndRun(u8),
    FailRun(u8),
    CrashEntry(u8),
    RestartEntry(u8),
    CrashAgent(u8),
    RestartAgent(u8),
    Freeze(u8),
    Thaw(u8),
    Relink(u8, u8),
    LookEntry(u8),
    LookAgent(u8),
    ConfigEntry(u8),
    ConfigAgent(u8),
    Mislead(u8, u8),
    Place(u8),
    RenewBackends,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 100 {
            0..=24 => Self::Deliver(a),
            25..=32 => Self::DeliverMany(a),
            33..=34 => Self::Double(a),
            35 => Self::Lose(a),
            36..=43 => Self::Pass(a),
            44..=50 => Self::Submit(a, b),
            51..=54 => Self::Resubmit(a, b),
            55 => Self::Cancel(a, b),
            56..=64 => Self::EndRun(a),
            65 => Self::FailRun(a),
            66 => Self::CrashEntry(a),
            67..=68 => Self::RestartEntry(a),
            69 => Self::CrashAgent(a),
            70..=71 => Self::RestartAgent(a),
            72 => Self::Freeze(a),
            73..=75 => Self::Thaw(a),
            76..=77 => Self::Relink(a, b),
            78..=82 => Self::LookEntry(a),
            83..=87 => Self::LookAgent(a),
            88..=90 => Self::ConfigEntry(a),
            91..=93 => Self::ConfigAgent(a),
            94 => Self::Mislead(a, b),
            95..=96 => Self::Place(a),
            _ => Self::RenewBackends,
        }
    }
}

fn step(world: &mut World, step: &Step) {
    let entry = |i: u8| i as usize % ENTRIES;
    let agent = |i: u8| i as usize % AGENTS;
    let node = |i: u8| i as usize % (ENTRIES + AGENTS);
    match *step {
        Step::Deliver(at) => world.deliver(at.into(), false),
        Step::DeliverMany(count) => (0..count % 16).for_each(|_| world.deliver(0, false)),
        Step::Double(at) => world.deliver(at.into(), true),
        Step::Lose(at) => world.lose(at.into()),
        Step::Pass(ms) => world.pass(Duration::from_millis(u64::from(ms) * 4)),
        Step::Submit(i, random) => world.submit(entry(i), 1 + random as usize % 4, random),
        Step::Resubmit(i, job) => world.resubmit(entry(i), job),
        Step::Cancel(i, job) => world.cancel(entry(i), job),
        Step::EndRun(at) => world.end_run(at.into(), false),
        Step::FailRun(at) => world.end_run(at.into(), true),
        Step::CrashEntry(i) => world.crash_entry(entry(i)),
        Step::RestartEntry(i) => world.restart_entry_if_down(entry(i)),
        Step::CrashAgent(i) => world.crash_agent(agent(i)),
        Step::RestartAgent(i) => world.restart_agent_if_down(agent(i)),
        Step::Freeze(i) => world.freeze(node(i), true),
        Step::Thaw(i) => world.freeze(node(i), false),
        Step::Relink(a, b) => world.relink(entry(a), agent(b)),
        Step::LookEntry(i) => world.look_entry(entry(i)),
        Step::LookAgent(i) => world.look_agent(agent(i)),
        Step::ConfigEntry(i) => world.config_entry(entry(i)),
        Step::ConfigAgent(i) => world.config_agent(agent(i)),
        Step::Mislead(i, doubted) => world.mislead_entry(entry(i), doubted),
        Step::Place(doubted) => world.place_doubting(doubted),
        Step::RenewBackends => (0..AGENTS).for_each(|i| world.renew_backend(i)),
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck hands sequences over"
)]
fn holds(steps: Vec<Step>) -> bool {
    let mut world = World::new();
    for next in &steps {
        step(&mut world, next);
    }
    world.settle();
    assert_eq!(world.waiting(), 0, "a caller was never answered");
    world.submit(0, 4, 0);
    world.settle();
    let failure = &world.last_failure;
    assert!(
        failure.is_none(),
        "a job fails after the faults ended: {failure:?}"
    );
    true
}

#[test]
fn no_task_starts_twice_and_answers_are_whole_or_failed() {
    support::check_steps(holds as fn(Vec<Step>) -> bool);
}
