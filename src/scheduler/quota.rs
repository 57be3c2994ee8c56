//! Teams' guarantees and limits.

use std::{collections::HashMap, sync::Arc};

use super::{resources::SLACK, snapshot::Snapshot, team_use::TeamUse};
use crate::{protocol::JobSpec, settings::Team};

/// How many more tasks of this need the team's limit allows.
pub fn tasks_within_team_limit(team: Option<&Team>, usage: &TeamUse, spec: &JobSpec) -> u32 {
    let Some(team) = team else { return 0 };
    let room = |need: f64, used: f64, limit: f64| {
        if limit <= 0.0 || need <= 0.0 {
            f64::INFINITY
        } else {
            ((limit - used + SLACK) / need).floor().max(0.0)
        }
    };
    room(spec.cpus, usage.cpus, team.cpus_max).min(room(spec.gpus, usage.gpus, team.gpus_max))
        as u32
}

/// Marks the jobs within their teams' guarantees: those that fit together
/// with all earlier unfinished jobs of the team.
pub(super) fn mark_guaranteed(snapshot: &mut Snapshot<'_>) {
    let mut asked: HashMap<Arc<str>, TeamUse> = HashMap::new();
    for job in &mut snapshot.jobs {
        let team = asked.entry(job.spec.team.clone()).or_default();
        team.cpus += job.spec.cpus * f64::from(job.remaining);
        team.gpus += job.spec.gpus * f64::from(job.remaining);
        job.guaranteed = snapshot
            .settings
            .team(&job.spec.team)
            .is_some_and(|t| t.guarantees(team.cpus, team.gpus));
    }
}
