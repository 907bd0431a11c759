//! A worker that starts at once, runs each task for its time, and tells of ends as they come.

use indexmap::IndexMap;
use rw_core::pool::Uptime;
use rw_core::pool::driver::{self, Call, EndedRow, Heartbeat, HeartbeatState, Reply};
use rw_core::pool::job::{Resources, RunEnd, RunId};

use super::{CPU, Event, MS, Rush};

#[derive(Default)]
pub struct Worker {
    runs: IndexMap<RunId, Uptime>,
    ended: Vec<EndedRow>,
    ends: u64,
    /// An unanswered list call: its number, and when it is answered at the latest.
    list: Option<(u64, Uptime)>,
}

impl Worker {
    fn end(&mut self, run: RunId, end: RunEnd) {
        self.ends += 1;
        self.ended.push(EndedRow {
            number: self.ends,
            run,
            end,
        });
    }
}

impl Rush {
    pub(super) fn call(&mut self, a: usize, id: u64, call: &Call) {
        let now = self.now;
        let worker = &mut self.agents[a].worker;
        let reply = match *call {
            Call::Start { run, .. } => {
                worker.runs.insert(run, now + MS + self.work[&run.task.job]);
                Reply::Started
            }
            Call::Stop { run } => {
                if worker.runs.swap_remove(&run).is_some() {
                    worker.end(run, RunEnd::Gone);
                }
                Reply::Stopped
            }
            Call::List {
                last_end_number,
                wait,
                ..
            } => {
                worker.ended.retain(|row| row.number > last_end_number);
                worker.list = Some((id, now + wait.max(MS)));
                return;
            }
            Call::Identify { .. } => return,
        };
        self.send(MS, Event::Reply(a, id, reply));
    }

    pub(super) fn step_worker(&mut self, a: usize) {
        let now = self.now;
        let worker = &mut self.agents[a].worker;
        let due = |(_, at): &(&RunId, &Uptime)| now >= **at;
        let done: Vec<RunId> = worker
            .runs
            .iter()
            .filter(due)
            .map(|(run, _)| *run)
            .collect();
        for run in done {
            worker.runs.swap_remove(&run);
            worker.end(run, RunEnd::Done);
        }
        let Some((id, until)) = worker.list else {
            return;
        };
        if worker.ended.is_empty() && now < until {
            return;
        }
        worker.list = None;
        let work = &self.work;
        let running = worker.runs.iter().map(|(run, end)| {
            let left = end
                .saturating_sub(now)
                .div_duration_f64(work[&run.task.job]);
            let percent = (100.0 * (1.0 - left)).max(0.0) as u8;
            driver::RunningRow { run: *run, percent }
        });
        let reply = Reply::Lists {
            start_time_ms: None,
            running: running.collect(),
            is_complete: true,
            ended: worker.ended.clone(),
        };
        self.send(MS, Event::Reply(a, id, reply));
    }

    pub(super) fn heartbeat(&mut self, a: usize) {
        if self.frozen.1.contains(&a) {
            return;
        }
        let heartbeat = Heartbeat {
            id: format!("w{a}").into(),
            start_time_ms: 1,
            number: self.now.as_millis() as u64,
            pool: "p".into(),
            state: HeartbeatState::Ready,
            capacity: Resources {
                cpu_milli: CPU,
                memory_mb: 10_000,
                accelerators: 0,
            },
            labels: Vec::new(),
            cold_left: std::time::Duration::ZERO,
            clock_ms: Some(self.now.as_millis() as u64),
        };
        let mut out = Vec::new();
        self.agents[a]
            .driver
            .on_heartbeat(self.now, heartbeat, &mut out);
        self.apply_agent(a, out);
    }
}
