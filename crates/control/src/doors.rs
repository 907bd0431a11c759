//! How a control node divides its connections and its memory among the doors at which others reach it.

use rw_host::link::MAX_LINKS;
use rw_host::net::budget::StrangerLimits;
use rw_host::settings::MachineLimits;

/// Maximum number of open HTTP connections, of operators and at the node's own interface.
const MAX_HTTP_CONNECTIONS: usize = 256;
/// Part of the connections for HTTP, and for links without a proof of the key; the last two parts are
/// for proved links.
const DOOR_SHARE: usize = 4;

/// The limits of the doors of one control node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Doors {
    /// Limits on HTTP.
    pub(crate) http: StrangerLimits,
    /// Maximum number of links that have not proved the key yet.
    pub(crate) max_unproven_links: usize,
}

impl Doors {
    /// Returns the limits on a machine.
    pub(crate) fn new(machine: &MachineLimits) -> Self {
        let share = StrangerLimits::new(machine, 2 * MAX_LINKS).all_conns / DOOR_SHARE;
        Self {
            http: StrangerLimits::new(machine, share.min(MAX_HTTP_CONNECTIONS)),
            max_unproven_links: share,
        }
    }
}
