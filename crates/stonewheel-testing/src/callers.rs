//! Faults of those who call a stand-in: answers that are lost, processes that stand
//! still or are gone.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::{Instant, sleep, sleep_until};

#[derive(Clone, Copy, Debug, Default)]
struct Caller {
    /// Answers that are still to be lost.
    mute: u32,
    frozen_until: Option<Instant>,
    gone: bool,
}

/// The callers of a stand-in, by name.
#[derive(Clone, Default)]
pub struct Callers(Arc<Mutex<HashMap<String, Caller>>>);

impl Callers {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, Caller>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The caller's next calls are carried out, but not answered.
    pub fn mute(&self, name: &str, count: u32) {
        self.lock().entry(name.into()).or_default().mute = count;
    }

    /// The caller's process stands still: its calls wait.
    pub fn freeze(&self, name: &str, until: Instant) {
        self.lock().entry(name.into()).or_default().frozen_until = Some(until);
    }

    /// The caller's process is gone: nothing of it arrives any more.
    pub fn end(&self, name: &str) {
        self.lock().entry(name.into()).or_default().gone = true;
    }

    /// What a call takes until it arrives.
    pub async fn arrive(&self, name: &str, latency: Duration) {
        sleep(latency).await;
        let caller = self.lock().get(name).copied().unwrap_or_default();
        if let Some(until) = caller.frozen_until {
            sleep_until(until).await;
        }
        if self.lock().get(name).is_some_and(|caller| caller.gone) {
            std::future::pending::<()>().await;
        }
    }

    /// Whether the answer to the call that was just carried out is lost.
    pub fn loses_answer(&self, name: &str) -> bool {
        let mut callers = self.lock();
        let caller = callers.entry(name.into()).or_default();
        let lost = caller.mute > 0;
        caller.mute = caller.mute.saturating_sub(1);
        lost
    }
}
