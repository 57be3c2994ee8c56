//! The snapshot that a pass decides on, and the tentative bindings that the pass adds to it.

use std::{cell::Cell, collections::HashMap, sync::Arc};

use super::{
    resources::Resources,
    team_use::TeamUse,
    view::{BoundView, JobView, MachineKind, MachineView},
};
use crate::{protocol::MachineType, settings::Settings};

/// The state that a pass decides on. The pass applies its decisions to the snapshot, so that
/// later decisions of the same pass take them into account.
#[derive(Clone)]
pub struct Snapshot<'a> {
    /// The settings.
    pub settings: &'a Settings,
    /// The machine types on offer.
    pub types: &'a [MachineType],
    /// The machines that are ready or booting, followed by those that the pass adds.
    pub machines: Vec<MachineView>,
    /// The unfinished jobs without unfinished dependencies, in order of arrival.
    pub jobs: Vec<JobView>,
    /// The resources that each team's bound tasks use.
    pub usage: HashMap<Arc<str>, TeamUse>,
    /// Kinds of machine that the cloud recently ran out of: none are requested until the retry
    /// interval is over.
    pub exhausted: Vec<MachineKind>,
    /// The number of empty ordinary machines to keep ready for future tasks.
    pub headroom_machines: usize,
    /// The number of empty spot machines to keep ready for future tasks.
    pub headroom_spot_machines: usize,
    /// The free capacity to keep on ordinary machines for future tasks, in machines.
    pub headroom_capacity: f64,
    /// Whether this pass is a round, which also sets the widths of arrays and consolidates.
    pub round: bool,
    /// How many machines were evaluated for tasks so far, a measure of the cost of the pass.
    pub candidates_evaluated: Cell<u64>,
}

/// The position of a bound task in a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundTaskIndex {
    /// The job's index in the snapshot.
    pub job_index: usize,
    /// The index of the task's binding in `JobView::bound`.
    pub binding_index: usize,
}

impl Snapshot<'_> {
    /// The type of a machine.
    pub(super) fn type_of(&self, machine_index: usize) -> &MachineType {
        &self.types[self.machines[machine_index].machine_type]
    }

    /// Whether machines of a kind may be requested: the cloud did not recently run out of them.
    pub(super) fn may_provision(&self, kind: &MachineKind) -> bool {
        !self.exhausted.contains(kind)
    }

    /// Adds to the count of evaluated candidates.
    pub(super) fn count_evaluated(&self, candidates: usize) {
        self.candidates_evaluated.set(self.candidates_evaluated.get() + candidates as u64);
    }

    /// The tasks bound to each machine.
    pub(super) fn bound_by_machine(&self) -> Vec<Vec<BoundTaskIndex>> {
        let mut bound_by_machine = vec![Vec::new(); self.machines.len()];
        for (job_index, view) in self.jobs.iter().enumerate() {
            for (binding_index, bound) in view.bound.iter().enumerate() {
                if let Some(machine_index) = bound.machine {
                    bound_by_machine[machine_index]
                        .push(BoundTaskIndex { job_index, binding_index });
                }
            }
        }
        bound_by_machine
    }
}

/// Binds one more task of a job, without naming which, to a machine for the rest of the pass, so
/// that later decisions of the pass don't use the same capacity.
pub fn bind_tentatively(snapshot: &mut Snapshot<'_>, job_index: usize, machine_index: usize) {
    allocate(snapshot, job_index, machine_index);
    let zone = snapshot.machines[machine_index].zone;
    snapshot.jobs[job_index].bound.push(BoundView::tentative(machine_index, zone, false));
}

/// Allocates the resources of one task of a job on a machine.
fn allocate(snapshot: &mut Snapshot<'_>, job_index: usize, machine_index: usize) {
    let spec = &snapshot.jobs[job_index].spec;
    let view = &mut snapshot.machines[machine_index];
    view.free.sub(&Resources::of_task(spec));
    view.empty = false;
    view.allocated_in_pass = true;
    if !view.images.contains(&spec.image) {
        view.images.push(spec.image.clone());
    }
}
