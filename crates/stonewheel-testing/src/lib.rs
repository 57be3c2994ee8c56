//! In-memory fakes of what surrounds the controllers, for tests only: under paused time, with faults that a test brings about or draws from a seed.

#![warn(missing_docs)]

mod callers;
mod coordination;
mod faults;
mod members;
mod state;

pub use callers::Callers;
pub use coordination::{spawn_coordinator, timing};
pub use faults::{Delays, LateCommands, LateTransactions};
pub use members::{Members, Process};
pub use state::{MemState, StateUsage};
