//! Simulated operators, which change the configuration, also concurrently, and read it back.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rw_core::config::{Change, ChangeRequest, Tenant};

use crate::cluster::{OperatorClient, change_request};

/// Tenant that is changed by one operator at a time.
pub const CHANGED_TENANT: &str = "soak-changed";
/// Tenant that is changed by two operators concurrently.
const CONTESTED_TENANT: &str = "soak-raced";
/// Pause between two changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(400);
/// Two concurrent changes follow each change whose weight is a multiple of this number.
const RACE_EVERY: u32 = 4;
/// Timeout of a confirmed read. A read that times out violates no guarantee.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two confirmed reads.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Observations of the simulated operators.
#[derive(Debug, Default)]
pub struct Observations {
    /// Acknowledged changes of the tenant [`CHANGED_TENANT`]: the weight and its revision, in
    /// order.
    pub acknowledged: Vec<(u32, u64)>,
    /// Number of accepted changes for each pair of concurrent changes on the same revision. Pairs
    /// are left out if the result of either change is unknown.
    pub accepted_per_race: Vec<usize>,
    /// Number of confirmed reads.
    pub reads: usize,
    /// Stale confirmed reads: the revision read, and a newer one that had been acknowledged before.
    pub stale_reads: Vec<(u64, u64)>,
}

/// Running threads of the simulated operators.
#[derive(Debug)]
pub struct Operators {
    stop: Arc<AtomicBool>,
    changer: JoinHandle<Observations>,
    reader: JoinHandle<Observations>,
}

impl Operators {
    /// Starts the operator threads.
    pub fn start(operator: &OperatorClient) -> io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let newest_revision = Arc::new(AtomicU64::new(0));
        let changer = {
            let (operator, stop, newest_revision) =
                (operator.clone(), stop.clone(), newest_revision.clone());
            thread::Builder::new().spawn(move || change(&operator, &stop, &newest_revision))?
        };
        let reader = {
            let (operator, stop) = (operator.clone(), stop.clone());
            thread::Builder::new().spawn(move || read(&operator, &stop, &newest_revision))?
        };
        Ok(Self {
            stop,
            changer,
            reader,
        })
    }

    /// Stops the operators and returns their observations.
    pub fn finish(self) -> Observations {
        self.stop.store(true, Ordering::Relaxed);
        let mut observations = self.changer.join().unwrap_or_default();
        let read = self.reader.join().unwrap_or_default();
        observations.reads = read.reads;
        observations.stale_reads = read.stale_reads;
        observations
    }
}

fn tenant(name: &str, weight: u32) -> Change {
    Change::PutTenant {
        name: name.into(),
        tenant: Tenant {
            weight,
            rate: 0,
            concurrency: 0,
            token_hashes: Vec::new(),
        },
    }
}

/// Changes the configuration until `stop` is set.
fn change(
    operator: &OperatorClient,
    stop: &AtomicBool,
    newest_revision: &AtomicU64,
) -> Observations {
    let mut observations = Observations::default();
    let mut weight = 1;
    while !stop.load(Ordering::Relaxed) {
        if let Ok(revision) = operator.change(tenant(CHANGED_TENANT, weight)) {
            observations.acknowledged.push((weight, revision));
            newest_revision.fetch_max(revision, Ordering::Relaxed);
            if weight % RACE_EVERY == 0 {
                observations
                    .accepted_per_race
                    .extend(race(operator, revision, weight));
            }
        }
        weight += 1;
        thread::sleep(CHANGE_PAUSE);
    }
    observations
}

/// Sends two concurrent changes of the same tenant on the same revision. Returns how many were
/// accepted, or `None` if the result of either is unknown.
fn race(operator: &OperatorClient, base: u64, weight: u32) -> Option<usize> {
    let requests =
        [weight, weight + 1].map(|weight| change_request(base, tenant(CONTESTED_TENANT, weight)));
    let is_accepted = |req: &ChangeRequest| match operator.send_change(req) {
        Ok(_) => Some(true),
        Err(e) if e.kind() == io::ErrorKind::InvalidInput => Some(false),
        Err(_) => None,
    };
    let answers: Option<Vec<bool>> = thread::scope(|scope| {
        let sent = requests
            .each_ref()
            .map(|req| scope.spawn(|| is_accepted(req)));
        sent.map(|operator| operator.join().ok().flatten())
            .into_iter()
            .collect()
    });
    answers.map(|answers| answers.into_iter().filter(|accepted| *accepted).count())
}

/// Reads the configuration until `stop` is set.
fn read(operator: &OperatorClient, stop: &AtomicBool, newest_revision: &AtomicU64) -> Observations {
    let mut observations = Observations::default();
    while !stop.load(Ordering::Relaxed) {
        let acknowledged = newest_revision.load(Ordering::Relaxed);
        if let Some(status) = operator.confirmed_status(READ_TIMEOUT) {
            let revision = status["state"]["revision"].as_u64().unwrap_or(0);
            observations.reads += 1;
            if revision < acknowledged {
                observations.stale_reads.push((revision, acknowledged));
            }
        }
        thread::sleep(READ_PAUSE);
    }
    observations
}
