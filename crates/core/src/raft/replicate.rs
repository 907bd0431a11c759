//! Log replication: appending, matching, committing, applying and compacting entries.

use super::{
    Body, Command, ELECTION_TIMEOUT_MAX, Effects, Entry, HEARTBEAT_INTERVAL, Instant,
    MAX_TRACKED_ROUNDS, Raft, Record, Snapshot, VoterId,
};

impl Raft {
    pub(super) fn restore(&mut self, record: Record) {
        match record {
            Record::Identity(_) => {}
            Record::Vote { term, voted_for } => {
                self.term = term;
                self.voted_for = voted_for;
            }
            Record::Append(entry) => {
                self.truncate(entry.index);
                self.log.push(entry);
            }
            Record::Snapshot(snapshot) => {
                self.drop_through(snapshot.index);
                self.snapshot = *snapshot;
            }
        }
    }

    pub(super) fn last_index(&self) -> u64 {
        self.snapshot.index + self.log.len() as u64
    }

    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    pub(super) fn entry(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.log.get(offset as usize)
    }

    pub(super) fn last_position(&self) -> (u64, u64) {
        let index = self.last_index();
        (self.term_at(index).unwrap_or(0), index)
    }

    pub(super) fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.snapshot.index + 1);
        self.log.truncate(keep as usize);
    }

    pub(super) fn drop_through(&mut self, index: u64) {
        let count = index
            .saturating_sub(self.snapshot.index)
            .min(self.log.len() as u64);
        self.log.drop_front(count as usize);
    }

    pub(super) fn term_committed(&self) -> bool {
        self.term_at(self.commit) == Some(self.term)
    }

    pub(super) fn append_local(&mut self, command: Command, effects: &mut Effects) {
        let entry = Entry {
            index: self.last_index() + 1,
            term: self.term,
            command,
        };
        if let Command::Voters(voters) = &entry.command {
            self.voters.clone_from(voters);
        }
        effects.records.push(Record::Append(entry.clone()));
        self.log.push(entry);
    }

    pub(super) fn tick_leader(&mut self, now: Instant, effects: &mut Effects) {
        if !self.acked_since(now, ELECTION_TIMEOUT_MAX) {
            self.become_follower(now, self.term, effects);
            return;
        }
        if now < self.heartbeat_at {
            return;
        }
        self.sync_peers(now);
        self.change_voters(now, effects);
        self.broadcast(now, effects);
        self.advance_commit(effects);
    }

    pub(super) fn broadcast(&mut self, now: Instant, effects: &mut Effects) {
        self.heartbeat_at = now + HEARTBEAT_INTERVAL;
        self.round += 1;
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > MAX_TRACKED_ROUNDS {
            self.rounds.pop_front();
        }
        for peer in self.peers.keys().cloned().collect::<Vec<_>>() {
            self.send_append(&peer, effects);
        }
    }

    pub(super) fn send_append(&mut self, peer: &VoterId, effects: &mut Effects) {
        let Some(progress) = self.peers.get_mut(peer) else {
            return;
        };
        let (next, unacked_from) = (progress.next, progress.unacked_from);
        let prev_index = next - 1;
        let Some(prev_term) = self
            .term_at(prev_index)
            .filter(|_| prev_index >= self.snapshot.index)
        else {
            self.send_snapshot(peer, effects);
            return;
        };
        let limits = self.send_limits;
        let entries = if self.bytes_between(unacked_from, next) < limits.in_flight_bytes {
            self.log.batch(self.position_of(next), limits.batch_bytes)
        } else {
            Vec::new()
        };
        let sent = entries.len() as u64;
        let body = Body::Append {
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            round: self.round,
        };
        self.send(peer, self.term, body, effects);
        if let Some(progress) = self.peers.get_mut(peer) {
            progress.snapshot = None;
            progress.next += sent;
        }
    }

    /// Returns the position in the log of an entry after the snapshot.
    fn position_of(&self, index: u64) -> usize {
        index.saturating_sub(self.snapshot.index + 1) as usize
    }

    /// Returns the encoded length in bytes of the entries from one index up to, but not including,
    /// another.
    fn bytes_between(&self, from: u64, to: u64) -> usize {
        self.log.bytes(self.position_of(from)..self.position_of(to))
    }

    pub(super) fn on_append(
        &mut self,
        from: &VoterId,
        prev: (u64, u64),
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
        effects: &mut Effects,
    ) {
        let (prev_index, prev_term) = prev;
        let matches =
            prev_index < self.snapshot.index || self.term_at(prev_index) == Some(prev_term);
        if !matches {
            let matched = self.last_index().min(prev_index.saturating_sub(1));
            let body = Body::AppendReply {
                ok: false,
                matched,
                round,
            };
            self.send(from, self.term, body, effects);
            return;
        }
        let matched = prev_index + entries.len() as u64;
        for entry in entries {
            self.store(entry, effects);
        }
        self.commit = self.commit.max(commit.min(matched));
        // Until the leader commits an entry of its own term, its commit index may be lower than
        // that of an earlier leader.
        self.caught_up |= commit <= self.commit && self.term_committed();
        self.apply(effects);
        self.acknowledge(from, matched, round, effects);
    }

    /// Tells the leader that the log matches its own up to an index.
    pub(super) fn acknowledge(
        &self,
        to: &VoterId,
        matched: u64,
        round: u64,
        effects: &mut Effects,
    ) {
        let body = Body::AppendReply {
            ok: true,
            matched,
            round,
        };
        self.send(to, self.term, body, effects);
    }

    /// Stores an entry of the leader. A conflicting entry of an earlier leader is removed together
    /// with all that follow it.
    pub(super) fn store(&mut self, entry: Entry, effects: &mut Effects) {
        if entry.index <= self.snapshot.index || self.term_at(entry.index) == Some(entry.term) {
            return;
        }
        self.truncate(entry.index);
        effects.records.push(Record::Append(entry.clone()));
        self.log.push(entry);
        self.voters = self.voters_in_log();
    }

    /// Notes that a server acknowledged a heartbeat round.
    pub(super) fn note_acked_round(&mut self, now: Instant, from: &VoterId, round: u64) {
        let sent = self
            .rounds
            .iter()
            .find(|(number, _)| *number == round)
            .map(|(_, at)| *at);
        let Some(progress) = self.peers.get_mut(from) else {
            return;
        };
        progress.heard_at = now;
        progress.acked_at = progress.acked_at.max(sent);
        progress.acked_round = progress.acked_round.max(round);
    }

    pub(super) fn on_append_reply(
        &mut self,
        from: &VoterId,
        ok: bool,
        matched: u64,
        effects: &mut Effects,
    ) {
        let last_index = self.last_index();
        let Some(progress) = self.peers.get_mut(from) else {
            return;
        };
        if ok {
            progress.matched = progress.matched.max(matched);
            progress.next = progress.next.max(progress.matched + 1);
            progress.unacked_from = progress.unacked_from.max(progress.matched + 1);
            let matched = progress.matched;
            progress
                .snapshot
                .take_if(|snapshot| snapshot.index <= matched);
        } else {
            progress.next = (matched + 1).clamp(progress.matched + 1, last_index + 1);
            progress.unacked_from = progress.next;
        }
        let (next, unacked_from) = (progress.next, progress.unacked_from);
        let can_send =
            !ok || self.bytes_between(unacked_from, next) < self.send_limits.in_flight_bytes;
        if next <= last_index && can_send {
            self.send_append(from, effects);
        }
        self.advance_commit(effects);
    }

    pub(super) fn advance_commit(&mut self, effects: &mut Effects) {
        if !self.is_leader() {
            return;
        }
        let replicated = |index: u64| {
            self.is_majority(|voter| {
                *voter == self.me || self.peers.get(voter).is_some_and(|p| p.matched >= index)
            })
        };
        let newest = (self.commit + 1..=self.last_index())
            .rev()
            .find(|index| self.term_at(*index) == Some(self.term) && replicated(*index));
        if let Some(index) = newest {
            self.commit = index;
        }
        self.caught_up |= self.term_committed();
        self.apply(effects);
    }

    pub(super) fn apply(&mut self, effects: &mut Effects) {
        while self.applied < self.commit {
            self.applied += 1;
            let Some(entry) = self.entry(self.applied) else {
                break;
            };
            if let Command::Change(req) = &entry.command {
                let req = req.clone();
                let id = req.request_id;
                effects.outcomes.push((id, self.state.apply(req)));
            }
        }
    }

    /// Replaces all applied entries by a snapshot.
    pub(super) fn compact(&mut self) {
        let index = self.applied;
        let term = self.term_at(index).unwrap_or(self.snapshot.term);
        let kept = index - self.snapshot.index;
        let voters =
            self.log
                .iter()
                .take(kept as usize)
                .rev()
                .find_map(|entry| match &entry.command {
                    Command::Voters(voters) => Some(voters.clone()),
                    _ => None,
                });
        let voters = voters.unwrap_or_else(|| self.snapshot.voters.clone());
        self.drop_through(index);
        self.snapshot = Snapshot {
            index,
            term,
            voters,
            state: self.state.clone(),
        };
    }
}
