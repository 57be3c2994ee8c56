//! Keeping tasks alive while nobody can lead.
//!
//! A leader that ends within an outage of the state service has no successor
//! until the outage ends, and worker leases are shorter than most outages. So
//! other controllers answer reports meanwhile, with the token that the worker
//! knows and without commands: that renews its lease and starts nothing.
//!
//! Such answers would void a leader's proof that a silent worker's tasks are
//! gone (`fleet.rs`). What keeps both apart are promises: a controller that
//! hears a leader's heartbeat answers no report for a while, and says in its
//! own next heartbeat which one it heard. A leader uses the proof only while
//! promises of all others have covered the whole time that the proof counts.
//! Heartbeats may come late or not at all: the leader counts a promise from
//! when it *sent* what was heard, and without promises it has no proof. Whoever
//! echoes a heartbeat of this term also leads no more, since a heartbeat carries
//! the token that deposes it. So promises of all others prove even for workers
//! that this leader never heard: the last report that anybody answered was sent
//! before the promises began.
//!
//! Whoever renews leases may not know of the latest cancellations: the state
//! service may refuse a leader alone while another controller confirms some,
//! and then be down for all. A leader told of them by another controller stops
//! their tasks, since an end that was told is durable. But it answers workers
//! only while, for each other controller, what that may have told users is
//! known up to a moment so short ago that leases still run out within
//! `cancel_s` (`KnownCancellations`). Followers that renew end by the same limit.

use std::collections::{HashMap, VecDeque};

use tokio::time::{Duration, Instant};

/// Steady clocks drift apart by far less than this share.
const DRIFT: f64 = 0.99;

/// For so many promises' time an echo is recognised. One that comes late
/// promises nothing, but still tells up to when the sender's word holds.
const REMEMBERED_HEARTBEATS: u32 = 8;

/// A heartbeat by which a process can be told from its former self.
pub type HeartbeatId = (u64, u64);

pub struct RenewalAbstentions {
    members: Vec<String>,
    /// Drawn at each start.
    incarnation: u64,
    /// How long a heard heartbeat of a leader binds this controller.
    abstention: Duration,
    /// This process may not know what its former self promised, so its start
    /// counts like a heartbeat.
    bound_since: Instant,
    /// The latest heartbeat as a leader, by member, and its watch cache's revision.
    heard: HashMap<String, (HeartbeatId, u64)>,
    count: u64,
    sent: VecDeque<(u64, Instant)>,
    /// For each member, from when until when it surely answers no reports.
    covered: HashMap<String, (Instant, Instant)>,
}

impl RenewalAbstentions {
    pub fn new(members: Vec<String>, incarnation: u64, abstention: Duration, now: Instant) -> Self {
        Self {
            members,
            incarnation,
            abstention,
            bound_since: now,
            heard: HashMap::new(),
            count: 0,
            sent: VecDeque::new(),
            covered: HashMap::new(),
        }
    }

    /// A term as leader begins: only what is promised from now on counts. An
    /// echo of an earlier term's heartbeat says nothing of whoever led between.
    pub fn begin_term(&mut self) {
        self.sent.clear();
        self.covered.clear();
    }

    /// The mark of the next heartbeat to a member, and what was last heard
    /// from that member as a leader.
    pub fn beat(&mut self, to: &str, now: Instant) -> (HeartbeatId, Option<(HeartbeatId, u64)>) {
        self.count += 1;
        self.sent.push_back((self.count, now));
        while self
            .sent
            .front()
            .is_some_and(|(_, at)| now > *at + self.abstention * REMEMBERED_HEARTBEATS)
        {
            self.sent.pop_front();
        }
        ((self.incarnation, self.count), self.heard.get(to).copied())
    }

    /// Takes in a member's heartbeat, and tells when the one that it echoes
    /// left here. `leads`: the revision of its watch cache, if it leads.
    pub fn heard_from(
        &mut self,
        from: &str,
        id: HeartbeatId,
        leads: Option<u64>,
        acknowledged: Option<HeartbeatId>,
        now: Instant,
    ) -> Option<Instant> {
        if let Some(revision) = leads {
            self.bound_since = now;
            self.heard.insert(from.to_owned(), (id, revision));
        }
        let (_, count) =
            acknowledged.filter(|(incarnation, _)| *incarnation == self.incarnation)?;
        let at = self.sent.binary_search_by_key(&count, |(c, _)| *c).ok()?;
        let sent = self.sent.get(at)?.1;
        let until = sent + self.abstention.mul_f64(DRIFT);
        let cover = self.covered.entry(from.to_owned()).or_insert((now, until));
        if now > cover.1 {
            // It may have answered reports in between.
            cover.0 = now;
        }
        cover.1 = cover.1.max(until);
        Some(sent)
    }

    /// Whether no promise binds this controller.
    pub fn free(&self, now: Instant) -> bool {
        now > self.bound_since + self.abstention
    }

    /// Since when surely no other controller has answered reports, or none if
    /// one might be answering now.
    pub fn alone_since(&self, now: Instant) -> Option<Instant> {
        let mut since = None;
        for member in &self.members {
            let (from, until) = *self.covered.get(member)?;
            if now > until {
                return None;
            }
            since = since.max(Some(from));
        }
        // The only controller is always alone.
        Some(since.unwrap_or(self.bound_since))
    }
}

/// Up to when this controller knows of every cancellation that users may have
/// been told of.
///
/// A reading of the state service counts for all controllers, from when it was
/// asked for: only durable ends are told. A heartbeat with all that its sender
/// may have told counts for that one, from when the heartbeat that it echoes
/// left here. It is enough that each sender looks at its own watch cache: what a
/// former process of the same member told is in the watch cache of the next one as
/// soon as that has read the records, and before that it says nothing.
#[derive(Default)]
pub struct KnownCancellations {
    read: Option<Instant>,
    members: HashMap<String, Instant>,
}

impl KnownCancellations {
    pub fn read(&mut self, asked: Instant) {
        self.read = self.read.max(Some(asked));
    }

    pub fn heard_all(&mut self, member: &str, sent: Instant) {
        let known = self.members.entry(member.to_owned()).or_insert(sent);
        *known = sent.max(*known);
    }

    /// When the state service was last read.
    pub fn last_read(&self) -> Option<Instant> {
        self.read
    }

    /// The moment up to which all that any of `members` told is known.
    pub fn of<'a>(&self, members: impl Iterator<Item = &'a str>) -> Option<Instant> {
        members.map(|m| self.read.max(self.members.get(m).copied())).min().unwrap_or(self.read)
    }
}

#[cfg(test)]
mod tests;
