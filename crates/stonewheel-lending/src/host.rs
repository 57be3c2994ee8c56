//! The interface to the machines: their reports, and the commands sent to them.

use std::collections::BTreeSet;

use futures_util::future::BoxFuture;
use thiserror::Error;
use tokio::time::Duration;

use crate::{
    claim::{ClaimId, MachineName, TeamName, Work},
    ledger::LoanId,
};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The work is complete.
    Done,
    /// The run was stopped after its progress was saved.
    Saved,
    /// The run was stopped without saving, or its gang lost a machine. The work resumes from its
    /// last checkpoint.
    Lost,
    /// The run could not be started on this machine.
    Failed,
    /// The run was halted before it started, and can't start any more.
    NeverStarted,
}

/// The state of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The work runs.
    Running,
    /// The run was halted and saves a checkpoint.
    Saving,
    /// The run has ended.
    Ended(Exit),
}

/// The latest run on a machine. Runs of earlier loans have ended and can't start again.
#[derive(Clone, Debug, PartialEq)]
pub struct RunReport {
    /// The loan that the work runs under.
    pub loan: LoanId,
    /// The claim that the run belongs to.
    pub claim: ClaimId,
    /// The state of the run.
    pub state: RunState,
    /// Seconds of work since the last checkpoint, which are lost if the run ends without saving.
    pub unsaved_s: f64,
    /// Whether a periodic checkpoint is in progress.
    pub checkpointing: bool,
}

/// A machine's latest heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineReport {
    /// The machine.
    pub machine: MachineName,
    /// The zone of the machine.
    pub zone: u8,
    /// The session of the machine. Commands that name another session are rejected.
    pub session: u64,
    /// The sequence number of the report, which increases within a session.
    pub sequence: u64,
    /// The highest fencing token that the machine has seen. It rejects commands with a lower token.
    pub token: u64,
    /// Time since the last heartbeat of the machine.
    pub heartbeat_age: Duration,
    /// Whether the machine is about to be taken out of service.
    pub leaving: bool,
    /// The latest run on the machine.
    pub run: Option<RunReport>,
}

/// Revocable work outside its team's guarantee that a scheduler placed on a machine without a
/// claim. The planner treats it as a loan that has no ledger entry yet.
#[derive(Clone, Debug, PartialEq)]
pub struct UnmanagedWorkload {
    /// The machine.
    pub machine: MachineName,
    /// The team that the work belongs to.
    pub team: TeamName,
    /// The kind of work, with its checkpoint times.
    pub work: Work,
    /// Seconds of work since the last checkpoint, which are lost if the run ends without saving.
    pub unsaved_s: f64,
}

/// The reports of all machines at one time.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    /// The latest report of each machine.
    pub reports: Vec<MachineReport>,
    /// Machines that are known to be gone, together with everything that ran on them.
    pub gone: BTreeSet<MachineName>,
    /// Work that may be preempted on machines without a ledger entry. Machines that have other work
    /// and no ledger entry are not reported.
    pub unmanaged_workloads: Vec<UnmanagedWorkload>,
}

/// The action that a command requests.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandKind {
    /// Start the work of a claim.
    Start {
        /// The claim.
        claim: ClaimId,
        /// The number of machines of the gang, or 1 for a replica.
        machines: u32,
    },
    /// Save a checkpoint within the grace period and exit. Work that has not started yet must never
    /// start under this loan.
    Halt {
        /// Time to save. Zero: exit immediately.
        grace: Duration,
    },
    /// Exit immediately, even while saving a checkpoint.
    Terminate,
}

/// A command to a machine. Commands are idempotent and may be repeated.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineCommand {
    /// The machine.
    pub machine: MachineName,
    /// The session of the machine that the command is for.
    pub session: u64,
    /// The holder's fencing token.
    pub token: u64,
    /// The loan that the command is for.
    pub loan: LoanId,
    /// The requested action.
    pub kind: CommandKind,
}

/// Why a call to a machine failed. Except for `Unavailable`, the call was not carried out.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum HostError {
    /// The machine has seen a higher token, or is in another session.
    #[error("rejected by the machine: stale fencing token or session")]
    Stale,
    /// The machine can't carry out the command, since other work runs on it.
    #[error("the machine is busy with other work")]
    Busy,
    /// The call may have been carried out or not. It is safe to repeat.
    #[error("unavailable: {0}")]
    Unavailable(String),
}

/// Observes the machines, and sends commands to them.
pub trait MachineHost: Send + Sync {
    /// Whether this controller can reach the machines now. A controller that can't reach them
    /// releases the ledger and doesn't acquire it.
    fn eligible(&self) -> bool {
        true
    }

    /// Returns the latest heartbeats of the machines. Heartbeats are answered with this fencing
    /// token.
    fn observe(&self, token: u64) -> BoxFuture<'_, Result<Observation, HostError>>;

    /// Sends a command to a machine.
    fn send(&self, command: &MachineCommand) -> BoxFuture<'_, Result<(), HostError>>;

    /// Returns a machine permanently. Once this returns `Ok`, the machine and everything on it are
    /// gone.
    fn retire(&self, machine: &MachineName, token: u64) -> BoxFuture<'_, Result<(), HostError>>;
}
