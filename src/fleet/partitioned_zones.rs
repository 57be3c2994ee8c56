//! Detection of zones that a network partition cuts off from the leader.

use std::{collections::HashMap, sync::Arc};

use tokio::time::{Duration, Instant};

use super::{machine::Machine, silence::Silence};

/// The zones that are taken as partitioned because the leader has lost contact with most of
/// their machines. Their machines are kept: replacing them all would take a boot each, which
/// is longer than most partitions last.
#[derive(Default)]
pub(super) struct PartitionedZones {
    /// When most machines of each zone were last observed to be silent.
    last_observed: HashMap<Arc<str>, Instant>,
}

impl PartitionedZones {
    /// Updates the zones from the machines that are silent now.
    pub(super) fn update<'a>(
        &mut self,
        machines: impl Iterator<Item = &'a Machine>,
        lease: Duration,
        now: Instant,
    ) {
        let mut zones: HashMap<Arc<str>, Silence> = HashMap::new();
        for machine in machines.filter(|m| m.was_running() && !m.deleting) {
            let silent = machine.silence(now) > lease / 2;
            zones.entry(machine.zone.clone()).or_default().count(silent);
        }
        zones.retain(|_, silence| silence.is_widespread());
        // Machines reconnect one by one, so a zone counts as partitioned for one more lease
        // after contact with most of its machines is restored.
        self.last_observed.retain(|_, observed_at| now < *observed_at + lease);
        self.last_observed.extend(zones.into_keys().map(|zone| (zone, now)));
    }

    /// Whether a zone counts as partitioned.
    pub(super) fn contains(&self, zone: &str) -> bool {
        self.last_observed.contains_key(zone)
    }
}
