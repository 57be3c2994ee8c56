//! Which machines are of no use any more and are returned to the cloud, and why.

use std::fmt;

use tokio::time::{Duration, Instant};

use super::{machine::Machine, partitioned_zones::PartitionedZones, termination::TerminationProof};
use crate::protocol::MachineState;

/// A machine whose tasks of this many jobs failed is returned once it is empty.
const MAX_FAILED_JOBS: usize = 2;

/// A machine that did not carry out this many commands in a row is returned.
const MAX_UNACKNOWLEDGED_COMMANDS: u32 = 3;

/// Why a machine is returned to the cloud; its `Display` is the text for the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnReason {
    /// The cloud lists it as failed.
    Failed,
    /// It has not started for far longer than its type takes.
    NeverBooted,
    /// The leader has had no contact with it for too long.
    Silent,
    /// Tasks of several jobs failed on it.
    FailsTasks,
    /// It does not carry out commands.
    IgnoresCommands,
    /// It has held no task for too long.
    Idle,
    /// A cancelled task on it can't be stopped in time.
    UnstoppableTask,
}

impl ReturnReason {
    /// The text for the operator.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Failed => "it failed",
            Self::NeverBooted => "it never booted",
            Self::Silent => "it is silent",
            Self::FailsTasks => "it fails what it runs",
            Self::IgnoresCommands => "it does not carry out orders",
            Self::Idle => "it is idle",
            Self::UnstoppableTask => "a cancelled task can't be stopped",
        }
    }
}

impl fmt::Display for ReturnReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What decides, for the whole fleet at one moment, which machines are returned.
pub(super) struct ReturnPolicy<'a> {
    pub(super) now: Instant,
    /// The lease of workers.
    pub(super) lease: Duration,
    pub(super) proof: TerminationProof,
    /// The proof will be had within a lease.
    pub(super) proof_is_coming: bool,
    /// Most of the fleet is silent, so the fault is more likely on this side.
    pub(super) mostly_silent: bool,
    /// How long a worker with tasks may take to find this leader.
    pub(super) patience: Duration,
    pub(super) partitioned: &'a PartitionedZones,
}

impl ReturnPolicy<'_> {
    /// Why a machine should be returned, if it should. `boot`: the usual boot time of
    /// its type.
    pub(super) fn reason(&self, machine: &Machine, boot: Duration) -> Option<ReturnReason> {
        if self.has_failed(machine) {
            return Some(ReturnReason::Failed);
        }
        if is_booting(machine) {
            return self.never_booted(machine, boot).then_some(ReturnReason::NeverBooted);
        }
        if self.is_silent(machine) {
            return (!self.may_reconnect(machine)).then_some(ReturnReason::Silent);
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

    /// Some machines take several times as long to boot; a few never do.
    fn never_booted(&self, machine: &Machine, boot: Duration) -> bool {
        let silence = machine.silence(self.now);
        silence > boot * 5 / 2 && silence > self.lease * 2
    }

    /// Whether a machine is silent for longer than anything but a deletion could settle.
    ///
    /// Tasks may still be bound to it if its worker was never seen at this token, or if
    /// others may have answered it: only a deletion proves that they are gone. If its
    /// lease will prove it a little later, that is waited for: a machine that was only
    /// cut off is back sooner than another boots.
    fn is_silent(&self, machine: &Machine) -> bool {
        let silence = machine.silence(self.now);
        let holds_tasks = !machine.bound.is_empty();
        let missed_this_leader = holds_tasks
            && !machine.acknowledged_term
            && !self.proof_is_coming
            && silence > self.patience;
        let unprovable = holds_tasks && !self.proof.provable && silence > self.lease;
        silence > self.lease * 3 || missed_this_leader || unprovable
    }

    /// Whether a silent machine is kept for now, since many are silent with it.
    fn may_reconnect(&self, machine: &Machine) -> bool {
        (self.mostly_silent || self.partitioned.contains(&machine.zone))
            && machine.silence(self.now) < self.lease * 6
    }
}

/// Whether nothing shows that the machine has ever started.
fn is_booting(machine: &Machine) -> bool {
    machine.never_reported()
        && machine.listed_state != Some(MachineState::Running)
        && machine.bound.is_empty()
}

#[cfg(test)]
mod tests;
