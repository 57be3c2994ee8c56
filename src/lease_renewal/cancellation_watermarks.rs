//! Up to when the cancellations of each controller are known.

use std::collections::HashMap;

use tokio::time::Instant;

/// For each controller, the moment up to which this one knows every cancellation
/// that the other may have confirmed to users. It only rises.
///
/// A read of the state service counts for all controllers, from when it was
/// requested: only durable ends are confirmed. A heartbeat with all that its
/// sender may have confirmed counts for that sender, from when the heartbeat that
/// it acknowledges was sent. It is enough that each sender uses its own watch
/// cache: what a former process of the same member confirmed is in the watch
/// cache of the next one as soon as that has read the records, and before that
/// it sends no notice.
#[derive(Default)]
pub struct CancellationWatermarks {
    last_read_at: Option<Instant>,
    members: HashMap<String, Instant>,
}

impl CancellationWatermarks {
    /// Records a read of the state service that was requested at this moment.
    pub fn record_read(&mut self, requested_at: Instant) {
        self.last_read_at = self.last_read_at.max(Some(requested_at));
    }

    /// Records a notice with all cancellations of a member. `sent_at`: when the
    /// heartbeat that it acknowledges was sent.
    pub fn record_complete_notice(&mut self, member: &str, sent_at: Instant) {
        let known = self.members.entry(member.to_owned()).or_insert(sent_at);
        *known = sent_at.max(*known);
    }

    /// When the latest read of the state service was requested.
    pub fn last_read_at(&self) -> Option<Instant> {
        self.last_read_at
    }

    /// The moment up to which all that any of `members` confirmed is known.
    pub fn known_until<'a>(&self, members: impl Iterator<Item = &'a str>) -> Option<Instant> {
        members
            .map(|member| self.last_read_at.max(self.members.get(member).copied()))
            .min()
            .unwrap_or(self.last_read_at)
    }
}
