//! Slopes for `docs/CAPACITY.md`: state, messages, processor time and memory at several sizes.

use std::io;
use std::time::{Duration, Instant};

use rw_core::config::{Change, Service};
use serde_json::{Value, json};

use crate::lab::{Lab, Plan, http};

/// Workers at which idle cost and the spread of changes are measured.
pub const WORKERS: [usize; 3] = [10, 40, 120];
const IDLE_TIME: Duration = Duration::from_secs(8);
const CHANGES: usize = 40;

/// Measures one size. Workers have no backend servers: the cost of control is what counts.
pub fn run(workers: usize) -> io::Result<Value> {
    let plan = Plan {
        controls: 3,
        speeds: vec![1.0; workers],
        slots: 1,
        ..Plan::default()
    };
    let lab = Lab::start(plan)?;
    std::thread::sleep(Duration::from_secs(3));
    let idle = measure(&lab, workers, || std::thread::sleep(IDLE_TIME));
    let mut spread = Vec::new();
    let changing = measure(&lab, workers, || {
        for i in 0..CHANGES {
            if let Ok(ms) = change_and_wait(&lab, workers, i) {
                spread.push(ms);
            }
        }
    });
    let slowest = spread.iter().copied().fold(0.0, f64::max);
    Ok(json!({
        "workers": workers,
        "idle": idle,
        "changing": changing,
        "changes": spread.len(),
        "spread_mean_ms": crate::bench::mean(&spread),
        "spread_slowest_ms": slowest,
    }))
}

/// Cost of each role a second while `f` runs: processor time, bytes, datagrams; memory at its end.
fn measure<F>(lab: &Lab, workers: usize, f: F) -> Value
where
    F: FnOnce(),
{
    let sample = |role: &str| -> Vec<String> {
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
        let bytes = lab.metric(name, "rw_datagram_bytes_sent_total", "")
            + lab.metric(name, "rw_link_bytes_sent_total", "");
        (
            lab.cpu(name).as_secs_f64(),
            bytes,
            lab.metric(name, "rw_datagrams_sent_total", ""),
        )
    };
    let before: Vec<Vec<_>> = roles
        .iter()
        .map(|role| sample(role).iter().map(read).collect())
        .collect();
    let begun = Instant::now();
    f();
    let time = begun.elapsed().as_secs_f64();
    let mut object = serde_json::Map::new();
    for (role, before) in roles.iter().zip(before) {
        let names = sample(role);
        let after: Vec<_> = names.iter().map(read).collect();
        let count = names.len() as f64;
        let sum = |pick: fn(&(f64, f64, f64)) -> f64| -> f64 {
            let difference: f64 =
                after.iter().map(pick).sum::<f64>() - before.iter().map(pick).sum::<f64>();
            difference / count / time
        };
        let memory = names
            .iter()
            .map(|name| lab.memory(name) as f64)
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

/// Makes a change and waits until a sample of workers and all entries have it in force.
fn change_and_wait(lab: &Lab, workers: usize, i: usize) -> io::Result<f64> {
    let name = format!("slope-{i}").into();
    let begun = Instant::now();
    let revision = lab.change(Change::PutService {
        name,
        service: Service::default(),
    })?;
    let mut waiting: Vec<String> = (0..workers).map(|i| format!("w{i}")).collect();
    waiting.extend(["e0".to_owned(), "e1".to_owned()]);
    while !waiting.is_empty() {
        waiting.retain(|node| revision_at(lab, node) < revision);
        if begun.elapsed() > Duration::from_secs(20) {
            return Err(io::Error::other("change not in force everywhere"));
        }
    }
    Ok(begun.elapsed().as_secs_f64() * 1000.0)
}

/// The revision in force at a node.
pub fn revision_at(lab: &Lab, node: &str) -> u64 {
    let url = format!("http://{}/v1/inforce", lab.http(node));
    let text = http("GET", &url, "", None)
        .map(|(_, text)| text)
        .unwrap_or_default();
    let value: Value = serde_json::from_str(&text).unwrap_or_default();
    value["revision"].as_u64().unwrap_or(0)
}
