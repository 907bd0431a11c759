//! Requests for credits, first to another entry and then to the agents.

use std::time::Duration;

use crate::ids::{Name, NodeRef};
use crate::msg::{Loan, PeerMsg, ToAgent};
use crate::queue::ServiceQueue;

use super::{Action, Dispatcher, Mode, Now};

/// Minimum interval between two requests for credits to the agents.
const CREDIT_REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Time that tasks wait without a credit before the agents are asked for some.
const CREDIT_REQUEST_DELAY: Duration = Duration::from_millis(50);
/// Interval between two requests for loans to other entries while none lends.
const BORROW_INTERVAL: Duration = Duration::from_millis(200);
/// Interval before the next request to another entry after one has lent credits.
const BORROW_INTERVAL_AFTER_LOAN: Duration = Duration::from_millis(10);

impl Dispatcher {
    /// Requests credits for a service with queued tasks and no unused credit.
    pub(super) fn request_credits(&mut self, now: Now, service: &Name, out: &mut Vec<Action>) {
        let backlog = self.queues.get(service).map_or(0, ServiceQueue::total);
        if backlog == 0 || self.policy.mode != Mode::Credits || self.fleet.has_credit(service) {
            self.without_credit_since.swap_remove(service);
            return;
        }
        let since = *self
            .without_credit_since
            .entry(service.clone())
            .or_insert(now.mono);
        if now.mono >= self.next_loan_request {
            self.next_loan_request = now.mono + BORROW_INTERVAL;
            self.request_loan(service, backlog, out);
        }
        let waited = now.mono.duration_since(since);
        if waited < CREDIT_REQUEST_DELAY || now.mono < self.next_credit_request {
            return;
        }
        self.next_credit_request = now.mono + CREDIT_REQUEST_INTERVAL;
        for name in self.fleet.report_backlog(now.mono, service, backlog) {
            out.push(Action::Send(name, ToAgent::ReportBacklog { backlog }));
        }
    }

    /// Asks one random other entry to lend credits.
    fn request_loan(&mut self, service: &Name, tasks: u32, out: &mut Vec<Action>) {
        let others = self.other_entries();
        if let Some(entry) = self.rng.choice(others) {
            out.push(Action::Peer(
                entry,
                PeerMsg::Borrow {
                    service: service.clone(),
                    tasks,
                },
            ));
        }
    }

    /// Lends idle credits of a service, unless tasks of it are queued here.
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
            out.push(Action::Peer(entry.name.clone(), PeerMsg::Lent { loans }));
        }
    }

    pub(super) fn on_lent(&mut self, now: Now, loans: Vec<Loan>, out: &mut Vec<Action>) {
        self.next_loan_request = now.mono + BORROW_INTERVAL_AFTER_LOAN;
        self.fleet.borrow(now.mono, loans);
        self.dispatch_queued(now, out);
    }

    /// Returns borrowed credits that were not used in time.
    pub(super) fn return_loans(&mut self, now: Now, out: &mut Vec<Action>) {
        let backlog = self.queues.values().map(ServiceQueue::total).sum();
        for Loan {
            agent,
            epoch,
            account,
            credits,
        } in self.fleet.take_unused_loans(now.mono)
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
