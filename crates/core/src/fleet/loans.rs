//! Credits that entries lend one another, so that an idle one moves without its agent.
//!
//! A loan lasts [`LOAN_TIME`]: the borrower uses the credits by then or returns them to the agent, and
//! the lender counts them as outstanding for twice as long. The agent checks each start against the
//! account that the credit was granted to.

use std::time::{Duration, Instant};

use crate::ids::Name;
use crate::msg::Loan;

use super::{Fleet, SILENCE_LIMIT, Worker};

/// Time after which unused borrowed credits go back.
pub const LOAN_TIME: Duration = Duration::from_millis(300);

/// Credits that another entry lent.
#[derive(Clone, Debug)]
pub(super) struct Borrowed {
    account: Name,
    credits: u32,
    at: Instant,
}

impl Worker {
    /// Own and borrowed credits in hand.
    pub fn total_credits(&self) -> u32 {
        self.credits + self.borrowed.iter().map(|loan| loan.credits).sum::<u32>()
    }

    pub(super) fn void_credits(&mut self) {
        self.credits = 0;
        self.borrowed.clear();
        self.lent = None;
    }

    /// Uses a credit, a borrowed one first. Returns the entry that it was granted to, if another.
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

    /// Own credits that may still be outstanding: in hand, or lent not long ago.
    pub fn held(&self, now: Instant) -> u32 {
        let recent = |(_, at): &(u32, Instant)| now.duration_since(*at) < LOAN_TIME * 2;
        self.credits + self.lent.filter(recent).map_or(0, |(credits, _)| credits)
    }
}

impl Fleet {
    /// Lends at most `tasks` and half of the idle credits of a service's workers.
    pub fn lend(&mut self, now: Instant, me: &Name, service: &Name, tasks: u32) -> Vec<Loan> {
        let lends = |worker: &Worker| {
            worker.up
                && worker.offer.services.contains(service)
                && now.duration_since(worker.heard) < SILENCE_LIMIT
        };
        let idle: u32 = self
            .workers
            .values()
            .filter(|w| lends(w))
            .map(|w| w.credits)
            .sum();
        let mut rest = tasks.min(idle.div_ceil(2));
        let mut loans = Vec::new();
        for worker in self.workers.values_mut().filter(|worker| lends(worker)) {
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
                account: me.clone(),
                credits,
            });
        }
        loans
    }

    /// Takes credits that another entry lends.
    pub fn borrow(&mut self, now: Instant, loans: Vec<Loan>) {
        for loan in loans {
            if let Some(worker) = self.workers.get_mut(&loan.agent)
                && worker.up
                && worker.offer.epoch == loan.epoch
                && loan.credits > 0
            {
                let Loan {
                    account, credits, ..
                } = loan;
                worker.borrowed.push(Borrowed {
                    account,
                    credits,
                    at: now,
                });
            }
        }
    }

    /// Takes out borrowed credits that were not used in time, to be returned to their agents.
    pub fn unused_loans(&mut self, now: Instant) -> Vec<Loan> {
        let mut unused = Vec::new();
        for worker in self.workers.values_mut() {
            let due = |loan: &Borrowed| now.duration_since(loan.at) >= LOAN_TIME;
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
