//! Log replication: appending, matching, committing, applying and compacting entries.

use super::{
    Body, Command, ELECTION_TIMEOUT_MAX, Effects, Entry, HEARTBEAT_INTERVAL, Instant, MAX_BATCH,
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
        self.log.drain(..count as usize);
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
        let Some(progress) = self.peers.get(peer) else {
            return;
        };
        let prev_index = progress.next - 1;
        let round = self.round;
        let Some(prev_term) = self
            .term_at(prev_index)
            .filter(|_| prev_index >= self.snapshot.index)
        else {
            let snapshot = Box::new(self.snapshot.clone());
            self.send(peer, self.term, Body::Install { snapshot, round }, effects);
            return;
        };
        let offset = (prev_index - self.snapshot.index) as usize;
        let entries: Vec<Entry> = self.log[offset..].iter().take(MAX_BATCH).cloned().collect();
        let sent = entries.len() as u64;
        let body = Body::Append {
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            round,
        };
        self.send(peer, self.term, body, effects);
        if let Some(progress) = self.peers.get_mut(peer) {
            progress.next += sent;
        }
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
        self.send(
            from,
            self.term,
            Body::AppendReply {
                ok: true,
                matched,
                round,
            },
            effects,
        );
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

    pub(super) fn on_install(
        &mut self,
        from: &VoterId,
        snapshot: Snapshot,
        round: u64,
        effects: &mut Effects,
    ) {
        let matched = snapshot.index;
        if snapshot.index > self.commit {
            let keep = self.term_at(snapshot.index) == Some(snapshot.term);
            if keep {
                self.drop_through(snapshot.index);
            } else {
                self.log.clear();
            }
            self.commit = snapshot.index;
            self.applied = snapshot.index;
            self.state = snapshot.state.clone();
            self.snapshot = snapshot;
            self.voters = self.voters_in_log();
            effects.compact = true;
        }
        self.send(
            from,
            self.term,
            Body::AppendReply {
                ok: true,
                matched,
                round,
            },
            effects,
        );
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: Instant,
        from: &VoterId,
        ok: bool,
        matched: u64,
        round: u64,
        effects: &mut Effects,
    ) {
        let sent = self
            .rounds
            .iter()
            .find(|(number, _)| *number == round)
            .map(|(_, at)| *at);
        let last_index = self.last_index();
        let Some(progress) = self.peers.get_mut(from) else {
            return;
        };
        progress.heard_at = now;
        progress.acked_at = progress.acked_at.max(sent);
        progress.acked_round = progress.acked_round.max(round);
        if ok {
            progress.matched = progress.matched.max(matched);
            progress.next = progress.next.max(progress.matched + 1);
        } else {
            progress.next = (matched + 1).clamp(progress.matched + 1, last_index + 1);
        }
        let behind = progress.next <= last_index;
        if behind {
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
            self.log[..kept as usize]
                .iter()
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
