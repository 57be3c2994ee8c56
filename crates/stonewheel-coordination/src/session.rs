//! A controller's session: a key attached to a lease, as in etcd. Others see it end
//! when the lease expires or is revoked.

use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

use crate::PREFIX;

/// Clocks drift apart, so a lease counts for this part of its time here.
const DRIFT_ALLOWANCE: f64 = 0.99;

/// The key of a controller's session.
pub fn session_key(member: &str) -> String {
    format!("{PREFIX}c/{member}")
}

/// One process of a controller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The controller's name.
    pub member: String,
    /// Drawn at random at each start, so that a process isn't taken for its predecessor.
    pub incarnation: u64,
}

/// The record of a controller's session, attached to its lease: proof that the process
/// is alive.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Session {
    /// Which process of the controller holds it.
    pub incarnation: u64,
}

/// Durations that follow from the settings of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long a controller's session outlives its last renewal.
    pub session_ttl: Duration,
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
    /// Until then the lease certainly holds.
    pub valid_until: Instant,
}

/// Until when a lease certainly holds that was granted or renewed by a request that
/// was sent at `sent_at`.
pub(crate) fn valid_until(sent_at: Instant, ttl: Duration) -> Instant {
    sent_at + ttl.mul_f64(DRIFT_ALLOWANCE)
}
