//! Client-side rate limits: each controller keeps to its share of the requests and writes
//! that the state service accepts.

use std::{sync::Mutex, time::Duration};

use tokio::time::Instant;

use crate::lock;

/// A token bucket with the capacity of one second's rate, like the limiter of the state
/// service. One token allows one request, or one write.
///
/// Requests that can be delayed leave a [`Reserve`] of tokens to urgent ones. Without it,
/// the watches and reads of a controller with a small share would use all tokens, and
/// users' writes would wait behind them.
pub struct Budget {
    bucket: Mutex<Bucket>,
}

struct Bucket {
    /// Tokens that are added per second.
    rate: f64,
    /// Capacity in tokens, if that is more than one second's rate.
    burst: f64,
    /// Tokens in the bucket at `updated_at`.
    tokens: f64,
    updated_at: Instant,
}

impl Bucket {
    fn capacity(&self) -> f64 {
        self.rate.max(self.burst).max(1.0)
    }

    /// Returns the tokens in the bucket now, limited to `capacity`.
    fn tokens_now(&self, capacity: f64) -> f64 {
        (self.tokens + self.rate * self.updated_at.elapsed().as_secs_f64()).min(capacity)
    }
}

/// The share of a full bucket that must remain after a request, for more urgent ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reserve {
    /// For requests that can't be delayed: writes, and requests that create, renew or
    /// revoke leases.
    Nothing,
    /// For reads that users wait for.
    Quarter,
    /// For watches, the least urgent requests: a read returns the same changes.
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
    /// Returns a full bucket of `rate` tokens per second with the capacity of one second's
    /// rate.
    pub fn new(rate: f64) -> Self {
        Self::with_burst(rate, 0.0)
    }

    /// Returns a full bucket of `rate` tokens per second with a capacity of `burst`
    /// tokens, or of one second's rate if that is more.
    pub fn with_burst(rate: f64, burst: f64) -> Self {
        let tokens = rate.max(burst).max(1.0);
        Self { bucket: Mutex::new(Bucket { rate, burst, tokens, updated_at: Instant::now() }) }
    }

    /// Sets the tokens that are added per second. The share of a controller changes when
    /// it becomes the leader or ceases to be.
    pub fn set_rate(&self, rate: f64) {
        lock(&self.bucket).rate = rate;
    }

    /// Takes `amount` tokens if `reserve` remains after them. The error is the time until
    /// there are enough tokens.
    fn try_take(&self, amount: f64, reserve: Reserve) -> Result<(), Duration> {
        let mut bucket = lock(&self.bucket);
        // An amount above the capacity raises the capacity while a caller waits for it;
        // otherwise the bucket could never hold enough tokens.
        let capacity = bucket.capacity().max(amount);
        bucket.tokens = bucket.tokens_now(capacity);
        bucket.updated_at = Instant::now();
        // Amount and reserve together may exceed a full bucket, which then has to
        // suffice: otherwise the request would wait forever.
        let needed = (amount + capacity * reserve.share()).min(capacity);
        if bucket.tokens < needed {
            return Err(Duration::from_secs_f64((needed - bucket.tokens) / bucket.rate.max(0.01)));
        }
        bucket.tokens -= amount;
        Ok(())
    }

    /// Returns the number of whole tokens that can be taken now while `reserve` remains.
    pub(crate) fn available(&self, reserve: Reserve) -> usize {
        let bucket = lock(&self.bucket);
        let capacity = bucket.capacity();
        (bucket.tokens_now(capacity) - capacity * reserve.share()).max(0.0) as usize
    }

    /// Waits for `amount` tokens and takes them.
    pub async fn take(&self, amount: f64) {
        self.take_with_reserve(amount, Reserve::Nothing).await;
    }

    /// Waits until `amount` tokens can be taken while `reserve` remains, and takes them.
    pub async fn take_with_reserve(&self, amount: f64, reserve: Reserve) {
        while let Err(wait) = self.try_take(amount, reserve) {
            // Timers have a resolution of one millisecond: with shorter waits this loop
            // would spin.
            tokio::time::sleep(wait.max(Duration::from_millis(1))).await;
        }
    }
}

#[cfg(test)]
mod tests;
