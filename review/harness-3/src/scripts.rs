//! The scripts, one for each case.

mod between_steps;
mod draining;
mod late_request;
mod late_start;
mod next_life;

use crate::{Outcome, Setting};

type Script = fn(&Setting) -> Outcome;

pub fn find(name: &str) -> Option<Script> {
    match name {
        "between-steps" => Some(between_steps::play),
        "draining" => Some(draining::play),
        "late-request" => Some(late_request::play),
        "late-start" => Some(late_start::play),
        "next-life" => Some(next_life::play),
        _ => None,
    }
}
