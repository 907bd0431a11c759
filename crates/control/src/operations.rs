//! Operations that an [`OperatorProtocol`] can perform on a control node.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use flume::Sender;
use rouille::{Request, Response};
use rw_core::config::{Change, ChangeOutcome, ChangeRequest};
use rw_core::ids::Name;
use rw_core::pool::catalog::Catalog;
use rw_host::json::{self, JsonLimits};

use crate::api::{ChangeReply, ReadReply};
use crate::event_loop::Event;

/// Maximum time to wait for a change to be committed. Operators ask another node after 1 s.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time within which an election usually ends; below the second after which operators ask another
/// node.
const ELECTION_TIME: Duration = Duration::from_millis(400);
/// Pause between two tries of a request during an election.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
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
    /// The cluster is new and has to admit this many more control nodes before it accepts changes.
    TooFewVoters(usize),
    /// The outcome was not known in time; the catalogue may still be committed.
    Undecided,
}

/// Outcome of an order about a failure domain.
#[derive(Clone, Debug, PartialEq)]
pub enum DomainOutcome {
    /// The order is committed, or was in force before.
    InForce,
    /// The order is invalid, for the given reason.
    Invalid(String),
    /// This node does not lead, or too many changes wait to be committed; holds the name of the
    /// leader, if known.
    Elsewhere(Option<Name>),
    /// The cluster is new and has to admit this many more control nodes before it accepts changes.
    TooFewVoters(usize),
    /// The outcome was not known in time; the order may still be committed.
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

/// Repeats a request while no leader can serve it, for at most [`ELECTION_TIME`], so that it
/// succeeds once one is elected. Operators who are sent away come back only after a pause.
fn during_election<T, N, F>(no_leader: N, request: F) -> T
where
    N: Fn(&T) -> bool,
    F: Fn() -> T,
{
    let until = Instant::now() + ELECTION_TIME;
    loop {
        let outcome = request();
        if !no_leader(&outcome) || Instant::now() >= until {
            return outcome;
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
}

/// Returns why a new cluster accepts no change yet.
pub fn too_few_voters(missing: usize) -> String {
    format!("no change is accepted before {missing} more control nodes are admitted")
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
    documents: Arc<Documents>,
}

/// Bounds the memory of documents that are being parsed.
#[derive(Debug)]
struct Documents {
    limits: JsonLimits,
    /// Held while a document is parsed, so that only one takes memory for it.
    parsing: Mutex<()>,
}

impl Operations {
    /// `parsed_bytes` is the maximum estimated size of a parsed document.
    pub(crate) fn new(tx: Sender<Event>, parsed_bytes: usize) -> Self {
        let documents = Documents {
            limits: JsonLimits::document(parsed_bytes),
            parsing: Mutex::new(()),
        };
        Self {
            tx,
            documents: Arc::new(documents),
        }
    }

    /// Parses a JSON document, one at a time. Fails if it is too deep or would take too much memory.
    pub fn parse<T, F>(&self, text: &[u8], parse: F) -> Result<T, String>
    where
        F: FnOnce(&[u8]) -> Result<T, String>,
    {
        let documents = &self.documents;
        let _parsing = documents
            .parsing
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        json::check(text, &documents.limits).map_err(|e| e.to_string())?;
        parse(text)
    }

    /// Publishes a catalogue and waits until it is committed, for at most 5 s.
    pub fn publish(&self, catalog: Catalog) -> PublishOutcome {
        if let Err(e) = catalog.check() {
            log::info!(version = catalog.version, reason:% = e; "invalid catalogue refused");
            return PublishOutcome::Invalid(e.to_string());
        }
        let version = catalog.version;
        let change = Change::Publish {
            catalog: Arc::new(catalog),
        };
        let published = match self.change(change) {
            Some(ChangeReply::Outcome(ChangeOutcome::Applied { .. })) => PublishOutcome::Kept,
            Some(ChangeReply::Outcome(ChangeOutcome::Conflict { .. })) => {
                PublishOutcome::OtherContent
            }
            Some(ChangeReply::Outcome(ChangeOutcome::Invalid { reason })) => {
                PublishOutcome::Invalid(reason)
            }
            Some(ChangeReply::NotLeader(leader)) => PublishOutcome::Elsewhere(leader),
            Some(ChangeReply::TooFewVoters(missing)) => PublishOutcome::TooFewVoters(missing),
            None => PublishOutcome::Undecided,
        };
        log::info!(version = version, outcome:? = published; "catalogue publication finished");
        published
    }

    /// Orders that the workers of a failure domain get no new work, and waits until the order is
    /// committed. A domain that is evacuated already stays so.
    pub fn evacuate(&self, domain: &Name) -> DomainOutcome {
        let outcome = self.order(Change::Evacuate {
            domain: domain.clone(),
        });
        log::info!(domain:% = domain, outcome:? = outcome; "order to evacuate a domain finished");
        outcome
    }

    /// Withdraws [`Operations::evacuate`], and waits until this is committed. Without effect on a
    /// domain that is not evacuated.
    pub fn take_back(&self, domain: &Name) -> DomainOutcome {
        let outcome = self.order(Change::Return {
            domain: domain.clone(),
        });
        log::info!(domain:% = domain, outcome:? = outcome; "order to take a domain back finished");
        outcome
    }

    fn order(&self, change: Change) -> DomainOutcome {
        match self.change(change) {
            Some(ChangeReply::Outcome(ChangeOutcome::Applied { .. })) => DomainOutcome::InForce,
            Some(ChangeReply::Outcome(ChangeOutcome::Conflict { .. })) | None => {
                DomainOutcome::Undecided
            }
            Some(ChangeReply::Outcome(ChangeOutcome::Invalid { reason })) => {
                DomainOutcome::Invalid(reason)
            }
            Some(ChangeReply::NotLeader(leader)) => DomainOutcome::Elsewhere(leader),
            Some(ChangeReply::TooFewVoters(missing)) => DomainOutcome::TooFewVoters(missing),
        }
    }

    /// Proposes a change and waits until it is committed, across an election. Returns `None` if the
    /// outcome is not known in time.
    fn change(&self, change: Change) -> Option<ChangeReply> {
        let req = ChangeRequest {
            request_id: uuid::Uuid::from_u128(fastrand::u128(..)),
            base: u64::MAX,
            change,
        };
        let no_leader = |reply: &Option<ChangeReply>| {
            matches!(
                reply,
                Some(ChangeReply::NotLeader(None) | ChangeReply::TooFewVoters(_))
            )
        };
        during_election(no_leader, || self.propose(&req))
    }

    fn propose(&self, req: &ChangeRequest) -> Option<ChangeReply> {
        let (tx, rx) = flume::bounded(1);
        let event = Event::Change(req.clone(), tx);
        if self.tx.send_timeout(event, EVENT_LOOP_TIMEOUT).is_err() {
            log::warn!("change not proposed: event queue is full");
            return None;
        }
        rx.recv_timeout(CHANGE_TIMEOUT).ok()
    }

    /// Returns the latest catalogue, as confirmed by a majority.
    pub fn latest(&self) -> ReadOutcome {
        let no_leader = |outcome: &ReadOutcome| *outcome == ReadOutcome::NotLeader(None);
        during_election(no_leader, || self.read())
    }

    fn read(&self) -> ReadOutcome {
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
