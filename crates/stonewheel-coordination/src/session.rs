//! A controller's session: a key attached to a lease, which others see end.

use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

use crate::PREFIX;

/// Clocks drift apart, so a lease counts for a little less than its time here.
const DRIFT: f64 = 0.99;

/// The key of a controller's session.
pub fn session_key(member: &str) -> String {
    format!("{PREFIX}c/{member}")
}

/// One process of a controller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The controller's name.
    pub member: String,
    /// Drawn at each start, so that a process isn't taken for its predecessor.
    pub incarnation: u64,
}

/// A controller's proof of life, attached to its lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Session {
    /// Which process of the controller holds it.
    pub incarnation: u64,
}

/// What follows from the settings of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long a controller's session outlives its last renewal.
    pub session: Duration,
    /// How long one call to the state service may take.
    pub state_timeout: Duration,
}

/// The session as this process holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldSession {
    /// The lease that the session is attached to, and what else ends with it.
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
