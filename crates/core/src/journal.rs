//! On-disk format of the control servers' log.
//!
//! A journal starts with [`MAGIC`], followed by records of the form `[length u32][crc of length
//! u32][crc of payload u32][payload]`, all integers little-endian. A record that is cut off by the
//! end of the file was never acknowledged and is dropped. Damage that is followed by a valid record
//! is corruption and reported as an error.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::raft::{Entry, Snapshot, VoterId};

/// First bytes of a journal; the last byte is the format version.
pub const MAGIC: [u8; 8] = *b"rwlog\0\0\x01";
const HEADER_BYTES: usize = 12;
/// Maximum payload of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 64 * 1024 * 1024;

/// A record of a journal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Record {
    /// Identity of the voter, written when the journal is created. A journal that replaces a lost
    /// one has a different identity.
    Identity(VoterId),
    /// The current term and the vote in it.
    Vote {
        /// Current term.
        term: u64,
        /// Server that got this server's vote in the term, if any.
        voted_for: Option<VoterId>,
    },
    /// A log entry. Replaces earlier entries of the same or a higher index.
    Append(Entry),
    /// A snapshot, which replaces all entries up to its index.
    Snapshot(Box<Snapshot>),
}

/// Error of reading or writing a journal.
#[derive(Debug, Error)]
pub enum JournalError {
    /// The file is not a journal or has another format version.
    #[error("file is not a journal, or its format version is not supported")]
    Magic,
    /// A record is damaged, and not as the torn tail of the file.
    #[error("journal record at byte {offset} is damaged and valid records follow it")]
    Corrupt {
        /// Start of the record in the file, in bytes.
        offset: usize,
    },
    /// A record's checksums match, but its payload cannot be decoded.
    #[error("journal record at byte {offset} cannot be decoded: {source}")]
    Decode {
        /// Start of the record in the file, in bytes.
        offset: usize,
        /// Error of the decoder.
        source: postcard::Error,
    },
    /// A record cannot be encoded.
    #[error("journal record cannot be encoded: {0}")]
    Encode(postcard::Error),
    /// A record's payload is longer than [`MAX_RECORD_BYTES`].
    #[error("journal record of {0} bytes is longer than {MAX_RECORD_BYTES}")]
    TooLong(usize),
}

/// Appends the encoded record to `buf`. A payload above [`MAX_RECORD_BYTES`] is an error, since
/// [`decode`] would treat it as damage; nothing is appended then.
pub fn encode(record: &Record, buf: &mut Vec<u8>) -> Result<(), JournalError> {
    let payload = postcard::to_stdvec(record).map_err(JournalError::Encode)?;
    if payload.len() > MAX_RECORD_BYTES {
        return Err(JournalError::TooLong(payload.len()));
    }
    let len = (payload.len() as u32).to_le_bytes();
    buf.extend_from_slice(&len);
    buf.extend_from_slice(&crc32fast::hash(&len).to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    buf.extend_from_slice(&payload);
    Ok(())
}

/// Contents of a journal.
#[derive(Debug, PartialEq)]
pub struct Decoded {
    /// All valid records, in order.
    pub records: Vec<Record>,
    /// Length of the valid part of the file, in bytes. The rest is a torn tail.
    pub valid_len: usize,
}

/// Decodes a journal, without its torn tail if it has one.
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

/// Returns the payload of the record at `offset` if it is complete and its checksums match.
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

/// Returns an error if a valid record follows the damaged one at `offset`, which is then not a torn
/// tail.
fn check_torn(buf: &[u8], offset: usize) -> Result<(), JournalError> {
    let follows = (offset + 1..buf.len())
        .any(|at| payload_at(buf, at).is_some_and(|payload| !payload.is_empty()));
    if follows {
        Err(JournalError::Corrupt { offset })
    } else {
        Ok(())
    }
}
