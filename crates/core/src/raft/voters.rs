//! Voters: joining, admission and removal, one change at a time.

use super::{
    Body, Command, Duration, ELECTION_MAX, ELECTION_MIN, Effects, GONE_AFTER, Instant,
    LEARNER_TIMEOUT, MAX_VOTERS, MIN_VOTERS, Progress, Raft, RaftMsg, SPARE_GONE_AFTER, VoterId,
};

impl Raft {
    pub(super) fn is_voter(&self) -> bool {
        self.voters.contains(&self.me)
    }

    pub(super) fn voters_in_log(&self) -> Vec<VoterId> {
        let latest = self
            .log
            .iter()
            .rev()
            .find_map(|entry| match &entry.command {
                Command::Voters(voters) => Some(voters.clone()),
                _ => None,
            });
        latest.unwrap_or_else(|| self.base.voters.clone())
    }

    pub(super) fn ask_to_join(&self, fx: &mut Effects) {
        for name in self.allowed.iter().filter(|name| **name != self.me.name) {
            let msg = RaftMsg {
                from: self.me.clone(),
                to: None,
                term: self.term,
                body: Body::Join,
            };
            fx.send.push((name.clone(), msg));
        }
    }

    /// Keeps a progress for each voter besides the learners.
    pub(super) fn sync_peers(&mut self, now: Instant) {
        let next = self.last_index() + 1;
        for voter in self.voters.clone() {
            if voter != self.me {
                self.peers.entry(voter).or_insert(Progress {
                    next,
                    matched: 0,
                    acked: Some(now),
                    acked_round: 0,
                    heard: now,
                });
            }
        }
        let voters = &self.voters;
        self.peers.retain(|peer, progress| {
            voters.contains(peer) || now.duration_since(progress.heard) < LEARNER_TIMEOUT
        });
    }

    pub(super) fn on_join(&mut self, now: Instant, from: &VoterId, fx: &mut Effects) {
        if !self.is_leader() || self.voters.contains(from) || !self.allowed.contains(&from.name) {
            return;
        }
        let next = self.last_index() + 1;
        let progress = self.peers.entry(from.clone()).or_insert(Progress {
            next,
            matched: 0,
            acked: None,
            acked_round: 0,
            heard: now,
        });
        progress.heard = now;
        self.send_append(from, fx);
    }

    /// Makes one change of the voters, if one is due and none is under way: a voter that is gone
    /// leaves, or a learner that has caught up enters.
    pub(super) fn change_voters(&mut self, now: Instant, fx: &mut Effects) {
        let pending = (self.commit + 1..=self.last_index())
            .filter_map(|index| self.entry(index))
            .any(|entry| matches!(entry.command, Command::Voters(_)));
        if pending || !self.term_committed() {
            return;
        }
        let voters = self.without_gone(now).or_else(|| self.with_learner(now));
        let Some(voters) = voters else { return };
        self.append_own(Command::Voters(voters), fx);
        self.sync_peers(now);
    }

    /// The voters with a learner that has caught up; its lost predecessor leaves first. A new
    /// server enters before the one that it replaces leaves, since it is known to be there.
    fn with_learner(&self, now: Instant) -> Option<Vec<VoterId>> {
        let ready = |(peer, progress): &(&VoterId, &Progress)| {
            !self.voters.contains(*peer)
                && progress.matched >= self.commit
                && now.duration_since(progress.heard) < ELECTION_MIN
        };
        let (learner, _) = self.peers.iter().find(ready)?;
        let mut voters = self.voters.clone();
        let before = voters.len();
        voters.retain(|voter| voter.name != learner.name);
        if voters.len() == before {
            if before >= MAX_VOTERS {
                return None;
            }
            voters.push(learner.clone());
        }
        Some(voters)
    }

    /// The voters without one that was silent for too long. Of an even number one more bears no
    /// loss, so a silent one leaves soon; else it leaves when it is surely not just restarted.
    fn without_gone(&self, now: Instant) -> Option<Vec<VoterId>> {
        let count = self.voters.len();
        if count <= MIN_VOTERS {
            return None;
        }
        let limit = if count.is_multiple_of(2) {
            SPARE_GONE_AFTER
        } else {
            GONE_AFTER
        };
        let silence = |voter: &VoterId| match self.peers.get(voter) {
            _ if *voter == self.me => Duration::ZERO,
            Some(progress) => now.duration_since(progress.heard),
            None => Duration::MAX,
        };
        let gone = self.voters.iter().find(|voter| silence(voter) >= limit)?;
        let rest: Vec<VoterId> = self.voters.iter().filter(|v| *v != gone).cloned().collect();
        let present = rest.iter().filter(|v| silence(v) < ELECTION_MAX).count();
        (present > rest.len() / 2).then_some(rest)
    }
}
