//! An entry's view of the workers: credits, learned speeds and health.

mod health;
mod loans;

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::{JobKey, Name, NodeRef};
use crate::job::{Class, Needs};
use crate::msg::{Offer, TaskRef};

use health::Health;
use loans::Borrowed;

/// Credits of a worker that was silent for this long are not used.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(1500);
/// A worker is told again of a backlog that it was told of this long ago.
const REMIND_AFTER: Duration = Duration::from_millis(500);
/// Slowest learning of a worker's speed; the first tasks count for more.
const SPEED_RATE: f64 = 0.05;
/// A single task moves a speed by at most this factor, as its natural logarithm.
const MAX_SURPRISE: f64 = 1.5;
/// A task that was sent to a worker.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Which.
    pub task: TaskRef,
    /// Its class.
    pub class: Class,
    /// Its service.
    pub service: Name,
    /// The run time that was expected on a worker of mean speed.
    pub expected: Duration,
    /// When it was sent.
    pub at: Instant,
}

/// One worker as an entry sees it.
#[derive(Debug)]
pub struct Worker {
    /// Its agent's process.
    pub node: NodeRef,
    /// Order in which this process was first linked.
    pub first_seen: u64,
    /// What it offers.
    pub offer: Offer,
    /// Own credits in hand.
    pub credits: u32,
    /// Credits that other entries lent.
    borrowed: Vec<Borrowed>,
    /// Own credits that were lent, and when the last ones were.
    lent: Option<(u32, Instant)>,
    /// Whether the link is up.
    pub up: bool,
    /// When it was last heard.
    pub heard: Instant,
    /// The backlog that it knows of: as last told, less the credits granted since.
    pub declared: u32,
    /// When it was last told.
    pub declared_at: Instant,
    /// Tasks that are on it, by job and index.
    pub sent: IndexMap<(JobKey, u16), Sent>,
    /// Natural logarithm of its run times against the mean; above 0 is slow.
    slowness: f64,
    speed_seen: u32,
    health: Health,
}

impl Worker {
    /// How much longer than the mean its tasks take.
    pub fn factor(&self) -> f64 {
        self.slowness.exp()
    }

    fn in_service(&self, service: &Name, needs: Needs) -> bool {
        self.up
            && !self.offer.leaving
            && self.offer.services.contains(service)
            && needs.fit(self.offer.size)
    }

    fn may_start(&self, now: Instant) -> bool {
        if self.total_credits() == 0 || now.duration_since(self.heard) >= SILENCE_LIMIT {
            return false;
        }
        match (self.health.ejected_until, self.health.probes) {
            (Some(until), _) => now >= until && self.sent.is_empty(),
            (None, Some(_)) => self.sent.is_empty(),
            (None, None) => true,
        }
    }
}

/// What a worker must be for a task.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a Name,
    /// The size.
    pub needs: Needs,
    /// Only workers first linked before this are eligible.
    pub before: u64,
}

/// All workers that are or were linked.
#[derive(Debug)]
pub struct Fleet {
    workers: IndexMap<Name, Worker>,
    /// Tasks on all workers, by service and class.
    on: IndexMap<(Name, Class), u32>,
    linked: u64,
    learn_speeds: bool,
    eject: bool,
}

impl Fleet {
    /// An empty fleet; speeds and health are learned or not.
    pub fn new(learn_speeds: bool, eject: bool) -> Self {
        Self {
            workers: IndexMap::new(),
            on: IndexMap::new(),
            linked: 0,
            learn_speeds,
            eject,
        }
    }

    /// The number under which the next new worker process links.
    pub fn next_link(&self) -> u64 {
        self.linked + 1
    }

    /// All workers by name.
    pub fn workers(&self) -> &IndexMap<Name, Worker> {
        &self.workers
    }

    /// One worker.
    pub fn get_mut(&mut self, name: &Name) -> Option<&mut Worker> {
        self.workers.get_mut(name)
    }

