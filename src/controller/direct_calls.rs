//! Direct requests to workers: which machines wait for one, and which are in flight.

use std::collections::{BTreeSet, VecDeque};

use crate::protocol::MachineId;

/// Machines with commands that should not wait for their next heartbeat, and the requests
/// in flight. Invariant: a machine waits only once.
#[derive(Default)]
pub(super) struct DirectCalls {
    /// The machines that wait, the longest waiting first: calls may be fewer than machines.
    waiting: VecDeque<MachineId>,
    queued: BTreeSet<MachineId>,
    in_flight: BTreeSet<u64>,
    /// How many requests were sent in this term.
    request_count: u64,
}

impl DirectCalls {
    /// Adds a machine, unless it waits already.
    pub(super) fn push(&mut self, machine: MachineId) {
        if self.queued.insert(machine.clone()) {
            self.waiting.push_back(machine);
        }
    }

    /// Takes the machine that has waited longest.
    pub(super) fn pop(&mut self) -> Option<MachineId> {
        let machine = self.waiting.pop_front()?;
        self.queued.remove(&machine);
        Some(machine)
    }

    /// The number of machines that wait.
    pub(super) fn waiting_machines(&self) -> usize {
        self.waiting.len()
    }

    /// The number of requests in flight.
    pub(super) fn calls_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// A request leaves: returns its id.
    pub(super) fn begin(&mut self) -> u64 {
        self.request_count += 1;
        self.in_flight.insert(self.request_count);
        self.request_count
    }

    /// The outcome of a request is known.
    pub(super) fn finish(&mut self, request: u64) {
        self.in_flight.remove(&request);
    }
}
