//! Elections: timeouts, pre-votes, votes and the leader lease.

use super::{
    Body, Command, Duration, ELECTION_TIMEOUT_MAX, ELECTION_TIMEOUT_MIN, Effects, Instant, Raft,
    RaftRole, Record, STARTUP_PRE_VOTE_INTERVAL, VoterId,
};

impl Raft {
    pub(super) fn is_majority<F>(&self, holds: F) -> bool
    where
        F: Fn(&VoterId) -> bool,
    {
        let count = self.voters.iter().filter(|voter| holds(voter)).count();
        count > self.voters.len() / 2
    }

    pub(super) fn acked_since(&self, now: Instant, time: Duration) -> bool {
        self.is_majority(|voter| {
            let acked = self.peers.get(voter).and_then(|progress| progress.acked_at);
            *voter == self.me || acked.is_some_and(|at| now.duration_since(at) < time)
        })
    }

    pub(super) fn reset_election_timer(&mut self, now: Instant) {
        let spread = ELECTION_TIMEOUT_MAX
            .checked_sub(ELECTION_TIMEOUT_MIN)
            .unwrap()
            .as_millis() as u64;
        self.election_at =
            now + ELECTION_TIMEOUT_MIN + Duration::from_millis(self.rng.u64(0..=spread));
    }

    /// Schedules the next request for pre-votes.
    ///
    /// The delay is short in the start-up window, so that a cluster that was down as a whole soon
    /// has a leader again. A pre-vote changes nothing at servers that have a leader.
    pub(super) fn schedule_pre_vote(&mut self, now: Instant) {
        if !self.is_in_startup(now) {
            self.reset_election_timer(now);
            return;
        }
        let spread = STARTUP_PRE_VOTE_INTERVAL.as_millis() as u64;
        self.election_at =
            now + STARTUP_PRE_VOTE_INTERVAL + Duration::from_millis(self.rng.u64(0..=spread));
    }

    fn is_in_startup(&self, now: Instant) -> bool {
        self.leader_heard_at.is_none() && now < self.startup_until
    }

    /// Returns whether this server also requests pre-votes and takes precedence over `other`: with
    /// equal logs, the server with the lower name does.
    fn takes_precedence_over(&self, other: &VoterId, last: (u64, u64)) -> bool {
        self.role == RaftRole::PreCandidate
            && last == self.last_position()
            && self.me.name < other.name
    }

    pub(super) fn save_vote(&self, effects: &mut Effects) {
        effects.records.push(Record::Vote {
            term: self.term,
            voted_for: self.voted_for.clone(),
        });
    }

    pub(super) fn become_follower(&mut self, now: Instant, term: u64, effects: &mut Effects) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
            self.save_vote(effects);
        }
        self.role = RaftRole::Follower;
        self.leader = None;
        self.peers.clear();
        self.reset_election_timer(now);
    }

    pub(super) fn on_election_timeout(&mut self, now: Instant, effects: &mut Effects) {
        self.leader = None;
        if self.is_voter() {
            self.schedule_pre_vote(now);
            self.start_election(now, true, effects);
        } else {
            self.reset_election_timer(now);
        }
        self.request_admission(effects);
    }

    pub(super) fn start_election(&mut self, now: Instant, pre: bool, effects: &mut Effects) {
        self.granted.clear();
        self.granted.insert(self.me.clone());
        if pre {
            self.role = RaftRole::PreCandidate;
        } else {
            // Voters write their votes to disk before they reply, which may take long.
            self.reset_election_timer(now);
            self.role = RaftRole::Candidate;
            self.term += 1;
            self.voted_for = Some(self.me.clone());
            self.save_vote(effects);
        }
        let term = if pre { self.term + 1 } else { self.term };
        let (last_term, last_index) = self.last_position();
        for voter in self.voters.iter().filter(|voter| **voter != self.me) {
            self.send(
                voter,
                term,
                Body::Vote {
                    pre,
                    last_index,
                    last_term,
                },
                effects,
            );
        }
        self.count_votes(now, effects);
    }

    pub(super) fn count_votes(&mut self, now: Instant, effects: &mut Effects) {
        if !self.is_majority(|voter| self.granted.contains(voter)) {
            return;
        }
        match self.role {
            RaftRole::PreCandidate => self.start_election(now, false, effects),
            RaftRole::Candidate => self.become_leader(now, effects),
            RaftRole::Follower | RaftRole::Leader => {}
        }
    }

    pub(super) fn on_vote(
        &mut self,
        now: Instant,
        from: &VoterId,
        term: u64,
        pre: bool,
        last: (u64, u64),
        effects: &mut Effects,
    ) {
        if self.is_leader() && !self.voters.contains(from) {
            // The sender was removed while it was unreachable. As a learner it receives the log,
            // finds out, and asks for admission again.
            self.on_join(now, from, effects);
            return;
        }
        let recent = |at: Instant| now.duration_since(at) < ELECTION_TIMEOUT_MIN;
        let has_leader = self.is_leader() && self.acked_since(now, ELECTION_TIMEOUT_MIN)
            || self.leader.is_some() && self.leader_heard_at.is_some_and(recent);
        if has_leader || now < self.no_vote_until {
            return;
        }
        if term > self.term && !pre {
            self.become_follower(now, term, effects);
        }
        let up_to_date = last >= self.last_position();
        let vote_available = pre && term > self.term
            || term == self.term && self.voted_for.as_ref().is_none_or(|voted| voted == from);
        let granted =
            up_to_date && vote_available && !(pre && self.takes_precedence_over(from, last));
        if granted && pre && self.is_in_startup(now) {
            // Yields to the sender, since two candidates at a time would split the vote.
            self.role = RaftRole::Follower;
            self.schedule_pre_vote(now);
        }
        if granted && !pre {
            self.voted_for = Some(from.clone());
            self.save_vote(effects);
            self.reset_election_timer(now);
        }
        let reply_term = if granted { term } else { self.term };
        self.send(from, reply_term, Body::VoteReply { pre, granted }, effects);
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: Instant,
        from: VoterId,
        term: u64,
        pre: bool,
        granted: bool,
        effects: &mut Effects,
    ) {
        let expected = match self.role {
            RaftRole::PreCandidate => pre && term == self.term + 1,
            RaftRole::Candidate => !pre && term == self.term,
            RaftRole::Follower | RaftRole::Leader => false,
        };
        if expected && granted {
            self.granted.insert(from);
            self.count_votes(now, effects);
        }
    }

    pub(super) fn become_leader(&mut self, now: Instant, effects: &mut Effects) {
        self.role = RaftRole::Leader;
        self.leading_since = now;
        self.leader = Some(self.me.clone());
        self.rounds.clear();
        self.peers.clear();
        self.sync_peers(now);
        self.append_local(Command::Noop, effects);
        self.broadcast(now, effects);
        self.advance_commit(effects);
    }

    pub(super) fn accept_leader(
        &mut self,
        now: Instant,
        from: &VoterId,
        term: u64,
        round: u64,
        effects: &mut Effects,
    ) -> bool {
        if term < self.term {
            let body = Body::AppendReply {
                ok: false,
                matched: self.last_index(),
                round,
            };
            self.send(from, self.term, body, effects);
            return false;
        }
        self.role = RaftRole::Follower;
        self.leader = Some(from.clone());
        self.leader_heard_at = Some(now);
        self.reset_election_timer(now);
        true
    }
}
