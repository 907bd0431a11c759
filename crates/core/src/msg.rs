//! Messages between the system's own processes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::answer::Answer;
use crate::config::ClusterState;
use crate::ids::{Digest, JobKey, Name, NodeRef, WallMs};
use crate::job::Needs;
use crate::members::Member;
use crate::pool::msg::PoolMsg;
use crate::raft::RaftMsg;

/// The result of one started task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum TaskResult {
    /// The backend server's bytes.
    Done(Arc<[u8]>),
    /// The backend server failed it; one line says how.
    Failed(String),
}

/// One dispatch of one task to one agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Start {
    /// The job.
    pub key: JobKey,
    /// The job's attempt; a higher one supersedes.
    pub attempt: u32,
    /// The task's place in the job.
    pub index: u16,
    /// Rises with each dispatch by one entry process.
    pub dispatch: u64,
    /// The agent's credit epoch that the credit came from.
    pub epoch: u64,
    /// The entry that the credit was granted to; another one when it was lent.
    pub account: Name,
    /// The service.
    pub service: Name,
    /// Milliseconds that the result is still of use.
    pub deadline_ms: u32,
    /// Tasks that wait at the entry for this service.
    pub backlog: u32,
    /// Opaque bytes for the backend server.
    pub payload: Arc<[u8]>,
}

/// Identifies one dispatch in questions and replies.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct TaskRef {
    /// The job.
    pub key: JobKey,
    /// The job's attempt.
    pub attempt: u32,
    /// The task's place in the job.
    pub index: u16,
    /// The entry's dispatch number.
    pub dispatch: u64,
}

/// From an entry to an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ToAgent {
    /// Start a task now, against one credit.
    Start(Start),
    /// This many tasks wait and no credit is left.
    Want {
        /// Waiting tasks.
        backlog: u32,
    },
    /// Gives idle credits back.
    Return {
        /// Number of credits.
        credits: u32,
        /// Their epoch.
        epoch: u64,
        /// Tasks that wait at the entry.
        backlog: u32,
        /// The entry that they were granted to.
        account: Name,
        /// Credits of that account that are still held; more are not outstanding.
        held: u32,
    },
    /// The offer of a leaving agent was taken in: no start against an earlier one follows.
    OfferSeen {
        /// The offer's epoch.
        epoch: u64,
    },
    /// Asks what became of dispatches after the link was lost. What never started is barred.
    Query {
        /// The dispatches.
        tasks: Vec<TaskRef>,
    },
    /// Bars all earlier attempts of a job and asks for what is known of it.
    Collect {
        /// The job.
        key: JobKey,
        /// The new attempt.
        attempt: u32,
    },
    /// Claims a key.
    Claim(Claim),
}

/// A claim of a job's key at one registry replica.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Claim {
    /// The key.
    pub key: JobKey,
    /// The shard's placement version that the entry knows.
    pub version: u64,
    /// The replica's incarnation in that placement.
    pub replica: NodeRef,
    /// The entry process that wants to run the job.
    pub owner: NodeRef,
    /// 1 for a first claim, higher to take over.
    pub attempt: u32,
    /// Digest of the request.
    pub digest: Digest,
    /// Whether the key is to be closed: refused as not run, now and for ever.
    pub closed: bool,
}

/// A replica's word on a claim.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimReply {
    /// Recorded.
    Granted,
    /// Another owner or a higher attempt holds the key.
    Held {
        /// The holder.
        owner: NodeRef,
        /// Its attempt.
        attempt: u32,
        /// Its request's digest.
        digest: Digest,
        /// Whether that attempt closed the key without a start.
        closed: bool,
    },
    /// The replica serves another version, or is not ready; ask again later.
    Busy,
    /// The key is older than the replica's knowledge.
    Forgotten,
}

/// From an agent to an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ToEntry {
    /// What the agent offers now.
    Offer(Offer),
    /// Grants credits.
    Grant {
        /// Number of credits.
        credits: u32,
        /// Their epoch.
        epoch: u64,
    },
    /// Asks for idle credits back.
    Recall {
        /// At most this many.
        credits: u32,
    },
    /// A started task ended.
    Done {
        /// Which.
        task: TaskRef,
        /// Digest of the request that was run.
        digest: Digest,
        /// Run time in microseconds; 0 when it is not known any more.
        run_us: u32,
        /// The result.
        result: TaskResult,
        /// Whether the slot's credit comes with it.
        credit: bool,
        /// Epoch of that credit.
        epoch: u64,
    },
    /// Proof that a dispatch did not start and never will.
    Refused {
        /// Which.
        task: TaskRef,
        /// Why.
        reason: RefusalReason,
    },
    /// A dispatch that was asked about still runs.
    Running {
        /// Which.
        task: TaskRef,
    },
    /// What is known of a job after [`ToAgent::Collect`].
    Collected {
        /// The job.
        key: JobKey,
        /// The attempt that asked.
        attempt: u32,
        /// Start of the agent's memory.
        knows_since: WallMs,
        /// Tasks that still run; their results follow as `Done`.
        running: Vec<u16>,
        /// Tasks that ended.
        done: Vec<(u16, Digest, TaskResult)>,
    },
    /// Reply to a claim.
    Claimed {
        /// The key.
        key: JobKey,
        /// The attempt that was claimed.
        attempt: u32,
        /// The placement version that it was claimed at.
        version: u64,
        /// Whether the key was to be closed.
        closed: bool,
        /// The replica's word.
        reply: ClaimReply,
    },
}

