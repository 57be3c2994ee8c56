//! When the leader's periodic work is due: sweeps, scheduling passes and rounds.

use tokio::time::{Duration, Instant};

use super::state_service::StateService;

/// A pass may take up to one in so many parts of the time: the rest is for
/// heartbeats, answers and the renewal of the lease.
const PASS_PARTS: u32 = 8;

/// What a scheduling pass decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PassKind {
    /// Where tasks run.
    Placement,
    /// The widths of arrays as well.
    Round,
}

/// When sweeps, passes and rounds are due.
///
/// A sweep goes over all machines and jobs for what time alone brings. A pass schedules;
/// rounds are passes that are made less often.
pub(super) struct PassTimers {
    next_round: Instant,
    next_sweep: Instant,
    next_pass: Instant,
    round_requested: bool,
    /// Something changed that the next pass has to consider.
    changed: bool,
    /// The same since the last tick.
    needs_tick: bool,
}

impl PassTimers {
    /// All is due now.
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

    /// Something changed that the next pass has to consider, soon.
    pub(super) fn record_change(&mut self) {
        self.changed = true;
        self.needs_tick = true;
    }

    /// The same within a tick, which may make that pass itself.
    pub(super) fn record_change_within_tick(&mut self) {
        self.changed = true;
    }

    /// The next round is due as soon as its time has come.
    pub(super) fn request_round(&mut self) {
        self.round_requested = true;
    }

    /// A tick begins.
    pub(super) fn begin_tick(&mut self) {
        self.needs_tick = false;
    }

    /// Whether something happened since the last tick that should not wait for the
    /// next sweep.
    pub(super) fn needs_tick(&self) -> bool {
        self.needs_tick
    }

    /// When the next tick is due if nothing happens until then.
    pub(super) fn next_tick(&self, state_service: StateService) -> Instant {
        // While the state service is unavailable no pass is made.
        if self.changed && state_service == StateService::Available {
            self.next_sweep.min(self.next_pass)
        } else {
            self.next_sweep
        }
    }

    /// Whether a sweep is due. If so, the next one is due after `interval`.
    pub(super) fn take_sweep(&mut self, now: Instant, interval: Duration) -> bool {
        let due = now >= self.next_sweep;
        if due {
            self.next_sweep = now + interval;
        }
        due
    }

    /// The pass that is due now, if one is; it takes in all changes before it.
    /// `jobs_wait` is only asked if no round was requested.
    pub(super) fn take_pass(
        &mut self,
        now: Instant,
        jobs_wait: impl FnOnce() -> bool,
    ) -> Option<PassKind> {
        if now < self.next_pass {
            return None;
        }
        let round = now >= self.next_round && (self.round_requested || jobs_wait());
        let changed = std::mem::take(&mut self.changed);
        if round {
            return Some(PassKind::Round);
        }
        changed.then_some(PassKind::Placement)
    }

    /// A round begins; the next one is due after `interval` at the earliest.
    pub(super) fn begin_round(&mut self, now: Instant, interval: Duration) {
        self.round_requested = false;
        self.next_round = now + interval;
    }

    /// A tick took this long: the next pass keeps its distance, so that passes never
    /// crowd out heartbeats, however large the fleet.
    pub(super) fn record_tick_duration(&mut self, now: Instant, duration: Duration) {
        self.next_pass = now + duration * PASS_PARTS;
    }
}

#[cfg(test)]
mod tests;
