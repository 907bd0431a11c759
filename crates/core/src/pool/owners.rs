//! Which entry runs which job.
//!
//! Entries tell one another what they began, a few times a second. A caller that got no answer sends
//! a job again after 1,300 ms at the earliest, so the word is there before the job is. One whose
//! connection was reset may come to another entry within milliseconds: of a job that ends while runs
//! of it are left the others are told at once.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use super::job::JobId;
use super::{LAPSE_MARGIN, SILENCE, Uptime, WORKER_LEASE};
use crate::ids::Name;

/// Time between two announcements of begun jobs.
pub const TELL_EVERY: Duration = Duration::from_millis(200);
/// Time for which another entry's job is remembered; longer than a caller waits for an answer.
const REMEMBER: Duration = Duration::from_secs(12);
/// Jobs of other entries that are remembered; the oldest go first.
const MAX_REMEMBERED: usize = 50_000;
/// After a lost link, the other entry's runs have surely ended after this time.
pub const SURE_AFTER: Duration = SILENCE
    .saturating_add(WORKER_LEASE)
    .saturating_add(LAPSE_MARGIN);

/// What is known of other entries.
#[derive(Debug, Default)]
pub struct Owners {
    jobs: IndexMap<JobId, (Name, Uptime)>,
    /// All of `jobs` by the time of the word, oldest first; some are out of date.
    order: VecDeque<(Uptime, JobId)>,
    /// Linked entries; the time of the loss for those that were lost.
    peers: IndexMap<Name, Option<Uptime>>,
    begun: Vec<JobId>,
    next_tell: Uptime,
}

impl Owners {
    /// Another entry is linked.
    pub fn up(&mut self, entry: &Name) {
        self.peers.insert(entry.clone(), None);
    }

    /// Another entry's link is lost.
    pub fn down(&mut self, now: Uptime, entry: &Name) {
        self.peers.insert(entry.clone(), Some(now));
    }

    /// This entry began a job.
    pub fn began(&mut self, job: JobId) {
        self.begun.push(job);
        self.jobs.swap_remove(&job);
    }

    /// The jobs to tell at once, if `job` is one that was not told yet: its caller may come to
    /// another entry at any moment.
    pub fn untold_with(&mut self, job: JobId) -> Option<Vec<JobId>> {
        let untold = self.begun.contains(&job);
        untold.then(|| std::mem::take(&mut self.begun))
    }

    /// Another entry began jobs.
    pub fn on_began(&mut self, now: Uptime, entry: &Name, jobs: Vec<JobId>) {
        for job in jobs {
            self.jobs.insert(job, (entry.clone(), now));
            self.order.push_back((now, job));
        }
        while self.order.len() > MAX_REMEMBERED {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((at, job)) = self.order.pop_front() else {
            return;
        };
        if self.jobs.get(&job).is_some_and(|(_, told)| *told == at) {
            self.jobs.swap_remove(&job);
        }
    }

    /// The entry that may still run the job.
    pub fn holder(&self, job: JobId) -> Option<&Name> {
        self.jobs.get(&job).map(|(entry, _)| entry)
    }

    /// The job is surely not run by another entry.
    pub fn released(&mut self, job: JobId) {
        self.jobs.swap_remove(&job);
    }

    /// Whether all that an entry ran before its link was lost has surely ended.
    pub fn is_surely_over(&self, now: Uptime, entry: &Name) -> bool {
        match self.peers.get(entry) {
            Some(None) => false,
            Some(Some(lost)) => now >= *lost + SURE_AFTER,
            None => true,
        }
    }

    /// The jobs to tell now.
    pub fn tick(&mut self, now: Uptime) -> Vec<JobId> {
        while self
            .order
            .front()
            .is_some_and(|(at, _)| now > *at + REMEMBER)
        {
            self.forget_oldest();
        }
        if now < self.next_tell {
            return Vec::new();
        }
        self.next_tell = now + TELL_EVERY;
        std::mem::take(&mut self.begun)
    }
}
