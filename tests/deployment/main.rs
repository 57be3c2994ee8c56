//! Scenarios of a simulated deployment (controllers, state service, cloud, workers), under paused
//! time.

#[allow(dead_code)] // Each test binary uses its own part.
#[path = "../common/mod.rs"]
mod common;

mod failover;
mod jobs;
mod listeners;
mod workers;
