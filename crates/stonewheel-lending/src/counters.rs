//! What a holder did, for operators.

use std::{fmt, time::Duration};

/// Counts since this process began.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Machines lent to work outside a guarantee.
    pub loans: u64,
    /// Machines granted.
    pub grants: u64,
    /// Machines whose reclaim was requested.
    pub reclaims: u64,
    /// Requests that were withdrawn before the halt left.
    pub withdrawn: u64,
    /// Saves that took too long and were ended.
    pub ended_saves: u64,
    /// Seconds of work that were lost, each machine's counted.
    pub lost_work_s: f64,
    /// Silent machines that were returned.
    pub retired: u64,
    /// Orders that were refused since a higher token was seen.
    pub stale_commands: u64,
    /// Transactions of the ledger.
    pub transactions: u64,
    /// Claims inside their guarantee that got all their machines.
    pub served: u64,
    /// The longest time that one of these waited here.
    pub longest_wait: Duration,
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "loans={} grants={} reclaims={} withdrawn={} ended_saves={} lost_work_s={:.1} \
             retired={} stale_orders={} transactions={} served={} longest_wait_s={:.1}",
            self.loans,
            self.grants,
            self.reclaims,
            self.withdrawn,
            self.ended_saves,
            self.lost_work_s,
            self.retired,
            self.stale_commands,
            self.transactions,
            self.served,
            self.longest_wait.as_secs_f64(),
        )
    }
}
