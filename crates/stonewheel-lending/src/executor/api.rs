//! Types of the executor's interface.

use thiserror::Error;

use crate::{
    claim::ClaimError,
    planner::{Plan, PlannerInput, WaitReason},
};

/// A planner: [`crate::planner::plan`], or in tests a broken one that a checker must
/// find.
pub type Planner = fn(&PlannerInput<'_>) -> Plan;

/// Sizes of the state service's values and transactions.
#[derive(Clone, Copy, Debug)]
pub struct StateLimits {
    /// Bytes of the largest value.
    pub value_bytes: usize,
    /// Writes of the largest transaction.
    pub transaction_writes: usize,
}

/// Why a claim was not taken, or not withdrawn.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ClaimFailure {
    /// It was refused, and nothing was changed.
    #[error(transparent)]
    Refused(#[from] ClaimError),
    /// The state service can't be reached: certainly not carried out.
    #[error("the state service can't be reached")]
    Unavailable,
    /// It may have been carried out: the same call again tells.
    #[error("the outcome is not known; ask again")]
    Unknown,
}

/// The status of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// It was never submitted, or its record was deleted.
    Unknown,
    /// It was withdrawn, or its work is complete.
    Finished,
    /// This controller doesn't hold the ledger; the named one does, if any.
    HeldElsewhere {
        /// The holder.
        holder: Option<String>,
    },
    /// What it waits for, by the last plan. None: not planned yet.
    Active(Option<WaitReason>),
}
