//! Users' queries and cancellations.

use tracing::info;

use super::instance::Node;
use crate::{
    protocol::{Condition, JobState, JobStatus, Write, is_job_id},
    replies::{Unavailable, UserReply},
    state::{StateError, lock},
    store::{self, JobEnd},
};

/// The version that a condition names for a key that must not exist.
const ABSENT: u64 = 0;

impl Node {
    /// The status of a job. A final state may come from the watch cache; anything else
    /// only from one that reached a revision read after the question.
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
            None if watch_cache.unreadable_jobs.contains(id) => Err(Unavailable::UnreadableRecord),
            None => Ok(UserReply::Unknown),
        }
    }

    /// Cancels a job, unless it has ended already. The reply has its final state.
    pub async fn cancel(&self, id: &str) -> Result<UserReply, Unavailable> {
        let status = match self.status(id).await? {
            UserReply::Known(status) if !is_final(&status) => status,
            reply => return Ok(reply),
        };
        let Some(version) = lock(&self.watch_cache).jobs.get(id).map(|j| j.version) else {
            return Err(Unavailable::State);
        };
        let Ok(end) = cancellation(id, status.done) else { return Err(Unavailable::State) };
        let conditions = cancellation_conditions(id, version);
        let writes = vec![end];
        match self.writer.commit(conditions, writes.clone()).await {
            Ok(revision) => {
                info!(job = id, "job cancelled");
                self.apply_committed(&writes, revision);
                let known = lock(&self.watch_cache).status(id);
                known.map(UserReply::Known).ok_or(Unavailable::State)
            }
            Err(StateError::Refused(_)) => Err(Unavailable::State),
            // It may have ended otherwise, or this write may still be carried out.
            Err(_) => match self.status(id).await? {
                UserReply::Known(status) if is_final(&status) => Ok(UserReply::Known(status)),
                _ => Err(Unavailable::State),
            },
        }
    }
}

/// The condition that a key doesn't exist.
pub(super) fn absent(key: String) -> Condition {
    Condition { key, version: ABSENT }
}

/// The conditions under which a job is cancelled: it has not ended, and its record is
/// that of this version.
pub(super) fn cancellation_conditions(id: &str, version: u64) -> Vec<Condition> {
    vec![absent(store::end_key(id)), Condition { key: store::job_key(id), version }]
}

/// The write that cancels a job of which so many tasks are done.
pub(super) fn cancellation(id: &str, done: u32) -> Result<Write, serde_json::Error> {
    let end = JobEnd { state: JobState::Cancelled, done };
    Ok(Write::Put { key: store::end_key(id), value: store::value(&end)?, lease: None })
}

/// Whether a job in this state stays in it.
pub(super) fn is_final(status: &JobStatus) -> bool {
    matches!(status.state, JobState::Done | JobState::Cancelled)
}
