//! A limit on users' requests in progress that adjusts itself to measured
//! times: it grows while requests are quick and shrinks when they are slow.
//!
//! Workers' heartbeats don't pass through it; under overload it is users'
//! requests that are refused, early and with a time to retry.

use std::sync::{Arc, Mutex};

use hdrhistogram::Histogram;
use tokio::time::{Duration, Instant};

use crate::state::lock;

/// Measured requests before the limit changes.
const WINDOW: u64 = 16;

/// The limit never falls below this many requests.
const MIN_LIMIT: f64 = 2.0;

/// The share of the ceiling with which the limit begins.
const INITIAL_SHARE: f64 = 0.25;

/// The quantile of the measured times that is compared with the target.
const MEASURED_QUANTILE: f64 = 0.9;

/// The factor by which the limit shrinks after a slow window.
const DECREASE_FACTOR: f64 = 0.75;

/// The requests by which the limit grows after a quick window.
const INCREASE: f64 = 2.0;

/// Measured times are counted between these bounds, in milliseconds.
const MIN_MEASURED_MS: u64 = 1;
const MAX_MEASURED_MS: u64 = 60_000;

/// A limit on requests in progress, which follows additive increase and multiplicative
/// decrease.
pub struct AdmissionLimit {
    inner: Mutex<Inner>,
    /// Requests slower than this are a sign of overload.
    target: Duration,
    ceiling: f64,
}

struct Inner {
    limit: f64,
    in_progress: usize,
    /// Times in milliseconds since the limit last changed.
    times: Histogram<u32>,
}

impl AdmissionLimit {
    /// A limit of at most `ceiling` requests. `target`: requests that take longer are a
    /// sign of overload.
    pub fn new(target: Duration, ceiling: usize) -> Arc<Self> {
        // One significant digit between these bounds always makes a histogram.
        let times = Histogram::new_with_bounds(MIN_MEASURED_MS, MAX_MEASURED_MS, 1)
            .or_else(|_| Histogram::new(1))
            .unwrap_or_else(|_| unreachable!("constant bounds are valid"));
        Arc::new(Self {
            inner: Mutex::new(Inner {
                limit: ceiling as f64 * INITIAL_SHARE,
                in_progress: 0,
                times,
            }),
            target,
            ceiling: ceiling as f64,
        })
    }

    /// A permit for one request, or none: refuse it now.
    pub fn enter(self: &Arc<Self>) -> Option<Permit> {
        let mut inner = lock(&self.inner);
        if inner.in_progress >= inner.limit as usize {
            return None;
        }
        inner.in_progress += 1;
        Some(Permit { limit: self.clone(), entered_at: Instant::now(), is_measured: false })
    }

    /// The requests that may be in progress at present.
    pub fn limit(&self) -> usize {
        lock(&self.inner).limit as usize
    }

    fn measure(&self, took: Duration) {
        let mut inner = lock(&self.inner);
        let _ = inner.times.record(measured_ms(took));
        if inner.times.len() < WINDOW {
            return;
        }
        let slow = inner.times.value_at_quantile(MEASURED_QUANTILE);
        inner.times.reset();
        let target = self.target.as_millis() as u64;
        if slow > target {
            // Multiplicative decrease, additive increase: settles fairly.
            inner.limit = (inner.limit * DECREASE_FACTOR).max(MIN_LIMIT);
        } else if inner.in_progress as f64 * 2.0 >= inner.limit {
            // Only a limit that is nearly reached has reason to grow.
            inner.limit = (inner.limit + INCREASE).min(self.ceiling);
        }
    }
}

/// The right of one request to be in progress, until it is dropped.
pub struct Permit {
    limit: Arc<AdmissionLimit>,
    entered_at: Instant,
    is_measured: bool,
}

impl Permit {
    /// The request was served: its time counts.
    pub fn finish(mut self) {
        self.is_measured = true;
    }

    /// The request was refused for other reasons: its time is not measured.
    pub fn discard(self) {}
}

impl Drop for Permit {
    fn drop(&mut self) {
        lock(&self.limit.inner).in_progress -= 1;
        if self.is_measured {
            self.limit.measure(self.entered_at.elapsed());
        }
    }
}

fn measured_ms(took: Duration) -> u64 {
    let ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
    ms.clamp(MIN_MEASURED_MS, MAX_MEASURED_MS)
}

#[cfg(test)]
mod tests;
