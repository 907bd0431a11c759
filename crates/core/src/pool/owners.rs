//! Records which other entry may run which job.
//!
//! Entries announce the jobs that they started to one another whenever a keep-alive message is due,
//! and all open ones on a new link. A caller that got no answer sends a job again after 1,300 ms at
//! the earliest, so that the announcement arrives before the job. A caller whose connection was reset may send it to another entry within milliseconds. A
//! job that is removed while runs of it are left is therefore announced at once.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::job::JobId;
use super::{KeepAlive, LEASE_EXPIRY_MARGIN, SILENCE_TIMEOUT, Uptime, WORKER_LEASE};
use crate::ids::Name;

/// Time for which another entry's job is kept; longer than a caller waits for an answer.
const RETENTION: Duration = Duration::from_secs(12);
/// Maximum number of announcements kept; the oldest are dropped first.
const MAX_ANNOUNCEMENTS: usize = 50_000;
/// Time after the loss of a link at which all runs of the process at its other end have certainly
/// ended.
pub const MAX_RUN_TIME_AFTER_LOSS: Duration = SILENCE_TIMEOUT
    .saturating_add(WORKER_LEASE)
    .saturating_add(LEASE_EXPIRY_MARGIN);

/// The jobs of other entries, and the jobs of this entry that are to be announced.
#[derive(Clone, Debug)]
pub struct Owners {
    /// The entry that announced each job last, and when.
    jobs: IndexMap<JobId, (Name, Uptime)>,
    /// All announcements kept, oldest first, including those superseded by a later one of the same
    /// job.
    announcements: VecDeque<(Uptime, JobId)>,
    /// Known entries; the value is the time at which the link was lost, `None` while it is up.
    peers: IndexMap<Name, Option<Uptime>>,
    /// Other entries that answer the probes of some member, by the member list.
    live: IndexSet<Name>,
    /// When each entry without a link was last linked, or alive by the member list. Dropped once its
    /// runs have ended.
    last_live: IndexMap<Name, Uptime>,
    /// Started jobs that are not announced yet.
    unannounced: Vec<JobId>,
    next_announcement: Uptime,
    announce_interval: Duration,
}

impl Default for Owners {
    fn default() -> Self {
        Self {
            jobs: IndexMap::new(),
            announcements: VecDeque::new(),
            peers: IndexMap::new(),
            live: IndexSet::new(),
            last_live: IndexMap::new(),
            unannounced: Vec::new(),
            next_announcement: Uptime::ZERO,
            announce_interval: KeepAlive::AGENT.ping_every,
        }
    }
}

impl Owners {
    /// Sets the interval between announcements of started jobs.
    pub fn set_announce_interval(&mut self, interval: Duration) {
        self.announce_interval = interval;
    }

    /// Sets the other entries that are alive by the member list.
    pub fn set_live(&mut self, entries: IndexSet<Name>) {
        for entry in &entries {
            if self.peers.get(entry) != Some(&None) {
                self.last_live.entry(entry.clone()).or_default();
            }
        }
        self.live = entries;
    }

    /// Returns the other entries that are alive by the member list.
    pub fn live(&self) -> &IndexSet<Name> {
        &self.live
    }

    /// Handles a new link to another entry.
    pub fn link_up(&mut self, entry: &Name) {
        self.peers.insert(entry.clone(), None);
        self.last_live.swap_remove(entry);
    }

    /// Handles the loss of the link to another entry.
    pub fn link_down(&mut self, now: Uptime, entry: &Name) {
        self.peers.insert(entry.clone(), Some(now));
        self.last_live.insert(entry.clone(), now);
    }

    /// Records that this entry started a job.
    pub fn job_started(&mut self, job: JobId) {
        self.unannounced.push(job);
        self.jobs.swap_remove(&job);
    }

    /// Returns all jobs that are not announced yet if `job` is one of them; the caller must
    /// announce them at once, because the job may be sent to another entry at any moment.
    pub fn take_unannounced_with(&mut self, job: JobId) -> Option<Vec<JobId>> {
        let unannounced = self.unannounced.contains(&job);
        unannounced.then(|| std::mem::take(&mut self.unannounced))
    }

    /// Handles an announcement of jobs by another entry.
    pub fn on_jobs_started(&mut self, now: Uptime, entry: &Name, jobs: Vec<JobId>) {
        for job in jobs {
            self.jobs.insert(job, (entry.clone(), now));
            self.announcements.push_back((now, job));
        }
        while self.announcements.len() > MAX_ANNOUNCEMENTS {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((at, job)) = self.announcements.pop_front() else {
            return;
        };
        if self
            .jobs
            .get(&job)
            .is_some_and(|(_, announced)| *announced == at)
        {
            self.jobs.swap_remove(&job);
        }
    }

    /// Returns the other entry that may still run the job.
    pub fn owner(&self, job: JobId) -> Option<&Name> {
        self.jobs.get(&job).map(|(entry, _)| entry)
    }

    /// Records that no other entry runs the job any more.
    pub fn released(&mut self, job: JobId) {
        self.jobs.swap_remove(&job);
    }

    /// Returns whether all runs that an entry started before its link was lost have certainly
    /// ended. An entry that is alive may go on with them although its link to this one is lost.
    ///
    /// Returns `true` for an entry that was never linked.
    pub fn has_certainly_ended(&self, now: Uptime, entry: &Name) -> bool {
        match self.peers.get(entry) {
            Some(None) => false,
            Some(Some(_)) if self.live.contains(entry) => false,
            Some(Some(lost)) => now >= *lost + MAX_RUN_TIME_AFTER_LOSS,
            None => true,
        }
    }

    /// Returns whether runs that another entry started may go on. Other than
    /// [`Self::has_certainly_ended`], it counts from when the entry was last alive, if that is later
    /// than the loss of its link.
    pub fn may_run(&self, now: Uptime, entry: &Name) -> bool {
        if self.live.contains(entry) {
            return true;
        }
        let linked = self.peers.get(entry) == Some(&None);
        let may_run = |at: &Uptime| now < *at + MAX_RUN_TIME_AFTER_LOSS;
        linked || self.last_live.get(entry).is_some_and(may_run)
    }

    /// Returns the other entries whose runs may go on.
    pub fn entries_that_may_run(&self, now: Uptime) -> impl Iterator<Item = &Name> {
        let linked = self.peers.iter().filter(|(_, lost)| lost.is_none());
        let known = linked.map(|(entry, _)| entry).chain(self.last_live.keys());
        known.filter(move |entry| self.may_run(now, entry))
    }

    /// Drops expired announcements. Returns the jobs to announce now; none while no announcement
    /// is due.
    pub fn tick(&mut self, now: Uptime) -> Vec<JobId> {
        for (entry, at) in &mut self.last_live {
            if self.live.contains(entry) {
                *at = now;
            }
        }
        self.last_live
            .retain(|_, at| now < *at + MAX_RUN_TIME_AFTER_LOSS);
        while self
            .announcements
            .front()
            .is_some_and(|(at, _)| now > *at + RETENTION)
        {
            self.drop_oldest();
        }
        if now < self.next_announcement {
            return Vec::new();
        }
        self.next_announcement = now + self.announce_interval;
        std::mem::take(&mut self.unannounced)
    }
}
