//! The controllers of a test: processes that are started, end, stand still, and are cut
//! from the state service or from what they call.

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
    part: T,
    stop: CancellationToken,
    client: String,
}

/// What a new process has.
pub struct Process<'a> {
    /// Its coordination.
    pub coordinator: Arc<Coordinator>,
    /// The name that its calls are known by.
    pub client: &'a str,
    /// Unique to the process.
    pub seed: u64,
    /// Ends it.
    pub stop: &'a CancellationToken,
}

/// The controllers, by number. `T` is the part of each that is tested.
pub struct Members<T> {
    state: MemState,
    callers: Callers,
    size: usize,
    timing: Timing,
    running: Mutex<BTreeMap<usize, Running<T>>>,
    seeds: AtomicU64,
}

impl<T: Clone> Members<T> {
    /// None runs yet. `callers`: those of what the controllers call besides the state
    /// service.
    pub fn new(state: MemState, callers: Callers, size: usize, timing: Timing) -> Self {
        let (running, seeds) = (Mutex::default(), AtomicU64::new(0));
        Self { state, callers, size, timing, running, seeds }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<usize, Running<T>>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a process of a controller.
    pub fn start(&self, at: usize, build: impl FnOnce(&Process<'_>) -> T) {
        let seed = self.seeds.fetch_add(1, Ordering::Relaxed) + 1;
        let client = format!("m-{at}#{seed}");
        let stop = CancellationToken::new();
        let coordinator =
            spawn_coordinator(&self.state, &client, (at, self.size), seed, self.timing, &stop);
        let part = build(&Process { coordinator, client: &client, seed, stop: &stop });
        self.lock().insert(at, Running { part, stop, client });
    }

    /// Whether a controller's process runs.
    pub fn runs(&self, at: usize) -> bool {
        self.lock().contains_key(&at)
    }

    /// The part of a controller that is tested.
    pub fn part(&self, at: usize) -> T {
        self.lock()[&at].part.clone()
    }

    fn client(&self, at: usize) -> String {
        self.lock()[&at].client.clone()
    }

    /// Ends a process without notice.
    pub fn kill(&self, at: usize) {
        let Some(running) = self.lock().remove(&at) else { return };
        self.state.refuse(&running.client, true);
        self.callers.end(&running.client);
        running.stop.cancel();
    }

    /// Lets a process stand still.
    pub fn pause(&self, at: usize, time: Duration) {
        let client = self.client(at);
        let until = Instant::now() + time;
        self.state.freeze(&client, until);
        self.callers.freeze(&client, until);
    }

    /// Lets a process's calls to anything but the state service wait.
    pub fn block_other_calls(&self, at: usize, time: Duration) {
        self.callers.freeze(&self.client(at), Instant::now() + time);
    }

    /// Lets the state service refuse a process.
    pub fn refuse(&self, at: usize, on: bool) {
        self.state.refuse(&self.client(at), on);
    }

    /// A process's next transactions are carried out, but not answered.
    pub fn lose_state_answers(&self, at: usize, count: u32) {
        self.state.lose_answers(&self.client(at), count);
    }

    /// A process's next calls to anything else are carried out, but not answered.
    pub fn lose_other_answers(&self, at: usize, count: u32) {
        self.callers.mute(&self.client(at), count);
    }
}
