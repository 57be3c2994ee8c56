//! Who abstains from renewing workers' leases, and since when.

use std::collections::{HashMap, VecDeque};

use tokio::time::{Duration, Instant};

use crate::protocol::HeartbeatId;

/// The share of an abstention that its beneficiary counts on. Steady clocks
/// drift apart by far less than the rest.
const COUNTED_SHARE: f64 = 0.99;

/// An acknowledgement is recognised for so many abstentions' time. One that
/// comes late proves no abstention, but still dates the sender's notice of
/// cancellations.
const REMEMBERED_ABSTENTIONS: u32 = 8;

/// A leader's heartbeat, as a follower acknowledges it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderHeartbeat {
    /// The identity of the heartbeat.
    pub id: HeartbeatId,
    /// The revision of the leader's watch cache.
    pub revision: u64,
}

/// What identifies the next heartbeat to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutgoingHeartbeat {
    /// The identity of the heartbeat.
    pub id: HeartbeatId,
    /// The latest heartbeat that was received from that member as a leader.
    pub acknowledged: Option<LeaderHeartbeat>,
}

struct SentHeartbeat {
    sequence: u64,
    sent_at: Instant,
}

/// The time in which a member certainly answers no worker heartbeats.
struct AbstentionPeriod {
    from: Instant,
    until: Instant,
}

/// This controller's own abstention and, as a leader, those of the others.
///
/// Invariant: what `sole_renewer_since` returns is never earlier than the last
/// worker heartbeat that any other member answered in this term.
pub struct RenewalAbstentions {
    members: Vec<String>,
    /// Of this process, drawn at each start.
    incarnation: u64,
    /// For how long a leader's heartbeat binds whoever receives it.
    abstention: Duration,
    /// When this controller's own abstention last began. A process may not know
    /// what its predecessor of the same member acknowledged, so its start counts
    /// like a leader's heartbeat.
    abstaining_since: Instant,
    /// The latest heartbeat of each member that was a leader's.
    leader_heartbeats: HashMap<String, LeaderHeartbeat>,
    last_sequence: u64,
    /// Heartbeats whose acknowledgement would still be recognised, by sequence.
    sent: VecDeque<SentHeartbeat>,
    /// The abstentions of the other members.
    periods: HashMap<String, AbstentionPeriod>,
}

impl RenewalAbstentions {
    /// `members`: the other controllers. `incarnation`: of this process.
    /// `abstention`: for how long a leader's heartbeat binds a follower.
    pub fn new(members: Vec<String>, incarnation: u64, abstention: Duration, now: Instant) -> Self {
        Self {
            members,
            incarnation,
            abstention,
            abstaining_since: now,
            leader_heartbeats: HashMap::new(),
            last_sequence: 0,
            sent: VecDeque::new(),
            periods: HashMap::new(),
        }
    }

    /// A term as leader begins: only abstentions from now on count. An
    /// acknowledgement of an earlier term's heartbeat proves nothing about
    /// whoever led in between.
    pub fn begin_term(&mut self) {
        self.sent.clear();
        self.periods.clear();
    }

    /// The identity of the next heartbeat to a member, and what it acknowledges.
    pub fn next_heartbeat(&mut self, receiver: &str, now: Instant) -> OutgoingHeartbeat {
        self.last_sequence += 1;
        self.sent.push_back(SentHeartbeat { sequence: self.last_sequence, sent_at: now });
        self.forget_old_heartbeats(now);
        OutgoingHeartbeat {
            id: HeartbeatId { incarnation: self.incarnation, sequence: self.last_sequence },
            acknowledged: self.leader_heartbeats.get(receiver).copied(),
        }
    }

    fn forget_old_heartbeats(&mut self, now: Instant) {
        let remembered = self.abstention * REMEMBERED_ABSTENTIONS;
        while self.sent.front().is_some_and(|oldest| now > oldest.sent_at + remembered) {
            self.sent.pop_front();
        }
    }

    /// Records a member's heartbeat. `leader_revision`: the revision of the
    /// sender's watch cache, if it leads. Returns when the heartbeat that it
    /// acknowledges was sent, if that is one of this process and not too old.
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
        let until = sent_at + self.abstention.mul_f64(COUNTED_SHARE);
        let period =
            self.periods.entry(sender.to_owned()).or_insert(AbstentionPeriod { from: now, until });
        if now > period.until {
            // It may have answered worker heartbeats in between.
            period.from = now;
        }
        period.until = period.until.max(until);
        Some(sent_at)
    }

    fn sent_at(&self, id: HeartbeatId) -> Option<Instant> {
        if id.incarnation != self.incarnation {
            return None;
        }
        let index = self.sent.binary_search_by_key(&id.sequence, |sent| sent.sequence).ok()?;
        self.sent.get(index).map(|sent| sent.sent_at)
    }

    /// Whether this controller may renew workers' leases: no abstention binds it.
    pub fn may_renew(&self, now: Instant) -> bool {
        now > self.abstaining_since + self.abstention
    }

    /// Since when certainly no other controller has answered worker heartbeats,
    /// or none if one might be answering now.
    pub fn sole_renewer_since(&self, now: Instant) -> Option<Instant> {
        let mut since = None;
        for member in &self.members {
            let period = self.periods.get(member)?;
            if now > period.until {
                return None;
            }
            since = since.max(Some(period.from));
        }
        // Without other members nobody else ever renews.
        Some(since.unwrap_or(self.abstaining_since))
    }
}
