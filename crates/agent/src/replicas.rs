//! Collects the records of a shard from the replicas of its previous version.

use std::thread;
use std::time::Duration;

use flume::Sender;
use rw_core::codec::ClusterKey;
use rw_core::msg::{Ask, AskReply};
use rw_core::registry::Collect;
use rw_host::cluster::Cluster;
use rw_host::link::{ask, spawn};

use crate::event_loop::Event;

/// Pause after the first round of requests; it doubles with each round.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Maximum pause between two rounds.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Starts a thread that asks the replicas of the previous version for their records until the shard
/// is served or its version changes.
pub fn collect(collect: Collect, cluster: Cluster, key: ClusterKey, tx: Sender<Event>) {
    spawn("collect", move || {
        let mut pause = MIN_PAUSE;
        while is_current(&collect, &cluster) {
            if !ask_replicas(&collect, &cluster, &key, &tx) {
                return;
            }
            thread::sleep(pause);
            pause = (pause * 2).min(MAX_PAUSE);
        }
    });
}

fn is_current(collect: &Collect, cluster: &Cluster) -> bool {
    cluster.state().is_some_and(|state| {
        state
            .shards
            .get(collect.shard as usize)
            .is_some_and(|shard| shard.version == collect.version)
    })
}

/// Asks each replica once. Returns `false` if no further round is needed.
fn ask_replicas(
    collect: &Collect,
    cluster: &Cluster,
    key: &ClusterKey,
    tx: &Sender<Event>,
) -> bool {
    let members = cluster.members();
    for node in &collect.from {
        let Some(member) = members.iter().find(|m| m.node == *node) else {
            continue;
        };
        let mut after = None;
        loop {
            let request = Ask::Seal {
                shard: collect.shard,
                version: collect.version,
                after,
            };
            let sealed = match ask(member.link, key, &cluster.hello, request) {
                Ok(AskReply::Sealed(sealed)) => sealed,
                Ok(_) => break,
                Err(e) => {
                    log::debug!(shard = collect.shard, error:% = e; "shard records not received");
                    break;
                }
            };
            let is_last = sealed.is_last;
            after = sealed.records.last().map(|(key, _)| *key);
            let (reply_tx, reply_rx) = flume::bounded(1);
            let sent = tx.send(Event::Sealed(sealed, reply_tx)).is_ok();
            if !sent || reply_rx.recv().unwrap_or(true) {
                return false;
            }
            if is_last {
                break;
            }
        }
    }
    true
}
