//! Internal jobs: those that another part of this process submits and cancels itself.
//!
//! Each has a marker among that part's records, written in the transaction that
//! accepts the job, so that an internal job is not confused with a user's job of the
//! same id. Both transactions are conditioned on the record that the part decided on:
//! whoever was replaced meanwhile is refused by the state service.

use tracing::info;

use super::{
    instance::Node,
    users::{cancellation, cancellation_conditions, is_final},
};
use crate::{
    protocol::{Condition, JobSpec, Write},
    replies::Unavailable,
    state::{Reserve, StateError, lock},
    store,
};

/// What became of the submission or the cancellation of an internal job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InternalJobReply {
    /// It is carried out, by this call or by one before it.
    Done,
    /// Another job has this id.
    NameTaken,
    /// The record that it was decided on has changed.
    Stale,
    /// The job can never run, and why.
    Impossible(String),
}

impl Node {
    /// Submits an internal job. `fence`: the record that the decision rests on.
    /// `marker`: the key that marks the job as internal.
    pub async fn submit_internal_job(
        &self,
        spec: &JobSpec,
        fence: &Condition,
        marker: &str,
    ) -> Result<InternalJobReply, Unavailable> {
        if let Some(reason) = self.infeasibility(spec)? {
            return Ok(InternalJobReply::Impossible(reason));
        }
        let (Ok(job), Ok(mark)) = (store::value(spec), store::value(&self.settings.member)) else {
            return Ok(InternalJobReply::Impossible("can't be stored".into()));
        };
        let mut conditions = self.acceptance_conditions(spec).conditions;
        conditions.push(fence.clone());
        let accept = Write::Put { key: store::job_key(&spec.id), value: job, lease: None };
        let marked = Write::Put { key: marker.to_owned(), value: mark, lease: None };
        match self.writer.commit(conditions, vec![accept.clone(), marked]).await {
            Ok(revision) => {
                self.apply_committed(&[accept], revision);
                info!(job = %spec.id, class = %spec.class, "internal job accepted");
                Ok(InternalJobReply::Done)
            }
            Err(StateError::Conflict(keys)) => self.conflict_reason(&keys, fence, marker).await,
            Err(StateError::Rejected(reason)) => Ok(InternalJobReply::Impossible(reason)),
            Err(_) => Err(Unavailable::State),
        }
    }

    async fn conflict_reason(
        &self,
        keys: &[String],
        fence: &Condition,
        marker: &str,
    ) -> Result<InternalJobReply, Unavailable> {
        // An earlier attempt may have been carried out without an answer.
        if self.marker_version(marker).await?.is_some() {
            return Ok(InternalJobReply::Done);
        }
        Ok(if keys.contains(&fence.key) {
            InternalJobReply::Stale
        } else {
            InternalJobReply::NameTaken
        })
    }

    /// Cancels an internal job, if there is one: a job without a marker is a
    /// user's, and stays.
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
        let mut ends = Vec::new();
        if let Some((status, version)) = unfinished {
            let Ok(end) = cancellation(id, status.done) else { return Err(Unavailable::State) };
            conditions.extend(cancellation_conditions(id, version));
            ends.push(end);
        }
        let mut writes = ends.clone();
        writes.push(Write::Delete { key: marker.to_owned() });
        match self.writer.commit(conditions, writes).await {
            Ok(revision) => {
                self.apply_committed(&ends, revision);
                info!(job = id, "internal job cancelled");
                Ok(InternalJobReply::Done)
            }
            Err(StateError::Conflict(keys)) if keys.contains(&fence.key) => {
                Ok(InternalJobReply::Stale)
            }
            // It ended by itself, or an earlier attempt was carried out: the caller retries.
            Err(_) => Err(Unavailable::State),
        }
    }

    /// The version of a marker, as the state service has it now.
    async fn marker_version(&self, marker: &str) -> Result<Option<u64>, Unavailable> {
        self.requests.take_with_reserve(1.0, Reserve::Quarter).await;
        let page = self.state.list(marker, "").await.map_err(|_| Unavailable::State)?;
        Ok(page.items.iter().find(|item| item.key == marker).map(|item| item.version))
    }
}
