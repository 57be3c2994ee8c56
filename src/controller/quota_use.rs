//! What each team's bound tasks use of its quota.

use std::{collections::HashMap, sync::Arc};

use crate::{protocol::JobSpec, scheduler::TeamUse};

/// The resources of bound tasks by team. Invariant: each binding is counted exactly
/// once, from when it is made or read until its task is confirmed terminated.
#[derive(Default)]
pub(super) struct QuotaUse {
    teams: HashMap<Arc<str>, TeamUse>,
}

impl QuotaUse {
    /// Counts a task of the job that is bound now.
    pub(super) fn add(&mut self, spec: &JobSpec) {
        let team = self.teams.entry(spec.team.clone()).or_default();
        team.cpus += spec.cpus;
        team.gpus += spec.gpus;
    }

    /// Takes off a task of the job that is no longer bound.
    pub(super) fn remove(&mut self, spec: &JobSpec) {
        let team = self.teams.entry(spec.team.clone()).or_default();
        team.cpus -= spec.cpus;
        team.gpus -= spec.gpus;
    }

    /// The use by team.
    pub(super) fn by_team(&self) -> HashMap<Arc<str>, TeamUse> {
        self.teams.clone()
    }
}
