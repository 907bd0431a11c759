//! Checks of the parts of a change.

use std::time::Duration;

use indexmap::IndexMap;

use super::{MAX_DOMAIN_BYTES, MAX_NAME_BYTES, Preset};
use crate::ids::Name;

pub(super) fn check_exists<V>(
    map: &IndexMap<Name, V>,
    name: &Name,
    kind: &str,
) -> Result<(), String> {
    if map.contains_key(name) {
        Ok(())
    } else {
        Err(format!("no {kind} is named {name}"))
    }
}

pub(super) fn check_name(name: &str) -> Result<(), String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        return Err(format!(
            "name {name:?} must be 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-', '_', '.'"
        ));
    }
    Ok(())
}

pub(super) fn check_domain(domain: &str) -> Result<(), String> {
    if domain.is_empty() || domain.len() > MAX_DOMAIN_BYTES || domain.contains(char::is_control) {
        return Err(format!(
            "the name of a failure domain must have 1 to {MAX_DOMAIN_BYTES} bytes and no control \
             character"
        ));
    }
    Ok(())
}

pub(super) fn check_preset(preset: &Preset) -> Result<(), String> {
    if preset.long_share_percent > 100 || preset.quota_percent > 1000 {
        return Err("long_share_percent must be at most 100, quota_percent at most 1000".into());
    }
    if preset.dedupe_window < Duration::from_secs(10) {
        return Err("dedupe_window_s must be at least 10".into());
    }
    Ok(())
}
