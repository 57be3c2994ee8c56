//! Internal jobs: jobs that another component of this process submits and cancels itself,
//! such as the jobs of model replicas.
//!
//! Each internal job has a marker key among that component's records. The marker is written
//! in the transaction that accepts the job, so that an internal job is not confused with a
//! user's job of the same id. The transactions for submission and cancellation are both
//! conditioned on the record that the component's decision rests on (the fence): if another
//! controller has taken over the component's work meanwhile, the state service rejects them.

use tracing::info;

use super::{
    instance::Node,
    users::{cancellation_conditions, cancellation_write, is_final},
};
use crate::{
    protocol::{Condition, JobSpec, Write},
    replies::Unavailable,
    state::{Reserve, StateError, lock},
    store,
};

/// The outcome of the submission or cancellation of an internal job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InternalJobReply {
    /// The request is carried out, by this call or by an earlier one.
    Done,
    /// Another job, one without this marker, has this id.
    IdTaken,
    /// The record that the decision rests on has changed.
    Stale,
    /// The job can never run, and why.
    Impossible(String),
}

impl Node {
    /// Submits an internal job. `fence`: the key and version of the record that the decision
    /// rests on. `marker`: the key that marks the job as internal.
    pub async fn submit_internal_job(
        &self,
        spec: &JobSpec,
        fence: &Condition,
        marker: &str,
    ) -> Result<InternalJobReply, Unavailable> {
        if let Some(reason) = self.infeasibility_reason(spec)? {
            return Ok(InternalJobReply::Impossible(reason));
        }
        let (Ok(job), Ok(marker_value)) =
            (store::to_raw_value(spec), store::to_raw_value(&self.settings.member))
        else {
            return Ok(InternalJobReply::Impossible("can't be stored".into()));
        };
        let mut conditions = self.acceptance_conditions(spec).conditions;
        conditions.push(fence.clone());
        let job_write = Write::Put { key: store::job_key(&spec.id), value: job, lease: None };
        let marker_write = Write::Put { key: marker.to_owned(), value: marker_value, lease: None };
        match self.writer.commit(conditions, vec![job_write.clone(), marker_write]).await {
            Ok(revision) => {
                self.apply_committed(&[job_write], revision);
                info!(job = %spec.id, class = %spec.class, "internal job accepted");
                Ok(InternalJobReply::Done)
            }
            Err(StateError::Conflict(keys)) => self.reply_to_conflict(&keys, fence, marker).await,
            Err(StateError::Rejected(reason)) => Ok(InternalJobReply::Impossible(reason)),
            Err(_) => Err(Unavailable::State),
        }
    }

    /// The reply to a submission whose transaction conflicted on `keys`.
    async fn reply_to_conflict(
        &self,
        keys: &[String],
        fence: &Condition,
        marker: &str,
    ) -> Result<InternalJobReply, Unavailable> {
        // An earlier attempt may have been carried out although its answer was lost.
        if self.marker_version(marker).await?.is_some() {
            return Ok(InternalJobReply::Done);
        }
        Ok(if keys.contains(&fence.key) {
            InternalJobReply::Stale
        } else {
            InternalJobReply::IdTaken
        })
    }

    /// Cancels an internal job. A job without a marker is a user's job and is not cancelled;
    /// the reply is `Done`, since there is no internal job of this id.
    pub async fn cancel_internal_job(
        &self,
        id: &str,
        fence: &Condition,
        marker: &str,
    ) -> Result<InternalJobReply, Unavailable> {
        let Some(marker_version) = self.marker_version(marker).await? else {
            return Ok(InternalJobReply::Done);
        };
        self.refresh().await?;
        let mut conditions =
            vec![fence.clone(), Condition { key: marker.to_owned(), version: marker_version }];
        let unfinished = {
            let watch_cache = lock(&self.watch_cache);
            let status = watch_cache.status(id).filter(|status| !is_final(status));
            status.zip(watch_cache.jobs.get(id).map(|job| job.version))
        };
        let mut end_writes = Vec::new();
        if let Some((status, version)) = unfinished {
            let Ok(end) = cancellation_write(id, status.done) else {
                return Err(Unavailable::State);
            };
            conditions.extend(cancellation_conditions(id, version));
            end_writes.push(end);
        }
        let mut writes = end_writes.clone();
        writes.push(Write::Delete { key: marker.to_owned() });
        match self.writer.commit(conditions, writes).await {
            Ok(revision) => {
                self.apply_committed(&end_writes, revision);
                info!(job = id, "internal job cancelled");
                Ok(InternalJobReply::Done)
            }
            Err(StateError::Conflict(keys)) if keys.contains(&fence.key) => {
                Ok(InternalJobReply::Stale)
            }
            // The job ended by itself, an earlier attempt was carried out, or the write failed.
            // The caller retries.
            Err(_) => Err(Unavailable::State),
        }
    }

    /// The version of a marker, read from the state service. None if there is no marker.
    async fn marker_version(&self, marker: &str) -> Result<Option<u64>, Unavailable> {
        self.request_budget.take_leaving(1.0, Reserve::Quarter).await;
        let page = self.state.list(marker, "").await.map_err(|_| Unavailable::State)?;
        Ok(page.items.iter().find(|item| item.key == marker).map(|item| item.version))
    }
}
