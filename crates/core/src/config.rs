//! The cluster's configuration and how changes apply to it.
//!
//! Invariant: `revision` rises by one with each applied change and never falls. Each object keeps
//! the revision of its last change; a change that is based on an older revision is a conflict.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};
use std::time::Duration;
use uuid::Uuid;

use crate::ids::Name;
use crate::job::Class;
use crate::placement::Shard;
use crate::pool::catalog::Catalog;

/// Request ids whose results are kept for resends.
pub const REMEMBERED_REQUESTS: usize = 4096;
/// Presets that exist from the start; the first is in force then.
pub const FIRST_PRESETS: [&str; 3] = ["ordinary", "peak", "maintenance"];
/// The longest name of an object, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A value with the revision of its last change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Versioned<T> {
    /// The revision at which it was last changed.
    pub changed_at: u64,
    /// The value.
    pub value: T,
}

/// A service that backend servers offer and jobs name.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Tasks that may wait at one entry; 0 takes the default.
    #[serde(default)]
    pub max_queued_tasks: u32,
}

/// A tenant with its quota.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Share among tenants when there is more work than slots.
    #[serde(default = "one")]
    pub weight: u32,
    /// Task starts a second over all entries; 0 is no limit.
    #[serde(default)]
    pub rate: u32,
    /// Tasks waiting or running over all entries; 0 is no limit.
    #[serde(default)]
    pub concurrency: u32,
    /// Blake3 hashes of the caller tokens, in hexadecimal.
    #[serde(default)]
    pub token_hashes: Vec<String>,
}

fn one() -> u32 {
    1
}

/// What the system accepts and how it shares slots.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Classes that are accepted.
    pub accept: Vec<Class>,
    /// The share of a service's slots that long work may hold while short work waits, in percent.
    pub long_share_percent: u32,
    /// Tenants' rates and concurrency as a share of their quotas, in percent.
    pub quota_percent: u32,
    /// Jobs whose expected wait passes this are refused.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "max_wait_ms")]
    pub max_wait: Duration,
    /// How long keys, starts and results are remembered.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "dedupe_window_s")]
    pub dedupe_window: Duration,
}

impl Preset {
    fn first(name: &str) -> Self {
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

/// The configuration that is in force everywhere.
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
    /// The one preset in force. Invariant: it is one of `presets`.
    pub in_force: Versioned<Name>,
    /// Workers that take no new work.
    pub drained: IndexMap<Name, u64>,
    /// Workers that an operator declared gone for good, up to this incarnation.
    pub forgotten: IndexMap<Name, u64>,
    /// Placement of the registry's shards; empty until enough agents are there.
    pub shards: Vec<Shard>,
    /// The published catalogue of pooled work; its version never falls.
    pub catalog: Option<Arc<Catalog>>,
}

impl Default for ClusterState {
    fn default() -> Self {
        let first = |name: &&str| {
            (
                Name::from(*name),
                Versioned {
                    changed_at: 0,
                    value: Preset::first(name),
                },
            )
        };
        Self {
            revision: 0,
            services: IndexMap::new(),
            tenants: IndexMap::new(),
            presets: FIRST_PRESETS.iter().map(first).collect(),
            in_force: Versioned {
                changed_at: 0,
                value: FIRST_PRESETS[0].into(),
            },
            drained: IndexMap::new(),
            forgotten: IndexMap::new(),
            shards: Vec::new(),
            catalog: None,
        }
    }
}

/// One change of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Change {
    /// Creates or replaces a service.
    PutService {
        /// Its name.
        name: Name,
        /// The new value.
        service: Service,
    },
    /// Removes a service.
    RemoveService {
        /// Its name.
        name: Name,
    },
    /// Creates or replaces a tenant.
    PutTenant {
        /// Its name.
        name: Name,
        /// The new value.
        tenant: Tenant,
    },
    /// Removes a tenant.
    RemoveTenant {
        /// Its name.
        name: Name,
    },
    /// Creates or replaces a preset.
    PutPreset {
        /// Its name.
        name: Name,
        /// The new value.
        preset: Preset,
    },
    /// Removes a preset that is not in force.
    RemovePreset {
        /// Its name.
        name: Name,
    },
    /// Puts a preset in force in place of the present one.
    Activate {
        /// Its name.
        name: Name,
    },
    /// Gives a worker no new work.
    Drain {
        /// The worker.
        worker: Name,
    },
    /// Gives a drained worker work again.
    Undrain {
        /// The worker.
        worker: Name,
    },
    /// Declares that a worker's process, up to this incarnation, is surely gone.
    Forget {
        /// The worker.
        worker: Name,
        /// The last incarnation that is gone.
        incarnation: u64,
    },
    /// Moves shards of the registry. Only the control leader proposes this.
    Place {
        /// Shards with their new placement; the index is the shard's number.
        shards: Vec<(u32, Shard)>,
    },
    /// Publishes a catalogue of pooled work. The highest version wins; a lower one changes nothing.
    Publish {
        /// The catalogue.
        catalog: Arc<Catalog>,
    },
}

impl Change {
    /// Whether operators may propose it.
    pub fn is_for_operators(&self) -> bool {
        !matches!(self, Self::Place { .. })
    }
}

