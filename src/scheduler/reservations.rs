//! Machines that are reserved for one job (the claimant): tasks of other jobs that save
//! checkpoints are stopped there with a grace period in which to save, and no other job's tasks
//! are placed there.

use std::collections::HashMap;

use super::{
    decisions::Decisions,
    snapshot::{BoundTaskIndex, Snapshot},
    vacancy::mark_stopping,
    view::JobView,
};
use crate::protocol::{JobId, Shape};

/// Stops the tasks that must leave reserved machines.
pub fn clear_reserved(snapshot: &mut Snapshot<'_>, decisions: &mut Decisions) {
    if snapshot.machines.iter().all(|machine| machine.reservation.is_none()) {
        return;
    }
    let job_indexes: HashMap<JobId, usize> = snapshot
        .jobs
        .iter()
        .enumerate()
        .map(|(job_index, job)| (job.id.clone(), job_index))
        .collect();
    let bound_by_machine = snapshot.bound_by_machine();
    for (machine_index, bound_tasks) in bound_by_machine.iter().enumerate() {
        let reservation = snapshot.machines[machine_index].reservation.as_ref();
        let claimant_index =
            reservation.and_then(|reservation| job_indexes.get(&reservation.job)).copied();
        let Some(claimant_index) = claimant_index else { continue };
        // The machine may be idle until the claimant is placed; it must not be returned.
        decisions.machines_to_keep.push(snapshot.machines[machine_index].id.clone());
        for &bound_task in
            bound_tasks.iter().filter(|bound_task| bound_task.job_index != claimant_index)
        {
            if may_stop(snapshot, bound_task) {
                let stop = mark_stopping(snapshot, bound_task, machine_index);
                decisions.stop.push(stop);
            }
        }
    }
}

/// Whether a task may be stopped and is not being stopped yet.
fn may_stop(snapshot: &Snapshot<'_>, bound_task: BoundTaskIndex) -> bool {
    let job = &snapshot.jobs[bound_task.job_index];
    is_reclaimable(job) && !job.bound[bound_task.binding_index].stopping
}

/// Whether a job's tasks may be stopped for a claimant: the job is no service, saves checkpoints
/// and is beyond its team's guarantee. A job that has come within the guarantee since the machine
/// was reserved keeps running.
fn is_reclaimable(job: &JobView) -> bool {
    !job.guaranteed && job.spec.shape != Shape::Service && job.spec.checkpoint_s > 0.0
}
