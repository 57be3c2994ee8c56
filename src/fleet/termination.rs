//! Whether a silent worker's lease can prove that its tasks are terminated.

use tokio::time::{Duration, Instant};

/// Whether a silent worker's tasks can be shown to be terminated by its lease.
#[derive(Clone, Copy, Debug)]
pub struct TerminationProof {
    /// The proof can be had now, or no outage has yet made it doubtful.
    pub provable: bool,
    /// Since when surely no other controller has renewed workers' leases.
    pub sole_renewer_since: Option<Instant>,
}

impl TerminationProof {
    /// Whether it comes within a lease for workers that were never in contact.
    pub(super) fn is_coming(&self, lease: Duration, now: Instant) -> bool {
        self.sole_renewer_since.is_some_and(|since| now <= since + lease)
    }
}