/// Why a dispatch was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RefusalReason {
    /// The credit is not one of the agent's current ones.
    StaleCredit,
    /// A higher attempt of the job is known.
    Superseded,
    /// The agent is leaving, or no backend server of the service is there.
    NoBackend,
    /// The backend server refused the connection.
    ConnectionRefused,
    /// The entry asked after it, and it had not arrived.
    NeverArrived,
    /// The deadline had passed.
    TooLate,
}

/// What an agent offers: services, slots and size.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Offer {
    /// The credit epoch; credits of other epochs are void.
    pub epoch: u64,
    /// Services of the live backend servers.
    pub services: Vec<Name>,
    /// Slots over all live backend servers; 0 while draining.
    pub slots: u32,
    /// The size of the largest backend server.
    pub size: Needs,
    /// Whether the agent is leaving.
    pub leaving: bool,
}

/// Between entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Peer {
    /// Asks for the answer of a job that the other entry holds.
    Attach {
        /// The job.
        key: JobKey,
    },
    /// The answer, or `None` when the entry never started it and never will at that attempt.
    Attached {
        /// The job.
        key: JobKey,
        /// The answer.
        answer: Option<Answer>,
    },
    /// Asks for idle credits.
    Borrow {
        /// The service whose tasks wait.
        service: Name,
        /// How many wait.
        tasks: u32,
    },
    /// Lends idle credits for a short time.
    Lent {
        /// The credits.
        loans: Vec<Loan>,
    },
    /// The load that tenants bring to this entry.
    Demand {
        /// Tenant and tasks asked for in the last second.
        tenants: Vec<(Name, u32)>,
    },
}

/// Credits of one agent that one entry lends another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Loan {
    /// The agent.
    pub agent: Name,
    /// The credits' epoch.
    pub epoch: u64,
    /// The entry that they were granted to.
    pub account: Name,
    /// Their number.
    pub credits: u32,
}

/// One-off questions on a connection of their own.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Ask {
    /// Asks for the configuration and the member list.
    Sync {
        /// The revision that the asker has.
        revision: u64,
    },
    /// Seals a shard below `version` and asks for its records.
    Seal {
        /// The shard.
        shard: u32,
        /// The version that the asker is to serve.
        version: u64,
    },
}

/// Replies to [`Ask`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Told {
    /// Configuration, if newer, and members.
    Sync {
        /// The configuration, when the asker's is older.
        state: Option<Arc<ClusterState>>,
        /// All known members.
        members: Vec<Member>,
    },
    /// The shard's records as sealed.
    Sealed(crate::registry::SealedShard),
    /// The question cannot be answered here.
    Unable,
}

/// All messages on TCP links.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Msg {
    /// First message of each side.
    Hello(Hello),
    /// Keeps an idle link alive.
    Ping,
    /// Entry to agent.
    ToAgent(ToAgent),
    /// Agent to entry.
    ToEntry(ToEntry),
    /// Entry to entry.
    Peer(Peer),
    /// Control to control.
    Raft(RaftMsg),
    /// A question.
    Ask(Ask),
    /// Its reply.
    Told(Told),
    /// About pooled jobs.
    Pool(PoolMsg),
}

/// Who is at the other end of a link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hello {
    /// The process.
    pub node: NodeRef,
    /// What it is.
    pub role: Role,
    /// Its failure domain.
    pub domain: Name,
}

/// What a process is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Holds the replicated log.
    Control,
    /// Accepts jobs.
    Entry,
    /// Sits beside a backend server.
    Agent,
    /// An operator's or test's tool.
    Tool,
}

impl Msg {
    /// The label under which the message is counted.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Ping => "ping",
            Self::ToAgent(ToAgent::Start(_)) => "start",
            Self::ToAgent(ToAgent::Want { .. }) => "want",
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
            Self::Told(_) => "told",
            Self::Pool(msg) => msg.kind(),
        }
    }
}
