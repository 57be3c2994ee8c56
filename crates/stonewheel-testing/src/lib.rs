//! In-memory fakes of the services around the controllers, for tests under paused time. Faults
//! are set by a test or drawn from a seeded random number generator.

#![warn(missing_docs)]

mod callers;
mod coordination;
mod faults;
mod members;
mod state;

pub use callers::Callers;
pub use coordination::{spawn_coordinator, timing};
pub use faults::{Delays, LateCommands, LateTransactions, RepeatedDeliveries};
pub use members::{Members, Process};
pub use state::{MemState, PastPut, StateUsage};
