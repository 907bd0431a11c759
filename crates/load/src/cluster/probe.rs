//! Observations of the processes of a test cluster: metrics, processor time, memory and task
//! starts.

use std::fs;
use std::time::Duration;

use indexmap::IndexMap;

use super::{TestCluster, http_request};

impl TestCluster {
    /// Returns the sum of a node's metric over all samples whose labels contain `label`, or 0 if
    /// the node does not answer.
    pub fn metric(&self, name: &str, metric: &str, label: &str) -> f64 {
        let url = format!("http://{}/metrics", self.http_addr(name));
        let text = http_request("GET", &url, "", None)
            .map(|(_, text)| text)
            .unwrap_or_default();
        let matches = |line: &&str| {
            line.strip_prefix(metric)
                .is_some_and(|rest| rest.starts_with(['{', ' ']))
                && line.contains(label)
        };
        let value = |line: &str| {
            line.rsplit(' ')
                .next()
                .and_then(|value| value.parse::<f64>().ok())
        };
        text.lines().filter(matches).filter_map(value).sum()
    }

    /// Returns the processor time that a process has used, in user and kernel mode, or 0 if it does
    /// not run. Assumes a clock tick of 10 ms.
    pub fn cpu_time(&self, name: &str) -> Duration {
        let read = || -> Option<u64> {
            let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid(name)?)).ok()?;
            let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
            Some(fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?)
        };
        Duration::from_millis(read().unwrap_or(0) * 10)
    }

    /// Returns the resident memory of a process in bytes, or 0 if it does not run. Assumes pages of
    /// 4096 bytes.
    pub fn memory_bytes(&self, name: &str) -> u64 {
        let read = || -> Option<u64> {
            let text = fs::read_to_string(format!("/proc/{}/statm", self.pid(name)?)).ok()?;
            text.split_whitespace().nth(1)?.parse::<u64>().ok()
        };
        read().unwrap_or(0) * 4096
    }

    /// Returns the names of the backend servers.
    pub fn backend_names(&self) -> impl Iterator<Item = String> {
        (0..self.plan.speeds.len()).map(|i| format!("b{i}"))
    }

    /// Returns how often the backend servers started each task, according to their journals. Keys
    /// have the form `JOB TASK`.
    pub fn starts(&self) -> IndexMap<String, u32> {
        let mut starts = IndexMap::new();
        for name in self.backend_names() {
            for line in self.journal(&name).lines() {
                let id = line.rsplit_once(' ').map_or(line, |(id, _)| id);
                *starts.entry(id.to_owned()).or_default() += 1;
            }
        }
        starts
    }

    /// Returns the number of starts in the journal of a backend server.
    pub fn starts_at(&self, backend: &str) -> usize {
        self.journal(backend).lines().count()
    }

    fn journal(&self, backend: &str) -> String {
        fs::read_to_string(self.dir.join(format!("starts-{backend}"))).unwrap_or_default()
    }
}
