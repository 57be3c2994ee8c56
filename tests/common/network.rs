//! Links between the controllers, and network faults.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use stonewheel::{
    node::Node,
    peers,
    protocol::{Features, MachineId},
};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

use super::{LateCommands, deployment::TestDeployment, lock, repeated::RepeatedKind};

/// The interval between two heartbeats on a link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(900);

/// The link from one process of a controller to another controller.
struct Link {
    incarnation: u64,
    /// Changes when a heartbeat is to be sent immediately.
    immediate: watch::Receiver<()>,
}

/// The links between the controllers, by the indices of sender and receiver.
type Links = BTreeMap<(usize, usize), Link>;

type Nodes = [Option<(Arc<Node>, CancellationToken)>];

/// Opens the links of new processes and closes those of ended ones.
fn update_links(links: &mut Links, nodes: &Nodes) {
    let incarnation = |index: usize| nodes[index].as_ref().map(|(node, _)| node.incarnation);
    links.retain(|(from, _), link| incarnation(*from) == Some(link.incarnation));
    for (from, sender) in nodes.iter().enumerate() {
        let Some((sender, _)) = sender else { continue };
        for to in (0..nodes.len()).filter(|to| *to != from) {
            links.entry((from, to)).or_insert_with(|| {
                let immediate = sender.peers.immediate_heartbeats(&format!("m-{to}"));
                let immediate = immediate.expect("a member");
                Link { incarnation: sender.incarnation, immediate }
            });
        }
    }
}

/// Waits until `deadline`, or until a heartbeat is to be sent immediately. Returns the links on
/// which that is so, or all after the deadline.
async fn due_links(links: &mut Links, deadline: Instant) -> Vec<(usize, usize)> {
    let all = || -> Vec<(usize, usize)> { links.keys().copied().collect() };
    let all = all();
    if links.is_empty() {
        tokio::time::sleep_until(deadline).await;
        return all;
    }
    let signals = links.values_mut().map(|link| Box::pin(link.immediate.changed()));
    let signalled = futures_util::future::select_all(signals);
    match tokio::time::timeout_at(deadline, signalled).await {
        Ok((_, index, _)) => all.into_iter().skip(index).take(1).collect(),
        Err(_) => all,
    }
}

impl TestDeployment {
    /// Exchanges heartbeats between the controllers over their links.
    pub(super) async fn run_links(self) {
        let mut links = Links::new();
        let mut deadline = Instant::now() + HEARTBEAT_INTERVAL;
        loop {
            update_links(&mut links, &lock(&self.inner).nodes);
            let due = due_links(&mut links, deadline).await;
            if Instant::now() >= deadline {
                deadline = Instant::now() + HEARTBEAT_INTERVAL;
            }
            for (from, to) in due {
                self.send_heartbeat(from, to);
            }
        }
    }

    /// Sends a heartbeat, unless one of the processes has ended or the link is cut.
    fn send_heartbeat(&self, from: usize, to: usize) {
        let (sender, receiver, is_cut) = {
            let inner = lock(&self.inner);
            let is_cut = inner.disconnected.contains(&from) || inner.disconnected.contains(&to);
            (inner.nodes[from].clone(), inner.nodes[to].clone(), is_cut)
        };
        let (Some((sender, _)), Some((receiver, _))) = (sender, receiver) else { return };
        if is_cut {
            return;
        }
        // Encodes and decodes the message, as a real link does.
        let frame = peers::encode(sender.message(&format!("m-{to}")));
        let mut message = peers::decode(&frame).expect("a heartbeat");
        if self.is_previous_version(from) {
            message.features = Features::default();
            message.cancellation_sync = None;
        }
        if self.is_previous_version(to) {
            message.cancellation_sync = None;
        }
        receiver.on_message(message.clone());
        self.deliver_copies(RepeatedKind::Messages, move |deployment| {
            if let Some(receiver) = deployment.running_process(to) {
                receiver.on_message(message.clone());
            }
            async {}
        });
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
