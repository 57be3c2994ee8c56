//! The moments up to which the cancellations of each controller are known.

use std::collections::HashMap;

use tokio::time::Instant;

/// For each controller, the moment up to which this controller knows every cancellation
/// that the other one may have confirmed to users. These moments never move back.
///
/// A read of the state service counts for all controllers, up to the moment when the read
/// was requested, since only durable ends are confirmed. A heartbeat with a complete notice
/// of its sender's cancellations counts for the sender, up to the moment when the
/// acknowledged heartbeat was sent. The sender composes the notice from its watch cache
/// alone. That includes cancellations that a former process of the same member confirmed,
/// since a process sends no notice before it has read the records.
#[derive(Default)]
pub struct CancellationWatermarks {
    /// When the latest read of the state service was requested.
    last_read_at: Option<Instant>,
    /// The moment up to which the notices of each member were complete.
    notices_complete_until: HashMap<String, Instant>,
}

impl CancellationWatermarks {
    /// Records a successful read of the state service. `requested_at`: when the read was
    /// requested.
    pub fn record_read(&mut self, requested_at: Instant) {
        self.last_read_at = self.last_read_at.max(Some(requested_at));
    }

    /// Records a notice with all cancellations of a member. `sent_at`: when this controller
    /// sent the heartbeat that the member acknowledges together with the notice.
    pub fn record_complete_notice(&mut self, member: &str, sent_at: Instant) {
        let complete_until =
            self.notices_complete_until.entry(member.to_owned()).or_insert(sent_at);
        *complete_until = sent_at.max(*complete_until);
    }

    /// Returns when the latest read of the state service was requested.
    pub fn last_read_at(&self) -> Option<Instant> {
        self.last_read_at
    }

    /// Returns the moment up to which all cancellations that any of `members` may have
    /// confirmed are known.
    pub fn known_until<'a>(&self, members: impl Iterator<Item = &'a str>) -> Option<Instant> {
        members
            .map(|member| self.last_read_at.max(self.notices_complete_until.get(member).copied()))
            .min()
            .unwrap_or(self.last_read_at)
    }
}
