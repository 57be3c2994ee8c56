//! Faults that are drawn with seeded randomness: messages that come late, and
//! transactions that are carried out late or lose their answer.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Which part of the messages of one kind comes late, and by how much.
#[derive(Debug)]
pub struct Delays {
    rng: StdRng,
    share: f64,
    seconds: std::ops::Range<f64>,
}

impl Delays {
    /// `share`: of all, between 0 and 1. `seconds`: how late they come.
    pub fn new(seed: u64, share: f64, seconds: std::ops::Range<f64>) -> Self {
        Self { rng: StdRng::seed_from_u64(seed), share, seconds }
    }

    /// How late the next message is, if it is.
    pub fn draw(&mut self) -> Option<Duration> {
        let late = self.rng.random_bool(self.share);
        late.then(|| Duration::from_secs_f64(self.rng.random_range(self.seconds.clone())))
    }
}

/// Direct commands that are held up on their way, unanswered, and carried out once.
#[derive(Debug)]
pub struct LateCommands(Delays);

impl LateCommands {
    /// `share`: of all, between 0 and 1. `seconds`: how late they come.
    pub fn new(seed: u64, share: f64, seconds: std::ops::Range<f64>) -> Self {
        Self(Delays::new(seed, share, seconds))
    }

    /// How late the next order is, if it is.
    pub fn draw(&mut self) -> Option<Duration> {
        self.0.draw()
    }
}

/// Transactions that get no answer: carried out late, or at once.
#[derive(Debug)]
pub struct LateTransactions {
    delays: Delays,
    /// Which part of them is carried out at once.
    at_once: f64,
}

impl LateTransactions {
    /// `share`: of all transactions, between 0 and 1. `at_once`: the share of these that is
    /// carried out at once, with only the answer lost.
    pub fn new(seed: u64, share: f64, at_once: f64) -> Self {
        Self { delays: Delays::new(seed, share, 2.0..12.0), at_once }
    }

    /// How late the next transaction is, if it gets no answer. Zero: it is
    /// carried out at once.
    pub fn draw(&mut self) -> Option<Duration> {
        let delay = self.delays.draw()?;
        let at_once = self.delays.rng.random_bool(self.at_once);
        Some(if at_once { Duration::ZERO } else { delay })
    }
}
