//! User requests: submissions, status queries and cancellations. Each answer is compared with
//! the earlier answers for the same job.

use std::{collections::HashSet, future::Future, sync::Arc, time::Duration};

use stonewheel::{
    node::{Node, Unavailable, UserReply},
    protocol::JobState,
};
use tokio::time::{Instant, sleep};

use super::{deployment::TestDeployment, lock, repeated::RepeatedKind, samples::job};

impl TestDeployment {
    pub async fn status(&self, node: usize, id: &str) -> Result<UserReply, Unavailable> {
        let reply = self.node(node).status(id).await;
        self.record_answer(id, &reply);
        reply
    }

    pub async fn cancel(&self, node: usize, id: &str) -> Result<UserReply, Unavailable> {
        let reply = self.node(node).cancel(id).await;
        self.record_answer(id, &reply);
        let copy = id.to_owned();
        self.deliver_user_copies(node, move |node| {
            let id = copy.clone();
            async move {
                let _ = node.cancel(&id).await;
            }
        });
        reply
    }

    pub async fn submit(
        &self,
        node: usize,
        id: &str,
        changes: serde_json::Value,
    ) -> Result<UserReply, Unavailable> {
        let body = job(id, changes);
        let reply = self.node(node).submit(&body).await;
        self.record_answer(id, &reply);
        self.deliver_user_copies(node, move |node| {
            let body = body.clone();
            async move {
                let _ = node.submit(&body).await;
            }
        });
        reply
    }

    /// Delivers copies of a user's request to the same controller.
    fn deliver_user_copies<F>(
        &self,
        node: usize,
        request: impl Fn(Arc<Node>) -> F + Send + Sync + 'static,
    ) where
        F: Future<Output = ()> + Send,
    {
        let request = Arc::new(request);
        self.deliver_copies(RepeatedKind::Users, move |deployment| {
            let request = request.clone();
            async move {
                if let Some(node) = deployment.running_process(node) {
                    request(node).await;
                }
            }
        });
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
