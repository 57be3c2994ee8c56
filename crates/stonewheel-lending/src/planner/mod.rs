//! The planner: a pure function from claims, ledger and observations to the next ledger changes.
//!
//! A plan first applies the observations (ended runs, lost machines), then serves the claims inside
//! their guarantees, and lends the remaining machines. Planning may be repeated at any time: the
//! next plan continues whatever one plan could not complete.

mod lend;
mod model;
mod plan_builder;
mod serve;
mod settle;
mod victims;

pub use model::{MachineView, Plan, PlannerInput, WaitReason};
use plan_builder::PlanBuilder;

/// Computes the ledger changes and the wait reason of every claim.
pub fn plan(input: &PlannerInput<'_>) -> Plan {
    let mut builder = PlanBuilder::new(input);
    let done = settle::completed_claims(input);
    settle::apply_observations(&mut builder, &done);
    let supply = serve::serve(&mut builder);
    lend::lend(&mut builder, supply);
    builder.build(done)
}
