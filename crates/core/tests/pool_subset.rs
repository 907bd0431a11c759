//! Which entries agents link to: balance over random memberships, movement when a member comes or
//! goes, and the loss of a failure domain.

use std::net::SocketAddr;

use indexmap::IndexMap;
use quickcheck::{QuickCheck, TestResult};
use rw_core::ids::{Name, NodeRef};
use rw_core::members::{Member, MemberState};
use rw_core::msg::Role;
use rw_core::pool::subset::{AGENTS_PER_ENTRY, Entries, LinkCount, MAX_LINKS, MIN_LINKS};

fn member(role: Role, number: usize, domains: usize) -> Member {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let kind = if role == Role::Entry { "e" } else { "a" };
    Member {
        node: NodeRef {
            name: format!("{kind}{number}").into(),
            incarnation: 1,
        },
        version: 1,
        role,
        domain: format!("d{}", number % domains).into(),
        gossip: addr,
        link: addr,
        http: addr,
        state: MemberState::Alive,
        leaving: false,
        ready_for: 0,
        offers: None,
    }
}

fn cluster(entries: usize, agents: usize, domains: usize) -> Vec<Member> {
    let entries = (0..entries).map(|i| member(Role::Entry, i, domains));
    entries
        .chain((0..agents).map(|i| member(Role::Agent, i, domains)))
        .collect()
}

/// Returns the entries of each agent.
fn subsets(members: &[Member]) -> IndexMap<Name, Vec<Name>> {
    let entries = Entries::of(members);
    let links = LinkCount::default().update(&entries);
    let agents = members.iter().filter(|m| m.role == Role::Agent);
    agents
        .map(|m| {
            let names = entries.for_agent(&m.node.name, &m.domain, links);
            (m.node.name.clone(), names)
        })
        .collect()
}

fn agents_by_entry(members: &[Member]) -> IndexMap<Name, usize> {
    let entries = members.iter().filter(|m| m.role == Role::Entry);
    let mut counts: IndexMap<Name, usize> = entries.map(|m| (m.node.name.clone(), 0)).collect();
    for entry in subsets(members).into_values().flatten() {
        counts[&entry] += 1;
    }
    counts
}

#[test]
fn a_small_cluster_links_every_entry_with_every_agent() {
    for names in subsets(&cluster(4, 11, 4)).into_values() {
        assert_eq!(names.len(), 4);
    }
}

#[test]
fn subsets_are_balanced_and_bounded_in_clusters_of_any_size() {
    fn property(entries: u8, agents: u8, domains: u8) -> TestResult {
        let (entries, agents) = (usize::from(entries) + 1, usize::from(agents) * 2 + 1);
        let members = cluster(entries, agents, usize::from(domains % 6) + 1);
        for (agent, names) in subsets(&members) {
            let mut unique = names.clone();
            unique.sort();
            unique.dedup();
            let least = MIN_LINKS.min(entries);
            if unique.len() != names.len() || !(least..=MAX_LINKS).contains(&names.len()) {
                return TestResult::error(format!("{agent} links to {names:?}"));
            }
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .tests(200)
        .quickcheck(property as fn(u8, u8, u8) -> TestResult);
}

#[test]
fn the_agents_of_an_entry_stay_near_their_number_as_the_cluster_grows() {
    for (entries, agents) in [(20, 80), (35, 160), (60, 230), (120, 460)] {
        let counts = agents_by_entry(&cluster(entries, agents, 6));
        let mean = counts.values().sum::<usize>() as f64 / counts.len() as f64;
        let target = AGENTS_PER_ENTRY as f64;
        assert!(
            (mean - target).abs() < target / 4.0,
            "{entries}: mean {mean}"
        );
        let least = counts.values().min().copied().unwrap_or_default();
        let most = counts.values().max().copied().unwrap_or_default();
        assert!(least * 2 > AGENTS_PER_ENTRY, "{entries}: least {least}");
        assert!(most < AGENTS_PER_ENTRY * 2, "{entries}: most {most}");
    }
}

#[test]
fn an_entry_that_leaves_moves_only_its_own_links() {
    let before = cluster(35, 160, 6);
    let after: Vec<Member> = before
        .iter()
        .filter(|m| &*m.node.name != "e7")
        .cloned()
        .collect();
    let (before, after) = (subsets(&before), subsets(&after));
    let mut moved = 0;
    for (agent, names) in &before {
        let gone = names.iter().filter(|name| !after[agent].contains(*name));
        moved += gone.filter(|name| &***name != "e7").count();
    }
    assert_eq!(moved, 0, "links of other entries were moved");
}

#[test]
fn the_loss_of_a_failure_domain_leaves_each_entry_a_third_of_its_agents() {
    let members = cluster(35, 160, 6);
    let by_entry = agents_by_entry(&members);
    let subsets = subsets(&members);
    for lost in 0..6 {
        let lost: Name = format!("d{lost}").into();
        let mut left: IndexMap<&Name, usize> = IndexMap::new();
        for m in members
            .iter()
            .filter(|m| m.role == Role::Agent && m.domain != lost)
        {
            for entry in &subsets[&m.node.name] {
                *left.entry(entry).or_default() += 1;
            }
        }
        for m in members.iter().filter(|m| m.role == Role::Entry) {
            let left = left.get(&m.node.name).copied().unwrap_or_default();
            let all = by_entry[&m.node.name];
            assert!(
                left * 3 >= all,
                "{}: {left} of {all} agents left",
                m.node.name
            );
        }
    }
}

#[test]
fn the_number_of_links_does_not_follow_single_members() {
    let mut count = LinkCount::default();
    let links = count.update(&Entries::of(&cluster(35, 160, 6)));
    for (entries, agents) in [(34, 160), (35, 158), (36, 161), (35, 160)] {
        let now = count.update(&Entries::of(&cluster(entries, agents, 6)));
        assert_eq!(now, links, "{entries} entries, {agents} agents");
    }
    assert!(count.update(&Entries::of(&cluster(70, 160, 6))) > links);
}
