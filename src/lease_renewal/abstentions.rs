//! Periods in which controllers abstain from renewing worker leases.

use std::collections::{HashMap, VecDeque};

use tokio::time::{Duration, Instant};

use crate::protocol::HeartbeatId;

/// The share of an abstention's duration on which the leader relies. The monotonic clocks
/// of two controllers drift apart by far less than the remaining share.
const RELIABLE_ABSTENTION_SHARE: f64 = 0.99;

/// How long a sent heartbeat is remembered, as a multiple of an abstention's duration. Its
/// acknowledgement is recognised for this time. An acknowledgement that arrives after the
/// abstention has ended proves no abstention, but still dates the sender's notice of
/// cancellations.
const HEARTBEAT_RETENTION_FACTOR: u32 = 8;

/// A leader's heartbeat that was received and is to be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderHeartbeat {
    /// The identity of the heartbeat.
    pub id: HeartbeatId,
    /// The revision of the leader's watch cache.
    pub revision: u64,
}

/// The identity and the acknowledgement of the next heartbeat to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutgoingHeartbeat {
    /// The identity of the heartbeat.
    pub id: HeartbeatId,
    /// The latest heartbeat that this controller received from the member as the leader.
    pub acknowledged: Option<LeaderHeartbeat>,
}

/// A heartbeat of this process whose acknowledgement is still recognised.
struct SentHeartbeat {
    sequence: u64,
    sent_at: Instant,
}

/// A period in which a member certainly answers no worker heartbeats.
struct AbstentionPeriod {
    began_at: Instant,
    ends_at: Instant,
}

/// The abstention of this controller and, while it leads, those of the other controllers.
///
/// Invariant: `sole_renewer_since` never returns a moment before the last worker heartbeat
/// that another controller answered in this term.
pub struct RenewalAbstentions {
    other_members: Vec<String>,
    /// The incarnation of this process, drawn at each start.
    incarnation: u64,
    /// How long a controller abstains after it has received a leader's heartbeat.
    abstention_duration: Duration,
    /// When this controller's abstention last began. A process doesn't know which
    /// heartbeats a former process of the same member acknowledged, so its start counts
    /// like the receipt of a leader's heartbeat.
    abstaining_since: Instant,
    /// The latest heartbeat that each member sent as the leader.
    leader_heartbeats: HashMap<String, LeaderHeartbeat>,
    last_sequence: u64,
    /// Heartbeats whose acknowledgement is still recognised, in the order of `sequence`.
    sent_heartbeats: VecDeque<SentHeartbeat>,
    /// The latest abstention of each other member.
    abstention_periods: HashMap<String, AbstentionPeriod>,
}

impl RenewalAbstentions {
    /// Creates the state at the start of a process. `other_members`: the other controllers.
    /// `incarnation`: of this process. `abstention_duration`: how long a follower abstains
    /// after it has received a leader's heartbeat.
    pub fn new(
        other_members: Vec<String>,
        incarnation: u64,
        abstention_duration: Duration,
        now: Instant,
    ) -> Self {
        Self {
            other_members,
            incarnation,
            abstention_duration,
            abstaining_since: now,
            leader_heartbeats: HashMap::new(),
            last_sequence: 0,
            sent_heartbeats: VecDeque::new(),
            abstention_periods: HashMap::new(),
        }
    }

    /// Begins a term of this controller as the leader: only abstentions from now on
    /// count. Another controller may have led and answered workers since an earlier term,
    /// so acknowledgements of that term's heartbeats prove nothing.
    pub fn begin_term(&mut self) {
        self.sent_heartbeats.clear();
        self.abstention_periods.clear();
    }

    /// Returns the identity of the next heartbeat to a member and the heartbeat that it
    /// acknowledges. Remembers the heartbeat as sent now.
    pub fn next_heartbeat(&mut self, receiver: &str, now: Instant) -> OutgoingHeartbeat {
        self.last_sequence += 1;
        self.sent_heartbeats
            .push_back(SentHeartbeat { sequence: self.last_sequence, sent_at: now });
        self.drop_expired_heartbeats(now);
        OutgoingHeartbeat {
            id: HeartbeatId { incarnation: self.incarnation, sequence: self.last_sequence },
            acknowledged: self.leader_heartbeats.get(receiver).copied(),
        }
    }

    fn drop_expired_heartbeats(&mut self, now: Instant) {
        let retention = self.abstention_duration * HEARTBEAT_RETENTION_FACTOR;
        while self.sent_heartbeats.front().is_some_and(|oldest| now > oldest.sent_at + retention) {
            self.sent_heartbeats.pop_front();
        }
    }

    /// Records a member's heartbeat. `leader_revision`: the revision of the sender's watch
    /// cache, if the sender leads. Returns when the acknowledged heartbeat was sent, if
    /// this process sent it and still remembers it.
    pub fn receive(
        &mut self,
        sender: &str,
        id: HeartbeatId,
        leader_revision: Option<u64>,
        acknowledged: Option<HeartbeatId>,
        now: Instant,
    ) -> Option<Instant> {
        if let Some(revision) = leader_revision {
            self.abstaining_since = now;
            self.leader_heartbeats.insert(sender.to_owned(), LeaderHeartbeat { id, revision });
        }
        let sent_at = self.sent_at(acknowledged?)?;
        let ends_at = sent_at + self.abstention_duration.mul_f64(RELIABLE_ABSTENTION_SHARE);
        let period = self
            .abstention_periods
            .entry(sender.to_owned())
            .or_insert(AbstentionPeriod { began_at: now, ends_at });
        if now > period.ends_at {
            // The member may have answered worker heartbeats after the last period.
            period.began_at = now;
        }
        period.ends_at = period.ends_at.max(ends_at);
        Some(sent_at)
    }

    /// The incarnation of this process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// When this process sent a heartbeat. None if the heartbeat is not remembered or a
    /// former process of this member sent it.
    pub fn sent_at(&self, id: HeartbeatId) -> Option<Instant> {
        if id.incarnation != self.incarnation {
            return None;
        }
        let index =
            self.sent_heartbeats.binary_search_by_key(&id.sequence, |sent| sent.sequence).ok()?;
        self.sent_heartbeats.get(index).map(|sent| sent.sent_at)
    }

    /// Whether this controller may renew worker leases as a follower, which it may not
    /// during its abstention.
    pub fn may_renew(&self, now: Instant) -> bool {
        now > self.abstaining_since + self.abstention_duration
    }

    /// Returns the moment since which certainly no other controller has answered worker
    /// heartbeats. None if another controller might be answering now.
    pub fn sole_renewer_since(&self, now: Instant) -> Option<Instant> {
        let mut since = None;
        for member in &self.other_members {
            let period = self.abstention_periods.get(member)?;
            if now > period.ends_at {
                return None;
            }
            since = since.max(Some(period.began_at));
        }
        // Without other members, no other controller ever renews leases.
        Some(since.unwrap_or(self.abstaining_since))
    }
}
