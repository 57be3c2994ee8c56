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
mod view;

pub use decisions::{Decisions, Stopping};
pub use eligibility::allows;
pub use quota::team_room;
pub use resources::Resources;
pub use snapshot::{Slot, Snapshot};
pub use team_use::TeamUse;
pub use view::{BoundView, JobView, MachineView, Reservation};

/// One pass: widths (in a round), then places, then room by preemption, then
/// machines to rent for what is left.
pub fn decide(mut snapshot: Snapshot<'_>) -> Decisions {
    let mut decisions = Decisions::default();
    quota::mark_guaranteed(&mut snapshot);
    reservations::clear_reserved(&mut snapshot, &mut decisions);
    admission::set_widths(&mut snapshot, &mut decisions);
    placement::place(&mut snapshot, &mut decisions);
    decisions.weighed = snapshot.weighed.get();
    decisions
}
