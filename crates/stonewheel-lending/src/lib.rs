//! Lending machines to batch work, and reclaiming them for work that is inside its team's
//! guarantee.
//!
//! [`claim`] is what work asks for; [`ledger`] holds who has which machine, durably;
//! [`accounts`] and [`planner`] are pure and say what changes; [`orders`] derives the
//! orders to machines; an [`Executor`] at each controller takes claims, and that of the
//! holder carries all of it out. `docs/design/lending.md` defines a kept guarantee.

#![warn(missing_docs)]

pub mod accounts;
mod backoff;
mod bound;
pub mod claim;
mod claims;
mod counters;
mod executor;
mod holder;
mod host;
pub mod ledger;
mod names;
mod observations;
pub mod orders;
pub mod planner;
mod reserve;
mod settings;
mod unmanaged;

pub use bound::Bounds;
pub use counters::Counters;
pub use executor::{ClaimFailure, ClaimStatus, Executor, Planner, StateLimits};
pub use holder::{HOLDER_KEY, HolderRecord};
pub use host::{
    CommandKind, Exit, HostError, MachineCommand, MachineHost, MachineReport, Observation,
    RunReport, RunState, UnmanagedWorkload,
};
pub use names::PREFIX;
pub use settings::{LendingSettings, Team, Teams, Times, is_section, parse_sections};
