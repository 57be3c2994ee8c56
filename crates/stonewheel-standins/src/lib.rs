//! Stand-ins for what surrounds the controllers, for tests only: in memory, under
//! paused time, with faults that a test brings about or draws from a seed.

mod faults;
mod state;

pub use faults::{Delays, LateCommands, LateTransactions};
pub use state::{MemState, StateUsage};
