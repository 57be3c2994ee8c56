//! What runs where: pure functions from a snapshot to decisions.
//!
//! Nothing here does I/O or reads a clock, so every decision can be repeated
//! from its snapshot.

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
pub use snapshot::{Snapshot, TaskSlot};
pub use team_use::TeamUse;
pub use view::{BoundView, JobView, MachineKind, MachineView, Reservation};

/// One pass: widths (in a round), then places, then room by preemption, then
/// machines to provision for what is left.
pub fn decide(mut snapshot: Snapshot<'_>) -> Decisions {
    let mut decisions = Decisions::default();
    quota::mark_guaranteed(&mut snapshot);
    reservations::clear_reserved(&mut snapshot, &mut decisions);
    admission::set_widths(&mut snapshot, &mut decisions);
    // What is only placed tentatively in this pass is not yet anybody's to stop.
    let bound_by_machine = snapshot.bound_by_machine();
    let unplaced = placement::place(&mut snapshot, &bound_by_machine, &mut decisions);
    if snapshot.round && unplaced.is_empty() {
        consolidation::vacate_machines(&mut snapshot, &bound_by_machine, &mut decisions);
    }
    scale_out::scale_out(&mut snapshot, &unplaced, &mut decisions);
    decisions.candidates_evaluated = snapshot.candidates_evaluated.get();
    decisions
}
