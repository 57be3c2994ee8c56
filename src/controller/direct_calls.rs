//! The queue of machines that wait for a direct request, and the requests in flight.

use std::collections::{BTreeSet, VecDeque};

use crate::protocol::MachineId;

/// The queue of machines whose commands should not wait for their next heartbeat, and the
/// direct requests in flight. Invariant: a machine is in the queue at most once.
#[derive(Default)]
pub(super) struct DirectCalls {
    /// The machines in the queue, the longest waiting first. Machines wait while the limit on
    /// requests in flight is reached.
    queue: VecDeque<MachineId>,
    /// The same machines, for look-ups.
    queued: BTreeSet<MachineId>,
    /// The ids of the requests in flight.
    in_flight: BTreeSet<u64>,
    /// The number of requests sent in this term, which is also the id of the latest one.
    request_count: u64,
}

impl DirectCalls {
    /// Adds a machine to the queue, unless it is queued already.
    pub(super) fn push(&mut self, machine: MachineId) {
        if self.queued.insert(machine.clone()) {
            self.queue.push_back(machine);
        }
    }

    /// Removes and returns the machine that has waited longest.
    pub(super) fn pop(&mut self) -> Option<MachineId> {
        let machine = self.queue.pop_front()?;
        self.queued.remove(&machine);
        Some(machine)
    }

    /// Returns the number of machines in the queue.
    pub(super) fn waiting_machines(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests in flight.
    pub(super) fn requests_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Records that a request is sent, and returns its id.
    pub(super) fn begin(&mut self) -> u64 {
        self.request_count += 1;
        self.in_flight.insert(self.request_count);
        self.request_count
    }

    /// Records that a request is no longer in flight.
    pub(super) fn finish(&mut self, request_id: u64) {
        self.in_flight.remove(&request_id);
    }
}
