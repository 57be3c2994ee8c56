//! Lending machines to batch work, and reclaiming them for work that is inside its team's
//! guarantee.
//!
//! A [`claim`] requests machines for a workload. The [`ledger`] records durably which claim each
//! machine is lent or granted to. [`accounts`] and [`planner`] are pure and compute the next
//! changes, and [`orders`] derives the commands to machines. An [`Executor`] on each controller
//! accepts claims; the executor of the controller that holds the ledger plans, writes the changes
//! and sends the commands. `docs/design/lending.md` defines when a guarantee is kept.

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
