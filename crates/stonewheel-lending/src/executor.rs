//! The executor of one controller: it takes claims, and while it holds the ledger plans,
//! writes and gives orders.

mod api;
mod calls;
mod planning;
mod state;
mod submission;
mod term;

pub use api::{ClaimFailure, ClaimStatus, Planner, StateLimits};
pub use state::Executor;
