//! What has ended: releases on proof of termination, machines that are gone, work that is
//! to stop, and requests without a claimant.

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

/// Batch claims whose work is complete: if one of a gang's machines is done, all are.
pub(super) fn finished(input: &PlannerInput<'_>) -> Vec<ClaimId> {
    let mut done = BTreeSet::new();
    for (machine, entry) in input.ledger.entries() {
        let exit = input.machines.get(machine).and_then(|view| view.exit(entry.loan));
        if exit == Some(Exit::Done) && input.claims.iter().any(|c| c.id == entry.claim) {
            done.insert(entry.claim.clone());
        }
    }
    done.into_iter().collect()
}

/// Plans what follows from the reports alone, machine by machine and claim by claim.
pub(super) fn settle(builder: &mut PlanBuilder<'_>, done: &[ClaimId]) {
    let entries = builder.input.ledger.entries();
    for (machine, entry) in entries {
        settle_machine(builder, machine, entry);
    }
    for at in 0..builder.input.claims.len() {
        let is_done = done.contains(&builder.active(at).id);
        stop_broken_run(builder, at, is_done);
        release_excess_claimants(builder, at, is_done);
    }
}

fn settle_machine(builder: &mut PlanBuilder<'_>, machine: &MachineName, entry: &Entry) {
    if builder.input.gone.contains(machine) {
        builder.set(machine, None);
        return;
    }
    let view = builder.input.machines.get(machine);
    if entry.state == LoanState::Released {
        settle_released(builder, machine, entry, view);
    } else if view.is_some_and(|view| view.proves_gone(entry.loan)) {
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

/// A gang that can't have all its machines now holds none: they may serve other claims.
pub(super) fn release_incomplete_gang(builder: &mut PlanBuilder<'_>, at: usize) {
    let held = builder.accounts.claims[at].held.clone();
    for machine in held {
        if let Some(entry) = builder.entry(&machine).cloned() {
            builder.change(&machine, entry.request(None, 0, ChangeReason::Incomplete));
        }
    }
}

/// Grants what is released to its claimant, or makes it available.
fn settle_released(
    builder: &mut PlanBuilder<'_>,
    machine: &MachineName,
    entry: &Entry,
    view: Option<&MachineView>,
) {
    let claimant = entry.claimant.as_ref().and_then(|claimant| builder.accounts.index_of(claimant));
    let usable = view.is_some_and(|view| view.usable() && !view.quarantined);
    match claimant.filter(|at| usable && builder.accounts.claims[*at].inside) {
        Some(at) => {
            let active = builder.active(at);
            let loan = builder.next_loan();
            let (team, id) = (active.claim.team.clone(), active.id.clone());
            builder.change(machine, entry.grant_to_claimant(loan, team, id));
        }
        None => builder.set(machine, None),
    }
}

/// A batch run that lost a machine, or is about to, stops whole; a replica on a machine
/// that leaves stops there.
fn stop_broken_run(builder: &mut PlanBuilder<'_>, at: usize, is_done: bool) {
    if is_done {
        return;
    }
    let claim = &builder.active(at).claim;
    let (gang, revocable) = (claim.is_gang(), builder.accounts.claims[at].revocable);
    let account = builder.accounts.claims[at].clone();
    let leaves = |machine: &MachineName| {
        builder.input.machines.get(machine).is_some_and(|view| view.leaving)
    };
    let leaving: Vec<MachineName> = account.held.iter().filter(|m| leaves(m)).cloned().collect();
    let partly = !account.leaving.is_empty() && !account.held.is_empty();
    let lost = started(builder, &account.held) && (account.held.len() as u32) < claim.machines;
    let grace_ms = if revocable { grace_ms(builder) } else { 0 };
    let (stopped, reason) = if gang && (partly || lost || !leaving.is_empty()) {
        (account.held.iter().cloned().collect(), ChangeReason::Incomplete)
    } else {
        (leaving, ChangeReason::Leaving)
    };
    // Work that never saves has nothing to gain from an early stop.
    if gang && !revocable && reason == ChangeReason::Incomplete && !partly && !lost {
        return;
    }
    for machine in stopped {
        if let Some(entry) = builder.entry(&machine).cloned() {
            builder.change(&machine, entry.request(None, grace_ms, reason));
        }
    }
}

/// Whether any of these machines was ordered to start its loan: a gang whose entries are
/// still being written has not.
fn started(builder: &PlanBuilder<'_>, held: &BTreeSet<MachineName>) -> bool {
    held.iter().any(|machine| {
        let view = builder.input.machines.get(machine);
        let entry = builder.entry(machine);
        view.zip(entry).is_some_and(|(view, entry)| view.live_run(entry.loan).is_some())
    })
}

/// The grace period for checkpoints, in milliseconds.
pub(super) fn grace_ms(builder: &PlanBuilder<'_>) -> u64 {
    builder.input.settings.times.grace_period().as_millis() as u64
}

/// Removes the claimant from machines that its claim no longer needs. Whole runs whose
/// halt has not been sent continue; the others are released for the next claimant.
fn release_excess_claimants(builder: &mut PlanBuilder<'_>, at: usize, is_done: bool) {
    let account = &builder.accounts.claims[at];
    let asked = builder.active(at).claim.machines as usize;
    let wanted = if account.inside && !is_done { asked } else { 0 };
    let has = account.held.len() + account.leaving.len();
    let mut excess = (has + account.coming.len()).saturating_sub(wanted.max(has));
    let coming: Vec<MachineName> = account.coming.iter().cloned().collect();
    for machine in coming {
        if excess == 0 {
            return;
        }
        let Some(entry) = builder.entry(&machine).cloned() else { continue };
        builder.set(&machine, Some(entry.without_claimant()));
        excess -= 1;
    }
}

/// Runs whose reclaim has no claimant, or that are now inside their guarantee, continue if
/// no halt has been sent for them.
pub(super) fn withdraw_requests(builder: &mut PlanBuilder<'_>) {
    for at in 0..builder.input.claims.len() {
        let account = &builder.accounts.claims[at];
        if account.leaving.is_empty() || !account.held.is_empty() || !account.revocable {
            continue;
        }
        let inside = account.inside;
        let machines: Vec<MachineName> = account.leaving.iter().cloned().collect();
        let entries: Vec<Entry> =
            machines.iter().filter_map(|machine| builder.entry(machine).cloned()).collect();
        let whole = entries.len() as u32 == builder.active(at).claim.machines;
        let needed = entries.iter().any(|entry| entry.claimant.is_some());
        let requested = entries.iter().all(|entry| {
            let last = entry.history.last().map(|change| change.reason);
            entry.state == LoanState::ReclaimRequested && last == Some(ChangeReason::Claimed)
        });
        let untouched = machines.iter().zip(&entries).all(|(m, e)| is_untouched(builder, m, e));
        if whole && requested && untouched && (inside || !needed) {
            for (machine, entry) in machines.iter().zip(&entries) {
                builder.change(machine, entry.withdraw());
            }
        }
    }
}

/// Whether no halt has reached the machine, nor can one of a former holder any more.
fn is_untouched(builder: &PlanBuilder<'_>, machine: &MachineName, entry: &Entry) -> bool {
    let Some(view) = builder.input.machines.get(machine) else { return false };
    let runs = view.live_run(entry.loan).is_some_and(|run| run.state == RunState::Running);
    view.usable() && view.confirmed && runs && !builder.input.halted.contains(&entry.loan)
}
