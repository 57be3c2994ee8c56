//! The snapshot that a pass decides on, and what the pass holds there tentatively.

use std::{cell::Cell, collections::HashMap, sync::Arc};

use super::{
    resources::Resources,
    team_use::TeamUse,
    view::{BoundView, JobView, MachineKind, MachineView},
};
use crate::{protocol::MachineType, settings::Settings};

/// The state that a pass decides on. The pass marks in it what it decides, so that later
/// decisions of the same pass reckon with that.
#[derive(Clone)]
pub struct Snapshot<'a> {
    /// The settings.
    pub settings: &'a Settings,
    /// The machine types on offer.
    pub types: &'a [MachineType],
    /// The machines that take tasks or boot, and then those that the pass adds.
    pub machines: Vec<MachineView>,
    /// The unfinished jobs that wait for no other job, in order of arrival.
    pub jobs: Vec<JobView>,
    /// What each team's bound tasks use.
    pub usage: HashMap<Arc<str>, TeamUse>,
    /// Kinds of machine of which the cloud had no more lately.
    pub exhausted: Vec<MachineKind>,
    /// Empty ordinary machines to have ready for what may come.
    pub headroom_machines: usize,
    /// Empty spot machines to have ready.
    pub headroom_spot_machines: usize,
    /// Room on ordinary machines, in machines, to keep for what may come.
    pub headroom_capacity: f64,
    /// Whether a round is due now, which also sets the widths of arrays.
    pub round: bool,
    /// How many places were evaluated so far: what a pass costs.
    pub candidates_evaluated: Cell<u64>,
}

/// A bound task, by its place in a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskSlot {
    /// The job's place in the snapshot.
    pub job: usize,
    /// The binding's place in the job.
    pub binding: usize,
}

impl Snapshot<'_> {
    /// The type of a machine.
    pub(super) fn type_of(&self, machine: usize) -> &MachineType {
        &self.types[self.machines[machine].machine_type]
    }

    /// Whether the cloud may have machines of a kind.
    pub(super) fn may_be_provisioned(&self, kind: &MachineKind) -> bool {
        !self.exhausted.contains(kind)
    }

    /// Counts places that are evaluated.
    pub(super) fn count_evaluated(&self, places: usize) {
        self.candidates_evaluated.set(self.candidates_evaluated.get() + places as u64);
    }

    /// The tasks bound to each machine.
    pub(super) fn bound_by_machine(&self) -> Vec<Vec<TaskSlot>> {
        let mut bound_by_machine = vec![Vec::new(); self.machines.len()];
        for (job, view) in self.jobs.iter().enumerate() {
            for (binding, bound) in view.bound.iter().enumerate() {
                if let Some(machine) = bound.machine {
                    bound_by_machine[machine].push(TaskSlot { job, binding });
                }
            }
        }
        bound_by_machine
    }
}

/// Binds one more task of a job to a machine for the rest of the pass, whichever task it
/// is: later decisions of the pass reckon with the place.
pub fn bind_tentatively(snapshot: &mut Snapshot<'_>, at: usize, machine: usize) {
    occupy(snapshot, at, machine);
    let zone = snapshot.machines[machine].zone;
    snapshot.jobs[at].bound.push(BoundView::tentative(machine, zone, false));
}

/// Takes the room of one task of a job on a machine.
fn occupy(snapshot: &mut Snapshot<'_>, at: usize, machine: usize) {
    let spec = &snapshot.jobs[at].spec;
    let view = &mut snapshot.machines[machine];
    view.free.sub(&Resources::of_task(spec));
    view.empty = false;
    view.allocated_in_pass = true;
    if !view.images.contains(&spec.image) {
        view.images.push(spec.image.clone());
    }
}
