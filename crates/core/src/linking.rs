//! Which entries an agent links to.

use crate::ids::{Digest, Name};
use crate::members::{Member, MemberState};
use crate::msg::Role;

/// Entries that one agent links to at most.
pub const MAX_ENTRY_LINKS: usize = 32;

/// The entries that the agent `me` links to: all of them, or a stable subset of many.
pub fn entries_for(me: &Name, members: &[Member]) -> Vec<Name> {
    let living = |m: &&Member| m.role == Role::Entry && m.state != MemberState::Dead;
    let mut entries: Vec<Name> = members
        .iter()
        .filter(living)
        .map(|m| m.node.name.clone())
        .collect();
    entries.sort_by_key(|entry| Digest::of(&[me.as_bytes(), entry.as_bytes()]).0);
    entries.truncate(MAX_ENTRY_LINKS);
    entries
}

/// The entries that the entry `me` dials: those whose names come after its own.
pub fn peers_for(me: &Name, members: &[Member]) -> Vec<Name> {
    let later =
        |m: &&Member| m.role == Role::Entry && m.state != MemberState::Dead && m.node.name > *me;
    members
        .iter()
        .filter(later)
        .map(|m| m.node.name.clone())
        .collect()
}
