//! The leader's requests to the cloud: provisioning and return of machines, and periodic
//! reads of the machine types and the machine list.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;
use tracing::debug;

use super::instance::Node;
use crate::{
    cloud::CloudError,
    protocol::{MachineId, ProvisionRequest},
};

/// The lower limit of the regular interval between reads of the machine list, in heartbeat
/// intervals.
const MIN_LIST_HEARTBEAT_INTERVALS: u32 = 3;

/// The number of reads of the machine list per read of the machine types.
const LIST_READS_PER_TYPES_READ: u32 = 10;

/// Provisions machines, with retries under the same request name until the cloud answers.
pub(super) async fn provision_machines(node: Arc<Node>, version: u64, request: ProvisionRequest) {
    loop {
        let machines = match node.cloud.provision(request.clone()).await {
            Ok(machines) => Some(machines),
            Err(CloudError::NoCapacity) => None,
            Err(error) => {
                // The retry has the same request name, so that the cloud rents no machine
                // twice if the failed call was carried out.
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
            debug!(%error, machines = machines.len(), "returning machines to the cloud failed");
            tokio::time::sleep(node.settings.heartbeat_interval()).await;
            node.with_leader(version, |leader| leader.on_deletion_failed(machines));
        }
    }
    node.tick_requested.notify_one();
}

/// Reads the machine types and the machine list periodically.
pub(super) async fn run_cloud_loop(node: Arc<Node>, version: u64) {
    // The list lags behind the cloud's state by `list_lag_s`, so reading it much more often
    // than that gives hardly any newer data. With a small lag the lower limit applies. A
    // read of the machine types that is due earlier brings the next read of the list
    // forward, to no less than half a heartbeat interval.
    let interval = Duration::from_secs_f64(node.settings.cluster.cloud.list_lag_s / 2.0)
        .max(node.settings.heartbeat_interval() * MIN_LIST_HEARTBEAT_INTERVALS);
    let mut types_due_at = Instant::now();
    // After a failure the next read continues at the page that failed: the more pages a
    // fleet's list has, the less likely is a complete read without any failure.
    let mut start_after = String::new();
    loop {
        if types_due_at <= Instant::now() {
            let delay = read_machine_types(&node, version, interval).await;
            types_due_at = Instant::now() + delay;
        }
        read_machine_list(&node, version, &mut start_after).await;
        let delay = interval.min(types_due_at.saturating_duration_since(Instant::now()));
        tokio::time::sleep(delay.max(node.settings.heartbeat_interval() / 2)).await;
    }
}

/// Reads the machine types. Returns the time until the next read.
async fn read_machine_types(node: &Node, version: u64, list_interval: Duration) -> Duration {
    match node.cloud.machine_types().await {
        Ok(types) => {
            node.with_leader(version, |leader| leader.on_machine_types(types));
            node.tick_requested.notify_one();
            list_interval * LIST_READS_PER_TYPES_READ
        }
        Err(error) => {
            debug!(%error, "reading the machine types failed");
            list_interval / 4
        }
    }
}

/// Reads the machine list page by page, from after the machine with the id `start_after` to
/// the end or to a failure. Sets `start_after` to where the next read continues.
async fn read_machine_list(node: &Node, version: u64, start_after: &mut String) {
    loop {
        let list = match node.cloud.list(start_after).await {
            Ok(list) => list,
            Err(error) => return debug!(%error, "reading the machine list failed"),
        };
        if let Some(last) = list.machines.last() {
            *start_after = last.id.to_string();
        }
        let now = Instant::now();
        node.with_leader(version, |leader| leader.on_list(&list.machines, now));
        if !list.more || list.machines.is_empty() {
            return start_after.clear();
        }
    }
}
