//! How much of each team's quota the team's bound tasks use.

use std::{collections::HashMap, sync::Arc};

use crate::{protocol::JobSpec, scheduler::TeamUse};

/// The resources of bound tasks by team. Invariant: each binding is counted exactly
/// once, from its creation or its reading from a record until its task is confirmed terminated.
#[derive(Default)]
pub(super) struct QuotaUse {
    teams: HashMap<Arc<str>, TeamUse>,
}

impl QuotaUse {
    /// Adds the resources of a task that becomes bound. `spec`: its job's.
    pub(super) fn add(&mut self, spec: &JobSpec) {
        let team = self.teams.entry(spec.team.clone()).or_default();
        team.cpus += spec.cpus;
        team.gpus += spec.gpus;
    }

    /// Subtracts the resources of a task that is no longer bound. `spec`: its job's.
    pub(super) fn remove(&mut self, spec: &JobSpec) {
        let team = self.teams.entry(spec.team.clone()).or_default();
        team.cpus -= spec.cpus;
        team.gpus -= spec.gpus;
    }

    /// Returns the resources in use by team.
    pub(super) fn by_team(&self) -> HashMap<Arc<str>, TeamUse> {
        self.teams.clone()
    }
}
