//! The links' side of a connection: nonces, greeting, frames.

use rw_core::codec::{ClusterKey, CodecError, NONCE_BYTES, Opener, Sealer, TAG_BYTES};
use rw_core::msg::{Hello, Msg};

use crate::metrics;

/// How far a link has come.
pub(super) enum LinkState {
    /// Our nonce is to be sent; for the side that dialled, once connected.
    New,
    /// Our nonce is sent, theirs is awaited.
    Nonce([u8; NONCE_BYTES]),
    /// Frames are sealed; the greeting is awaited.
    Greeting(Sealer, Opener),
    /// Up.
    Up(Sealer, Opener),
}

/// The link part of a connection.
pub(super) struct LinkPart {
    pub(super) state: LinkState,
    pub(super) is_client: bool,
}

/// What a link's bytes gave.
pub(super) enum LinkInput {
    More,
    Up(Hello),
    Msg(Msg),
}

impl LinkPart {
    /// Sends our nonce once.
    pub(super) fn begin(&mut self, out: &mut Vec<u8>) {
        if matches!(self.state, LinkState::New) {
            let mine: [u8; NONCE_BYTES] = std::array::from_fn(|_| fastrand::u8(..));
            out.extend_from_slice(&mine);
            self.state = LinkState::Nonce(mine);
        }
    }

    /// Takes the next message from `input`.
    pub(super) fn take(
        &mut self,
        input: &mut Input<'_>,
        key: &ClusterKey,
        hello: &Hello,
        out: &mut Vec<u8>,
    ) -> Result<LinkInput, CodecError> {
        if let LinkState::Nonce(mine) = &self.state {
            let Some(theirs) = input.take(NONCE_BYTES) else {
                return Ok(LinkInput::More);
            };
            let (client, server) = if self.is_client {
                (&mine[..], theirs)
            } else {
                (theirs, &mine[..])
            };
            let (mut sealer, opener) = key.directions(client, server, self.is_client);
            let sealed = sealer.seal(&Msg::Hello(hello.clone()), std::mem::take(out))?;
            *out = sealed;
            self.state = LinkState::Greeting(sealer, opener);
        }
        let opener = match &mut self.state {
            LinkState::Greeting(_, opener) | LinkState::Up(_, opener) => opener,
            LinkState::New | LinkState::Nonce(_) => return Ok(LinkInput::More),
        };
        let Some(msg) = frame(input, opener)? else {
            return Ok(LinkInput::More);
        };
        let state = std::mem::replace(&mut self.state, LinkState::New);
        match (state, msg) {
            (LinkState::Greeting(sealer, opener), Msg::Hello(peer)) => {
                self.state = LinkState::Up(sealer, opener);
                Ok(LinkInput::Up(peer))
            }
            (LinkState::Greeting(..), _) => Err(CodecError::BadTag),
            (state, msg) => {
                self.state = state;
                Ok(LinkInput::Msg(msg))
            }
        }
    }

    /// Appends a message's frame. Nothing is sent before the link is up.
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

/// Bytes that arrived, and how many of them were taken.
pub(super) struct Input<'a> {
    pub(super) buf: &'a [u8],
    pub(super) taken: usize,
}

impl<'a> Input<'a> {
    fn take(&mut self, len: usize) -> Option<&'a [u8]> {
        let part = self.buf.get(self.taken..self.taken + len)?;
        self.taken += len;
        Some(part)
    }
}

fn frame(input: &mut Input<'_>, opener: &mut Opener) -> Result<Option<Msg>, CodecError> {
    let rest = &input.buf[input.taken..];
    let Some(len) = rest.first_chunk::<4>() else {
        return Ok(None);
    };
    let len = u32::from_le_bytes(*len) as usize;
    opener.check_len(len)?;
    let Some(whole) = rest.get(4..4 + len + TAG_BYTES) else {
        return Ok(None);
    };
    let (payload, tag) = whole.split_at(len);
    let msg = opener.open(payload, tag)?;
    input.taken += 4 + len + TAG_BYTES;
    Ok(Some(msg))
}
