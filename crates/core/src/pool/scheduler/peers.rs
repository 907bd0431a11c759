//! Links to other entries: the jobs that they started, and the handover of jobs.

use indexmap::IndexSet;

use super::super::msg::Peer;
use super::super::{KeepAlive, Uptime};
use super::{Action, Hold, JobId, Name, Note, Scheduler};

/// A request of another entry to yield or cancel a job.
#[derive(Clone, Debug)]
pub(super) struct YieldRequest {
    pub(super) job: JobId,
    /// The entry to notify once no run of the job is left here.
    pub(super) entry: Name,
    /// The notification.
    pub(super) reply: Peer,
    /// When it may be confirmed at the earliest. A job that this process does not know may have runs
    /// that the process before it started.
    pub(super) not_before: Uptime,
}

impl Scheduler {
    /// Sets the number of entries, on which the interval between announcements depends.
    pub fn set_entry_count(&mut self, entries: usize) {
        let interval = KeepAlive::between_entries(entries).ping_every;
        self.owners.set_announce_interval(interval);
        self.shares.set_entries(entries, interval);
    }

    /// Sets the entries that are alive by the member list. The loss of the link to one of them is no
    /// sign that its runs have ended.
    pub fn set_live_entries(&mut self, entries: IndexSet<Name>) {
        self.owners.set_live(entries);
        self.acquaintance.members_known();
    }

    /// Returns whether this entry has heard which jobs the other entries run since it started, or does
    /// not wait for them any longer. Until then it has to take no requests.
    pub fn is_acquainted(&mut self, now: Uptime) -> bool {
        self.acquaintance.is_complete(now, self.owners.live())
    }

    /// Handles a new link to another entry: announces all jobs that may have runs and repeats the
    /// requests to yield, since both may have been lost with an earlier link. The announcement is sent
    /// also if there are none, since the other entry may wait for it.
    pub fn peer_up(&mut self, entry: &Name, out: &mut Vec<Action>) {
        self.owners.link_up(entry);
        self.acquaintance.link_up(entry);
        let stopping = self.stopping.keys().map(|run| run.task.job);
        let open = self.jobs.keys().copied().chain(stopping);
        let jobs: IndexSet<JobId> = open.chain(self.awaited.keys().copied()).collect();
        let jobs = jobs.into_iter().collect();
        out.push(Action::Peer(entry.clone(), Peer::JobsStarted { jobs }));
        let hold = Hold::Yield(entry.clone());
        let held = self.jobs.iter().filter(|(_, job)| job.hold == hold);
        let awaited = self.awaited.iter().filter(|(_, other)| *other == entry);
        let asked = held.map(|(id, _)| *id).chain(awaited.map(|(id, _)| *id));
        out.extend(asked.map(|job| Action::Peer(entry.clone(), Peer::Yield { job })));
        self.repeat_cancels(entry, out);
    }

    /// Handles the loss of the link to another entry.
    pub fn peer_down(&mut self, now: Uptime, entry: &Name) {
        self.owners.link_down(now, entry);
        self.acquaintance.link_down(entry);
        self.yield_requests
            .retain(|request| request.entry != *entry);
    }

    /// Handles a message of another entry.
    pub fn on_peer(&mut self, now: Uptime, entry: &Name, msg: Peer, out: &mut Vec<Action>) {
        match msg {
            Peer::JobsStarted { jobs } => {
                self.cancel_announced(entry, &jobs, out);
                let held = self.held_since_wake(&jobs);
                self.owners.on_jobs_started(now, entry, jobs);
                self.acquaintance.on_announcement(entry);
                self.hold_announced(held, out);
                self.release_acquainted(now, out);
            }
            Peer::Yield { job } => self.on_yield(now, entry, job, out),
            Peer::Yielded { job } => {
                let hold = Hold::Yield(entry.clone());
                if self.jobs.get(&job).is_some_and(|open| open.hold == hold) {
                    self.release(now, job, out);
                } else if self.awaited.get(&job) == Some(entry) {
                    self.awaited.swap_remove(&job);
                    self.finish_stopping(now, job, out);
                }
            }
            Peer::Cancel { job } => self.on_cancel(now, entry, job, out),
            Peer::Cancelled { job, known } => {
                self.on_cancelled(now, entry, (job, known), out);
            }
            Peer::Load(report) => self.shares.on_report(now, entry, report),
        }
    }

    /// Aborts a job for the entry that asks for it, and confirms once no run of it is left.
    fn on_yield(&mut self, now: Uptime, entry: &Name, id: JobId, out: &mut Vec<Action>) {
        let is_known = self.may_have_runs(id);
        if self.jobs.contains_key(&id) {
            out.push(Action::Note(Note::Yielded {
                job: id,
                to: entry.clone(),
            }));
            self.abort(now, id, "the caller came to another entry", out);
        }
        self.reply_without_runs(now, entry, (id, is_known), Peer::Yielded { job: id }, out);
    }

    /// Returns whether the job is open or may have runs that were started here or at an entry that
    /// was asked to yield it.
    pub(super) fn may_have_runs(&self, id: JobId) -> bool {
        let is_stopping = self.stopping.keys().any(|run| run.task.job == id);
        is_stopping || self.jobs.contains_key(&id) || self.awaited.contains_key(&id)
    }

    /// Sends the reply to another entry once no run of the job is left.
    pub(super) fn reply_without_runs(
        &mut self,
        now: Uptime,
        entry: &Name,
        (id, is_known): (JobId, bool),
        reply: Peer,
        out: &mut Vec<Action>,
    ) {
        self.yield_requests.push(YieldRequest {
            job: id,
            entry: entry.clone(),
            reply,
            not_before: if is_known {
                Uptime::ZERO
            } else {
                self.predecessor_runs_end
            },
        });
        self.finish_stopping(now, id, out);
    }

    /// Confirms the requests to yield that had to wait for the runs of an earlier process.
    pub(super) fn confirm_yields(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let is_due = |request: &&YieldRequest| now >= request.not_before;
        let due: Vec<JobId> = self
            .yield_requests
            .iter()
            .filter(is_due)
            .map(|request| request.job)
            .collect();
        for job in due {
            self.finish_stopping(now, job, out);
        }
    }
}
