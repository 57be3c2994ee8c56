//! Whether the expiry of a silent worker's lease can prove that its tasks are terminated.

use tokio::time::{Duration, Instant};

/// The conditions under which the leader can prove by lease expiry that the tasks of a silent
/// worker are terminated.
#[derive(Clone, Copy, Debug)]
pub struct TerminationProof {
    /// Whether the proof is available now or can still be expected. The latter holds for a
    /// while after the state service became available, since the other controllers' renewal
    /// abstentions have to cover a lease first.
    pub provable: bool,
    /// The time since which it is certain that no other controller has renewed workers'
    /// leases. None while that is uncertain.
    pub sole_renewer_since: Option<Instant>,
}

impl TerminationProof {
    /// Whether the proof will be available within one lease for workers that this leader was
    /// never in contact with. Their leases are counted from `sole_renewer_since`.
    pub(super) fn is_expected(&self, lease: Duration, now: Instant) -> bool {
        self.sole_renewer_since.is_some_and(|since| now <= since + lease)
    }
}
