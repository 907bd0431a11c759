//! What is read of a laboratory's processes: metrics, processor time, memory, starts.

use std::fs;
use std::time::Duration;

use indexmap::IndexMap;

use super::{Lab, http};

impl Lab {
    /// The sum of a metric of a node over all labels that hold `label`.
    pub fn metric(&self, name: &str, metric: &str, label: &str) -> f64 {
        let url = format!("http://{}/metrics", self.http(name));
        let text = http("GET", &url, "", None)
            .map(|(_, text)| text)
            .unwrap_or_default();
        let of = |line: &&str| {
            line.strip_prefix(metric)
                .is_some_and(|rest| rest.starts_with(['{', ' ']))
                && line.contains(label)
        };
        let value = |line: &str| {
            line.rsplit(' ')
                .next()
                .and_then(|value| value.parse::<f64>().ok())
        };
        text.lines().filter(of).filter_map(value).sum()
    }

    /// Processor time of a process so far.
    pub fn cpu(&self, name: &str) -> Duration {
        let read = || -> Option<u64> {
            let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid(name)?)).ok()?;
            let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
            Some(fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?)
        };
        Duration::from_millis(read().unwrap_or(0) * 10)
    }

    /// Resident memory of a process in bytes.
    pub fn memory(&self, name: &str) -> u64 {
        let read = || -> Option<u64> {
            let text = fs::read_to_string(format!("/proc/{}/statm", self.pid(name)?)).ok()?;
            text.split_whitespace().nth(1)?.parse::<u64>().ok()
        };
        read().unwrap_or(0) * 4096
    }

    /// Names of the backend servers.
    pub fn backends(&self) -> impl Iterator<Item = String> {
        (0..self.plan.speeds.len()).map(|i| format!("b{i}"))
    }

    /// Starts that backend servers recorded, by `job task`.
    pub fn starts(&self) -> IndexMap<String, u32> {
        let mut starts = IndexMap::new();
        for name in self.backends() {
            for line in self.journal(&name).lines() {
                let id = line.rsplit_once(' ').map_or(line, |(id, _)| id);
                *starts.entry(id.to_owned()).or_default() += 1;
            }
        }
        starts
    }

    /// Number of starts that a backend server recorded.
    pub fn starts_at(&self, backend: &str) -> usize {
        self.journal(backend).lines().count()
    }

    fn journal(&self, backend: &str) -> String {
        fs::read_to_string(self.dir.join(format!("starts-{backend}"))).unwrap_or_default()
    }
}
