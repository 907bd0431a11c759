//! The cluster configuration and how changes are applied to it.
//!
//! Invariant: `revision` increases by one with each applied change and never decreases. Each object
//! keeps the revision of its last change; a change based on an older revision is a conflict.

mod checks;
mod replicated;

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};
use std::time::Duration;
use uuid::Uuid;

use crate::codec::encoded_len;
use crate::ids::Name;
use crate::job::Class;
use crate::placement::Shard;
use crate::pool::catalog::Catalog;

pub use replicated::{ControlState, MAX_RECENT_REQUESTS};

use checks::{check_domain, check_exists, check_name, check_preset};

/// Names of the built-in presets. The first is in force in a new cluster.
pub const BUILT_IN_PRESETS: [&str; 3] = ["ordinary", "peak", "maintenance"];
/// Maximum encoded length of the configuration, in bytes. A process gets it in one message.
pub const MAX_STATE_BYTES: usize = 16 * 1024 * 1024;
/// Maximum length of an object's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum length of a failure domain's name, in bytes. Settings choose it, not operators.
pub const MAX_DOMAIN_BYTES: usize = 256;
/// Maximum number of failure domains that are evacuated at a time.
pub const MAX_EVACUATED: usize = 256;

/// A value with the revision of its last change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Versioned<T> {
    /// The revision at which it was last changed.
    pub changed_at: u64,
    /// The value.
    pub value: T,
}

/// A service, which backend servers provide and jobs request by name.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Maximum number of tasks queued at one entry; 0 selects the default.
    #[serde(default)]
    pub max_queued_tasks: u32,
}

/// A tenant's weight, quota and tokens.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Weight of the tenant's share of the slots while there is more work than slots; at least 1.
    #[serde(default = "one")]
    pub weight: u32,
    /// Maximum task starts per second, over all entries; 0 means no limit.
    #[serde(default)]
    pub rate: u32,
    /// Maximum number of tasks queued or running, over all entries; 0 means no limit.
    #[serde(default)]
    pub concurrency: u32,
    /// BLAKE3 hashes of the callers' tokens, in hexadecimal.
    #[serde(default)]
    pub token_hashes: Vec<String>,
}

fn one() -> u32 {
    1
}

/// A named set of limits: which work the system accepts and how it shares slots.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Job classes that are accepted.
    pub accept: Vec<Class>,
    /// Share of a service's slots that long tasks may occupy while short tasks are queued, in
    /// percent; at most 100.
    pub long_share_percent: u32,
    /// Factor applied to tenants' rate and concurrency quotas, in percent; at most 1000.
    pub quota_percent: u32,
    /// Maximum expected wait; jobs that are expected to wait longer are refused.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "max_wait_ms")]
    pub max_wait: Duration,
    /// Time for which keys, starts and results are kept for deduplication; at least 10 s.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "dedupe_window_s")]
    pub dedupe_window: Duration,
}

impl Preset {
    fn built_in(name: &str) -> Self {
        let mut preset = Self {
            accept: Class::ALL.to_vec(),
            long_share_percent: 50,
            quota_percent: 100,
            max_wait: Duration::from_secs(30),
            dedupe_window: Duration::from_secs(300),
        };
        match name {
            "peak" => {
                preset.long_share_percent = 25;
                preset.max_wait = Duration::from_secs(10);
            }
            "maintenance" => {
                preset.accept = vec![Class::Short];
                preset.long_share_percent = 0;
                preset.quota_percent = 50;
            }
            _ => {}
        }
        preset
    }
}

