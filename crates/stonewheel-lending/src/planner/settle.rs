//! Applies the observations to the plan: releases machines whose work has provably ended, drops
//! machines that are gone, stops broken runs, and removes or withdraws reclaims that are no longer
//! needed.

use std::collections::BTreeSet;

use super::{
    model::{MachineView, PlannerInput},
    plan_builder::PlanBuilder,
};
use crate::{
    claim::{ClaimId, MachineName},
    host::{Exit, RunState},
    ledger::{ChangeReason, Entry, LoanState},
};

/// Returns the batch claims whose work is complete. If one machine of a gang reports completion,
/// the whole gang is complete.
pub(super) fn completed_claims(input: &PlannerInput<'_>) -> Vec<ClaimId> {
    let mut done = BTreeSet::new();
    for (machine, entry) in input.ledger.entries() {
        let exit = input.machines.get(machine).and_then(|view| view.exit(entry.loan));
        if exit == Some(Exit::Done) && input.claims.iter().any(|c| c.id == entry.claim) {
            done.insert(entry.claim.clone());
        }
    }
    done.into_iter().collect()
}

/// Plans the changes that follow from the reports alone, for each machine and then for each claim.
pub(super) fn apply_observations(builder: &mut PlanBuilder<'_>, done: &[ClaimId]) {
    let entries = builder.input.ledger.entries();
    for (machine, entry) in entries {
        apply_machine_report(builder, machine, entry);
    }
    for index in 0..builder.input.claims.len() {
        let is_done = done.contains(&builder.active(index).id);
        stop_broken_run(builder, index, is_done);
        release_excess_claimants(builder, index, is_done);
    }
}

fn apply_machine_report(builder: &mut PlanBuilder<'_>, machine: &MachineName, entry: &Entry) {
    if builder.input.gone.contains(machine) {
        builder.set(machine, None);
        return;
    }
    let view = builder.input.machines.get(machine);
    if entry.state == LoanState::Released {
        grant_or_free(builder, machine, entry, view);
    } else if view.is_some_and(|view| view.proves_ended(entry.loan)) {
        builder.change(machine, entry.release(ChangeReason::Ended));
    } else if entry.may_run() && builder.accounts.index_of(&entry.claim).is_none() {
        builder.change(machine, entry.request(None, 0, ChangeReason::Over));
    } else if entry.state == LoanState::ReclaimRequested
        && view.and_then(|v| v.live_run(entry.loan)).is_some_and(|r| r.state == RunState::Saving)
    {
        builder.change(machine, entry.halted());
    } else if entry.claimant.as_ref().is_some_and(|id| builder.accounts.index_of(id).is_none()) {
        builder.set(machine, Some(entry.without_claimant()));
    }
}

/// Stops a gang that can't get all its machines now, so that the machines assigned to it can serve
/// other claims.
pub(super) fn release_incomplete_gang(builder: &mut PlanBuilder<'_>, index: usize) {
    let assigned = builder.accounts.claims[index].assigned.clone();
    for machine in assigned {
        if let Some(entry) = builder.entry(&machine).cloned() {
            builder.change(&machine, entry.request(None, 0, ChangeReason::Incomplete));
        }
    }
}

/// Grants a released machine to its claimant, or makes the machine available.
fn grant_or_free(
    builder: &mut PlanBuilder<'_>,
    machine: &MachineName,
    entry: &Entry,
    view: Option<&MachineView>,
) {
    let claimant = entry.claimant.as_ref().and_then(|claimant| builder.accounts.index_of(claimant));
    let usable = view.is_some_and(|view| view.usable() && !view.quarantined);
    match claimant.filter(|index| usable && builder.accounts.claims[*index].inside) {
        Some(index) => {
            let active = builder.active(index);
            let loan = builder.next_loan();
            let (team, id) = (active.claim.team.clone(), active.id.clone());
            builder.change(machine, entry.grant_to_claimant(loan, team, id));
        }
        None => builder.set(machine, None),
    }
}

