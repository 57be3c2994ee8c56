//! The replication of cancellations: what the controllers tell each other about the cancellations
//! that they know and have confirmed (`lease_renewal`).

use stonewheel_state::lock;
use tokio::{sync::watch, time::Instant};

use super::Peers;
use crate::{
    lease_renewal::{KnowledgeReport, Position, ReplicationClaim},
    protocol::{CancellationSync, HeartbeatId, JobId, KnownMember},
};

/// A controller's heartbeat whose cancellation sync was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SyncedHeartbeat {
    /// The identity of the heartbeat.
    pub id: HeartbeatId,
    /// The revision of the sender's watch cache.
    pub revision: u64,
}

impl Peers {
    /// Records a successful read of the state service that was requested at
    /// `requested_at`.
    pub fn record_read(&self, requested_at: Instant) {
        lock(&self.known_cancellations).record_read(requested_at);
    }

    /// Returns when the latest successful read of the state service was requested.
    pub fn last_read_at(&self) -> Option<Instant> {
        lock(&self.known_cancellations).last_read_at()
    }

    /// Returns the time up to which every cancellation that any controller may have confirmed to
    /// users is known.
    pub fn cancellations_known_until(&self, now: Instant) -> Option<Instant> {
        lock(&self.known_cancellations).known_until(now)
    }

    /// Returns what this controller knows about the cancellations that each controller confirmed.
    pub fn known_cancellations(&self, now: Instant) -> Vec<KnownMember> {
        lock(&self.known_cancellations).report(now)
    }

    /// Records that this process learned of a cancellation.
    pub fn record_cancellation(&self, id: &JobId) {
        lock(&self.replication).record_cancellation(id, Instant::now());
    }

    /// Records that this process learned of cancellations while it reads all records.
    pub fn record_untracked_cancellations(&self) {
        lock(&self.replication).record_untracked_cancellations();
    }

    /// Whether a cancellation may be confirmed to a user now: other controllers have
    /// acknowledged it, or this one has lost touch with them. If so, it counts as confirmed.
    pub fn may_confirm(&self, id: &str) -> bool {
        lock(&self.replication).may_confirm(id, Instant::now())
    }

    /// Asks the other controllers to acknowledge all cancellations immediately. Returns a channel
    /// that changes whenever one of them does.
    pub fn request_acknowledgements(&self) -> watch::Receiver<()> {
        let acknowledgements = self.acknowledgements.subscribe();
        lock(&self.replication).request_acknowledgements();
        self.request_immediate_heartbeats();
        acknowledgements
    }

    /// Returns the latest cancellation that this process knows. To be called before the notice
    /// of a message is composed, which then has at least the cancellations up to there.
    pub fn replication_position(&self) -> Position {
        lock(&self.replication).position()
    }

    /// Records that a message is sent whose notice has all cancellations up to `position` that
    /// the receiver might not know. `receiver_incarnation`: the receiving process from whose
    /// revision on it lists them, if not all.
    pub fn record_sent_notice(
        &self,
        id: HeartbeatId,
        position: Position,
        receiver_incarnation: Option<u64>,
    ) {
        lock(&self.replication).record_sent(
            id.sequence,
            position,
            receiver_incarnation,
            Instant::now(),
        );
    }

    /// Returns what to tell a member about this controller's confirmations in a message that is
    /// sent now. None if there is no such member.
    pub fn replication_claim(&self, receiver: &str, now: Instant) -> Option<ReplicationClaim> {
        lock(&self.replication).claim(receiver, now)
    }

    /// Returns the member's latest heartbeat whose cancellation sync was applied.
    pub fn latest_synced(&self, member: &str) -> Option<SyncedHeartbeat> {
        lock(&self.statuses).get(member).and_then(|status| status.latest_synced)
    }

    /// Records the cancellation sync of a member's message. `revision`: the revision of this
    /// controller's watch cache, after the notice was applied. `synced`: the heartbeat of the
    /// message.
    pub fn record_sync(
        &self,
        member: &str,
        synced: SyncedHeartbeat,
        sync: &CancellationSync,
        revision: u64,
    ) {
        let now = Instant::now();
        let received =
            sync.received.filter(|id| id.incarnation == lock(&self.abstentions).incarnation());
        let acknowledged_sent_at = received.and_then(|id| lock(&self.abstentions).sent_at(id));
        if let Some(acknowledged_sent_at) = acknowledged_sent_at {
            lock(&self.known_cancellations).record_report(&KnowledgeReport {
                sender: member,
                sync,
                is_complete: sync.notice.complete && sync.notice.since <= revision,
                acknowledged_sent_at,
                received_at: now,
            });
        }
        let sequence = received.map(|id| id.sequence);
        lock(&self.replication).record_heartbeat(member, synced.id, sequence, now);
        self.update(member, |status| status.latest_synced = Some(synced));
        self.acknowledgements.send_replace(());
        if sync.reply_requested {
            self.request_immediate_heartbeat(member);
        }
    }

    /// Records that a message of a member came without a cancellation sync.
    pub fn record_missing_sync(&self, member: &str) {
        lock(&self.replication).record_older_version(member);
        self.acknowledgements.send_replace(());
    }
}