/// A change with what makes it safe to race and to resend.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangeRequest {
    /// Unique per change; a resend repeats it.
    pub request_id: Uuid,
    /// The revision that the operator saw.
    pub base: u64,
    /// The change.
    pub change: Change,
}

/// What became of a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeOutcome {
    /// In the configuration from this revision on.
    Applied {
        /// The new revision.
        revision: u64,
    },
    /// The object changed after the revision that the change was based on.
    Conflict {
        /// What the change was based on.
        base: u64,
        /// When the object last changed.
        changed_at: u64,
    },
    /// The change makes no sense.
    Invalid {
        /// Why.
        reason: String,
    },
}

impl ClusterState {
    /// The preset in force.
    pub fn preset(&self) -> &Preset {
        &self.presets[&self.in_force.value].value
    }

    /// Applies a change, or says why not. On an error nothing is changed.
    pub fn apply(&mut self, base: u64, change: Change) -> ChangeOutcome {
        let changed_at = self.changed_at(&change);
        if changed_at > base && change.is_for_operators() {
            return ChangeOutcome::Conflict { base, changed_at };
        }
        if let Err(reason) = self.check(&change) {
            return ChangeOutcome::Invalid { reason };
        }
        if let Change::Publish { catalog } = &change
            && let Some(held) = self
                .catalog
                .as_ref()
                .filter(|held| held.version >= catalog.version)
        {
            return self.keep(held, catalog);
        }
        self.revision += 1;
        self.put(change);
        ChangeOutcome::Applied {
            revision: self.revision,
        }
    }

    /// What a catalogue gets that is not higher than the one held: nothing changes. Other content
    /// under the version held is a conflict, so that a version means one content.
    fn keep(&self, held: &Catalog, sent: &Catalog) -> ChangeOutcome {
        if held.version == sent.version && held.document != sent.document {
            return ChangeOutcome::Conflict {
                base: sent.version,
                changed_at: held.version,
            };
        }
        ChangeOutcome::Applied {
            revision: self.revision,
        }
    }

    /// The revision at which the change's object was last changed; 0 if it does not exist.
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
            Change::Forget { .. } | Change::Place { .. } | Change::Publish { .. } => 0,
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
            Change::RemoveService { name } => exists(&self.services, name, "service"),
            Change::RemoveTenant { name } => exists(&self.tenants, name, "tenant"),
            Change::RemovePreset { name } if *name == self.in_force.value => {
                Err(format!("preset {name} is in force"))
            }
            Change::Activate { name } | Change::RemovePreset { name } => {
                exists(&self.presets, name, "preset")
            }
            Change::Drain { worker } | Change::Forget { worker, .. } => check_name(worker),
            Change::Undrain { worker } => exists(&self.drained, worker, "drained worker"),
            Change::Place { shards } => self.check_placement(shards),
            Change::Publish { catalog } => catalog.check().map_err(|e| e.to_string()),
        }
    }

    /// A placement must build on the versions that are in force.
    fn check_placement(&self, shards: &[(u32, Shard)]) -> Result<(), String> {
        for (index, shard) in shards {
            let present = self
                .shards
                .get(*index as usize)
                .map_or(0, |present| present.version);
            let settles = shard.settled && shard.version == present;
            if shard.version != present + 1 && !settles {
                return Err(format!("shard {index} is at version {present}"));
            }
        }
        Ok(())
    }

    fn put(&mut self, change: Change) {
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

fn exists<V>(map: &IndexMap<Name, V>, name: &Name, what: &str) -> Result<(), String> {
    if map.contains_key(name) {
        Ok(())
    } else {
        Err(format!("no {what} is named {name}"))
    }
}

fn check_name(name: &str) -> Result<(), String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        return Err(format!(
            "name {name:?} must be 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-', '_', '.'"
        ));
    }
    Ok(())
}

fn check_preset(preset: &Preset) -> Result<(), String> {
    if preset.long_share_percent > 100 || preset.quota_percent > 1000 {
        return Err("long_share_percent must be at most 100, quota_percent at most 1000".into());
    }
    if preset.dedupe_window < Duration::from_secs(10) {
        return Err("dedupe_window_s must be at least 10".into());
    }
    Ok(())
}

/// The state that control replicates: the configuration and the results of recent requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ControlState {
    /// The configuration, shared with readers.
    pub cluster: Arc<ClusterState>,
    /// Results by request id, oldest first, at most [`REMEMBERED_REQUESTS`].
    pub recent: IndexMap<Uuid, ChangeOutcome>,
}

impl ControlState {
    /// Applies a request; a resend gets its first result.
    pub fn apply(&mut self, req: ChangeRequest) -> ChangeOutcome {
        if let Some(first) = self.recent.get(&req.request_id) {
            return first.clone();
        }
        let outcome = Arc::make_mut(&mut self.cluster).apply(req.base, req.change);
        if self.recent.len() >= REMEMBERED_REQUESTS {
            self.recent.shift_remove_index(0);
        }
        self.recent.insert(req.request_id, outcome.clone());
        outcome
    }
}
