//! HTTP API for operators: cluster status and configuration changes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use flume::Sender;
use rouille::{Request, Response};
use rw_core::config::{ChangeOutcome, ChangeRequest, ClusterState};
use rw_core::ids::Name;
use rw_core::members::Member;
use rw_core::raft::{RaftRole, VoterId};
use rw_host::cluster::Cluster;
use rw_host::http;
use serde::Serialize;

use crate::event_loop::Event;
use crate::operations::too_few_voters;

/// Maximum number of open HTTP connections; further ones are refused.
pub const HTTP_CONNECTIONS: usize = 128;
/// Maximum size of a change request's body in bytes.
const MAX_CHANGE_BYTES: usize = 256 * 1024;
/// Maximum time to wait for a change to be committed.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time for the event loop to accept a request or to report the state.
const EVENT_LOOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Status of the replicated log at this node.
#[derive(Clone, Debug, Serialize)]
pub struct LogStatus {
    /// Name of this node.
    pub node: Name,
    /// Raft role of this node in its current term.
    pub standing: RaftRole,
    /// Leader of the current term, if known.
    pub leader: Option<Name>,
    /// Current term.
    pub term: u64,
    /// Index of the last committed log entry.
    pub commit: u64,
    /// Index of the last log entry.
    pub last: u64,
    /// Current voters.
    pub voters: Vec<VoterId>,
    /// Whether this node holds the leader lease, so that no other node leads at present.
    pub has_lease: bool,
}

/// Reply to [`Event::State`].
#[derive(Clone, Debug)]
pub struct StateReply {
    /// Status of the replicated log.
    pub log: LogStatus,
    /// Configuration; `None` until this node has caught up with a leader since its start.
    pub state: Option<Arc<ClusterState>>,
}

/// Reply to [`Event::Change`].
#[derive(Clone, Debug)]
pub enum ChangeReply {
    /// Outcome of the committed proposal.
    Outcome(ChangeOutcome),
    /// This node does not lead, or too many changes wait to be committed; holds the leader's name,
    /// if known.
    NotLeader(Option<Name>),
    /// The cluster is new and has to admit this many more control nodes before it accepts changes.
    TooFewVoters(usize),
}

/// Reply to [`Event::Read`].
#[derive(Clone, Debug)]
pub enum ReadReply {
    /// Latest committed configuration.
    State(Arc<ClusterState>),
    /// This node does not lead, or no majority confirmed in time that it does; holds the leader's
    /// name, if known.
    NotLeader(Option<Name>),
}

/// Response body of `/v1/status`.
#[derive(Serialize)]
struct Status<'a> {
    log: LogStatus,
    state: &'a ClusterState,
    members: Vec<Member>,
}

/// HTTP API of a control node for operators.
#[derive(Clone, Debug)]
pub struct Api {
    /// Sends events to the event loop.
    pub tx: Sender<Event>,
    /// This node's view of the cluster.
    pub cluster: Cluster,
    /// Blake3 hashes of the operators' tokens, in hexadecimal.
    pub token_hashes: Arc<[String]>,
    /// Whether this node has caught up with a leader since its start, as reported by `/readyz`.
    pub ready: Arc<AtomicBool>,
}

impl Api {
    /// Handles one request. Paths other than those common to all daemons need an operator's token.
    pub fn handle(&self, req: &Request) -> Response {
        if let Some(response) =
            http::common_endpoints(req, self.ready.load(Ordering::Acquire), &self.cluster)
        {
            return response;
        }
        let authorized =
            http::bearer_hash(req).is_some_and(|hash| self.token_hashes.contains(&hash));
        if !authorized {
            return http::problem("unauthorized", 401, "the token is no operator's", None);
        }
        match (req.method(), req.url().as_str()) {
            ("GET", "/v1/status") => self.status(req),
            ("POST", "/v1/changes") => self.change(req),
            _ => http::problem("not-found", 404, "no such path", None),
        }
    }

    /// Returns the cluster status; with the parameter `confirmed`, only while this node holds the
    /// leader lease.
    fn status(&self, req: &Request) -> Response {
        let (tx, rx) = flume::bounded(1);
        let sent = self
            .tx
            .send_timeout(Event::State(tx), EVENT_LOOP_TIMEOUT)
            .is_ok();
        let reply = rx.recv_timeout(EVENT_LOOP_TIMEOUT);
        let (true, Ok(StateReply { log, state })) = (sent, reply) else {
            return http::problem("overloaded", 503, "the control node is busy", None);
        };
        if req.get_param("confirmed").is_some() && !log.has_lease {
            return not_leader(log.leader.as_ref());
        }
        let Some(state) = state else {
            return http::problem(
                "not-ready",
                503,
                "no majority was reached since the start",
                None,
            );
        };
        http::json(&Status {
            log,
            state: &state,
            members: self.cluster.members(),
        })
    }

    /// Proposes a change and waits until it is committed.
    fn change(&self, req: &Request) -> Response {
        let change: ChangeRequest = match http::json_body(req, MAX_CHANGE_BYTES) {
            Ok(change) => change,
            Err(response) => return response,
        };
        if !change.change.is_for_operators() {
            return http::problem("malformed", 400, "only the system places shards", None);
        }
        let (tx, rx) = flume::bounded(1);
        if self
            .tx
            .send_timeout(Event::Change(change, tx), EVENT_LOOP_TIMEOUT)
            .is_err()
        {
            return http::problem("overloaded", 503, "the control node is busy", None);
        }
        match rx.recv_timeout(CHANGE_TIMEOUT) {
            Ok(ChangeReply::Outcome(outcome)) => outcome_response(&outcome),
            Ok(ChangeReply::NotLeader(leader)) => not_leader(leader.as_ref()),
            Ok(ChangeReply::TooFewVoters(missing)) => {
                http::problem("not-ready", 503, &too_few_voters(missing), None)
            }
            Err(_) => {
                let detail = "not committed in time; resend with the same request id";
                http::problem("undecided", 504, detail, None)
            }
        }
    }
}

fn outcome_response(outcome: &ChangeOutcome) -> Response {
    let status = match outcome {
        ChangeOutcome::Applied { .. } => 200,
        ChangeOutcome::Conflict { .. } => 409,
        ChangeOutcome::Invalid { .. } => 422,
    };
    http::json(outcome).with_status_code(status)
}

fn not_leader(leader: Option<&Name>) -> Response {
    let detail = match leader {
        Some(leader) => format!("the leader is {leader}"),
        None => "no leader is known; no majority of control nodes may be reachable".into(),
    };
    http::problem("not-leader", 421, &detail, None)
}
