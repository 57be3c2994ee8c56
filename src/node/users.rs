//! What users ask: submissions, states, cancellations.

use tracing::info;

use super::{Node, Trouble, UserReply};
use crate::{
    protocol::{Condition, JobSpec, JobState, JobStatus, MachineType, Shape, Write, is_job_id},
    scheduler::{TeamUse, placement, team_room},
    state::{StateError, lock},
    store::{self, End},
};

impl Node {
    pub async fn submit(&self, body: &[u8]) -> Result<UserReply, Trouble> {
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            // An accepted job stays accepted, whatever a repeat looks like.
            Err(reason) => match JobSpec::id_of(body) {
                Some(id) => {
                    let known = self.status(&id).await?;
                    let unknown = known == UserReply::Unknown;
                    return Ok(if unknown { UserReply::Malformed(reason) } else { known });
                }
                None => return Ok(UserReply::Malformed(reason)),
            },
        };
        let known = lock(&self.picture).status(&spec.id);
        match known {
            Some(status) if final_state(&status) => return Ok(UserReply::Known(status)),
            Some(_) => return self.status(&spec.id).await,
            None => {}
        }
        if let Some(reason) = self.impossible(&spec)? {
            // A job accepted elsewhere must never be called impossible.
            self.fresh().await?;
            let known = lock(&self.picture).status(&spec.id);
            return Ok(known.map_or(UserReply::Impossible(reason), UserReply::Known));
        }
        let Ok(value) = store::value(&spec) else {
            return Ok(UserReply::Malformed("can't be stored".into()));
        };
        if value.get().len() as f64 > self.settings.cluster.state.value_kb * 1024.0 {
            return Ok(UserReply::Malformed("its description is too long".into()));
        }
        let key = store::job_key(&spec.id);
        let conditions = vec![
            Condition { key: key.clone(), version: 0 },
            Condition { key: store::end_key(&spec.id), version: 0 },
        ];
        let writes = vec![Write::Put { key, value, lease: None }];
        match self.writer.commit(conditions, writes.clone()).await {
            Ok(revision) => {
                self.note_writes(&writes, revision);
                info!(job = %spec.id, class = %spec.class, team = %spec.team, tasks = spec.tasks, "accepted");
                let state = JobState::Pending;
                let id = spec.id;
                Ok(UserReply::Created(JobStatus { id, state, done: 0, running: 0 }))
            }
            Err(StateError::Refused(_)) => Err(Trouble::State),
            // Somebody created it, maybe an earlier try of ours.
            Err(_) => match self.status(&spec.id).await? {
                // Unsure, and not there: it may still appear; the retry tells.
                UserReply::Unknown => Err(Trouble::State),
                reply => Ok(reply),
            },
        }
    }

    /// Why a job can never run, if so.
    fn impossible(&self, spec: &JobSpec) -> Result<Option<String>, Trouble> {
        let Some(team) = self.settings.team(&spec.team) else {
            return Ok(Some("no such team".into()));
        };
        let types = lock(&self.picture).types.clone().ok_or(Trouble::Types)?.1;
        let zone = |t: &MachineType| spec.zone.as_ref().is_none_or(|z| t.zones.contains(z));
        if !types.iter().any(|t| placement::allows(spec, t, false) && zone(t)) {
            return Ok(Some("a task fits no allowed machine type".into()));
        }
        let needed = if spec.shape == Shape::Array { 1 } else { spec.tasks };
        if team_room(Some(team), &TeamUse::default(), spec) < needed {
            return Ok(Some("needs more than its team's limit".into()));
        }
        Ok(None)
    }

    /// A final state may come from the picture; anything else only from one
    /// that reached a revision read after the question.
    pub async fn status(&self, id: &str) -> Result<UserReply, Trouble> {
        if !is_job_id(id) {
            return Ok(UserReply::Unknown);
        }
        let known = lock(&self.picture).status(id);
        if let Some(status) = known.filter(final_state) {
            return Ok(UserReply::Known(status));
        }
        self.fresh().await?;
        let known = lock(&self.picture).status(id);
        Ok(known.map_or(UserReply::Unknown, UserReply::Known))
    }

    pub async fn cancel(&self, id: &str) -> Result<UserReply, Trouble> {
        let status = match self.status(id).await? {
            UserReply::Known(status) if !final_state(&status) => status,
            reply => return Ok(reply),
        };
        let Some(version) = lock(&self.picture).jobs.get(id).map(|j| j.version) else {
            return Err(Trouble::State);
        };
        let key = store::end_key(id);
        let end = End { state: JobState::Cancelled, done: status.done };
        let Ok(value) = store::value(&end) else { return Err(Trouble::State) };
        let conditions = vec![
            Condition { key: key.clone(), version: 0 },
            Condition { key: store::job_key(id), version },
        ];
        let writes = vec![Write::Put { key, value, lease: None }];
        match self.writer.commit(conditions, writes.clone()).await {
            Ok(revision) => {
                info!(job = id, "cancelled");
                self.note_writes(&writes, revision);
                let known = lock(&self.picture).status(id);
                known.map(UserReply::Known).ok_or(Trouble::State)
            }
            Err(StateError::Refused(_)) => Err(Trouble::State),
            // It may have ended otherwise, or our write may still come.
            Err(_) => match self.status(id).await? {
                UserReply::Known(status) if final_state(&status) => Ok(UserReply::Known(status)),
                _ => Err(Trouble::State),
            },
        }
    }
}

fn final_state(status: &JobStatus) -> bool {
    matches!(status.state, JobState::Done | JobState::Cancelled)
}
