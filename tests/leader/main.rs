//! Scenarios of the leader alone: worker heartbeats and records in, commands and writes out,
//! with no network between.

#[allow(dead_code)] // Each test binary uses its own part.
#[path = "../common/mod.rs"]
mod common;

mod capacity;
mod failover;
mod heartbeats;
mod page_records;
mod placement;
