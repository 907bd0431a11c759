//! Loans of credits between entries, which move an idle credit without a message to its agent.
//!
//! A loan lasts [`LOAN_TIME`]. The borrower uses the credits within that time or returns them to
//! the agent; the lender counts them as outstanding for twice as long. The agent checks each start
//! against the account of the entry that the credit was granted to.

use std::time::{Duration, Instant};

use crate::ids::Name;
use crate::msg::Loan;

use super::{Fleet, SILENCE_LIMIT, Worker};

/// Time after which unused borrowed credits are returned to their agent.
pub const LOAN_TIME: Duration = Duration::from_millis(300);

/// One loan that another entry made to this one.
#[derive(Clone, Debug)]
pub(super) struct BorrowedCredits {
    /// The entry that the credits were granted to.
    account: Name,
    /// Number of credits that are still unused.
    credits: u32,
    /// Time of arrival.
    at: Instant,
}

impl Worker {
    /// Returns the number of unused credits, own and borrowed.
    pub fn total_credits(&self) -> u32 {
        self.credits + self.borrowed.iter().map(|loan| loan.credits).sum::<u32>()
    }

    /// Drops all credits, including borrowed and lent ones.
    pub(super) fn invalidate_credits(&mut self) {
        self.credits = 0;
        self.borrowed.clear();
        self.lent = None;
    }

    /// Uses a credit, a borrowed one first.
    ///
    /// Returns the entry that it was granted to, or `None` if it was granted to this entry.
    pub(super) fn use_credit(&mut self) -> Option<Name> {
        let Some(loan) = self.borrowed.last_mut() else {
            self.credits = self.credits.saturating_sub(1);
            return None;
        };
        loan.credits -= 1;
        let account = loan.account.clone();
        if loan.credits == 0 {
            self.borrowed.pop();
        }
        Some(account)
    }

    /// Returns the number of own credits that may still be outstanding: unused, or lent less than
    /// twice `LOAN_TIME` ago.
    pub fn outstanding_credits(&self, now: Instant) -> u32 {
        let recent = |(_, at): &(u32, Instant)| now.duration_since(*at) < LOAN_TIME * 2;
        self.credits + self.lent.filter(recent).map_or(0, |(credits, _)| credits)
    }
}

impl Fleet {
    /// Lends credits of a service's workers: at most `tasks`, and at most half of the idle ones,
    /// rounded up.
    ///
    /// `own_name` is the name of this entry, which the credits were granted to.
    pub fn lend(&mut self, now: Instant, own_name: &Name, service: &Name, tasks: u32) -> Vec<Loan> {
        let is_lendable = |worker: &Worker| {
            worker.linked
                && worker.offer.services.contains(service)
                && now.duration_since(worker.heard_at) < SILENCE_LIMIT
        };
        let idle: u32 = self
            .workers
            .values()
            .filter(|w| is_lendable(w))
            .map(|w| w.credits)
            .sum();
        let mut rest = tasks.min(idle.div_ceil(2));
        let mut loans = Vec::new();
        for worker in self
            .workers
            .values_mut()
            .filter(|worker| is_lendable(worker))
        {
            let credits = worker.credits.min(rest);
            if credits == 0 {
                continue;
            }
            rest -= credits;
            worker.credits -= credits;
            let before = worker
                .lent
                .filter(|(_, at)| now.duration_since(*at) < LOAN_TIME * 2);
            worker.lent = Some((before.map_or(0, |(lent, _)| lent) + credits, now));
            loans.push(Loan {
                agent: worker.node.name.clone(),
                epoch: worker.offer.epoch,
                account: own_name.clone(),
                credits,
            });
        }
        loans
    }

    /// Adds credits that another entry lent; those of another epoch than the worker's offer are
    /// ignored.
    pub fn borrow(&mut self, now: Instant, loans: Vec<Loan>) {
        for loan in loans {
            if let Some(worker) = self.workers.get_mut(&loan.agent)
                && worker.linked
                && worker.offer.epoch == loan.epoch
                && loan.credits > 0
            {
                let Loan {
                    account, credits, ..
                } = loan;
                worker.borrowed.push(BorrowedCredits {
                    account,
                    credits,
                    at: now,
                });
            }
        }
    }

    /// Removes and returns the borrowed credits that were not used within `LOAN_TIME`; the caller
    /// returns them to their agents.
    pub fn take_unused_loans(&mut self, now: Instant) -> Vec<Loan> {
        let mut unused = Vec::new();
        for worker in self.workers.values_mut() {
            let due = |loan: &BorrowedCredits| now.duration_since(loan.at) >= LOAN_TIME;
            let (agent, epoch) = (worker.node.name.clone(), worker.offer.epoch);
            unused.extend(
                worker
                    .borrowed
                    .iter()
                    .filter(|loan| due(loan))
                    .map(|loan| Loan {
                        agent: agent.clone(),
                        epoch,
                        account: loan.account.clone(),
                        credits: loan.credits,
                    }),
            );
            worker.borrowed.retain(|loan| !due(loan));
        }
        unused
    }
}
