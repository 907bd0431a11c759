//! Voters: joining, admission and removal, one change at a time.

use super::{
    Body, Command, ELECTION_MIN, Effects, GONE_AFTER, Instant, LEARNER_TIMEOUT, MAX_VOTERS,
    Progress, Raft, RaftMsg, VoterId,
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

    /// Admits a learner that has caught up: first its lost predecessor leaves, then it enters.
    pub(super) fn admit_learner(&mut self, now: Instant, fx: &mut Effects) {
        let pending = (self.commit + 1..=self.last_index())
            .filter_map(|index| self.entry(index))
            .any(|entry| matches!(entry.command, Command::Voters(_)));
        if pending || !self.term_committed() {
            return;
        }
        let ready = |(peer, progress): &(&VoterId, &Progress)| {
            !self.voters.contains(*peer)
                && progress.matched >= self.commit
                && now.duration_since(progress.heard) < ELECTION_MIN
        };
        let Some((learner, _)) = self.peers.iter().find(ready) else {
            return;
        };
        let learner = learner.clone();
        let mut voters = self.voters.clone();
        let before = voters.len();
        voters.retain(|voter| voter.name != learner.name);
        if voters.len() == before {
            // A server that is gone for good makes room first.
            match self.gone_voter(now) {
                Some(gone) => voters.retain(|voter| *voter != gone),
                None if voters.len() < MAX_VOTERS => voters.push(learner),
                None => return,
            }
        }
        self.append_own(Command::Voters(voters), fx);
        self.sync_peers(now);
    }

    /// A voter that was not heard of for long, if a majority of the others is there.
    fn gone_voter(&self, now: Instant) -> Option<VoterId> {
        let silent = |voter: &VoterId| {
            *voter != self.me
                && self
                    .peers
                    .get(voter)
                    .is_none_or(|progress| now.duration_since(progress.heard) >= GONE_AFTER)
        };
        let gone = self.voters.iter().find(|voter| silent(voter))?;
        let present = self.voters.iter().filter(|voter| !silent(voter)).count();
        (present > (self.voters.len() - 1) / 2).then(|| gone.clone())
    }
}
