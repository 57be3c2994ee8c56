//! The snapshot that a pass decides on, and what the pass holds there tentatively.

use std::{cell::Cell, collections::HashMap, sync::Arc};

use super::{
    resources::Resources,
    team_use::TeamUse,
    view::{BoundView, JobView, MachineView},
};
use crate::{protocol::MachineType, settings::Settings};

#[derive(Clone)]
pub struct Snapshot<'a> {
    pub settings: &'a Settings,
    pub types: &'a [MachineType],
    pub machines: Vec<MachineView>,
    /// In order of arrival.
    pub jobs: Vec<JobView>,
    /// What each team's bound tasks use.
    pub usage: HashMap<Arc<str>, TeamUse>,
    /// Kinds of machine (type, zone, spot) that the cloud refused lately.
    pub refused: Vec<(usize, u8, bool)>,
    /// Empty ordinary machines to have ready for what may come.
    pub spare: usize,
    /// Empty spot machines to have ready.
    pub spare_spot: usize,
    /// Room on ordinary machines, in machines, to keep for what may come.
    pub spare_room: f64,
    /// Whether the design's round is due now.
    pub round: bool,
    /// How many places were weighed so far: what a pass costs.
    pub weighed: Cell<u64>,
}

/// A bound task: the job's place in the snapshot and the binding's in the job.
pub type Slot = (usize, usize);

impl Snapshot<'_> {
    pub(super) fn weigh(&self, places: usize) {
        self.weighed.set(self.weighed.get() + places as u64);
    }

    /// The tasks bound to each machine.
    pub(super) fn residents(&self) -> Vec<Vec<Slot>> {
        let mut residents = vec![Vec::new(); self.machines.len()];
        for (at, job) in self.jobs.iter().enumerate() {
            for (slot, bound) in job.bound.iter().enumerate() {
                if let Some(machine) = bound.machine {
                    residents[machine].push((at, slot));
                }
            }
        }
        residents
    }
}

pub fn bind_tentatively(snapshot: &mut Snapshot<'_>, at: usize, machine: usize) {
    hold(snapshot, at, machine);
    let zone = snapshot.machines[machine].zone;
    snapshot.jobs[at].bound.push(BoundView::held(machine, zone, false));
}

/// Takes a place out of the snapshot.
fn hold(snapshot: &mut Snapshot<'_>, at: usize, machine: usize) {
    let spec = &snapshot.jobs[at].spec;
    let view = &mut snapshot.machines[machine];
    view.free.sub(&Resources::of_task(spec));
    view.empty = false;
    view.awaited = true;
    if !view.images.contains(&spec.image) {
        view.images.push(spec.image.clone());
    }
}
