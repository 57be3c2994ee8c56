//! Copies of requests that arrive again after the request was carried out and answered. Nobody
//! waits for the answers to the copies.

use std::{future::Future, sync::Arc, time::Duration};

use stonewheel::{
    node::Node,
    protocol::{DirectCommands, MachineId},
};
use stonewheel_testing::RepeatedDeliveries;
use tokio::time::sleep;

use super::{deployment::TestDeployment, lock, workers::LATE_SENDER};

/// Kinds of requests that can be repeated, besides those to the state service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RepeatedKind {
    /// Direct commands to workers.
    Commands,
    /// Workers' heartbeats.
    Heartbeats,
    /// Rentals and deletions of machines.
    Cloud,
    /// Messages between controllers.
    Messages,
    /// Submissions and cancellations.
    Users,
}

impl RepeatedKind {
    const ALL: [Self; 5] =
        [Self::Commands, Self::Heartbeats, Self::Cloud, Self::Messages, Self::Users];
}

impl TestDeployment {
    /// Selects the later requests of one kind of which copies arrive.
    pub fn set_repeated(&self, kind: RepeatedKind, repeated: Option<RepeatedDeliveries>) {
        let mut inner = lock(&self.inner);
        match repeated {
            Some(repeated) => inner.repeated.insert(kind, repeated),
            None => inner.repeated.remove(&kind),
        };
    }

    /// Makes copies of a share of all kinds of requests arrive after delays in this range of
    /// seconds.
    pub fn repeat_all_kinds(&self, seed: u64, share: f64, seconds: &std::ops::Range<f64>) {
        let repeated = |salt: u64| RepeatedDeliveries::new(seed ^ salt, share, seconds.clone());
        for (number, kind) in RepeatedKind::ALL.into_iter().enumerate() {
            self.set_repeated(kind, Some(repeated(number as u64 + 1)));
        }
        self.state.set_repeated_requests(Some(repeated(0)));
    }

    /// Ends the repetition of requests. Copies on their way still arrive.
    pub fn end_repetition(&self) {
        lock(&self.inner).repeated.clear();
        self.state.set_repeated_requests(None);
    }

    /// Runs `deliver` for each copy of a request that arrives, after the copy's delay.
    pub(super) fn deliver_copies<F>(
        &self,
        kind: RepeatedKind,
        deliver: impl Fn(Self) -> F + Send + Sync + 'static,
    ) where
        F: Future<Output = ()> + Send,
    {
        let delays: Vec<Duration> = {
            let mut inner = lock(&self.inner);
            inner.repeated.get_mut(&kind).map(RepeatedDeliveries::draw).unwrap_or_default()
        };
        let deliver = Arc::new(deliver);
        for delay in delays {
            let (deployment, deliver) = (self.clone(), deliver.clone());
            tokio::spawn(async move {
                sleep(delay).await;
                deliver(deployment).await;
            });
        }
    }

    /// Records the later direct requests that workers answer.
    pub fn record_answered_commands(&self) {
        lock(&self.inner).answered_commands = Some(Vec::new());
    }

    pub(super) fn record_answered(&self, machine: &MachineId, commands: &DirectCommands) {
        if let Some(answered) = &mut lock(&self.inner).answered_commands {
            answered.push((machine.clone(), commands.clone()));
        }
    }

    /// Delivers a copy of each recorded direct request. Returns the tasks that it starts.
    pub fn deliver_answered_commands_again(&self) -> u32 {
        let mut inner = lock(&self.inner);
        let starts_before = inner.starts;
        for (machine, commands) in inner.answered_commands.clone().into_iter().flatten() {
            let _ = inner.command(&machine, LATE_SENDER, commands);
        }
        inner.starts - starts_before
    }

    /// Whether a worker lists an attempt, running or exited.
    pub fn lists_attempt(&self, task: &str, attempt: u64) -> bool {
        let listed = (task.to_owned(), attempt);
        lock(&self.inner).workers.values().any(|worker| worker.attempts.contains_key(&listed))
    }

    /// Returns the process of a controller, if it runs.
    pub(super) fn running_process(&self, index: usize) -> Option<Arc<Node>> {
        lock(&self.inner).nodes[index].as_ref().map(|(node, _)| node.clone())
    }
}
