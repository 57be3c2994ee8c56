//! The moments up to which the cancellations that each controller confirmed are known.

use std::collections::HashMap;

use tokio::time::{Duration, Instant};

use crate::protocol::{CancellationSync, CoverageAge, KnownMember};

/// An upper bound on the ratio of two durations that the monotonic clocks of two controllers
/// measure for the same period.
const CLOCK_DRIFT_FACTOR: f64 = 1.001;

/// The share of a promised replication hold on which the receiver of the promise relies. The
/// clocks of two controllers drift apart by far less than the rest.
const RELIABLE_HOLD_SHARE: f64 = 0.99;

/// Another controller's report on the cancellations that it knows.
pub struct KnowledgeReport<'a> {
    /// The member that sent the report.
    pub sender: &'a str,
    /// The report.
    pub sync: &'a CancellationSync,
    /// Whether this controller now knows every cancellation that the sender knew.
    pub is_complete: bool,
    /// When this process sent the heartbeat that the report acknowledges. The report was
    /// composed later.
    pub acknowledged_sent_at: Instant,
    /// When the report was received.
    pub received_at: Instant,
}

impl KnowledgeReport<'_> {
    /// The earliest moment that can have been `age_ms` milliseconds before the report was composed.
    fn earliest(&self, age_ms: u64) -> Option<Instant> {
        let age = Duration::from_millis(age_ms).mul_f64(CLOCK_DRIFT_FACTOR);
        self.acknowledged_sent_at.checked_sub(age)
    }

    /// The latest moment that can have been `age_ms` milliseconds before the report was composed.
    fn latest(&self, age_ms: u64) -> Instant {
        let age = Duration::from_millis(age_ms).div_f64(CLOCK_DRIFT_FACTOR);
        self.received_at.checked_sub(age).unwrap_or(self.received_at)
    }

    /// The period that is certainly covered by promises to the sender, `acknowledged_sent_at` at
    /// the latest.
    fn coverage(&self, age: CoverageAge) -> Option<Coverage> {
        Some(Coverage { from: self.latest(age.from_ms), until: self.earliest(age.until_ms)? })
    }
}

/// For each controller, the moment up to which this process knows every cancellation that any
/// process of that controller may have confirmed to users. These moments never move back.
///
/// A process knows nothing when it starts: a cancellation may be of any age, and the controller
/// that confirmed it may have crashed. It learns from
///
/// - a read of the state service, since only durable ends are confirmed: everything up to the
///   moment when the read was requested;
/// - a complete notice of another controller: everything that the sender knew when it composed the
///   notice, which is after this process sent the heartbeat that the notice acknowledges;
/// - the promises of a controller (`CancellationReplication`), also for the time after it has
///   crashed: all that it confirms while they are in force is known to this process or to each
///   other controller with such promises, and so to this process once one of those has told all
///   that it knows.
pub struct KnownCancellations {
    own_member: String,
    started_at: Instant,
    /// For how long a promise holds.
    replication_hold: Duration,
    /// When the latest read of the state service was requested.
    last_read_at: Option<Instant>,
    /// By member. The entry of the own member is about former processes; the present one knows
    /// all that it confirms itself.
    known_until: HashMap<String, Instant>,
    /// The period in which promises to this process cover a member's confirmations, without a
    /// gap. By member.
    coverage: HashMap<String, Coverage>,
    members: Vec<String>,
}

/// A period in which every confirmation of a member is covered by promises. It may end in the
/// future.
#[derive(Clone, Copy, Debug)]
struct Coverage {
    from: Instant,
    until: Instant,
}

impl KnownCancellations {
    /// Creates the state of a process that starts now. `replication_hold`: for how long a
    /// promise holds after its sender received the acknowledged heartbeat.
    pub fn new(
        own_member: &str,
        other_members: &[String],
        replication_hold: Duration,
        now: Instant,
    ) -> Self {
        let mut members = other_members.to_vec();
        members.push(own_member.to_owned());
        Self {
            own_member: own_member.to_owned(),
            started_at: now,
            replication_hold,
            last_read_at: None,
            known_until: HashMap::new(),
            coverage: HashMap::new(),
            members,
        }
    }

    /// Records a successful read of the state service. `requested_at`: when the read was
    /// requested.
    pub fn record_read(&mut self, requested_at: Instant) {
        self.last_read_at = self.last_read_at.max(Some(requested_at));
        for member in self.members.clone() {
            self.advance(&member, requested_at);
        }
    }

    /// Returns when the latest read of the state service was requested.
    pub fn last_read_at(&self) -> Option<Instant> {
        self.last_read_at
    }

