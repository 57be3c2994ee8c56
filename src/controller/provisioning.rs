//! Requests to the cloud for machines, and machines to be returned to it.

use std::collections::{HashMap, VecDeque};

use tokio::time::{Duration, Instant};

use crate::{
    cloud::{MAX_DELETED_MACHINES, MAX_PROVISIONED_MACHINES},
    protocol::{MachineId, ProvisionRequest},
    scheduler::MachineKind,
};

/// Provisioning requests that wait or are in flight. Invariant: there is at most one
/// request per kind of machine at a time, since its answer changes what is needed.
#[derive(Default)]
pub(super) struct Provisioning {
    requested: Vec<ProvisionRequest>,
    in_flight: Vec<ProvisionRequest>,
    /// How many requests were made in this term.
    request_count: u64,
    /// Kinds of which the cloud has no more: not asked for again before then.
    exhausted: HashMap<MachineKind, Instant>,
    /// Machines to be returned.
    deletions: Vec<MachineId>,
}

impl Provisioning {
    /// Requests machines of one kind, unless such a request is on its way already. The
    /// fencing token is this leadership's alone, so no request's name is used twice.
    pub(super) fn request(
        &mut self,
        token: u64,
        mut request: ProvisionRequest,
    ) -> Option<&ProvisionRequest> {
        let same_kind = |other: &ProvisionRequest| {
            other.machine_type == request.machine_type
                && other.zone == request.zone
                && other.spot == request.spot
        };
        if self.requested.iter().chain(&self.in_flight).any(same_kind) {
            return None;
        }
        self.request_count += 1;
        request.request = format!("r-{token}-{}", self.request_count);
        request.count = request.count.min(MAX_PROVISIONED_MACHINES);
        self.requested.push(request);
        self.requested.last()
    }

    /// The requests that wait; they are in flight from now on.
    pub(super) fn take_requests(&mut self) -> Vec<ProvisionRequest> {
        let requests = std::mem::take(&mut self.requested);
        self.in_flight.extend(requests.iter().cloned());
        requests
    }

    /// The cloud answered a request.
    pub(super) fn finish(&mut self, request: &ProvisionRequest) {
        self.in_flight.retain(|other| other.request != request.request);
    }

    /// The cloud has no more of a kind for now.
    pub(super) fn mark_exhausted(&mut self, kind: MachineKind, until: Instant) {
        self.exhausted.insert(kind, until);
    }

    /// The kinds of which the cloud has no more.
    pub(super) fn exhausted(&mut self, now: Instant) -> Vec<MachineKind> {
        self.exhausted.retain(|_, until| *until > now);
        self.exhausted.keys().copied().collect()
    }

    /// Machines are to be returned.
    pub(super) fn request_deletion(&mut self, machines: impl IntoIterator<Item = MachineId>) {
        self.deletions.extend(machines);
    }

    /// The machines to return next, as many as one call to the cloud takes.
    pub(super) fn take_deletions(&mut self) -> Vec<MachineId> {
        let count = self.deletions.len().min(MAX_DELETED_MACHINES);
        self.deletions.drain(..count).collect()
    }
}

/// The load of work that may use spot machines, over the last boot time.
#[derive(Default)]
pub(super) struct SpotLoadHistory {
    loads: VecDeque<LoadSample>,
}

struct LoadSample {
    at: Instant,
    /// The load in machines.
    load: f64,
}

impl SpotLoadHistory {
    /// Records the load now, and forgets what is older than `window`.
    pub(super) fn record(&mut self, load: f64, window: Duration, now: Instant) {
        self.loads.push_back(LoadSample { at: now, load });
        while self.loads.front().is_some_and(|oldest| now > oldest.at + window) {
            self.loads.pop_front();
        }
    }

    /// The oldest recorded load.
    pub(super) fn oldest(&self) -> Option<f64> {
        self.loads.front().map(|sample| sample.load)
    }
}

#[cfg(test)]
mod tests;
