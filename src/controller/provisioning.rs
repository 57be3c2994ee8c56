//! Requests to the cloud for new machines, and machines to be returned to the cloud.

use std::collections::{HashMap, VecDeque};

use tokio::time::{Duration, Instant};

use crate::{
    cloud::{MAX_DELETED_MACHINES, MAX_PROVISIONED_MACHINES},
    protocol::{MachineId, ProvisionRequest},
    scheduler::MachineKind,
};

/// Provisioning requests that are queued or in flight, and deletions. Invariant: there is at
/// most one request per kind of machine at a time, since its answer changes the demand.
#[derive(Default)]
pub(super) struct Provisioning {
    /// Requests to be sent.
    queued: Vec<ProvisionRequest>,
    /// Requests that the cloud has not answered.
    in_flight: Vec<ProvisionRequest>,
    /// The number of requests made in this term.
    request_count: u64,
    /// The kinds of machine that the cloud has run out of, with the time before which they are
    /// not requested again.
    exhausted_until: HashMap<MachineKind, Instant>,
    /// Machines to be returned to the cloud.
    deletions: Vec<MachineId>,
}

impl Provisioning {
    /// Queues a request for machines of one kind and returns it. Returns None if a request for
    /// that kind is queued or in flight already. The request id contains the term's fencing
    /// token, so ids are unique across terms.
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
        if self.queued.iter().chain(&self.in_flight).any(same_kind) {
            return None;
        }
        self.request_count += 1;
        request.request = format!("r-{token}-{}", self.request_count);
        request.count = request.count.min(MAX_PROVISIONED_MACHINES);
        self.queued.push(request);
        self.queued.last()
    }

    /// Takes the queued requests, which are in flight from now on.
    pub(super) fn take_requests(&mut self) -> Vec<ProvisionRequest> {
        let requests = std::mem::take(&mut self.queued);
        self.in_flight.extend(requests.iter().cloned());
        requests
    }

    /// Records that the cloud has answered a request.
    pub(super) fn finish(&mut self, request: &ProvisionRequest) {
        self.in_flight.retain(|other| other.request != request.request);
    }

    /// Records that the cloud has run out of a kind of machine, which is not requested again
    /// before `until`.
    pub(super) fn mark_exhausted(&mut self, kind: MachineKind, until: Instant) {
        self.exhausted_until.insert(kind, until);
    }

    /// Returns the kinds of machine that are not requested now because the cloud ran out.
    pub(super) fn exhausted(&mut self, now: Instant) -> Vec<MachineKind> {
        self.exhausted_until.retain(|_, until| *until > now);
        self.exhausted_until.keys().copied().collect()
    }

    /// Queues machines to be returned to the cloud.
    pub(super) fn request_deletion(&mut self, machines: impl IntoIterator<Item = MachineId>) {
        self.deletions.extend(machines);
    }

    /// Takes the next machines to return, up to the limit of one call to the cloud.
    pub(super) fn take_deletions(&mut self) -> Vec<MachineId> {
        let count = self.deletions.len().min(MAX_DELETED_MACHINES);
        self.deletions.drain(..count).collect()
    }
}

/// The recent load of work that may use spot machines.
#[derive(Default)]
pub(super) struct SpotLoadHistory {
    samples: VecDeque<LoadSample>,
}

struct LoadSample {
    recorded_at: Instant,
    /// The load in machines.
    load: f64,
}

impl SpotLoadHistory {
    /// Records the current load, and drops the samples that are older than `window`.
    pub(super) fn record(&mut self, load: f64, window: Duration, now: Instant) {
        self.samples.push_back(LoadSample { recorded_at: now, load });
        while self.samples.front().is_some_and(|oldest| now > oldest.recorded_at + window) {
            self.samples.pop_front();
        }
    }

    /// Returns the oldest load within the window.
    pub(super) fn oldest(&self) -> Option<f64> {
        self.samples.front().map(|sample| sample.load)
    }
}

#[cfg(test)]
mod tests;
