//! Claims: machines that a piece of work asks for.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use stonewheel_settings::check_name;
use thiserror::Error;

pub use crate::names::{ClaimId, MachineName, TeamName};
use crate::{
    names::{MAX_NAME_BYTES, PREFIX},
    settings::LendingSettings,
};

/// Claims' keys begin with this.
pub fn claims_prefix() -> String {
    format!("{PREFIX}c/")
}

/// The key of a claim's record.
pub fn claim_key(id: &str) -> String {
    format!("{PREFIX}c/{id}")
}

/// What the machines of a claim are to do.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// Replicas that run until the claim is withdrawn, independent of each other.
    Serving,
    /// Work that runs on all its machines at once, to its end.
    Batch {
        /// Seconds between checkpoints; 0: it never saves.
        checkpoint_s: f64,
        /// Seconds that it takes to save when it is stopped.
        save_s: f64,
    },
}

/// What a piece of work asks for. Its record is never rewritten.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Claim {
    /// The team whose guarantee and ceiling apply.
    pub team: TeamName,
    /// How many machines it asks for.
    pub machines: u32,
    /// GPUs that it takes of each machine.
    pub gpus: f64,
    /// What it does there.
    pub work: Work,
}

/// Why a claim is refused; nothing is changed.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ClaimError {
    /// The id fits no key.
    #[error("{0}")]
    Id(String),
    /// No such team.
    #[error("team: {0:?} is not known")]
    UnknownTeam(String),
    /// Zero machines.
    #[error("machines: must be at least 1")]
    NoMachines,
    /// More than the team may ever use.
    #[error("machines: {asked} are more than the ceiling of {ceiling} of team {team}")]
    AboveCeiling {
        /// What was asked for.
        asked: u32,
        /// What the team may use.
        ceiling: u32,
        /// The team.
        team: String,
    },
    /// It fits no machine.
    #[error("gpus: {asked} fit no machine of {most}")]
    FitsNoMachine {
        /// What was asked for, a machine.
        asked: f64,
        /// What a machine has.
        most: f64,
    },
    /// Not an amount.
    #[error("{0}: must be a finite number of at least 0")]
    NotAnAmount(&'static str),
    /// Another claim has this id.
    #[error("id: another claim has it")]
    IdTaken,
}

impl Claim {
    /// Whether its machines can be taken back within the grace period.
    pub fn is_revocable(&self, grace_s: f64) -> bool {
        match self.work {
            Work::Serving => false,
            Work::Batch { checkpoint_s, save_s } => checkpoint_s > 0.0 && save_s <= grace_s,
        }
    }

    /// Whether it runs on all its machines or on none.
    pub fn is_gang(&self) -> bool {
        matches!(self.work, Work::Batch { .. })
    }

    /// Checks a claim against the settings.
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
            let (asked, ceiling) = (self.machines, team.ceiling);
            return Err(ClaimError::AboveCeiling { asked, ceiling, team: self.team.to_string() });
        }
        self.check_amounts(settings.times.machine_gpus)
    }

    fn check_amounts(&self, most: f64) -> Result<(), ClaimError> {
        let check_amount = |name, value: f64| {
            let valid = value.is_finite() && value >= 0.0;
            if valid { Ok(()) } else { Err(ClaimError::NotAnAmount(name)) }
        };
        check_amount("gpus", self.gpus)?;
        if let Work::Batch { checkpoint_s, save_s } = self.work {
            check_amount("checkpoint_s", checkpoint_s)?;
            check_amount("save_s", save_s)?;
        }
        if self.gpus > most {
            return Err(ClaimError::FitsNoMachine { asked: self.gpus, most });
        }
        Ok(())
    }
}

/// A claim's record. What was over is kept for a while, so that a submission that is
/// carried out late or repeated doesn't bring it back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ClaimRecord {
    /// It asks for its machines.
    #[serde(rename = "stands")]
    Active(Claim),
    /// Whoever asked needs them no more.
    Withdrawn,
    /// Its work is complete.
    Done,
}

/// An active claim, and its place in admission order.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveClaim {
    /// Its id.
    pub id: ClaimId,
    /// What it asks for.
    pub claim: Claim,
    /// The revision at which it was accepted: claims are served in this order.
    pub admission_order: u64,
}