/// The replicated cluster configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClusterState {
    /// Number of changes applied so far.
    pub revision: u64,
    /// Services by name.
    pub services: IndexMap<Name, Versioned<Service>>,
    /// Tenants by name.
    pub tenants: IndexMap<Name, Versioned<Tenant>>,
    /// Presets by name.
    pub presets: IndexMap<Name, Versioned<Preset>>,
    /// Name of the preset in force. Invariant: it is a key of `presets`.
    pub in_force: Versioned<Name>,
    /// Workers that get no new work, with the revision at which they were drained.
    pub drained: IndexMap<Name, u64>,
    /// Workers whose processes an operator declared ended for good, with the last such incarnation.
    pub forgotten: IndexMap<Name, u64>,
    /// Placement of the registry's shards, by shard number; empty until there are enough agents.
    pub shards: Vec<Shard>,
    /// The published catalogue of pooled work, if any. Its version never decreases.
    pub catalog: Option<Arc<Catalog>>,
    /// Failure domains whose workers get no new work, with the revision at which they were
    /// evacuated.
    pub evacuated: IndexMap<Name, u64>,
}

impl Default for ClusterState {
    fn default() -> Self {
        let built_in = |name: &&str| {
            (
                Name::from(*name),
                Versioned {
                    changed_at: 0,
                    value: Preset::built_in(name),
                },
            )
        };
        Self {
            revision: 0,
            services: IndexMap::new(),
            tenants: IndexMap::new(),
            presets: BUILT_IN_PRESETS.iter().map(built_in).collect(),
            in_force: Versioned {
                changed_at: 0,
                value: BUILT_IN_PRESETS[0].into(),
            },
            drained: IndexMap::new(),
            forgotten: IndexMap::new(),
            shards: Vec::new(),
            catalog: None,
            evacuated: IndexMap::new(),
        }
    }
}

/// A change of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Change {
    /// Creates or replaces a service.
    PutService {
        /// Name of the service.
        name: Name,
        /// New value of the service.
        service: Service,
    },
    /// Removes a service.
    RemoveService {
        /// Name of the service.
        name: Name,
    },
    /// Creates or replaces a tenant.
    PutTenant {
        /// Name of the tenant.
        name: Name,
        /// New value of the tenant.
        tenant: Tenant,
    },
    /// Removes a tenant.
    RemoveTenant {
        /// Name of the tenant.
        name: Name,
    },
    /// Creates or replaces a preset.
    PutPreset {
        /// Name of the preset.
        name: Name,
        /// New value of the preset.
        preset: Preset,
    },
    /// Removes a preset. Invalid for the preset in force.
    RemovePreset {
        /// Name of the preset.
        name: Name,
    },
    /// Puts a preset in force in place of the current one.
    Activate {
        /// Name of the preset.
        name: Name,
    },
    /// Stops giving a worker new work.
    Drain {
        /// Name of the worker.
        worker: Name,
    },
    /// Resumes giving work to a drained worker.
    Undrain {
        /// Name of the worker.
        worker: Name,
    },
    /// Declares that all of a worker's processes up to an incarnation have ended for good.
    Forget {
        /// Name of the worker.
        worker: Name,
        /// Last incarnation that has ended.
        incarnation: u64,
    },
    /// Changes the placement of registry shards. Proposed only by the control leader.
    Place {
        /// Shard numbers with their new placement.
        shards: Vec<(u32, Shard)>,
    },
    /// Publishes a catalogue of pooled work. A version lower than the published one has no effect.
    Publish {
        /// Catalogue to publish.
        catalog: Arc<Catalog>,
    },
    /// Stops giving new work to the workers of a failure domain.
    Evacuate {
        /// Name of the failure domain.
        domain: Name,
    },
    /// Resumes giving work to the workers of an evacuated failure domain.
    Return {
        /// Name of the failure domain.
        domain: Name,
    },
}

impl Change {
    /// Returns whether operators may propose this change.
    pub fn is_for_operators(&self) -> bool {
        !matches!(self, Self::Place { .. })
    }
}

/// A change with the ids that make concurrent changes and retries safe.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangeRequest {
    /// Unique id of the change; a retry uses the same id.
    pub request_id: Uuid,
    /// Revision on which the operator based the change.
    pub base: u64,
    /// Change to apply.
    pub change: Change,
}

