//! Commands and responses that arrive after the leader has replaced the decision behind them, and
//! full reads that overlap changes of the records. The leader must not treat a command as settled
//! while it may still be carried out.

#[allow(dead_code)] // Each test binary uses its own part.
#[path = "../common/mod.rs"]
mod common;

mod cancelled_tasks;
mod direct_calls;
mod open_starts;
mod record_deletion;
mod repeated_commands;
