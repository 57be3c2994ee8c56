//! The record of one machine, as the leader keeps it for its term.

use std::{collections::BTreeSet, sync::Arc};

use tokio::time::{Duration, Instant};

use super::{image_cache::ImageCache, open_starts::OpenStarts, task_key::TaskKey};
use crate::{
    protocol::{JobId, MachineState},
    scheduler::Resources,
};

/// A worker counts as alive while its last own heartbeat is newer than this many
/// heartbeat intervals.
const ALIVE_INTERVALS: u32 = 3;

/// The order of a worker's heartbeats: by incarnation, then by sequence number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatSequence {
    /// The life of the worker's agent; it rises when the agent's lease expires.
    pub incarnation: u64,
    /// The heartbeat's number within the incarnation.
    pub sequence: u64,
}

/// A machine of the fleet, its worker and the tasks bound to it.
#[derive(Debug)]
pub struct Machine {
    /// The name of its machine type; empty while only the records name the machine.
    pub machine_type: Arc<str>,
    /// The name of its zone.
    pub zone: Arc<str>,
    /// The cloud may take it back at any time.
    pub spot: bool,
    /// Where its worker takes direct commands; empty while that is not known.
    pub address: String,
    /// Known since (rented, listed, or its first heartbeat).
    pub known_since: Instant,
    /// The latest heartbeat that was taken.
    pub latest_heartbeat: HeartbeatSequence,
    /// The worker has shown a token of this term.
    pub acknowledged_term: bool,
    /// The highest token that the leader gave this worker, or saw there.
    pub token: u64,
    /// When the leader last answered a heartbeat of this worker, or the worker a
    /// direct command.
    pub last_contact: Option<Instant>,
    /// When it last sent a heartbeat by itself: a worker that only answers direct
    /// commands gets no lease.
    pub last_heartbeat: Option<Instant>,
    /// When it was last redirected to look for another leader.
    pub redirected_at: Option<Instant>,
    /// No task of this incarnation or an earlier one can be on the machine.
    pub last_ended_incarnation: u64,
    /// The tasks that records bind to it.
    pub bound: BTreeSet<TaskKey>,
    /// Direct start commands of this incarnation that may still be carried out.
    pub open_starts: OpenStarts,
    /// A direct request is in flight.
    pub commands_in_flight: bool,
    /// What tasks on the machine use that the leader has not bound there.
    pub unmanaged: Resources,
    /// Images fetched here, as far as the leader placed their tasks.
    pub images: ImageCache,
    /// When the cloud will take it back, as it announced.
    pub reclaim_at: Option<Instant>,
    /// It is being returned to the cloud.
    pub deleting: bool,
    /// It gets no tasks before then: it failed tasks, or does not acknowledge commands.
    pub quarantined_until: Option<Instant>,
    /// Jobs whose tasks failed here since a task was last done.
    pub failed_jobs: BTreeSet<JobId>,
    /// How often in a row it did not carry out a command.
    pub unacknowledged_commands: u32,
    /// Holds no task since.
    pub idle_since: Option<Instant>,
    /// Its state in the cloud's last list.
    pub listed_state: Option<MachineState>,
}

impl Machine {
    /// A machine of which nothing else is known yet.
    pub fn new(machine_type: Arc<str>, zone: Arc<str>, spot: bool, now: Instant) -> Self {
        Self {
            machine_type,
            zone,
            spot,
            address: String::new(),
            known_since: now,
            latest_heartbeat: HeartbeatSequence::default(),
            acknowledged_term: false,
            token: 0,
            last_contact: None,
            last_heartbeat: None,
            redirected_at: None,
            last_ended_incarnation: 0,
            bound: BTreeSet::new(),
            open_starts: OpenStarts::default(),
            commands_in_flight: false,
            unmanaged: Resources::default(),
            images: ImageCache::default(),
            reclaim_at: None,
            deleting: false,
            quarantined_until: None,
            failed_jobs: BTreeSet::new(),
            unacknowledged_commands: 0,
            idle_since: None,
            listed_state: None,
        }
    }

    /// A machine that only a record names. Its type is learned from the cloud's list or its
    /// first heartbeat.
    pub fn of_unknown_type(zone: Arc<str>, now: Instant) -> Self {
        Self::new(Arc::from(""), zone, false, now)
    }

    /// Whether its worker was in contact with the leader within this term.
    pub fn has_reported(&self) -> bool {
        self.last_contact.is_some()
    }

    /// Whether its worker never reported, to this leader or, as far as that knows, to a
    /// former one.
    pub fn never_reported(&self) -> bool {
        !self.has_reported() && self.last_ended_incarnation == 0
    }

    /// Whether its worker was at work before: it reported, or tasks are bound to it.
    pub fn was_up(&self) -> bool {
        !self.never_reported() || !self.bound.is_empty()
    }

    /// How long the leader has had no contact with it (since it was known, if never).
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_contact.unwrap_or(self.known_since))
    }

    /// Whether new tasks may be bound to it.
    pub fn is_ready(&self, now: Instant, heartbeat_interval: Duration) -> bool {
        self.is_usable(now, heartbeat_interval)
            && self.quarantined_until.is_none_or(|until| until <= now)
    }

    /// Whether its worker is alive and under the leader's command.
    pub fn is_usable(&self, now: Instant, heartbeat_interval: Duration) -> bool {
        let alive_within = heartbeat_interval * ALIVE_INTERVALS;
        self.acknowledged_term
            && !self.deleting
            && self.reclaim_at.is_none()
            && self.latest_heartbeat.incarnation > self.last_ended_incarnation
            && self.last_heartbeat.is_some_and(|at| now < at + alive_within)
    }

    /// The incarnation that tasks on it belong to, as its heartbeats or else the
    /// records say.
    pub fn incarnation(&self, recorded: impl Iterator<Item = u64>) -> u64 {
        let latest = self.latest_heartbeat.incarnation;
        if latest > 0 { latest } else { recorded.max().unwrap_or(0) }
    }

    /// Proof of termination by lease: the worker ended its incarnation by itself, since
    /// nobody renewed its lease for that long. `sole_renewer_since`: since when only the
    /// leader does, within its term. It need not have been in contact with the worker.
    pub fn lease_expired(
        &self,
        now: Instant,
        lease: Duration,
        sole_renewer_since: Option<Instant>,
    ) -> bool {
        sole_renewer_since
            .is_some_and(|sole| now > self.last_contact.map_or(sole, |at| at.max(sole)) + lease)
    }

    /// Gives it no tasks until then.
    pub fn quarantine(&mut self, until: Instant) {
        self.quarantined_until = Some(until);
    }

    /// A command was not carried out: the machine gets no tasks for a while.
    pub fn record_unacknowledged_command(&mut self, until: Instant) {
        self.unacknowledged_commands += 1;
        self.quarantine(until);
    }
}