/// Outcome of a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeOutcome {
    /// The configuration contains the change from this revision on.
    Applied {
        /// Revision after the change.
        revision: u64,
    },
    /// The object was changed after the revision on which the change was based.
    Conflict {
        /// Revision on which the change was based, or the catalogue version that was sent.
        base: u64,
        /// Revision at which the object was last changed, or the catalogue version that is
        /// published.
        changed_at: u64,
    },
    /// The change is not valid for the current configuration.
    Invalid {
        /// Text for the operator.
        reason: String,
    },
}

impl ClusterState {
    /// Returns the preset in force.
    pub fn preset(&self) -> &Preset {
        &self.presets[&self.in_force.value].value
    }

    /// Applies a change that is based on the revision `base`. Unless the outcome is
    /// [`ChangeOutcome::Applied`], nothing is changed.
    pub fn apply(&mut self, base: u64, change: Change) -> ChangeOutcome {
        let changed_at = self.changed_at(&change);
        if changed_at > base && change.is_for_operators() {
            return ChangeOutcome::Conflict { base, changed_at };
        }
        if let Err(reason) = self.check(&change) {
            return ChangeOutcome::Invalid { reason };
        }
        if self.is_in_force(&change) {
            return ChangeOutcome::Applied {
                revision: self.revision,
            };
        }
        if let Change::Publish { catalog } = &change
            && let Some(published) = self
                .catalog
                .as_ref()
                .filter(|published| published.version >= catalog.version)
        {
            return self.publish_outcome(published, catalog);
        }
        let (before, added) = (encoded_len(self), encoded_len(&change));
        let mut next = self.clone();
        next.revision += 1;
        next.apply_valid(change);
        if before + added > MAX_STATE_BYTES {
            let len = encoded_len(&next);
            if len > MAX_STATE_BYTES && len > before {
                let reason = format!(
                    "the configuration would have {len} bytes, more than {MAX_STATE_BYTES}"
                );
                return ChangeOutcome::Invalid { reason };
            }
        }
        *self = next;
        ChangeOutcome::Applied {
            revision: self.revision,
        }
    }

    /// Returns whether an order about a failure domain asks for what is in force already, so that no
    /// process needs a new revision.
    fn is_in_force(&self, change: &Change) -> bool {
        match change {
            Change::Evacuate { domain } => self.evacuated.contains_key(domain),
            Change::Return { domain } => !self.evacuated.contains_key(domain),
            _ => false,
        }
    }

    /// Returns the outcome for a catalogue whose version is not higher than the published one; the
    /// published one stays. Different content under the same version is a conflict, so that a
    /// version identifies its content.
    fn publish_outcome(&self, published: &Catalog, sent: &Catalog) -> ChangeOutcome {
        if published.version == sent.version && published.document != sent.document {
            return ChangeOutcome::Conflict {
                base: sent.version,
                changed_at: published.version,
            };
        }
        ChangeOutcome::Applied {
            revision: self.revision,
        }
    }

    /// Returns the revision at which the object of the change was last changed; 0 if it does not
    /// exist.
    fn changed_at(&self, change: &Change) -> u64 {
        match change {
            Change::PutService { name, .. } | Change::RemoveService { name } => self
                .services
                .get(name)
                .map_or(0, |object| object.changed_at),
            Change::PutTenant { name, .. } | Change::RemoveTenant { name } => {
                self.tenants.get(name).map_or(0, |object| object.changed_at)
            }
            Change::PutPreset { name, .. } | Change::RemovePreset { name } => {
                self.presets.get(name).map_or(0, |object| object.changed_at)
            }
            Change::Activate { .. } => self.in_force.changed_at,
            Change::Drain { worker } | Change::Undrain { worker } => {
                self.drained.get(worker).copied().unwrap_or(0)
            }
            Change::Forget { .. }
            | Change::Place { .. }
            | Change::Publish { .. }
            | Change::Evacuate { .. }
            | Change::Return { .. } => 0,
        }
    }

