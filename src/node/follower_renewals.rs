//! Workers whose leases this node renews while nobody can lead.

use std::{collections::HashMap, sync::Mutex};

use tokio::time::{Duration, Instant};

use crate::{protocol::MachineId, state::lock};

/// Since when each worker has had its lease renewed here without a redirect.
#[derive(Default)]
pub(super) struct FollowerRenewals {
    since: Mutex<HashMap<MachineId, Instant>>,
}

impl FollowerRenewals {
    /// This node may not renew leases at present.
    pub(super) fn clear(&self) {
        lock(&self.since).clear();
    }

    /// Whether to renew this worker's lease now. Each worker is refused once it was
    /// renewed for `probe_interval`, and may then begin anew: a leader may be there
    /// that only this node can't reach, so workers are sent to probe for it.
    pub(super) fn admit(
        &self,
        machine: &MachineId,
        now: Instant,
        probe_interval: Duration,
    ) -> bool {
        let mut renewals = lock(&self.since);
        let since = *renewals.entry(machine.clone()).or_insert(now);
        if now > since + probe_interval {
            renewals.remove(machine);
            return false;
        }
        true
    }
}
