//! Fault scenarios from the table of `docs/design.md`: combinations of faults that are harmless
//! alone. The simulated deployment checks the scheduler's rules throughout
//! (`TestDeployment::violations`).

#[allow(dead_code)] // Each test binary uses its own part.
#[path = "../common/mod.rs"]
mod common;

mod leadership;
mod machines;
mod requests;
mod restarts_in_outages;
mod state_outages;
