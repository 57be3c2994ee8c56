//! When an order that failed is tried again: later each time, within a bound, and not
//! all machines at the same moment.

use rand::{RngExt, rngs::StdRng};
use tokio::time::{Duration, Instant};

use crate::settings::Times;

/// The first pause is this part of the probe interval.
const FIRST_PAUSE_DIVISOR: u32 = 4;
/// No pause is longer than so many probe intervals.
const MAX_PAUSE_INTERVALS: u32 = 4;
/// A pause is drawn from this share of its length up to all of it.
const MIN_PAUSE_SHARE: f64 = 0.5;

/// The longest pause between two tries.
pub(crate) fn max_pause(times: &Times) -> Duration {
    times.probe_interval() * MAX_PAUSE_INTERVALS
}

/// The tries of one order.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    failures: u32,
    next_at: Instant,
}

impl Backoff {
    /// Nothing failed yet.
    pub fn new(now: Instant) -> Self {
        Self { failures: 0, next_at: now }
    }

    /// Whether the next try is due.
    pub fn due(&self, now: Instant) -> bool {
        now >= self.next_at
    }

    /// Records a failure.
    pub fn failed(&mut self, now: Instant, times: &Times, rng: &mut StdRng) {
        let factor = 2_u32.saturating_pow(self.failures);
        let pause = (times.probe_interval() / FIRST_PAUSE_DIVISOR)
            .saturating_mul(factor)
            .min(max_pause(times));
        self.failures += 1;
        self.next_at = now + pause.mul_f64(rng.random_range(MIN_PAUSE_SHARE..=1.0));
    }
}
