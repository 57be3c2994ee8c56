//! Zones that a network partition cuts off from the leader.

use std::{collections::HashMap, sync::Arc};

use tokio::time::{Duration, Instant};

use super::{machine::Machine, silence::Silence};

/// Zones most of whose machines are silent: they are cut off and will be back.
/// Returning all of their machines would cost a boot of each, which takes longer than
/// most partitions.
#[derive(Default)]
pub(super) struct PartitionedZones {
    /// When each was last seen to be cut off.
    last_seen: HashMap<Arc<str>, Instant>,
}

impl PartitionedZones {
    /// Takes in which machines are silent now.
    pub(super) fn update<'a>(
        &mut self,
        machines: impl Iterator<Item = &'a Machine>,
        lease: Duration,
        now: Instant,
    ) {
        let mut zones: HashMap<Arc<str>, Silence> = HashMap::new();
        for machine in machines.filter(|m| m.was_up() && !m.deleting) {
            let silent = machine.silence(now) > lease / 2;
            zones.entry(machine.zone.clone()).or_default().count(silent);
        }
        zones.retain(|_, silence| silence.is_widespread());
        // Machines come back one by one, so the last get as long again.
        self.last_seen.retain(|_, at| now < *at + lease);
        self.last_seen.extend(zones.into_keys().map(|zone| (zone, now)));
    }

    /// Whether a zone is cut off.
    pub(super) fn contains(&self, zone: &str) -> bool {
        self.last_seen.contains_key(zone)
    }
}
