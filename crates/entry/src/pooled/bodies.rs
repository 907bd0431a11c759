//! Which requests' bodies an entry keeps: those of jobs for a queue.

use std::sync::Arc;

use rw_core::pool::catalog::QueueTable;
use rw_host::net::{BodyFilter, BodyUse, HttpRequest};

use super::{CALLERS_TAG, CallerProtocol};

/// Decides by the catalogue in force.
pub(super) struct Bodies {
    pub(super) protocol: Arc<dyn CallerProtocol>,
    /// `None` before the first catalogue.
    pub(super) queues: Option<Arc<QueueTable>>,
}

impl BodyFilter for Bodies {
    fn body_use(&self, tag: u8, head: &HttpRequest) -> BodyUse {
        let queues = self.queues.as_ref().filter(|_| tag == CALLERS_TAG);
        if queues.is_some_and(|queues| self.protocol.takes_body(head, queues)) {
            BodyUse::Keep
        } else {
            BodyUse::Discard
        }
    }
}
