//! Encoding and authentication of frames and datagrams.
//!
//! A frame is `[length u32 LE][payload][tag 16 bytes]`; the length counts the payload only. The tag
//! covers the direction, the frame's number on the connection and the payload, under a key derived
//! from the cluster key and both sides' nonces, so that a frame can be neither forged nor replayed.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Bytes of an authentication tag.
pub const TAG_BYTES: usize = 16;
/// Bytes of each side's nonce at the start of a connection.
pub const NONCE_BYTES: usize = 16;
/// The largest payload of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// The largest payload before the first authentic frame, in bytes.
pub const MAX_FIRST_FRAME_BYTES: usize = 4 * 1024;

/// What is wrong with a frame or datagram.
#[derive(Debug, Error)]
pub enum CodecError {
    /// Longer than allowed.
    #[error("frame of {0} bytes is longer than allowed")]
    TooLong(usize),
    /// Too short to hold a tag.
    #[error("datagram is too short")]
    TooShort,
    /// The tag does not match.
    #[error("authentication tag does not match")]
    BadTag,
    /// The payload is no message.
    #[error("payload cannot be decoded: {0}")]
    Decode(#[from] postcard::Error),
}

/// The key that all processes of a cluster share.
#[derive(Clone)]
pub struct ClusterKey([u8; 32]);

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}

impl ClusterKey {
    /// Derives the key from the secret in the settings.
    pub fn new(secret: &str) -> Self {
        Self(blake3::derive_key(
            "redwingwick 2026 cluster key",
            secret.as_bytes(),
        ))
    }

    fn session(&self, client: &[u8], server: &[u8]) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(client);
        hasher.update(server);
        *hasher.finalize().as_bytes()
    }

    /// The two directions of a connection: what this side seals and what it opens.
    pub fn directions(&self, client: &[u8], server: &[u8], is_client: bool) -> (Sealer, Opener) {
        let key = self.session(client, server);
        let (out, into) = if is_client { (0, 1) } else { (1, 0) };
        (
            Sealer(Direction {
                key,
                side: out,
                next: 0,
            }),
            Opener(Direction {
                key,
                side: into,
                next: 0,
            }),
        )
    }

    /// Encodes a datagram: tag, then payload.
    pub fn seal_datagram<T>(&self, value: &T) -> Result<Vec<u8>, CodecError>
    where
        T: Serialize,
    {
        let mut buf = vec![0; TAG_BYTES];
        buf = postcard::to_extend(value, buf)?;
        let tag = blake3::keyed_hash(&self.0, &buf[TAG_BYTES..]);
        buf[..TAG_BYTES].copy_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        Ok(buf)
    }

    /// Decodes a datagram after its tag was checked.
    pub fn open_datagram<T>(&self, buf: &[u8]) -> Result<T, CodecError>
    where
        T: DeserializeOwned,
    {
        let (tag, payload) = buf
            .split_at_checked(TAG_BYTES)
            .ok_or(CodecError::TooShort)?;
        if !same(tag, &blake3::keyed_hash(&self.0, payload)) {
            return Err(CodecError::BadTag);
        }
        Ok(postcard::from_bytes(payload)?)
    }
}

struct Direction {
    key: [u8; 32],
    side: u8,
    /// Number of the next frame; rises by one with each.
    next: u64,
}

impl Direction {
    fn tag(&mut self, payload: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&[self.side]);
        hasher.update(&self.next.to_le_bytes());
        hasher.update(payload);
        self.next += 1;
        hasher.finalize()
    }
}

/// Encodes the frames of one direction.
pub struct Sealer(Direction);

/// Checks and decodes the frames of one direction.
pub struct Opener(Direction);

impl std::fmt::Debug for Sealer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Sealer(next {})", self.0.next)
    }
}

impl std::fmt::Debug for Opener {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Opener(next {})", self.0.next)
    }
}

impl Sealer {
    /// Appends the frame for `value` to `buf`.
    pub fn seal<T>(&mut self, value: &T, mut buf: Vec<u8>) -> Result<Vec<u8>, CodecError>
    where
        T: Serialize,
    {
        let start = buf.len();
        buf.extend_from_slice(&[0; 4]);
        buf = postcard::to_extend(value, buf)?;
        let payload = start + 4;
        let len = buf.len() - payload;
        if len > MAX_FRAME_BYTES {
            return Err(CodecError::TooLong(len));
        }
        buf[start..payload].copy_from_slice(&(len as u32).to_le_bytes());
        let tag = self.0.tag(&buf[payload..]);
        buf.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        Ok(buf)
    }
}

impl Opener {
    /// Checks a frame's announced length before anything is allocated for it.
    pub fn check_len(&self, len: usize) -> Result<(), CodecError> {
        let max = if self.0.next == 0 {
            MAX_FIRST_FRAME_BYTES
        } else {
            MAX_FRAME_BYTES
        };
        if len > max {
            Err(CodecError::TooLong(len))
        } else {
            Ok(())
        }
    }

    /// Decodes a payload after its tag was checked.
    pub fn open<T>(&mut self, payload: &[u8], tag: &[u8]) -> Result<T, CodecError>
    where
        T: DeserializeOwned,
    {
        if !same(tag, &self.0.tag(payload)) {
            return Err(CodecError::BadTag);
        }
        Ok(postcard::from_bytes(payload)?)
    }
}

/// Compares a tag in constant time.
fn same(tag: &[u8], hash: &blake3::Hash) -> bool {
    let expected = &hash.as_bytes()[..TAG_BYTES];
    tag.len() == TAG_BYTES
        && tag
            .iter()
            .zip(expected)
            .fold(0, |acc, (a, b)| acc | (a ^ b))
            == 0
}
