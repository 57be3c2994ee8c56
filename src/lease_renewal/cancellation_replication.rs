//! Which cancellations this process may confirm to users.

use std::collections::{BTreeMap, HashMap, VecDeque};

use tokio::time::{Duration, Instant};

use crate::protocol::{HeartbeatId, JobId};

/// How many cancellations that some controller has not acknowledged are tracked one by one.
const MAX_TRACKED: usize = 1024;

/// A place in the order in which this process learned of cancellations, from 1 on.
pub type Position = u64;

/// What this process can tell another controller about its confirmations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicationClaim {
    /// For how long a promise to the receiver has covered all confirmations.
    pub covered_for: Duration,
    /// Whether that remains so until the replication hold has passed since the latest
    /// heartbeat of the receiver was received.
    pub hold_promised: bool,
    /// Whether users wait for an acknowledgement of the receiver that was not requested yet.
    pub reply_requested: bool,
}

/// A message that was sent with all cancellations that the receiver might not know.
struct SentNotice {
    sequence: u64,
    /// The latest cancellation that this process knew.
    position: Position,
    /// The receiving process from whose revision on the notice lists cancellations. None if it
    /// lists all, so that any process of the receiver can apply it.
    receiver_incarnation: Option<u64>,
    sent_at: Instant,
}

/// The state of replication to one other controller.
struct Receiver {
    /// The controller's process that sent the latest heartbeat.
    incarnation: Option<u64>,
    /// When the first of the heartbeats that this process sent was received.
    first_heard_at: Instant,
    /// When its latest heartbeat was received.
    heard_at: Option<Instant>,
    /// When the latest message that it acknowledged was sent.
    acknowledged_sent_at: Option<Instant>,
    /// Its present process knows all cancellations up to here.
    acknowledged: Position,
    /// Until when the latest promise to the controller is in force.
    promised_until: Option<Instant>,
    /// Since when a promise to its present process has covered all confirmations.
    covered_since: Instant,
    /// The latest request for acknowledgements that was sent to it.
    sent_request: u64,
}

/// Keeps the confirmation of a cancellation back until other controllers know of it.
///
/// While the state service is out, a controller may be the only one to know of a cancellation
/// that it read or wrote just before. If it confirmed the cancellation to a user and crashed, no
/// controller could tell any more which leases must not be renewed. So each process promises to
/// every other controller, in its messages: a cancellation that you have not acknowledged is only
/// confirmed if all others have acknowledged it that hold such a promise, at least one. So one
/// controller that can't be reached delays no confirmation, and any two controllers with promises
/// know together all that was confirmed.
///
/// A promise holds for a fixed time (the replication hold) from the receipt of the receiver's
/// heartbeat, so controllers that can't be reached delay confirmations for no longer than that. The
/// hold is longer than a restart usually takes: the others know what a controller confirmed before
/// it crashed until its next process makes promises. A process can't know the promises of its
/// predecessor, so it begins as if it had promised the hold to everybody when it started.
///
/// Invariant: at each confirmation at most one of the controllers with a promise in force has
/// not acknowledged the cancellation, and none if a single one has a promise.
pub struct CancellationReplication {
    replication_hold: Duration,
    /// How long an acknowledgement may take before promises to that controller stop.
    acknowledgement_timeout: Duration,
    started_at: Instant,
    /// The number of cancellations that this process has learned of.
    position: Position,
    /// Tracked cancellations in the order of `Position`, and when they were learned.
    tracked: BTreeMap<Position, (JobId, Instant)>,
    positions: HashMap<JobId, Position>,
    /// The highest position that is no longer tracked. Whoever has acknowledged it knows every
    /// cancellation that is not tracked.
    untracked: Position,
    receivers: BTreeMap<String, Receiver>,
    sent: VecDeque<SentNotice>,
    /// The number of requests for acknowledgements, each for a user that waits.
    requests: u64,
}

impl CancellationReplication {
    /// Creates the state of a process that starts now. `replication_hold`: for how long a promise
    /// holds. `acknowledgement_timeout`: how long an acknowledgement may take before no further
    /// promises are made to a controller.
    pub fn new(
        other_members: &[String],
        replication_hold: Duration,
        acknowledgement_timeout: Duration,
        now: Instant,
    ) -> Self {
        let receiver = |member: &String| {
            let receiver = Receiver {
                incarnation: None,
                first_heard_at: now,
                heard_at: None,
                acknowledged_sent_at: None,
                acknowledged: 0,
                promised_until: Some(now + replication_hold),
                covered_since: now,
                sent_request: 0,
            };
            (member.clone(), receiver)
        };
        Self {
            replication_hold,
            acknowledgement_timeout,
            started_at: now,
            position: 0,
            tracked: BTreeMap::new(),
            positions: HashMap::new(),
            untracked: 0,
            receivers: other_members.iter().map(receiver).collect(),
            sent: VecDeque::new(),
            requests: 0,
        }
    }

    /// Records that this process learned of a cancellation, by any way.
    pub fn record_cancellation(&mut self, id: &JobId, now: Instant) {
        if self.receivers.is_empty() {
            return;
        }
        self.position += 1;
        if let Some(earlier) = self.positions.insert(id.clone(), self.position) {
            self.tracked.remove(&earlier);
        }
        self.tracked.insert(self.position, (id.clone(), now));
        if self.tracked.len() > MAX_TRACKED {
            self.stop_tracking_first();
        }
    }

    /// Records that this process learned of any number of cancellations, of which none is
    /// tracked: while it reads all records.
    pub fn record_untracked_cancellations(&mut self) {
        while !self.tracked.is_empty() {
            self.stop_tracking_first();
        }
        self.position += 1;
        self.untracked = self.position;
    }

