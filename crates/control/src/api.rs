//! HTTP for operators: the state, changes, members.

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

use crate::duty::Event;

/// Connections that are open at once; more are refused.
pub const HTTP_CONNECTIONS: usize = 128;
const MAX_CHANGE_BYTES: usize = 256 * 1024;
/// Time that a change may take to be committed.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
const STATE_TIMEOUT: Duration = Duration::from_secs(1);

/// How this node stands in the replicated log.
#[derive(Clone, Debug, Serialize)]
pub struct LogStatus {
    /// This node.
    pub node: Name,
    /// What it is in its term.
    pub standing: RaftRole,
    /// The leader that it follows.
    pub leader: Option<Name>,
    /// The term.
    pub term: u64,
    /// The last committed entry.
    pub commit: u64,
    /// The last entry.
    pub last: u64,
    /// The voters.
    pub voters: Vec<VoterId>,
    /// Whether this node surely is the only leader now.
    pub has_lease: bool,
}

/// The answer to a question for the state.
#[derive(Clone, Debug)]
pub struct StateReply {
    /// The log's status.
    pub log: LogStatus,
    /// The configuration, once it has caught up.
    pub state: Option<Arc<ClusterState>>,
}

/// What became of a proposal here.
#[derive(Clone, Debug)]
pub enum ChangeReply {
    /// Committed.
    Outcome(ChangeOutcome),
    /// This node does not lead.
    NotLeader(Option<Name>),
}

/// The answer to a question for the state that a majority confirms.
#[derive(Clone, Debug)]
pub enum ReadReply {
    /// The newest state.
    State(Arc<ClusterState>),
    /// This node does not lead, or no majority confirmed that it does.
    NotLeader(Option<Name>),
}

#[derive(Serialize)]
struct Status<'a> {
    log: LogStatus,
    state: &'a ClusterState,
    members: Vec<Member>,
}

/// The operators' side of a control node.
#[derive(Clone, Debug)]
pub struct Api {
    /// Where changes go.
    pub tx: Sender<Event>,
    /// Members.
    pub cluster: Cluster,
    /// Hashes of the operators' tokens.
    pub token_hashes: Arc<[String]>,
    /// Whether the state has caught up.
    pub ready: Arc<AtomicBool>,
}

impl Api {
    /// Answers a request.
    pub fn handle(&self, req: &Request) -> Response {
        if let Some(response) = http::common(req, self.ready.load(Ordering::Acquire), &self.cluster)
        {
            return response;
        }
        let known = http::bearer_hash(req).is_some_and(|hash| self.token_hashes.contains(&hash));
        if !known {
            return http::problem("unauthorized", 401, "the token is no operator's", None);
        }
        match (req.method(), req.url().as_str()) {
            ("GET", "/v1/status") => self.status(req),
            ("POST", "/v1/changes") => self.change(req),
            _ => http::problem("not-found", 404, "no such path", None),
        }
    }

    /// The state; with `confirmed`, only from the one leader.
    fn status(&self, req: &Request) -> Response {
        let (tx, rx) = flume::bounded(1);
        let sent = self
            .tx
            .send_timeout(Event::State(tx), STATE_TIMEOUT)
            .is_ok();
        let reply = rx.recv_timeout(STATE_TIMEOUT);
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
            .send_timeout(Event::Change(change, tx), STATE_TIMEOUT)
            .is_err()
        {
            return http::problem("overloaded", 503, "the control node is busy", None);
        }
        match rx.recv_timeout(CHANGE_TIMEOUT) {
            Ok(ChangeReply::Outcome(outcome)) => outcome_response(&outcome),
            Ok(ChangeReply::NotLeader(leader)) => not_leader(leader.as_ref()),
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
