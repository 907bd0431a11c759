//! Operations that an [`OperatorProtocol`] can perform on a control node.

use std::sync::Arc;
use std::time::Duration;

use flume::Sender;
use rouille::{Request, Response};
use rw_core::config::{Change, ChangeOutcome, ChangeRequest};
use rw_core::ids::Name;
use rw_core::pool::catalog::Catalog;

use crate::api::{ChangeReply, ReadReply};
use crate::event_loop::Event;

/// Maximum time to wait for a change to be committed. Operators ask another node after 1 s.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum time for the event loop to accept a request, or to answer a read.
const EVENT_LOOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Outcome of publishing a catalogue.
#[derive(Clone, Debug, PartialEq)]
pub enum PublishOutcome {
    /// This or a higher version is in force.
    Kept,
    /// Different content is in force under the same version.
    OtherContent,
    /// The catalogue is invalid, for the given reason.
    Invalid(String),
    /// This node does not lead, or too many changes wait to be committed; holds the name of the
    /// leader, if known.
    Elsewhere(Option<Name>),
    /// The outcome was not known in time; the catalogue may still be committed.
    Undecided,
}

/// Outcome of a confirmed read of the catalogue.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadOutcome {
    /// The latest catalogue; `None` if none was published yet.
    Latest(Option<Arc<Catalog>>),
    /// This node does not lead, or no majority confirmed in time that it does; holds the name of
    /// the leader, if known.
    NotLeader(Option<Name>),
    /// The event loop did not take or answer the read in time.
    Unconfirmed,
}

/// Translates between [`Operations`] and the HTTP protocol of the operators.
pub trait OperatorProtocol: Send + Sync {
    /// Handles one request.
    fn handle(&self, req: &Request, operations: &Operations) -> Response;
}

/// Handle through which an [`OperatorProtocol`] reaches the control node's event loop.
#[derive(Clone, Debug)]
pub struct Operations {
    tx: Sender<Event>,
}

impl Operations {
    pub(crate) fn new(tx: Sender<Event>) -> Self {
        Self { tx }
    }

    /// Publishes a catalogue and waits until it is committed, for at most 5 s.
    pub fn publish(&self, catalog: Catalog) -> PublishOutcome {
        if let Err(e) = catalog.check() {
            log::info!(version = catalog.version, reason:% = e; "invalid catalogue refused");
            return PublishOutcome::Invalid(e.to_string());
        }
        let version = catalog.version;
        let (tx, rx) = flume::bounded(1);
        let change = Change::Publish {
            catalog: Arc::new(catalog),
        };
        let req = ChangeRequest {
            request_id: uuid::Uuid::from_u128(fastrand::u128(..)),
            base: u64::MAX,
            change,
        };
        if self
            .tx
            .send_timeout(Event::Change(req, tx), EVENT_LOOP_TIMEOUT)
            .is_err()
        {
            log::warn!(version = version; "catalogue not published: event queue is full");
            return PublishOutcome::Undecided;
        }
        let published = match rx.recv_timeout(CHANGE_TIMEOUT) {
            Ok(ChangeReply::Outcome(ChangeOutcome::Applied { .. })) => PublishOutcome::Kept,
            Ok(ChangeReply::Outcome(ChangeOutcome::Conflict { .. })) => {
                PublishOutcome::OtherContent
            }
            Ok(ChangeReply::Outcome(ChangeOutcome::Invalid { reason })) => {
                PublishOutcome::Invalid(reason)
            }
            Ok(ChangeReply::NotLeader(leader)) => PublishOutcome::Elsewhere(leader),
            Err(_) => PublishOutcome::Undecided,
        };
        log::info!(version = version, outcome:? = published; "catalogue publication finished");
        published
    }

    /// Returns the latest catalogue, as confirmed by a majority.
    pub fn latest(&self) -> ReadOutcome {
        let (tx, rx) = flume::bounded(1);
        if self
            .tx
            .send_timeout(Event::Read(tx), EVENT_LOOP_TIMEOUT)
            .is_err()
        {
            return ReadOutcome::Unconfirmed;
        }
        match rx.recv_timeout(EVENT_LOOP_TIMEOUT) {
            Ok(ReadReply::State(state)) => ReadOutcome::Latest(state.catalog.clone()),
            Ok(ReadReply::NotLeader(leader)) => ReadOutcome::NotLeader(leader),
            Err(_) => ReadOutcome::Unconfirmed,
        }
    }
}
