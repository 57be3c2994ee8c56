//! Types of the executor's public interface.

use thiserror::Error;

use crate::{
    claim::ClaimError,
    planner::{Plan, PlannerInput, WaitReason},
};

/// A planner function: [`crate::planner::plan`], or in tests a faulty one that the checker must
/// detect.
pub type Planner = fn(&PlannerInput<'_>) -> Plan;

/// Limits of the state service.
#[derive(Clone, Copy, Debug)]
pub struct StateLimits {
    /// The size of the largest value, in bytes.
    pub value_bytes: usize,
    /// The number of writes of the largest transaction.
    pub transaction_writes: usize,
}

/// Why the submission or withdrawal of a claim failed.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ClaimFailure {
    /// The call was rejected, and nothing was changed.
    #[error(transparent)]
    Refused(#[from] ClaimError),
    /// The state service can't be reached. The call was not carried out.
    #[error("the state service can't be reached")]
    Unavailable,
    /// The call may have been carried out. Repeating the same call is safe and finds out.
    #[error("the outcome is not known; ask again")]
    Unknown,
}

/// The status of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// The claim was never submitted, or its record was deleted.
    Unknown,
    /// The claim was withdrawn, or its work is complete.
    Finished,
    /// The claim is active, but this controller doesn't hold the ledger.
    HeldElsewhere {
        /// The controller that holds the ledger, if any.
        holder: Option<String>,
    },
    /// The claim is active, with its wait reason by the last plan. None: not planned yet.
    Active(Option<WaitReason>),
}
