//! Parsing of amounts with units on the command line.

use std::time::Duration;

/// Number of MiB in a GiB.
const MB_PER_GB: f64 = 1024.0;

/// Parses a number of cores, such as `2.6`, into thousandths of a core.
pub fn cpu_milli(text: &str) -> Result<u32, String> {
    Ok(whole(number(text)? * 1000.0))
}

/// Parses an amount of memory with the unit `MB` or `GB` into MiB, rounded up.
pub fn memory_mb(text: &str) -> Result<u32, String> {
    let (amount, factor) = match (text.strip_suffix("MB"), text.strip_suffix("GB")) {
        (Some(amount), _) => (amount, 1.0),
        (_, Some(amount)) => (amount, MB_PER_GB),
        _ => return Err("the unit must be MB or GB".into()),
    };
    Ok(whole((number(amount)? * factor).ceil()))
}

/// Parses a time with the unit `ms` or `s`.
pub fn duration(text: &str) -> Result<Duration, String> {
    let (amount, factor) = match (text.strip_suffix("ms"), text.strip_suffix('s')) {
        (Some(amount), _) => (amount, 1e-3),
        (_, Some(amount)) => (amount, 1.0),
        _ => return Err("the unit must be ms or s".into()),
    };
    Duration::try_from_secs_f64(number(amount)? * factor).map_err(|e| e.to_string())
}

fn number(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() && number >= 0.0 => Ok(number),
        _ => Err(format!("{text:?} is not a number of 0 or more")),
    }
}

/// Returns the nearest whole number, at most [`u32::MAX`].
fn whole(number: f64) -> u32 {
    number.round() as u32
}
