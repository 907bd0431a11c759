//! Overhead of the control plane at several cluster sizes: network traffic, processor time, memory,
//! and the time until a configuration change is in force. `docs/CAPACITY.md` states the slopes.

use std::io;
use std::time::{Duration, Instant};

use rw_core::config::{Change, Service};
use serde_json::{Value, json};

use crate::cluster::{ClusterPlan, TestCluster, http_request};

/// Default cluster sizes, in workers.
pub const DEFAULT_WORKERS: [usize; 3] = [10, 40, 120];
/// Duration of the measurement without changes.
const IDLE_TIME: Duration = Duration::from_secs(8);
/// Number of configuration changes that are measured.
const CHANGES: usize = 40;

/// Measures a cluster with this number of workers, without load: first idle, then during
/// configuration changes. Returns a JSON object with the results. Fails if the cluster does not
/// start.
pub fn run(workers: usize) -> io::Result<Value> {
    let plan = ClusterPlan {
        controls: 3,
        speeds: vec![1.0; workers],
        slots: 1,
        ..ClusterPlan::default()
    };
    let cluster = TestCluster::start(plan)?;
    std::thread::sleep(Duration::from_secs(3));
    let idle = measure_cost(&cluster, workers, || std::thread::sleep(IDLE_TIME));
    let mut delays_ms = Vec::new();
    let changing = measure_cost(&cluster, workers, || {
        for i in 0..CHANGES {
            if let Ok(ms) = change_and_wait(&cluster, workers, i) {
                delays_ms.push(ms);
            }
        }
    });
    let slowest = delays_ms.iter().copied().fold(0.0, f64::max);
    Ok(json!({
        "workers": workers,
        "idle": idle,
        "changing": changing,
        "changes": delays_ms.len(),
        "spread_mean_ms": crate::bench::mean(&delays_ms),
        "spread_slowest_ms": slowest,
    }))
}

/// Returns the mean cost of a process of each role while `work` runs: processor time as a
/// percentage of a core, bytes and datagrams sent per second, and resident memory in MB at the end.
/// At most 10 workers are sampled.
fn measure_cost<F>(cluster: &TestCluster, workers: usize, work: F) -> Value
where
    F: FnOnce(),
{
    let sampled_nodes = |role: &str| -> Vec<String> {
        let count = if role == "w" {
            workers.min(10)
        } else if role == "e" {
            2
        } else {
            3
        };
        (0..count).map(|i| format!("{role}{i}")).collect()
    };
    let roles = ["c", "e", "w"];
    let read = |name: &String| {
        let bytes = cluster.metric(name, "rw_datagram_bytes_sent_total", "")
            + cluster.metric(name, "rw_link_bytes_sent_total", "");
        (
            cluster.cpu_time(name).as_secs_f64(),
            bytes,
            cluster.metric(name, "rw_datagrams_sent_total", ""),
        )
    };
    let before: Vec<Vec<_>> = roles
        .iter()
        .map(|role| sampled_nodes(role).iter().map(read).collect())
        .collect();
    let start = Instant::now();
    work();
    let time = start.elapsed().as_secs_f64();
    let mut object = serde_json::Map::new();
    for (role, before) in roles.iter().zip(before) {
        let names = sampled_nodes(role);
        let after: Vec<_> = names.iter().map(read).collect();
        let count = names.len() as f64;
        let sum = |pick: fn(&(f64, f64, f64)) -> f64| -> f64 {
            let difference: f64 =
                after.iter().map(pick).sum::<f64>() - before.iter().map(pick).sum::<f64>();
            difference / count / time
        };
        let memory = names
            .iter()
            .map(|name| cluster.memory_bytes(name) as f64)
            .sum::<f64>()
            / count;
        let value = json!({
            "core_percent": sum(|s| s.0) * 100.0,
            "bytes_per_s": sum(|s| s.1),
            "datagrams_per_s": sum(|s| s.2),
            "memory_mb": memory / 1e6,
        });
        object.insert((*role).into(), value);
    }
    object.insert("seconds".into(), time.into());
    Value::Object(object)
}

/// Makes a configuration change and waits until it is in force at all workers and entries. Returns
/// the time in milliseconds.
fn change_and_wait(cluster: &TestCluster, workers: usize, i: usize) -> io::Result<f64> {
    let name = format!("slope-{i}").into();
    let start = Instant::now();
    let revision = cluster.change(Change::PutService {
        name,
        service: Service::default(),
    })?;
    let mut waiting: Vec<String> = (0..workers).map(|i| format!("w{i}")).collect();
    waiting.extend(["e0".to_owned(), "e1".to_owned()]);
    while !waiting.is_empty() {
        waiting.retain(|node| revision_at(cluster, node) < revision);
        if start.elapsed() > Duration::from_secs(20) {
            return Err(io::Error::other(
                "configuration change not in force at all nodes within 20 s",
            ));
        }
    }
    Ok(start.elapsed().as_secs_f64() * 1000.0)
}

/// Returns the configuration revision in force at a node, or 0 if the node does not answer.
pub fn revision_at(cluster: &TestCluster, node: &str) -> u64 {
    let url = format!("http://{}/v1/inforce", cluster.http_addr(node));
    let text = http_request("GET", &url, "", None)
        .map(|(_, text)| text)
        .unwrap_or_default();
    let value: Value = serde_json::from_str(&text).unwrap_or_default();
    value["revision"].as_u64().unwrap_or(0)
}
