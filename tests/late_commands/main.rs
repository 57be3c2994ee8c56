//! Commands, answers and readings that outlive the decision behind them: what may still be
//! carried out must not be taken for settled.

#[allow(dead_code)] // Each test binary uses its own part.
#[path = "../common/mod.rs"]
mod common;

mod cancelled_tasks;
mod direct_calls;
mod open_starts;
mod record_deletion;
