//! Which machines and zones a job may use.

use std::collections::BTreeMap;

use super::{
    resources::Resources,
    snapshot::Snapshot,
    view::{JobView, MachineView},
};
use crate::protocol::{JobSpec, MachineType};

/// Whether a job may use machines of this kind, zone aside.
pub fn allows(spec: &JobSpec, kind: &MachineType, spot: bool) -> bool {
    (spec.spot || !spot)
        && spec.types.as_ref().is_none_or(|types| types.contains(&kind.name))
        && Resources::of_type(kind).holds(&Resources::of_task(spec))
}

/// Which kinds of machine a job may use, told once for all machines.
pub struct Allowed(Vec<[bool; 2]>);

impl Allowed {
    pub fn of(snapshot: &Snapshot<'_>, job: &JobView) -> Self {
        let both = |t| [allows(&job.spec, t, false), allows(&job.spec, t, true)];
        Self(snapshot.types.iter().map(both).collect())
    }

    pub fn takes(&self, machine: &MachineView) -> bool {
        self.0[machine.kind][usize::from(machine.spot)]
    }
}

/// The zones that a job's tasks hold, and so where one more may go.
#[derive(Clone)]
pub struct Zones<'a> {
    spec: &'a JobSpec,
    fixed: Option<u8>,
    counts: BTreeMap<u8, u32>,
}

impl<'a> Zones<'a> {
    pub fn of(job: &'a JobView, zone_index: impl Fn(&str) -> Option<u8>) -> Self {
        let mut counts = BTreeMap::new();
        for bound in &job.bound {
            *counts.entry(bound.zone).or_default() += 1;
        }
        // A zone that the settings don't know is no zone of ours.
        let fixed = job.spec.zone.as_ref().map(|z| zone_index(z).unwrap_or(u8::MAX));
        Self { spec: &job.spec, fixed, counts }
    }

    pub fn allow(&self, zone: u8) -> bool {
        if self.fixed.is_some_and(|z| z != zone) {
            return false;
        }
        if self.spec.one_zone && self.counts.keys().any(|z| *z != zone) {
            return false;
        }
        let here = self.counts.get(&zone).copied().unwrap_or(0);
        !self.spec.spread || here < self.spec.tasks.div_ceil(2)
    }

    pub fn take(&mut self, zone: u8) {
        *self.counts.entry(zone).or_default() += 1;
    }
}
