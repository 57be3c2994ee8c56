//! A controller's coordination over the state service in memory.

use std::{sync::Arc, time::Duration};

use stonewheel_coordination::{Coordinator, Owner, Store, Timing};
use stonewheel_state::{Budget, Writer, WriterLimits};
use tokio_util::sync::CancellationToken;

use crate::MemState;

/// Changes a second that one controller may make.
const WRITES_PER_S: f64 = 60.0;
/// Requests a second that one controller may make.
const REQUESTS_PER_S: f64 = 100.0;

/// One process of controller `at` of `size`, whose calls are known as `client`. It runs
/// until told to stop.
pub fn spawn_coordinator(
    state: &MemState,
    client: &str,
    (at, size): (usize, usize),
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
        Owner { member: format!("m-{at}"), incarnation },
        (0..size).map(|at| format!("m-{at}")).collect(),
        timing,
        Store::new(api, requests, writer),
    );
    tokio::spawn(coordinator.clone().run(stop.clone()));
    coordinator
}

/// The usual times of a controller under paused time.
pub fn timing(session: Duration) -> Timing {
    Timing { session_ttl: session, state_timeout: Duration::from_secs(1) }
}
