//! Property tests of jobs under faults: crashes that lose all memory, frozen processes, broken
//! links, resubmissions, false suspicions, moved shards, and lost, delayed, duplicated and
//! reordered messages.
//!
//! Checks that no task starts twice, that an answer holds all results or a failure, and
//! that no task ran of a job that was answered as "not run".

mod support;

use std::time::Duration;

use quickcheck::{Arbitrary, Gen};
use support::tasks::{AGENTS, ENTRIES, World};

#[derive(Clone, Debug)]
enum Step {
    Deliver(u8),
    DeliverMany(u8),
    Duplicate(u8),
    DropMessage(u8),
    AdvanceTime(u8),
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
    Unfreeze(u8),
    Relink(u8, u8),
    NotifyEntryOfLinks(u8),
    NotifyAgentOfLinks(u8),
    UpdateEntryConfig(u8),
    UpdateAgentConfig(u8),
    SuspectFalsely(u8, u8),
    Place(u8),
    AnnounceBackends,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 100 {
            0..=24 => Self::Deliver(a),
            25..=32 => Self::DeliverMany(a),
            33..=34 => Self::Duplicate(a),
            35 => Self::DropMessage(a),
            36..=43 => Self::AdvanceTime(a),
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
            73..=75 => Self::Unfreeze(a),
            76..=77 => Self::Relink(a, b),
            78..=82 => Self::NotifyEntryOfLinks(a),
            83..=87 => Self::NotifyAgentOfLinks(a),
            88..=90 => Self::UpdateEntryConfig(a),
            91..=93 => Self::UpdateAgentConfig(a),
            94 => Self::SuspectFalsely(a, b),
            95..=96 => Self::Place(a),
            _ => Self::AnnounceBackends,
        }
    }
}

fn step(world: &mut World, step: &Step) {
    let entry = |i: u8| i as usize % ENTRIES;
    let agent = |i: u8| i as usize % AGENTS;
    let node = |i: u8| i as usize % (ENTRIES + AGENTS);
    match *step {
        Step::Deliver(position) => world.deliver(position.into(), false),
        Step::DeliverMany(count) => (0..count % 16).for_each(|_| world.deliver(0, false)),
        Step::Duplicate(position) => world.deliver(position.into(), true),
        Step::DropMessage(position) => world.drop_message(position.into()),
        Step::AdvanceTime(ms) => world.advance_time(Duration::from_millis(u64::from(ms) * 4)),
        Step::Submit(i, random) => world.submit(entry(i), 1 + random as usize % 4, random),
        Step::Resubmit(i, job) => world.resubmit(entry(i), job),
        Step::Cancel(i, job) => world.cancel(entry(i), job),
        Step::EndRun(position) => world.end_run(position.into(), false),
        Step::FailRun(position) => world.end_run(position.into(), true),
        Step::CrashEntry(i) => world.crash_entry(entry(i)),
        Step::RestartEntry(i) => world.restart_entry_if_down(entry(i)),
        Step::CrashAgent(i) => world.crash_agent(agent(i)),
        Step::RestartAgent(i) => world.restart_agent_if_down(agent(i)),
        Step::Freeze(i) => world.set_frozen(node(i), true),
        Step::Unfreeze(i) => world.set_frozen(node(i), false),
        Step::Relink(a, b) => world.relink(entry(a), agent(b)),
        Step::NotifyEntryOfLinks(i) => world.update_entry_links(entry(i)),
        Step::NotifyAgentOfLinks(i) => world.update_agent_links(agent(i)),
        Step::UpdateEntryConfig(i) => world.update_entry_config(entry(i)),
        Step::UpdateAgentConfig(i) => world.update_agent_config(agent(i)),
        Step::SuspectFalsely(i, suspected) => world.set_false_members(entry(i), suspected),
        Step::Place(suspected) => world.update_placement_with_false_members(suspected),
        Step::AnnounceBackends => (0..AGENTS).for_each(|i| world.announce_backend(i)),
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes its input by value"
)]
fn invariants_hold(steps: Vec<Step>) -> bool {
    let mut world = World::new();
    for next in &steps {
        step(&mut world, next);
    }
    world.recover();
    assert_eq!(world.unanswered(), 0, "callers without an answer");
    world.submit(0, 4, 0);
    world.recover();
    let failure = &world.last_failure;
    assert!(
        failure.is_none(),
        "a job failed after the faults had ended: {failure:?}"
    );
    true
}

#[test]
fn no_task_starts_twice_and_answers_are_complete_or_failures() {
    support::check_steps(invariants_hold as fn(Vec<Step>) -> bool);
}
