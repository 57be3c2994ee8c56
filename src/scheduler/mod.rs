//! The scheduler: pure functions from a snapshot of the cluster to scheduling decisions.
//!
//! Nothing here does I/O or reads a clock, so every decision can be reproduced from its
//! snapshot.
//!
//! A pass decides on one snapshot. A round is a pass that is due at the autoscaler's interval
//! and also sets the widths of arrays; the width of an array is how many of its tasks may run
//! at a time.

mod admission;
mod bin_packing;
mod consolidation;
mod decisions;
mod eligibility;
mod optimizer;
mod placement;
mod preemption;
mod quota;
mod reservations;
mod resources;
mod scale_out;
mod snapshot;
mod team_use;
mod vacancy;
mod view;

pub use decisions::{Decisions, GrantedWidth, PlacedTask, ScaleOut, TaskStop};
pub use eligibility::is_eligible;
pub use quota::tasks_within_team_limit;
pub use resources::Resources;
pub use snapshot::{BoundTaskIndex, Snapshot};
pub use team_use::TeamUse;
pub use view::{BoundView, JobView, MachineKind, MachineView, Reservation};

/// Makes one pass: clears reserved machines, sets the widths of arrays, places waiting tasks
/// or frees capacity for them, consolidates replicas, and lists the machines to provision for
/// the tasks that remain.
pub fn decide(mut snapshot: Snapshot<'_>) -> Decisions {
    let mut decisions = Decisions::default();
    quota::mark_guaranteed(&mut snapshot);
    reservations::clear_reserved(&mut snapshot, &mut decisions);
    admission::set_widths(&mut snapshot, &mut decisions);
    // Listed before this pass binds tasks tentatively: preemption and consolidation may only
    // stop tasks that run already.
    let bound_by_machine = snapshot.bound_by_machine();
    let unplaced = placement::place(&mut snapshot, &bound_by_machine, &mut decisions);
    if snapshot.round && unplaced.is_empty() {
        consolidation::vacate_machines(&mut snapshot, &bound_by_machine, &mut decisions);
    }
    scale_out::scale_out(&mut snapshot, &unplaced, &mut decisions);
    decisions.candidates_evaluated = snapshot.candidates_evaluated.get();
    decisions
}
