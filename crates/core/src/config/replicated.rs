//! The state that the control servers replicate.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::{ChangeOutcome, ChangeRequest, ClusterState};

/// Number of requests whose outcomes are kept, so that a retry gets the original outcome.
pub const MAX_RECENT_REQUESTS: usize = 4096;
/// Maximum length in bytes of the reason for which a change is invalid; it is replicated with the
/// outcome.
const MAX_REASON_BYTES: usize = 256;

/// The configuration and the outcomes of recent
/// requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ControlState {
    /// The configuration; copied on a change while readers share it.
    pub cluster: Arc<ClusterState>,
    /// Outcomes by request id, oldest first, at most [`MAX_RECENT_REQUESTS`].
    pub recent: IndexMap<Uuid, ChangeOutcome>,
}

impl ControlState {
    /// Applies a request. A retry has no effect and returns the original outcome.
    pub fn apply(&mut self, req: ChangeRequest) -> ChangeOutcome {
        if let Some(outcome) = self.recent.get(&req.request_id) {
            return outcome.clone();
        }
        let mut outcome = Arc::make_mut(&mut self.cluster).apply(req.base, req.change);
        if let ChangeOutcome::Invalid { reason } = &mut outcome {
            truncate_reason(reason);
        }
        if self.recent.len() >= MAX_RECENT_REQUESTS {
            self.recent.shift_remove_index(0);
        }
        self.recent.insert(req.request_id, outcome.clone());
        outcome
    }
}

/// Cuts a reason to [`MAX_REASON_BYTES`] at the end of a character.
fn truncate_reason(reason: &mut String) {
    let mut end = reason.len().min(MAX_REASON_BYTES);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    reason.truncate(end);
}