    fn stop_tracking_first(&mut self) {
        if let Some((position, (id, _))) = self.tracked.pop_first() {
            self.positions.remove(&id);
            self.untracked = self.untracked.max(position);
        }
    }

    /// Stops tracking all cancellations up to a position.
    fn stop_tracking(&mut self, up_to: Position) {
        while self.tracked.first_key_value().is_some_and(|(position, _)| *position <= up_to) {
            self.stop_tracking_first();
        }
    }

    /// Returns the latest cancellation that this process knows.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Records that a message with a complete notice is sent now. `position`: as returned before
    /// the notice was composed. `receiver_incarnation`: the receiving process from whose revision
    /// on the notice lists cancellations, if not all.
    pub fn record_sent(
        &mut self,
        sequence: u64,
        position: Position,
        receiver_incarnation: Option<u64>,
        now: Instant,
    ) {
        self.sent.push_back(SentNotice { sequence, position, receiver_incarnation, sent_at: now });
        while self.sent.front().is_some_and(|sent| now > sent.sent_at + self.replication_hold) {
            self.sent.pop_front();
        }
    }

    /// Records a heartbeat of another controller that takes part in replication. `heartbeat`: its
    /// identity. `acknowledged`: the sequence number of the latest message of this process that
    /// the sender had received.
    pub fn record_heartbeat(
        &mut self,
        sender: &str,
        heartbeat: HeartbeatId,
        acknowledged: Option<u64>,
        now: Instant,
    ) {
        let notice = acknowledged.and_then(|sequence| self.sent_notice(sequence));
        let notice = notice
            .filter(|sent| sent.receiver_incarnation.is_none_or(|i| i == heartbeat.incarnation))
            .map(|sent| (sent.position, sent.sent_at));
        let Some(receiver) = self.receivers.get_mut(sender) else { return };
        let former = receiver.incarnation.replace(heartbeat.incarnation);
        if former != Some(heartbeat.incarnation) {
            receiver.first_heard_at = now;
        }
        if former.is_some_and(|former| former != heartbeat.incarnation) {
            // The former process acknowledged cancellations that the new one may not know.
            receiver.acknowledged = 0;
            receiver.acknowledged_sent_at = None;
            receiver.covered_since = now;
        }
        receiver.heard_at = Some(now);
        // A heartbeat of a process that has ended may arrive after those of its successor. It
        // can't acknowledge a message that was sent since its process was first heard.
        let first_heard_at = receiver.first_heard_at;
        if let Some((position, sent_at)) = notice.filter(|(_, sent_at)| *sent_at >= first_heard_at)
        {
            receiver.acknowledged = receiver.acknowledged.max(position);
            receiver.acknowledged_sent_at = receiver.acknowledged_sent_at.max(Some(sent_at));
        }
        let by_all = self.receivers.values().map(|r| r.acknowledged).min().unwrap_or(0);
        self.stop_tracking(by_all);
    }

    fn sent_notice(&self, sequence: u64) -> Option<&SentNotice> {
        let index = self.sent.binary_search_by_key(&sequence, |sent| sent.sequence).ok()?;
        self.sent.get(index)
    }

    /// Records that a controller runs a version without replication: it can't acknowledge
    /// cancellations and relies on no promise.
    pub fn record_older_version(&mut self, sender: &str) {
        if let Some(receiver) = self.receivers.get_mut(sender) {
            receiver.promised_until = None;
        }
    }

    /// Whether a cancellation may be confirmed to a user now. If so, it counts as confirmed.
    pub fn may_confirm(&mut self, id: &str, now: Instant) -> bool {
        let position = self.positions.get(id).copied().unwrap_or(self.untracked);
        let is_promised = |receiver: &Receiver| receiver.promised_until.is_some_and(|at| now <= at);
        let promised = self.receivers.values().filter(|r| is_promised(r));
        let unacknowledged = promised.clone().filter(|r| r.acknowledged < position).count();
        if unacknowledged > usize::from(promised.count() > 1) {
            return false;
        }
        let unaware = self.receivers.values_mut().filter(|r| r.acknowledged < position);
        for receiver in unaware.filter(|r| !is_promised(r)) {
            receiver.covered_since = now;
        }
        true
    }

    /// Records that a user waits for the acknowledgements of a cancellation.
    pub fn request_acknowledgements(&mut self) {
        self.requests += 1;
    }

    /// Returns what to tell a controller in a message that is sent now. A promise that it contains
    /// is in force from now on.
    pub fn claim(&mut self, receiver: &str, now: Instant) -> Option<ReplicationClaim> {
        let timeout = self.acknowledgement_timeout;
        let receiver = self.receivers.get_mut(receiver)?;
        let mut unacknowledged = self.tracked.range(receiver.acknowledged + 1..);
        let acknowledges_in_time =
            unacknowledged.next().is_none_or(|(_, (_, learned_at))| now <= *learned_at + timeout);
        let is_connected = receiver.acknowledged_sent_at.is_some_and(|at| now <= at + timeout);
        let mut hold_promised = false;
        if let Some(heard_at) = receiver.heard_at
            && is_connected
            && acknowledges_in_time
            && receiver.acknowledged >= self.untracked
        {
            hold_promised = true;
            receiver.promised_until =
                receiver.promised_until.max(Some(heard_at + self.replication_hold));
        }
        let reply_requested =
            receiver.sent_request < self.requests && receiver.acknowledged < self.position;
        receiver.sent_request = self.requests;
        let since = receiver.covered_since.max(self.started_at);
        Some(ReplicationClaim {
            covered_for: now.saturating_duration_since(since),
            hold_promised,
            reply_requested,
        })
    }
}
