//! The input of the planner, and the plan.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use crate::{
    claim::ActiveClaim,
    host::{Exit, RunReport, RunState},
    ledger::{Ledger, LoanId, Transition},
    names::{ClaimId, MachineName, TeamName},
    settings::LendingSettings,
};

/// What is known of a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineView {
    /// Its zone.
    pub zone: u8,
    /// Its present session.
    pub session: u64,
    /// It has sent a heartbeat lately.
    pub reachable: bool,
    /// Its latest report answers the holder's own token, so it refuses earlier holders.
    pub confirmed: bool,
    /// It will be taken back.
    pub leaving: bool,
    /// It failed a start a short while ago, and gets no loans until later.
    pub quarantined: bool,
    /// The latest run on it.
    pub run: Option<RunReport>,
}

impl MachineView {
    /// Whether it counts as capacity: it is reachable and is not leaving.
    pub fn usable(&self) -> bool {
        self.reachable && !self.leaving
    }

    /// Whether a report proves that a loan's work is gone, and can't start again.
    pub fn proves_gone(&self, loan: LoanId) -> bool {
        let Some(run) = self.run.as_ref().filter(|_| self.confirmed) else { return false };
        run.loan > loan || (run.loan == loan && matches!(run.state, RunState::Ended(_)))
    }

    /// The run of a loan, unless it has ended.
    pub fn live_run(&self, loan: LoanId) -> Option<&RunReport> {
        let ended = |run: &&RunReport| matches!(run.state, RunState::Ended(_));
        self.run.as_ref().filter(|run| run.loan == loan).filter(|run| !ended(run))
    }

    /// How the run of a loan ended, if it did.
    pub(super) fn exit(&self, loan: LoanId) -> Option<Exit> {
        match self.run.as_ref().filter(|run| run.loan == loan)?.state {
            RunState::Ended(exit) => Some(exit),
            RunState::Running | RunState::Saving => None,
        }
    }
}

/// What a plan is made from.
#[derive(Clone, Copy)]
pub struct PlannerInput<'a> {
    /// The operators' settings.
    pub settings: &'a LendingSettings,
    /// Active claims, in admission order.
    pub claims: &'a [ActiveClaim],
    /// The ledger as committed.
    pub ledger: &'a Ledger,
    /// All machines that were ever reported and are not gone.
    pub machines: &'a BTreeMap<MachineName, MachineView>,
    /// Machines that are certainly gone.
    pub gone: &'a BTreeSet<MachineName>,
    /// Loans for which this holder sent a halt.
    pub halted: &'a HashSet<LoanId>,
    /// Free machines to keep for each team.
    pub reserve: &'a BTreeMap<TeamName, u32>,
    /// Whether machines may be lent anew: not right after a takeover.
    pub may_lend: bool,
    /// The holder's fencing token.
    pub epoch: u64,
    /// The number of its next loan.
    pub next_number: u64,
    /// Changes after which a plan begins nothing new.
    pub max_changes: usize,
}

/// Why a claim doesn't have all its machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// It has them.
    Served,
    /// Machines are being reclaimed for it.
    Reclaiming {
        /// How many.
        machines: u32,
    },
    /// Its own earlier work has not left all its machines yet.
    Stopping,
    /// Its team uses all that it may.
    AtCeiling,
    /// It is outside its team's guarantee, and nothing is free for it.
    NoFreeMachine,
    /// It is inside its guarantee, but the fleet has too few machines for all of these.
    InsufficientCapacity,
    /// Nothing is lent anew: guarantees can't all be covered, or the holder just began.
    NotLending,
    /// Enough was changed at once; it is next.
    Queued,
}

/// What changes next.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Changes of the ledger.
    pub transitions: Vec<Transition>,
    /// Batch claims whose work is complete.
    pub done: Vec<ClaimId>,
    /// Why each claim waits.
    pub reasons: BTreeMap<ClaimId, WaitReason>,
    /// The number of the next loan.
    pub next_number: u64,
}
