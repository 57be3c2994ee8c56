//! The ledger entry of one machine: the loan, its states, and the allowed transitions between them.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::names::{ClaimId, TeamName};

/// The number of latest changes that an entry keeps in its history.
pub const MAX_HISTORY_CHANGES: usize = 3;

/// The id of a loan. It is never reused, and later loans have greater ids.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct LoanId {
    /// The fencing token of the holder that made it.
    pub epoch: u64,
    /// The number of the loan among that holder's loans.
    pub number: u64,
}

/// The state of a loan, and of the reclaim of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LoanState {
    /// Revocable work of a claim outside its team's guarantee may run.
    Lent,
    /// The borrower's work may run; the machine covers no other team's guarantee.
    Granted,
    /// The work is to be halted; no acknowledgement of the halt is recorded yet.
    ReclaimRequested,
    /// The halt was acknowledged; the work saves a checkpoint.
    Checkpointing,
    /// A report proves that the work has ended.
    Released,
}

/// Why an entry changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Why")]
pub enum ChangeReason {
    /// The machine was free.
    Free,
    /// A claim inside its team's guarantee needs the machine.
    Claimed,
    /// The borrower's claim was withdrawn or is done.
    Over,
    /// A machine of the gang is missing or about to be taken out of service.
    Incomplete,
    /// The machine is about to be taken out of service.
    Leaving,
    /// Too few machines are left to cover all guarantees without this machine.
    Uncovered,
    /// The reclaim was withdrawn: no claimant needs the machine any more.
    Withdrawn,
    /// The halt was acknowledged.
    Halted,
    /// A report proves that the run has ended.
    Ended,
    /// The return of the machine was confirmed.
    Retired,
}

/// A change of an entry's state, as kept in its history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Change {
    /// The state after the change.
    pub state: LoanState,
    /// Why the state changed.
    #[serde(rename = "why")]
    pub reason: ChangeReason,
}

/// A machine's entry in the ledger. A machine without an entry is available.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Entry {
    /// The id of the current loan.
    pub loan: LoanId,
    /// The state of the loan.
    pub state: LoanState,
    /// The team whose guarantee the machine covers, if it covers one.
    pub lender: Option<TeamName>,
    /// The team that the machine is lent or granted to.
    pub borrower: TeamName,
    /// The claim whose work may run on the machine.
    pub claim: ClaimId,
    /// The claim that the machine is reclaimed for.
    pub claimant: Option<ClaimId>,
    /// Whether the machine was granted, not lent, before its reclaim was requested.
    pub granted: bool,
    /// The time that the work has to save a checkpoint when it is halted, in milliseconds.
    pub grace_ms: u64,
    /// The latest changes of the entry, in order.
    pub history: Vec<Change>,
}

/// A transition that the entry's state doesn't allow.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a loan can't go from {from:?} to {to:?}")]
pub struct TransitionError {
    /// The current state.
    pub from: LoanState,
    /// The requested state.
    pub to: LoanState,
}

impl Entry {
    /// Creates the entry of an available machine that is lent to work outside its guarantee.
    pub fn lend(
        loan: LoanId,
        lender: Option<TeamName>,
        borrower: TeamName,
        claim: ClaimId,
        reason: ChangeReason,
    ) -> Self {
        let granted = false;
        let entry = Self { lender, ..Self::grant(loan, borrower, claim, reason) };
        let history = vec![Change { state: LoanState::Lent, reason }];
        Self { state: LoanState::Lent, granted, history, ..entry }
    }

    /// Creates the entry of an available machine that is granted.
    pub fn grant(loan: LoanId, borrower: TeamName, claim: ClaimId, reason: ChangeReason) -> Self {
        Self {
            loan,
            state: LoanState::Granted,
            lender: None,
            borrower,
            claim,
            claimant: None,
            granted: true,
            grace_ms: 0,
            history: vec![Change { state: LoanState::Granted, reason }],
        }
    }

    /// Whether the ledger allows the claim's work to run on the machine.
    pub fn may_run(&self) -> bool {
        matches!(self.state, LoanState::Lent | LoanState::Granted)
    }

    /// Whether the claim's work has to stop and may not have ended yet.
    pub fn is_stopping(&self) -> bool {
        matches!(self.state, LoanState::ReclaimRequested | LoanState::Checkpointing)
    }

    fn change(
        &self,
        to: LoanState,
        reason: ChangeReason,
        allowed: bool,
    ) -> Result<Self, TransitionError> {
        if !allowed {
            return Err(TransitionError { from: self.state, to });
        }
        let mut next = self.clone();
        next.state = to;
        next.history.push(Change { state: to, reason });
        let excess = next.history.len().saturating_sub(MAX_HISTORY_CHANGES);
        next.history.drain(..excess);
        Ok(next)
    }

    /// Returns the entry with a reclaim requested, for the claimant if there is one.
    pub fn request(
        &self,
        claimant: Option<ClaimId>,
        grace_ms: u64,
        reason: ChangeReason,
    ) -> Result<Self, TransitionError> {
        let next = self.change(LoanState::ReclaimRequested, reason, self.may_run())?;
        Ok(Self { claimant, grace_ms, ..next })
    }

    /// Returns the entry with the reclaim request withdrawn. Only valid if no halt was sent for it.
    pub fn withdraw(&self) -> Result<Self, TransitionError> {
        let allowed = self.state == LoanState::ReclaimRequested;
        let back = if self.granted { LoanState::Granted } else { LoanState::Lent };
        let next = self.change(back, ChangeReason::Withdrawn, allowed)?;
        Ok(Self { claimant: None, grace_ms: 0, ..next })
    }

    /// Returns the entry once the halt was acknowledged.
    pub fn halted(&self) -> Result<Self, TransitionError> {
        let allowed = self.state == LoanState::ReclaimRequested;
        self.change(LoanState::Checkpointing, ChangeReason::Halted, allowed)
    }

    /// Returns the entry once a report proves that the work has ended.
    pub fn release(&self, reason: ChangeReason) -> Result<Self, TransitionError> {
        self.change(LoanState::Released, reason, self.state != LoanState::Released)
    }

    /// Returns the entry without a claimant.
    pub fn without_claimant(&self) -> Self {
        Self { claimant: None, ..self.clone() }
    }

    /// Returns the entry granted to its claimant under a new loan. Only a released machine can be
    /// granted: the work of the loan before has ended.
    pub fn grant_to_claimant(
        &self,
        loan: LoanId,
        team: TeamName,
        claim: ClaimId,
    ) -> Result<Self, TransitionError> {
        let allowed = self.state == LoanState::Released && self.claimant.as_ref() == Some(&claim);
        let next = self.change(LoanState::Granted, ChangeReason::Claimed, allowed)?;
        Ok(Self {
            loan,
            lender: None,
            borrower: team,
            claim,
            claimant: None,
            granted: true,
            grace_ms: 0,
            ..next
        })
    }
}
