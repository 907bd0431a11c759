//! What a process holds for clients that have proved nothing yet ("strangers"): callers whose
//! requests are incomplete, responses that are not read, and links without a proof of the key.
//!
//! The limits follow from what the machine grants the process. They leave most of its memory and a
//! part of its descriptors to links, jobs and operators. When a limit is exceeded, [`victims`]
//! selects the connections to close; one whose request is in progress is never among them.

use std::time::Duration;

use rw_core::pool::Uptime;

use crate::settings::MachineLimits;

/// Bytes in a MiB.
const MIB: usize = 1024 * 1024;
/// Memory of the process in MiB where it is not known.
const DEFAULT_MEMORY_MB: usize = 512;
/// Part of the memory for strangers: their bytes are held at most twice, while one request is parsed.
const MEMORY_SHARE: usize = 4;
/// Smallest budget in bytes; one request with a body of 4 MiB fits.
const MIN_BYTES: usize = 6 * MIB;
/// Descriptors for listeners, logs, data files, membership and the event loop.
const OWN_FDS: usize = 32;
/// Smallest number of connections of all kinds.
const MIN_CONNS: usize = 8;
/// Part of the connections that strangers cannot take.
const CONN_RESERVE: usize = 8;
/// Length of the steps in which the silence of connections is compared, so that among those that send
/// equally fast the newest is closed.
const SILENCE_STEP: Duration = Duration::from_millis(250);
/// Average rate in bytes per second below which a peer is too slow, to send or to read.
const MIN_RATE: u64 = 256;
/// Time before the rate of a peer counts.
const RATE_GRACE: Duration = Duration::from_secs(20);

/// Limits on what strangers hold, all together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StrangerLimits {
    /// Bytes read, parsed and queued to be written.
    pub bytes: usize,
    /// Open connections.
    pub conns: usize,
    /// Open connections of all kinds, strangers or not.
    pub all_conns: usize,
    /// Estimated size of one parsed document, in bytes.
    pub parsed_bytes: usize,
}

impl StrangerLimits {
    /// Returns the limits on a machine, with at most `max_conns` connections.
    pub fn new(machine: &MachineLimits, max_conns: usize) -> Self {
        let memory_mb = machine
            .memory_mb
            .map_or(DEFAULT_MEMORY_MB, |mb| mb as usize);
        let bytes = (memory_mb * MIB / MEMORY_SHARE).max(MIN_BYTES);
        let fds = machine.file_descriptors.map_or(usize::MAX, |n| n as usize);
        let all_conns = max_conns.min(fds.saturating_sub(OWN_FDS)).max(MIN_CONNS);
        Self {
            bytes,
            conns: all_conns - all_conns / CONN_RESERVE,
            all_conns,
            parsed_bytes: bytes,
        }
    }
}

/// What a stranger's connection is doing, from the first to be closed to the last.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// Has sent no complete request, or a part of the next one.
    Incomplete,
    /// Waits for its next request.
    Idle,
    /// Has not read all of a response.
    Unread,
    /// Its request is in progress: never closed.
    InProgress,
}

/// A stranger's connection.
#[derive(Clone, Copy, Debug)]
pub struct Holding {
    /// The connection's number; newer ones have higher numbers.
    pub id: usize,
    /// Bytes that it holds.
    pub bytes: usize,
    /// What it is doing.
    pub standing: Standing,
    /// When bytes were last received from it or written to it.
    pub active_at: Uptime,
}

/// Returns the connections to close so that at least `bytes` bytes and `conns` connections become
/// free, as far as there are any that may be closed. The longest silent go first, and of those that
/// are equally fast the newest.
pub fn victims<I>(now: Uptime, holdings: I, bytes: usize, conns: usize) -> Vec<usize>
where
    I: IntoIterator<Item = Holding>,
{
    let closable =
        |held: &Holding| held.standing != Standing::InProgress && (conns > 0 || held.bytes > 0);
    let mut candidates: Vec<Holding> = holdings.into_iter().filter(closable).collect();
    let silence =
        |held: &Holding| now.saturating_sub(held.active_at).as_millis() / SILENCE_STEP.as_millis();
    candidates.sort_by_key(|held| {
        (
            held.standing,
            std::cmp::Reverse(silence(held)),
            std::cmp::Reverse(held.id),
        )
    });
    let (mut freed_bytes, mut freed_conns) = (0, 0);
    let mut victims = Vec::new();
    for held in candidates {
        if freed_bytes >= bytes && freed_conns >= conns {
            break;
        }
        freed_bytes += held.bytes;
        freed_conns += 1;
        victims.push(held.id);
    }
    victims
}

/// Returns whether a peer that has moved `bytes` bytes in `elapsed` is too slow to be waited for.
pub fn is_too_slow(bytes: u64, elapsed: Duration) -> bool {
    elapsed > RATE_GRACE && bytes < elapsed.as_secs() * MIN_RATE
}
