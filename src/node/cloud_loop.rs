//! What the leader asks of the cloud: rentals, deletions, and again and again
//! the machine types and the machine list.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;
use tracing::debug;

use super::Node;
use crate::{
    cloud::CloudError,
    protocol::{MachineId, ProvisionRequest},
};

/// Sees one rental through, under its one name.
pub(super) async fn rent(node: Arc<Node>, version: u64, rental: ProvisionRequest) {
    loop {
        let answer = match node.cloud.rent(rental.clone()).await {
            Ok(machines) => Some(machines),
            Err(CloudError::NoCapacity) => None,
            Err(error) => {
                // The same name again: if it was carried out, nothing is
                // rented twice.
                debug!(%error, request = %rental.request, "rental");
                tokio::time::sleep(node.settings.heartbeat_interval()).await;
                continue;
            }
        };
        node.with_leader(version, |leader| leader.on_provisioned(&rental, answer, Instant::now()));
        return node.work.notify_one();
    }
}

/// Returns machines to the cloud.
pub(super) async fn give_back(node: Arc<Node>, version: u64, machines: Vec<MachineId>) {
    match node.cloud.delete(machines.clone()).await {
        Ok(()) => {
            node.with_leader(version, |leader| leader.on_deleted(&machines, Instant::now()));
        }
        Err(error) => {
            debug!(%error, "deletion");
            tokio::time::sleep(node.settings.heartbeat_interval()).await;
            node.with_leader(version, |leader| leader.on_deletion_failed(machines));
        }
    }
    node.work.notify_one();
}

/// Reads the machine types and the machine list again and again.
pub(super) async fn cloud_loop(node: Arc<Node>, version: u64) {
    // The list is as old as its lag; reading it more often than that tells
    // little, and never more than a few times per heartbeat interval.
    let every = Duration::from_secs_f64(node.settings.cluster.cloud.list_lag_s / 2.0)
        .max(node.settings.heartbeat_interval() * 3);
    let mut types_due = Instant::now();
    // A reading that fails goes on where it stood: the more pages a fleet's list
    // has, the less likely is a reading without any failure.
    let mut since = String::new();
    loop {
        if types_due <= Instant::now() {
            match node.cloud.machine_types().await {
                Ok(types) => {
                    node.with_leader(version, |leader| leader.on_machine_types(types));
                    types_due = Instant::now() + every * 10;
                    node.work.notify_one();
                }
                Err(error) => {
                    debug!(%error, "machine types");
                    types_due = Instant::now() + every / 4;
                }
            }
        }
        loop {
            match node.cloud.list(&since).await {
                Ok(list) => {
                    if let Some(last) = list.machines.last() {
                        since = last.id.to_string();
                    }
                    let now = Instant::now();
                    node.with_leader(version, |leader| leader.on_list(&list.machines, now));
                    if !list.more || list.machines.is_empty() {
                        since.clear();
                        break;
                    }
                }
                Err(error) => {
                    debug!(%error, "machine list");
                    break;
                }
            }
        }
        let pause = every.min(types_due.saturating_duration_since(Instant::now()));
        tokio::time::sleep(pause.max(node.settings.heartbeat_interval() / 2)).await;
    }
}
