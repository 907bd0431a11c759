//! Simulated operators, which change the configuration, also concurrently, and read it back.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rw_core::config::{Change, ChangeRequest, Tenant};

use crate::cluster::{OperatorClient, request};

/// Tenant that is changed by one operator at a time.
pub const CHANGED: &str = "soak-changed";
/// Tenant that is changed by two operators concurrently.
const RACED: &str = "soak-raced";
/// Pause between two changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(400);
/// Two concurrent changes follow each change whose weight is a multiple of this number.
const RACE_EVERY: u32 = 4;
/// Timeout of a confirmed read. A read that times out violates no guarantee.
const READ_TIME: Duration = Duration::from_secs(2);
/// Pause between two confirmed reads.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Observations of the simulated operators.
#[derive(Debug, Default)]
pub struct Operated {
    /// Acknowledged changes of the tenant [`CHANGED`]: the weight and its revision, in order.
    pub acknowledged: Vec<(u32, u64)>,
    /// Number of accepted changes for each pair of concurrent changes on the same revision. Pairs
    /// are left out if the result of either change is unknown.
    pub races: Vec<usize>,
    /// Number of confirmed reads.
    pub reads: usize,
    /// Stale confirmed reads: the revision read, and a newer one that had been acknowledged before.
    pub older: Vec<(u64, u64)>,
}

/// Running threads of the simulated operators.
#[derive(Debug)]
pub struct Operators {
    over: Arc<AtomicBool>,
    changer: JoinHandle<Operated>,
    reader: JoinHandle<Operated>,
}

impl Operators {
    /// Starts the operator threads.
    pub fn start(operator: &OperatorClient) -> io::Result<Self> {
        let over = Arc::new(AtomicBool::new(false));
        let newest = Arc::new(AtomicU64::new(0));
        let changer = {
            let (operator, over, newest) = (operator.clone(), over.clone(), newest.clone());
            thread::Builder::new().spawn(move || change(&operator, &over, &newest))?
        };
        let reader = {
            let (operator, over) = (operator.clone(), over.clone());
            thread::Builder::new().spawn(move || read(&operator, &over, &newest))?
        };
        Ok(Self {
            over,
            changer,
            reader,
        })
    }

    /// Stops the operators and returns their observations.
    pub fn end(self) -> Operated {
        self.over.store(true, Ordering::Relaxed);
        let mut operated = self.changer.join().unwrap_or_default();
        let read = self.reader.join().unwrap_or_default();
        operated.reads = read.reads;
        operated.older = read.older;
        operated
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

/// Changes the configuration until `over` is set.
fn change(operator: &OperatorClient, over: &AtomicBool, newest: &AtomicU64) -> Operated {
    let mut operated = Operated::default();
    let mut weight = 1;
    while !over.load(Ordering::Relaxed) {
        if let Ok(revision) = operator.change(tenant(CHANGED, weight)) {
            operated.acknowledged.push((weight, revision));
            newest.fetch_max(revision, Ordering::Relaxed);
            if weight % RACE_EVERY == 0 {
                operated.races.extend(race(operator, revision, weight));
            }
        }
        weight += 1;
        thread::sleep(CHANGE_PAUSE);
    }
    operated
}

/// Sends two concurrent changes of the same tenant on the same revision. Returns how many were
/// accepted, or `None` if the result of either is unknown.
fn race(operator: &OperatorClient, base: u64, weight: u32) -> Option<usize> {
    let offers = [weight, weight + 1].map(|weight| request(base, tenant(RACED, weight)));
    let won = |offer: &ChangeRequest| match operator.request(offer) {
        Ok(_) => Some(true),
        Err(e) if e.kind() == io::ErrorKind::InvalidInput => Some(false),
        Err(_) => None,
    };
    let answers: Option<Vec<bool>> = thread::scope(|scope| {
        let sent = offers.each_ref().map(|offer| scope.spawn(|| won(offer)));
        sent.map(|operator| operator.join().ok().flatten())
            .into_iter()
            .collect()
    });
    answers.map(|answers| answers.into_iter().filter(|won| *won).count())
}

/// Reads the configuration until `over` is set.
fn read(operator: &OperatorClient, over: &AtomicBool, newest: &AtomicU64) -> Operated {
    let mut operated = Operated::default();
    while !over.load(Ordering::Relaxed) {
        let acknowledged = newest.load(Ordering::Relaxed);
        if let Some(status) = operator.confirmed_status(READ_TIME) {
            let revision = status["state"]["revision"].as_u64().unwrap_or(0);
            operated.reads += 1;
            if revision < acknowledged {
                operated.older.push((revision, acknowledged));
            }
        }
        thread::sleep(READ_PAUSE);
    }
    operated
}
