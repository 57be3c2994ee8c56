//! The leader's record of the fleet: the worker incarnation, heartbeats, loss of contact
//! and faults of each machine.
//!
//! A task counts as terminated on a machine only with one of these proofs:
//!
//! - a heartbeat with a newer (incarnation, sequence) and a token of the leader's term that
//!   does not list the task;
//! - a heartbeat of a later incarnation;
//! - a confirmation by the cloud that the machine was deleted;
//! - the expiry of the worker's lease, counted from the leader's last response to the worker
//!   or from the time since which no other controller can have renewed the lease, whichever
//!   is later (`lease_renewal`).

mod freshness;
mod image_cache;
mod machine;
mod machine_return;
mod open_starts;
mod partitioned_zones;
mod silence;
mod task_key;
mod termination;

use std::collections::{BTreeMap, HashMap};

use tokio::time::{Duration, Instant};

use crate::{
    fencing::TermTokens,
    protocol::{ListedMachine, MachineId, MachineState, WorkerHeartbeat},
    settings::Settings,
};
pub use freshness::Freshness;
pub use image_cache::ImageCache;
pub use machine::{HeartbeatSequence, Machine};
use machine_return::ReturnPolicy;
pub use machine_return::ReturnReason;
pub use open_starts::{OpenStarts, TaskAttempt};
use partitioned_zones::PartitionedZones;
use silence::Silence;
pub use task_key::TaskKey;
pub use termination::TerminationProof;

/// The upper limit on the age of a booting machine as listed by the cloud, in seconds.
const MAX_LISTED_AGE_S: f64 = 1e6;

/// A machine to return to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineReturn {
    /// The machine.
    pub machine: MachineId,
    /// The reason for the return.
    pub reason: ReturnReason,
}

/// All machines known to the leader.
#[derive(Default)]
pub struct Fleet {
    /// The machines whose deletion the cloud has not confirmed.
    pub machines: BTreeMap<MachineId, Machine>,
    /// The machines whose deletion the cloud has confirmed, with the time of the confirmation.
    /// Outdated lists and late heartbeats may still name them.
    pub deleted_machines: HashMap<MachineId, Instant>,
    partitioned_zones: PartitionedZones,
}

impl Fleet {
    /// Records a heartbeat and returns how new it is. `lease`: the duration of a worker's
    /// lease.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        tokens: TermTokens,
        lease: Duration,
        now: Instant,
    ) -> Freshness {
        if self.deleted_machines.contains_key(&heartbeat.machine) {
            return Freshness::Stale;
        }
        let machine = self.machines.entry(heartbeat.machine.clone()).or_insert_with(|| {
            let (kind, zone) = (heartbeat.machine_type.clone(), heartbeat.zone.clone());
            Machine::new(kind, zone, heartbeat.spot, now)
        });
        machine.record_heartbeat(heartbeat, tokens, lease, now)
    }

    /// Records the cloud's machine list: adds machines that are not known yet and updates
    /// the listed states. Lists lag behind, so a machine missing from one is not removed.
    pub fn record_listed_machines(&mut self, list: &[ListedMachine], now: Instant) {
        for listed in list {
            if self.deleted_machines.contains_key(&listed.id) {
                continue;
            }
            let machine = self
                .machines
                .entry(listed.id.clone())
                .or_insert_with(|| listed_machine(listed, now));
            machine.listed_state = Some(listed.state);
            if machine.address.is_empty() {
                machine.address.clone_from(&listed.address);
            }
        }
    }

    /// Whether the leader has had no contact for longer than `limit` with most of the
    /// machines that were running. The fault is then more likely in the leader or its network
    /// than in the machines. A new leader also counts machines that have tasks bound in the
    /// records.
    pub fn is_mostly_silent(&self, now: Instant, limit: Duration) -> bool {
        let mut silence = Silence::default();
        for machine in self.machines.values().filter(|m| m.was_running() && !m.deleting) {
            // A leader that doubts its leadership redirects workers. Such a worker may return
            // only after it has contacted every other controller.
            let redirected =
                machine.redirected_at.is_some_and(|redirected_at| now < redirected_at + limit * 2);
            silence.count(machine.silence(now) > limit && !redirected);
        }
        silence.is_widespread()
    }

    /// Returns the unusable machines that should be returned to the cloud, with the reasons
    /// for the operator. `boot_s` returns the usual boot time of a machine type in seconds.
    pub fn machines_to_return(
        &mut self,
        settings: &Settings,
        boot_s: impl Fn(&str) -> f64,
        proof: TerminationProof,
        now: Instant,
    ) -> Vec<MachineReturn> {
        let lease = settings.worker_lease();
        self.partitioned_zones.update(self.machines.values(), lease, now);
        let policy = ReturnPolicy {
            now,
            lease,
            proof,
            proof_expected: proof.is_expected(lease, now),
            mostly_silent: self.is_mostly_silent(now, lease),
            reconnect_timeout: self.worker_reconnect_timeout(lease, now),
            partitioned: &self.partitioned_zones,
        };
        let mut returns = Vec::new();
        for (id, machine) in self.machines.iter().filter(|(_, m)| !m.deleting) {
            let boot = Duration::from_secs_f64(boot_s(&machine.machine_type));
            if let Some(reason) = policy.reason(machine, boot) {
                returns.push(MachineReturn { machine: id.clone(), reason });
            }
        }
        returns
    }

    /// Returns how long a worker with tasks may take to contact this leader. Workers find a new leader
    /// well within their lease, and one that does not has probably failed. If more than a
    /// quarter of the machines are missing, a common cause is more likely, so they get longer.
    fn worker_reconnect_timeout(&self, lease: Duration, now: Instant) -> Duration {
        let missing = self
            .machines
            .values()
            .filter(|m| !m.bound.is_empty() && !m.acknowledged_term && m.silence(now) > lease / 2)
            .count();
        if missing * 4 > self.machines.len() { lease * 3 / 2 } else { lease * 3 / 4 }
    }

    /// Whether a machine whose latest incarnation has ended is kept because a network
    /// partition cuts off its zone: it will reconnect sooner than a replacement could boot.
    pub fn is_awaiting_reconnection(&self, machine: &Machine) -> bool {
        machine.last_ended_incarnation > 0
            && machine.latest_heartbeat.incarnation <= machine.last_ended_incarnation
            && self.partitioned_zones.contains(&machine.zone)
    }

    /// Forgets machines whose deletion was confirmed at least `retention` ago.
    pub fn forget_deleted(&mut self, now: Instant, retention: Duration) {
        self.deleted_machines
            .retain(|_, deleted_at| now.saturating_duration_since(*deleted_at) < retention);
    }
}

fn listed_machine(listed: &ListedMachine, now: Instant) -> Machine {
    let (kind, zone) = (listed.machine_type.clone(), listed.zone.clone());
    let mut machine = Machine::new(kind, zone, listed.spot, now);
    let age = Duration::from_secs_f64(listed.age_s.clamp(0.0, MAX_LISTED_AGE_S));
    if listed.state == MachineState::Booting {
        machine.known_since = now.checked_sub(age).unwrap_or(now);
    }
    machine
}
