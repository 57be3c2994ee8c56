//! Waiting, and what most tests assert.

use std::time::Duration;

use stonewheel::{
    node::{Unavailable, UserReply},
    protocol::JobState,
};
use tokio::time::sleep;

use super::deployment::TestDeployment;

/// Lets time pass.
pub async fn seconds(n: u64) {
    sleep(Duration::from_secs(n)).await;
}

/// The state that a user was told, if any.
pub fn state(reply: &Result<UserReply, Unavailable>) -> Option<JobState> {
    match reply {
        Ok(UserReply::Known(status) | UserReply::Created(status)) => Some(status.state),
        _ => None,
    }
}

/// No rule that the deployment judges was broken so far.
pub fn assert_no_violation(deployment: &TestDeployment) {
    assert!(deployment.violations().is_empty(), "{:?}", deployment.violations());
}
