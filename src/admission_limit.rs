//! An adaptive limit on users' requests in progress. The limit grows while requests are
//! fast and shrinks when they are slow.
//!
//! Workers' heartbeats are not subject to the limit. Under overload only users' requests
//! are refused, immediately and with a time after which to retry.

use std::sync::{Arc, Mutex};

use hdrhistogram::Histogram;
use tokio::time::{Duration, Instant};

use crate::state::lock;

/// The number of measured requests after which the limit is adjusted.
const WINDOW_REQUESTS: u64 = 16;

/// The limit never falls below this many requests.
const MIN_LIMIT: f64 = 2.0;

/// The initial limit as a share of the ceiling.
const INITIAL_SHARE: f64 = 0.25;

/// The quantile of the measured latencies that is compared with the target.
const MEASURED_QUANTILE: f64 = 0.9;

/// The factor by which the limit is multiplied after a window above the target.
const DECREASE_FACTOR: f64 = 0.75;

/// The number of requests by which the limit grows after a window within the target.
const INCREASE_STEP: f64 = 2.0;

/// Latencies outside these bounds, in milliseconds, are recorded as the nearer bound.
const MIN_MEASURED_MS: u64 = 1;
const MAX_MEASURED_MS: u64 = 60_000;

/// A limit on requests in progress with additive increase and multiplicative decrease.
pub struct AdmissionLimit {
    inner: Mutex<Inner>,
    /// A latency above this is a sign of overload.
    target_latency: Duration,
    /// The limit never exceeds this many requests.
    ceiling: f64,
}

struct Inner {
    limit: f64,
    in_progress: usize,
    /// The latencies of the current window, in milliseconds.
    latencies_ms: Histogram<u32>,
}

impl AdmissionLimit {
    /// Creates a limit of at most `ceiling` requests. `target_latency`: a higher latency is a
    /// sign of overload.
    pub fn new(target_latency: Duration, ceiling: usize) -> Arc<Self> {
        // Creating a histogram can't fail with one significant digit and these bounds.
        let latencies_ms = Histogram::new_with_bounds(MIN_MEASURED_MS, MAX_MEASURED_MS, 1)
            .or_else(|_| Histogram::new(1))
            .unwrap_or_else(|_| unreachable!("constant bounds are valid"));
        Arc::new(Self {
            inner: Mutex::new(Inner {
                limit: ceiling as f64 * INITIAL_SHARE,
                in_progress: 0,
                latencies_ms,
            }),
            target_latency,
            ceiling: ceiling as f64,
        })
    }

    /// Returns a permit for one request. None if the limit is reached, in which case the
    /// caller refuses the request.
    pub fn try_acquire(self: &Arc<Self>) -> Option<Permit> {
        let mut inner = lock(&self.inner);
        if inner.in_progress >= inner.limit as usize {
            return None;
        }
        inner.in_progress += 1;
        Some(Permit { limit: self.clone(), started_at: Instant::now(), records_latency: false })
    }

    /// Returns the number of requests that may be in progress at present.
    pub fn limit(&self) -> usize {
        lock(&self.inner).limit as usize
    }

    /// Records the latency of a request, and adjusts the limit at the end of a window.
    fn record_latency(&self, latency: Duration) {
        let mut inner = lock(&self.inner);
        let _ = inner.latencies_ms.record(clamped_ms(latency));
        if inner.latencies_ms.len() < WINDOW_REQUESTS {
            return;
        }
        let measured_ms = inner.latencies_ms.value_at_quantile(MEASURED_QUANTILE);
        inner.latencies_ms.reset();
        let target_ms = self.target_latency.as_millis() as u64;
        if measured_ms > target_ms {
            // With multiplicative decrease and additive increase, limits that share a
            // bottleneck converge to fair shares.
            inner.limit = (inner.limit * DECREASE_FACTOR).max(MIN_LIMIT);
        } else if inner.in_progress as f64 * 2.0 >= inner.limit {
            // While less than half of the limit is in use, a higher limit has no effect.
            inner.limit = (inner.limit + INCREASE_STEP).min(self.ceiling);
        }
    }
}

/// A permit for one request in progress. Dropping it ends the request.
pub struct Permit {
    limit: Arc<AdmissionLimit>,
    started_at: Instant,
    /// Whether the latency is recorded on drop.
    records_latency: bool,
}

impl Permit {
    /// Ends a request that was served, and records its latency.
    pub fn finish(mut self) {
        self.records_latency = true;
    }

    /// Ends a request that was refused for another reason, without recording its latency.
    pub fn discard(self) {}
}

impl Drop for Permit {
    fn drop(&mut self) {
        lock(&self.limit.inner).in_progress -= 1;
        if self.records_latency {
            self.limit.record_latency(self.started_at.elapsed());
        }
    }
}

/// A latency in milliseconds, limited to the bounds of the histogram.
fn clamped_ms(latency: Duration) -> u64 {
    let ms = u64::try_from(latency.as_millis()).unwrap_or(u64::MAX);
    ms.clamp(MIN_MEASURED_MS, MAX_MEASURED_MS)
}

#[cfg(test)]
mod tests;
