//! TWICE: a start is left unanswered and carried out late, by a later life of a worker that goes down and
//! up by turns. Its agent has not called that life, since it had nothing to do there.

use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Job, config, submit, wait_for};
use crate::worker::{Begun, Kind, Worker};
use crate::{Outcome, Setting};

/// Time after which the start is carried out: "2 to 12 s later".
const LATE: Duration = Duration::from_millis(3300);
/// Time from the start's arrival to each crash, how long the worker's process is down, and the time from
/// its start to its first heartbeat, within `heartbeatMs`; in milliseconds.
const CRASHES: [(u64, u64, u64); 2] = [(300, 1200, 50), (2200, 400, 1300)];

pub fn play(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let kind = Kind {
        service: "s".into(),
        labels: vec!["a".into(), "r1-1".into()],
        cpu: 8000,
        mem: 16000,
        guards: true,
    };
    let kinds = vec![kind.clone(); 10];
    let started = Cluster::start(&setting.bin, record.clone(), 2, &kinds, &config(1, true));
    let Some(cluster) = started else {
        return Outcome::NotRun("the cluster did not get ready");
    };
    let job = Job {
        id: "7e00000000000001".into(),
        spec: "ms=6000".into(),
        phases: "[{\"count\":1,\"cpu\":500,\"memMb\":64,\"estRuntimeMs\":6000}]".into(),
        cpu: 500,
        deadline_ms: 20_000,
    };
    if setting.trouble {
        let mut late = cluster.late.lock().unwrap();
        late.job = Some(job.id.clone());
        late.after = LATE;
    }
    let client = {
        let (record, needs, addr) = (record.clone(), cluster.needs.clone(), cluster.entry(0));
        let job = job.clone();
        thread::spawn(move || submit(&record, &needs, addr, 0, &job, Duration::from_secs(20)))
    };
    let runs = || -> Vec<Begun> {
        let all = cluster.workers.iter().flat_map(Worker::begun);
        all.filter(|b| b.task.starts_with(&job.id)).collect()
    };
    if !wait_for(Duration::from_secs(5), || !runs().is_empty()) {
        return Outcome::NotRun("the task did not begin");
    }
    if setting.trouble {
        let taken = cluster.late.lock().unwrap().taken.clone();
        let Some((id, taken)) = taken else {
            return Outcome::NotRun("no start was left unanswered");
        };
        let Some(worker) = cluster.workers.iter().find(|w| w.id() == id) else {
            return Outcome::NotRun("the worker is unknown");
        };
        let ms = Duration::from_millis;
        for (crash, down, first_beat) in CRASHES {
            thread::sleep(ms(crash).saturating_sub(taken.elapsed()));
            worker.crash();
            thread::sleep(ms(down));
            worker.start(kind.clone(), ms(first_beat));
        }
    }
    let _ = client.join();
    judge(setting, &runs())
}

/// Looks for two runs of the task at the same time.
fn judge(setting: &Setting, runs: &[Begun]) -> Outcome {
    let now = Instant::now();
    let end = |run: &Begun| run.end.map_or(now, |(at, _)| at);
    let mut broken = false;
    for (i, later) in runs.iter().enumerate() {
        for earlier in &runs[..i] {
            let from = later.at.max(earlier.at);
            let until = end(later).min(end(earlier));
            if from < until {
                broken = true;
                setting.record.line(&format!(
                    "TWICE: {} runs as {} on {} life {} and as {} on {} life {} for {:.3} s",
                    later.task,
                    earlier.attempt,
                    earlier.worker,
                    earlier.life,
                    later.attempt,
                    later.worker,
                    later.life,
                    until.duration_since(from).as_secs_f64()
                ));
            }
        }
    }
    if broken {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
