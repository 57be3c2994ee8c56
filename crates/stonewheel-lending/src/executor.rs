//! The executor of one controller. It accepts claims; while it holds the ledger it also plans,
//! writes the planned changes, and sends commands to machines.

mod api;
mod calls;
mod planning;
mod state;
mod submission;
mod term;

pub use api::{ClaimFailure, ClaimStatus, Planner, StateLimits};
pub use state::Executor;
