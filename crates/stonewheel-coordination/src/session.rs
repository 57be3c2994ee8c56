//! A controller's session: a key attached to a lease, as in etcd. The key is deleted when
//! the lease expires or is revoked, which the other controllers observe.

use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

use crate::PREFIX;

/// The fraction of a lease's time to live for which its holder relies on it: the holder's
/// clock may run slower than the clock of the state service.
const DRIFT_FACTOR: f64 = 0.99;

/// The key of a controller's session.
pub fn session_key(member: &str) -> String {
    format!("{PREFIX}c/{member}")
}

/// One process of a controller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The controller's name.
    pub member: String,
    /// A random number drawn at each start, which distinguishes the process from earlier
    /// processes of the same controller.
    pub incarnation: u64,
}

/// The record of a controller's session. It is attached to the session's lease, so it shows
/// that the process renewed its lease within the lease's time to live.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Session {
    /// The incarnation of the process that holds the session.
    pub incarnation: u64,
}

/// Durations that are derived from the settings of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The time to live of a session's lease: how long a session outlasts its last renewal.
    pub session_ttl: Duration,
    /// The time-out of one call to the state service.
    pub state_timeout: Duration,
}

/// A session that this process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldSession {
    /// The lease that the session's key is attached to. Other keys that are to end with the
    /// session are attached to it too.
    pub lease: u64,
    /// The version of the session's key.
    pub version: u64,
    /// The instant until which the lease has certainly not expired.
    pub valid_until: Instant,
}

/// Returns the instant until which a lease has certainly not expired if it was granted or
/// renewed by a request that was sent at `sent_at`.
pub(crate) fn valid_until(sent_at: Instant, ttl: Duration) -> Instant {
    sent_at + ttl.mul_f64(DRIFT_FACTOR)
}
