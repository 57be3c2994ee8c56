//! Users' queries and cancellations.

use tokio::time::{Instant, timeout_at};
use tracing::{debug, info};

use super::instance::Node;
use crate::{
    protocol::{Condition, JobState, JobStatus, Write, is_job_id},
    replies::{Unavailable, UserReply},
    state::{StateError, lock},
    store::{self, JobEnd},
};

/// The version in a condition that requires a key not to exist.
const ABSENT_KEY_VERSION: u64 = 0;

impl Node {
    /// The status of a job. A final state is answered from the watch cache as it is. Any
    /// other state is answered only after the watch cache has reached a revision that was
    /// read after this call.
    pub async fn status(&self, id: &str) -> Result<UserReply, Unavailable> {
        if !is_job_id(id) {
            return Ok(UserReply::Unknown);
        }
        let known = lock(&self.watch_cache).status(id);
        if let Some(status) = known.filter(is_final) {
            return self.confirmed(UserReply::Known(status)).await;
        }
        self.refresh().await?;
        let reply = {
            let watch_cache = lock(&self.watch_cache);
            match watch_cache.status(id) {
                Some(status) => UserReply::Known(status),
                None if watch_cache.unreadable_jobs.contains(id) => {
                    return Err(Unavailable::UnreadableRecord);
                }
                None => UserReply::Unknown,
            }
        };
        self.confirmed(reply).await
    }

    /// Returns a reply once it may be given to a user. A reply that calls a job cancelled waits
    /// for the acknowledgements of other controllers: if this process crashed after the reply,
    /// nobody else might know which leases must not be renewed.
    ///
    /// # Errors
    /// The other controllers did not acknowledge the cancellation in time.
    pub(super) async fn confirmed(&self, reply: UserReply) -> Result<UserReply, Unavailable> {
        let (UserReply::Known(status) | UserReply::Created(status)) = &reply else {
            return Ok(reply);
        };
        let needs_acknowledgement = status.state == JobState::Cancelled
            && !lock(&self.watch_cache).has_no_tasks(&status.id);
        if !needs_acknowledgement || self.peers.may_confirm(&status.id) {
            return Ok(reply);
        }
        let deadline = Instant::now() + self.settings.state_timeout();
        let mut acknowledgements = self.peers.request_acknowledgements();
        while let Ok(Ok(())) = timeout_at(deadline, acknowledgements.changed()).await {
            if self.peers.may_confirm(&status.id) {
                return Ok(reply);
            }
        }
        debug!(job = %status.id, "cancellation not confirmed: other controllers have not acknowledged it");
        Err(Unavailable::Replication)
    }

    /// Cancels a job, unless the job has ended already. The reply has its final state.
    pub async fn cancel(&self, id: &str) -> Result<UserReply, Unavailable> {
        let status = match self.status(id).await? {
            UserReply::Known(status) if !is_final(&status) => status,
            reply => return Ok(reply),
        };
        let Some(version) = lock(&self.watch_cache).jobs.get(id).map(|j| j.version) else {
            return Err(Unavailable::State);
        };
        let Ok(end) = cancellation_write(id, status.done) else { return Err(Unavailable::State) };
        let conditions = cancellation_conditions(id, version);
        let writes = vec![end];
        match self.writer.commit(conditions, writes.clone()).await {
            Ok(revision) => {
                info!(job = id, "job cancelled");
                self.apply_committed(&writes, revision);
                let known = lock(&self.watch_cache).status(id).ok_or(Unavailable::State)?;
                self.confirmed(UserReply::Known(known)).await
            }
            Err(StateError::Refused(_)) => Err(Unavailable::State),
            // The job may have ended for another reason, or this write may still be carried
            // out.
            Err(_) => match self.status(id).await? {
                UserReply::Known(status) if is_final(&status) => Ok(UserReply::Known(status)),
                _ => Err(Unavailable::State),
            },
        }
    }
}

/// The condition that a key doesn't exist.
pub(super) fn key_absent(key: String) -> Condition {
    Condition { key, version: ABSENT_KEY_VERSION }
}

/// The conditions under which a job is cancelled: the job has no end record, and its job
/// record still has this version.
pub(super) fn cancellation_conditions(id: &str, version: u64) -> Vec<Condition> {
    vec![key_absent(store::end_key(id)), Condition { key: store::job_key(id), version }]
}

/// The write that cancels a job. `done`: the number of its tasks that are done.
pub(super) fn cancellation_write(id: &str, done: u32) -> Result<Write, serde_json::Error> {
    let end = JobEnd { state: JobState::Cancelled, done };
    Ok(Write::Put { key: store::end_key(id), value: store::to_raw_value(&end)?, lease: None })
}

/// Whether the state of the job can no longer change.
pub(super) fn is_final(status: &JobStatus) -> bool {
    matches!(status.state, JobState::Done | JobState::Cancelled)
}
