//! Calls for credits: first to another entry, then to the agents.

use std::time::Duration;

use crate::ids::{Name, NodeRef};
use crate::msg::{Loan, Peer, ToAgent};
use crate::queue::ServiceQueue;

use super::{Action, Dispatcher, Mode, Now};

/// Shortest time between two calls to agents.
const WANT_EVERY: Duration = Duration::from_millis(10);
/// Time that tasks wait without a credit before agents are called.
const WANT_AFTER: Duration = Duration::from_millis(50);
/// Time between two calls to other entries, of which one may have lent.
const BORROW_EVERY: Duration = Duration::from_millis(200);
/// The same after one lent.
const BORROW_AGAIN: Duration = Duration::from_millis(10);

impl Dispatcher {
    /// Calls for credits for tasks that wait without one.
    pub(super) fn call_for_credits(&mut self, now: Now, service: &Name, out: &mut Vec<Action>) {
        let backlog = self.queues.get(service).map_or(0, ServiceQueue::total);
        if backlog == 0 || self.policy.mode != Mode::Credits || self.fleet.has_credit(service) {
            self.starved.swap_remove(service);
            return;
        }
        let since = *self.starved.entry(service.clone()).or_insert(now.mono);
        if now.mono >= self.next_borrow {
            self.next_borrow = now.mono + BORROW_EVERY;
            self.ask_for_loan(service, backlog, out);
        }
        let waited = now.mono.duration_since(since);
        if waited < WANT_AFTER || now.mono < self.next_want {
            return;
        }
        self.next_want = now.mono + WANT_EVERY;
        for name in self.fleet.uninformed(now.mono, service, backlog) {
            out.push(Action::Send(name, ToAgent::Want { backlog }));
        }
    }

    /// Asks one other entry.
    fn ask_for_loan(&mut self, service: &Name, tasks: u32, out: &mut Vec<Action>) {
        let others = self.other_entries();
        if let Some(entry) = self.rng.choice(others) {
            out.push(Action::Peer(
                entry,
                Peer::Borrow {
                    service: service.clone(),
                    tasks,
                },
            ));
        }
    }

    /// Lends idle credits, unless own tasks wait.
    pub(super) fn on_borrow(
        &mut self,
        now: Now,
        entry: &NodeRef,
        service: &Name,
        tasks: u32,
        out: &mut Vec<Action>,
    ) {
        if self
            .queues
            .get(service)
            .is_some_and(|queue| queue.total() > 0)
        {
            return;
        }
        let loans = self.fleet.lend(now.mono, &self.me.name, service, tasks);
        if !loans.is_empty() {
            out.push(Action::Peer(entry.name.clone(), Peer::Lent { loans }));
        }
    }

    pub(super) fn on_lent(&mut self, now: Now, loans: Vec<Loan>, out: &mut Vec<Action>) {
        self.next_borrow = now.mono + BORROW_AGAIN;
        self.fleet.borrow(now.mono, loans);
        self.pump(now, out);
    }

    /// Returns borrowed credits that were not used in time.
    pub(super) fn return_loans(&mut self, now: Now, out: &mut Vec<Action>) {
        let backlog = self.queues.values().map(ServiceQueue::total).sum();
        for Loan {
            agent,
            epoch,
            account,
            credits,
        } in self.fleet.unused_loans(now.mono)
        {
            let held = u32::MAX;
            out.push(Action::Send(
                agent,
                ToAgent::Return {
                    credits,
                    epoch,
                    backlog,
                    account,
                    held,
                },
            ));
        }
    }
}
