//! The interface to the machines: their reports, and orders to them.

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
    /// Its work is complete.
    Done,
    /// It was stopped, and its progress is safe.
    Saved,
    /// It was stopped, or its gang lost a machine: it resumes from its last checkpoint.
    Lost,
    /// It could not be started on this machine.
    Failed,
    /// It was halted before it started, and never will.
    NeverStarted,
}

/// What a run does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// It runs.
    Running,
    /// It was halted and saves.
    Saving,
    /// It is gone.
    Ended(Exit),
}

/// The latest run on a machine. Runs of earlier loans are gone, and can't start again.
#[derive(Clone, Debug, PartialEq)]
pub struct RunReport {
    /// The loan that it runs under.
    pub loan: LoanId,
    /// The claim that it belongs to.
    pub claim: ClaimId,
    /// What it does.
    pub state: RunState,
    /// Seconds of work since its last checkpoint.
    pub unsaved_s: f64,
    /// Whether a periodic checkpoint is under way.
    pub checkpointing: bool,
}

/// A machine's latest heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineReport {
    /// The machine.
    pub machine: MachineName,
    /// Its zone.
    pub zone: u8,
    /// Its session: orders that name another one are refused.
    pub session: u64,
    /// Rises with each report of a session.
    pub sequence: u64,
    /// The highest token that it has seen: it refuses orders with a lower one.
    pub token: u64,
    /// Time since its last heartbeat.
    pub heartbeat_age: Duration,
    /// It will be taken back.
    pub leaving: bool,
    /// The latest run on it.
    pub run: Option<RunReport>,
}

/// Revocable work outside its team's guarantee that a scheduler placed on a machine
/// without a claim: a loan that has no entry yet.
#[derive(Clone, Debug, PartialEq)]
pub struct UnmanagedWorkload {
    /// The machine.
    pub machine: MachineName,
    /// The team whose work it is.
    pub team: TeamName,
    /// How it saves.
    pub work: Work,
    /// Seconds of work since its last checkpoint.
    pub unsaved_s: f64,
}

/// What is known of all machines.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    /// The latest report of each machine.
    pub reports: Vec<MachineReport>,
    /// Machines of which it is certain that they and all on them are gone.
    pub gone: BTreeSet<MachineName>,
    /// Work that may be taken off machines without an entry. Machines with other work and
    /// no entry are not reported.
    pub unmanaged_workloads: Vec<UnmanagedWorkload>,
}

/// What a machine is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandKind {
    /// Run a claim's work, which spans so many machines.
    Start {
        /// The claim.
        claim: ClaimId,
        /// The machines of its gang, or 1.
        machines: u32,
    },
    /// Save within the grace period, and exit. A loan that has not started is void.
    Halt {
        /// Time to save; zero: exit at once.
        grace: Duration,
    },
    /// Exit at once, even while saving.
    Terminate,
}

/// An order to a machine. Every order may be repeated: it has its effect once.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineCommand {
    /// The machine.
    pub machine: MachineName,
    /// The session that is meant.
    pub session: u64,
    /// The holder's fencing token.
    pub token: u64,
    /// The loan that is meant.
    pub loan: LoanId,
    /// What to do.
    pub kind: CommandKind,
}

/// Why an order was not carried out, or may not have been.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum HostError {
    /// The machine has seen a higher token, or is in another session.
    #[error("the order is out of date")]
    Stale,
    /// The machine can't do it: something else runs there.
    #[error("the machine is busy")]
    Busy,
    /// It may have been carried out or not; a repeat is safe.
    #[error("unavailable: {0}")]
    Unavailable(String),
}

/// Observes the machines, and sends orders to them.
pub trait MachineHost: Send + Sync {
    /// Whether this controller can reach the machines now: if not it doesn't hold the
    /// ledger.
    fn eligible(&self) -> bool {
        true
    }

    /// The machines' latest heartbeats, which are answered under this token.
    fn observe(&self, token: u64) -> BoxFuture<'_, Result<Observation, HostError>>;

    /// Gives an order.
    fn send(&self, command: &MachineCommand) -> BoxFuture<'_, Result<(), HostError>>;

    /// Returns a machine for good. Once this is answered, it and all on it are gone.
    fn retire(&self, machine: &MachineName, token: u64) -> BoxFuture<'_, Result<(), HostError>>;
}
