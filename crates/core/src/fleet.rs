//! An entry's view of the workers: their credits, learned speeds and health.

mod health;
mod loans;

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::{JobKey, Name, NodeRef};
use crate::job::{Class, Resources};
use crate::msg::{Offer, TaskRef};

use health::Health;
use loans::BorrowedCredits;

/// Time without a message from a worker after which its credits are not used.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(1500);
/// Interval at which an unchanged backlog is reported to a worker again.
const BACKLOG_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Lower bound of the weight that a task has in its worker's learned speed; the first tasks weigh
/// more.
const MIN_LEARNING_RATE: f64 = 0.05;
/// Largest deviation of one task's run time from the learned speed that is taken into account, as
/// the natural logarithm of the ratio.
const MAX_LOG_ERROR: f64 = 1.5;

/// A task that was sent to a worker.
#[derive(Clone, Debug)]
pub struct SentTask {
    /// The dispatch.
    pub task: TaskRef,
    /// The task's class.
    pub class: Class,
    /// The task's service.
    pub service: Name,
    /// The run time that is expected on a worker of mean speed.
    pub expected: Duration,
    /// Time of sending.
    pub at: Instant,
}

/// One worker as an entry sees it.
#[derive(Debug)]
pub struct Worker {
    /// The process of the worker's agent.
    pub node: NodeRef,
    /// Sequence number of this process among all worker processes, by first link.
    pub link_seq: u64,
    /// The offer that it last sent.
    pub offer: Offer,
    /// Unused credits that the worker granted to this entry.
    pub credits: u32,
    /// Unused credits that other entries lent to this one.
    borrowed: Vec<BorrowedCredits>,
    /// Number of own credits lent to other entries, and the time of the last loan.
    lent: Option<(u32, Instant)>,
    /// Whether its link is up.
    pub linked: bool,
    /// Time of its last message.
    pub heard_at: Instant,
    /// The backlog that it knows of, in tasks: as last reported, less the credits granted since.
    pub reported_backlog: u32,
    /// Time at which the backlog was last reported.
    pub backlog_reported_at: Instant,
    /// Tasks sent to it that have not ended, by job and index.
    pub sent: IndexMap<(JobKey, u16), SentTask>,
    /// Natural logarithm of the ratio of its run times to the mean; above 0 is slower than the
    /// mean.
    log_slowness: f64,
    /// Number of tasks that the speed was learned from.
    speed_samples: u32,
    health: Health,
}

impl Worker {
    /// Returns the ratio of its run times to the mean; above 1 is slower than the mean.
    pub fn run_time_factor(&self) -> f64 {
        self.log_slowness.exp()
    }

    /// Returns whether it could run a task of this service and size, given a credit.
    fn can_run(&self, service: &Name, needs: Resources) -> bool {
        self.linked
            && !self.offer.leaving
            && self.offer.services.contains(service)
            && needs.fits(self.offer.size)
    }

    /// Returns whether this entry has a credit of the worker and may use it now.
    ///
    /// An ejected worker gets no task until the ejection ends, and then one task at a time as a
    /// probe.
    fn has_usable_credit(&self, now: Instant) -> bool {
        if self.total_credits() == 0 || now.duration_since(self.heard_at) >= SILENCE_LIMIT {
            return false;
        }
        match (self.health.ejected_until, self.health.probes) {
            (Some(until), _) => now >= until && self.sent.is_empty(),
            (None, Some(_)) => self.sent.is_empty(),
            (None, None) => true,
        }
    }
}

/// The conditions that a worker has to meet for a task.
#[derive(Clone, Copy, Debug)]
pub struct TaskRequirements<'a> {
    /// The service.
    pub service: &'a Name,
    /// The least size of the worker.
    pub needs: Resources,
    /// Only workers with a lower [`Worker::link_seq`] are eligible.
    pub link_seq_below: u64,
}

