//! The platform's settings (TOML), the operators' settings (INI), and the durations and
//! limits derived from both.
//!
//! All settings are validated before the controller starts, so the rest of the code relies
//! on them without further checks.

mod derived;
mod error;
mod limits;
mod operator;
mod platform;
#[cfg(test)]
mod tests;
mod validation;
mod warnings;

pub use derived::{MAX_BINDING_BYTES, MIN_CANCELLATIONS_PER_HEARTBEAT};
pub use error::SettingsError;
pub use limits::{EffectiveLimits, NextStateLimits, StateLimits};
pub use operator::OperatorSettings;
pub use platform::{
    CloudLimits, Cluster, Member, Objective, Quota, Services, Settings, Team, Workers,
};
