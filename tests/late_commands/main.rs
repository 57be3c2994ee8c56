//! Commands, responses and full reads of the records that arrive after the decision behind them
//! was replaced. The leader must not treat a command as settled while it may still be carried
//! out.

#[allow(dead_code)] // Each test binary uses its own part.
#[path = "../common/mod.rs"]
mod common;

mod cancelled_tasks;
mod direct_calls;
mod open_starts;
mod record_deletion;
