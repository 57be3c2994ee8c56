//! Submissions: checked, written once, and answered the same when repeated.

use serde_json::value::RawValue;
use tokio::time::Instant;
use tracing::info;

use super::{
    instance::Node,
    users::{absent, is_final},
};
use crate::{
    protocol::{Condition, JobId, JobSpec, JobState, JobStatus, MachineType, Shape, Write},
    replies::{Unavailable, UserReply},
    scheduler::{TeamUse, is_eligible, team_room},
    state::{StateError, lock},
    store,
};

/// How often an acceptance is tried whose dependencies end meanwhile.
const MAX_ACCEPT_ATTEMPTS: u32 = 4;

const TOO_LONG: &str = "its description is too long to be stored";

/// The conditions under which a job is accepted.
pub(super) struct AcceptanceConditions {
    pub(super) conditions: Vec<Condition>,
    /// Whether they cover all that the job depends on: a cancellation of such a job
    /// that is committed first must be seen.
    pub(super) cover_dependencies: bool,
}

impl Node {
    /// Answers a submission. It is idempotent: a repeated submission gets the status
    /// of the job that the first one created. `body`: the specification in JSON.
    pub async fn submit(&self, body: &[u8]) -> Result<UserReply, Unavailable> {
        let received_at = Instant::now();
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            Err(reason) => return self.answer_malformed(body, reason.to_string()).await,
        };
        if let Some(known) = self.known_submission(&spec.id).await? {
            return Ok(known);
        }
        if let Some(refusal) = self.refusal(&spec).await? {
            return self.refuse(&spec.id, refusal).await;
        }
        let Ok(value) = store::value(&spec) else {
            return Ok(UserReply::Malformed("can't be stored".into()));
        };
        if value.get().len() > self.settings.state_limits().value_bytes {
            let refusal = UserReply::Malformed(TOO_LONG.into());
            return self.refuse(&spec.id, refusal).await;
        }
        self.accept(&spec, value, received_at).await
    }

    /// Answers a submission that can't be parsed. An accepted job stays accepted,
    /// whatever a repetition looks like.
    async fn answer_malformed(
        &self,
        body: &[u8],
        reason: String,
    ) -> Result<UserReply, Unavailable> {
        let Some(id) = JobSpec::id_of(body) else { return Ok(UserReply::Malformed(reason)) };
        Ok(match self.status(&id).await? {
            UserReply::Unknown => UserReply::Malformed(reason),
            known => known,
        })
    }

    /// The answer to a submission whose job the watch cache knows.
    async fn known_submission(&self, id: &str) -> Result<Option<UserReply>, Unavailable> {
        let known = lock(&self.watch_cache).status(id);
        match known {
            Some(status) if is_final(&status) => Ok(Some(UserReply::Known(status))),
            Some(_) => self.status(id).await.map(Some),
            None => Ok(None),
        }
    }

    /// Why a valid submission is not accepted, if so.
    async fn refusal(&self, spec: &JobSpec) -> Result<Option<UserReply>, Unavailable> {
        if let Some(reason) = self.infeasibility(spec)? {
            return Ok(Some(UserReply::Impossible(reason)));
        }
        self.unusable_dependency(spec).await
    }

    /// Refuses a submission, unless the job was accepted elsewhere: then it
    /// must never be called impossible or malformed.
    async fn refuse(&self, id: &str, refusal: UserReply) -> Result<UserReply, Unavailable> {
        self.refresh().await?;
        let known = lock(&self.watch_cache).status(id);
        Ok(known.map_or(refusal, UserReply::Known))
    }

    /// Writes the record of a job. Its creation is conditioned on the job's absence, so
    /// a job is accepted once.
    async fn accept(
        &self,
        spec: &JobSpec,
        value: Box<RawValue>,
        received_at: Instant,
    ) -> Result<UserReply, Unavailable> {
        let writes = vec![Write::Put { key: store::job_key(&spec.id), value, lease: None }];
        let checked_ms = received_at.elapsed().as_millis();
        for _ in 0..MAX_ACCEPT_ATTEMPTS {
            let AcceptanceConditions { conditions, cover_dependencies } =
                self.acceptance_conditions(spec);
            match self.writer.commit(conditions, writes.clone()).await {
                Ok(revision) => {
                    self.apply_committed(&writes, revision);
                    let took_ms = received_at.elapsed().as_millis();
                    info!(
                        job = %spec.id, class = %spec.class, team = %spec.team,
                        tasks = spec.tasks, checked_ms, took_ms, "job accepted"
                    );
                    return self.answer_accepted(spec, cover_dependencies).await;
                }
                Err(StateError::Refused(_)) => return Err(Unavailable::State),
                Err(StateError::Rejected(_)) => {
                    let refusal = UserReply::Malformed(TOO_LONG.into());
                    return self.refuse(&spec.id, refusal).await;
                }
                Err(error) => {
                    if let Some(reply) = self.answer_doubtful(&spec.id, &error).await? {
                        return Ok(reply);
                    }
                }
            }
        }
        Err(Unavailable::State)
    }

    /// Answers a submission whose write failed or may have been carried out. None if it
    /// is to be tried again.
    async fn answer_doubtful(
        &self,
        id: &str,
        error: &StateError,
    ) -> Result<Option<UserReply>, Unavailable> {
        // Somebody may have created the job, maybe an earlier attempt of this node.
        let reply = self.status(id).await?;
        if reply != UserReply::Unknown {
            return Ok(Some(reply));
        }
        // A conflict, and no such job: a dependency has ended meanwhile. Unsure, and no
        // such job: it may still appear; the user's retry will show.
        if matches!(error, StateError::Conflict(_)) { Ok(None) } else { Err(Unavailable::State) }
    }

    /// Answers for a job that was accepted just now. It may be cancelled already, with
    /// one that it depends on. `covers_dependencies`: the write was conditioned on all
    /// of those.
    async fn answer_accepted(
        &self,
        spec: &JobSpec,
        covers_dependencies: bool,
    ) -> Result<UserReply, Unavailable> {
        if !covers_dependencies {
            self.refresh().await?;
        }
        let cancelled = lock(&self.watch_cache).status(&spec.id).filter(is_final);
        let state = cancelled.map_or(JobState::Pending, |status| status.state);
        let id = spec.id.clone();
        Ok(UserReply::Created(JobStatus { id, state, done: 0, running: 0 }))
    }

    /// Why a job can't depend on those that it names, if so. That one was never
    /// accepted is decided on a read no older than the question.
    async fn unusable_dependency(&self, spec: &JobSpec) -> Result<Option<UserReply>, Unavailable> {
        if lock(&self.watch_cache).first_unknown(&spec.dependencies).is_some() {
            self.refresh().await?;
        }
        let watch_cache = lock(&self.watch_cache);
        if spec.dependencies.iter().any(|id| watch_cache.unreadable_jobs.contains(id)) {
            return Err(Unavailable::UnreadableRecord);
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

    /// The conditions under which a job is accepted: it doesn't exist, and as many of
    /// its dependencies as a transaction has room for have not ended.
    pub(super) fn acceptance_conditions(&self, spec: &JobSpec) -> AcceptanceConditions {
        let mut conditions =
            vec![absent(store::job_key(&spec.id)), absent(store::end_key(&spec.id))];
        let watch_cache = lock(&self.watch_cache);
        let mut unfinished =
            spec.dependencies.iter().filter(|id| !watch_cache.ended_jobs.contains(id));
        let room = self.settings.state_limits().transaction_conditions() - conditions.len();
        let covered = unfinished.by_ref().take(room);
        conditions.extend(covered.map(|id| absent(store::end_key(id))));
        let cover_dependencies = unfinished.next().is_none();
        AcceptanceConditions { conditions, cover_dependencies }
    }

    /// Why a job can never run, if so.
    pub(super) fn infeasibility(&self, spec: &JobSpec) -> Result<Option<String>, Unavailable> {
        let Some(team) = self.settings.team(&spec.team) else {
            return Ok(Some("no such team".into()));
        };
        let types =
            lock(&self.watch_cache).machine_types.clone().ok_or(Unavailable::MachineTypes)?.value;
        let zone = |t: &MachineType| spec.zone.as_ref().is_none_or(|z| t.zones.contains(z));
        if !types.iter().any(|t| is_eligible(spec, t, false) && zone(t)) {
            return Ok(Some("a task fits no allowed machine type".into()));
        }
        let needed = if spec.shape == Shape::Array { 1 } else { spec.tasks };
        if team_room(Some(team), &TeamUse::default(), spec) < needed {
            return Ok(Some("needs more than its team's limit".into()));
        }
        Ok(None)
    }
}
