//! The format of the control log on disk.
//!
//! A journal starts with [`MAGIC`] and holds records `[length u32][crc of length u32][crc of
//! payload u32][payload]`. A record that the file's end cuts off was never acknowledged and is
//! dropped. Damage with a valid record behind it is corruption and an error.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::raft::{Entry, Snapshot, VoterId};

/// First bytes of a journal; the last one is the format's version.
pub const MAGIC: [u8; 8] = *b"rwlog\0\0\x01";
const HEADER_BYTES: usize = 12;
/// The largest payload of one record, in bytes.
pub const MAX_RECORD_BYTES: usize = 64 * 1024 * 1024;

/// One record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Record {
    /// Made with the journal; a journal that was lost comes back with another one.
    Identity(VoterId),
    /// The term and the vote in it.
    Vote {
        /// The term.
        term: u64,
        /// Whom this server voted for in it.
        voted_for: Option<VoterId>,
    },
    /// An entry; entries from its index on that were there before are void.
    Append(Entry),
    /// Replaces all entries up to its index.
    Snapshot(Box<Snapshot>),
}

/// What is wrong with a journal.
#[derive(Debug, Error)]
pub enum JournalError {
    /// Not a journal, or of another version.
    #[error("not a journal of this version")]
    Magic,
    /// Damage that is not a torn tail.
    #[error("record at byte {offset} is damaged, with valid records behind it")]
    Corrupt {
        /// Where the record starts.
        offset: usize,
    },
    /// A record's payload is unknown.
    #[error("record at byte {offset} cannot be decoded: {source}")]
    Decode {
        /// Where the record starts.
        offset: usize,
        /// The codec's error.
        source: postcard::Error,
    },
    /// A record cannot be encoded.
    #[error("record cannot be encoded: {0}")]
    Encode(postcard::Error),
}

/// Appends the bytes of a record to `buf`.
pub fn encode(record: &Record, buf: &mut Vec<u8>) -> Result<(), JournalError> {
    let payload = postcard::to_stdvec(record).map_err(JournalError::Encode)?;
    let len = (payload.len() as u32).to_le_bytes();
    buf.extend_from_slice(&len);
    buf.extend_from_slice(&crc32fast::hash(&len).to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    buf.extend_from_slice(&payload);
    Ok(())
}

/// Records of a journal and the length of its valid part.
#[derive(Debug, PartialEq)]
pub struct Decoded {
    /// All valid records, in order.
    pub records: Vec<Record>,
    /// Bytes of the file that are valid; what follows is a torn tail.
    pub valid_len: usize,
}

/// Reads a journal.
pub fn decode(buf: &[u8]) -> Result<Decoded, JournalError> {
    if !buf.starts_with(&MAGIC) {
        return Err(JournalError::Magic);
    }
    let mut offset = MAGIC.len();
    let mut records = Vec::new();
    while offset < buf.len() {
        let Some(payload) = payload_at(buf, offset) else {
            check_torn(buf, offset)?;
            break;
        };
        let record = postcard::from_bytes(payload)
            .map_err(|source| JournalError::Decode { offset, source })?;
        records.push(record);
        offset += HEADER_BYTES + payload.len();
    }
    Ok(Decoded {
        records,
        valid_len: offset,
    })
}

/// The payload of the record at `offset`, if it is whole and its checksums match.
fn payload_at(buf: &[u8], offset: usize) -> Option<&[u8]> {
    let header = buf.get(offset..offset + HEADER_BYTES)?;
    let word = |at: usize| {
        u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
    };
    let len = word(0) as usize;
    if crc32fast::hash(&header[..4]) != word(4) || len > MAX_RECORD_BYTES {
        return None;
    }
    let start = offset + HEADER_BYTES;
    let payload = buf.get(start..start + len)?;
    (crc32fast::hash(payload) == word(8)).then_some(payload)
}

/// A damaged record is a torn tail only if no valid record follows it.
fn check_torn(buf: &[u8], offset: usize) -> Result<(), JournalError> {
    let follows = (offset + 1..buf.len())
        .any(|at| payload_at(buf, at).is_some_and(|payload| !payload.is_empty()));
    if follows {
        Err(JournalError::Corrupt { offset })
    } else {
        Ok(())
    }
}
