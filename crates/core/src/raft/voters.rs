//! Changes of the set of voters: admission and removal, one at a time.

use super::{
    Body, Command, Duration, ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN, EVEN_VOTER_TIMEOUT,
    Effects, Instant, LEARNER_TIMEOUT, MAX_VOTERS, MIN_VOTERS, Progress, Raft, RaftMsg,
    VOTER_TIMEOUT, VoterId,
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
        latest.unwrap_or_else(|| self.snapshot.voters.clone())
    }

    /// Asks whichever server leads for admission. Without effect if it counts this one as a voter.
    ///
    /// A server that was removed while it was unreachable still counts itself, and the leader need
    /// not be among the voters that it knows.
    pub(super) fn request_admission(&self, effects: &mut Effects) {
        for name in self.allowed.iter().filter(|name| **name != self.me.name) {
            let msg = RaftMsg {
                from: self.me.clone(),
                to: None,
                term: self.term,
                body: Body::Join,
            };
            effects.send.push((name.clone(), msg));
        }
    }

    /// Starts to track voters that are not tracked yet, and drops former voters and learners that
    /// have been silent for [`LEARNER_TIMEOUT`].
    pub(super) fn sync_peers(&mut self, now: Instant) {
        let next = self.last_index() + 1;
        for voter in self.voters.clone() {
            if voter != self.me {
                let new = || Progress::new(now, next, Some(now));
                self.peers.entry(voter).or_insert_with(new);
            }
        }
        let voters = &self.voters;
        self.peers.retain(|peer, progress| {
            voters.contains(peer) || now.duration_since(progress.heard_at) < LEARNER_TIMEOUT
        });
    }

    pub(super) fn on_join(&mut self, now: Instant, from: &VoterId, effects: &mut Effects) {
        if !self.is_leader() || self.voters.contains(from) || !self.allowed.contains(&from.name) {
            return;
        }
        let next = self.last_index() + 1;
        let new = || Progress::new(now, next, None);
        let progress = self.peers.entry(from.clone()).or_insert_with(new);
        progress.heard_at = now;
        self.send_append(from, effects);
    }

    /// Returns the number of voters with which a majority outlives the tolerated losses.
    pub(super) fn full_size(&self) -> usize {
        2 * self.tolerated_losses + 1
    }

    /// Appends one change of the voters if one is due and none is uncommitted: a voter that has lost
    /// its disk or has been silent for too long is removed, or a learner that has caught up is
    /// admitted.
    pub(super) fn change_voters(&mut self, now: Instant, effects: &mut Effects) {
        let pending = (self.commit + 1..=self.last_index())
            .filter_map(|index| self.entry(index))
            .any(|entry| matches!(entry.command, Command::Voters(_)));
        if pending || !self.term_committed() {
            return;
        }
        let voters = self
            .without_lost_disk(now)
            .or_else(|| self.without_silent_voter(now))
            .or_else(|| self.with_learner(now));
        let Some(voters) = voters else { return };
        self.append_local(Command::Voters(voters), effects);
        self.sync_peers(now);
    }

    /// Returns the learners that have caught up and are up.
    fn ready_learners(&self, now: Instant) -> impl Iterator<Item = &VoterId> {
        self.peers
            .iter()
            .filter(move |(peer, progress)| {
                !self.voters.contains(*peer)
                    && progress.matched >= self.commit
                    && now.duration_since(progress.heard_at) < ELECTION_TIMEOUT_MIN
            })
            .map(|(peer, _)| peer)
    }

    /// Returns the voters without one whose server has come back with another disk, so that it will
    /// never vote again.
    ///
    /// It is removed before its successor is admitted, since a majority then needs one server less.
    /// The exception is a cluster that is one voter short of its full size because another server is
    /// being admitted again: there the successor enters first, so that no acknowledgement rests on
    /// fewer disks.
    fn without_lost_disk(&self, now: Instant) -> Option<Vec<VoterId>> {
        let is_replaced = |(position, voter): &(usize, &VoterId)| {
            let later = &self.voters[position + 1..];
            let mut successors = later.iter().chain(self.ready_learners(now));
            **voter != self.me && successors.any(|other| other.name == voter.name)
        };
        if self.voters.len() + 1 == self.full_size() {
            return None;
        }
        let (lost, _) = self.voters.iter().enumerate().find(is_replaced)?;
        Some(self.voters_without(lost))
    }

    /// Returns the voters after the admission of a learner that has caught up.
    ///
    /// A server of another name is admitted before the one that it replaces is removed, since it is
    /// known to be up. A server whose former disk is not listed any more comes first.
    fn with_learner(&self, now: Instant) -> Option<Vec<VoterId>> {
        if self.voters.len() >= MAX_VOTERS {
            return None;
        }
        let is_listed = |learner: &&VoterId| self.voters.iter().any(|v| v.name == learner.name);
        let learner = self.ready_learners(now).min_by_key(is_listed)?;
        let mut voters = self.voters.clone();
        voters.push(learner.clone());
        Some(voters)
    }

    /// Returns the voters without one that has been silent for too long.
    ///
    /// However long a voter is silent, its disk may be one of those that a change rests on after the
    /// tolerated losses. So a silent voter is removed only if enough others remain.
    ///
    /// An even number of voters tolerates no more failures than one voter fewer, so there a silent
    /// voter is removed soon. With an odd number the limit is longer than a restart takes. Nothing
    /// is removed unless a majority of the remaining voters is up.
    fn without_silent_voter(&self, now: Instant) -> Option<Vec<VoterId>> {
        let count = self.voters.len();
        if count <= MIN_VOTERS.max(self.full_size()) {
            return None;
        }
        let limit = if count.is_multiple_of(2) {
            EVEN_VOTER_TIMEOUT
        } else {
            VOTER_TIMEOUT
        };
        let silence = |voter: &VoterId| match self.peers.get(voter) {
            _ if *voter == self.me => Duration::ZERO,
            Some(progress) => now.duration_since(progress.heard_at),
            None => Duration::MAX,
        };
        let silent = self
            .voters
            .iter()
            .position(|voter| silence(voter) >= limit)?;
        let rest = self.voters_without(silent);
        let present = rest
            .iter()
            .filter(|v| silence(v) < ELECTION_TIMEOUT_MAX)
            .count();
        (present > rest.len() / 2).then_some(rest)
    }

    fn voters_without(&self, position: usize) -> Vec<VoterId> {
        let mut rest = self.voters.clone();
        rest.remove(position);
        rest
    }
}
