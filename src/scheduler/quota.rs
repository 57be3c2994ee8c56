//! Quotas: the guarantees and limits of teams.

use std::{collections::HashMap, sync::Arc};

use super::{resources::RESOURCE_TOLERANCE, snapshot::Snapshot, team_use::TeamUse};
use crate::{protocol::JobSpec, settings::Team};

/// The number of further tasks of a job that the team's limit allows; 0 without a team.
pub fn tasks_within_team_limit(team: Option<&Team>, usage: &TeamUse, spec: &JobSpec) -> u32 {
    let Some(team) = team else { return 0 };
    let max_tasks = |need: f64, used: f64, limit: f64| {
        if limit <= 0.0 || need <= 0.0 {
            f64::INFINITY
        } else {
            ((limit - used + RESOURCE_TOLERANCE) / need).floor().max(0.0)
        }
    };
    max_tasks(spec.cpus, usage.cpus, team.cpus_max).min(max_tasks(
        spec.gpus,
        usage.gpus,
        team.gpus_max,
    )) as u32
}

/// Marks the jobs within their teams' guarantees: those that fit the guarantee together with all
/// earlier unfinished jobs of the team.
pub(super) fn mark_guaranteed(snapshot: &mut Snapshot<'_>) {
    let mut requested: HashMap<Arc<str>, TeamUse> = HashMap::new();
    for job in &mut snapshot.jobs {
        let team = requested.entry(job.spec.team.clone()).or_default();
        team.cpus += job.spec.cpus * f64::from(job.remaining);
        team.gpus += job.spec.gpus * f64::from(job.remaining);
        job.guaranteed = snapshot
            .settings
            .team(&job.spec.team)
            .is_some_and(|t| t.guarantees(team.cpus, team.gpus));
    }
}
