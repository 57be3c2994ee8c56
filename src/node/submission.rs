//! Submissions of jobs: validation, one conditional write, and idempotent answers to
//! repeated submissions.

use serde_json::value::RawValue;
use tokio::time::Instant;
use tracing::info;

use super::{
    instance::Node,
    users::{is_final, key_absent},
};
use crate::{
    protocol::{Condition, JobId, JobSpec, JobState, JobStatus, MachineType, Shape, Write},
    replies::{Unavailable, UserReply},
    scheduler::{TeamUse, is_eligible, tasks_within_team_limit},
    state::{StateError, lock},
    store,
};

/// The maximum number of attempts to accept a job. An attempt fails if a dependency ends
/// between the check and the write.
const MAX_ACCEPT_ATTEMPTS: u32 = 4;

const DESCRIPTION_TOO_LONG: &str = "its description is too long to be stored";

/// The conditions under which a job is accepted.
pub(super) struct AcceptanceConditions {
    pub(super) conditions: Vec<Condition>,
    /// Whether the conditions cover all unfinished dependencies of the job. If not, a
    /// dependency may have been cancelled before the write, and with it this job.
    pub(super) covers_all_dependencies: bool,
}

impl Node {
    /// Answers a submission. Submissions are idempotent: a repeated one gets the status of
    /// the job that the first one created. `body`: the job specification in JSON.
    pub async fn submit(&self, body: &[u8]) -> Result<UserReply, Unavailable> {
        let received_at = Instant::now();
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            Err(reason) => return self.answer_malformed(body, reason.to_string()).await,
        };
        if let Some(known) = self.known_submission(&spec.id).await? {
            return Ok(known);
        }
        if let Some(rejection) = self.rejection(&spec).await? {
            return self.reject(&spec.id, rejection).await;
        }
        let Ok(value) = store::to_raw_value(&spec) else {
            return Ok(UserReply::Malformed("can't be stored".into()));
        };
        if value.get().len() > self.settings.state_limits().value_bytes {
            let rejection = UserReply::Malformed(DESCRIPTION_TOO_LONG.into());
            return self.reject(&spec.id, rejection).await;
        }
        self.accept(&spec, value, received_at).await
    }

    /// Answers a submission that can't be parsed. If a job with its id was accepted before,
    /// the answer is that job's status: a malformed repetition doesn't undo an acceptance.
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

    /// The answer to a submission whose job is in the watch cache already. None for a new
    /// job.
    async fn known_submission(&self, id: &str) -> Result<Option<UserReply>, Unavailable> {
        let known = lock(&self.watch_cache).status(id);
        match known {
            Some(status) if is_final(&status) => {
                self.confirmed(UserReply::Known(status)).await.map(Some)
            }
            Some(_) => self.status(id).await.map(Some),
            None => Ok(None),
        }
    }

    /// The reply that rejects a valid specification, if the job can't be accepted.
    async fn rejection(&self, spec: &JobSpec) -> Result<Option<UserReply>, Unavailable> {
        if let Some(reason) = self.infeasibility_reason(spec)? {
            return Ok(Some(UserReply::Impossible(reason)));
        }
        self.dependency_rejection(spec).await
    }

    /// Rejects a submission, unless another controller has accepted the job: an accepted job
    /// must never be reported as impossible or malformed.
    async fn reject(&self, id: &str, rejection: UserReply) -> Result<UserReply, Unavailable> {
        self.refresh().await?;
        let known = lock(&self.watch_cache).status(id);
        self.confirmed(known.map_or(rejection, UserReply::Known)).await
    }

    /// Writes the record of a job. The write is conditioned on the absence of the record, so
    /// that a job is accepted only once.
    async fn accept(
        &self,
        spec: &JobSpec,
        value: Box<RawValue>,
        received_at: Instant,
    ) -> Result<UserReply, Unavailable> {
        let writes = vec![Write::Put { key: store::job_key(&spec.id), value, lease: None }];
        let checked_ms = received_at.elapsed().as_millis();
        for _ in 0..MAX_ACCEPT_ATTEMPTS {
            let AcceptanceConditions { conditions, covers_all_dependencies } =
                self.acceptance_conditions(spec);
            match self.writer.commit(conditions, writes.clone()).await {
                Ok(revision) => {
                    self.apply_committed(&writes, revision);
                    let took_ms = received_at.elapsed().as_millis();
                    info!(
                        job = %spec.id, class = %spec.class, team = %spec.team,
                        tasks = spec.tasks, checked_ms, took_ms, "job accepted"
                    );
                    return self.answer_accepted(spec, covers_all_dependencies).await;
                }
                Err(StateError::Refused(_)) => return Err(Unavailable::State),
                Err(StateError::Rejected(_)) => {
                    let rejection = UserReply::Malformed(DESCRIPTION_TOO_LONG.into());
                    return self.reject(&spec.id, rejection).await;
                }
                Err(error) => {
                    if let Some(reply) = self.answer_uncertain_write(&spec.id, &error).await? {
                        return Ok(reply);
                    }
                }
            }
        }
        Err(Unavailable::State)
    }

    /// Answers a submission whose write failed or has an unknown outcome. None if the write
    /// is to be retried.
    async fn answer_uncertain_write(
        &self,
        id: &str,
        error: &StateError,
    ) -> Result<Option<UserReply>, Unavailable> {
        // Another controller or an earlier attempt of this node may have created the job.
        let reply = self.status(id).await?;
        if reply != UserReply::Unknown {
            return Ok(Some(reply));
        }
        // After a conflict the absence of the job means that a dependency has ended
        // meanwhile. After an unknown outcome the write may still be carried out; the user's
        // retry gets the result.
        if matches!(error, StateError::Conflict(_)) { Ok(None) } else { Err(Unavailable::State) }
    }

    /// Answers for a newly accepted job. The job may be cancelled already, together with a
    /// job that it depends on. `covers_all_dependencies`: whether the write was
    /// conditioned on all unfinished dependencies, which rules out a cancellation before the
    /// write.
    async fn answer_accepted(
        &self,
        spec: &JobSpec,
        covers_all_dependencies: bool,
    ) -> Result<UserReply, Unavailable> {
        if !covers_all_dependencies {
            self.refresh().await?;
        }
        let cancelled = lock(&self.watch_cache).status(&spec.id).filter(is_final);
        let state = cancelled.map_or(JobState::Pending, |status| status.state);
        let id = spec.id.clone();
        self.confirmed(UserReply::Created(JobStatus { id, state, done: 0, running: 0 })).await
    }

    /// The reply that rejects a job for its dependencies, if one of them was never accepted
    /// or is a service. A dependency counts as never accepted only after a read of the state
    /// service that was made after this call.
    async fn dependency_rejection(&self, spec: &JobSpec) -> Result<Option<UserReply>, Unavailable> {
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

    /// The conditions under which a job is accepted: the job doesn't exist, and its
    /// unfinished dependencies have not ended, as many of them as the transaction's limit
    /// allows conditions for.
    pub(super) fn acceptance_conditions(&self, spec: &JobSpec) -> AcceptanceConditions {
        let mut conditions =
            vec![key_absent(store::job_key(&spec.id)), key_absent(store::end_key(&spec.id))];
        let watch_cache = lock(&self.watch_cache);
        let mut unfinished =
            spec.dependencies.iter().filter(|id| !watch_cache.ended_jobs.contains(id));
        let available_conditions =
            self.settings.state_limits().transaction_conditions() - conditions.len();
        let covered = unfinished.by_ref().take(available_conditions);
        conditions.extend(covered.map(|id| key_absent(store::end_key(id))));
        let covers_all_dependencies = unfinished.next().is_none();
        AcceptanceConditions { conditions, covers_all_dependencies }
    }

    /// The reason why a job can never run, if there is one.
    pub(super) fn infeasibility_reason(
        &self,
        spec: &JobSpec,
    ) -> Result<Option<String>, Unavailable> {
        let Some(team) = self.settings.team(&spec.team) else {
            return Ok(Some("no such team".into()));
        };
        let types =
            lock(&self.watch_cache).machine_types.clone().ok_or(Unavailable::MachineTypes)?.value;
        let is_in_zone = |t: &MachineType| spec.zone.as_ref().is_none_or(|z| t.zones.contains(z));
        if !types.iter().any(|t| is_eligible(spec, t, false) && is_in_zone(t)) {
            return Ok(Some("a task fits no allowed machine type".into()));
        }
        let min_tasks = if spec.shape == Shape::Array { 1 } else { spec.tasks };
        if tasks_within_team_limit(Some(team), &TeamUse::default(), spec) < min_tasks {
            return Ok(Some("needs more than its team's limit".into()));
        }
        Ok(None)
    }
}