/// All workers that are linked, and those that were linked recently.
#[derive(Debug)]
pub struct Fleet {
    workers: IndexMap<Name, Worker>,
    /// Number of tasks on all workers, by service and class.
    sent_counts: IndexMap<(Name, Class), u32>,
    /// Number of worker processes that have linked.
    processes_linked: u64,
    learn_speeds: bool,
    eject: bool,
}

impl Fleet {
    /// Returns an empty fleet that learns speeds, and ejects failing workers, if the flags say so.
    pub fn new(learn_speeds: bool, eject: bool) -> Self {
        Self {
            workers: IndexMap::new(),
            sent_counts: IndexMap::new(),
            processes_linked: 0,
            learn_speeds,
            eject,
        }
    }

    /// Returns the [`Worker::link_seq`] that the next new worker process will get.
    pub fn next_link_seq(&self) -> u64 {
        self.processes_linked + 1
    }

    /// Returns all workers by name.
    pub fn workers(&self) -> &IndexMap<Name, Worker> {
        &self.workers
    }

    /// Returns the worker of this name.
    pub fn worker_mut(&mut self, name: &Name) -> Option<&mut Worker> {
        self.workers.get_mut(name)
    }

    /// Handles a new link of a worker. Returns the tasks that were on an earlier process of its
    /// name.
    pub fn link_up(&mut self, now: Instant, node: NodeRef) -> Vec<SentTask> {
        let known = self
            .workers
            .get_mut(&node.name)
            .filter(|worker| worker.node == node);
        if let Some(worker) = known {
            worker.linked = true;
            worker.heard_at = now;
            worker.invalidate_credits();
            worker.reported_backlog = 0;
            return Vec::new();
        }
        self.processes_linked += 1;
        let offer = Offer {
            epoch: 0,
            services: Vec::new(),
            slots: 0,
            size: Resources::default(),
            leaving: false,
        };
        let worker = Worker {
            node: node.clone(),
            link_seq: self.processes_linked,
            offer,
            credits: 0,
            borrowed: Vec::new(),
            lent: None,
            linked: true,
            heard_at: now,
            reported_backlog: 0,
            backlog_reported_at: now,
            sent: IndexMap::new(),
            log_slowness: 0.0,
            speed_samples: 0,
            health: Health::default(),
        };
        let lost = self.remove_all_sent(&node.name);
        self.workers.insert(node.name, worker);
        lost
    }

    /// Removes and returns all tasks of a worker whose process has ended.
    pub fn remove_all_sent(&mut self, name: &Name) -> Vec<SentTask> {
        let Some(worker) = self.workers.get_mut(name) else {
            return Vec::new();
        };
        let lost: Vec<SentTask> = worker.sent.drain(..).map(|(_, sent)| sent).collect();
        for sent in &lost {
            self.decrement_sent_count(sent);
        }
        lost
    }

    /// Returns the number of a service's tasks of this class that are on workers.
    pub fn sent_count(&self, service: &Name, class: Class) -> u32 {
        self.sent_counts
            .get(&(service.clone(), class))
            .copied()
            .unwrap_or(0)
    }

    /// Returns whether this entry holds a credit of any worker of the service.
    pub fn has_credit(&self, service: &Name) -> bool {
        self.workers
            .values()
            .any(|w| w.total_credits() > 0 && w.offer.services.contains(service))
    }

    fn decrement_sent_count(&mut self, sent: &SentTask) {
        if let Some(count) = self
            .sent_counts
            .get_mut(&(sent.service.clone(), sent.class))
        {
            *count = count.saturating_sub(1);
        }
    }

