//! Cancels of jobs. A cancel is acknowledged once no entry may start or go on with the job.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::super::Uptime;
use super::super::msg::Peer;
use super::{Action, JobId, Name, Note, Scheduler};

/// Maximum number of cancels kept; further ones are not accepted.
pub const MAX_CANCELS: usize = 4096;
/// Time for which the answer to a cancel is held while another entry cannot be asked.
pub const CANCEL_WAIT: Duration = Duration::from_secs(3);
/// Time for which a cancelled job is ended wherever it turns up; as long as announcements are kept.
const RETENTION: Duration = Duration::from_secs(12);

/// The answer to a cancel.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelAnswer {
    /// No task of the job will be started.
    Cancelled,
    /// No entry knows the job.
    Unknown,
    /// Another entry may know the job and did not answer.
    Unconfirmed,
}

/// A cancel that came to this entry.
#[derive(Clone, Debug)]
struct Cancel {
    at: Uptime,
    /// Connections that wait for the answer.
    callers: Vec<u64>,
    /// Entries that may run the job and have not confirmed its end.
    waits_for: IndexSet<Name>,
    /// Whether this entry or another one knew the job.
    known: bool,
    /// Whether another entry announced the job and has not denied it.
    presumed: bool,
    /// Whether all entries were asked, and not only the presumed owner.
    asked_all: bool,
}

impl Cancel {
    fn new(now: Uptime) -> Self {
        Self {
            at: now,
            callers: Vec::new(),
            waits_for: IndexSet::new(),
            known: false,
            presumed: false,
            asked_all: false,
        }
    }

    fn answer(&mut self, now: Uptime, id: JobId, answer: CancelAnswer, out: &mut Vec<Action>) {
        let waited = now.saturating_sub(self.at);
        for caller in self.callers.drain(..) {
            out.push(Action::CancelAnswer(caller, answer));
            out.push(Action::Note(Note::CancelAnswered {
                job: id,
                answer,
                waited,
            }));
        }
    }
}

/// The cancels that came to this entry, by job.
#[derive(Clone, Debug, Default)]
pub(super) struct Cancels(IndexMap<JobId, Cancel>);

impl Cancels {
    /// Returns whether the job was cancelled here, or its cancel is not answered yet.
    pub(super) fn contains(&self, id: JobId) -> bool {
        self.0.contains_key(&id)
    }

    /// Records that another entry had a job cancelled that was known here.
    fn remember(&mut self, now: Uptime, id: JobId) {
        if self.0.len() < MAX_CANCELS {
            let cancel = self.0.entry(id).or_insert_with(|| Cancel::new(now));
            cancel.known = true;
        }
    }
}

impl Scheduler {
    /// Cancels a job here and at the entries that may run it. `caller` gets the answer as an
    /// [`Action::CancelAnswer`].
    pub fn cancel(&mut self, now: Uptime, id: JobId, caller: u64, out: &mut Vec<Action>) {
        let open = self.jobs.contains_key(&id);
        if open {
            self.abort(now, id, "cancelled by the caller", out);
        }
        let owner = self.owners.owner(id).or(self.awaited.get(&id)).cloned();
        if self.cancels.0.len() >= MAX_CANCELS && !self.cancels.contains(id) {
            let answer = if open && owner.is_none() {
                CancelAnswer::Cancelled
            } else {
                CancelAnswer::Unconfirmed
            };
            out.push(Action::CancelAnswer(caller, answer));
            return;
        }
        let cancel = self.cancels.0.entry(id).or_insert_with(|| Cancel::new(now));
        if cancel.callers.is_empty() {
            cancel.at = now;
        }
        cancel.callers.push(caller);
        cancel.known |= open;
        cancel.presumed |= owner.is_some();
        cancel.waits_for.extend(owner);
        for entry in &cancel.waits_for {
            out.push(Action::Peer(entry.clone(), Peer::Cancel { job: id }));
        }
        self.settle_cancel(now, id, out);
    }

