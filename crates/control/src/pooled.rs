//! The control node for pooled jobs: a new cluster starts from a list of initial voters, and
//! operators publish through an [`OperatorProtocol`].

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use rw_core::ids::{Digest, Name};
use rw_core::raft::{Raft, VoterId};
use rw_host::http::{Service, serve_looped};
use rw_host::settings::{BoundSockets, MachineLimits, NodeSettings};

use crate::api::HTTP_CONNECTIONS;
use crate::doors::Doors;
use crate::event_loop::{self, ControlError, Peering, StartedNode};
use crate::operations::{Operations, OperatorProtocol};
use crate::store::Store;

/// Maximum number of the operators' requests in progress; further ones are refused.
const OPERATOR_REQUESTS: usize = 64;

/// Parameters of [`run`].
pub struct ControlSetup {
    /// Settings of the node. Its name is the one under which `initial_voters` lists it.
    pub node: NodeSettings,
    /// Directory of the journal.
    pub data: PathBuf,
    /// Address on which the node listens for the operators' requests.
    pub operators: SocketAddr,
    /// Names of the initial voters, the same set at each of them. Empty unless the whole cluster
    /// starts for the first time.
    pub initial_voters: Vec<Name>,
    /// Number of disks that may be lost at a time without the loss of an acknowledged change.
    pub tolerated_losses: usize,
    /// What the machine grants this process.
    pub limits: MachineLimits,
    /// The operators' protocol.
    pub protocol: Arc<dyn OperatorProtocol>,
    /// Blake3 hashes, in hexadecimal, of the operators' tokens for redwingwick's own interface.
    pub operator_token_hashes: Vec<String>,
    /// Rereads the settings and returns the seed addresses through which members are discovered;
    /// `None` keeps the current ones. Called every second.
    pub reload: Box<dyn FnMut() -> Option<Vec<SocketAddr>> + Send>,
}

impl std::fmt::Debug for ControlSetup {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ControlSetup({})", self.node.name)
    }
}

/// Runs the daemon until SIGTERM or SIGINT.
pub fn run(mut setup: ControlSetup) -> Result<(), ControlError> {
    let name = setup.node.name.clone();
    let bound = BoundSockets::bind(&setup.node)?;
    create_initial_journal(&setup)?;
    let journal = event_loop::open_journal(&setup.data, &name)?;
    let peering = Peering::Members {
        tolerated_losses: setup.tolerated_losses,
    };
    let doors = Doors::new(&setup.limits);
    let StartedNode {
        event_loop,
        tx,
        rx,
        cluster,
        api,
    } = event_loop::start(
        bound,
        &setup.node,
        journal,
        setup.operator_token_hashes,
        &peering,
        doors.max_unproven_links,
    )?;
    let operations = Operations::new(tx, doors.http.parsed_bytes);
    let protocol = setup.protocol;
    let operators = Service {
        addr: setup.operators,
        max_requests: OPERATOR_REQUESTS,
        handler: Arc::new(move |req| protocol.handle(req, &operations)),
    };
    let own = Service {
        addr: setup.node.http,
        max_requests: HTTP_CONNECTIONS,
        handler: Arc::new(move |req| api.handle(req)),
    };
    serve_looped(vec![operators, own], doors.http, cluster.hello.clone())?;
    rw_host::link::spawn("reload", move || {
        loop {
            std::thread::sleep(std::time::Duration::from_secs(1));
            if let Some(seeds) = (setup.reload)() {
                cluster.set_seeds(seeds);
            }
        }
    });
    event_loop.run(&rx)
}

/// Creates the journal if this node is one of the initial voters and has none.
///
/// All initial voters write the same first log entry in whatever order they start, so that only one
/// cluster is created. A node that starts later with an empty disk must get an empty list of
/// initial voters, so that it joins the existing cluster instead.
fn create_initial_journal(setup: &ControlSetup) -> Result<(), ControlError> {
    let name = &setup.node.name;
    if Store::exists(&setup.data) || !setup.initial_voters.contains(name) {
        return Ok(());
    }
    let mut initial_voters = setup.initial_voters.clone();
    initial_voters.sort();
    let voters: Vec<VoterId> = initial_voters
        .iter()
        .map(|name| initial_voter(name, &initial_voters))
        .collect();
    let me = initial_voter(name, &initial_voters);
    let records = Raft::bootstrap_records_with_voters(&me, &voters);
    event_loop::retry("create the first journal", || {
        Store::create(&setup.data, &records)
    })?;
    log::info!(node:% = name, founders = initial_voters.join(","); "journal of a new cluster created");
    Ok(())
}

/// Returns the identity of an initial voter, derived from the names so that every node computes the
/// same one.
fn initial_voter(name: &Name, initial_voters: &[Name]) -> VoterId {
    let mut parts: Vec<&[u8]> = vec![name.as_bytes()];
    parts.extend(initial_voters.iter().map(|voter| voter.as_bytes()));
    VoterId {
        name: name.clone(),
        disk: Digest::of(&parts).0 | 1,
    }
}
