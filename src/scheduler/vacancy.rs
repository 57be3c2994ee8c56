//! Capacity that is freed on a machine by stopping tasks there: functions shared by preemption,
//! consolidation and reservations.

use super::{
    decisions::TaskStop,
    eligibility::{MachineEligibility, ZoneConstraint},
    resources::Resources,
    snapshot::{BoundTaskIndex, Snapshot},
    view::{BoundView, JobView, MachineView},
};

/// The ready machines, with their indexes, on which one more task of a job may run once they have
/// capacity; only those of one zone if one is given.
pub(super) fn machines_eligible_for<'a>(
    snapshot: &'a Snapshot<'_>,
    job: &'a JobView,
    zone: Option<u8>,
) -> impl Iterator<Item = (usize, &'a MachineView)> {
    let zones = ZoneConstraint::of(snapshot, job);
    let eligibility = MachineEligibility::of(snapshot, job);
    snapshot.count_evaluated(snapshot.machines.len());
    snapshot.machines.iter().enumerate().filter(move |(_, machine)| {
        machine.ready
            && zones.allows(machine.zone)
            && zone.is_none_or(|zone| zone == machine.zone)
            && eligibility.accepts(machine)
            && machine.is_available_to(&job.id)
            && !job.avoided_machines.contains(&machine.id)
    })
}

/// The free capacity of a machine once all tasks that are being stopped there are gone.
pub(super) fn capacity_after_stops(machine: &MachineView) -> Resources {
    let mut capacity = machine.free;
    capacity.add(&machine.stopping);
    capacity
}

/// Marks a task on a machine as being stopped, and returns the decision to stop it with its grace
/// period.
pub(super) fn mark_stopping(
    snapshot: &mut Snapshot<'_>,
    bound_task: BoundTaskIndex,
    machine_index: usize,
) -> TaskStop {
    let job = &mut snapshot.jobs[bound_task.job_index];
    let bound = &mut job.bound[bound_task.binding_index];
    bound.stopping = true;
    snapshot.machines[machine_index].stopping.add(&Resources::of_task(&job.spec));
    TaskStop { job: job.id.clone(), task: bound.task, without_grace: false }
}

/// Reserves capacity on a machine for one more task of a job until the tasks that are being
/// stopped there are gone. If other tasks took it, capacity would have to be freed repeatedly.
pub(super) fn reserve_vacated_capacity(
    snapshot: &mut Snapshot<'_>,
    job_index: usize,
    machine_index: usize,
) {
    let view = &mut snapshot.machines[machine_index];
    view.free.sub(&Resources::of_task(&snapshot.jobs[job_index].spec));
    view.allocated_in_pass = true;
    let place = BoundView::tentative(machine_index, view.zone, true);
    snapshot.jobs[job_index].bound.push(place);
}
