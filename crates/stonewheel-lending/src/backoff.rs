//! Back-off of failed calls to a machine: exponential pauses up to a maximum, with jitter so that
//! not all machines are called again at the same moment.

use rand::{RngExt, rngs::StdRng};
use tokio::time::{Duration, Instant};

use crate::settings::Times;

/// The first pause is the probe interval divided by this.
const FIRST_PAUSE_DIVISOR: u32 = 4;
/// The maximum pause, in probe intervals.
const MAX_PAUSE_INTERVALS: u32 = 4;
/// Jitter: a pause is drawn between this share of its length and its full length.
const MIN_PAUSE_SHARE: f64 = 0.5;

/// Returns the maximum pause between two attempts.
pub(crate) fn max_pause(times: &Times) -> Duration {
    times.probe_interval() * MAX_PAUSE_INTERVALS
}

/// The back-off state of the calls to one machine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    failures: u32,
    next_at: Instant,
}

impl Backoff {
    /// Creates the state before any failure: the first attempt is due immediately.
    pub fn new(now: Instant) -> Self {
        Self { failures: 0, next_at: now }
    }

    /// Whether the next attempt is due.
    pub fn due(&self, now: Instant) -> bool {
        now >= self.next_at
    }

    /// Records a failed attempt, and schedules the next one.
    pub fn failed(&mut self, now: Instant, times: &Times, rng: &mut StdRng) {
        let factor = 2_u32.saturating_pow(self.failures);
        let pause = (times.probe_interval() / FIRST_PAUSE_DIVISOR)
            .saturating_mul(factor)
            .min(max_pause(times));
        self.failures += 1;
        self.next_at = now + pause.mul_f64(rng.random_range(MIN_PAUSE_SHARE..=1.0));
    }
}
