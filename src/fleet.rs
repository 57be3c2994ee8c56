//! Machines as the leader knows them: incarnations, heartbeats, silence, faults.
//!
//! The hard question here is when a task is certainly terminated on a machine. Only
//! these count as proof: a heartbeat of a newer (incarnation, sequence) at the leader's
//! own token that lacks the task; a later incarnation; a deletion that the cloud
//! answered; or the worker's lease, counted from the leader's last answer and from when
//! surely no other controller answers (`lease_renewal.rs`).

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

/// The oldest age of a booting machine that is taken from a list, in seconds.
const MAX_LISTED_AGE_S: f64 = 1e6;

/// A machine to return to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineReturn {
    /// The machine.
    pub machine: MachineId,
    /// Why it is returned.
    pub reason: ReturnReason,
}

/// All machines that the leader knows.
#[derive(Default)]
pub struct Fleet {
    /// The machines that are not known to be deleted.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Deleted for certain; lists and late heartbeats may still name them.
    pub deleted_machines: HashMap<MachineId, Instant>,
    partitioned_zones: PartitionedZones,
}

impl Fleet {
    /// Records a heartbeat and returns how new it is. `lease`: that of workers.
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

    /// Records what the cloud lists. A list lags, so it proves nothing about
    /// machines it lacks; it only adds those not known yet.
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

    /// Whether most machines that were up before are silent at once: then the
    /// fault is more likely on this side. A new leader counts those too that the
    /// records say were at work.
    pub fn is_mostly_silent(&self, now: Instant, limit: Duration) -> bool {
        let mut silence = Silence::default();
        for machine in self.machines.values().filter(|m| m.was_up() && !m.deleting) {
            // A worker that a leader in doubt redirected may be back only after asking
            // every other controller.
            let redirected = machine.redirected_at.is_some_and(|at| now < at + limit * 2);
            silence.count(machine.silence(now) > limit && !redirected);
        }
        silence.is_widespread()
    }

    /// Machines that are of no use any more and should be returned, with the
    /// reason for the operator. `boot_s`: the usual boot time of a machine type.
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
            proof_is_coming: proof.is_coming(lease, now),
            mostly_silent: self.is_mostly_silent(now, lease),
            patience: self.patience_with_missing_workers(lease, now),
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

    /// How long a worker with tasks may take to find this leader. Workers find a new
    /// leader well within their lease. Those that did not are probably dead, unless
    /// there are many of them.
    fn patience_with_missing_workers(&self, lease: Duration, now: Instant) -> Duration {
        let missing = self
            .machines
            .values()
            .filter(|m| !m.bound.is_empty() && !m.acknowledged_term && m.silence(now) > lease / 2)
            .count();
        if missing * 4 > self.machines.len() { lease * 3 / 2 } else { lease * 3 / 4 }
    }

    /// Whether a machine that lost its incarnation is kept, since its zone is cut
    /// off: it will be back sooner than another could boot.
    pub fn is_awaiting_reconnection(&self, machine: &Machine) -> bool {
        machine.last_ended_incarnation > 0
            && machine.latest_heartbeat.incarnation <= machine.last_ended_incarnation
            && self.partitioned_zones.contains(&machine.zone)
    }

    /// Forgets machines that were deleted longer ago than `keep`.
    pub fn forget_deleted(&mut self, now: Instant, keep: Duration) {
        self.deleted_machines.retain(|_, at| now.saturating_duration_since(*at) < keep);
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
