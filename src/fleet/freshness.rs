//! How new a worker heartbeat is, and what a new one changes in its machine's record.

use tokio::time::{Duration, Instant};

use super::machine::{HeartbeatSequence, Machine};
use crate::{fencing::TermTokens, protocol::WorkerHeartbeat};

/// The longest notice of a reclaim that is taken, in seconds.
const MAX_NOTICE_S: f64 = 1e6;

/// How new a heartbeat is.
#[derive(Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Newer than all before, of the same incarnation.
    Newer,
    /// Of a later incarnation than the one known before: all earlier tasks are gone.
    NewIncarnation,
    /// A late copy, or of an incarnation that is over, or of a machine deleted.
    Stale,
}

impl Machine {
    /// Takes a heartbeat into the record, unless it is stale.
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
            // The list may have guessed; the machine itself knows.
            self.machine_type = heartbeat.machine_type.clone();
            self.zone = heartbeat.zone.clone();
            self.spot = heartbeat.spot;
        }
        self.latest_heartbeat = sequence;
        self.last_contact = Some(now);
        self.acknowledged_term = tokens.contains(heartbeat.token);
        // Requests with lower tokens are void from here on: either this heartbeat
        // shows what they did, or they do nothing any more.
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
            // Its lease expired although its heartbeats were answered: the
            // answers do not reach it, and neither would commands.
            let until = now + lease * (self.unacknowledged_commands + 1);
            self.record_unacknowledged_command(until);
        }
        self.open_starts.end_incarnation();
    }
}
