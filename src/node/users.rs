//! What users ask: submissions, states, cancellations.

use tokio::time::Instant;
use tracing::info;

use super::{Node, Unavailable, UserReply};
use crate::{
    protocol::{
        Condition, JobId, JobSpec, JobState, JobStatus, MachineType, Shape, Write, is_job_id,
    },
    scheduler::{TeamUse, placement, team_room},
    state::{StateError, lock},
    store::{self, JobEnd},
};

/// How often an acceptance is tried whose dependencies end meanwhile.
const ACCEPT_TRIES: u32 = 4;

const TOO_LONG: &str = "its description is too long to be stored";

impl Node {
    pub async fn submit(&self, body: &[u8]) -> Result<UserReply, Unavailable> {
        let asked = Instant::now();
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            // An accepted job stays accepted, whatever a repeat looks like.
            Err(reason) => match JobSpec::id_of(body) {
                Some(id) => {
                    let known = self.status(&id).await?;
                    let unknown = known == UserReply::Unknown;
                    return Ok(if unknown {
                        UserReply::Malformed(reason.to_string())
                    } else {
                        known
                    });
                }
                None => return Ok(UserReply::Malformed(reason.to_string())),
            },
        };
        let known = lock(&self.watch_cache).status(&spec.id);
        match known {
            Some(status) if is_final(&status) => return Ok(UserReply::Known(status)),
            Some(_) => return self.status(&spec.id).await,
            None => {}
        }
        if let Some(reason) = self.impossible(&spec)? {
            return self.refuse(&spec.id, UserReply::Impossible(reason)).await;
        }
        if let Some(refusal) = self.unusable_dependency(&spec).await? {
            return self.refuse(&spec.id, refusal).await;
        }
        let Ok(value) = store::value(&spec) else {
            return Ok(UserReply::Malformed("can't be stored".into()));
        };
        if value.get().len() > self.settings.state_limits().value_bytes {
            let refusal = UserReply::Malformed(TOO_LONG.into());
            return self.refuse(&spec.id, refusal).await;
        }
        let writes = vec![Write::Put { key: store::job_key(&spec.id), value, lease: None }];
        let checked_ms = asked.elapsed().as_millis();
        for _ in 0..ACCEPT_TRIES {
            let (conditions, all) = self.acceptance_conditions(&spec);
            match self.writer.commit(conditions, writes.clone()).await {
                Ok(revision) => {
                    self.apply_committed(&writes, revision);
                    let took_ms = asked.elapsed().as_millis();
                    info!(
                        job = %spec.id, class = %spec.class, team = %spec.team,
                        tasks = spec.tasks, checked_ms, took_ms, "accepted"
                    );
                    return self.accepted(&spec, all).await;
                }
                Err(StateError::Refused(_)) => return Err(Unavailable::State),
                Err(StateError::Rejected(_)) => {
                    let refusal = UserReply::Malformed(TOO_LONG.into());
                    return self.refuse(&spec.id, refusal).await;
                }
                Err(error) => {
                    // Somebody created it, maybe an earlier try of ours.
                    let reply = self.status(&spec.id).await?;
                    if reply != UserReply::Unknown {
                        return Ok(reply);
                    }
                    // A conflict and not there: a dependency has ended meanwhile.
                    // Unsure, and not there: it may still appear; the retry tells.
                    if !matches!(error, StateError::Conflict(_)) {
                        return Err(Unavailable::State);
                    }
                }
            }
        }
        Err(Unavailable::State)
    }

    /// Refuses a submission, unless the job was accepted elsewhere: then it
    /// must never be called impossible or malformed.
    async fn refuse(&self, id: &str, refusal: UserReply) -> Result<UserReply, Unavailable> {
        self.refresh().await?;
        let known = lock(&self.watch_cache).status(id);
        Ok(known.map_or(refusal, UserReply::Known))
    }

    /// Why a job can't depend on those that it names, if so. That one was never
    /// accepted is decided on a reading no older than the question.
    async fn unusable_dependency(&self, spec: &JobSpec) -> Result<Option<UserReply>, Unavailable> {
        if lock(&self.watch_cache).first_unknown(&spec.dependencies).is_some() {
            self.refresh().await?;
        }
        let watch_cache = lock(&self.watch_cache);
        if spec.dependencies.iter().any(|id| watch_cache.unreadable.contains(id)) {
            return Err(Unavailable::Record);
        }
        if let Some(id) = watch_cache.first_unknown(&spec.dependencies) {
            let reason = format!("Awaits names {id}, which was never accepted");
            return Ok(Some(UserReply::Impossible(reason)));
        }
        let is_service = |id: &&JobId| {
            watch_cache.jobs.get(*id).is_some_and(|job| job.spec.shape == Shape::Service)
        };
        Ok(spec.dependencies.iter().find(is_service).map(|id| {
            UserReply::Malformed(format!("Awaits names {id}, a service, which is never done"))
        }))
    }

    /// The conditions under which a job is accepted, and whether they cover all
    /// that it depends on: a cancellation that lands first must be seen.
    pub(super) fn acceptance_conditions(&self, spec: &JobSpec) -> (Vec<Condition>, bool) {
        let mut conditions = vec![
            Condition { key: store::job_key(&spec.id), version: 0 },
            Condition { key: store::end_key(&spec.id), version: 0 },
        ];
        let watch_cache = lock(&self.watch_cache);
        let mut unfinished = spec.dependencies.iter().filter(|id| !watch_cache.ends.contains(id));
        let room = self.settings.state_limits().transaction_conditions() - conditions.len();
        let covered = unfinished.by_ref().take(room);
        conditions.extend(covered.map(|id| Condition { key: store::end_key(id), version: 0 }));
        (conditions, unfinished.next().is_none())
    }

    /// Answers for a job that was accepted just now. It may be cancelled
    /// already, with one that it depends on.
    async fn accepted(&self, spec: &JobSpec, covered: bool) -> Result<UserReply, Unavailable> {
        if !covered {
            self.refresh().await?;
        }
        let cancelled = lock(&self.watch_cache).status(&spec.id).filter(is_final);
        let state = cancelled.map_or(JobState::Pending, |status| status.state);
        let id = spec.id.clone();
        Ok(UserReply::Created(JobStatus { id, state, done: 0, running: 0 }))
    }

    /// Why a job can never run, if so.
    pub(super) fn impossible(&self, spec: &JobSpec) -> Result<Option<String>, Unavailable> {
        let Some(team) = self.settings.team(&spec.team) else {
            return Ok(Some("no such team".into()));
        };
        let types = lock(&self.watch_cache).types.clone().ok_or(Unavailable::Types)?.1;
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

    /// A final state may come from the watch cache; anything else only from one
    /// that reached a revision read after the question.
    pub async fn status(&self, id: &str) -> Result<UserReply, Unavailable> {
        if !is_job_id(id) {
            return Ok(UserReply::Unknown);
        }
        let known = lock(&self.watch_cache).status(id);
        if let Some(status) = known.filter(is_final) {
            return Ok(UserReply::Known(status));
        }
        self.refresh().await?;
        let watch_cache = lock(&self.watch_cache);
        match watch_cache.status(id) {
            Some(status) => Ok(UserReply::Known(status)),
            None if watch_cache.unreadable.contains(id) => Err(Unavailable::Record),
            None => Ok(UserReply::Unknown),
        }
    }

    pub async fn cancel(&self, id: &str) -> Result<UserReply, Unavailable> {
        let status = match self.status(id).await? {
            UserReply::Known(status) if !is_final(&status) => status,
            reply => return Ok(reply),
        };
        let Some(version) = lock(&self.watch_cache).jobs.get(id).map(|j| j.version) else {
            return Err(Unavailable::State);
        };
        let key = store::end_key(id);
        let end = JobEnd { state: JobState::Cancelled, done: status.done };
        let Ok(value) = store::value(&end) else { return Err(Unavailable::State) };
        let conditions = vec![
            Condition { key: key.clone(), version: 0 },
            Condition { key: store::job_key(id), version },
        ];
        let writes = vec![Write::Put { key, value, lease: None }];
        match self.writer.commit(conditions, writes.clone()).await {
            Ok(revision) => {
                info!(job = id, "cancelled");
                self.apply_committed(&writes, revision);
                let known = lock(&self.watch_cache).status(id);
                known.map(UserReply::Known).ok_or(Unavailable::State)
            }
            Err(StateError::Refused(_)) => Err(Unavailable::State),
            // It may have ended otherwise, or our write may still come.
            Err(_) => match self.status(id).await? {
                UserReply::Known(status) if is_final(&status) => Ok(UserReply::Known(status)),
                _ => Err(Unavailable::State),
            },
        }
    }
}

/// Whether a job in this state stays in it.
pub(super) fn is_final(status: &JobStatus) -> bool {
    matches!(status.state, JobState::Done | JobState::Cancelled)
}
