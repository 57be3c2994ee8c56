//! The bounds on how long a claim inside its guarantee waits for its machines.

use stonewheel_coordination::ADOPTION_DELAY_DIVISOR;
use tokio::time::Duration;

use crate::{
    backoff::max_pause,
    settings::{LendingSettings, Times},
};

/// Probe intervals per reclaim: the claim, the acknowledgement of the halt, the end of the work and
/// the release are each observed within one.
const PROBES_PER_RECLAIM: u32 = 4;
/// Writes per reclaim: request, release and grant.
const WRITES_PER_RECLAIM: u32 = 3;
/// Calls to machines per reclaim: halt, termination, return of an unreachable machine, and start.
const CALLS_PER_RECLAIM: u32 = 4;
/// Probe intervals per takeover: the new holder probes once before it acquires the
/// ledger and once before it plans.
const PROBES_PER_TAKEOVER: u32 = 2;

/// Bounds that follow from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The time from the submission of a claim inside its guarantee to the start of its work, while
    /// the holder of the ledger doesn't change.
    pub reclaim: Duration,
    /// The additional time if the holder fails meanwhile.
    pub takeover: Duration,
}

impl Bounds {
    /// Computes the bounds. `session`: how long a controller's session stays valid after its last
    /// renewal. `state_timeout`: how long a write may take. `members`: the number of controllers.
    pub fn of(
        settings: &LendingSettings,
        session: Duration,
        state_timeout: Duration,
        members: u32,
    ) -> Self {
        let times = &settings.times;
        let takeover = session
            + session / ADOPTION_DELAY_DIVISOR * members
            + times.probe_interval() * PROBES_PER_TAKEOVER
            + state_timeout;
        Self { reclaim: reclaim(times, state_timeout), takeover }
    }
}

fn reclaim(times: &Times, state_timeout: Duration) -> Duration {
    let probing = times.probe_interval() * PROBES_PER_RECLAIM;
    let writing = state_timeout * WRITES_PER_RECLAIM;
    let calling = times.command_timeout() * CALLS_PER_RECLAIM + max_pause(times);
    let saving = times.halt_spread() + times.grace_period();
    probing + writing + calling + saving + times.worker_lease()
}
