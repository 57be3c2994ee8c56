//! Coordinators of controllers, over the in-memory state service.

use std::{sync::Arc, time::Duration};

use stonewheel_coordination::{Coordinator, Owner, Store, Timing};
use stonewheel_state::{Budget, Writer, WriterLimits};
use tokio_util::sync::CancellationToken;

use crate::MemState;

/// Writes per second that one controller may make.
const WRITES_PER_S: f64 = 60.0;
/// Requests per second that one controller may make.
const REQUESTS_PER_S: f64 = 100.0;

/// Starts the coordinator of one process of controller `index` out of `size` controllers. The
/// state service sees its calls as those of `client`. The coordinator runs until `stop` is
/// cancelled.
pub fn spawn_coordinator(
    state: &MemState,
    client: &str,
    (index, size): (usize, usize),
    incarnation: u64,
    timing: Timing,
    stop: &CancellationToken,
) -> Arc<Coordinator> {
    let api = state.client(client);
    let limits = WriterLimits {
        controller_writes_per_s: WRITES_PER_S,
        service_writes_per_s: WRITES_PER_S,
        transaction_writes: 24,
        transaction_conditions: 96,
        timeout: timing.state_timeout,
    };
    let requests = Arc::new(Budget::new(REQUESTS_PER_S));
    let writer = Arc::new(Writer::new(api.clone(), limits, requests.clone()));
    tokio::spawn(writer.clone().run(stop.clone()));
    let coordinator = Coordinator::new(
        Owner { member: format!("m-{index}"), incarnation },
        (0..size).map(|index| format!("m-{index}")).collect(),
        timing,
        Store::new(api, requests, writer),
    );
    tokio::spawn(coordinator.clone().run(stop.clone()));
    coordinator
}

/// Returns the timing of a controller under paused time, with the given session lifetime.
pub fn timing(session_ttl: Duration) -> Timing {
    Timing { session_ttl, state_timeout: Duration::from_secs(1) }
}
