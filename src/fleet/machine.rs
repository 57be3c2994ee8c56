//! The record of one machine, which the leader keeps in memory for its term.

use std::{collections::BTreeSet, sync::Arc};

use tokio::time::{Duration, Instant};

use super::{image_cache::ImageCache, open_starts::OpenStarts, task_key::TaskKey};
use crate::{
    protocol::{JobId, MachineState},
    scheduler::Resources,
};

/// A worker counts as alive for this many heartbeat intervals after the last heartbeat that
/// it sent by itself, which excludes its responses to direct commands.
const ALIVE_INTERVALS: u32 = 3;

/// The order of a worker's heartbeats: by incarnation, then by sequence number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatSequence {
    /// The incarnation of the worker's agent. It rises when the agent's lease expires.
    pub incarnation: u64,
    /// The sequence number of the heartbeat within the incarnation.
    pub sequence: u64,
}

/// A machine of the fleet, with the state of its worker and the tasks bound to it.
#[derive(Debug)]
pub struct Machine {
    /// The name of the machine type. Empty while the machine is known only from bindings in
    /// the records.
    pub machine_type: Arc<str>,
    /// The name of the zone.
    pub zone: Arc<str>,
    /// Whether this is a spot machine, which the cloud may reclaim at any time.
    pub spot: bool,
    /// The address at which the worker receives direct commands. Empty while unknown.
    pub address: String,
    /// When the machine became known: when it was provisioned or listed, or sent its first
    /// heartbeat. For a booting machine from a list, the start of its boot.
    pub known_since: Instant,
    /// The position of the latest recorded heartbeat.
    pub latest_heartbeat: HeartbeatSequence,
    /// Whether the latest heartbeat of the worker carried a token of this term.
    pub acknowledged_term: bool,
    /// The highest token that the leader has assigned to this worker or received from it.
    pub token: u64,
    /// When the leader last answered a heartbeat of the worker, or the worker last answered a
    /// direct command.
    pub last_contact: Option<Instant>,
    /// When the worker last sent a heartbeat by itself. Responses to direct commands don't
    /// count, since they don't renew the worker's lease.
    pub last_heartbeat: Option<Instant>,
    /// When the worker was last redirected to find another leader.
    pub redirected_at: Option<Instant>,
    /// The latest incarnation that is known to have ended: no task of this or an earlier
    /// incarnation can be on the machine. 0 if none is known.
    pub last_ended_incarnation: u64,
    /// The tasks bound to the machine, including bindings whose records are still to be
    /// committed.
    pub bound: BTreeSet<TaskKey>,
    /// Direct start commands that the worker's current incarnation may still carry out.
    pub open_starts: OpenStarts,
    /// Whether a request with direct commands is in flight.
    pub commands_in_flight: bool,
    /// The resources used by tasks on the machine that the leader has not bound there.
    pub unmanaged: Resources,
    /// The images that the machine is assumed to hold, from the tasks that were bound to it.
    pub images: ImageCache,
    /// When the cloud will reclaim the machine, if it has given notice.
    pub reclaim_at: Option<Instant>,
    /// Whether the machine is being returned to the cloud.
    pub deleting: bool,
    /// No new tasks are bound before this time, since tasks failed here or commands were not
    /// carried out.
    pub quarantined_until: Option<Instant>,
    /// The jobs whose tasks failed here since a task last completed here.
    pub failed_jobs: BTreeSet<JobId>,
    /// The number of consecutive commands that the worker did not carry out.
    pub unacknowledged_commands: u32,
    /// The time since which the machine holds no task.
    pub idle_since: Option<Instant>,
    /// The state of the machine in the latest list from the cloud.
    pub listed_state: Option<MachineState>,
}

impl Machine {
    /// Creates the record of a machine whose worker has not reported yet.
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

    /// Creates the record of a machine that is known only from a binding in the records. Its
    /// type is learned from the cloud's list or from its first heartbeat.
    pub fn of_unknown_type(zone: Arc<str>, now: Instant) -> Self {
        Self::new(Arc::from(""), zone, false, now)
    }

    /// Whether the worker has been in contact with the leader in this term.
    pub fn has_reported(&self) -> bool {
        self.last_contact.is_some()
    }

    /// Whether the worker has never reported to this leader, nor is known to have reported to
    /// a former one.
    pub fn never_reported(&self) -> bool {
        !self.has_reported() && self.last_ended_incarnation == 0
    }

    /// Whether the machine is known to have been running: its worker has reported, or tasks
    /// are bound to it.
    pub fn was_running(&self) -> bool {
        !self.never_reported() || !self.bound.is_empty()
    }

    /// Returns how long the leader has had no contact with the worker. Before the first contact
    /// that is the time since the machine became known.
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_contact.unwrap_or(self.known_since))
    }

    /// Whether new tasks may be bound to the machine.
    pub fn is_ready(&self, now: Instant, heartbeat_interval: Duration) -> bool {
        self.is_usable(now, heartbeat_interval)
            && self.quarantined_until.is_none_or(|until| until <= now)
    }

    /// Whether the worker is alive and has acknowledged this term, and the machine is neither
    /// being returned nor reclaimed.
    pub fn is_usable(&self, now: Instant, heartbeat_interval: Duration) -> bool {
        let alive_within = heartbeat_interval * ALIVE_INTERVALS;
        self.acknowledged_term
            && !self.deleting
            && self.reclaim_at.is_none()
            && self.latest_heartbeat.incarnation > self.last_ended_incarnation
            && self.last_heartbeat.is_some_and(|received_at| now < received_at + alive_within)
    }

    /// Returns the worker's current incarnation. Without a heartbeat in this term that is the
    /// highest of the `recorded` incarnations of its bindings.
    pub fn incarnation(&self, recorded: impl Iterator<Item = u64>) -> u64 {
        let latest = self.latest_heartbeat.incarnation;
        if latest > 0 { latest } else { recorded.max().unwrap_or(0) }
    }

    /// Whether the worker's lease has certainly expired, which proves that its tasks are
    /// terminated: the worker ends its incarnation by itself when its lease is not renewed.
    /// `sole_renewer_since`: the time since which only this leader can have renewed leases.
    /// The leader need not have been in contact with the worker.
    pub fn lease_expired(
        &self,
        now: Instant,
        lease: Duration,
        sole_renewer_since: Option<Instant>,
    ) -> bool {
        sole_renewer_since.is_some_and(|since| {
            now > self.last_contact.map_or(since, |contact_at| contact_at.max(since)) + lease
        })
    }

    /// Excludes the machine from new tasks until the given time.
    pub fn quarantine(&mut self, until: Instant) {
        self.quarantined_until = Some(until);
    }

    /// Records that a command was not carried out, and quarantines the machine.
    pub fn record_unacknowledged_command(&mut self, until: Instant) {
        self.unacknowledged_commands += 1;
        self.quarantine(until);
    }
}
