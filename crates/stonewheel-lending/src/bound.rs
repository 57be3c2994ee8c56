//! The bound on how long a claim inside its guarantee waits.

use stonewheel_coordination::ADOPTION_DELAY_DIVISOR;
use tokio::time::Duration;

use crate::{
    backoff::longest_pause,
    settings::{LendingSettings, Times},
};

/// The claim, the halt's acknowledgement, the end and the release are each seen within
/// one probe interval.
const PROBES: u32 = 4;
/// Request, release and grant are each one write.
const WRITES: u32 = 3;
/// Halt, end, return of a silent machine, start.
const ORDERS: u32 = 4;
/// The new holder probes once before it adopts and once before it plans.
const TAKEOVER_PROBES: u32 = 2;

/// Bounds that follow from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// From a claim inside its guarantee to its start, while one holder acts.
    pub reclaim: Duration,
    /// How much longer it takes when the holder is lost meanwhile.
    pub takeover: Duration,
}

impl Bounds {
    /// `session`: how long a controller's session outlives its last renewal.
    /// `state_timeout`: how long a write may take. `members`: controllers.
    pub fn of(
        settings: &LendingSettings,
        session: Duration,
        state_timeout: Duration,
        members: u32,
    ) -> Self {
        let times = &settings.times;
        let takeover = session
            + session / ADOPTION_DELAY_DIVISOR * members
            + times.probe_interval() * TAKEOVER_PROBES
            + state_timeout;
        Self { reclaim: reclaim(times, state_timeout), takeover }
    }
}

fn reclaim(times: &Times, state_timeout: Duration) -> Duration {
    let seen = times.probe_interval() * PROBES;
    let written = state_timeout * WRITES;
    let ordered = times.order_timeout() * ORDERS + longest_pause(times);
    let saved = times.spread() + times.grace_period();
    seen + written + ordered + saved + times.worker_lease()
}
