//! Waiting and assertions that most tests share.

use std::time::Duration;

use stonewheel::{
    node::{Unavailable, UserReply},
    protocol::JobState,
};
use tokio::time::sleep;

use super::deployment::TestDeployment;

/// Waits for `n` seconds of simulated time.
pub async fn seconds(n: u64) {
    sleep(Duration::from_secs(n)).await;
}

/// Returns the job state in an answer to a user, if it contains one.
pub fn state(reply: &Result<UserReply, Unavailable>) -> Option<JobState> {
    match reply {
        Ok(UserReply::Known(status) | UserReply::Created(status)) => Some(status.state),
        _ => None,
    }
}

/// Asserts that the deployment has recorded no violation so far.
pub fn assert_no_violation(deployment: &TestDeployment) {
    assert!(deployment.violations().is_empty(), "{:?}", deployment.violations());
}
