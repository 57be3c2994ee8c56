//! The planner: what changes in the ledger next. It is pure, from claims, ledger and observations.
//!
//! One plan settles what is over, then serves claims inside their guarantees, and lends
//! what is left. It may be repeated at any time: what it can't finish now is
//! continued by the next one.

mod lend;
mod model;
mod plan_builder;
mod serve;
mod settle;
mod victims;

pub use model::{MachineView, Plan, PlannerInput, WaitReason};
use plan_builder::PlanBuilder;

/// Makes a plan.
pub fn plan(input: &PlannerInput<'_>) -> Plan {
    let mut builder = PlanBuilder::new(input);
    let done = settle::finished(input);
    settle::settle(&mut builder, &done);
    let supply = serve::serve(&mut builder);
    lend::lend(&mut builder, supply);
    builder.build(done)
}
