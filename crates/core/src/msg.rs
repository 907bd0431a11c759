//! Messages between the processes of a cluster.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::answer::Answer;
use crate::codec::MAX_MESSAGE_BYTES;
use crate::config::{ClusterState, MAX_STATE_BYTES};
use crate::ids::{Digest, JobKey, Name, NodeRef, WallMs};
use crate::job::{MAX_TASKS, Resources};
use crate::members::{MAX_LIST_BYTES, Member};
use crate::pool::msg::PoolMsg;
use crate::raft::RaftMsg;

/// Maximum length of a backend server's response body, in bytes.
pub const MAX_RESULT_BYTES: usize = 64 * 1024;

/// Maximum length in bytes of what an answer holds beside the results' bodies, for each task.
const RESULT_OVERHEAD_BYTES: usize = 64;

// The results of a whole job fit into one message.
const _: () = assert!(MAX_TASKS * (MAX_RESULT_BYTES + RESULT_OVERHEAD_BYTES) < MAX_MESSAGE_BYTES);
// So do the configuration and the member list.
const _: () = assert!(MAX_STATE_BYTES + MAX_LIST_BYTES < MAX_MESSAGE_BYTES);

/// Result of a started task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum TaskResult {
    /// The backend server's response body.
    Done(Arc<[u8]>),
    /// The backend server failed to run it; one line of explanation.
    Failed(String),
}

/// Dispatch of a task to an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Start {
    /// Key of the job.
    pub key: JobKey,
    /// The job's attempt; a higher one supersedes it.
    pub attempt: u32,
    /// Index of the task in the job.
    pub index: u16,
    /// Dispatch number, which increases with each dispatch by one entry process.
    pub dispatch: u64,
    /// Credit epoch of the agent in which the credit was granted.
    pub epoch: u64,
    /// Entry to which the credit was granted; not the sender if the credit was lent to it.
    pub account: Name,
    /// Service that runs the task.
    pub service: Name,
    /// Time left until the job's deadline, in milliseconds.
    pub deadline_ms: u32,
    /// Number of tasks queued at the entry for this service.
    pub backlog: u32,
    /// Request body for the backend server; opaque to the dispatcher.
    pub payload: Arc<[u8]>,
}

/// Identifies a dispatch in queries and replies.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TaskRef {
    /// Key of the job.
    pub key: JobKey,
    /// Attempt of the job.
    pub attempt: u32,
    /// Index of the task in the job.
    pub index: u16,
    /// Dispatch number at the entry.
    pub dispatch: u64,
}

/// Message from an entry to an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ToAgent {
    /// Starts a task immediately, which uses one credit.
    Start(Start),
    /// Reports queued tasks for which no credit is left.
    ReportBacklog {
        /// Number of queued tasks.
        backlog: u32,
    },
    /// Returns unused credits.
    Return {
        /// Number of credits.
        credits: u32,
        /// Epoch of the credits.
        epoch: u64,
        /// Number of tasks queued at the entry.
        backlog: u32,
        /// Entry to which they were granted.
        account: Name,
        /// Number of credits of that account that are still held; no others are outstanding.
        held: u32,
    },
    /// Acknowledges the offer of a leaving agent: no start that relies on an earlier offer follows.
    OfferSeen {
        /// Epoch of the offer.
        epoch: u64,
    },
    /// Queries the state of dispatches after the link was lost. A dispatch that had not started is
    /// blocked, so that it never starts.
    Query {
        /// The dispatches.
        tasks: Vec<TaskRef>,
    },
    /// Blocks all earlier attempts of a job and requests the recorded state of its tasks.
    Collect {
        /// Key of the job.
        key: JobKey,
        /// The new attempt.
        attempt: u32,
    },
    /// Claims a job key at a registry replica.
    Claim(Claim),
}

/// A claim of a job's key at one registry replica.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Claim {
    /// The claimed key.
    pub key: JobKey,
    /// Placement version of the shard as the entry knows it.
    pub version: u64,
    /// The replica that is to decide, as named in that placement.
    pub replica: NodeRef,
    /// Entry process that is to run the job.
    pub owner: NodeRef,
    /// 1 for the first claim of a job, higher for a takeover.
    pub attempt: u32,
    /// Digest of the job request.
    pub digest: Digest,
    /// Whether to close the key: the job is refused as not run, permanently.
    pub closed: bool,
}