/// Stops a batch run on all its machines if it has lost one or a machine is leaving. A serving
/// replica stops only on the machine that leaves.
fn stop_broken_run(builder: &mut PlanBuilder<'_>, index: usize, is_done: bool) {
    if is_done {
        return;
    }
    let claim = &builder.active(index).claim;
    let (gang, revocable) = (claim.is_gang(), builder.accounts.claims[index].revocable);
    let account = builder.accounts.claims[index].clone();
    let is_leaving = |machine: &MachineName| {
        builder.input.machines.get(machine).is_some_and(|view| view.leaving)
    };
    let leaving: Vec<MachineName> =
        account.assigned.iter().filter(|m| is_leaving(m)).cloned().collect();
    let partially_stopped = !account.stopping.is_empty() && !account.assigned.is_empty();
    let lost =
        any_started(builder, &account.assigned) && (account.assigned.len() as u32) < claim.machines;
    let grace_ms = if revocable { grace_ms(builder) } else { 0 };
    let (stopped, reason) = if gang && (partially_stopped || lost || !leaving.is_empty()) {
        (account.assigned.iter().cloned().collect(), ChangeReason::Incomplete)
    } else {
        (leaving, ChangeReason::Leaving)
    };
    // Work that doesn't save in time loses its progress either way, so an early stop has no
    // benefit.
    if gang && !revocable && reason == ChangeReason::Incomplete && !partially_stopped && !lost {
        return;
    }
    for machine in stopped {
        if let Some(entry) = builder.entry(&machine).cloned() {
            builder.change(&machine, entry.request(None, grace_ms, reason));
        }
    }
}

/// Whether any of these machines reports a live run of its loan. This tells a gang that lost a
/// machine from one whose entries are still being written, which has not been started.
fn any_started(builder: &PlanBuilder<'_>, assigned: &BTreeSet<MachineName>) -> bool {
    assigned.iter().any(|machine| {
        let view = builder.input.machines.get(machine);
        let entry = builder.entry(machine);
        view.zip(entry).is_some_and(|(view, entry)| view.live_run(entry.loan).is_some())
    })
}

/// Returns the grace period for checkpoints, in milliseconds.
pub(super) fn grace_ms(builder: &PlanBuilder<'_>) -> u64 {
    builder.input.settings.times.grace_period().as_millis() as u64
}

/// Removes the claimant from machines that its claim no longer needs. Complete runs whose halt has
/// not been sent can then continue (see [`withdraw_requests`]); the other machines go to the next
/// claimant or become available.
fn release_excess_claimants(builder: &mut PlanBuilder<'_>, index: usize, is_done: bool) {
    let account = &builder.accounts.claims[index];
    let requested_machines = builder.active(index).claim.machines as usize;
    let wanted = if account.inside && !is_done { requested_machines } else { 0 };
    let obtained = account.assigned.len() + account.stopping.len();
    let mut excess = (obtained + account.incoming.len()).saturating_sub(wanted.max(obtained));
    let incoming: Vec<MachineName> = account.incoming.iter().cloned().collect();
    for machine in incoming {
        if excess == 0 {
            return;
        }
        let Some(entry) = builder.entry(&machine).cloned() else { continue };
        builder.set(&machine, Some(entry.without_claimant()));
        excess -= 1;
    }
}

/// Withdraws the reclaim of complete runs that no claimant needs, or that are inside their
/// guarantee now, if no halt has been sent to them. Only reclaims that were requested for a claim
/// are withdrawn, not those for other reasons such as a machine that leaves.
pub(super) fn withdraw_requests(builder: &mut PlanBuilder<'_>) {
    for index in 0..builder.input.claims.len() {
        let account = &builder.accounts.claims[index];
        if account.stopping.is_empty() || !account.assigned.is_empty() || !account.revocable {
            continue;
        }
        let inside = account.inside;
        let machines: Vec<MachineName> = account.stopping.iter().cloned().collect();
        let entries: Vec<Entry> =
            machines.iter().filter_map(|machine| builder.entry(machine).cloned()).collect();
        let complete = entries.len() as u32 == builder.active(index).claim.machines;
        let needed = entries.iter().any(|entry| entry.claimant.is_some());
        let requested = entries.iter().all(|entry| {
            let last = entry.history.last().map(|change| change.reason);
            entry.state == LoanState::ReclaimRequested && last == Some(ChangeReason::Claimed)
        });
        let never_halted =
            machines.iter().zip(&entries).all(|(m, e)| runs_without_halt(builder, m, e));
        if complete && requested && never_halted && (inside || !needed) {
            for (machine, entry) in machines.iter().zip(&entries) {
                builder.change(machine, entry.withdraw());
            }
        }
    }
}

/// Whether the loan still runs and no halt can reach it: this holder has sent none, and the machine
/// has confirmed this holder's token and so rejects halts of former holders.
fn runs_without_halt(builder: &PlanBuilder<'_>, machine: &MachineName, entry: &Entry) -> bool {
    let Some(view) = builder.input.machines.get(machine) else { return false };
    let runs = view.live_run(entry.loan).is_some_and(|run| run.state == RunState::Running);
    view.usable() && view.confirmed && runs && !builder.input.halted.contains(&entry.loan)
}
