//! A limit on users' requests in progress that adjusts itself to measured
//! times: it grows while requests are quick and shrinks when they are slow.
//!
//! Workers' reports don't pass through it; under overload it is users'
//! requests that are refused, early and with a time to come back.

use std::sync::{Arc, Mutex};

use hdrhistogram::Histogram;
use tokio::time::{Duration, Instant};

use crate::state::lock;

pub struct AdmissionLimit {
    inner: Mutex<Inner>,
    /// Requests slower than this are a sign of overload.
    target: Duration,
    floor: f64,
    ceiling: f64,
}

struct Inner {
    limit: f64,
    in_progress: usize,
    /// Times in milliseconds since the limit last moved.
    times: Histogram<u32>,
}

/// Measured requests before the limit moves.
const WINDOW: u64 = 16;

impl AdmissionLimit {
    pub fn new(target: Duration, ceiling: usize) -> Arc<Self> {
        // Three digits of a minute in milliseconds always make a histogram.
        let times = Histogram::new_with_bounds(1, 60_000, 1)
            .or_else(|_| Histogram::new(1))
            .unwrap_or_else(|_| unreachable!("constant bounds are valid"));
        Arc::new(Self {
            inner: Mutex::new(Inner { limit: ceiling as f64 / 4.0, in_progress: 0, times }),
            target,
            floor: 2.0,
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
        Some(Permit { limit: self.clone(), since: Instant::now(), measured: false })
    }

    pub fn limit(&self) -> usize {
        lock(&self.inner).limit as usize
    }

    fn measure(&self, took: Duration) {
        let mut inner = lock(&self.inner);
        let _ = inner.times.record(took.as_millis().clamp(1, 60_000) as u64);
        if inner.times.len() < WINDOW {
            return;
        }
        let slow = inner.times.value_at_quantile(0.9);
        inner.times.reset();
        let target = self.target.as_millis() as u64;
        if slow > target {
            // Multiplicative decrease, additive increase: settles fairly.
            inner.limit = (inner.limit * 0.75).max(self.floor);
        } else if inner.in_progress as f64 * 2.0 >= inner.limit {
            // Only a limit that is nearly reached has reason to grow.
            inner.limit = (inner.limit + 2.0).min(self.ceiling);
        }
    }
}

pub struct Permit {
    limit: Arc<AdmissionLimit>,
    since: Instant,
    measured: bool,
}

impl Permit {
    /// The request was served: its time counts.
    pub fn finish(mut self) {
        self.measured = true;
    }

    /// The request was refused for other reasons: its time says nothing.
    pub fn discard(self) {}
}

impl Drop for Permit {
    fn drop(&mut self) {
        lock(&self.limit.inner).in_progress -= 1;
        if self.measured {
            self.limit.measure(self.since.elapsed());
        }
    }
}

#[cfg(test)]
mod tests;