/// A replica's decision on a claim.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The claim is recorded.
    Granted,
    /// Another owner or a higher attempt holds the key.
    Held {
        /// Entry process that owns the key.
        owner: NodeRef,
        /// Its attempt.
        attempt: u32,
        /// Digest of its job request.
        digest: Digest,
        /// Whether that attempt closed the key without a start.
        closed: bool,
    },
    /// The replica serves another version, is not ready or is full; retry later.
    Busy,
    /// The claim cannot be decided: the key was created before the replica's records begin, or
    /// replicas disagree on its owner.
    Undecidable,
}

/// Message from an agent to an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ToEntry {
    /// Announces what the agent currently offers.
    Offer(Offer),
    /// Grants credits.
    Grant {
        /// Number of credits.
        credits: u32,
        /// Epoch of the credits.
        epoch: u64,
    },
    /// Requests the return of unused credits.
    Recall {
        /// Maximum number of credits to return.
        credits: u32,
    },
    /// Reports the end of a started task.
    Done {
        /// The dispatch.
        task: TaskRef,
        /// Digest of the request that was run.
        digest: Digest,
        /// Run time in microseconds; 0 if it is no longer known.
        run_us: u32,
        /// Result of the task.
        result: TaskResult,
        /// Whether the credit for the slot is granted again.
        credit: bool,
        /// Epoch of the credit.
        epoch: u64,
    },
    /// States that a dispatch did not start and never will.
    Refused {
        /// The dispatch.
        task: TaskRef,
        /// Reason for the refusal.
        reason: RefusalReason,
    },
    /// States that a queried dispatch is still running.
    Running {
        /// The dispatch.
        task: TaskRef,
    },
    /// Reply to [`ToAgent::Collect`]: the recorded state of the job's tasks.
    Collected {
        /// Key of the job.
        key: JobKey,
        /// Attempt on whose behalf it was requested.
        attempt: u32,
        /// Time at which the agent's records begin.
        knows_since: WallMs,
        /// Indices of running tasks; their results follow as [`ToEntry::Done`].
        running: Vec<u16>,
        /// Tasks that ended: index, digest of the request and result.
        done: Vec<(u16, Digest, TaskResult)>,
    },
    /// Reply to [`ToAgent::Claim`].
    Claimed {
        /// The claimed key.
        key: JobKey,
        /// Attempt of the claim.
        attempt: u32,
        /// Placement version of the claim.
        version: u64,
        /// Whether the claim was to close the key.
        closed: bool,
        /// The replica's decision.
        reply: ClaimReply,
    },
}

/// Reason for which an agent refused a dispatch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RefusalReason {
    /// The credit is not one of the agent's current ones.
    StaleCredit,
    /// A higher attempt of the job is known.
    Superseded,
    /// The agent is leaving or has no live backend server for the service.
    NoBackend,
    /// The backend server refused the connection.
    ConnectionRefused,
    /// The dispatch had not arrived when the entry queried it.
    NeverArrived,
    /// The deadline had passed.
    TooLate,
}

/// What an agent offers to an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Offer {
    /// Credit epoch; credits of other epochs are invalid.
    pub epoch: u64,
    /// Services provided by the live backend servers.
    pub services: Vec<Name>,
    /// Number of slots of all live backend servers; 0 while draining.
    pub slots: u32,
    /// Resources of the largest backend server.
    pub size: Resources,
    /// Whether the agent is leaving.
    pub leaving: bool,
}

/// Message between entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMsg {
    /// Requests the answer of a job that the receiver owns.
    Attach {
        /// Key of the job.
        key: JobKey,
    },
    /// Reply to [`PeerMsg::Attach`].
    Attached {
        /// Key of the job.
        key: JobKey,
        /// The job's answer; `None` if the entry did not start the job and never will at its
        /// attempt.
        answer: Option<Answer>,
    },
    /// Requests unused credits.
    Borrow {
        /// Service of the queued tasks.
        service: Name,
        /// Number of queued tasks.
        tasks: u32,
    },
    /// Lends unused credits for a short time.
    Lent {
        /// The lent credits, by agent.
        loans: Vec<Loan>,
    },
    /// Reports the load of each tenant on the sender.
    Demand {
        /// Tenants with the number of tasks that they requested in the last second.
        tenants: Vec<(Name, u32)>,
    },
}

