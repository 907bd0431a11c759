//! Operators who change the configuration, race one another, and read it back.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rw_core::config::{Change, ChangeRequest, Tenant};

use crate::lab::{Operator, request};

/// The tenant that is changed one change after another, and the one that is raced for.
pub const CHANGED: &str = "soak-changed";
const RACED: &str = "soak-raced";
const CHANGE_PAUSE: Duration = Duration::from_millis(400);
/// Each so many changes two operators race.
const RACE_EVERY: u32 = 4;
/// How long a confirmed read is tried; no answer is no break of a promise.
const READ_TIME: Duration = Duration::from_secs(2);
const READ_PAUSE: Duration = Duration::from_millis(100);

/// What operators saw.
#[derive(Debug, Default)]
pub struct Operated {
    /// Acknowledged changes: the weight and its revision.
    pub acknowledged: Vec<(u32, u64)>,
    /// Races of two changes on one revision with the number of winners, where both were answered.
    pub races: Vec<usize>,
    /// Confirmed reads.
    pub reads: usize,
    /// Confirmed reads older than an acknowledgement: the revision read and the one acknowledged.
    pub older: Vec<(u64, u64)>,
}

/// Operators at work.
#[derive(Debug)]
pub struct Operators {
    over: Arc<AtomicBool>,
    changer: JoinHandle<Operated>,
    reader: JoinHandle<Operated>,
}

impl Operators {
    /// Starts them.
    pub fn start(operator: &Operator) -> io::Result<Self> {
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

    /// Ends them and returns what they saw.
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

fn change(operator: &Operator, over: &AtomicBool, newest: &AtomicU64) -> Operated {
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

/// Two operators make a change of one object on one revision. Returns how many won, if both know.
fn race(operator: &Operator, base: u64, weight: u32) -> Option<usize> {
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

fn read(operator: &Operator, over: &AtomicBool, newest: &AtomicU64) -> Operated {
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
