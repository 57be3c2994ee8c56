//! One machine's loan: its states, and the only changes between them.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::names::{ClaimId, TeamName};

/// Changes that an entry remembers: the latest.
pub const MAX_HISTORY_CHANGES: usize = 3;

/// A loan, unique for ever. Later ones are greater.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct LoanId {
    /// The fencing token of the holder that made it.
    pub epoch: u64,
    /// Its number among that holder's loans.
    pub number: u64,
}

/// What a machine is lent for, and how far its reclaim is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LoanState {
    /// Revocable work outside its team's guarantee may run.
    Lent,
    /// The borrower's work may run.
    Granted,
    /// The work is to be halted.
    ReclaimRequested,
    /// The halt was acknowledged; the work saves.
    Checkpointing,
    /// There is proof that the work is gone.
    Released,
}

/// Why an entry changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Why")]
pub enum ChangeReason {
    /// A machine was free.
    Free,
    /// A claim inside its guarantee asked for it.
    Claimed,
    /// The borrower's claim was withdrawn or is done.
    Over,
    /// A machine of the gang is missing or leaves.
    Incomplete,
    /// The machine will be taken back.
    Leaving,
    /// Too few machines are left to cover all guarantees without it.
    Uncovered,
    /// The claimant needs it no more.
    Withdrawn,
    /// The halt was acknowledged.
    Halted,
    /// A report shows that the run ended.
    Ended,
    /// The machine's return was answered.
    Retired,
}

/// One change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Change {
    /// The state that it led to.
    pub state: LoanState,
    /// Why.
    #[serde(rename = "why")]
    pub reason: ChangeReason,
}

/// A machine's entry in the ledger. A machine without one is available.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Entry {
    /// The loan.
    pub loan: LoanId,
    /// How far it is.
    pub state: LoanState,
    /// The team whose guarantee the machine covers, if it covers one.
    pub lender: Option<TeamName>,
    /// The team that it is lent or granted to.
    pub borrower: TeamName,
    /// The claim whose work may run there.
    pub claim: ClaimId,
    /// The claim that it is reclaimed for.
    pub claimant: Option<ClaimId>,
    /// Whether it was granted when the reclaim was requested.
    pub granted: bool,
    /// Milliseconds that the work has to save when it is halted.
    pub grace_ms: u64,
    /// Why it is as it is, the latest last.
    pub history: Vec<Change>,
}

/// A change that the entry's state doesn't allow.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a loan can't go from {from:?} to {to:?}")]
pub struct TransitionError {
    /// The state that it has.
    pub from: LoanState,
    /// The state that was asked for.
    pub to: LoanState,
}

impl Entry {
    /// A machine that was available, lent to work outside a guarantee.
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

    /// A machine that was available, granted.
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

    /// Whether its work may run, as far as the ledger goes.
    pub fn may_run(&self) -> bool {
        matches!(self.state, LoanState::Lent | LoanState::Granted)
    }

    /// Whether its work may still be there, and is to go.
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

    /// The work is to be stopped, for a claimant if there is one.
    pub fn request(
        &self,
        claimant: Option<ClaimId>,
        grace_ms: u64,
        reason: ChangeReason,
    ) -> Result<Self, TransitionError> {
        let next = self.change(LoanState::ReclaimRequested, reason, self.may_run())?;
        Ok(Self { claimant, grace_ms, ..next })
    }

    /// The request is taken back; no halt has left for it.
    pub fn withdraw(&self) -> Result<Self, TransitionError> {
        let allowed = self.state == LoanState::ReclaimRequested;
        let back = if self.granted { LoanState::Granted } else { LoanState::Lent };
        let next = self.change(back, ChangeReason::Withdrawn, allowed)?;
        Ok(Self { claimant: None, grace_ms: 0, ..next })
    }

    /// The halt was acknowledged.
    pub fn halted(&self) -> Result<Self, TransitionError> {
        let allowed = self.state == LoanState::ReclaimRequested;
        self.change(LoanState::Checkpointing, ChangeReason::Halted, allowed)
    }

    /// There is proof that the work is gone.
    pub fn release(&self, reason: ChangeReason) -> Result<Self, TransitionError> {
        self.change(LoanState::Released, reason, self.state != LoanState::Released)
    }

    /// Nobody waits for it any more.
    pub fn without_claimant(&self) -> Self {
        Self { claimant: None, ..self.clone() }
    }

    /// Granted to its claimant, once the work before is gone.
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
