//! Which requests' bodies an entry keeps: those of jobs for a queue, and operators' questions.

use std::sync::Arc;

use rw_core::pool::catalog::QueueTable;
use rw_core::pool::question::EXPLAIN_PATH;
use rw_host::http::authorization_hash;
use rw_host::net::{BodyFilter, BodyUse, HttpRequest};
use rw_host::pooled::METRICS_TAG;

use super::{CALLERS_TAG, CallerProtocol};

/// Decides by the catalogue in force and the operators' tokens.
pub(super) struct Bodies {
    pub(super) protocol: Arc<dyn CallerProtocol>,
    /// `None` before the first catalogue.
    pub(super) queues: Option<Arc<QueueTable>>,
    /// Hashes of the operators' tokens.
    pub(super) operator_token_hashes: Arc<[String]>,
}

impl Bodies {
    fn is_job(&self, head: &HttpRequest) -> bool {
        let queues = self.queues.as_ref();
        queues.is_some_and(|queues| self.protocol.takes_body(head, queues))
    }

    fn is_question(&self, head: &HttpRequest) -> bool {
        let hash = authorization_hash(head.header("authorization"));
        head.path == EXPLAIN_PATH
            && hash.is_some_and(|hash| self.operator_token_hashes.contains(&hash))
    }
}

impl BodyFilter for Bodies {
    fn body_use(&self, tag: u8, head: &HttpRequest) -> BodyUse {
        let is_kept = match tag {
            CALLERS_TAG => self.is_job(head),
            METRICS_TAG => self.is_question(head),
            _ => false,
        };
        if is_kept {
            BodyUse::Keep
        } else {
            BodyUse::Discard
        }
    }
}
