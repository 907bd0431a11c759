//! What processes count and spend, as the steady measure reads it.

use crate::lab::Lab;

/// Messages between processes and processor time so far.
pub(super) struct Counters {
    pub(super) started: f64,
    pub(super) wasted: f64,
    pub(super) kinds: Vec<(&'static str, f64)>,
    pub(super) entry_us: f64,
    pub(super) agent_us: f64,
}

const WASTED_KINDS: [&str; 11] = [
    "ping", "offer", "grant", "recall", "want", "return", "claim", "claimed", "refused", "peer",
    "datagram",
];

impl Counters {
    pub(super) fn read(lab: &Lab) -> Self {
        let nodes: Vec<String> = lab
            .running()
            .into_iter()
            .filter(|name| name.starts_with(['e', 'w']))
            .collect();
        let sum = |kind: &str| -> f64 {
            let label = format!("kind=\"{kind}\"");
            nodes
                .iter()
                .map(|node| lab.metric(node, "rw_messages_sent_total", &label))
                .sum()
        };
        let datagrams = || {
            nodes
                .iter()
                .map(|n| lab.metric(n, "rw_datagrams_sent_total", ""))
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
        let kinds: Vec<(&'static str, f64)> = WASTED_KINDS.into_iter().map(count).collect();
        let cpu = |letter: char| -> f64 {
            let of = nodes.iter().filter(|name| name.starts_with(letter));
            of.map(|name| lab.cpu(name).as_micros() as f64).sum()
        };
        // Membership is the same with and without load; it is given by itself.
        let wasted = kinds
            .iter()
            .filter(|(kind, _)| *kind != "datagram")
            .map(|(_, n)| n)
            .sum();
        Self {
            started: sum("start"),
            wasted,
            kinds,
            entry_us: cpu('e'),
            agent_us: cpu('w'),
        }
    }
}
