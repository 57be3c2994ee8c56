//! Faults of the processes that call an in-memory fake: lost answers, suspended
//! processes and terminated processes.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::{Instant, sleep, sleep_until};

#[derive(Clone, Copy, Debug, Default)]
struct Caller {
    /// Number of next calls that are executed but not answered.
    answers_to_lose: u32,
    frozen_until: Option<Instant>,
    terminated: bool,
}

/// Fault state of the callers of an in-memory fake, by caller name.
#[derive(Clone, Default)]
pub struct Callers(Arc<Mutex<HashMap<String, Caller>>>);

impl Callers {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, Caller>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Loses the answers to the caller's next `count` calls; the calls are still executed.
    pub fn lose_answers(&self, name: &str, count: u32) {
        self.lock().entry(name.into()).or_default().answers_to_lose = count;
    }

    /// Suspends the caller's process: its calls wait until `until`.
    pub fn freeze(&self, name: &str, until: Instant) {
        self.lock().entry(name.into()).or_default().frozen_until = Some(until);
    }

    /// Terminates the caller's process: its calls never arrive from now on.
    pub fn end(&self, name: &str) {
        self.lock().entry(name.into()).or_default().terminated = true;
    }

    /// Waits until a call of the caller arrives: for `latency` and while the process is
    /// suspended; forever if the process has terminated.
    pub async fn arrive(&self, name: &str, latency: Duration) {
        sleep(latency).await;
        let caller = self.lock().get(name).copied().unwrap_or_default();
        if let Some(until) = caller.frozen_until {
            sleep_until(until).await;
        }
        if self.lock().get(name).is_some_and(|caller| caller.terminated) {
            std::future::pending::<()>().await;
        }
    }

    /// Whether the answer to the call that was just executed is lost. Counts down the
    /// answers to lose.
    pub fn loses_answer(&self, name: &str) -> bool {
        let mut callers = self.lock();
        let caller = callers.entry(name.into()).or_default();
        let lost = caller.answers_to_lose > 0;
        caller.answers_to_lose = caller.answers_to_lose.saturating_sub(1);
        lost
    }
}
