//! What a connection holds and waits for, as far as the budget of strangers is concerned.

use super::super::ConnId;
use super::super::budget::{Holding, Standing};
use super::super::http::{HttpLimits, HttpResponse};
use super::{Conn, ConnKind};

/// Input in bytes that is read before a request is parsed or ahead of its response, beyond which
/// reading pauses. Heads may be longer where the limits permit it.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

impl Conn {
    /// Returns whether the peer owes something: the rest of a request, a proof of the key, or the
    /// reading of a response.
    pub(in crate::net) fn is_awaited(&self) -> bool {
        self.is_stranger()
            && self.closing_since.is_none()
            && (self.request_started.is_some() || self.has_output() || self.link.is_some())
    }

    /// Returns whether the peer has proved nothing: a caller, or a link without a proof of the key.
    pub(in crate::net) fn is_stranger(&self) -> bool {
        match self.kind {
            ConnKind::Http(_) => true,
            ConnKind::Calls => false,
            ConnKind::Link => self
                .link
                .as_ref()
                .is_some_and(|link| !link.is_client && !link.is_up()),
        }
    }

    /// Returns the memory in bytes that the connection's buffers take.
    pub(in crate::net) fn held_bytes(&self) -> usize {
        self.input.capacity() + self.output.capacity() + self.reader.held_bytes()
    }

    /// Returns what the connection holds and does, for the budget of strangers.
    pub(in crate::net) fn holding(&self, id: ConnId) -> Holding {
        let standing = if self.serving {
            Standing::InProgress
        } else if self.has_output() && self.link.is_none() {
            Standing::Unread
        } else if self.was_served && !self.is_midway() {
            Standing::Idle
        } else {
            Standing::Incomplete
        };
        Holding {
            id,
            bytes: self.held_bytes(),
            standing,
            active_at: self.last_received.max(self.last_written),
        }
    }

    /// Tells a caller whose request has begun that it is not run, as far as the socket takes it.
    pub(in crate::net) fn refuse_for_lack_of_room(&mut self) {
        if self.reader.head().is_none() || self.has_output() {
            return;
        }
        self.last_request = true;
        let body = br#"{"error":"too many requests at once; not run"}"#.to_vec();
        let mut response = HttpResponse::with_body(503, "application/json", body);
        response.headers.push(("Retry-After".into(), "1".into()));
        self.respond(&response);
        self.write(self.last_received);
    }

    /// Returns whether there is input to read or to parse, and nothing that it waits for.
    pub(in crate::net) fn can_go_on(&self, limits: &HttpLimits) -> bool {
        let is_waiting = matches!(self.kind, ConnKind::Http(_)) && self.is_serving();
        !is_waiting && (self.unread && !self.is_full(limits) || self.has_next)
    }

    /// Returns whether the connection holds as much input as it may before its next step.
    pub(in crate::net) fn is_full(&self, limits: &HttpLimits) -> bool {
        let max = match self.kind {
            ConnKind::Http(_) => MAX_READ_AHEAD_BYTES.max(limits.head_bytes),
            ConnKind::Link if self.is_stranger() => MAX_READ_AHEAD_BYTES,
            ConnKind::Link | ConnKind::Calls => usize::MAX,
        };
        self.input.len() > max || self.closing_since.is_some()
    }
}
