//! The control node for pooled work: founded from first addresses, operated through a port.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use rw_core::ids::{Digest, Name};
use rw_core::raft::{Raft, VoterId};
use rw_host::http;
use rw_host::settings::{Bound, NodeSettings};

use crate::duty::{self, ControlError, Peering, Running};
use crate::operations::{Operations, OperatorPort};
use crate::store::Store;

/// Connections of operators that are open at once; more are refused.
const OPERATOR_CONNECTIONS: usize = 64;

/// How the daemon starts.
pub struct ControlSetup {
    /// The node; its name is the one that founders know it by.
    pub node: NodeSettings,
    /// The folder of the journal.
    pub data: PathBuf,
    /// Where operators ask.
    pub operators: SocketAddr,
    /// The names of the first voters, the same at each of them. Empty unless the whole cluster
    /// starts for the first time.
    pub founders: Vec<Name>,
    /// How operators speak.
    pub port: Arc<dyn OperatorPort>,
    /// Blake3 hashes of the tokens for the product's own interface.
    pub operator_token_hashes: Vec<String>,
    /// Reads the settings file again: addresses through which unknown members are found.
    pub reload: Box<dyn FnMut() -> Option<Vec<SocketAddr>> + Send>,
}

impl std::fmt::Debug for ControlSetup {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ControlSetup({})", self.node.name)
    }
}

/// Runs the daemon until it is told to end.
pub fn run(mut setup: ControlSetup) -> Result<(), ControlError> {
    let name = setup.node.name.clone();
    let bound = Bound::of(&setup.node)?;
    found(&setup)?;
    let journal = duty::open(&setup.data, &name)?;
    let Running {
        duty,
        tx,
        rx,
        cluster,
    } = duty::start(
        bound,
        &setup.node,
        journal,
        setup.operator_token_hashes,
        &Peering::Members,
    )?;
    let operations = Operations::new(tx);
    let port = setup.port;
    http::serve(setup.operators, OPERATOR_CONNECTIONS, move |req| {
        port.handle(req, &operations)
    })?;
    rw_host::link::spawn("reload", move || {
        loop {
            std::thread::sleep(std::time::Duration::from_secs(1));
            if let Some(seeds) = (setup.reload)() {
                cluster.set_seeds(seeds);
            }
        }
    });
    duty.run(&rx)
}

/// Makes the first journal, if this node is one of the founders and has none.
///
/// All founders write the same first entry, whatever the order in which they start, so that the
/// cluster is founded once. A node that starts later with an empty disk has no founders to go by.
fn found(setup: &ControlSetup) -> Result<(), ControlError> {
    let name = &setup.node.name;
    if Store::exists(&setup.data) || !setup.founders.contains(name) {
        return Ok(());
    }
    let mut founders = setup.founders.clone();
    founders.sort();
    let voters: Vec<VoterId> = founders
        .iter()
        .map(|name| founder(name, &founders))
        .collect();
    let me = founder(name, &founders);
    Store::create(
        &setup.data,
        &Raft::bootstrap_records_with_voters(&me, &voters),
    )?;
    log::info!(node:% = name, founders = founders.join(","); "cluster founded");
    Ok(())
}

/// A founder's identity, which all founders work out alike.
fn founder(name: &Name, founders: &[Name]) -> VoterId {
    let mut parts: Vec<&[u8]> = vec![name.as_bytes()];
    parts.extend(founders.iter().map(|founder| founder.as_bytes()));
    VoterId {
        name: name.clone(),
        disk: Digest::of(&parts).0 | 1,
    }
}
