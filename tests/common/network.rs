//! Links between the controllers, and network faults.

use std::{sync::Arc, time::Duration};

use stonewheel::{
    node::Node,
    peers,
    protocol::{Features, MachineId},
};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::{LateCommands, deployment::TestDeployment, lock};

/// Waits until the next heartbeats are due after `interval`, or until a node requests immediate
/// heartbeats.
pub(super) async fn wait_for_heartbeats(
    nodes: &[Option<(Arc<Node>, CancellationToken)>],
    interval: Duration,
) {
    let urgent = nodes.iter().flatten().map(|(node, _)| {
        let mut urgent = node.peers.immediate_heartbeats();
        Box::pin(async move { urgent.changed().await })
    });
    let urgent: Vec<_> = urgent.collect();
    if urgent.is_empty() {
        return sleep(interval).await;
    }
    let _ = tokio::time::timeout(interval, futures_util::future::select_all(urgent)).await;
}

impl TestDeployment {
    /// Exchanges heartbeats between the controllers over their links.
    pub(super) async fn run_links(self) {
        loop {
            let (nodes, disconnected) = {
                let inner = lock(&self.inner);
                (inner.nodes.clone(), inner.disconnected.clone())
            };
            wait_for_heartbeats(&nodes, Duration::from_millis(900)).await;
            for (from, sender) in nodes.iter().enumerate() {
                for (to, receiver) in nodes.iter().enumerate() {
                    let cut = disconnected.contains(&from) || disconnected.contains(&to);
                    if let (Some((sender, _)), Some((receiver, _))) = (sender, receiver)
                        && from != to
                        && !cut
                    {
                        // Encodes and decodes the message, as a real link does.
                        let frame = peers::encode(sender.message(&format!("m-{to}")));
                        let mut message = peers::decode(&frame).expect("a heartbeat");
                        if self.is_previous_version(from) {
                            message.features = Features::default();
                        }
                        receiver.on_message(message);
                    }
                }
            }
        }
    }

    /// Makes a node announce no features, as the previous version does, or all of them again.
    pub fn set_previous_version(&self, node: usize, old: bool) {
        let mut inner = lock(&self.inner);
        if old {
            inner.previous_version_nodes.insert(node);
        } else {
            inner.previous_version_nodes.remove(&node);
        }
    }

    pub(super) fn is_previous_version(&self, node: usize) -> bool {
        lock(&self.inner).previous_version_nodes.contains(&node)
    }

    /// Cuts a node's links to the other controllers.
    pub fn disconnect(&self, node: usize) {
        lock(&self.inner).disconnected.insert(node);
    }

    pub fn reconnect(&self, node: usize) {
        lock(&self.inner).disconnected.remove(&node);
    }

    /// Partitions a machine from `nodes`, and from no others.
    pub fn partition(&self, machine: &str, nodes: &[usize]) {
        let mut inner = lock(&self.inner);
        let worker = inner.workers.get_mut(machine).expect("known machine");
        worker.partitioned_from = nodes.iter().copied().collect();
    }

    /// Partitions a machine as `partition` does, if it still exists.
    pub fn partition_if_present(&self, machine: &str, nodes: &[usize]) {
        if let Some(worker) = lock(&self.inner).workers.get_mut(machine) {
            worker.partitioned_from = nodes.iter().copied().collect();
        }
    }

    /// Makes heartbeats to a controller that a worker is partitioned from hang until the
    /// worker's timeout.
    pub fn make_partitions_hang(&self) {
        lock(&self.inner).partitions_hang = true;
    }

    pub fn set_drops_responses(&self, machine: &str, drops_responses: bool) {
        lock(&self.inner).workers.get_mut(machine).expect("known machine").drops_responses =
            drops_responses;
    }

    /// Loses the answers and direct commands to these machines for `seconds`.
    pub fn drop_responses_for(&self, machines: &[MachineId], seconds: f64) {
        let set = |deployment: &TestDeployment, machines: &[MachineId], drops_responses: bool| {
            let mut inner = lock(&deployment.inner);
            for machine in machines {
                if let Some(worker) = inner.workers.get_mut(machine) {
                    worker.drops_responses = drops_responses;
                }
            }
        };
        set(self, machines, true);
        let (deployment, machines) = (self.clone(), machines.to_vec());
        tokio::spawn(async move {
            sleep(Duration::from_secs_f64(seconds)).await;
            set(&deployment, &machines, false);
        });
    }

    pub fn set_drops_heartbeats(&self, machine: &str, drops_heartbeats: bool) {
        lock(&self.inner).workers.get_mut(machine).expect("known machine").drops_heartbeats =
            drops_heartbeats;
    }

    /// Selects the later direct commands that arrive late.
    pub fn set_late_commands(&self, late: Option<LateCommands>) {
        lock(&self.inner).late_commands = late;
    }

    /// Suspends a controller for `seconds`: it sends and answers nothing, while its clock
    /// continues.
    pub fn freeze(&self, index: usize, seconds: f64) {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        lock(&self.inner).frozen_until.insert(index, until);
        self.state.freeze(&format!("m-{index}"), until);
    }

    pub(super) fn frozen_until(&self, index: usize) -> Option<Instant> {
        lock(&self.inner).frozen_until.get(&index).copied().filter(|until| *until > Instant::now())
    }
}
