//! Workers whose leases this node renews as a follower while no leader can be elected.

use std::{collections::HashMap, sync::Mutex};

use tokio::time::{Duration, Instant};

use crate::{
    protocol::{MachineId, WorkerHeartbeat},
    state::lock,
};

/// The renewals of one worker's lease that no redirect has interrupted.
#[derive(Clone, Copy)]
struct RenewalSeries {
    began_at: Instant,
    /// The lowest fencing token of the answers.
    token: u64,
}

/// For each worker, the current series of renewals by this node.
#[derive(Default)]
pub(super) struct FollowerRenewals {
    series: Mutex<HashMap<MachineId, RenewalSeries>>,
}

impl FollowerRenewals {
    /// Discards all entries: this node may not renew leases now.
    pub(super) fn clear(&self) {
        lock(&self.series).clear();
    }

    /// Returns the fencing token with which to renew this worker's lease now, or none if it is
    /// not to be renewed.
    ///
    /// After `probe_interval` of renewals the worker is refused once, so that it probes the other
    /// controllers: there may be a leader that only this node can't reach. If the worker comes
    /// back, a new series starts.
    ///
    /// Each series raises the worker's token. A direct command of a leader that has crashed may
    /// reach the worker as long as its incarnation lasts, and renewals prolong that. With the
    /// raised token the worker refuses it. `last_token`: the last token of the latest term that is
    /// known. A token beyond it would supersede a leader, as the leaders of older versions have a
    /// single token. `may_keep_token`: whether the worker's token may stay then.
    pub(super) fn admit_renewal(
        &self,
        heartbeat: &WorkerHeartbeat,
        last_token: u64,
        may_keep_token: bool,
        now: Instant,
        probe_interval: Duration,
    ) -> Option<u64> {
        let mut all_series = lock(&self.series);
        let first = RenewalSeries { began_at: now, token: heartbeat.token.saturating_add(1) };
        let series = *all_series.entry(heartbeat.machine.clone()).or_insert(first);
        if now > series.began_at + probe_interval {
            all_series.remove(&heartbeat.machine);
            return None;
        }
        if series.token <= last_token {
            Some(series.token.max(heartbeat.token))
        } else {
            may_keep_token.then_some(heartbeat.token)
        }
    }
}
