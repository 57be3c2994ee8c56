//! Jobs that another part of this process submits and withdraws on its own behalf.
//!
//! Each has a marker among that part's records, written in the transaction that
//! accepts the job, so that a user's job with the same id is told from ours. Both
//! transactions are conditioned on the record that the part decided on: whoever was
//! replaced meanwhile is refused by the state service.

use tracing::info;

use super::{Node, Unavailable};
use crate::{
    protocol::{Condition, JobSpec, JobState, Write},
    state::{Reserve, StateError, lock},
    store::{self, JobEnd},
};

/// What became of a submission or a withdrawal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InternalJobReply {
    /// It stands, by this call or by one before it.
    Done,
    /// Another job has this id.
    NameTaken,
    /// The record that it was decided on has changed.
    Stale,
    /// The job can never run.
    Impossible(String),
}

impl Node {
    /// Submits a job of our own. `fence`: what the decision rests on. `marker`: the
    /// key that says that the job is ours.
    pub async fn submit_owned(
        &self,
        spec: &JobSpec,
        fence: &Condition,
        marker: &str,
    ) -> Result<InternalJobReply, Unavailable> {
        if let Some(reason) = self.impossible(spec)? {
            return Ok(InternalJobReply::Impossible(reason));
        }
        let (Ok(job), Ok(mark)) = (store::value(spec), store::value(&self.settings.member)) else {
            return Ok(InternalJobReply::Impossible("can't be stored".into()));
        };
        let (mut conditions, _) = self.acceptance_conditions(spec);
        conditions.push(fence.clone());
        let accept = Write::Put { key: store::job_key(&spec.id), value: job, lease: None };
        let marked = Write::Put { key: marker.to_owned(), value: mark, lease: None };
        match self.writer.commit(conditions, vec![accept.clone(), marked]).await {
            Ok(revision) => {
                self.apply_committed(&[accept], revision);
                info!(job = %spec.id, class = %spec.class, "accepted, of our own");
                Ok(InternalJobReply::Done)
            }
            Err(StateError::Conflict(keys)) => self.why_refused(&keys, fence, marker).await,
            Err(StateError::Rejected(reason)) => Ok(InternalJobReply::Impossible(reason)),
            Err(_) => Err(Unavailable::State),
        }
    }

    async fn why_refused(
        &self,
        keys: &[String],
        fence: &Condition,
        marker: &str,
    ) -> Result<InternalJobReply, Unavailable> {
        // An earlier try of ours may have been carried out without an answer.
        if self.marker_version(marker).await?.is_some() {
            return Ok(InternalJobReply::Done);
        }
        Ok(if keys.contains(&fence.key) {
            InternalJobReply::Stale
        } else {
            InternalJobReply::NameTaken
        })
    }

    /// Withdraws a job of our own, if there is one: a job without a marker is a
    /// user's, and stays.
    pub async fn withdraw_owned(
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
        let unmark = Write::Delete { key: marker.to_owned() };
        let running = {
            let watch_cache = lock(&self.watch_cache);
            let status = watch_cache.status(id).filter(|status| !super::users::is_final(status));
            status.zip(watch_cache.jobs.get(id).map(|job| job.version))
        };
        let mut writes = Vec::new();
        if let Some((status, version)) = running {
            let end = JobEnd { state: JobState::Cancelled, done: status.done };
            let Ok(value) = store::value(&end) else { return Err(Unavailable::State) };
            let key = store::end_key(id);
            conditions.push(Condition { key: key.clone(), version: 0 });
            conditions.push(Condition { key: store::job_key(id), version });
            writes.push(Write::Put { key, value, lease: None });
        }
        let ends = writes.clone();
        writes.push(unmark);
        match self.writer.commit(conditions, writes).await {
            Ok(revision) => {
                self.apply_committed(&ends, revision);
                info!(job = id, "withdrawn, of our own");
                Ok(InternalJobReply::Done)
            }
            Err(StateError::Conflict(keys)) if keys.contains(&fence.key) => {
                Ok(InternalJobReply::Stale)
            }
            // It ended by itself, or our own earlier try was carried out: asked again.
            Err(_) => Err(Unavailable::State),
        }
    }

    /// The version of a marker, as the state service has it now.
    async fn marker_version(&self, marker: &str) -> Result<Option<u64>, Unavailable> {
        self.requests.take_leaving(1.0, Reserve::Quarter).await;
        let page = self.state.list(marker, "").await.map_err(|_| Unavailable::State)?;
        Ok(page.items.iter().find(|item| item.key == marker).map(|item| item.version))
    }
}
