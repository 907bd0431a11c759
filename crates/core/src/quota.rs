//! Tenants' quotas at one entry: its share of rate and concurrency, and the retry budget.
//!
//! Entries report each tenant's demand to one another. Each takes a share of the quota in
//! proportion to its share of the demand, so that admission needs no central counter.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::config::ClusterState;
use crate::ids::Name;

/// Part of a quota that is split evenly between the entries, whatever their demand.
const EVEN_SHARE: f64 = 0.2;
/// Time over which unused rate accumulates.
const BURST: Duration = Duration::from_secs(1);
/// Retries that each started task adds to its tenant's budget.
const RETRIES_PER_START: f64 = 0.2;
/// Maximum and initial retry budget of a tenant.
const MAX_RETRIES: f64 = 200.0;
/// Age after which a peer entry's reported demand is ignored.
const DEMAND_TIMEOUT: Duration = Duration::from_secs(5);
/// Weight of the previous value in the smoothed demand, at each report.
const DEMAND_DECAY: f64 = 0.5;

#[derive(Debug)]
struct Account {
    /// Tasks that may be admitted now. Negative after the admission of a job with more tasks than
    /// that.
    tokens: f64,
    refilled: Instant,
    in_flight: u32,
    retries: f64,
    /// Tasks that reached the quota check since the last report, admitted or not.
    submitted: u32,
    /// Smoothed number of tasks submitted per report.
    demand: f64,
}

/// The tenants' quotas at one entry, and the demand reported by the others.
#[derive(Debug, Default)]
pub struct Quotas {
    accounts: IndexMap<Name, Account>,
    peers: IndexMap<Name, (Instant, IndexMap<Name, u32>)>,
}

impl Quotas {
    /// Admits a job's tasks, or returns the name of the limit that is used up; `tenant` if the
    /// configuration no longer has the tenant. A limit of 0 means unlimited.
    pub fn admit(
        &mut self,
        now: Instant,
        cluster: &ClusterState,
        tenant: &Name,
        tasks: u32,
    ) -> Result<(), &'static str> {
        let share = self.share(now, tenant);
        let percent = f64::from(cluster.preset().quota_percent) / 100.0;
        let Some(quota) = cluster.tenants.get(tenant).map(|tenant| &tenant.value) else {
            return Err("tenant");
        };
        let rate = f64::from(quota.rate) * percent * share;
        let concurrency = f64::from(quota.concurrency) * percent * share;
        let account = self.account(now, tenant);
        account.submitted = account.submitted.saturating_add(tasks);
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

    /// Releases the concurrency of tasks that ended or never started.
    pub fn release(&mut self, tenant: &Name, tasks: u32) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.in_flight = account.in_flight.saturating_sub(tasks);
        }
    }

    /// Adds to the tenant's retry budget for a started task.
    pub fn task_started(&mut self, tenant: &Name) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.retries = (account.retries + RETRIES_PER_START).min(MAX_RETRIES);
        }
    }

    /// Takes one retry from the tenant's budget. Returns `false` if none is left.
    pub fn take_retry(&mut self, tenant: &Name) -> bool {
        let Some(account) = self.accounts.get_mut(tenant) else {
            return false;
        };
        let allowed = account.retries >= 1.0;
        if allowed {
            account.retries -= 1.0;
        }
        allowed
    }

    /// Updates the smoothed demand and returns it by tenant, to be sent to the other entries.
    pub fn report_demand(&mut self) -> Vec<(Name, u32)> {
        for account in self.accounts.values_mut() {
            let submitted = f64::from(std::mem::take(&mut account.submitted));
            account.demand = account.demand * DEMAND_DECAY + submitted * (1.0 - DEMAND_DECAY);
        }
        let active = |(name, account): (&Name, &Account)| {
            let demand = account.demand.ceil() as u32;
            (demand > 0).then(|| (name.clone(), demand))
        };
        self.accounts.iter().filter_map(active).collect()
    }

    /// Records the demand that another entry reported.
    pub fn on_peer_demand(&mut self, now: Instant, entry: Name, tenants: Vec<(Name, u32)>) {
        self.peers
            .insert(entry, (now, tenants.into_iter().collect()));
    }

    /// Returns this entry's share of a tenant's quota. The shares of all entries add up to 1.
    fn share(&mut self, now: Instant, tenant: &Name) -> f64 {
        self.peers
            .retain(|_, (reported_at, _)| now.duration_since(*reported_at) < DEMAND_TIMEOUT);
        let entries = self.peers.len() as f64 + 1.0;
        let peer_demand: f64 = self
            .peers
            .values()
            .map(|(_, tenants)| f64::from(tenants.get(tenant).copied().unwrap_or(0)))
            .sum();
        let own = self
            .accounts
            .get(tenant)
            .map_or(0.0, |account| account.demand);
        let total = own + peer_demand;
        let by_demand = if total > 0.0 {
            own / total
        } else {
            1.0 / entries
        };
        EVEN_SHARE / entries + (1.0 - EVEN_SHARE) * by_demand
    }

    fn account(&mut self, now: Instant, tenant: &Name) -> &mut Account {
        self.accounts
            .entry(tenant.clone())
            .or_insert_with(|| Account {
                tokens: f64::INFINITY,
                refilled: now,
                in_flight: 0,
                retries: MAX_RETRIES,
                submitted: 0,
                demand: 0.0,
            })
    }
}

impl Account {
    fn refill(&mut self, now: Instant, rate: f64) {
        let elapsed = now.duration_since(self.refilled).as_secs_f64();
        let max_tokens = (rate * BURST.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + elapsed * rate).min(max_tokens);
        self.refilled = now;
    }
}
