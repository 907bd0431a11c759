//! Evacuation of the agent's own failure domain.

use super::super::Uptime;
use super::super::msg::NotStarted;
use super::{Action, Driver, Note};

/// What the agent knows of the evacuation of its own failure domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum DomainState {
    /// It is not evacuated.
    Open,
    /// It is evacuated.
    Evacuated,
    /// Nothing yet: no cluster state has arrived since the start.
    Unknown,
}

impl Driver {
    /// Lets no run start before [`Driver::set_evacuated`] is called.
    pub fn await_domain_state(&mut self) {
        self.domain = DomainState::Unknown;
    }

    /// Sets whether the agent's own failure domain is evacuated. If it is, queued runs and every
    /// further start are refused, also those of entries that have not heard of it; running ones go
    /// on.
    pub fn set_evacuated(&mut self, now: Uptime, evacuated: bool, out: &mut Vec<Action>) {
        let domain = if evacuated {
            DomainState::Evacuated
        } else {
            DomainState::Open
        };
        if domain == self.domain {
            return;
        }
        let was_unknown = self.domain == DomainState::Unknown;
        self.domain = domain;
        if evacuated || !was_unknown {
            let runs = self.runs.len();
            out.push(Action::Note(Note::DomainEvacuated { evacuated, runs }));
        }
        if evacuated {
            self.refuse_queued(NotStarted::NoWorker, out);
        }
        self.report(now, out);
    }
}
