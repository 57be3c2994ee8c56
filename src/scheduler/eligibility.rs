//! Which machines and zones a job may use.

use std::collections::BTreeMap;

use super::{
    resources::Resources,
    snapshot::Snapshot,
    view::{JobView, MachineView},
};
use crate::protocol::{JobSpec, MachineType};

/// Whether a job may use machines of this type, regardless of their zone; spot machines if
/// `spot` is set, ordinary ones otherwise.
pub fn is_eligible(spec: &JobSpec, machine_type: &MachineType, spot: bool) -> bool {
    (spec.spot || !spot)
        && spec.types.as_ref().is_none_or(|types| types.contains(&machine_type.name))
        && Resources::of_type(machine_type).has_capacity_for(&Resources::of_task(spec))
}

/// Which machine types a job may use, regardless of the zone; computed once for all machines.
pub struct MachineEligibility(Vec<TypeEligibility>);

/// Whether a job may use machines of one type.
struct TypeEligibility {
    ordinary: bool,
    spot: bool,
}

impl MachineEligibility {
    /// Determines which of the offered types a job may use.
    pub fn of(snapshot: &Snapshot<'_>, job: &JobView) -> Self {
        let of_type = |machine_type| TypeEligibility {
            ordinary: is_eligible(&job.spec, machine_type, false),
            spot: is_eligible(&job.spec, machine_type, true),
        };
        Self(snapshot.types.iter().map(of_type).collect())
    }

    /// Whether the job may use a machine, regardless of its zone.
    pub fn accepts(&self, machine: &MachineView) -> bool {
        let eligibility = &self.0[machine.machine_type];
        if machine.spot { eligibility.spot } else { eligibility.ordinary }
    }
}

/// Which zones one more task of a job may be placed in, given the zones of its bound tasks.
#[derive(Clone)]
pub struct ZoneConstraint<'a> {
    spec: &'a JobSpec,
    /// The only zone that the job may use, if its submission names one.
    fixed: Option<u8>,
    /// The number of the job's tasks in each zone.
    counts: BTreeMap<u8, u32>,
}

impl<'a> ZoneConstraint<'a> {
    /// The constraint for one more task of a job with its currently bound tasks.
    pub fn of(snapshot: &Snapshot<'_>, job: &'a JobView) -> Self {
        let mut counts = BTreeMap::new();
        for bound in &job.bound {
            *counts.entry(bound.zone).or_default() += 1;
        }
        // A zone that the settings don't list matches no machine.
        let fixed = job.spec.zone.as_ref();
        let fixed = fixed.map(|zone| snapshot.settings.zone_index(zone).unwrap_or(u8::MAX));
        Self { spec: &job.spec, fixed, counts }
    }

    /// Whether one more task may be placed in a zone.
    pub fn allows(&self, zone: u8) -> bool {
        if self.fixed.is_some_and(|z| z != zone) {
            return false;
        }
        if self.spec.one_zone && self.counts.keys().any(|z| *z != zone) {
            return false;
        }
        let tasks_in_zone = self.counts.get(&zone).copied().unwrap_or(0);
        !self.spec.spread || tasks_in_zone < self.spec.tasks.div_ceil(2)
    }

    /// Counts one more task in a zone.
    pub fn add_task(&mut self, zone: u8) {
        *self.counts.entry(zone).or_default() += 1;
    }
}
