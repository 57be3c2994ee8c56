//! Which machines and zones a job may use.

use std::collections::BTreeMap;

use super::{
    resources::Resources,
    snapshot::Snapshot,
    view::{JobView, MachineView},
};
use crate::protocol::{JobSpec, MachineType};

/// Whether a job may use machines of this kind, zone aside.
pub fn is_eligible(spec: &JobSpec, kind: &MachineType, spot: bool) -> bool {
    (spec.spot || !spot)
        && spec.types.as_ref().is_none_or(|types| types.contains(&kind.name))
        && Resources::of_type(kind).holds(&Resources::of_task(spec))
}

/// Which kinds of machine a job may use, told once for all machines.
pub struct MachineEligibility(Vec<[bool; 2]>);

impl MachineEligibility {
    pub fn of(snapshot: &Snapshot<'_>, job: &JobView) -> Self {
        let both = |t| [is_eligible(&job.spec, t, false), is_eligible(&job.spec, t, true)];
        Self(snapshot.types.iter().map(both).collect())
    }

    pub fn accepts(&self, machine: &MachineView) -> bool {
        self.0[machine.machine_type][usize::from(machine.spot)]
    }
}

/// The zones that a job's tasks hold, and so where one more may go.
#[derive(Clone)]
pub struct ZoneConstraint<'a> {
    spec: &'a JobSpec,
    fixed: Option<u8>,
    counts: BTreeMap<u8, u32>,
}

impl<'a> ZoneConstraint<'a> {
    pub fn of(snapshot: &Snapshot<'_>, job: &'a JobView) -> Self {
        let mut counts = BTreeMap::new();
        for bound in &job.bound {
            *counts.entry(bound.zone).or_default() += 1;
        }
        // A zone that the settings don't know is no zone of ours.
        let fixed = job.spec.zone.as_ref();
        let fixed = fixed.map(|zone| snapshot.settings.zone_index(zone).unwrap_or(u8::MAX));
        Self { spec: &job.spec, fixed, counts }
    }

    pub fn allows(&self, zone: u8) -> bool {
        if self.fixed.is_some_and(|z| z != zone) {
            return false;
        }
        if self.spec.one_zone && self.counts.keys().any(|z| *z != zone) {
            return false;
        }
        let here = self.counts.get(&zone).copied().unwrap_or(0);
        !self.spec.spread || here < self.spec.tasks.div_ceil(2)
    }

    pub fn add_task(&mut self, zone: u8) {
        *self.counts.entry(zone).or_default() += 1;
    }
}
