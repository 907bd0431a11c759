//! What an operator's port can ask of a control node.

use std::sync::Arc;
use std::time::Duration;

use flume::Sender;
use rouille::{Request, Response};
use rw_core::config::{Change, ChangeOutcome, ChangeRequest};
use rw_core::ids::Name;
use rw_core::pool::catalog::Catalog;

use crate::api::{ChangeReply, ReadReply};
use crate::duty::Event;

/// Time for a change to be committed; operators ask another node after a second.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for a busy node to take a question.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(1);

/// What became of a published catalogue.
#[derive(Clone, Debug, PartialEq)]
pub enum Published {
    /// It, or a higher version, is in force.
    Kept,
    /// Other content is in force under its version.
    OtherContent,
    /// It cannot be put in force.
    Invalid(String),
    /// This node does not lead; the name of the one that does, if known.
    Elsewhere(Option<Name>),
    /// Not known in time.
    Undecided,
}

/// The catalogue as a majority confirmed it.
#[derive(Clone, Debug, PartialEq)]
pub enum Confirmed {
    /// The newest; `None` before the first.
    Newest(Option<Arc<Catalog>>),
    /// This node does not lead; the name of the one that does, if known.
    Elsewhere(Option<Name>),
    /// No majority confirmed it in time.
    Unsure,
}

/// An operator's port: reads requests and answers them.
pub trait OperatorPort: Send + Sync {
    /// Answers a request.
    fn handle(&self, req: &Request, operations: &Operations) -> Response;
}

/// The questions that a port can ask.
#[derive(Clone, Debug)]
pub struct Operations {
    tx: Sender<Event>,
}

impl Operations {
    pub(crate) fn new(tx: Sender<Event>) -> Self {
        Self { tx }
    }

    /// Publishes a catalogue and waits until it is committed.
    pub fn publish(&self, catalog: Catalog) -> Published {
        if let Err(e) = catalog.check() {
            log::info!(version = catalog.version, reason:% = e; "catalogue refused");
            return Published::Invalid(e.to_string());
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
            .send_timeout(Event::Change(req, tx), QUEUE_TIMEOUT)
            .is_err()
        {
            log::warn!(version = version; "catalogue not taken: the node is busy");
            return Published::Undecided;
        }
        let published = match rx.recv_timeout(CHANGE_TIMEOUT) {
            Ok(ChangeReply::Outcome(ChangeOutcome::Applied { .. })) => Published::Kept,
            Ok(ChangeReply::Outcome(ChangeOutcome::Conflict { .. })) => Published::OtherContent,
            Ok(ChangeReply::Outcome(ChangeOutcome::Invalid { reason })) => {
                Published::Invalid(reason)
            }
            Ok(ChangeReply::NotLeader(leader)) => Published::Elsewhere(leader),
            Err(_) => Published::Undecided,
        };
        log::info!(version = version, outcome:? = published; "catalogue published");
        published
    }

    /// The newest catalogue, confirmed by a majority.
    pub fn newest(&self) -> Confirmed {
        let (tx, rx) = flume::bounded(1);
        if self
            .tx
            .send_timeout(Event::Read(tx), QUEUE_TIMEOUT)
            .is_err()
        {
            return Confirmed::Unsure;
        }
        match rx.recv_timeout(QUEUE_TIMEOUT) {
            Ok(ReadReply::State(state)) => Confirmed::Newest(state.catalog.clone()),
            Ok(ReadReply::NotLeader(leader)) => Confirmed::Elsewhere(leader),
            Err(_) => Confirmed::Unsure,
        }
    }
}
