//! Elections: timeouts, pre-votes, votes, and the leader's lease.

use super::{
    Body, Command, Duration, ELECTION_MAX, ELECTION_MIN, Effects, FIRST_PRE_VOTE, Instant, Raft,
    Record, Standing, VoterId,
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
            let acked = self.peers.get(voter).and_then(|progress| progress.acked);
            *voter == self.me || acked.is_some_and(|at| now.duration_since(at) < time)
        })
    }

    pub(super) fn reset_election(&mut self, now: Instant) {
        let spread = ELECTION_MAX.checked_sub(ELECTION_MIN).unwrap().as_millis() as u64;
        self.election_at = now + ELECTION_MIN + Duration::from_millis(self.rng.u64(0..=spread));
    }

    /// Sets when pre-votes are asked for: soon after a start, so that a cluster that was lost as a
    /// whole has a leader again at once. A pre-vote changes nothing at servers that have a leader.
    pub(super) fn expect_pre_vote(&mut self, now: Instant) {
        if !self.is_eager(now) {
            self.reset_election(now);
            return;
        }
        let spread = FIRST_PRE_VOTE.as_millis() as u64;
        self.election_at = now + FIRST_PRE_VOTE + Duration::from_millis(self.rng.u64(0..=spread));
    }

    fn is_eager(&self, now: Instant) -> bool {
        self.leader_heard.is_none() && now < self.eager_until
    }

    /// Whether this server asks for pre-votes itself and goes before another that does: of equal
    /// logs the lower name.
    fn goes_before(&self, other: &VoterId, last: (u64, u64)) -> bool {
        self.standing == Standing::PreCandidate
            && last == self.last_position()
            && self.me.name < other.name
    }

    pub(super) fn save_vote(&self, fx: &mut Effects) {
        fx.records.push(Record::Vote {
            term: self.term,
            voted_for: self.voted_for.clone(),
        });
    }

    pub(super) fn become_follower(&mut self, now: Instant, term: u64, fx: &mut Effects) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
            self.save_vote(fx);
        }
        self.standing = Standing::Follower;
        self.leader = None;
        self.peers.clear();
        self.reset_election(now);
    }

    pub(super) fn on_election_timeout(&mut self, now: Instant, fx: &mut Effects) {
        self.leader = None;
        if self.is_voter() {
            self.expect_pre_vote(now);
            self.stand(now, true, fx);
        } else {
            self.reset_election(now);
            self.ask_to_join(fx);
        }
    }

    pub(super) fn stand(&mut self, now: Instant, pre: bool, fx: &mut Effects) {
        self.granted.clear();
        self.granted.insert(self.me.clone());
        if pre {
            self.standing = Standing::PreCandidate;
        } else {
            // Voters write their votes to disk first, which may take long.
            self.reset_election(now);
            self.standing = Standing::Candidate;
            self.term += 1;
            self.voted_for = Some(self.me.clone());
            self.save_vote(fx);
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
                fx,
            );
        }
        self.count_votes(now, fx);
    }

    pub(super) fn count_votes(&mut self, now: Instant, fx: &mut Effects) {
        if !self.is_majority(|voter| self.granted.contains(voter)) {
            return;
        }
        match self.standing {
            Standing::PreCandidate => self.stand(now, false, fx),
            Standing::Candidate => self.become_leader(now, fx),
            Standing::Follower | Standing::Leader => {}
        }
    }

    pub(super) fn on_vote(
        &mut self,
        now: Instant,
        from: &VoterId,
        term: u64,
        pre: bool,
        last: (u64, u64),
        fx: &mut Effects,
    ) {
        if self.is_leader() && !self.voters.contains(from) {
            // It was removed while it was away: it learns so, and asks to be admitted again.
            self.on_join(now, from, fx);
            return;
        }
        let recent = |at: Instant| now.duration_since(at) < ELECTION_MIN;
        let led = self.is_leader() && self.acked_since(now, ELECTION_MIN)
            || self.leader.is_some() && self.leader_heard.is_some_and(recent);
        if led || now < self.votes_from {
            return;
        }
        if term > self.term && !pre {
            self.become_follower(now, term, fx);
        }
        let up_to_date = last >= self.last_position();
        let free = pre && term > self.term
            || term == self.term && self.voted_for.as_ref().is_none_or(|voted| voted == from);
        let granted = up_to_date && free && !(pre && self.goes_before(from, last));
        if granted && pre && self.is_eager(now) {
            // Its turn: two that stand together would split the vote.
            self.standing = Standing::Follower;
            self.expect_pre_vote(now);
        }
        if granted && !pre {
            self.voted_for = Some(from.clone());
            self.save_vote(fx);
            self.reset_election(now);
        }
        let reply_term = if granted { term } else { self.term };
        self.send(from, reply_term, Body::VoteReply { pre, granted }, fx);
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: Instant,
        from: VoterId,
        term: u64,
        pre: bool,
        granted: bool,
        fx: &mut Effects,
    ) {
        let asked = match self.standing {
            Standing::PreCandidate => pre && term == self.term + 1,
            Standing::Candidate => !pre && term == self.term,
            Standing::Follower | Standing::Leader => false,
        };
        if asked && granted {
            self.granted.insert(from);
            self.count_votes(now, fx);
        }
    }

    pub(super) fn become_leader(&mut self, now: Instant, fx: &mut Effects) {
        self.standing = Standing::Leader;
        self.leader = Some(self.me.clone());
        self.rounds.clear();
        self.peers.clear();
        self.sync_peers(now);
        self.append_own(Command::Noop, fx);
        self.broadcast(now, fx);
        self.advance_commit(fx);
    }

    pub(super) fn accept_leader(
        &mut self,
        now: Instant,
        from: &VoterId,
        term: u64,
        round: u64,
        fx: &mut Effects,
    ) -> bool {
        if term < self.term {
            let body = Body::AppendReply {
                ok: false,
                matched: self.last_index(),
                round,
            };
            self.send(from, self.term, body, fx);
            return false;
        }
        self.standing = Standing::Follower;
        self.leader = Some(from.clone());
        self.leader_heard = Some(now);
        self.reset_election(now);
        true
    }
}
