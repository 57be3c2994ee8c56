//! What the leader requests of the cloud: machines, their return, and periodically
//! the machine types and the machine list.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;
use tracing::debug;

use super::instance::Node;
use crate::{
    cloud::CloudError,
    protocol::{MachineId, ProvisionRequest},
};

/// The machine list is read at most once in so many heartbeat intervals.
const MIN_LIST_INTERVALS: u32 = 3;

/// The machine types are read once for so many reads of the machine list.
const LISTS_PER_TYPES: u32 = 10;

/// Rents machines, under the request's one name until it has an answer.
pub(super) async fn scale_out(node: Arc<Node>, version: u64, request: ProvisionRequest) {
    loop {
        let machines = match node.cloud.provision(request.clone()).await {
            Ok(machines) => Some(machines),
            Err(CloudError::NoCapacity) => None,
            Err(error) => {
                // The same name again: if it was carried out, nothing is
                // rented twice.
                debug!(%error, request = %request.request, "provision request failed");
                tokio::time::sleep(node.settings.heartbeat_interval()).await;
                continue;
            }
        };
        node.with_leader(version, |leader| {
            leader.on_provisioned(&request, machines, Instant::now())
        });
        return node.tick_requested.notify_one();
    }
}

/// Returns machines to the cloud.
pub(super) async fn return_machines(node: Arc<Node>, version: u64, machines: Vec<MachineId>) {
    match node.cloud.delete(machines.clone()).await {
        Ok(()) => {
            node.with_leader(version, |leader| leader.on_deleted(&machines, Instant::now()));
        }
        Err(error) => {
            debug!(%error, machines = machines.len(), "return of machines failed");
            tokio::time::sleep(node.settings.heartbeat_interval()).await;
            node.with_leader(version, |leader| leader.on_deletion_failed(machines));
        }
    }
    node.tick_requested.notify_one();
}

/// Reads the machine types and the machine list periodically.
pub(super) async fn run_cloud_loop(node: Arc<Node>, version: u64) {
    // The list is as old as its lag; reading it more often than that brings
    // little, and never more than a few times per heartbeat interval.
    let interval = Duration::from_secs_f64(node.settings.cluster.cloud.list_lag_s / 2.0)
        .max(node.settings.heartbeat_interval() * MIN_LIST_INTERVALS);
    let mut types_due = Instant::now();
    // A read that fails continues where it stopped: the more pages a fleet's list
    // has, the less likely is a read without any failure.
    let mut since = String::new();
    loop {
        if types_due <= Instant::now() {
            let pause = read_machine_types(&node, version, interval).await;
            types_due = Instant::now() + pause;
        }
        read_machine_list(&node, version, &mut since).await;
        let pause = interval.min(types_due.saturating_duration_since(Instant::now()));
        tokio::time::sleep(pause.max(node.settings.heartbeat_interval() / 2)).await;
    }
}

/// Reads the machine types. Returns the time until the next read.
async fn read_machine_types(node: &Node, version: u64, list_interval: Duration) -> Duration {
    match node.cloud.machine_types().await {
        Ok(types) => {
            node.with_leader(version, |leader| leader.on_machine_types(types));
            node.tick_requested.notify_one();
            list_interval * LISTS_PER_TYPES
        }
        Err(error) => {
            debug!(%error, "machine types not read");
            list_interval / 4
        }
    }
}

/// Reads the machine list page by page, from after the machine named `since` to the
/// end or to a failure. `since` is where the next read continues.
async fn read_machine_list(node: &Node, version: u64, since: &mut String) {
    loop {
        let list = match node.cloud.list(since).await {
            Ok(list) => list,
            Err(error) => return debug!(%error, "machine list not read"),
        };
        if let Some(last) = list.machines.last() {
            *since = last.id.to_string();
        }
        let now = Instant::now();
        node.with_leader(version, |leader| leader.on_list(&list.machines, now));
        if !list.more || list.machines.is_empty() {
            return since.clear();
        }
    }
}
