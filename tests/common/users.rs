//! Users: submissions, questions and cancellations, with answers compared over time.

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
        let limit = Instant::now() + Duration::from_secs(240);
        loop {
            if let Ok(UserReply::Known(status)) = self.node(node).status(id).await
                && status.state == state
            {
                return;
            }
            assert!(Instant::now() < limit, "{id} never became {state:?}");
            sleep(Duration::from_millis(500)).await;
        }
    }

    /// What a user hears, held against what any user heard before.
    pub(super) fn record_answer(&self, id: &str, reply: &Result<UserReply, Unavailable>) {
        let mut inner = lock(&self.inner);
        let heard = match reply {
            Ok(UserReply::Known(status) | UserReply::Created(status)) => Some(status.state),
            Ok(_) => None,
            Err(_) => return,
        };
        match inner.final_states.get(id) {
            Some(told) if Some(*told) != heard => {
                let what = format!("went_back: {id} was {told:?}, now {heard:?}");
                inner.violations.push(what);
            }
            _ => {}
        }
        match heard {
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

    /// Ids that users were told are final.
    pub fn final_answer(&self, id: &str) -> Option<JobState> {
        lock(&self.inner).final_states.get(id).copied()
    }

    /// No task of a job outlives `cancel_s` after its user was told.
    pub(super) async fn check_cancelled_tasks(self) {
        let limit = Duration::from_secs(36);
        loop {
            sleep(Duration::from_millis(250)).await;
            let over: Vec<String> = {
                let inner = lock(&self.inner);
                let late = inner.cancellation_answers.iter().filter(|(_, at)| at.elapsed() > limit);
                late.map(|(job, _)| job.clone()).collect()
            };
            if over.is_empty() {
                continue;
            }
            let over: HashSet<String> = over.into_iter().collect();
            let mut inner = lock(&self.inner);
            for what in inner.live_tasks_of(&over) {
                if !inner.violations.contains(&what) {
                    inner.violations.push(what);
                }
            }
        }
    }
}
