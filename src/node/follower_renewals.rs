//! Workers whose leases this node renews as a follower while no leader can be elected.

use std::{collections::HashMap, sync::Mutex};

use tokio::time::{Duration, Instant};

use crate::{protocol::MachineId, state::lock};

/// For each worker, the start of the current series of renewals by this node that no redirect
/// has interrupted.
#[derive(Default)]
pub(super) struct FollowerRenewals {
    renewing_since: Mutex<HashMap<MachineId, Instant>>,
}

impl FollowerRenewals {
    /// Discards all entries: this node may not renew leases now.
    pub(super) fn clear(&self) {
        lock(&self.renewing_since).clear();
    }

    /// Whether to renew this worker's lease now. After `probe_interval` of renewals the
    /// worker is refused once, so that it probes the other controllers: there may be a
    /// leader that only this node can't reach. If the worker comes back, a new interval
    /// starts.
    pub(super) fn admit_renewal(
        &self,
        machine: &MachineId,
        now: Instant,
        probe_interval: Duration,
    ) -> bool {
        let mut renewals = lock(&self.renewing_since);
        let renewing_since = *renewals.entry(machine.clone()).or_insert(now);
        if now > renewing_since + probe_interval {
            renewals.remove(machine);
            return false;
        }
        true
    }
}
