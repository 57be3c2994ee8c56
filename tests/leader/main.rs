//! Scenarios of the leader without a network: its inputs are worker heartbeats and records, its
//! outputs are commands and writes.

#[allow(dead_code)] // Each test binary uses its own part.
#[path = "../common/mod.rs"]
mod common;

mod capacity;
mod failover;
mod heartbeats;
mod page_records;
mod placement;
