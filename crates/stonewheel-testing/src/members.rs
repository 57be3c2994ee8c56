//! Controller processes of a test, which can be started, killed, suspended, and cut off from
//! the state service or from the other services that they call.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use stonewheel_coordination::{Coordinator, Timing};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::{Callers, MemState, spawn_coordinator};

struct Running<T> {
    component: T,
    stop: CancellationToken,
    client: String,
}

/// Handles and identity of a process that is being started.
pub struct Process<'a> {
    /// Coordinator of the process.
    pub coordinator: Arc<Coordinator>,
    /// Client name under which the fakes see the calls of the process.
    pub client: &'a str,
    /// Number that is unique to the process; also its incarnation.
    pub seed: u64,
    /// Stops the process when cancelled.
    pub stop: &'a CancellationToken,
}

/// Controllers by index. `T` is the tested component of each controller.
pub struct Members<T> {
    state: MemState,
    callers: Callers,
    size: usize,
    timing: Timing,
    running: Mutex<BTreeMap<usize, Running<T>>>,
    seeds: AtomicU64,
}

impl<T: Clone> Members<T> {
    /// Creates a set of controllers of which none is running. `callers` are the callers of
    /// the fakes other than the state service.
    pub fn new(state: MemState, callers: Callers, size: usize, timing: Timing) -> Self {
        let (running, seeds) = (Mutex::default(), AtomicU64::new(0));
        Self { state, callers, size, timing, running, seeds }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<usize, Running<T>>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a process of a controller with the component that `build` returns.
    pub fn start(&self, index: usize, build: impl FnOnce(&Process<'_>) -> T) {
        let seed = self.seeds.fetch_add(1, Ordering::Relaxed) + 1;
        let client = format!("m-{index}#{seed}");
        let stop = CancellationToken::new();
        let coordinator =
            spawn_coordinator(&self.state, &client, (index, self.size), seed, self.timing, &stop);
        let component = build(&Process { coordinator, client: &client, seed, stop: &stop });
        self.lock().insert(index, Running { component, stop, client });
    }

    /// Whether a process of the controller is running.
    pub fn runs(&self, index: usize) -> bool {
        self.lock().contains_key(&index)
    }

    /// Returns the tested component of a running controller.
    pub fn part(&self, index: usize) -> T {
        self.lock()[&index].component.clone()
    }

    fn client(&self, index: usize) -> String {
        self.lock()[&index].client.clone()
    }

    /// Kills a process: the state service refuses its calls, and its other calls never arrive.
    pub fn kill(&self, index: usize) {
        let Some(running) = self.lock().remove(&index) else { return };
        self.state.refuse(&running.client, true);
        self.callers.end(&running.client);
        running.stop.cancel();
    }

    /// Suspends a process: its calls wait for `time`.
    pub fn pause(&self, index: usize, time: Duration) {
        let client = self.client(index);
        let until = Instant::now() + time;
        self.state.freeze(&client, until);
        self.callers.freeze(&client, until);
    }

    /// Delays a process's calls to anything but the state service for `time`.
    pub fn block_other_calls(&self, index: usize, time: Duration) {
        self.callers.freeze(&self.client(index), Instant::now() + time);
    }

    /// Makes the state service refuse a process's calls, or serve them again.
    pub fn refuse(&self, index: usize, on: bool) {
        self.state.refuse(&self.client(index), on);
    }

    /// Loses the answers to a process's next `count` transactions; they are still executed.
    pub fn lose_state_answers(&self, index: usize, count: u32) {
        self.state.lose_answers(&self.client(index), count);
    }

    /// Loses the answers to a process's next `count` calls to anything but the state service;
    /// the calls are still executed.
    pub fn lose_other_answers(&self, index: usize, count: u32) {
        self.callers.lose_answers(&self.client(index), count);
    }
}
