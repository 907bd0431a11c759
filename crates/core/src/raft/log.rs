//! The log entries after the snapshot, with their encoded lengths.

use std::ops::Range;

use super::{Entry, MAX_BATCH};
use crate::codec;

/// Consecutive log entries. Positions count from the first entry after the snapshot.
#[derive(Debug, Default)]
pub(super) struct Log {
    entries: Vec<Entry>,
    /// Encoded length in bytes of each of `entries`.
    lengths: Vec<usize>,
}

impl Log {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn get(&self, position: usize) -> Option<&Entry> {
        self.entries.get(position)
    }

    pub(super) fn iter(&self) -> std::slice::Iter<'_, Entry> {
        self.entries.iter()
    }

    pub(super) fn push(&mut self, entry: Entry) {
        self.lengths.push(codec::encoded_len(&entry));
        self.entries.push(entry);
    }

    /// Keeps only the first `count` entries.
    pub(super) fn truncate(&mut self, count: usize) {
        self.entries.truncate(count);
        self.lengths.truncate(count);
    }

    /// Removes the first `count` entries.
    pub(super) fn drop_front(&mut self, count: usize) {
        self.entries.drain(..count);
        self.lengths.drain(..count);
    }

    /// Returns the encoded length of the entries at these positions, in bytes.
    pub(super) fn bytes(&self, positions: Range<usize>) -> usize {
        self.lengths
            .get(positions)
            .map_or(0, |lengths| lengths.iter().sum())
    }

    /// Returns the entries from a position on that fit into one message: at most [`MAX_BATCH`], and
    /// as many as are within `max_bytes` but at least one.
    pub(super) fn batch(&self, position: usize, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let count = self
            .lengths
            .iter()
            .skip(position)
            .take(MAX_BATCH)
            .take_while(|len| {
                let fits = bytes == 0 || bytes + **len <= max_bytes;
                bytes += **len;
                fits
            })
            .count();
        let entries = self.entries.iter().skip(position);
        entries.take(count).cloned().collect()
    }
}
