//! Encoding and authentication of frames and datagrams.
//!
//! A frame is `[header u32 LE][payload][tag 16 bytes]`. The header holds the length of the payload
//! and, in its highest bit, whether the message goes on in the next frame. The tag covers the
//! direction, the sequence number of the frame on the connection, the header and the payload. Its
//! key is derived from the cluster key and both sides' nonces, so that a frame can be neither
//! forged nor replayed.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Length of an authentication tag, in bytes.
pub const TAG_BYTES: usize = 16;
/// Length of the nonce that each side sends at the start of a connection, in bytes.
pub const NONCE_BYTES: usize = 16;
/// Length of a frame's header, in bytes.
pub const HEADER_BYTES: usize = 4;
/// Maximum payload of a frame, in bytes. A longer message is split over several frames.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// Maximum length of a message, in bytes. Whoever builds a message keeps it within this length.
pub const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;
/// Maximum payload of the first frame of a connection, in bytes: the sender is not authenticated
/// until its tag is checked.
pub const MAX_FIRST_FRAME_BYTES: usize = 4 * 1024;
/// Bit of a header that is set if the message goes on in the next frame.
const CONTINUES: u32 = 1 << 31;

/// Error of encoding or decoding a frame or datagram.
#[derive(Debug, Error)]
pub enum CodecError {
    /// A frame or a message exceeds its maximum; holds its length in bytes.
    #[error("frame or message of {0} bytes exceeds the maximum")]
    TooLong(usize),
    /// The first frame of a connection does not hold a whole message.
    #[error("first message is split over several frames")]
    SplitFirst,
    /// The datagram is too short to hold a tag.
    #[error("datagram is too short to hold an authentication tag")]
    TooShort,
    /// The authentication tag does not match.
    #[error("authentication tag does not match")]
    BadTag,
    /// The payload cannot be encoded, or is not a valid message.
    #[error("payload cannot be encoded or decoded: {0}")]
    Decode(#[from] postcard::Error),
}

/// Secret key shared by all processes of a cluster.
#[derive(Clone)]
pub struct ClusterKey([u8; 32]);

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}

impl ClusterKey {
    /// Derives the key from the cluster secret in the settings.
    pub fn new(secret: &str) -> Self {
        Self(blake3::derive_key(
            "redwingwick 2026 cluster key",
            secret.as_bytes(),
        ))
    }

    fn session_key(&self, client: &[u8], server: &[u8]) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(client);
        hasher.update(server);
        *hasher.finalize().as_bytes()
    }

    /// Returns the encoder for outgoing frames and the decoder for incoming frames of one side of a
    /// connection, for the nonces that `client` and `server` sent.
    pub fn directions(&self, client: &[u8], server: &[u8], is_client: bool) -> (Sealer, Opener) {
        let key = self.session_key(client, server);
        let (outbound, inbound) = if is_client { (0, 1) } else { (1, 0) };
        (
            Sealer(Direction {
                key,
                side: outbound,
                next: 0,
            }),
            Opener {
                direction: Direction {
                    key,
                    side: inbound,
                    next: 0,
                },
                partial: Vec::new(),
            },
        )
    }

    /// Encodes a datagram as a tag followed by the payload.
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

    /// Checks the tag of a datagram and decodes its payload.
    pub fn open_datagram<T>(&self, buf: &[u8]) -> Result<T, CodecError>
    where
        T: DeserializeOwned,
    {
        let (tag, payload) = buf
            .split_at_checked(TAG_BYTES)
            .ok_or(CodecError::TooShort)?;
        if !tags_match(tag, &blake3::keyed_hash(&self.0, payload)) {
            return Err(CodecError::BadTag);
        }
        Ok(postcard::from_bytes(payload)?)
    }
}

/// Authentication state of one direction of a connection.
struct Direction {
    key: [u8; 32],
    /// 0 for frames of the client, 1 for frames of the server.
    side: u8,
    /// Sequence number of the next frame.
    next: u64,
}

impl Direction {
    fn tag(&mut self, header: [u8; HEADER_BYTES], payload: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&[self.side]);
        hasher.update(&self.next.to_le_bytes());
        hasher.update(&header);
        hasher.update(payload);
        self.next += 1;
        hasher.finalize()
    }
}

/// Encodes and authenticates the frames of one direction.
pub struct Sealer(Direction);

/// Verifies the frames of one direction and decodes their messages.
pub struct Opener {
    direction: Direction,
    /// Payloads of the frames received so far of a message that is split over several.
    partial: Vec<u8>,
}