/// Credits of one agent that an entry lends to another entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Loan {
    /// Agent that granted the credits.
    pub agent: Name,
    /// Epoch of the credits.
    pub epoch: u64,
    /// Entry to which they were granted.
    pub account: Name,
    /// Number of credits.
    pub credits: u32,
}

/// A single request, sent on a connection of its own.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Ask {
    /// Requests the configuration and the member list.
    Sync {
        /// Configuration revision of the requester.
        revision: u64,
    },
    /// Seals a registry shard below `version` and requests its records, in the order of their keys.
    Seal {
        /// Number of the shard.
        shard: u32,
        /// Placement version that the requester is to serve.
        version: u64,
        /// Highest key that the requester has received; `None` at first.
        after: Option<JobKey>,
    },
}

/// Reply to an [`Ask`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum AskReply {
    /// Reply to [`Ask::Sync`].
    Sync {
        /// The configuration; `None` if the requester's is not older.
        state: Option<Arc<ClusterState>>,
        /// All known members.
        members: Vec<Member>,
    },
    /// Reply to [`Ask::Seal`]: the next sealed records of the shard.
    Sealed(crate::registry::SealedShard),
    /// The receiver cannot answer the request.
    Unsupported,
}

/// A message on a TCP link between processes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Msg {
    /// First message in each direction.
    Hello(Hello),
    /// Keeps an idle link alive.
    Ping,
    /// From an entry to an agent.
    ToAgent(ToAgent),
    /// From an agent to an entry.
    ToEntry(ToEntry),
    /// Between entries.
    Peer(PeerMsg),
    /// Between control servers.
    Raft(RaftMsg),
    /// A single request.
    Ask(Ask),
    /// Reply to a single request.
    AskReply(AskReply),
    /// Message about pooled jobs.
    Pool(PoolMsg),
}

/// Identifies the sender at the start of a link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hello {
    /// Name and incarnation of the process.
    pub node: NodeRef,
    /// Kind of process.
    pub role: Role,
    /// Its failure domain.
    pub domain: Name,
}

/// Kind of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Replicates the configuration and decides placements.
    Control,
    /// Accepts jobs and dispatches their tasks.
    Entry,
    /// Runs next to backend servers and starts tasks on them.
    Agent,
    /// Tool of an operator or a test.
    Tool,
}

impl Msg {
    /// Returns the metric label under which the message is counted.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Ping => "ping",
            Self::ToAgent(ToAgent::Start(_)) => "start",
            Self::ToAgent(ToAgent::ReportBacklog { .. }) => "want",
            Self::ToAgent(ToAgent::Return { .. }) => "return",
            Self::ToAgent(ToAgent::OfferSeen { .. }) => "offer-seen",
            Self::ToAgent(ToAgent::Query { .. }) => "query",
            Self::ToAgent(ToAgent::Collect { .. }) => "collect",
            Self::ToAgent(ToAgent::Claim(_)) => "claim",
            Self::ToEntry(ToEntry::Offer(_)) => "offer",
            Self::ToEntry(ToEntry::Grant { .. }) => "grant",
            Self::ToEntry(ToEntry::Recall { .. }) => "recall",
            Self::ToEntry(ToEntry::Done { .. }) => "done",
            Self::ToEntry(ToEntry::Refused { .. }) => "refused",
            Self::ToEntry(ToEntry::Running { .. }) => "running",
            Self::ToEntry(ToEntry::Collected { .. }) => "collected",
            Self::ToEntry(ToEntry::Claimed { .. }) => "claimed",
            Self::Peer(_) => "peer",
            Self::Raft(_) => "raft",
            Self::Ask(_) => "ask",
            Self::AskReply(_) => "told",
            Self::Pool(msg) => msg.kind(),
        }
    }
}
