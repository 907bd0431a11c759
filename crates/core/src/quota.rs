//! Tenants' quotas at one entry: its share of rate and concurrency, and the retry budget.
//!
//! Entries tell one another each tenant's demand; each takes the share of a quota that matches its
//! part of the demand, so that no request asks a central counter.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::config::ClusterState;
use crate::ids::Name;

/// Share of a quota that an entry without demand keeps, divided by the number of entries.
const IDLE_SHARE: f64 = 0.2;
/// Time over which unused rate adds up.
const BURST: Duration = Duration::from_secs(1);
/// Retries that each started task earns its tenant.
const RETRIES_PER_START: f64 = 0.2;
/// The most retries that a tenant saves up.
const MAX_RETRIES: f64 = 200.0;
/// A peer entry's word on its demand is used for this long.
const DEMAND_TIMEOUT: Duration = Duration::from_secs(5);
/// Decay of the measured demand with each exchange.
const DEMAND_DECAY: f64 = 0.5;

#[derive(Debug)]
struct Account {
    /// Tasks that may be admitted now; negative after a job larger than the rest.
    tokens: f64,
    refilled: Instant,
    in_flight: u32,
    retries: f64,
    /// Tasks asked for since the last exchange.
    asked: u32,
    /// Smoothed tasks per exchange.
    demand: f64,
}

/// The quotas at one entry.
#[derive(Debug, Default)]
pub struct Quotas {
    accounts: IndexMap<Name, Account>,
    peers: IndexMap<Name, (Instant, IndexMap<Name, u32>)>,
}

impl Quotas {
    /// Admits a job's tasks, or says which limit is used up.
    pub fn admit(
        &mut self,
        now: Instant,
        cluster: &ClusterState,
        tenant: &Name,
        tasks: u32,
    ) -> Result<(), &'static str> {
        let share = self.share(now, tenant);
        let percent = f64::from(cluster.preset().quota_percent) / 100.0;
        let quota = &cluster.tenants[tenant].value;
        let rate = f64::from(quota.rate) * percent * share;
        let concurrency = f64::from(quota.concurrency) * percent * share;
        let account = self.account(now, tenant);
        account.asked = account.asked.saturating_add(tasks);
        account.refill(now, rate);
        if quota.rate > 0 && account.tokens <= 0.0 {
            return Err("rate");
        }
        let in_flight = f64::from(account.in_flight + tasks);
        if quota.concurrency > 0 && account.in_flight > 0 && in_flight > concurrency.max(1.0) {
            return Err("concurrency");
        }
        account.tokens -= f64::from(tasks);
        account.in_flight += tasks;
        Ok(())
    }

    /// Gives back the concurrency of tasks that ended or never started.
    pub fn release(&mut self, tenant: &Name, tasks: u32) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.in_flight = account.in_flight.saturating_sub(tasks);
        }
    }

    /// Notes a task's start, which earns retries.
    pub fn started(&mut self, tenant: &Name) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.retries = (account.retries + RETRIES_PER_START).min(MAX_RETRIES);
        }
    }

    /// Takes one retry from the tenant's budget.
    pub fn retry(&mut self, tenant: &Name) -> bool {
        let Some(account) = self.accounts.get_mut(tenant) else {
            return false;
        };
        let allowed = account.retries >= 1.0;
        if allowed {
            account.retries -= 1.0;
        }
        allowed
    }

    /// The demand since the last exchange, for the other entries.
    pub fn exchange(&mut self) -> Vec<(Name, u32)> {
        for account in self.accounts.values_mut() {
            let asked = f64::from(std::mem::take(&mut account.asked));
            account.demand = account.demand * DEMAND_DECAY + asked * (1.0 - DEMAND_DECAY);
        }
        let present = |(name, account): (&Name, &Account)| {
            let demand = account.demand.ceil() as u32;
            (demand > 0).then(|| (name.clone(), demand))
        };
        self.accounts.iter().filter_map(present).collect()
    }

    /// Takes in another entry's demand.
    pub fn on_demand(&mut self, now: Instant, entry: Name, tenants: Vec<(Name, u32)>) {
        self.peers
            .insert(entry, (now, tenants.into_iter().collect()));
    }

    /// This entry's share of a tenant's quota. Over all entries the shares add up to 1.
    fn share(&mut self, now: Instant, tenant: &Name) -> f64 {
        self.peers
            .retain(|_, (heard, _)| now.duration_since(*heard) < DEMAND_TIMEOUT);
        let entries = self.peers.len() as f64 + 1.0;
        let theirs: f64 = self
            .peers
            .values()
            .map(|(_, tenants)| f64::from(tenants.get(tenant).copied().unwrap_or(0)))
            .sum();
        let own = self
            .accounts
            .get(tenant)
            .map_or(0.0, |account| account.demand);
        let total = own + theirs;
        let by_demand = if total > 0.0 {
            own / total
        } else {
            1.0 / entries
        };
        IDLE_SHARE / entries + (1.0 - IDLE_SHARE) * by_demand
    }

    fn account(&mut self, now: Instant, tenant: &Name) -> &mut Account {
        self.accounts
            .entry(tenant.clone())
            .or_insert_with(|| Account {
                tokens: f64::INFINITY,
                refilled: now,
                in_flight: 0,
                retries: MAX_RETRIES,
                asked: 0,
                demand: 0.0,
            })
    }
}

impl Account {
    fn refill(&mut self, now: Instant, rate: f64) {
        let elapsed = now.duration_since(self.refilled).as_secs_f64();
        let most = (rate * BURST.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + elapsed * rate).min(most);
        self.refilled = now;
    }
}