/// Decoded header of a frame whose length is within its maximum.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FrameHeader {
    /// Length of the payload in bytes.
    pub len: usize,
    bytes: [u8; HEADER_BYTES],
}

impl FrameHeader {
    fn continues(self) -> bool {
        u32::from_le_bytes(self.bytes) & CONTINUES != 0
    }
}

impl std::fmt::Debug for Sealer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Sealer(next {})", self.0.next)
    }
}

impl std::fmt::Debug for Opener {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Opener(next {})", self.direction.next)
    }
}

impl Sealer {
    /// Appends the frames for `value` to `buf`. Fails if the message exceeds
    /// [`MAX_MESSAGE_BYTES`]; `buf` then ends with an incomplete frame.
    pub fn seal<T>(&mut self, value: &T, mut buf: Vec<u8>) -> Result<Vec<u8>, CodecError>
    where
        T: Serialize,
    {
        let start = buf.len();
        buf.extend_from_slice(&[0; HEADER_BYTES]);
        buf = postcard::to_extend(value, buf)?;
        let payload = start + HEADER_BYTES;
        let len = buf.len() - payload;
        if len > MAX_MESSAGE_BYTES {
            return Err(CodecError::TooLong(len));
        }
        if len > MAX_FRAME_BYTES {
            let message = buf.split_off(payload);
            buf.truncate(start);
            self.seal_in_parts(&message, &mut buf);
            return Ok(buf);
        }
        let header = (len as u32).to_le_bytes();
        buf[start..payload].copy_from_slice(&header);
        let tag = self.0.tag(header, &buf[payload..]);
        buf.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        Ok(buf)
    }

    fn seal_in_parts(&mut self, message: &[u8], buf: &mut Vec<u8>) {
        let mut parts = message.chunks(MAX_FRAME_BYTES).peekable();
        while let Some(part) = parts.next() {
            let continues = if parts.peek().is_some() { CONTINUES } else { 0 };
            let header = (part.len() as u32 | continues).to_le_bytes();
            let tag = self.0.tag(header, part);
            buf.extend_from_slice(&header);
            buf.extend_from_slice(part);
            buf.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        }
    }
}

impl Opener {
    /// Decodes a frame's header and checks the length in it, so that an excessive one is rejected
    /// before memory is allocated for the payload.
    pub fn read_header(&self, bytes: [u8; HEADER_BYTES]) -> Result<FrameHeader, CodecError> {
        let len = (u32::from_le_bytes(bytes) & !CONTINUES) as usize;
        let header = FrameHeader { len, bytes };
        let is_first = self.direction.next == 0;
        if is_first && header.continues() {
            return Err(CodecError::SplitFirst);
        }
        let max = if is_first {
            MAX_FIRST_FRAME_BYTES
        } else {
            MAX_FRAME_BYTES
        };
        if len > max {
            return Err(CodecError::TooLong(len));
        }
        let message = self.partial.len() + len;
        if message > MAX_MESSAGE_BYTES {
            return Err(CodecError::TooLong(message));
        }
        Ok(header)
    }

    /// Checks the tag of the next frame. Decodes the message if the frame completes it; `None` if
    /// the message goes on in the next frame.
    pub fn open<T>(
        &mut self,
        header: FrameHeader,
        payload: &[u8],
        tag: &[u8],
    ) -> Result<Option<T>, CodecError>
    where
        T: DeserializeOwned,
    {
        if !tags_match(tag, &self.direction.tag(header.bytes, payload)) {
            return Err(CodecError::BadTag);
        }
        if !header.continues() && self.partial.is_empty() {
            return Ok(Some(postcard::from_bytes(payload)?));
        }
        self.partial.extend_from_slice(payload);
        if header.continues() {
            return Ok(None);
        }
        let message = std::mem::take(&mut self.partial);
        Ok(Some(postcard::from_bytes(&message)?))
    }
}

/// Returns the length of a value's encoding, in bytes; 0 if it cannot be encoded.
pub fn encoded_len<T>(value: &T) -> usize
where
    T: Serialize,
{
    postcard::serialize_with_flavor(value, postcard::ser_flavors::Size::default()).unwrap_or(0)
}

/// Compares a tag with the start of `hash`, in constant time.
fn tags_match(tag: &[u8], hash: &blake3::Hash) -> bool {
    let expected = &hash.as_bytes()[..TAG_BYTES];
    tag.len() == TAG_BYTES
        && tag
            .iter()
            .zip(expected)
            .fold(0, |acc, (a, b)| acc | (a ^ b))
            == 0
}
