//! Claims: requests of workloads for machines.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use stonewheel_settings::check_name;
use thiserror::Error;

pub use crate::names::{ClaimId, MachineName, TeamName};
use crate::{
    names::{MAX_NAME_BYTES, PREFIX},
    settings::LendingSettings,
};

/// Returns the prefix of the keys of all claims.
pub fn claims_prefix() -> String {
    format!("{PREFIX}c/")
}

/// Returns the key of a claim's record.
pub fn claim_key(id: &str) -> String {
    format!("{PREFIX}c/{id}")
}

/// The kind of work that runs on the machines of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// Replicas that run independently of each other until the claim is withdrawn.
    Serving,
    /// A gang that runs on all machines of the claim at the same time until its work is complete.
    Batch {
        /// Seconds between checkpoints; 0 if the work never saves checkpoints.
        checkpoint_s: f64,
        /// Seconds that saving a checkpoint takes when the work is stopped.
        save_s: f64,
    },
}

/// A request of a workload for machines. It never changes once it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Claim {
    /// The team whose guarantee and ceiling apply.
    pub team: TeamName,
    /// The number of machines.
    pub machines: u32,
    /// GPUs that the work uses on each machine.
    pub gpus: f64,
    /// The kind of work.
    pub work: Work,
}

/// Why a claim is rejected. A rejected claim is not stored.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ClaimError {
    /// The id can't be used in a key.
    #[error("{0}")]
    Id(String),
    /// The team is not in the settings.
    #[error("team: {0:?} is not known")]
    UnknownTeam(String),
    /// The claim requests no machines.
    #[error("machines: must be at least 1")]
    NoMachines,
    /// The claim requests more machines than the team may use.
    #[error("machines: {requested} are more than the ceiling of {ceiling} of team {team}")]
    AboveCeiling {
        /// The number of machines requested.
        requested: u32,
        /// The ceiling of the team.
        ceiling: u32,
        /// The team.
        team: String,
    },
    /// The work fits no machine.
    #[error("gpus: {requested} fit no machine of {machine_gpus}")]
    FitsNoMachine {
        /// GPUs requested on each machine.
        requested: f64,
        /// GPUs of a machine.
        machine_gpus: f64,
    },
    /// The named field is negative or not finite.
    #[error("{0}: must be a finite number of at least 0")]
    NotAnAmount(&'static str),
    /// A different claim has this id.
    #[error("id: another claim has it")]
    IdTaken,
}

impl Claim {
    /// Whether machines can be reclaimed from the work within the grace period: it saves
    /// checkpoints, and saving takes no longer than the grace period.
    pub fn is_revocable(&self, grace_s: f64) -> bool {
        match self.work {
            Work::Serving => false,
            Work::Batch { checkpoint_s, save_s } => checkpoint_s > 0.0 && save_s <= grace_s,
        }
    }

    /// Whether the work runs on all its machines or on none.
    pub fn is_gang(&self) -> bool {
        matches!(self.work, Work::Batch { .. })
    }

    /// Checks the claim and its id against the settings.
    pub fn check(&self, id: &str, settings: &LendingSettings) -> Result<(), ClaimError> {
        check_name("id", id).map_err(|error| ClaimError::Id(error.to_string()))?;
        if id.len() > MAX_NAME_BYTES {
            return Err(ClaimError::Id(format!("id: must have at most {MAX_NAME_BYTES} bytes")));
        }
        let Some(team) = settings.teams.get(&self.team) else {
            return Err(ClaimError::UnknownTeam(self.team.to_string()));
        };
        if self.machines == 0 {
            return Err(ClaimError::NoMachines);
        }
        if self.machines > team.ceiling {
            let (requested, ceiling) = (self.machines, team.ceiling);
            return Err(ClaimError::AboveCeiling {
                requested,
                ceiling,
                team: self.team.to_string(),
            });
        }
        self.check_amounts(settings.times.machine_gpus)
    }

    fn check_amounts(&self, machine_gpus: f64) -> Result<(), ClaimError> {
        let check_amount = |name, value: f64| {
            let valid = value.is_finite() && value >= 0.0;
            if valid { Ok(()) } else { Err(ClaimError::NotAnAmount(name)) }
        };
        check_amount("gpus", self.gpus)?;
        if let Work::Batch { checkpoint_s, save_s } = self.work {
            check_amount("checkpoint_s", checkpoint_s)?;
            check_amount("save_s", save_s)?;
        }
        if self.gpus > machine_gpus {
            return Err(ClaimError::FitsNoMachine { requested: self.gpus, machine_gpus });
        }
        Ok(())
    }
}

/// The stored record of a claim. The record of a finished claim is kept for some time, so that a
/// late or repeated submission doesn't make the claim active again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ClaimRecord {
    /// The claim requests its machines.
    #[serde(rename = "stands")]
    Active(Claim),
    /// The claim was withdrawn by its submitter.
    Withdrawn,
    /// The work of the claim is complete.
    Done,
}

/// An active claim and its position in admission order.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveClaim {
    /// The id of the claim.
    pub id: ClaimId,
    /// The request.
    pub claim: Claim,
    /// The revision of the state service at which the claim was stored. Claims are served in this
    /// order.
    pub admission_order: u64,
}
