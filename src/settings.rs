//! The platform's settings (TOML), the operators' own (INI), and the figures
//! derived from both.
//!
//! Everything is checked at the start: a controller that starts has settings
//! it can work with.

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
