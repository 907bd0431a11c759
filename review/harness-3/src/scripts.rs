//! The scripts, one for each case.

mod draining;
mod late_request;
mod late_start;
mod next_life;

use crate::{Outcome, Setting};

type Script = fn(&Setting) -> Outcome;

pub fn find(name: &str) -> Option<Script> {
    match name {
        "draining" => Some(draining::play),
        "late-request" => Some(late_request::play),
        "late-start" => Some(late_start::play),
        "next-life" => Some(next_life::play),
        _ => None,
    }
}
