//! Choice of the links between entries and agents, and among entries.

use crate::ids::{Digest, Name};
use crate::members::{Member, MemberState};
use crate::msg::Role;

/// Maximum number of entries that one agent links to.
pub const MAX_ENTRY_LINKS: usize = 32;

/// Returns the entries that the agent `own_name` links to.
///
/// These are all entries that are not dead or, if there are more than [`MAX_ENTRY_LINKS`], a subset
/// that changes little when entries come and go.
pub fn entries_for(own_name: &Name, members: &[Member]) -> Vec<Name> {
    let is_live_entry = |m: &&Member| m.role == Role::Entry && m.state != MemberState::Dead;
    let mut entries: Vec<Name> = members
        .iter()
        .filter(is_live_entry)
        .map(|m| m.node.name.clone())
        .collect();
    entries.sort_by_key(|entry| Digest::of(&[own_name.as_bytes(), entry.as_bytes()]).0);
    entries.truncate(MAX_ENTRY_LINKS);
    entries
}

/// Returns the entries that the entry `own_name` connects to: those not dead whose names sort after
/// its own, so that each pair has one link.
pub fn peers_for(own_name: &Name, members: &[Member]) -> Vec<Name> {
    let is_later_entry = |m: &&Member| {
        m.role == Role::Entry && m.state != MemberState::Dead && m.node.name > *own_name
    };
    members
        .iter()
        .filter(is_later_entry)
        .map(|m| m.node.name.clone())
        .collect()
}
