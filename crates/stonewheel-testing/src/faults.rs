//! Faults drawn from a seeded random number generator: messages that arrive late, transactions
//! that are executed late or lose their answer, and copies of requests that were answered.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Selects the messages of one kind that arrive late, and draws their delays.
#[derive(Debug)]
pub struct Delays {
    rng: StdRng,
    share: f64,
    seconds: std::ops::Range<f64>,
}

impl Delays {
    /// Creates the generator. `share`: part of the messages that is late, between 0 and 1.
    /// `seconds`: range of their delays.
    pub fn new(seed: u64, share: f64, seconds: std::ops::Range<f64>) -> Self {
        Self { rng: StdRng::seed_from_u64(seed), share, seconds }
    }

    /// Returns the delay of the next message, or `None` if the message is on time.
    pub fn draw(&mut self) -> Option<Duration> {
        let late = self.rng.random_bool(self.share);
        late.then(|| Duration::from_secs_f64(self.rng.random_range(self.seconds.clone())))
    }
}

/// Selects the direct commands that are delayed on their way. The sender gets no answer, and
/// the commands are executed once.
#[derive(Debug)]
pub struct LateCommands(Delays);

impl LateCommands {
    /// Creates the generator. `share`: part of the messages that is late, between 0 and 1.
    /// `seconds`: range of their delays.
    pub fn new(seed: u64, share: f64, seconds: std::ops::Range<f64>) -> Self {
        Self(Delays::new(seed, share, seconds))
    }

    /// Returns the delay of the next direct commands, or `None` if they are on time.
    pub fn draw(&mut self) -> Option<Duration> {
        self.0.draw()
    }
}

/// Selects the transactions that get no answer and are executed late or immediately.
#[derive(Debug)]
pub struct LateTransactions {
    delays: Delays,
    /// Part of the unanswered transactions that is executed immediately.
    immediate_share: f64,
}

impl LateTransactions {
    /// Creates the generator. `share`: part of all transactions that gets no answer, between 0
    /// and 1. `immediate_share`: part of the unanswered transactions that is executed
    /// immediately, with only the answer lost.
    pub fn new(seed: u64, share: f64, immediate_share: f64) -> Self {
        Self { delays: Delays::new(seed, share, 2.0..12.0), immediate_share }
    }

    /// Returns the delay of the next transaction, zero if only its answer is lost, or `None`
    /// if the transaction is executed and answered normally.
    pub fn draw(&mut self) -> Option<Duration> {
        let delay = self.delays.draw()?;
        let is_immediate = self.delays.rng.random_bool(self.immediate_share);
        Some(if is_immediate { Duration::ZERO } else { delay })
    }
}

/// Selects the requests of one kind of which copies arrive again after the request was carried
/// out and answered. Nobody waits for the answers to the copies.
#[derive(Debug)]
pub struct RepeatedDeliveries {
    rng: StdRng,
    share: f64,
    seconds: std::ops::Range<f64>,
}

impl RepeatedDeliveries {
    /// The largest number of copies of one request.
    const MAX_COPIES: u32 = 3;

    /// Creates the generator. `share`: part of the requests that is repeated, between 0 and 1.
    /// `seconds`: range of the copies' delays, above 0; delays of each order of magnitude are
    /// equally frequent.
    pub fn new(seed: u64, share: f64, seconds: std::ops::Range<f64>) -> Self {
        Self { rng: StdRng::seed_from_u64(seed), share, seconds }
    }

    /// Returns the delays of the copies of the next request.
    pub fn draw(&mut self) -> Vec<Duration> {
        if !self.rng.random_bool(self.share) {
            return Vec::new();
        }
        let copies = self.rng.random_range(1..=Self::MAX_COPIES);
        (0..copies).map(|_| self.delay()).collect()
    }

    fn delay(&mut self) -> Duration {
        let magnitude = self.rng.random_range(self.seconds.start.ln()..self.seconds.end.ln());
        Duration::from_secs_f64(magnitude.exp())
    }
}