    /// Handles the loss of a worker's link: its credits become invalid; its tasks stay, with their
    /// outcome unknown.
    pub fn link_down(&mut self, name: &Name) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.linked = false;
            worker.invalidate_credits();
        }
    }

    /// Records a worker's new offer; credits of another epoch become invalid.
    pub fn on_offer(&mut self, name: &Name, offer: Offer) {
        if let Some(worker) = self.workers.get_mut(name) {
            if offer.epoch != worker.offer.epoch {
                worker.invalidate_credits();
            }
            worker.offer = offer;
        }
    }

    /// Adds credits that a worker granted; those of another epoch than its offer's are ignored.
    pub fn grant(&mut self, name: &Name, credits: u32, epoch: u64) {
        if let Some(worker) = self.workers.get_mut(name)
            && worker.offer.epoch == epoch
        {
            worker.credits += credits;
            worker.reported_backlog = worker.reported_backlog.saturating_sub(credits);
        }
    }

    /// Returns the fastest eligible worker with a credit, or `None` if there is none or if waiting
    /// is better.
    ///
    /// `expected` is the run time on a worker of mean speed and `queued` the number of tasks that
    /// wait. Waiting is better when a faster worker is expected to be free so soon that the task
    /// ends earlier on it.
    pub fn choose_worker(
        &self,
        now: Instant,
        requirements: TaskRequirements<'_>,
        expected: Duration,
        queued: u32,
    ) -> Option<Name> {
        let eligible = |worker: &&Worker| {
            worker.link_seq < requirements.link_seq_below
                && worker.can_run(requirements.service, requirements.needs)
        };
        let best = self
            .workers
            .values()
            .filter(eligible)
            .filter(|worker| worker.has_usable_credit(now))
            .min_by(|a, b| a.log_slowness.total_cmp(&b.log_slowness))?;
        if self.learn_speeds && self.is_waiting_better(now, best, requirements, expected, queued) {
            return None;
        }
        Some(best.node.name.clone())
    }

    /// Returns whether a task would end earlier if it waited for a slot of a worker faster than
    /// `best`.
    fn is_waiting_better(
        &self,
        now: Instant,
        best: &Worker,
        requirements: TaskRequirements<'_>,
        expected: Duration,
        queued: u32,
    ) -> bool {
        let expected = expected.as_secs_f64();
        let run_on_best = expected * best.run_time_factor();
        let faster = self.workers.values().filter(|worker| {
            worker.log_slowness < best.log_slowness
                && worker.link_seq < requirements.link_seq_below
                && worker.can_run(requirements.service, requirements.needs)
                && worker.health.probes.is_none()
                && now.duration_since(worker.heard_at) < SILENCE_LIMIT
        });
        let mut rate = 0.0;
        let mut fastest_run = f64::INFINITY;
        for worker in faster {
            let run = expected * worker.run_time_factor();
            rate += worker.sent.len() as f64 / run;
            fastest_run = fastest_run.min(run);
        }
        if rate == 0.0 {
            return false;
        }
        let wait = f64::from(queued.max(1)) / rate;
        wait + fastest_run < run_on_best
    }

    /// Returns the workers that could run a task, with or without a credit, and the number of this
    /// entry's tasks on each.
    pub fn eligible_workers(&self, requirements: TaskRequirements<'_>) -> Vec<(Name, usize)> {
        let serving = self.workers.values().filter(|worker| {
            worker.link_seq < requirements.link_seq_below
                && worker.can_run(requirements.service, requirements.needs)
        });
        serving
            .map(|worker| (worker.node.name.clone(), worker.sent.len()))
            .collect()
    }

    /// Records that `backlog` is reported to the workers of which this entry has no unused credit and
    /// which do not know of a backlog. Returns their names; the caller sends the reports.
    pub fn report_backlog(&mut self, now: Instant, service: &Name, backlog: u32) -> Vec<Name> {
        let mut names = Vec::new();
        for worker in self.workers.values_mut() {
            let serves = worker.linked && worker.offer.services.contains(service);
            let knows = worker.reported_backlog > 0
                && now.duration_since(worker.backlog_reported_at) < BACKLOG_REPORT_INTERVAL;
            if serves && worker.total_credits() == 0 && !knows && !worker.offer.leaving {
                worker.reported_backlog = backlog;
                worker.backlog_reported_at = now;
                names.push(worker.node.name.clone());
            }
        }
        names
    }

    /// Records a task as sent and uses a credit.
    ///
    /// Returns the entry that the credit was granted to, or `None` if it was granted to this entry.
    pub fn record_sent(&mut self, name: &Name, sent: SentTask, backlog: u32) -> Option<Name> {
        let mut account = None;
        if let Some(worker) = self.workers.get_mut(name) {
            account = worker.use_credit();
            worker.backlog_reported_at = sent.at;
            worker.reported_backlog = backlog;
            *self
                .sent_counts
                .entry((sent.service.clone(), sent.class))
                .or_default() += 1;
            worker.sent.insert((sent.task.key, sent.task.index), sent);
        }
        account
    }

    /// Removes and returns a task of a worker, if it was sent there under this dispatch.
    pub fn take_sent(&mut self, name: &Name, task: TaskRef) -> Option<SentTask> {
        let worker = self.workers.get_mut(name)?;
        let id = (task.key, task.index);
        worker
            .sent
            .get(&id)
            .filter(|sent| sent.task.dispatch == task.dispatch)?;
        let sent = worker.sent.swap_remove(&id)?;
        self.decrement_sent_count(&sent);
        Some(sent)
    }

    /// Updates the speed and the health of a worker from an ended task that ran for `run`.
    pub fn record_end(
        &mut self,
        now: Instant,
        name: &Name,
        sent: &SentTask,
        run: Duration,
        failed: bool,
    ) {
        let service = &sent.service;
        if !failed {
            self.learn_speed(name, sent.expected, run);
        }
        if self.eject {
            self.update_health(now, name, service, failed);
        }
    }

    fn learn_speed(&mut self, name: &Name, expected: Duration, run: Duration) {
        if !self.learn_speeds || run.is_zero() {
            return;
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.speed_samples += 1;
        let rate = (1.0 / f64::from(worker.speed_samples + 3)).max(MIN_LEARNING_RATE);
        let log_error =
            (run.as_secs_f64() / expected.as_secs_f64().max(1e-6)).ln() - worker.log_slowness;
        worker.log_slowness += rate * log_error.clamp(-MAX_LOG_ERROR, MAX_LOG_ERROR);
    }

    /// Returns the number of slots that a service's workers offer, whichever entry holds the
    /// credits.
    pub fn offered_slots(&self, service: &Name) -> u32 {
        let serving = self
            .workers
            .values()
            .filter(|w| w.linked && w.offer.services.contains(service));
        serving.map(|worker| worker.offer.slots).sum()
    }

    /// Returns the number of a service's slots that this entry holds: unused credits and sent
    /// tasks.
    pub fn slots_held(&self, service: &Name) -> u32 {
        let serving = self
            .workers
            .values()
            .filter(|w| w.linked && w.offer.services.contains(service));
        serving
            .map(|worker| worker.total_credits() + worker.sent.len() as u32)
            .sum()
    }

    /// Returns whether any linked worker is large enough for a task, or `None` if no linked worker
    /// serves its service.
    pub fn any_worker_fits(&self, service: &Name, needs: Resources) -> Option<bool> {
        let mut serving = self
            .workers
            .values()
            .filter(|worker| worker.linked && worker.offer.services.contains(service))
            .peekable();
        serving.peek()?;
        Some(serving.any(|worker| needs.fits(worker.offer.size)))
    }

    /// Returns the names of the workers that are ejected or on probation.
    pub fn ejected(&self) -> Vec<Name> {
        let out = self
            .workers
            .values()
            .filter(|worker| worker.health.probes.is_some());
        out.map(|worker| worker.node.name.clone()).collect()
    }

    /// Removes workers that are not linked, have no task of this entry and sent no message for
    /// `after`.
    pub fn remove_inactive_workers(&mut self, now: Instant, after: Duration) {
        self.workers.retain(|_, worker| {
            worker.linked || !worker.sent.is_empty() || now.duration_since(worker.heard_at) < after
        });
    }
}
