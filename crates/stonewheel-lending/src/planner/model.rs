//! Input and output types of the planner.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use crate::{
    claim::ActiveClaim,
    host::{Exit, RunReport, RunState},
    ledger::{Ledger, LoanId, Transition},
    names::{ClaimId, MachineName, TeamName},
    settings::LendingSettings,
};

/// The holder's view of a machine, from its latest report.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineView {
    /// The zone that the machine is in.
    pub zone: u8,
    /// The current session of the machine; commands for another session are rejected.
    pub session: u64,
    /// Whether a heartbeat arrived within the last few probe intervals.
    pub reachable: bool,
    /// Whether the latest report confirms the fencing token of this holder. From then on the
    /// machine rejects commands of earlier holders.
    pub confirmed: bool,
    /// Whether the machine is about to be taken out of service.
    pub leaving: bool,
    /// Whether the machine is quarantined: it failed to start a run and gets no loans until the
    /// quarantine ends.
    pub quarantined: bool,
    /// The latest run on the machine.
    pub run: Option<RunReport>,
}

impl MachineView {
    /// Whether the machine counts as capacity: it is reachable and not leaving.
    pub fn usable(&self) -> bool {
        self.reachable && !self.leaving
    }

    /// Whether the report proves that the work of a loan has ended on this machine and can't start
    /// again.
    pub fn proves_ended(&self, loan: LoanId) -> bool {
        let Some(run) = self.run.as_ref().filter(|_| self.confirmed) else { return false };
        run.loan > loan || (run.loan == loan && matches!(run.state, RunState::Ended(_)))
    }

    /// Returns the run of a loan, unless it has ended.
    pub fn live_run(&self, loan: LoanId) -> Option<&RunReport> {
        let ended = |run: &&RunReport| matches!(run.state, RunState::Ended(_));
        self.run.as_ref().filter(|run| run.loan == loan).filter(|run| !ended(run))
    }

    /// Returns how the run of a loan ended, or none if it has not ended.
    pub(super) fn exit(&self, loan: LoanId) -> Option<Exit> {
        match self.run.as_ref().filter(|run| run.loan == loan)?.state {
            RunState::Ended(exit) => Some(exit),
            RunState::Running | RunState::Saving => None,
        }
    }
}

/// Everything that a plan is computed from.
#[derive(Clone, Copy)]
pub struct PlannerInput<'a> {
    /// The operators' settings.
    pub settings: &'a LendingSettings,
    /// Active claims, in admission order.
    pub claims: &'a [ActiveClaim],
    /// The ledger, as last committed to the state service.
    pub ledger: &'a Ledger,
    /// All machines that have been reported and are not known to be gone.
    pub machines: &'a BTreeMap<MachineName, MachineView>,
    /// Machines that are known to be gone, together with everything that ran on them.
    pub gone: &'a BTreeSet<MachineName>,
    /// Loans whose work this holder has sent a halt command to.
    pub halted: &'a HashSet<LoanId>,
    /// The number of free machines to reserve for each team.
    pub reserve: &'a BTreeMap<TeamName, u32>,
    /// Whether new loans may be made. False for some time after a takeover.
    pub may_lend: bool,
    /// The holder's fencing token.
    pub epoch: u64,
    /// The number of this holder's next loan.
    pub next_number: u64,
    /// The number of changes at which a plan stops serving further claims.
    pub max_changes: usize,
}

/// Why a claim doesn't have all its machines, or that it has them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The claim has all its machines.
    Served,
    /// Machines are being reclaimed for the claim.
    Reclaiming {
        /// The number of machines being reclaimed.
        machines: u32,
    },
    /// Earlier work of the same claim is still stopping on some of its machines.
    Stopping,
    /// The team uses as many machines as its ceiling allows.
    AtCeiling,
    /// The claim is outside its team's guarantee, and there is no free machine for it.
    NoFreeMachine,
    /// The claim is inside its team's guarantee, but the fleet has too few machines for all such
    /// claims.
    InsufficientCapacity,
    /// No new loans are made: not all guarantees can be covered, or the holder took over recently.
    NotLending,
    /// The plan already has the maximum number of changes; a later plan serves the claim.
    Queued,
}

/// The result of planning.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The changes to write to the ledger.
    pub transitions: Vec<Transition>,
    /// Batch claims whose work is complete.
    pub done: Vec<ClaimId>,
    /// The wait reason of each claim.
    pub reasons: BTreeMap<ClaimId, WaitReason>,
    /// The number of the holder's next loan after this plan.
    pub next_number: u64,
}
