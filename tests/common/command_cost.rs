//! What commands to workers cost: requests, refusals, the size of heartbeats and the time from a
//! committed binding to the start of its task.

use std::{collections::HashMap, time::Duration};

use stonewheel::{
    protocol::{TaskState, WorkerHeartbeat},
    store::Page,
};
use tokio::time::Instant;

use super::{deployment::TestDeployment, lock, workers::Attempt};

/// Counts since the beginning of a deployment.
#[derive(Clone, Debug, Default)]
pub struct CommandCost {
    /// Direct requests that reached a worker.
    pub requests: u32,
    /// Direct requests that a worker refused for their token or incarnation.
    pub requests_refused: u32,
    /// Responses to heartbeats that a worker dropped for their token, so that they renewed no
    /// lease.
    pub renewals_refused: u32,
    /// The largest number of exits in one heartbeat.
    pub most_exits: usize,
    /// The largest heartbeat, in bytes of JSON.
    pub largest_heartbeat: usize,
    /// When each attempt first started.
    pub(super) started_at: HashMap<Attempt, Instant>,
}

impl CommandCost {
    pub(super) fn record_heartbeat(&mut self, heartbeat: &WorkerHeartbeat) {
        let exits = heartbeat.tasks.iter().filter(|task| task.state == TaskState::Exited).count();
        self.most_exits = self.most_exits.max(exits);
        let bytes = serde_json::to_vec(heartbeat).expect("json").len();
        self.largest_heartbeat = self.largest_heartbeat.max(bytes);
    }
}

impl TestDeployment {
    /// Returns what commands have cost so far.
    pub fn command_cost(&self) -> CommandCost {
        lock(&self.inner).command_cost.clone()
    }

    /// Returns the times from the commit of a binding to the start of its attempt, in ascending
    /// order.
    pub fn start_delays(&self) -> Vec<Duration> {
        let mut bound_at: HashMap<Attempt, Instant> = HashMap::new();
        for put in self.state.put_history("sw/p/") {
            let job = put.key.trim_start_matches("sw/p/").split('/').next().unwrap_or_default();
            let page: Page = serde_json::from_str(&put.value).unwrap_or_default();
            for bound in page.bound {
                let attempt = (format!("{job}/{}", bound.task), bound.attempt);
                bound_at.entry(attempt).or_insert(put.at);
            }
        }
        let started_at = lock(&self.inner).command_cost.started_at.clone();
        let delays = started_at.iter().filter_map(|(attempt, started_at)| {
            Some(started_at.saturating_duration_since(*bound_at.get(attempt)?))
        });
        let mut delays: Vec<Duration> = delays.collect();
        delays.sort();
        delays
    }
}