    /// A worker linked. Returns the tasks that were on an earlier process of the same name.
    pub fn link_up(&mut self, now: Instant, node: NodeRef) -> Vec<Sent> {
        let known = self
            .workers
            .get_mut(&node.name)
            .filter(|worker| worker.node == node);
        if let Some(worker) = known {
            worker.up = true;
            worker.heard = now;
            worker.void_credits();
            worker.declared = 0;
            return Vec::new();
        }
        self.linked += 1;
        let offer = Offer {
            epoch: 0,
            services: Vec::new(),
            slots: 0,
            size: Needs::default(),
            leaving: false,
        };
        let worker = Worker {
            node: node.clone(),
            first_seen: self.linked,
            offer,
            credits: 0,
            borrowed: Vec::new(),
            lent: None,
            up: true,
            heard: now,
            declared: 0,
            declared_at: now,
            sent: IndexMap::new(),
            slowness: 0.0,
            speed_seen: 0,
            health: Health::default(),
        };
        let lost = self.take_all(&node.name);
        self.workers.insert(node.name, worker);
        lost
    }

    /// Takes all tasks off a worker whose process is gone.
    pub fn take_all(&mut self, name: &Name) -> Vec<Sent> {
        let Some(worker) = self.workers.get_mut(name) else {
            return Vec::new();
        };
        let lost: Vec<Sent> = worker.sent.drain(..).map(|(_, sent)| sent).collect();
        for sent in &lost {
            self.count_off(sent);
        }
        lost
    }

    /// Tasks of a service's class that are on workers.
    pub fn on_workers(&self, service: &Name, class: Class) -> u32 {
        self.on.get(&(service.clone(), class)).copied().unwrap_or(0)
    }

    /// Whether any credit of a service's workers is in hand.
    pub fn has_credit(&self, service: &Name) -> bool {
        self.workers
            .values()
            .any(|w| w.total_credits() > 0 && w.offer.services.contains(service))
    }

    fn count_off(&mut self, sent: &Sent) {
        if let Some(count) = self.on.get_mut(&(sent.service.clone(), sent.class)) {
            *count = count.saturating_sub(1);
        }
    }