    /// Answers a cancel if no entry has to be waited for any more.
    fn settle_cancel(&mut self, now: Uptime, id: JobId, out: &mut Vec<Action>) {
        let Some(cancel) = self.cancels.0.get_mut(&id) else {
            return;
        };
        let owners = &self.owners;
        cancel.waits_for.retain(|entry| owners.may_run(now, entry));
        if cancel.waits_for.is_empty() && !cancel.known && !cancel.asked_all {
            cancel.asked_all = true;
            cancel.waits_for = owners.entries_that_may_run(now).cloned().collect();
            for entry in &cancel.waits_for {
                out.push(Action::Peer(entry.clone(), Peer::Cancel { job: id }));
            }
        }
        if !cancel.waits_for.is_empty() {
            if now >= cancel.at + CANCEL_WAIT {
                cancel.answer(now, id, CancelAnswer::Unconfirmed, out);
            }
            return;
        }
        if cancel.known || cancel.presumed {
            cancel.answer(now, id, CancelAnswer::Cancelled, out);
        } else {
            cancel.answer(now, id, CancelAnswer::Unknown, out);
            self.cancels.0.swap_remove(&id);
        }
    }

    /// Answers the cancels that wait for entries whose runs have ended, or for too long, and
    /// forgets those of long ago.
    pub(super) fn settle_cancels(&mut self, now: Uptime, out: &mut Vec<Action>) {
        let waits = |(_, cancel): &(&JobId, &Cancel)| !cancel.waits_for.is_empty();
        let waiting = self.cancels.0.iter().filter(waits);
        let ids: Vec<JobId> = waiting.map(|(id, _)| *id).collect();
        for id in ids {
            self.settle_cancel(now, id, out);
        }
        self.cancels
            .0
            .retain(|_, cancel| now < cancel.at + RETENTION);
    }

    /// Handles the reply of another entry to a cancel. `known` is whether it knew the job.
    pub(super) fn on_cancelled(
        &mut self,
        now: Uptime,
        entry: &Name,
        (id, known): (JobId, bool),
        out: &mut Vec<Action>,
    ) {
        let Some(cancel) = self.cancels.0.get_mut(&id) else {
            return;
        };
        if cancel.waits_for.swap_remove(entry) {
            cancel.known |= known;
            // The presumed owner has ended the job, or has yielded it to an entry that this one
            // did not hear of.
            cancel.presumed &= known;
        }
        self.settle_cancel(now, id, out);
    }

    /// Cancels those of the jobs that another entry announced which were cancelled here.
    pub(super) fn cancel_announced(&mut self, entry: &Name, jobs: &[JobId], out: &mut Vec<Action>) {
        for job in jobs {
            if let Some(cancel) = self.cancels.0.get_mut(job) {
                cancel.known = true;
                cancel.waits_for.insert(entry.clone());
                out.push(Action::Peer(entry.clone(), Peer::Cancel { job: *job }));
            }
        }
    }

    /// Repeats the requests to cancel on a new link, since they may have been lost with an earlier
    /// one.
    pub(super) fn repeat_cancels(&self, entry: &Name, out: &mut Vec<Action>) {
        let waiting = |(_, cancel): &(&JobId, &Cancel)| cancel.waits_for.contains(entry);
        let jobs = self.cancels.0.iter().filter(waiting).map(|(job, _)| *job);
        out.extend(jobs.map(|job| Action::Peer(entry.clone(), Peer::Cancel { job })));
    }

    /// Cancels a job for another entry, and confirms once no run of it is left.
    pub(super) fn on_cancel(
        &mut self,
        now: Uptime,
        entry: &Name,
        id: JobId,
        out: &mut Vec<Action>,
    ) {
        let known = self.may_have_runs(id);
        if known {
            self.abort(now, id, "cancelled by the caller", out);
            self.cancels.remember(now, id);
        }
        let reply = Peer::Cancelled { job: id, known };
        self.reply_without_runs(now, entry, (id, known), reply, out);
    }

    /// Handles the end of a connection that may wait for the answer to a cancel.
    pub(super) fn forget_canceller(&mut self, caller: u64) {
        for cancel in self.cancels.0.values_mut() {
            cancel.callers.retain(|other| *other != caller);
        }
    }
}
