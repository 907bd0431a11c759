//! Message counts and processor time of the entries and agents, for the measure `steady`.

use crate::cluster::TestCluster;

/// Totals since the processes started.
pub(super) struct Counters {
    /// Messages that start a task.
    pub(super) tasks_started: f64,
    /// Overhead messages, without gossip datagrams.
    pub(super) overhead: f64,
    /// Overhead messages of each kind, and gossip datagrams.
    pub(super) kinds: Vec<(&'static str, f64)>,
    /// Processor time of all entries, in microseconds.
    pub(super) entry_us: f64,
    /// Processor time of all agents, in microseconds.
    pub(super) agent_us: f64,
}

/// Kinds of messages that count as overhead, and `datagram` for gossip datagrams.
const OVERHEAD_KINDS: [&str; 11] = [
    "ping", "offer", "grant", "recall", "want", "return", "claim", "claimed", "refused", "peer",
    "datagram",
];

impl Counters {
    /// Reads the counters of all running entries and agents.
    pub(super) fn read(cluster: &TestCluster) -> Self {
        let nodes: Vec<String> = cluster
            .process_names()
            .into_iter()
            .filter(|name| name.starts_with(['e', 'w']))
            .collect();
        let sum = |kind: &str| -> f64 {
            let label = format!("kind=\"{kind}\"");
            nodes
                .iter()
                .map(|node| cluster.metric(node, "rw_messages_sent_total", &label))
                .sum()
        };
        let datagrams = || {
            nodes
                .iter()
                .map(|n| cluster.metric(n, "rw_datagrams_sent_total", ""))
                .sum()
        };
        let count = |kind: &'static str| {
            (
                kind,
                if kind == "datagram" {
                    datagrams()
                } else {
                    sum(kind)
                },
            )
        };
        let kinds: Vec<(&'static str, f64)> = OVERHEAD_KINDS.into_iter().map(count).collect();
        let cpu = |letter: char| -> f64 {
            let named = nodes.iter().filter(|name| name.starts_with(letter));
            named
                .map(|name| cluster.cpu_time(name).as_micros() as f64)
                .sum()
        };
        // The membership protocol sends the same number of datagrams with and without load, so they
        // are reported separately.
        let overhead = kinds
            .iter()
            .filter(|(kind, _)| *kind != "datagram")
            .map(|(_, n)| n)
            .sum();
        Self {
            tasks_started: sum("start"),
            overhead,
            kinds,
            entry_us: cpu('e'),
            agent_us: cpu('w'),
        }
    }
}
