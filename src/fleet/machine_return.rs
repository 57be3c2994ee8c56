//! The policy that decides which unusable machines are returned to the cloud, and why.

use std::fmt;

use tokio::time::{Duration, Instant};

use super::{machine::Machine, partitioned_zones::PartitionedZones, termination::TerminationProof};
use crate::protocol::MachineState;

/// A machine on which tasks of this many jobs failed is returned once it holds no task.
const MAX_FAILED_JOBS: usize = 2;

/// A machine that did not carry out this many consecutive commands is returned.
const MAX_UNACKNOWLEDGED_COMMANDS: u32 = 3;

/// The reason why a machine is returned to the cloud. `Display` writes the text for the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnReason {
    /// The cloud lists the machine as failed.
    Failed,
    /// The machine has not booted within a multiple of the usual boot time of its type.
    NeverBooted,
    /// The leader has had no contact with the worker for too long.
    Silent,
    /// Tasks of several jobs failed on the machine.
    FailsTasks,
    /// The worker does not carry out commands.
    IgnoresCommands,
    /// The machine has held no task for too long.
    Idle,
    /// A cancelled task on the machine can't be stopped in time.
    UnstoppableTask,
}

impl ReturnReason {
    /// Returns the text for the operator.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Failed => "the cloud lists it as failed",
            Self::NeverBooted => "boot timed out",
            Self::Silent => "no contact with its worker",
            Self::FailsTasks => "tasks of several jobs failed on it",
            Self::IgnoresCommands => "its worker does not carry out commands",
            Self::Idle => "idle",
            Self::UnstoppableTask => "a cancelled task can't be stopped in time",
        }
    }
}

impl fmt::Display for ReturnReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The state of the whole fleet at one moment on which the decisions depend.
pub(super) struct ReturnPolicy<'a> {
    pub(super) now: Instant,
    /// The duration of a worker's lease.
    pub(super) lease: Duration,
    pub(super) proof: TerminationProof,
    /// Whether the proof of termination by lease will be available within one lease, also for
    /// workers that this leader was never in contact with.
    pub(super) proof_expected: bool,
    /// Whether most of the fleet is silent, so that the fault is more likely in the leader or
    /// its network.
    pub(super) mostly_silent: bool,
    /// How long a worker with tasks may take to contact this leader.
    pub(super) reconnect_timeout: Duration,
    pub(super) partitioned: &'a PartitionedZones,
}

impl ReturnPolicy<'_> {
    /// Returns why a machine should be returned, or None if it should be kept. `boot`: the
    /// usual boot time of its type.
    pub(super) fn reason(&self, machine: &Machine, boot: Duration) -> Option<ReturnReason> {
        if self.has_failed(machine) {
            return Some(ReturnReason::Failed);
        }
        if is_booting(machine) {
            return self.never_booted(machine, boot).then_some(ReturnReason::NeverBooted);
        }
        if self.is_silent(machine) {
            return (!self.is_kept_for_reconnection(machine)).then_some(ReturnReason::Silent);
        }
        if machine.failed_jobs.len() >= MAX_FAILED_JOBS && machine.bound.is_empty() {
            return Some(ReturnReason::FailsTasks);
        }
        (machine.unacknowledged_commands >= MAX_UNACKNOWLEDGED_COMMANDS)
            .then_some(ReturnReason::IgnoresCommands)
    }

    fn has_failed(&self, machine: &Machine) -> bool {
        machine.listed_state == Some(MachineState::Failed) && machine.silence(self.now) > self.lease
    }

    /// Whether a booting machine is given up. Boots can take considerably longer than usual,
    /// and a few machines never boot.
    fn never_booted(&self, machine: &Machine, boot: Duration) -> bool {
        let silence = machine.silence(self.now);
        silence > boot * 5 / 2 && silence > self.lease * 2
    }

    /// Whether a machine has been silent for so long that it should be returned.
    ///
    /// If tasks are bound to the machine and its worker has not acknowledged this term, or
    /// other controllers may have renewed its lease, only a deletion proves that the tasks are
    /// terminated, so the machine is returned early. If lease expiry will prove it within one
    /// lease, the machine is kept until then, since a machine that was only cut off reconnects
    /// sooner than a replacement boots.
    fn is_silent(&self, machine: &Machine) -> bool {
        let silence = machine.silence(self.now);
        let holds_tasks = !machine.bound.is_empty();
        let missed_this_leader = holds_tasks
            && !machine.acknowledged_term
            && !self.proof_expected
            && silence > self.reconnect_timeout;
        let unprovable = holds_tasks && !self.proof.provable && silence > self.lease;
        silence > self.lease * 3 || missed_this_leader || unprovable
    }

    /// Whether a silent machine is kept for now because most of the fleet or of its zone is
    /// silent too, so that it may reconnect.
    fn is_kept_for_reconnection(&self, machine: &Machine) -> bool {
        (self.mostly_silent || self.partitioned.contains(&machine.zone))
            && machine.silence(self.now) < self.lease * 6
    }
}

/// Whether there is no sign yet that the machine has booted.
fn is_booting(machine: &Machine) -> bool {
    machine.never_reported()
        && machine.listed_state != Some(MachineState::Running)
        && machine.bound.is_empty()
}

#[cfg(test)]
mod tests;
