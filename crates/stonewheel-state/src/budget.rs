//! This controller's share of the requests and writes that the state service
//! allows.

use std::{sync::Mutex, time::Duration};

use tokio::time::Instant;

use crate::lock;

/// A token bucket that holds one second's worth, as the service's own does. One
/// token is one request, or one write.
///
/// What can wait leaves a reserve for what can't: else the watch and the reads
/// of a controller with a small share would take all of it, and a user's write
/// would wait behind them.
pub struct Budget {
    level: Mutex<Level>,
}

struct Level {
    /// Tokens a second.
    rate: f64,
    /// Tokens that may gather beyond a second's worth.
    burst: f64,
    /// Tokens held when the level was last updated.
    tokens: f64,
    updated_at: Instant,
}

impl Level {
    fn capacity(&self) -> f64 {
        self.rate.max(self.burst).max(1.0)
    }

    /// The tokens held by now, in a bucket of this capacity.
    fn tokens_now(&self, capacity: f64) -> f64 {
        (self.tokens + self.rate * self.updated_at.elapsed().as_secs_f64()).min(capacity)
    }
}

/// How much of a full bucket a request must leave to more urgent ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reserve {
    /// Writes and renewals of leases.
    Nothing,
    /// Reads that users wait for.
    Quarter,
    /// Watches: a read brings the same changes.
    Half,
}

impl Reserve {
    fn share(self) -> f64 {
        match self {
            Self::Nothing => 0.0,
            Self::Quarter => 0.25,
            Self::Half => 0.5,
        }
    }
}

impl Budget {
    /// A full bucket of `rate` tokens a second that holds one second's worth.
    pub fn new(rate: f64) -> Self {
        Self::with_burst(rate, 0.0)
    }

    /// A budget that gathers up to `burst` tokens, if that is more than a
    /// second's worth.
    pub fn with_burst(rate: f64, burst: f64) -> Self {
        let tokens = rate.max(burst).max(1.0);
        Self { level: Mutex::new(Level { rate, burst, tokens, updated_at: Instant::now() }) }
    }

    /// Sets the tokens a second: the share of a controller depends on whether it leads.
    pub fn set_rate(&self, rate: f64) {
        lock(&self.level).rate = rate;
    }

    /// Takes `amount` tokens. The error is how long to wait before trying again.
    fn try_take(&self, amount: f64, reserve: Reserve) -> Result<(), Duration> {
        let mut level = lock(&self.level);
        // More than a full bucket holds is gathered for a large amount only.
        let capacity = level.capacity().max(amount);
        level.tokens = level.tokens_now(capacity);
        level.updated_at = Instant::now();
        // A reserve that a full bucket can't hold would never be met.
        let needed = (amount + capacity * reserve.share()).min(capacity);
        if level.tokens < needed {
            return Err(Duration::from_secs_f64((needed - level.tokens) / level.rate.max(0.01)));
        }
        level.tokens -= amount;
        Ok(())
    }

    /// Whole tokens held beyond a reserve.
    pub(crate) fn available(&self, reserve: Reserve) -> usize {
        let level = lock(&self.level);
        let capacity = level.capacity();
        (level.tokens_now(capacity) - capacity * reserve.share()).max(0.0) as usize
    }

    /// Waits for `amount` tokens and takes them.
    pub async fn take(&self, amount: f64) {
        self.take_with_reserve(amount, Reserve::Nothing).await;
    }

    /// Waits for `amount` tokens beyond a reserve and takes them.
    pub async fn take_with_reserve(&self, amount: f64, reserve: Reserve) {
        while let Err(wait) = self.try_take(amount, reserve) {
            // Timers fire in steps of a millisecond; shorter waits would spin.
            tokio::time::sleep(wait.max(Duration::from_millis(1))).await;
        }
    }
}

#[cfg(test)]
mod tests;
