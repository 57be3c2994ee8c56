//! Counters of lending for operators, logged when it stops.

use std::{fmt, time::Duration};

/// Counters since the start of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Machines lent to work outside its guarantee.
    pub loans: u64,
    /// Machines granted.
    pub grants: u64,
    /// Reclaims requested.
    pub reclaims: u64,
    /// Reclaim requests withdrawn before a halt was sent.
    pub withdrawn: u64,
    /// Checkpoints terminated because they exceeded the grace period.
    pub ended_saves: u64,
    /// Seconds of work lost by terminated checkpoints, summed over machines.
    pub lost_work_s: f64,
    /// Machines returned after their worker lease expired.
    pub retired: u64,
    /// Calls rejected as stale: the machine had seen a higher fencing token or was in another
    /// session.
    pub stale_commands: u64,
    /// Transactions committed to the ledger.
    pub transactions: u64,
    /// Claims that waited and then got all their machines.
    pub served: u64,
    /// The longest wait of these claims, as observed by this controller.
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