    /// A worker's link is lost: its credits are void, its tasks are in doubt.
    pub fn link_down(&mut self, name: &Name) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.up = false;
            worker.void_credits();
        }
    }

    /// Takes a worker's new offer; credits of an earlier epoch are void.
    pub fn on_offer(&mut self, name: &Name, offer: Offer) {
        if let Some(worker) = self.workers.get_mut(name) {
            if offer.epoch != worker.offer.epoch {
                worker.void_credits();
            }
            worker.offer = offer;
        }
    }

    /// Adds credits of an epoch.
    pub fn grant(&mut self, name: &Name, credits: u32, epoch: u64) {
        if let Some(worker) = self.workers.get_mut(name)
            && worker.offer.epoch == epoch
        {
            worker.credits += credits;
            worker.declared = worker.declared.saturating_sub(credits);
        }
    }

    /// The best worker with a credit for a task, or `None` when waiting is better.
    ///
    /// A slow free slot is left alone when a faster one is expected to end the task sooner.
    pub fn choose(
        &self,
        now: Instant,
        wanted: Wanted<'_>,
        expected: Duration,
        queued: u32,
    ) -> Option<Name> {
        let eligible = |worker: &&Worker| {
            worker.first_seen < wanted.before && worker.in_service(wanted.service, wanted.needs)
        };
        let best = self
            .workers
            .values()
            .filter(eligible)
            .filter(|worker| worker.may_start(now))
            .min_by(|a, b| a.slowness.total_cmp(&b.slowness))?;
        if self.learn_speeds && self.is_waiting_better(now, best, wanted, expected, queued) {
            return None;
        }
        Some(best.node.name.clone())
    }

    /// Whether a slot of a faster worker is expected to free soon enough.
    fn is_waiting_better(
        &self,
        now: Instant,
        best: &Worker,
        wanted: Wanted<'_>,
        expected: Duration,
        queued: u32,
    ) -> bool {
        let expected = expected.as_secs_f64();
        let here = expected * best.factor();
        let faster = self.workers.values().filter(|worker| {
            worker.slowness < best.slowness
                && worker.first_seen < wanted.before
                && worker.in_service(wanted.service, wanted.needs)
                && worker.health.probes.is_none()
                && now.duration_since(worker.heard) < SILENCE_LIMIT
        });
        let mut rate = 0.0;
        let mut fastest_end = f64::INFINITY;
        for worker in faster {
            let run = expected * worker.factor();
            rate += worker.sent.len() as f64 / run;
            fastest_end = fastest_end.min(run);
        }
        if rate == 0.0 {
            return false;
        }
        let wait = f64::from(queued.max(1)) / rate;
        wait + fastest_end < here
    }

    /// Workers that serve a task, with the number of our tasks on each; credits do not count.
    pub fn serving(&self, wanted: Wanted<'_>) -> Vec<(Name, usize)> {
        let serving = self.workers.values().filter(|worker| {
            worker.first_seen < wanted.before && worker.in_service(wanted.service, wanted.needs)
        });
        serving
            .map(|worker| (worker.node.name.clone(), worker.sent.len()))
            .collect()
    }

    /// Workers without credits that do not know of a backlog, now marked as told.
    pub fn uninformed(&mut self, now: Instant, service: &Name, backlog: u32) -> Vec<Name> {
        let mut names = Vec::new();
        for worker in self.workers.values_mut() {
            let serves = worker.up && worker.offer.services.contains(service);
            let knows =
                worker.declared > 0 && now.duration_since(worker.declared_at) < REMIND_AFTER;
            if serves && worker.total_credits() == 0 && !knows && !worker.offer.leaving {
                worker.declared = backlog;
                worker.declared_at = now;
                names.push(worker.node.name.clone());
            }
        }
        names
    }

    /// Notes a start and uses a credit. Returns the entry that it was granted to, if not this one.
    pub fn start(&mut self, name: &Name, sent: Sent, backlog: u32) -> Option<Name> {
        let mut account = None;
        if let Some(worker) = self.workers.get_mut(name) {
            account = worker.use_credit();
            worker.declared_at = sent.at;
            worker.declared = backlog;
            *self
                .on
                .entry((sent.service.clone(), sent.class))
                .or_default() += 1;
            worker.sent.insert((sent.task.key, sent.task.index), sent);
        }
        account
    }

    /// Takes a task off a worker, if it is on it under this dispatch.
    pub fn take(&mut self, name: &Name, task: TaskRef) -> Option<Sent> {
        let worker = self.workers.get_mut(name)?;
        let id = (task.key, task.index);
        worker
            .sent
            .get(&id)
            .filter(|sent| sent.task.dispatch == task.dispatch)?;
        let sent = worker.sent.swap_remove(&id)?;
        self.count_off(&sent);
        Some(sent)
    }

    /// Learns from an ended task.
    pub fn ended(&mut self, now: Instant, name: &Name, sent: &Sent, run: Duration, failed: bool) {
        let service = &sent.service;
        if !failed {
            self.learn_speed(name, sent.expected, run);
        }
        if self.eject {
            self.judge(now, name, service, failed);
        }
    }

    fn learn_speed(&mut self, name: &Name, expected: Duration, run: Duration) {
        if !self.learn_speeds || run.is_zero() {
            return;
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.speed_seen += 1;
        let rate = (1.0 / f64::from(worker.speed_seen + 3)).max(SPEED_RATE);
        let surprise =
            (run.as_secs_f64() / expected.as_secs_f64().max(1e-6)).ln() - worker.slowness;
        worker.slowness += rate * surprise.clamp(-MAX_SURPRISE, MAX_SURPRISE);
    }

    /// Slots that a service's workers offer, whichever entry holds their credits.
    pub fn offered(&self, service: &Name) -> u32 {
        let serving = self
            .workers
            .values()
            .filter(|w| w.up && w.offer.services.contains(service));
        serving.map(|worker| worker.offer.slots).sum()
    }

    /// Slots of a service that this entry has in hand: credits and tasks that run.
    pub fn in_hand(&self, service: &Name) -> u32 {
        let serving = self
            .workers
            .values()
            .filter(|w| w.up && w.offer.services.contains(service));
        serving
            .map(|worker| worker.total_credits() + worker.sent.len() as u32)
            .sum()
    }

    /// Whether any linked worker could ever run such a task; `None` when none serves it at all.
    pub fn fits(&self, service: &Name, needs: Needs) -> Option<bool> {
        let mut serving = self
            .workers
            .values()
            .filter(|worker| worker.up && worker.offer.services.contains(service))
            .peekable();
        serving.peek()?;
        Some(serving.any(|worker| needs.fit(worker.offer.size)))
    }

    /// Names of workers that are ejected or on probation.
    pub fn ejected(&self) -> Vec<Name> {
        let out = self
            .workers
            .values()
            .filter(|worker| worker.health.probes.is_some());
        out.map(|worker| worker.node.name.clone()).collect()
    }

    /// Forgets workers that are away and have nothing of ours.
    pub fn tidy(&mut self, now: Instant, after: Duration) {
        self.workers.retain(|_, worker| {
            worker.up || !worker.sent.is_empty() || now.duration_since(worker.heard) < after
        });
    }
}
