//! The freshness of worker heartbeats, and how a new heartbeat updates the record of its
//! machine.

use tokio::time::{Duration, Instant};

use super::machine::{HeartbeatSequence, Machine};
use crate::{fencing::TermTokens, protocol::WorkerHeartbeat};

/// The upper limit on the notice of a reclaim in a heartbeat, in seconds.
const MAX_NOTICE_S: f64 = 1e6;

/// The age of a heartbeat relative to the recorded heartbeats of its machine.
#[derive(Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Newer than all recorded heartbeats, and of the same incarnation.
    Newer,
    /// Of a later incarnation than all recorded heartbeats: the tasks of earlier incarnations
    /// are terminated.
    NewIncarnation,
    /// Delayed or duplicated, of an incarnation that has ended, or of a deleted machine.
    Stale,
}

impl Machine {
    /// Updates the record from a heartbeat, unless the heartbeat is stale.
    pub(super) fn record_heartbeat(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        tokens: TermTokens,
        lease: Duration,
        now: Instant,
    ) -> Freshness {
        let sequence =
            HeartbeatSequence { incarnation: heartbeat.incarnation, sequence: heartbeat.sequence };
        if sequence <= self.latest_heartbeat || heartbeat.incarnation <= self.last_ended_incarnation
        {
            return Freshness::Stale;
        }
        let new_incarnation = heartbeat.incarnation > self.latest_heartbeat.incarnation;
        if new_incarnation {
            self.begin_incarnation(lease, now);
        }
        if self.last_contact.is_none() {
            // The type, zone and spot flag from the cloud's list or a binding may be wrong or
            // missing. The worker's own values take precedence.
            self.machine_type = heartbeat.machine_type.clone();
            self.zone = heartbeat.zone.clone();
            self.spot = heartbeat.spot;
        }
        self.latest_heartbeat = sequence;
        self.last_contact = Some(now);
        self.acknowledged_term = tokens.contains(heartbeat.token);
        // The worker now refuses requests with lower tokens. A request that it carried out
        // before is visible in this heartbeat.
        self.open_starts.fence(heartbeat.token);
        self.token = self.token.max(heartbeat.token);
        self.address.clone_from(&heartbeat.address);
        self.reclaim_at = heartbeat
            .notice_s
            .filter(|s| s.is_finite())
            .map(|s| now + Duration::from_secs_f64(s.clamp(0.0, MAX_NOTICE_S)));
        if new_incarnation { Freshness::NewIncarnation } else { Freshness::Newer }
    }

    fn begin_incarnation(&mut self, lease: Duration, now: Instant) {
        if self.acknowledged_term && self.silence(now) < lease * 3 / 4 {
            // The lease expired although the leader answered the heartbeats: responses do not
            // reach the worker, so commands would not either.
            let until = now + lease * (self.unacknowledged_commands + 1);
            self.record_unacknowledged_command(until);
        }
        self.open_starts.end_incarnation();
    }
}