    fn check(&self, change: &Change) -> Result<(), String> {
        match change {
            Change::PutService { name, .. } => check_name(name),
            Change::PutTenant { name, tenant } => {
                check_name(name)?;
                if tenant.weight == 0 {
                    Err("weight must be at least 1".into())
                } else {
                    Ok(())
                }
            }
            Change::PutPreset { name, preset } => {
                check_name(name)?;
                check_preset(preset)
            }
            Change::RemoveService { name } => check_exists(&self.services, name, "service"),
            Change::RemoveTenant { name } => check_exists(&self.tenants, name, "tenant"),
            Change::RemovePreset { name } if *name == self.in_force.value => {
                Err(format!("preset {name} is in force"))
            }
            Change::Activate { name } | Change::RemovePreset { name } => {
                check_exists(&self.presets, name, "preset")
            }
            Change::Drain { worker } | Change::Forget { worker, .. } => check_name(worker),
            Change::Undrain { worker } => check_exists(&self.drained, worker, "drained worker"),
            Change::Place { shards } => self.check_placement(shards),
            Change::Publish { catalog } => catalog.check().map_err(|e| e.to_string()),
            Change::Evacuate { domain } => {
                check_domain(domain)?;
                let full = self.evacuated.len() >= MAX_EVACUATED;
                if full && !self.evacuated.contains_key(domain) {
                    return Err(format!("{MAX_EVACUATED} domains are evacuated already"));
                }
                Ok(())
            }
            Change::Return { domain } => check_domain(domain),
        }
    }

    /// Checks that each placement is the successor of the shard's current version, or marks that
    /// version as settled.
    fn check_placement(&self, shards: &[(u32, Shard)]) -> Result<(), String> {
        for (index, shard) in shards {
            let current = self
                .shards
                .get(*index as usize)
                .map_or(0, |current| current.version);
            let marks_settled = shard.settled && shard.version == current;
            if shard.version != current + 1 && !marks_settled {
                return Err(format!("shard {index} is at version {current}"));
            }
        }
        Ok(())
    }

    fn apply_valid(&mut self, change: Change) {
        let changed_at = self.revision;
        match change {
            Change::PutService { name, service } => {
                self.services.insert(
                    name,
                    Versioned {
                        changed_at,
                        value: service,
                    },
                );
            }
            Change::RemoveService { name } => {
                self.services.shift_remove(&name);
            }
            Change::PutTenant { name, tenant } => {
                self.tenants.insert(
                    name,
                    Versioned {
                        changed_at,
                        value: tenant,
                    },
                );
            }
            Change::RemoveTenant { name } => {
                self.tenants.shift_remove(&name);
            }
            Change::PutPreset { name, preset } => {
                self.presets.insert(
                    name,
                    Versioned {
                        changed_at,
                        value: preset,
                    },
                );
            }
            Change::RemovePreset { name } => {
                self.presets.shift_remove(&name);
            }
            Change::Activate { name } => {
                self.in_force = Versioned {
                    changed_at,
                    value: name,
                }
            }
            Change::Drain { worker } => {
                self.drained.insert(worker, changed_at);
            }
            Change::Undrain { worker } => {
                self.drained.shift_remove(&worker);
            }
            Change::Forget {
                worker,
                incarnation,
            } => {
                self.forgotten.insert(worker, incarnation);
            }
            Change::Place { shards } => self.place(shards),
            Change::Publish { catalog } => self.catalog = Some(catalog),
            Change::Evacuate { domain } => {
                self.evacuated.insert(domain, changed_at);
            }
            Change::Return { domain } => {
                self.evacuated.shift_remove(&domain);
            }
        }
    }

    fn place(&mut self, shards: Vec<(u32, Shard)>) {
        for (index, shard) in shards {
            let index = index as usize;
            if self.shards.len() <= index {
                self.shards.resize(index + 1, Shard::default());
            }
            self.shards[index] = shard;
        }
    }
}
