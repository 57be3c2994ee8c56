//! A controller's session: a key attached to a lease, which others see end.

use tokio::time::{Duration, Instant};

/// Clocks drift apart, so a lease counts for a little less than its time here.
const DRIFT: f64 = 0.99;

/// The session as this process holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeldSession {
    /// The lease that the session and the use markers are attached to.
    pub lease: u64,
    /// The version of the session's key.
    pub version: u64,
    /// Until then the lease surely stands.
    pub valid_until: Instant,
}

/// Until when a lease surely stands that was granted or renewed on a request that
/// left at `asked`.
pub(crate) fn valid_until(asked: Instant, ttl: Duration) -> Instant {
    asked + ttl.mul_f64(DRIFT)
}
