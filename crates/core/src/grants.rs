//! An agent's slots, granted as credits to the entries that need them.
//!
//! Invariant: running tasks plus outstanding credits never exceed the slots.

use indexmap::IndexMap;

use crate::ids::Name;

/// Ticks without a start after which an entry's credits count as unused.
const IDLE_TICKS: u32 = 4;

#[derive(Debug, Default)]
struct Account {
    /// Credits that the entry holds and has not used.
    granted: u32,
    /// Its tasks that run here.
    running: u32,
    /// Tasks that wait at the entry, as it last said.
    backlog: u32,
    /// Whether it was asked for credits since the last [`Grants::tick`].
    recalled: bool,
    /// Ticks since it last started something here.
    idle_ticks: u32,
}

/// What to tell an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Move {
    /// Grant it credits.
    Grant(Name, u32),
    /// Ask it for idle credits.
    Recall(Name, u32),
}

/// The accounts of all linked entries.
#[derive(Debug, Default)]
pub struct Grants {
    slots: u32,
    /// Running tasks of entries that are not linked any more.
    orphans: u32,
    accounts: IndexMap<Name, Account>,
}

impl Grants {
    /// Slots that are neither running a task nor granted.
    pub fn free(&self) -> u32 {
        let used: u32 = self.accounts.values().map(|a| a.granted + a.running).sum();
        self.slots.saturating_sub(used + self.orphans)
    }

    /// Tasks that run.
    pub fn running(&self) -> u32 {
        self.orphans + self.accounts.values().map(|a| a.running).sum::<u32>()
    }

    /// Sets the slots and voids all credits; the caller raises the epoch.
    pub fn reset(&mut self, slots: u32) {
        self.slots = slots;
        for account in self.accounts.values_mut() {
            account.granted = 0;
        }
    }

    /// Opens an entry's account.
    pub fn link(&mut self, entry: &Name) {
        self.unlink(entry);
        self.accounts.insert(entry.clone(), Account::default());
    }

    /// Closes an entry's account; its credits are void.
    pub fn unlink(&mut self, entry: &Name) {
        if let Some(account) = self.accounts.swap_remove(entry) {
            self.orphans += account.running;
        }
    }

    /// Uses one credit for a start of the entry; it was granted to `account`, perhaps another entry.
    pub fn start(&mut self, entry: &Name, account: &Name, backlog: u32) -> bool {
        let Some(asker) = self.accounts.get_mut(entry) else {
            return false;
        };
        asker.backlog = backlog;
        let Some(lender) = self
            .accounts
            .get_mut(account)
            .filter(|lender| lender.granted > 0)
        else {
            return false;
        };
        lender.granted -= 1;
        lender.idle_ticks = 0;
        if let Some(asker) = self.accounts.get_mut(entry) {
            asker.running += 1;
        }
        true
    }

    /// Takes back the slot of a start that did not happen after all, or that ended.
    pub fn end(&mut self, entry: &Name) {
        match self.accounts.get_mut(entry) {
            Some(account) if account.running > 0 => account.running -= 1,
            _ => self.orphans = self.orphans.saturating_sub(1),
        }
    }

    /// Whether a slot that the entry just freed goes back to it, with its result.
    pub fn renew(&mut self, entry: &Name) -> bool {
        if self.free() == 0 || self.neediest().is_some_and(|neediest| neediest != *entry) {
            return false;
        }
        let Some(account) = self.accounts.get_mut(entry) else {
            return false;
        };
        account.granted += 1;
        account.backlog = account.backlog.saturating_sub(1);
        true
    }

    /// Notes that tasks wait at the entry.
    pub fn want(&mut self, entry: &Name, backlog: u32) {
        if let Some(account) = self.accounts.get_mut(entry) {
            account.backlog = backlog;
        }
    }

    /// Allows one recall of each entry again.
    pub fn tick(&mut self) {
        for account in self.accounts.values_mut() {
            account.recalled = false;
            account.idle_ticks = account.idle_ticks.saturating_add(1);
        }
    }

    /// Takes back credits of an account, of which at most `held` are still outstanding, and notes
    /// the present backlog of the entry that returned them.
    pub fn give_back(
        &mut self,
        entry: &Name,
        account: &Name,
        credits: u32,
        held: u32,
        backlog: u32,
    ) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.granted = account.granted.saturating_sub(credits).min(held);
        }
        self.want(entry, backlog);
    }

    /// Grants free slots, and recalls idle credits for entries that have none.
    pub fn moves(&mut self) -> Vec<Move> {
        let mut grants: IndexMap<Name, u32> = IndexMap::new();
        while self.free() > 0 {
            let Some(entry) = self.neediest().or_else(|| self.poorest()) else {
                break;
            };
            let account = &mut self.accounts[&entry];
            account.granted += 1;
            account.backlog = account.backlog.saturating_sub(1);
            *grants.entry(entry).or_default() += 1;
        }
        let mut moves: Vec<Move> = grants
            .into_iter()
            .map(|(entry, credits)| Move::Grant(entry, credits))
            .collect();
        moves.extend(self.recall());
        moves
    }

    /// The entry with the largest backlog per slot that it holds.
    fn neediest(&self) -> Option<Name> {
        let need = |a: &Account| f64::from(a.backlog) / f64::from(1 + a.running + a.granted);
        self.accounts
            .iter()
            .filter(|(_, account)| account.backlog > 0 && !account.recalled)
            .max_by(|a, b| need(a.1).total_cmp(&need(b.1)))
            .map(|(entry, _)| entry.clone())
    }

    /// The entry with the fewest credits.
    fn poorest(&self) -> Option<Name> {
        self.accounts
            .iter()
            .min_by_key(|(_, a)| a.granted)
            .map(|(entry, _)| entry.clone())
    }

    /// Asks an entry that uses none of its credits for some when another one waits without any.
    fn recall(&mut self) -> Option<Move> {
        let waiting = self
            .accounts
            .values()
            .find(|a| a.backlog > 0 && a.granted == 0)?
            .backlog;
        let (holder, account) = self
            .accounts
            .iter_mut()
            .filter(|(_, a)| a.granted > 0 && a.idle_ticks >= IDLE_TICKS && !a.recalled)
            .max_by_key(|(_, a)| a.granted)?;
        account.recalled = true;
        Some(Move::Recall(holder.clone(), waiting.min(account.granted)))
    }
}
