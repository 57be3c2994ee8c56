//! User requests: submissions, status queries and cancellations. Each answer is compared with
//! the earlier answers for the same job.

use std::{collections::HashSet, time::Duration};

use stonewheel::{
    node::{Unavailable, UserReply},
    protocol::JobState,
};
use tokio::time::{Instant, sleep};

use super::{deployment::TestDeployment, lock, samples::job};

impl TestDeployment {
    pub async fn status(&self, node: usize, id: &str) -> Result<UserReply, Unavailable> {
        let reply = self.node(node).status(id).await;
        self.record_answer(id, &reply);
        reply
    }

    pub async fn cancel(&self, node: usize, id: &str) -> Result<UserReply, Unavailable> {
        let reply = self.node(node).cancel(id).await;
        self.record_answer(id, &reply);
        reply
    }

    pub async fn submit(
        &self,
        node: usize,
        id: &str,
        changes: serde_json::Value,
    ) -> Result<UserReply, Unavailable> {
        let reply = self.node(node).submit(&job(id, changes)).await;
        self.record_answer(id, &reply);
        reply
    }

    pub async fn until_state(&self, node: usize, id: &str, state: JobState) {
        let deadline = Instant::now() + Duration::from_secs(240);
        loop {
            if let Ok(UserReply::Known(status)) = self.node(node).status(id).await
                && status.state == state
            {
                return;
            }
            assert!(Instant::now() < deadline, "{id} never became {state:?}");
            sleep(Duration::from_millis(500)).await;
        }
    }

    /// Compares a user's answer with the earlier answers of all users: a final state must
    /// not change.
    pub(super) fn record_answer(&self, id: &str, reply: &Result<UserReply, Unavailable>) {
        let mut inner = lock(&self.inner);
        let reported_state = match reply {
            Ok(UserReply::Known(status) | UserReply::Created(status)) => Some(status.state),
            Ok(_) => None,
            Err(_) => return,
        };
        match inner.final_states.get(id) {
            Some(final_state) if Some(*final_state) != reported_state => {
                let what = format!("went_back: {id} was {final_state:?}, now {reported_state:?}");
                inner.violations.push(what);
            }
            _ => {}
        }
        match reported_state {
            Some(JobState::Cancelled) => {
                inner.cancellation_answers.entry(id.into()).or_insert_with(Instant::now);
                inner.final_states.insert(id.into(), JobState::Cancelled);
            }
            Some(JobState::Done) => {
                inner.final_states.insert(id.into(), JobState::Done);
            }
            _ => {}
        }
    }

    /// Returns the final state of a job that a user was told, if any.
    pub fn final_answer(&self, id: &str) -> Option<JobState> {
        lock(&self.inner).final_states.get(id).copied()
    }

    /// Records a violation for each task that still runs `cancel_s` after a user was told that
    /// its job is cancelled.
    pub(super) async fn check_cancelled_tasks(self) {
        let limit = Duration::from_secs(36);
        loop {
            sleep(Duration::from_millis(250)).await;
            let overdue: Vec<String> = {
                let inner = lock(&self.inner);
                let late = inner
                    .cancellation_answers
                    .iter()
                    .filter(|(_, answered_at)| answered_at.elapsed() > limit);
                late.map(|(job, _)| job.clone()).collect()
            };
            if overdue.is_empty() {
                continue;
            }
            let overdue: HashSet<String> = overdue.into_iter().collect();
            let mut inner = lock(&self.inner);
            for what in inner.live_tasks_of(&overdue) {
                if !inner.violations.contains(&what) {
                    inner.violations.push(what);
                }
            }
        }
    }
}
