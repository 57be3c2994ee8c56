//! Fault scenarios, as in the table of `docs/design.md`: two faults that are harmless alone,
//! together. The simulated deployment checks the rules by itself (`TestDeployment::broken`).

#[allow(dead_code)] // Each test binary uses its own part.
#[path = "../common/mod.rs"]
mod common;

mod leadership;
mod machines;
mod requests;
mod state_outages;
