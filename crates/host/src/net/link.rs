//! The link protocol on a connection of the event loop: nonces, handshake, frames.

use rw_core::codec::{
    ClusterKey, CodecError, HEADER_BYTES, NONCE_BYTES, Opener, Sealer, TAG_BYTES,
};
use rw_core::msg::{Hello, Msg};

use crate::metrics;

/// The state of a link's handshake.
pub(super) enum LinkState {
    /// The local nonce is not sent yet; the connecting side sends it once connected.
    New,
    /// The local nonce is sent; the peer's nonce is awaited.
    NonceSent([u8; NONCE_BYTES]),
    /// The local [`Hello`] is sent as the first frame; the peer's is awaited.
    HelloSent(Sealer, Opener),
    /// The handshake is complete.
    Up(Sealer, Opener),
}

/// The protocol state of a link.
pub(super) struct LinkSession {
    pub(super) state: LinkState,
    /// Whether this side opened the connection.
    pub(super) is_client: bool,
}

/// The result of reading a link's input.
pub(super) enum LinkInput {
    /// The next message is not complete yet.
    Incomplete,
    /// The handshake was completed by the peer's [`Hello`].
    Up(Hello),
    /// A message after the handshake.
    Msg(Msg),
}

impl LinkSession {
    /// Appends the local nonce to `out`. Does nothing if it was sent already.
    pub(super) fn send_nonce(&mut self, out: &mut Vec<u8>) {
        if matches!(self.state, LinkState::New) {
            let local_nonce: [u8; NONCE_BYTES] = std::array::from_fn(|_| fastrand::u8(..));
            out.extend_from_slice(&local_nonce);
            self.state = LinkState::NonceSent(local_nonce);
        }
    }

    /// Reads the next message from `input`. Handshake output is appended to `out`. Fails if a frame
    /// is not authentic or the first message is not a [`Hello`].
    pub(super) fn next_message(
        &mut self,
        input: &mut Input<'_>,
        key: &ClusterKey,
        hello: &Hello,
        out: &mut Vec<u8>,
    ) -> Result<LinkInput, CodecError> {
        if let LinkState::NonceSent(local_nonce) = &self.state {
            let Some(peer_nonce) = input.take(NONCE_BYTES) else {
                return Ok(LinkInput::Incomplete);
            };
            let (client, server) = if self.is_client {
                (&local_nonce[..], peer_nonce)
            } else {
                (peer_nonce, &local_nonce[..])
            };
            let (mut sealer, opener) = key.directions(client, server, self.is_client);
            let sealed = sealer.seal(&Msg::Hello(hello.clone()), std::mem::take(out))?;
            *out = sealed;
            self.state = LinkState::HelloSent(sealer, opener);
        }
        let opener = match &mut self.state {
            LinkState::HelloSent(_, opener) | LinkState::Up(_, opener) => opener,
            LinkState::New | LinkState::NonceSent(_) => return Ok(LinkInput::Incomplete),
        };
        let Some(msg) = read_message(input, opener)? else {
            return Ok(LinkInput::Incomplete);
        };
        let state = std::mem::replace(&mut self.state, LinkState::New);
        match (state, msg) {
            (LinkState::HelloSent(sealer, opener), Msg::Hello(peer)) => {
                self.state = LinkState::Up(sealer, opener);
                Ok(LinkInput::Up(peer))
            }
            (LinkState::HelloSent(..), _) => Err(CodecError::BadTag),
            (state, msg) => {
                self.state = state;
                Ok(LinkInput::Msg(msg))
            }
        }
    }

    /// Appends a message's frame to `out`. Does nothing before the link is up.
    pub(super) fn seal(&mut self, msg: &Msg, out: &mut Vec<u8>) -> Result<(), CodecError> {
        if let LinkState::Up(sealer, _) = &mut self.state {
            let before = out.len();
            *out = sealer.seal(msg, std::mem::take(out))?;
            metrics::count_sent(msg);
            metrics::SENT_BYTES.inc_by((out.len() - before) as u64);
        }
        Ok(())
    }

    pub(super) fn is_up(&self) -> bool {
        matches!(self.state, LinkState::Up(..))
    }
}

/// Received bytes, and the number of them that have been consumed.
pub(super) struct Input<'a> {
    pub(super) buf: &'a [u8],
    pub(super) consumed: usize,
}

impl<'a> Input<'a> {
    fn take(&mut self, len: usize) -> Option<&'a [u8]> {
        let bytes = self.buf.get(self.consumed..self.consumed + len)?;
        self.consumed += len;
        Some(bytes)
    }
}

/// Reads frames up to the end of a message; `None` if it is not complete yet.
fn read_message(input: &mut Input<'_>, opener: &mut Opener) -> Result<Option<Msg>, CodecError> {
    loop {
        let rest = &input.buf[input.consumed..];
        let Some(header) = rest.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let header = opener.read_header(*header)?;
        let end = HEADER_BYTES + header.len + TAG_BYTES;
        let Some(frame) = rest.get(HEADER_BYTES..end) else {
            return Ok(None);
        };
        let (payload, tag) = frame.split_at(header.len);
        let msg = opener.open(header, payload, tag)?;
        input.consumed += end;
        if msg.is_some() {
            return Ok(msg);
        }
    }
}
