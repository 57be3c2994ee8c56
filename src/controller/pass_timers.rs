//! Timers of the leader's periodic work: sweeps, scheduling passes and rounds.

use tokio::time::{Duration, Instant};

use super::state_service::StateService;

/// The time from the end of a tick to the next pass, as a multiple of the tick's duration. So
/// passes take at most an eighth of the time, and the rest is left for heartbeats, responses
/// and the renewal of the leader lease.
const PASS_INTERVAL_FACTOR: u32 = 8;

/// What a scheduling pass decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PassKind {
    /// On which machines tasks run.
    Placement,
    /// On which machines tasks run, and the widths of arrays.
    Round,
}

/// The instants from which sweeps, passes and rounds are due.
///
/// A sweep goes over all machines and jobs for changes that need no event, such as expired
/// leases. A pass schedules tasks. A round is a pass that also sets the widths of arrays; rounds
/// are less frequent than other passes.
pub(super) struct PassTimers {
    next_round: Instant,
    next_sweep: Instant,
    next_pass: Instant,
    round_requested: bool,
    /// A change that the next pass has to consider was recorded since the last pass.
    changed: bool,
    /// Such a change was recorded since the last tick began, by something other than the tick.
    needs_tick: bool,
}

impl PassTimers {
    /// Returns timers by which a sweep and a round are due immediately.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            next_round: now,
            next_sweep: now,
            next_pass: now,
            round_requested: true,
            changed: true,
            needs_tick: true,
        }
    }

    /// Records a change that the next pass has to consider, and requests a tick before the next
    /// sweep.
    pub(super) fn record_change(&mut self) {
        self.changed = true;
        self.needs_tick = true;
    }

    /// Records a change that a tick makes and that the next pass has to consider. No further tick
    /// is requested, since the same tick may make that pass.
    pub(super) fn record_change_within_tick(&mut self) {
        self.changed = true;
    }

    /// Requests a round for the time when the interval since the last round has passed.
    pub(super) fn request_round(&mut self) {
        self.round_requested = true;
    }

    /// Records that a tick begins, which meets earlier requests for one.
    pub(super) fn begin_tick(&mut self) {
        self.needs_tick = false;
    }

    /// Whether something changed since the last tick that should not wait for the next sweep.
    pub(super) fn needs_tick(&self) -> bool {
        self.needs_tick
    }

    /// Returns when the next tick is due if no event requests one earlier.
    pub(super) fn next_tick(&self, state_service: StateService) -> Instant {
        // No pass is made while the state service is unavailable.
        if self.changed && state_service == StateService::Available {
            self.next_sweep.min(self.next_pass)
        } else {
            self.next_sweep
        }
    }

    /// Returns whether a sweep is due, and if so schedules the next one after `interval`.
    pub(super) fn take_sweep(&mut self, now: Instant, interval: Duration) -> bool {
        let due = now >= self.next_sweep;
        if due {
            self.next_sweep = now + interval;
        }
        due
    }

    /// Returns the kind of the pass that is due now, if one is, and marks all recorded changes as
    /// considered. Without a requested round, one is due if `has_waiting_jobs` returns true.
    pub(super) fn take_pass(
        &mut self,
        now: Instant,
        has_waiting_jobs: impl FnOnce() -> bool,
    ) -> Option<PassKind> {
        if now < self.next_pass {
            return None;
        }
        let round = now >= self.next_round && (self.round_requested || has_waiting_jobs());
        let changed = std::mem::take(&mut self.changed);
        if round {
            return Some(PassKind::Round);
        }
        changed.then_some(PassKind::Placement)
    }

    /// Records that a round begins. The next one is due after `interval` at the earliest.
    pub(super) fn begin_round(&mut self, now: Instant, interval: Duration) {
        self.round_requested = false;
        self.next_round = now + interval;
    }

    /// Records how long a tick took, and delays the next pass in proportion. So passes leave time
    /// for heartbeats however large the fleet is.
    pub(super) fn record_tick_duration(&mut self, now: Instant, duration: Duration) {
        self.next_pass = now + duration * PASS_INTERVAL_FACTOR;
    }
}

#[cfg(test)]
mod tests;