    /// Records a notice with all cancellations of a member that has read the records since its
    /// process started. `sent_at`: when this controller sent the heartbeat that the member
    /// acknowledges together with the notice.
    pub fn record_complete_notice(&mut self, member: &str, sent_at: Instant) {
        self.advance(member, sent_at);
    }

    /// Records a report of another controller.
    pub fn record_report(&mut self, report: &KnowledgeReport<'_>) {
        if report.is_complete {
            self.record_shared_knowledge(report);
        }
        if report.sync.hold_promised {
            self.record_promise(report);
        }
        if report.is_complete {
            self.combine_coverage(report);
        }
    }

    /// Takes over what the sender knows about all members.
    fn record_shared_knowledge(&mut self, report: &KnowledgeReport<'_>) {
        for known in &report.sync.known {
            let known_until = known.age_ms.and_then(|age_ms| report.earliest(age_ms));
            if let Some(known_until) = known_until {
                self.advance(&known.member, known_until);
            }
        }
    }

    /// Records a promise of the sender. It extends the earlier ones if there is no time between
    /// them in which the member may have confirmed anything without a promise, apart from what
    /// is known here anyway.
    fn record_promise(&mut self, report: &KnowledgeReport<'_>) {
        let sender = report.sender;
        let hold = self.replication_hold.mul_f64(RELIABLE_HOLD_SHARE);
        let until = report.acknowledged_sent_at + hold;
        let from = report.latest(report.sync.covered_for_ms);
        match self.coverage.get_mut(sender) {
            Some(coverage) if from <= coverage.until => {
                coverage.until = until.max(coverage.until);
            }
            _ => {
                self.coverage.insert(sender.to_owned(), Coverage { from, until });
            }
        }
        let is_only_other = self.members.len() == 2;
        if is_only_other && let Some(coverage) = self.coverage.get(sender).copied() {
            self.advance_within(sender, coverage);
        }
    }

    /// Combines this process's knowledge with the sender's, whose whole knowledge is known here: of
    /// what is covered by promises to both, each confirmation was acknowledged by one of them.
    fn combine_coverage(&mut self, report: &KnowledgeReport<'_>) {
        for known in &report.sync.known {
            let own = self.coverage.get(&known.member).copied();
            let senders = known.coverage.and_then(|age| report.coverage(age));
            if let (Some(own), Some(senders)) = (own, senders) {
                let from = own.from.max(senders.from);
                let until = own.until.min(senders.until);
                self.advance_within(&known.member, Coverage { from, until });
            }
        }
    }

    /// Records that all is known that a member confirmed within a period. That says something only
    /// if all that it confirmed before the period is known as well.
    fn advance_within(&mut self, member: &str, period: Coverage) {
        if self.known_until.get(member).is_some_and(|until| *until >= period.from) {
            self.advance(member, period.until);
        }
    }

    fn advance(&mut self, member: &str, until: Instant) {
        if let Some(known_until) = self.known_until.get_mut(member) {
            *known_until = until.max(*known_until);
        } else {
            self.known_until.insert(member.to_owned(), until);
        }
    }

    /// Returns the moment up to which every cancellation that a member may have confirmed is
    /// known, `now` at the latest.
    fn member_known_until(&self, member: &str, now: Instant) -> Option<Instant> {
        let known_until = *self.known_until.get(member)?;
        // Former processes of this member ended before the present one started.
        let knows_former_processes = member == self.own_member && known_until >= self.started_at;
        Some(if knows_former_processes { now } else { known_until.min(now) })
    }

    /// Returns the moment up to which every cancellation is known that any controller may have
    /// confirmed, `now` at the latest. None if that is unknown of any controller.
    pub fn known_until(&self, now: Instant) -> Option<Instant> {
        let mut earliest = now;
        for member in &self.members {
            earliest = earliest.min(self.member_known_until(member, now)?);
        }
        Some(earliest)
    }

    /// Returns what is known about each member, for a report to another controller.
    pub fn report(&self, now: Instant) -> Vec<KnownMember> {
        let member_knowledge = |member: &String| {
            let known_until = self.member_known_until(member, now);
            let coverage = self.coverage.get(member);
            KnownMember {
                member: member.clone(),
                age_ms: known_until.map(|at| age_rounded_up(at, now)),
                coverage: coverage.map(|coverage| CoverageAge {
                    from_ms: now.saturating_duration_since(coverage.from).as_millis() as u64,
                    until_ms: age_rounded_up(coverage.until, now),
                }),
            }
        };
        self.members.iter().map(member_knowledge).collect()
    }
}

/// The time since `at` in milliseconds, rounded up: knowledge must not seem more recent than it is.
fn age_rounded_up(at: Instant, now: Instant) -> u64 {
    now.saturating_duration_since(at).as_micros().div_ceil(1000) as u64
}
