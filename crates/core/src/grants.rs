//! Allocation of an agent's slots, as credits, to the entries that need them.
//!
//! Invariant: running tasks plus outstanding credits never exceed the slots.

use indexmap::IndexMap;

use crate::ids::Name;

/// Number of [`Grants::tick`]s without a start after which an entry's credits count as idle.
const IDLE_TICKS: u32 = 4;

#[derive(Debug, Default)]
struct Account {
    /// Credits granted to the entry and not used.
    granted: u32,
    /// Running tasks of the entry.
    running: u32,
    /// Tasks queued at the entry, as last reported and less the credits granted since.
    backlog: u32,
    /// Whether credits were recalled from the entry since the last [`Grants::tick`].
    recalled: bool,
    /// Ticks since a credit of this account was last used.
    idle_ticks: u32,
}

/// A message about credits to an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum CreditAction {
    /// Grants this many credits to the entry.
    Grant(Name, u32),
    /// Asks the entry to return at most this many idle credits.
    Recall(Name, u32),
}

/// The slots of one agent and the credit accounts of all linked entries.
#[derive(Debug, Default)]
pub struct Grants {
    slots: u32,
    /// Running tasks of entries that are no longer linked.
    unlinked_running: u32,
    accounts: IndexMap<Name, Account>,
}

impl Grants {
    /// Returns the number of slots that neither run a task nor are granted.
    pub fn free(&self) -> u32 {
        let used: u32 = self.accounts.values().map(|a| a.granted + a.running).sum();
        self.slots.saturating_sub(used + self.unlinked_running)
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> u32 {
        self.unlinked_running + self.accounts.values().map(|a| a.running).sum::<u32>()
    }

    /// Sets the number of slots and invalidates all credits. The caller must raise the credit epoch.
    pub fn reset(&mut self, slots: u32) {
        self.slots = slots;
        for account in self.accounts.values_mut() {
            account.granted = 0;
        }
    }

    /// Opens an account for an entry; an earlier one of the same name is closed first.
    pub fn open_account(&mut self, entry: &Name) {
        self.close_account(entry);
        self.accounts.insert(entry.clone(), Account::default());
    }

    /// Closes an entry's account and invalidates its credits. Its running tasks keep their slots.
    pub fn close_account(&mut self, entry: &Name) {
        if let Some(account) = self.accounts.swap_remove(entry) {
            self.unlinked_running += account.running;
        }
    }

    /// Uses one credit of `account` for a start by `entry`, and records the entry's backlog.
    ///
    /// The account is that of another entry if the credit was lent. Returns `false` if the entry is
    /// not linked or the account has no credit.
    pub fn use_credit(&mut self, entry: &Name, account: &Name, backlog: u32) -> bool {
        let Some(starter) = self.accounts.get_mut(entry) else {
            return false;
        };
        starter.backlog = backlog;
        let Some(lender) = self
            .accounts
            .get_mut(account)
            .filter(|lender| lender.granted > 0)
        else {
            return false;
        };
        lender.granted -= 1;
        lender.idle_ticks = 0;
        if let Some(starter) = self.accounts.get_mut(entry) {
            starter.running += 1;
        }
        true
    }

    /// Frees the slot of a task that ended or could not be started.
    pub fn release_slot(&mut self, entry: &Name) {
        match self.accounts.get_mut(entry) {
            Some(account) if account.running > 0 => account.running -= 1,
            _ => self.unlinked_running = self.unlinked_running.saturating_sub(1),
        }
    }

    /// Grants the entry a credit for a slot that it just freed, to be sent along with the result.
    /// Returns `false` if no slot is free or another entry needs it more.
    pub fn regrant(&mut self, entry: &Name) -> bool {
        if self.free() == 0
            || self
                .most_backlogged()
                .is_some_and(|most_backlogged| most_backlogged != *entry)
        {
            return false;
        }
        let Some(account) = self.accounts.get_mut(entry) else {
            return false;
        };
        account.granted += 1;
        account.backlog = account.backlog.saturating_sub(1);
        true
    }

    /// Records the number of tasks queued at the entry.
    pub fn set_backlog(&mut self, entry: &Name, backlog: u32) {
        if let Some(account) = self.accounts.get_mut(entry) {
            account.backlog = backlog;
        }
    }

    /// Counts one idle tick for each account, and allows one more recall from each.
    pub fn tick(&mut self) {
        for account in self.accounts.values_mut() {
            account.recalled = false;
            account.idle_ticks = account.idle_ticks.saturating_add(1);
        }
    }

    /// Takes back credits of an account, of which at most `held` are still outstanding, and records
    /// the backlog of the entry that returned them.
    pub fn return_credits(
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
        self.set_backlog(entry, backlog);
    }

    /// Grants all free slots, and recalls idle credits if an entry waits without any.
    pub fn rebalance(&mut self) -> Vec<CreditAction> {
        let mut grants: IndexMap<Name, u32> = IndexMap::new();
        while self.free() > 0 {
            let Some(entry) = self
                .most_backlogged()
                .or_else(|| self.with_fewest_credits())
            else {
                break;
            };
            let account = &mut self.accounts[&entry];
            account.granted += 1;
            account.backlog = account.backlog.saturating_sub(1);
            *grants.entry(entry).or_default() += 1;
        }
        let mut actions: Vec<CreditAction> = grants
            .into_iter()
            .map(|(entry, credits)| CreditAction::Grant(entry, credits))
            .collect();
        actions.extend(self.recall());
        actions
    }

    /// Returns the entry with the largest backlog relative to its running tasks and credits.
    /// Entries with a pending recall are left out.
    fn most_backlogged(&self) -> Option<Name> {
        let need = |a: &Account| f64::from(a.backlog) / f64::from(1 + a.running + a.granted);
        self.accounts
            .iter()
            .filter(|(_, account)| account.backlog > 0 && !account.recalled)
            .max_by(|a, b| need(a.1).total_cmp(&need(b.1)))
            .map(|(entry, _)| entry.clone())
    }

    /// Returns the entry with the fewest credits.
    fn with_fewest_credits(&self) -> Option<Name> {
        self.accounts
            .iter()
            .min_by_key(|(_, a)| a.granted)
            .map(|(entry, _)| entry.clone())
    }

    /// Returns a recall from the entry with the most idle credits, if another entry has a backlog
    /// and no credits.
    fn recall(&mut self) -> Option<CreditAction> {
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
        Some(CreditAction::Recall(
            holder.clone(),
            waiting.min(account.granted),
        ))
    }
}
